//! Notices that an engine has fallen silent with a stream that may go on elsewhere.
//!
//! To read a prompt again costs the engines more than a short wait, so a silence is doubted first:
//! the engine is asked for its health, and only one that does not answer, or that stays silent for
//! as long again, is left.

use std::future::Future;
use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::Route;
use leadstage_platform::health;
use leadstage_platform::health::Health;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::ToControl;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;

/// A stream that has begun is doubted after so many times its longest pause that counts as in
/// time: moves and busy engines make some gaps longer than that one.
const DOUBTED_GAPS: u32 = 4;
/// Time for an engine to answer when it is asked for its health.
const HEALTH_LIMIT: Duration = Duration::from_millis(300);

/// What to do about a silent engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Ask the engine for its health.
    Doubt,
    /// Leave it.
    Leave,
}

/// The time since a stream's last event.
#[derive(Debug)]
pub struct StallWatch {
    limit: Duration,
    due: Instant,
    doubted: bool,
}

impl StallWatch {
    /// Begins when an engine was asked for a stream.
    pub fn new(route: &Route) -> Self {
        StallWatch { limit: route.objective, due: Instant::now() + route.objective, doubted: false }
    }

    /// An event came.
    pub fn on_event(&mut self, route: &Route) {
        self.limit = route.gap_objective * DOUBTED_GAPS;
        self.due = Instant::now() + self.limit;
        self.doubted = false;
    }

    /// When the engine has been silent for too long.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// The engine has been silent for too long.
    pub fn on_due(&mut self) -> Silence {
        self.due = Instant::now() + self.limit;
        if std::mem::replace(&mut self.doubted, true) { Silence::Leave } else { Silence::Doubt }
    }
}

/// Whether the engine is gone; the control thread learns of it.
pub async fn is_gone(traffic: &Traffic, req: &CallerRequest, engine: &ReplicaRecord) -> bool {
    let Some(service) = req.table.service(&req.service) else {
        return false;
    };
    let health = health::check(engine, &service.health_path, HEALTH_LIMIT).await;
    info!(event = "silence_doubted", request = req.id(), upstream = &*engine.id, health:? = health; "an engine is silent");
    let is_gone = matches!(health, Health::Silent | Health::Closed | Health::Other);
    if is_gone {
        traffic.shared.tell(ToControl::Health(engine.incarnation(), health));
    }
    is_gone
}

/// Waits for the head of an answer; `None` if its engine is to be left.
pub async fn head<T>(
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
        if let Ok(answer) = tokio::time::timeout_at(watch.due(), &mut sending).await {
            return Some(answer);
        }
        if watch.on_due() == Silence::Leave {
            return None;
        }
        tokio::select! {
            biased;
            answer = &mut sending => return Some(answer),
            is_gone = is_gone(traffic, req, engine) => if is_gone { return None },
        }
    }
}
