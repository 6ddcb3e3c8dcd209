//! Publishes the node's status for the admin port.

use leadstage_lib::engine_tracker::EngineState;
use leadstage_lib::engine_tracker::EngineTracker;
use leadstage_lib::status::EngineSummary;
use leadstage_lib::status::NodeStatus;
use leadstage_lib::status::PeerSummary;
use leadstage_lib::status::PoolSummary;
use leadstage_lib::upstreams::VmRole;

use crate::control::Control;
use crate::control::ControlRef;
use crate::leads::LedPool;
use crate::leads::PoolKey;
use crate::shared::Readiness;

/// Publishes the current status.
pub fn tick(control: &ControlRef) {
    let control = control.borrow();
    let in_force = control.shared.in_force();
    let status = NodeStatus {
        vm: control.settings.vm.to_string(),
        hall: control.settings.hall.to_string(),
        readiness: readiness_text(control.shared.readiness()).to_owned(),
        bundle: in_force.as_ref().map(|f| f.bundle.number),
        bundle_hash: in_force.map(|f| f.hash).unwrap_or_default(),
        open: control.shared.open(),
        platform_reached: control.platform_reached,
        peers: peer_summaries(&control),
        pools: control.leads.pools.iter().map(|(key, led)| pool_summary(key, led)).collect(),
        leaving: leaving_upstreams(&control),
        closed_halls: Vec::new(),
        quarantined: Vec::new(),
        limits: Vec::new(),
    };
    control.shared.set_status(status);
}

/// The text for a readiness in the status and on `/readyz`.
pub fn readiness_text(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::NoBundle => "no bundle",
        Readiness::NoPort => "no port",
        Readiness::Ready => "ready",
        Readiness::Alone => "alone",
        Readiness::Stopping => "stopping",
    }
}

fn peer_summaries(control: &Control) -> Vec<PeerSummary> {
    let entries = control.directory.with_role(VmRole::Entry);
    let others = entries.filter(|r| r.id != control.settings.vm);
    let summary = |id: &str| {
        let liveness = control.membership.liveness(id);
        let liveness = liveness.map_or_else(|| "unknown".to_owned(), |l| format!("{l:?}").to_lowercase());
        PeerSummary { vm: id.to_owned(), liveness }
    };
    others.map(|r| summary(&r.id)).collect()
}

fn leaving_upstreams(control: &Control) -> Vec<String> {
    let roles = [VmRole::Engine, VmRole::Service];
    let records = roles.into_iter().flat_map(|role| control.directory.with_role(role));
    records.filter(|r| control.directory.is_leaving(&r.id)).map(|r| r.id.to_string()).collect()
}

fn pool_summary(key: &PoolKey, led: &LedPool) -> PoolSummary {
    let status = led.pool.status();
    PoolSummary {
        model: key.model.to_string(),
        hall: key.hall.to_string(),
        waiting: status.waiting,
        running: status.running,
        all_engines: led.pool.engines().count(),
        engines: led.pool.engines().map(engine_summary).collect(),
    }
}

fn engine_summary(engine: &EngineTracker) -> EngineSummary {
    EngineSummary {
        id: engine.id.to_string(),
        state: match engine.state {
            EngineState::Up => "up".to_owned(),
            EngineState::Leaving => "leaving".to_owned(),
        },
        running: engine.runs.len(),
        held_tokens: engine.held_tokens(),
        memory_tokens: engine.limits.blocks * u64::from(engine.limits.block_tokens),
        step_ms: engine.step.as_secs_f64() * 1_000.0,
    }
}
