//! Asks engines for their health while the store may not tell that they leave.
//!
//! Only a lead looks out, for all nodes, and only while the store is in doubt: health checks
//! are priced.

use std::sync::Arc;

use leadstage_lib::gateway::health_polls;
use leadstage_lib::gateway::health_polls::HEALTH_TIMEOUT;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health;

use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Looks out for engines that leave.
pub struct Lookout {
    shared: Arc<Shared>,
    asked: health_polls::HealthPolls,
}

impl Lookout {
    /// Looks out for nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Lookout { shared, asked: health_polls::HealthPolls::default() }
    }

    /// An engine answered.
    pub fn on_health(&mut self, replica: &UpstreamId, now: Timestamp) {
        self.asked.on_answer(replica, now);
    }

    /// Asks engines if it is time; each comes with the path of its health.
    pub fn ask_all(&mut self, now: Timestamp, engines: Vec<(Arc<ReplicaRecord>, String)>) {
        self.asked.forget(now);
        for engine in engines {
            self.ask_about(Some(engine), now);
        }
    }

    /// Asks a replica for its health, unless it was asked just now.
    pub fn ask_about(&mut self, replica: Option<(Arc<ReplicaRecord>, String)>, now: Timestamp) {
        if let Some((replica, path)) = replica
            && self.asked.start_if_due(&replica.id, now)
        {
            tokio::task::spawn_local(ask(self.shared.clone(), replica, path));
        }
    }
}

async fn ask(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let health = health::check(&replica, &path, HEALTH_TIMEOUT).await;
    shared.tell(ToControl::Health(replica.incarnation(), health));
}
