//! Decides whether a new version answers worse than the present one, that is, whether more of its answers
//! are errors or slow, by the counts of all nodes together.
//!
//! The present version's answers on the same route define which answers are slow, and the baseline rate of
//! bad answers. The new version is worse if its number of bad answers is significantly above that rate.

use derive_more::Display;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::answer_counts::Answers;
use crate::gateway::answer_counts::AnswersByRoute;
use crate::gateway::answer_counts::AnswersByVersion;
use crate::gateway::answer_counts::Measure;
use crate::gateway::answer_counts::Phase;
use crate::gateway::routing::RouteId;

/// An answer is slow from this many half octaves above the present version's median on, which is two to
/// three times as long.
const SLOW_BUCKETS: u8 = 3;
/// Minimum number of the present version's answers that define which answers are slow.
const MIN_PRESENT_ANSWERS: u32 = 12;
/// Significance level for a worse version: the probability that a version as good as the present one has at
/// least as many bad answers must be below this. The level is low since a trial is checked some hundred
/// times, mostly on the same answers.
const WORSE_SIGNIFICANCE: f64 = 2e-5;
/// Minimum baseline rate of bad answers: a version without a fault may have this rate, whatever was measured.
const MIN_BASELINE_RATE: f64 = 0.01;
/// Minimum number of bad answers of a worse version: a single request may fail at any replica.
const MIN_BAD_ANSWERS: u32 = 3;

/// A version is clearly bad if its rate of bad answers is this much above the measured rate of the present
/// version.
const CLEARLY_BAD_MARGIN: f64 = 0.2;
/// A version is clearly slow in the switch if its rate of slow answers is this much above the measured rate of
/// the present version: less than a bad version's, but more than a busy moment adds.
const CLEARLY_SLOW_MARGIN: f64 = 0.05;
/// Minimum number of answers of the switch that can be clearly slow. The first ones need new connections, and
/// are as slow as each other.
const MIN_SWITCH_ANSWERS: u32 = 30;
/// Number of answers after which an inconclusive part of slow ones is taken for noise in the switch.
const ENOUGH_SWITCH_ANSWERS: u32 = 100;
/// Significance level for a good version: the probability that a clearly bad version has at most as many bad
/// answers must be below this.
const SUPPORT_SIGNIFICANCE: f64 = 0.01;

/// Result of comparing the new version with the present one.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The new version has answered nothing yet.
    Unknown,
    /// No regression was found.
    NotWorse,
    /// The new version is worse.
    Worse(Regression),
}

/// Evidence that the new version is worse.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{bad} of {of} answers bad on {} ({measure:?}), {usual:.3} usual", route.as_deref().unwrap_or("all routes"))]
pub struct Regression {
    /// The route; `None` for all routes together.
    pub route: Option<RouteId>,
    /// The measure.
    pub measure: Measure,
    /// Number of the new version's answers that were bad.
    pub bad: u32,
    /// Number of the new version's answers in all.
    pub of: u32,
    /// Upper estimate of the present version's rate of bad answers.
    pub usual: f64,
}

/// Number of bad answers of one kind, such as errors, and of all answers, of both versions.
#[derive(Clone, Copy, Debug, Default)]
struct BadCounts {
    present: u32,
    of_present: u32,
    target: u32,
    of_target: u32,
}

impl BadCounts {
    fn errors(AnswersByVersion { present, target }: &AnswersByVersion) -> Self {
        BadCounts {
            present: present.failed,
            of_present: present.count(),
            target: target.failed,
            of_target: target.count(),
        }
    }

    fn slow(counts: &AnswersByVersion) -> Self {
        let AnswersByVersion { present, target } = counts;
        let is_known = present.count() >= MIN_PRESENT_ANSWERS;
        let slow = present.median_bucket().filter(|_| is_known).map(|median| median + SLOW_BUCKETS);
        let count_slow = |answers: &Answers| slow.map_or(0, |slow| answers.count_from(slow));
        BadCounts { present: count_slow(present), target: count_slow(target), ..BadCounts::errors(counts) }
    }

    fn errors_and_slow(counts: &AnswersByVersion) -> Self {
        let (errors, slow) = (BadCounts::errors(counts), BadCounts::slow(counts));
        BadCounts { present: errors.present + slow.present, target: errors.target + slow.target, ..errors }
    }

    /// Errors only, without the new version's slow answers.
    fn errors_of_fast(counts: &AnswersByVersion) -> Self {
        let (errors, slow) = (BadCounts::errors(counts), BadCounts::slow(counts));
        BadCounts { of_target: errors.of_target - slow.target, ..errors }
    }

    fn add(self, other: BadCounts) -> BadCounts {
        BadCounts {
            present: self.present + other.present,
            of_present: self.of_present + other.of_present,
            target: self.target + other.target,
            of_target: self.of_target + other.of_target,
        }
    }

    /// Baseline rate of bad answers: one standard error above the rate measured for the present version.
    fn baseline_rate(self) -> f64 {
        let bad = f64::from(self.present) + 1.0;
        ((bad + bad.sqrt()) / (f64::from(self.of_present) + 2.0)).clamp(MIN_BASELINE_RATE, 1.0)
    }

    /// Rate of bad answers that is above the present version's by `margin`.
    fn rate_above_present(self, margin: f64) -> f64 {
        // The measured rate, not the upper estimate: few answers of the present version must not excuse bad
        // ones.
        let seen = f64::from(self.present) / f64::from(self.of_present.max(1));
        (seen.max(MIN_BASELINE_RATE) + margin).min(1.0)
    }

    fn supports_target(self) -> bool {
        let rate = self.rate_above_present(CLEARLY_BAD_MARGIN);
        1.0 - binomial_tail(self.target + 1, self.of_target, rate) < SUPPORT_SIGNIFICANCE
    }

    fn is_clearly_slow(self) -> bool {
        let rate = self.rate_above_present(CLEARLY_SLOW_MARGIN);
        self.of_target >= MIN_SWITCH_ANSWERS
            && binomial_tail(self.target, self.of_target, rate) < WORSE_SIGNIFICANCE
    }

    fn is_worse(self) -> bool {
        self.target >= MIN_BAD_ANSWERS
            && binomial_tail(self.target, self.of_target, self.baseline_rate()) < WORSE_SIGNIFICANCE
    }

    fn regression(self, route: Option<RouteId>, measure: Measure) -> Regression {
        Regression { route, measure, bad: self.target, of: self.of_target, usual: self.baseline_rate() }
    }
}

/// The first regression on a route, or on all routes together, of answers that `count` calls bad and that
/// `is_worse` finds too many.
fn regression(
    answers: &AnswersByRoute,
    count: fn(&AnswersByVersion) -> BadCounts,
    is_worse: fn(BadCounts) -> bool,
) -> Option<Regression> {
    let by_route = answers.iter().find_map(|((route, measure), answers)| {
        let bad = count(answers);
        is_worse(bad).then(|| bad.regression(Some(route.clone()), *measure))
    });
    let all = all_routes(answers, count);
    by_route.or_else(|| is_worse(all).then(|| all.regression(None, Measure::Answer)))
}

fn all_routes(answers: &AnswersByRoute, count: fn(&AnswersByVersion) -> BadCounts) -> BadCounts {
    let answers = answers.iter().filter(|((_, measure), _)| *measure == Measure::Answer);
    answers.fold(BadCounts::default(), |all, (_, answers)| all.add(count(answers)))
}

/// Compares both versions by the counts of all nodes. Errors are compared over all phases, and also on their
/// own, since a service that is often slow would hide them. Slow answers are compared within each phase in
/// which both versions answer: whatever slows one moment slows both versions.
pub fn verdict(counts: &AnswerCounts) -> Verdict {
    let errors = regression(&counts.in_phases(&Phase::ALL), BadCounts::errors, BadCounts::is_worse);
    let worse = errors.or_else(|| {
        Phase::SIDE_BY_SIDE.into_iter().find_map(|phase| {
            regression(&counts.in_phases(&[phase]), BadCounts::errors_and_slow, BadCounts::is_worse)
        })
    });
    match worse {
        Some(regression) => Verdict::Worse(regression),
        None if counts.answered().1 == 0 => Verdict::Unknown,
        None => Verdict::NotWorse,
    }
}

/// Evidence that the new version is clearly slow in a phase in which it gets all requests. Its answers are
/// compared with those that the present version gave in other phases. Since a moment that would slow both
/// versions looks the same, and its answers are not independent of each other, more is required than of a
/// regression: a rate above the present version's by a margin.
pub fn clearly_slow(counts: &AnswerCounts, phase: Phase) -> Option<Regression> {
    let answers = with_present_of_side_by_side(counts, &[phase]);
    regression(&answers, BadCounts::slow, BadCounts::is_clearly_slow)
}

/// Whether too few requests were answered in a phase in which the new version gets all of them to call it
/// clearly slow, and so many of the answers are slow that more could.
pub fn may_be_clearly_slow(counts: &AnswerCounts, phase: Phase) -> bool {
    let slow = all_routes(&with_present_of_side_by_side(counts, &[phase]), BadCounts::slow);
    slow.target >= MIN_BAD_ANSWERS
        && slow.of_target < ENOUGH_SWITCH_ANSWERS
        && f64::from(slow.target) > slow.rate_above_present(CLEARLY_SLOW_MARGIN) * f64::from(slow.of_target)
}

/// The new version's answers in some phases, beside those that the present version gave where both answered.
fn with_present_of_side_by_side(counts: &AnswerCounts, phases: &[Phase]) -> AnswersByRoute {
    let mut present = counts.in_phases(&Phase::SIDE_BY_SIDE);
    let mut answers = counts.in_phases(phases);
    for (cell, answers) in &mut answers {
        answers.present = present.remove(cell).unwrap_or_default().present;
    }
    answers
}

/// Whether the new version's answers are evidence that it is good, not just too few to show that it is bad.
/// Slow answers of phases that can't be compared speak neither for nor against it.
pub fn supports_target(counts: &AnswerCounts) -> bool {
    let not_compared = with_present_of_side_by_side(counts, &Phase::NOT_COMPARED);
    let not_compared = all_routes(&not_compared, BadCounts::errors_of_fast);
    let side_by_side = Phase::SIDE_BY_SIDE
        .map(|phase| all_routes(&counts.in_phases(&[phase]), BadCounts::errors_and_slow))
        .into_iter()
        .fold(BadCounts::default(), BadCounts::add);
    BadCounts {
        target: side_by_side.target + not_compared.target,
        of_target: side_by_side.of_target + not_compared.of_target,
        ..side_by_side
    }
    .supports_target()
}

/// The same by the answers to requests that began in the recheck alone.
pub fn recheck_supports_target(counts: &AnswerCounts) -> bool {
    all_routes(&counts.in_phases(&[Phase::Recheck]), BadCounts::errors_and_slow).supports_target()
}

/// Probability that at least `bad` of `of` answers are bad if each one is with the probability `usual`.
pub fn binomial_tail(bad: u32, of: u32, usual: f64) -> f64 {
    if usual >= 1.0 || bad == 0 {
        return 1.0;
    }
    let odds = usual / (1.0 - usual);
    // Probability of exactly `k` bad answers, starting at none.
    let mut exactly = (1.0 - usual).powi(of as i32);
    let mut below = 0.0;
    for k in 0..bad.min(of + 1) {
        below += exactly;
        exactly *= odds * f64::from(of - k) / f64::from(k + 1);
    }
    (1.0 - below).max(0.0)
}
