//! When an upgrade goes on to its next stage.
//!
//! The trial lasts nearly as long as the operator allows, as a version may turn bad late. Then all requests go to
//! the new version for a short time, which shows whether it bears the whole load and empties the present replicas:
//! these end without a notice as soon as the operator is told of the success. How short is bound by what a
//! version may get that turns out to be bad only now.

use std::time::Duration;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::canary;
use crate::gateway::trial_evidence::Hearing;
use crate::gateway::trial_reports;
use crate::gateway::upgrade::Stage;
use crate::gateway::upgrade::Upgrade;
use crate::gateway::upgrade_verdict;
use crate::gateway::upgrade_verdict::Difference;
use crate::gateway::upgrade_verdict::Verdict;
use crate::ids::Timestamp;

/// The operator is told of a success this long before the time is over, so that the store has it in time.
const TOLD_BEFORE: Duration = Duration::from_millis(700);
/// Of a short order, no more than this part.
const TOLD_BEFORE_PART: f64 = 0.15;
/// Streams that run on present replicas need so long to move to new ones.
const STREAMS_MOVE_FOR: Duration = Duration::from_millis(2_500);
/// Plain calls end by themselves within this, nearly all.
const CALLS_END_WITHIN: Duration = Duration::from_millis(800);
/// The switch takes no less than this: all nodes hear of it, and what was placed before is sent.
const LEAST_SWITCH: Duration = Duration::from_millis(400);
/// Reports from so long after its begin on tell how the new version bears all requests.
const SWITCH_SETTLES_WITHIN: Duration = Duration::from_millis(200);
/// So long a success that half of the nodes' counts speak for waits for the others.
const WAITS_FOR_MOST: Duration = Duration::from_millis(200);
/// A service with few callers is told as upgraded this long after the time is over,
const WAITS_FOR_ANSWERS: Duration = Duration::from_secs(30);
/// if the new version has answered no more requests than this.
const FEW_ANSWERS: u32 = 20;
/// Part of what a bad version may get that the switch uses.
const PART_FOR_SWITCH: f64 = 0.7;
/// The new replicas that bear requests must have this part of the present ones' slots at least.
const LEAST_CAPACITY: f64 = 0.5;
/// Without any replica of the new version for so long after the time is over, the order is given up.
const GIVES_UP_AFTER: Duration = Duration::from_secs(10);

/// What a new version may get until the end of an order if it turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// This share of the service's requests,
    pub share: f64,
    /// and so many beyond.
    pub slack: f64,
}

/// Requests that the replicas of a version take at once, of those that may get some.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Of all other versions.
    pub present: u32,
    /// Of the new version.
    pub target: u32,
}

/// What a decision is made on.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The upgrade.
    pub upgrade: &'a Upgrade,
    /// The answers, as counted by all nodes.
    pub counts: &'a AnswerCounts,
    /// What the replicas bear.
    pub capacity: Capacity,
    /// Whether the service's requests are streams.
    pub has_streams: bool,
    /// Whether the store answers somebody: without it no success can be told.
    pub store_answers: bool,
    /// How much of the fleet was heard, by reports from [`heard_since`] on.
    pub hearing: Hearing,
    /// What the new version may get.
    pub bounds: ExposureBounds,
}

/// An upgrade goes on to another stage.
#[derive(Clone, Debug, PartialEq)]
pub struct NextStage {
    /// The stage.
    pub stage: Stage,
    /// Why.
    pub reason: Reason,
}

/// Why an upgrade goes on.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Reason {
    /// The new version is worse.
    #[display("worse: {_0}")]
    Worse(Difference),
    /// It has no replicas.
    #[display("no replica has the new version")]
    NoReplicas,
    /// Its trial is over, and nothing speaks against it.
    #[display("nothing speaks against it")]
    Sound,
}

/// A node is heard if its report is not from before this, as time from the order: in a switch, one from within it.
pub fn heard_since(upgrade: &Upgrade, nodes: usize, now: Timestamp) -> Duration {
    match roll_call(upgrade) {
        Some(at) => at.saturating_sub(upgrade.began),
        None => now.saturating_sub(upgrade.began + trial_reports::fresh_for(nodes)),
    }
}

/// When all nodes report once more, as the new version has got all requests for a moment.
pub fn roll_call(upgrade: &Upgrade) -> Option<Timestamp> {
    (upgrade.stage == Stage::Switch).then(|| upgrade.stage_since + SWITCH_SETTLES_WITHIN)
}

impl Situation<'_> {
    /// The stage that the upgrade goes on to now, if it does.
    pub fn next(&self, now: Timestamp) -> Option<NextStage> {
        let Upgrade { order, began, stage, stage_since } = self.upgrade;
        if *stage > Stage::Switch {
            return None;
        }
        let elapsed = now.saturating_sub(*began);
        let verdict = upgrade_verdict::verdict(self.counts);
        if let Verdict::Worse(difference) = verdict {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::Worse(difference) });
        }
        if self.capacity.target == 0 && elapsed > order.within + GIVES_UP_AFTER {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::NoReplicas });
        }
        if verdict == Verdict::Unknown || !self.store_answers {
            return None;
        }
        let told_at = order.within.saturating_sub(told_before(order.within));
        let since_switch = now.saturating_sub(*stage_since);
        let next = match stage {
            Stage::Trial if self.bears_all() && elapsed + self.switch_lasts(elapsed) >= told_at => {
                self.hears_enough(elapsed + LEAST_SWITCH >= told_at).then_some(Stage::Switch)
            }
            Stage::Switch
                if elapsed >= told_at && since_switch >= LEAST_SWITCH && self.has_answers(elapsed) =>
            {
                self.hears_enough(elapsed >= told_at + WAITS_FOR_MOST).then_some(Stage::Proven)
            }
            _ => None,
        };
        next.map(|stage| NextStage { stage, reason: Reason::Sound })
    }

    /// A success is told by nearly all nodes' counts, and by those of half of them where time is short: others may have
    /// ended a moment ago.
    fn hears_enough(&self, is_short_of_time: bool) -> bool {
        self.hearing >= if is_short_of_time { Hearing::Half } else { Hearing::Most }
    }

    /// Whether there are answers enough to tell a success by, or none are waited for any more.
    fn has_answers(&self, elapsed: Duration) -> bool {
        let is_overdue = elapsed >= self.upgrade.order.within + WAITS_FOR_ANSWERS;
        let are_few = self.counts.answered().1 <= FEW_ANSWERS;
        (is_overdue && are_few) || upgrade_verdict::speaks_for_target(self.counts)
    }

    /// How long all requests go to the new version before the operator is told: as long as the present replicas need
    /// to become empty, or as what a bad version may get allows.
    fn switch_lasts(&self, elapsed: Duration) -> Duration {
        let wanted = if self.has_streams { STREAMS_MOVE_FOR } else { CALLS_END_WITHIN };
        let (answered, exposed) = self.counts.answered();
        let rate = f64::from(answered) / elapsed.as_secs_f64().max(1.0);
        if rate <= 0.0 {
            return wanted;
        }
        let until_the_end = rate * self.upgrade.order.within.as_secs_f64();
        let still =
            canary::share_on_trial(self.bounds.share) * (until_the_end - f64::from(answered)).max(0.0);
        let allowed = self.bounds.share * until_the_end + self.bounds.slack - f64::from(exposed) - still;
        let affordable = (allowed * PART_FOR_SWITCH / rate).max(0.0);
        let affordable = Duration::try_from_secs_f64(affordable).unwrap_or(wanted);
        affordable.clamp(LEAST_SWITCH, wanted)
    }

    fn bears_all(&self) -> bool {
        f64::from(self.capacity.target) >= LEAST_CAPACITY * f64::from(self.capacity.present).max(1.0)
    }
}

fn told_before(within: Duration) -> Duration {
    TOLD_BEFORE.min(within.mul_f64(TOLD_BEFORE_PART))
}
