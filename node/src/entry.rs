//! Finds an engine for a request that arrived at this VM: requests one from the pool's lead, and chooses one
//! itself, conservatively, while no lead answers.

use std::rc::Rc;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::ModelId;
use leadstage_lib::ids::VmId;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::rendezvous;
use leadstage_lib::upstreams::VmRecord;
use rand::seq::IndexedRandom;

use crate::control::ControlRef;
use crate::control_message::Granted;
use crate::control_message::NotPlaced;
use crate::engine_api::EngineReport;
use crate::leads;
use crate::leads::Placement;
use crate::leads::PoolKey;
use crate::peers;

/// Maximum number of halls tried for one request.
const MAX_HALLS: usize = 2;
/// Maximum number of leads tried for one pool.
const MAX_LEADS: usize = 2;
/// Number of engines whose load is compared when no lead answers.
const ALONE_CANDIDATES: usize = 2;
/// Fraction of an engine's KV cache memory below which an entry places a request there without a lead.
const ALONE_MAX_FILL: f64 = 0.6;
/// `Retry-After` when there is no usable engine.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(2);

/// Finds an engine for a request; fails at once if there is no usable one.
pub async fn place(
    control: &ControlRef,
    request: PlaceRequest,
    model: ModelId,
) -> Result<Granted, NotPlaced> {
    let mut refusal = NotPlaced { code: Code::NoUpstream, retry_after: NO_ENGINE_RETRY };
    for hall in candidate_halls(control, &model, &request) {
        let key = PoolKey { model: model.clone(), hall };
        match place_in_pool(control, &key, &request).await {
            (Placement::Granted { upstream, priority }, lead) => {
                let address = control.borrow().directory.get(&upstream).map(|r| r.address);
                if let Some(address) = address {
                    return Ok(Granted { upstream, hall: key.hall, address, priority, lead });
                }
            }
            (Placement::Refused { code, retry_after }, _) => {
                refusal = NotPlaced { code, retry_after };
                if code == Code::WaitTooLong {
                    break;
                }
            }
        }
    }
    Err(refusal)
}

/// The halls to try: this VM's own first, then other halls that have usable engines.
fn candidate_halls(control: &ControlRef, model: &ModelId, request: &PlaceRequest) -> Vec<HallId> {
    let control = control.borrow();
    let allowed =
        control.shared.bundle().and_then(|b| b.model(model).map(|m| m.halls.clone())).unwrap_or_default();
    let now = control.now();
    let mut halls: Vec<HallId> = control.directory.usable(model, now).map(|r| r.hall.clone()).collect();
    halls.retain(|hall| allowed.is_empty() || allowed.contains(hall));
    halls.sort();
    halls.dedup();
    let seed = request.generation.to_string();
    halls.sort_by_key(|hall| (*hall != control.settings.hall, rendezvous::weight(&seed, hall)));
    halls.truncate(MAX_HALLS);
    halls
}

async fn place_in_pool(
    control: &ControlRef,
    key: &PoolKey,
    request: &PlaceRequest,
) -> (Placement, Option<VmId>) {
    let mut tried: Vec<VmId> = Vec::new();
    while tried.len() < MAX_LEADS {
        let lead = leads::lead_of(&control.borrow(), key, &tried);
        let Some(lead) = lead else { break };
        if lead == control.borrow().settings.vm {
            return (leads::place_here(control, key, request.clone()).await, Some(lead));
        }
        match peers::place(control, &lead, key, request).await {
            Ok(placement) => return (placement, Some(lead)),
            Err(_) => tried.push(lead),
        }
    }
    (place_alone(control, key).await, None)
}

/// Places a request without a lead: reads the load of [`ALONE_CANDIDATES`] engines and chooses the emptier
/// one if it is far from full.
async fn place_alone(control: &ControlRef, key: &PoolKey) -> Placement {
    let (api, candidates) = {
        let control = control.borrow();
        let now = control.now();
        let usable = control.directory.usable(&key.model, now);
        let nearby: Vec<VmRecord> = usable.filter(|r| r.hall == key.hall).cloned().collect();
        let chosen: Vec<VmRecord> = nearby.sample(&mut rand::rng(), ALONE_CANDIDATES).cloned().collect();
        (Rc::new(control.engines.clone()), chosen)
    };
    let mut best: Option<(f64, VmRecord)> = None;
    for candidate in candidates {
        let report = api.load(candidate.address).await;
        let Some(fill) = report.as_ref().and_then(fill_if_placeable) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| fill < *least) {
            best = Some((fill, candidate));
        }
    }
    match best {
        Some((_, engine)) => Placement::Granted { upstream: engine.id, priority: 0 },
        None => Placement::Refused { code: Code::NoUpstream, retry_after: NO_ENGINE_RETRY },
    }
}

/// The used fraction of an engine's KV cache memory, or `None` if no request should be placed there without a
/// lead.
fn fill_if_placeable(report: &EngineReport) -> Option<f64> {
    let load = report.load();
    let fill = load.used_blocks as f64 / report.limits().blocks.max(1) as f64;
    let has_slot = load.running < report.limits().max_batch;
    (fill < ALONE_MAX_FILL && load.waiting == 0 && has_slot && !report.leaving).then_some(fill)
}
