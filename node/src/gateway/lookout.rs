//! Notices engines that leave while the store does not tell.
//!
//! Only a lead looks out, for all nodes: it sees within a second that the store is away,
//! though a waiting watch looks the same then, and asks the engines in use for their health
//! instead. Health checks are priced, so nobody asks while the store answers anyone.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health;
use leadstage_platform::store::Store;
use log::info;
use log::warn;

use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Time between two questions to the store; each costs a tenth of a usual call.
const PULSE_INTERVAL: Duration = Duration::from_millis(800);
/// The store is away if it does not answer within this; a slow one takes a quarter of a
/// second.
const PULSE_LIMIT: Duration = Duration::from_millis(500);
/// Time between two questions to one engine. Engines end some 1.5 s after their notice.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for an engine to answer.
const ASK_LIMIT: Duration = Duration::from_millis(600);
/// How long the word of another node counts that the store answers it.
const OTHERS_WORD: Duration = Duration::from_millis(700);

/// Looks out for engines that leave.
pub struct Lookout {
    shared: Arc<Shared>,
    pulse: Option<tokio_util::task::AbortOnDropHandle<()>>,
    asked: HashMap<UpstreamId, Timestamp>,
    others_answered: Option<Timestamp>,
}

impl Lookout {
    /// Looks out for nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Lookout { shared, pulse: None, asked: HashMap::new(), others_answered: None }
    }

    /// Another node says that the store answers it.
    pub fn on_store_answers_others(&mut self, now: Timestamp) {
        self.others_answered = Some(now);
    }

    /// An engine was asked.
    pub fn on_health(&mut self, replica: &UpstreamId) {
        self.asked.remove(replica);
    }

    /// Asks the store, and engines if it is time. `leads` is whether this node leads any
    /// service, `engines` those in use with the path of their health.
    pub fn tick(&mut self, now: Timestamp, leads: bool, engines: Vec<(Arc<ReplicaRecord>, String)>) {
        if !leads {
            self.pulse = None;
            return;
        }
        if self.pulse.is_none() {
            let pulse = tokio::task::spawn_local(pulse(self.shared.clone()));
            self.pulse = Some(tokio_util::task::AbortOnDropHandle::new(pulse));
        }
        self.asked.retain(|_, at| *at + ASK_INTERVAL + ASK_LIMIT > now);
        if self.shared.store_answers() || self.store_answers_others(now) {
            return;
        }
        for (replica, path) in engines {
            if !self.asked.contains_key(&replica.id) {
                self.asked.insert(replica.id.clone(), now);
                tokio::task::spawn_local(ask(self.shared.clone(), replica, path));
            }
        }
    }

    fn store_answers_others(&self, now: Timestamp) -> bool {
        self.others_answered.is_some_and(|at| at + OTHERS_WORD > now)
    }
}

/// Asks the store again and again whether it answers.
async fn pulse(shared: Arc<Shared>) {
    let mut store = Store::new(shared.settings.store);
    loop {
        let answers = store.answers(PULSE_LIMIT).await;
        shared.metrics.on_store_call("pulse", if answers { "answered" } else { "failed" });
        if shared.set_store_answers(answers) {
            if answers {
                info!(event = "store_regained", by = "pulse"; "the store answers again");
            } else {
                warn!(event = "store_lost", by = "pulse"; "the store does not answer");
            }
        }
        tokio::time::sleep(PULSE_INTERVAL).await;
    }
}

async fn ask(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let health = health::ask(&replica, &path, ASK_LIMIT).await;
    tokio::time::sleep(ASK_INTERVAL).await;
    shared.tell(ToControl::Health(replica.id.clone(), health));
}
