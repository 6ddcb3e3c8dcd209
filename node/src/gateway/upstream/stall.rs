//! Detects that an engine has fallen silent while a stream of a resumable route waits for it.
//!
//! Repeating a prefill costs the engines more than a short wait. The engine's health is therefore checked
//! first, and the engine is abandoned only if it does not answer, or stays silent for as long again.

use std::future::Future;
use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::Route;
use leadstage_platform::arrival;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::ToControl;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;

/// A running stream is considered stalled after this many times its route's objective for the gap between
/// events: moves and busy engines make some gaps longer than the objective.
const STALL_OBJECTIVE_GAPS: u32 = 4;

/// What to do about a silent engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Check the engine's health.
    CheckHealth,
    /// Abandon the engine.
    Abandon,
}

/// Measures the time since a stream's last event.
#[derive(Debug)]
pub struct StallWatch {
    limit: Duration,
    due: Instant,
    health_checked: bool,
}

impl StallWatch {
    /// Starts the measurement when a stream is requested from an engine.
    pub fn new(route: &Route) -> Self {
        StallWatch { limit: route.objective, due: Instant::now() + route.objective, health_checked: false }
    }

    /// Records an event.
    pub fn on_event(&mut self, route: &Route) {
        self.limit = route.gap_objective * STALL_OBJECTIVE_GAPS;
        self.due = Instant::now() + self.limit;
        self.health_checked = false;
    }

    /// Returns when the engine will have been silent for too long.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Handles an engine that has been silent for too long.
    pub fn on_due(&mut self) -> StallAction {
        self.due = Instant::now() + self.limit;
        if std::mem::replace(&mut self.health_checked, true) {
            StallAction::Abandon
        } else {
            StallAction::CheckHealth
        }
    }
}

/// Whether the engine is gone; if so, the control loop is notified.
pub async fn is_gone(traffic: &Traffic, req: &CallerRequest, engine: &ReplicaRecord) -> bool {
    let Some(health) = traffic.check_health(req, engine).await else {
        return false;
    };
    info!(event = "silence_doubted", request = req.id(), upstream = &*engine.id, health:? = health; "checked the health of a silent engine");
    let is_gone = !health.is_from_replica();
    if is_gone {
        traffic.shared.notify(ToControl::Health(engine.incarnation(), health));
    }
    is_gone
}

/// Waits for the head of a response; returns `None` if its engine is to be abandoned.
pub async fn await_head<T>(
    traffic: &Traffic,
    req: &CallerRequest,
    engine: &ReplicaRecord,
    sending: impl Future<Output = T>,
) -> Option<T> {
    let mut sending = std::pin::pin!(sending);
    if !req.route.resumable {
        return Some(sending.await);
    }
    let mut watch = StallWatch::new(&req.route);
    loop {
        if let Ok(answer) = arrival::timeout_at(watch.due(), &mut sending).await {
            return Some(answer);
        }
        if watch.on_due() == StallAction::Abandon {
            return None;
        }
        tokio::select! {
            biased;
            answer = &mut sending => return Some(answer),
            is_gone = is_gone(traffic, req, engine) => if is_gone { return None },
        }
    }
}
