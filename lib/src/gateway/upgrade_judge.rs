//! Decides when an upgrade advances to its next stage.
//!
//! The trial lasts nearly as long as the operator allows, since a version may turn bad late. Then, in the
//! switch, all requests go to the new version for a short time. This shows whether it can carry the full
//! load, and drains the present replicas, which end without notice as soon as the success is reported to the
//! operator. The length of the switch is limited by the number of requests that a version may get that turns
//! out to be bad only then.
//!
//! In the switch the present version answers nothing, so a moment that slows any version looks like a slow new
//! version. Answers that are clearly slow then lead to a recheck, side by side with a small share again, and a
//! second switch. If answers are clearly slow in that one too, the version can't carry the full load.

use std::time::Duration;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::answer_counts::Phase;
use crate::gateway::canary;
use crate::gateway::trial_evidence::Coverage;
use crate::gateway::trial_reports;
use crate::gateway::upgrade::Stage;
use crate::gateway::upgrade::Upgrade;
use crate::gateway::upgrade_verdict;
use crate::gateway::upgrade_verdict::Regression;
use crate::gateway::upgrade_verdict::Verdict;
use crate::ids::Timestamp;

/// A success is reported to the operator this long before the deadline, so that it is stored in time.
const SUCCESS_REPORT_MARGIN: Duration = Duration::from_millis(700);
/// Upper limit of [`SUCCESS_REPORT_MARGIN`] as a fraction of the order's time, for short orders.
const SUCCESS_REPORT_MARGIN_SHARE: f64 = 0.15;
/// Time that it takes to move the running streams from present replicas to new ones.
const STREAM_MOVE_TIME: Duration = Duration::from_millis(2_500);
/// Time within which nearly all plain calls end by themselves.
const CALL_DRAIN_TIME: Duration = Duration::from_millis(800);
/// Minimum length of the switch: all nodes are notified of it, and the requests placed before it are sent.
const MIN_SWITCH_TIME: Duration = Duration::from_millis(400);
/// Minimum length of the recheck: its beginning does not count, and fast answers are reported before slow ones.
const MIN_RECHECK_TIME: Duration = Duration::from_secs(3);
/// Reports made this long after the start of the switch or later show how the new version carries all
/// requests.
const SWITCH_SETTLE_TIME: Duration = Duration::from_millis(200);
/// How long a success that is supported by the counts of half of the nodes waits for the other nodes.
const MAX_WAIT_FOR_MOST_NODES: Duration = Duration::from_millis(200);
/// The upgrade of a service with few callers is reported as a success this long after the deadline if the
/// new version has answered at most [`FEW_ANSWERS`] requests.
const MAX_WAIT_FOR_ANSWERS: Duration = Duration::from_secs(30);
/// Number of answers up to which [`MAX_WAIT_FOR_ANSWERS`] applies.
const FEW_ANSWERS: u32 = 20;
/// A success needs answers of the switch: this fraction of the number that usually comes in
/// [`SWITCH_SETTLE_TIME`].
const MIN_SWITCH_ANSWER_SHARE: f64 = 0.5;
/// Fraction of the requests that a bad version may still get which the switch uses.
const SWITCH_BUDGET_SHARE: f64 = 0.7;
/// Minimum ratio of the slots of the new replicas that accept requests to those of the present replicas.
const MIN_CAPACITY_RATIO: f64 = 0.5;
/// An order without any replica of the new version is abandoned this long after the deadline.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// Limit on the requests that a new version may get until the end of an order if it turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests allowed in addition to the share.
    pub slack: f64,
}

/// Number of concurrent requests that the replicas which may get requests accept, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Replicas of all other versions.
    pub present: u32,
    /// Replicas of the new version.
    pub target: u32,
}

/// Inputs of a decision.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The upgrade.
    pub upgrade: &'a Upgrade,
    /// The answers that all nodes have counted.
    pub counts: &'a AnswerCounts,
    /// Capacity of the replicas.
    pub capacity: Capacity,
    /// Whether the service's requests are streams.
    pub has_streams: bool,
    /// Whether the store answers any node: without it no success can be reported.
    pub store_answers: bool,
    /// How much of the fleet has sent a report dated [`report_cutoff`] or later.
    pub hearing: Coverage,
    /// Limit on the requests that a bad version may get.
    pub bounds: ExposureBounds,
}

/// A decision to advance an upgrade to another stage.
#[derive(Clone, Debug, PartialEq)]
pub struct NextStage {
    /// The stage.
    pub stage: Stage,
    /// Reason for the decision.
    pub reason: Reason,
}

/// Why an upgrade advances to another stage.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Reason {
    /// The new version is worse.
    #[display("worse: {_0}")]
    Worse(Regression),
    /// The new version answered slowly when it got all requests.
    #[display("slow with all requests: {_0}")]
    SlowWithAllRequests(Regression),
    /// The new version has no replicas.
    #[display("no replica has the new version")]
    NoReplicas,
    /// The trial is over, and no regression was found.
    #[display("nothing speaks against it")]
    NotWorse,
}

/// Earliest date, as time since the order, of reports that count for the coverage. In the switch, only
/// reports made during it count.
pub fn report_cutoff(upgrade: &Upgrade, nodes: usize, now: Timestamp) -> Duration {
    match switch_report_at(upgrade) {
        Some(at) => at.saturating_sub(upgrade.began),
        None => now.saturating_sub(upgrade.began + trial_reports::max_report_age(nodes)),
    }
}

/// Time from which on all nodes send one more report, when the new version has had all requests for a
/// moment; `None` outside the switch.
pub fn switch_report_at(upgrade: &Upgrade) -> Option<Timestamp> {
    upgrade.stage.is_switch().then(|| upgrade.stage_since + SWITCH_SETTLE_TIME)
}

impl Situation<'_> {
    /// The stage that the upgrade advances to now, if any.
    pub fn next(&self, now: Timestamp) -> Option<NextStage> {
        let Upgrade { order, began, stage, stage_since } = self.upgrade;
        if !stage.is_judged() {
            return None;
        }
        let elapsed = now.saturating_sub(*began);
        let verdict = upgrade_verdict::verdict(self.counts);
        if let Verdict::Worse(regression) = verdict {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::Worse(regression) });
        }
        if let Some(next) = self.after_slow_answers() {
            return Some(next);
        }
        if self.capacity.target == 0 && elapsed > order.within + ABANDON_AFTER {
            return Some(NextStage { stage: Stage::Reverted, reason: Reason::NoReplicas });
        }
        if verdict == Verdict::Unknown || !self.store_answers {
            return None;
        }
        let report_success_at = order.within.saturating_sub(success_report_margin(order.within));
        let since_stage = now.saturating_sub(*stage_since);
        let next = match stage {
            Stage::Trial
                if self.has_capacity() && elapsed + self.switch_time(elapsed) >= report_success_at =>
            {
                self.has_enough_coverage(elapsed + MIN_SWITCH_TIME >= report_success_at)
                    .then_some(Stage::Switch)
            }
            Stage::Recheck
                if self.has_capacity()
                    && elapsed >= order.within
                    && since_stage >= MIN_RECHECK_TIME
                    && self.has_enough_rechecked_answers(elapsed) =>
            {
                self.has_enough_coverage(true).then_some(Stage::SecondSwitch)
            }
            Stage::Switch | Stage::SecondSwitch
                if elapsed >= report_success_at
                    && since_stage >= self.min_switch_time()
                    && self.has_enough_answers(elapsed) =>
            {
                self.has_enough_coverage(elapsed >= report_success_at + MAX_WAIT_FOR_MOST_NODES)
                    .then_some(Stage::Proven)
            }
            _ => None,
        };
        next.map(|stage| NextStage { stage, reason: Reason::NotWorse })
    }

    /// The stage that follows because answers were clearly slow when the new version got all requests.
    fn after_slow_answers(&self) -> Option<NextStage> {
        let stage = match self.upgrade.stage {
            Stage::Switch => Stage::Recheck,
            Stage::SecondSwitch => Stage::Reverted,
            _ => return None,
        };
        let slow = upgrade_verdict::clearly_slow(self.counts, self.switch_phase()?)?;
        Some(NextStage { stage, reason: Reason::SlowWithAllRequests(slow) })
    }

    /// The phase of requests that begin now, if all of them go to the new version.
    fn switch_phase(&self) -> Option<Phase> {
        match self.upgrade.stage {
            Stage::Switch => Some(Phase::Switch),
            Stage::SecondSwitch => Some(Phase::SecondSwitch),
            _ => None,
        }
    }

    /// Whether enough nodes have reported to decide on a success: nearly all of them, or half of them if
    /// time is short, since the other nodes may have ended a moment ago.
    fn has_enough_coverage(&self, is_time_short: bool) -> bool {
        self.hearing >= if is_time_short { Coverage::Half } else { Coverage::Most }
    }

    /// Whether there are enough answers to decide on a success, or the wait for more is over.
    fn has_enough_answers(&self, elapsed: Duration) -> bool {
        let are_few = self.counts.answered().1 <= FEW_ANSWERS;
        let may_be_slow = |phase| upgrade_verdict::may_be_clearly_slow(self.counts, phase);
        (self.is_overdue(elapsed) && are_few)
            || (upgrade_verdict::supports_target(self.counts)
                && (self.has_switch_answers(elapsed) || self.is_overdue(elapsed))
                && !self.switch_phase().is_some_and(may_be_slow))
    }

    /// Whether the new version has answered requests since it got all of them. Otherwise a success would rest
    /// on the trial alone, although the version may have turned bad.
    fn has_switch_answers(&self, elapsed: Duration) -> bool {
        let Some(phase) = self.switch_phase() else {
            return false;
        };
        let rate = f64::from(self.counts.answered().0) / elapsed.as_secs_f64().max(1.0);
        let expected = rate * SWITCH_SETTLE_TIME.as_secs_f64();
        f64::from(self.counts.answered_in(&[phase]).1) >= MIN_SWITCH_ANSWER_SHARE * expected
    }

    /// The same for the decision on the second switch, by the answers of the recheck.
    fn has_enough_rechecked_answers(&self, elapsed: Duration) -> bool {
        let are_few = self.counts.answered_in(&[Phase::Recheck]).1 <= FEW_ANSWERS;
        (self.is_overdue(elapsed) && are_few) || upgrade_verdict::recheck_supports_target(self.counts)
    }

    fn is_overdue(&self, elapsed: Duration) -> bool {
        elapsed >= self.upgrade.order.within + MAX_WAIT_FOR_ANSWERS
    }

    /// Minimum time for which all requests go to the new version. The second switch begins after the order's
    /// time, so it takes as long as it takes to drain the present replicas.
    fn min_switch_time(&self) -> Duration {
        match self.upgrade.stage {
            Stage::SecondSwitch => self.drain_time(),
            _ => MIN_SWITCH_TIME,
        }
    }

    fn drain_time(&self) -> Duration {
        if self.has_streams { STREAM_MOVE_TIME } else { CALL_DRAIN_TIME }
    }

    /// How long all requests go to the new version before a success is reported: as long as it takes to
    /// drain the present replicas, or less if the limit on requests to a bad version requires it.
    fn switch_time(&self, elapsed: Duration) -> Duration {
        let wanted = self.drain_time();
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
