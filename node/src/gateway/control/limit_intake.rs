//! Takes in the limits that replicas name.

use std::sync::Arc;

use leadstage_lib::gateway::replica_limits::AnswerTimes;
use leadstage_lib::gateway::replica_limits::LimitWord;
use leadstage_lib::gateway::replica_limits::ReplicaLimits;
use leadstage_lib::gateway::replica_record::Incarnation;
use log::info;

use crate::gateway::shared::Shared;

/// The way of limits into this node.
pub struct LimitIntake {
    shared: Arc<Shared>,
    limits: ReplicaLimits,
}

impl LimitIntake {
    /// None is known yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        LimitIntake { shared, limits: ReplicaLimits::default() }
    }

    /// An answer of a replica came to this node.
    pub fn on_answer(&mut self, of: &Incarnation, word: LimitWord, times: AnswerTimes) {
        if self.limits.on_answer(of, word, times) {
            let limit = self.limits.limit(&of.id);
            info!(event = "limit_named", upstream = &*of.id, limit:? = limit, asked_ms_ago = (self.shared.now().saturating_sub(times.sent)).as_millis() as u64; "a replica named another limit, or none");
            self.shared.set_limits(self.limits.in_force());
        }
    }
}
