//! Polls the load of the engines in the pools that this VM leads, and synchronises the pools' engines with
//! the VM list, the notices of leaving upstreams and the bundle.

use leadstage_lib::bundle::Model;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::upstreams::Directory;
use leadstage_lib::upstreams::VmRole;
use rand::RngExt;

use crate::control::Control;
use crate::control::ControlRef;
use crate::engine_api::EngineReport;
use crate::leads;
use crate::leads::PoolKey;

/// Polls of an engine within the bundle's `leaving_within`.
const POLLS_PER_LEAVING_BOUND: u32 = 3;
/// Consecutive failed polls after which an engine is considered gone.
const GONE_AFTER_FAILURES: u32 = 3;

/// The polling state of an engine.
#[derive(Default)]
pub struct PolledEngine {
    next_poll: Timestamp,
    polling: bool,
    /// Failed polls since the latest successful one.
    pub failures: u32,
    /// Whether the engine answered the latest poll.
    pub answered_last: bool,
    /// The adapters that the engine has loaded.
    pub loaded: Vec<String>,
}

/// Synchronises the pools' engines with the VM list, the notices of leaving upstreams and the bundle.
pub fn sync_engines(control: &mut Control) {
    let now = control.now();
    let bundle = control.shared.bundle();
    let mut leaving = Vec::new();
    for (key, led) in &mut control.leads.pools {
        let model = bundle.as_ref().and_then(|b| b.model(&key.model));
        let records = control.directory.with_role(VmRole::Engine);
        for record in records.filter(|r| r.serves == key.model && r.hall == key.hall) {
            led.engines
                .entry(record.id.clone())
                .or_insert_with(|| PolledEngine { next_poll: now, ..Default::default() });
        }
        let unavailable = led.engines.keys().filter(|id| !accepts_work(&control.directory, model, id));
        leaving.extend(unavailable.map(|id| (key.clone(), id.clone())));
    }
    for (key, id) in leaving {
        leads::handle(control, &key, PoolEvent::EngineLeaving(id));
    }
}

/// Whether an engine may get new work: it is listed, not leaving, and not drained by the bundle.
fn accepts_work(directory: &Directory, model: Option<&Model>, id: &UpstreamId) -> bool {
    let drained = model.is_some_and(|m| m.drained.contains(id));
    directory.get(id).is_some() && !drained && !directory.is_leaving(id)
}

/// Starts the polls that are due.
pub fn poll_due(control: &ControlRef) {
    let mut due = Vec::new();
    {
        let mut borrowed = control.borrow_mut();
        let now = borrowed.now();
        let Control { leads, directory, .. } = &mut *borrowed;
        for (key, led) in &mut leads.pools {
            for (id, engine) in led.engines.iter_mut().filter(|(_, e)| !e.polling && e.next_poll <= now) {
                engine.polling = true;
                due.push((key.clone(), id.clone(), directory.get(id).map(|r| r.address)));
            }
        }
    }
    for (key, id, address) in due {
        let control = control.clone();
        tokio::task::spawn_local(async move {
            let api = control.borrow().engines.clone();
            let report = match address {
                Some(address) => api.load(address).await,
                None => None,
            };
            on_poll(&mut control.borrow_mut(), &key, &id, report);
        });
    }
}

fn on_poll(control: &mut Control, key: &PoolKey, id: &UpstreamId, report: Option<EngineReport>) {
    let now = control.now();
    let jitter: f64 = rand::rng().random_range(0.8..1.2);
    let bundle = control.shared.bundle();
    let bounds = bundle.as_ref().map(|b| b.bounds.clone()).unwrap_or_default();
    let interval = bounds.leaving_within / POLLS_PER_LEAVING_BOUND;
    let Some(engine) = control.leads.pools.get_mut(key).and_then(|led| led.engines.get_mut(id)) else {
        return;
    };
    engine.polling = false;
    engine.next_poll = now + interval.mul_f64(jitter);
    match report {
        Some(report) => {
            engine.failures = 0;
            engine.answered_last = true;
            engine.loaded = report.loaded.clone();
            if report.leaving {
                control.directory.on_leaving(id, now);
            }
            let model = bundle.as_ref().and_then(|b| b.model(&key.model));
            if accepts_work(&control.directory, model, id) {
                let up = PoolEvent::EngineUp { engine: id.clone(), limits: report.limits() };
                leads::handle(control, key, up);
            }
            leads::handle(control, key, PoolEvent::Load { engine: id.clone(), report: report.load() });
        }
        None => {
            engine.failures += 1;
            engine.answered_last = false;
            let gone = engine.failures >= GONE_AFTER_FAILURES;
            let listed = control.directory.get(id).is_some();
            let event =
                if gone { PoolEvent::EngineGone(id.clone()) } else { PoolEvent::EngineLeaving(id.clone()) };
            leads::handle(control, key, event);
            if gone
                && !listed
                && let Some(led) = control.leads.pools.get_mut(key)
            {
                led.engines.remove(id);
            }
        }
    }
}

/// Handles an entry's report that it lost its connection to an engine: the engine gets no new work until it
/// answers a poll, which is made due at once.
pub fn on_engine_lost(control: &mut Control, key: &PoolKey, id: &UpstreamId) {
    let now = control.now();
    if let Some(engine) = control.leads.pools.get_mut(key).and_then(|led| led.engines.get_mut(id)) {
        engine.next_poll = now;
    }
    leads::handle(control, key, PoolEvent::EngineLeaving(id.clone()));
}
