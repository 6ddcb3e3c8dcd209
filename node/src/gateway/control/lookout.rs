//! Notices engines that leave while the store does not tell.
//!
//! Only a lead looks out, for all nodes: while no watcher of the store gets an answer, it
//! asks the engines in use for their health. Health checks are priced, so nobody asks while
//! the store answers anyone.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health;

use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Time between two questions to one engine. Engines end some 1.5 s after their notice.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for an engine to answer.
const ASK_LIMIT: Duration = Duration::from_millis(600);
/// Looks out for engines that leave.
pub struct Lookout {
    shared: Arc<Shared>,
    asked: HashMap<UpstreamId, Timestamp>,
}

impl Lookout {
    /// Looks out for nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Lookout { shared, asked: HashMap::new() }
    }

    /// An engine was asked.
    pub fn on_health(&mut self, replica: &UpstreamId) {
        self.asked.remove(replica);
    }

    /// Asks engines if it is time; each comes with the path of its health.
    pub fn tick(&mut self, now: Timestamp, engines: Vec<(Arc<ReplicaRecord>, String)>) {
        self.asked.retain(|_, at| *at + ASK_INTERVAL + ASK_LIMIT > now);
        for engine in engines {
            self.ask_about(Some(engine), now);
        }
    }

    /// Asks a replica for its health, unless it is being asked.
    pub fn ask_about(&mut self, replica: Option<(Arc<ReplicaRecord>, String)>, now: Timestamp) {
        if let Some((replica, path)) = replica
            && !self.asked.contains_key(&replica.id)
        {
            self.asked.insert(replica.id.clone(), now);
            tokio::task::spawn_local(ask(self.shared.clone(), replica, path));
        }
    }
}

async fn ask(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let health = health::ask(&replica, &path, ASK_LIMIT).await;
    tokio::time::sleep(ASK_INTERVAL).await;
    shared.tell(ToControl::Health(replica.id.clone(), health));
}
