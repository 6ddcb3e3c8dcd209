//! When a node learned of the stages of an upgrade, to find the phase in which a request began.

use std::time::Duration;

use crate::gateway::answer_counts::Phase;
use crate::gateway::upgrade::Stage;
use crate::ids::Timestamp;

/// Time from the start of the recheck within which the new replicas answer the requests that they got in the
/// switch.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The stages that a node learned of, in order.
#[derive(Clone, Debug, Default)]
pub struct StageHistory {
    stages: Vec<(Timestamp, Stage)>,
}

impl StageHistory {
    /// The upgrade is in this stage, which the node learned of at `since`.
    pub fn on_stage(&mut self, stage: Stage, since: Timestamp) {
        if self.stages.last().is_none_or(|(_, last)| *last < stage) {
            self.stages.push((since, stage));
        }
    }

    /// The phase in which a request began.
    pub fn phase_at(&self, began: Timestamp) -> Phase {
        let reached = self.stages.iter().rev().find(|(since, _)| *since <= began);
        match reached {
            None | Some((_, Stage::Trial)) => Phase::Trial,
            Some((_, Stage::Switch)) => Phase::Switch,
            Some((since, Stage::Recheck)) if began < *since + SETTLE_TIME => Phase::Settling,
            Some((_, Stage::Recheck)) => Phase::Recheck,
            Some((_, _)) => Phase::SecondSwitch,
        }
    }
}
