//! When an upgrade goes on to its next stage.
//!
//! The trial lasts nearly as long as the operator allows, as a version may turn bad late. Then all requests go to
//! the new version for a short time, which shows whether it bears the whole load and empties the present replicas:
//! these end without a notice as soon as the operator is told of the success. How short is bound by what a
//! version may get that turns out to be bad only now.

use std::time::Duration;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::canary;
use crate::gateway::trial_evidence::Coverage;
use crate::gateway::trial_reports;
use crate::gateway::upgrade::Stage;
use crate::gateway::upgrade::Upgrade;
use crate::gateway::upgrade_verdict;
use crate::gateway::upgrade_verdict::Regression;
use crate::gateway::upgrade_verdict::Verdict;
use crate::ids::Timestamp;

/// The operator is told of a success this long before the time is over, so that the store has it in time.
const SUCCESS_REPORT_MARGIN: Duration = Duration::from_millis(700);
/// Of a short order, no more than this part.
const SUCCESS_REPORT_MARGIN_SHARE: f64 = 0.15;
/// Streams that run on present replicas need so long to move to new ones.
const STREAM_MOVE_TIME: Duration = Duration::from_millis(2_500);
/// Plain calls end by themselves within this, nearly all.
const CALL_DRAIN_TIME: Duration = Duration::from_millis(800);
/// The switch takes no less than this: all nodes hear of it, and what was placed before is sent.
const MIN_SWITCH_TIME: Duration = Duration::from_millis(400);
/// Reports from so long after its begin on tell how the new version bears all requests.
const SWITCH_SETTLE_TIME: Duration = Duration::from_millis(200);
/// So long a success that half of the nodes' counts speak for waits for the others.
const MAX_WAIT_FOR_MOST_NODES: Duration = Duration::from_millis(200);
/// A service with few callers is told as upgraded this long after the time is over,
const MAX_WAIT_FOR_ANSWERS: Duration = Duration::from_secs(30);
/// if the new version has answered no more requests than this.
const FEW_ANSWERS: u32 = 20;
/// Part of what a bad version may get that the switch uses.
const SWITCH_BUDGET_SHARE: f64 = 0.7;
/// The new replicas that bear requests must have this part of the present ones' slots at least.
const MIN_CAPACITY_RATIO: f64 = 0.5;
/// Without any replica of the new version for so long after the time is over, the order is given up.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

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
    /// How much of the fleet was heard, by reports from [`report_cutoff`] on.
    pub hearing: Coverage,
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
    Worse(Regression),
    /// It has no replicas.
    #[display("no replica has the new version")]
    NoReplicas,
    /// Its trial is over, and nothing speaks against it.
    #[display("nothing speaks against it")]
    NotWorse,
}

/// A node is heard if its report is not from before this, as time from the order: in a switch, one from within it.
pub fn report_cutoff(upgrade: &Upgrade, nodes: usize, now: Timestamp) -> Duration {
    match switch_report_at(upgrade) {
        Some(at) => at.saturating_sub(upgrade.began),
        None => now.saturating_sub(upgrade.began + trial_reports::max_report_age(nodes)),
    }
}

/// When all nodes report once more, as the new version has got all requests for a moment.
pub fn switch_report_at(upgrade: &Upgrade) -> Option<Timestamp> {
    (upgrade.stage == Stage::Switch).then(|| upgrade.stage_since + SWITCH_SETTLE_TIME)
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
        if let Verdict::Worse(regression) = verdict {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::Worse(regression) });
        }
        if self.capacity.target == 0 && elapsed > order.within + ABANDON_AFTER {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::NoReplicas });
        }
        if verdict == Verdict::Unknown || !self.store_answers {
            return None;
        }
        let report_success_at = order.within.saturating_sub(success_report_margin(order.within));
        let since_switch = now.saturating_sub(*stage_since);
        let next = match stage {
            Stage::Trial
                if self.has_capacity() && elapsed + self.switch_time(elapsed) >= report_success_at =>
            {
                self.has_enough_coverage(elapsed + MIN_SWITCH_TIME >= report_success_at)
                    .then_some(Stage::Switch)
            }
            Stage::Switch
                if elapsed >= report_success_at
                    && since_switch >= MIN_SWITCH_TIME
                    && self.has_enough_answers(elapsed) =>
            {
                self.has_enough_coverage(elapsed >= report_success_at + MAX_WAIT_FOR_MOST_NODES)
                    .then_some(Stage::Proven)
            }
            _ => None,
        };
        next.map(|stage| NextStage { stage, reason: Reason::NotWorse })
    }

    /// A success is told by nearly all nodes' counts, and by those of half of them where time is short: others may have
    /// ended a moment ago.
    fn has_enough_coverage(&self, is_time_short: bool) -> bool {
        self.hearing >= if is_time_short { Coverage::Half } else { Coverage::Most }
    }

    /// Whether there are answers enough to tell a success by, or none are waited for any more.
    fn has_enough_answers(&self, elapsed: Duration) -> bool {
        let is_overdue = elapsed >= self.upgrade.order.within + MAX_WAIT_FOR_ANSWERS;
        let are_few = self.counts.answered().1 <= FEW_ANSWERS;
        (is_overdue && are_few) || upgrade_verdict::supports_target(self.counts)
    }

    /// How long all requests go to the new version before the operator is told: as long as the present replicas need
    /// to become empty, or as what a bad version may get allows.
    fn switch_time(&self, elapsed: Duration) -> Duration {
        let wanted = if self.has_streams { STREAM_MOVE_TIME } else { CALL_DRAIN_TIME };
        let (answered, exposed) = self.counts.answered();
        let rate = f64::from(answered) / elapsed.as_secs_f64().max(1.0);
        if rate <= 0.0 {
            return wanted;
        }
        let expected_total = rate * self.upgrade.order.within.as_secs_f64();
        let trial_remainder =
            canary::trial_share(self.bounds.share) * (expected_total - f64::from(answered)).max(0.0);
        let allowed =
            self.bounds.share * expected_total + self.bounds.slack - f64::from(exposed) - trial_remainder;
        let affordable = (allowed * SWITCH_BUDGET_SHARE / rate).max(0.0);
        let affordable = Duration::try_from_secs_f64(affordable).unwrap_or(wanted);
        affordable.clamp(MIN_SWITCH_TIME, wanted)
    }

    fn has_capacity(&self) -> bool {
        f64::from(self.capacity.target) >= MIN_CAPACITY_RATIO * f64::from(self.capacity.present).max(1.0)
    }
}

fn success_report_margin(within: Duration) -> Duration {
    SUCCESS_REPORT_MARGIN.min(within.mul_f64(SUCCESS_REPORT_MARGIN_SHARE))
}
