//! A gateway node's status for operators, in the form that `leadstage status` reads.

use leadstage_lib::gateway::quarantine::Quarantine;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::status::EngineSummary;
use leadstage_lib::status::NodeStatus;
use leadstage_lib::status::PeerSummary;
use leadstage_lib::status::PoolSummary;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// The hall shown for pools, as a gateway's pools span all halls.
const ALL_HALLS: &str = "all";

/// Returns the current status. `led` are the services that this node leads, `waiting` is the number of
/// generations that wait on this node.
pub fn status(
    shared: &Shared,
    fleet: &Fleet,
    state: &PlacementState,
    led: &[ServiceId],
    waiting: usize,
) -> NodeStatus {
    let leaving = state.replicas.iter().filter(|replica| replica.leaving.is_some());
    NodeStatus {
        vm: shared.settings.vm.to_string(),
        hall: shared.settings.hall.to_string(),
        readiness: readiness(shared).to_owned(),
        bundle: shared.table().map(|table| table.version),
        bundle_hash: String::new(),
        open: shared.open_requests() as u32,
        platform_reached: shared.store_answers(),
        peers: fleet
            .alive()
            .map(|node| PeerSummary { vm: node.to_string(), liveness: "alive".to_owned() })
            .collect(),
        pools: led.iter().map(|service| pool(state, service, waiting)).collect(),
        leaving: leaving.map(|replica| replica.record.id.to_string()).collect(),
        quarantined: quarantined(shared),
        limits: limits(shared),
        closed_halls: shared.closed_halls().halls.iter().map(|hall| hall.to_string()).collect(),
    }
}

fn limits(shared: &Shared) -> Vec<String> {
    let limits = shared.limits();
    let mut lines: Vec<String> = limits.iter().map(|(id, limit)| format!("{id} {limit}/s")).collect();
    lines.sort();
    lines
}

fn quarantined(shared: &Shared) -> Vec<String> {
    let crashes = shared.crashes();
    let mut names: Vec<String> = crashes.quarantines().iter().map(Quarantine::to_string).collect();
    names.sort();
    names
}

/// Maximum number of engines listed for one service.
const MAX_ENGINES: usize = 200;

fn readiness(shared: &Shared) -> &'static str {
    match shared.phase() {
        Phase::Starting if shared.table().is_none() => "no bundle",
        Phase::Starting => "no replicas",
        Phase::Serving => "ready",
        Phase::Stopping | Phase::Closing | Phase::Closed => "stopping",
    }
}

fn pool(state: &PlacementState, service: &ServiceId, waiting: usize) -> PoolSummary {
    let all_engines = state.staying(service).count();
    let engines = if all_engines <= MAX_ENGINES {
        state.replicas.of_service(service)
    } else {
        // Only engines that run something.
        let busy = state.load.busy_replicas().filter_map(|id| state.replicas.get(id));
        busy.filter(|replica| replica.record.service == *service).take(MAX_ENGINES).collect()
    };
    let engines: Vec<EngineSummary> =
        engines.into_iter().map(|replica| engine(state, service, replica)).collect();
    PoolSummary {
        all_engines,
        model: service.to_string(),
        hall: ALL_HALLS.to_owned(),
        waiting,
        running: engines.iter().map(|engine| engine.running).sum(),
        engines,
    }
}

fn engine(state: &PlacementState, service: &ServiceId, replica: &Replica) -> EngineSummary {
    let id = &replica.record.id;
    EngineSummary {
        id: id.to_string(),
        state: replica.leaving.map_or_else(|| "up".to_owned(), |sign| format!("leaving: {sign}")),
        running: state.load.runs_at(id).count(),
        held_tokens: state.load.runs_at(id).map(|(_, run)| state.load.memory(run) as u64).sum(),
        memory_tokens: state.engine_traits(service).map_or(0, |traits| u64::from(traits.memory_tokens)),
        step_ms: 0.0,
    }
}
