//! Polls the health of engines while the store may not report that they leave.
//!
//! Only a lead polls, on behalf of all nodes, and only while it is doubtful whether the store answers:
//! health checks are billed. A replica whose entry disappears at such a time is polled as well.

use std::sync::Arc;

use leadstage_lib::gateway::health_polls;
use leadstage_lib::gateway::health_polls::HEALTH_TIMEOUT;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health;

use crate::gateway::messages::ToControl;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::shared::Shared;

/// Polls the health of engines to detect those that leave.
pub struct HealthPoller {
    shared: Arc<Shared>,
    polls: health_polls::HealthPolls,
}

impl HealthPoller {
    /// Creates a poller that has polled no engine.
    pub fn new(shared: Arc<Shared>) -> Self {
        HealthPoller { shared, polls: health_polls::HealthPolls::default() }
    }

    /// An engine answered, or its poll timed out.
    pub fn on_health(&mut self, replica: &UpstreamId, now: Timestamp) {
        self.polls.on_answer(replica, now);
    }

    /// Polls the engines that are due; each is given with the path of its health check.
    pub fn poll_all(&mut self, now: Timestamp, engines: Vec<(Arc<ReplicaRecord>, String)>) {
        self.polls.forget(now);
        for engine in engines {
            self.poll(Some(engine), now);
        }
    }

    /// Polls the health of a replica, unless it was polled recently.
    pub fn poll(&mut self, replica: Option<(Arc<ReplicaRecord>, String)>, now: Timestamp) {
        if let Some((replica, path)) = replica
            && self.polls.start_if_due(&replica.id, now)
        {
            tokio::task::spawn_local(poll(self.shared.clone(), replica, path));
        }
    }
}

async fn poll(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let health = health::check(
        ReplicaDialer::new(shared.clone(), replica.service.clone()),
        &replica,
        &path,
        HEALTH_TIMEOUT,
    )
    .await;
    shared.notify(ToControl::Health(replica.incarnation(), health));
}
