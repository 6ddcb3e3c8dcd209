//! Decides whether a new version answers worse than the present one, that is, whether more of its answers
//! are errors or slow, by the counts of all nodes together.
//!
//! The present version's answers on the same route define which answers are slow, and the baseline rate of
//! bad answers. The new version is worse if its number of bad answers is significantly above that rate.

use derive_more::Display;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::answer_counts::Answers;
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

    fn errors_and_slow(counts: &AnswersByVersion) -> Self {
        let AnswersByVersion { present, target } = counts;
        let is_known = present.count() >= MIN_PRESENT_ANSWERS;
        let slow = present.median_bucket().filter(|_| is_known).map(|median| median + SLOW_BUCKETS);
        let count_slow = |answers: &Answers| slow.map_or(0, |slow| answers.count_from(slow));
        let errors = BadCounts::errors(counts);
        BadCounts {
            present: errors.present + count_slow(present),
            target: errors.target + count_slow(target),
            ..errors
        }
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

    fn supports_target(self) -> bool {
        // The measured rate, not the upper estimate: few answers of the present version must not excuse bad
        // ones.
        let seen = f64::from(self.present) / f64::from(self.of_present.max(1));
        let rate = (seen.max(MIN_BASELINE_RATE) + CLEARLY_BAD_MARGIN).min(1.0);
        1.0 - binomial_tail(self.target + 1, self.of_target, rate) < SUPPORT_SIGNIFICANCE
    }

    fn is_worse(self) -> bool {
        self.target >= MIN_BAD_ANSWERS
            && binomial_tail(self.target, self.of_target, self.baseline_rate()) < WORSE_SIGNIFICANCE
    }

    fn regression(self, route: Option<RouteId>, measure: Measure) -> Option<Regression> {
        let is_worse = self.is_worse();
        let regression =
            Regression { route, measure, bad: self.target, of: self.of_target, usual: self.baseline_rate() };
        is_worse.then_some(regression)
    }
}

/// Compares both versions by the counts of all nodes. Errors are also checked on their own, since a service
/// that is often slow would hide them.
pub fn verdict(counts: &AnswerCounts) -> Verdict {
    let (mut all_errors, mut all) = (BadCounts::default(), BadCounts::default());
    for ((route, measure), answers) in &counts.in_phases(&Phase::ALL) {
        let (errors, bad) = (BadCounts::errors(answers), BadCounts::errors_and_slow(answers));
        let worse = [errors, bad].into_iter().find_map(|bad| bad.regression(Some(route.clone()), *measure));
        if let Some(regression) = worse {
            return Verdict::Worse(regression);
        }
        if *measure == Measure::Answer {
            (all_errors, all) = (all_errors.add(errors), all.add(bad));
        }
    }
    let worse = [all_errors, all].into_iter().find_map(|bad| bad.regression(None, Measure::Answer));
    match worse {
        Some(regression) => Verdict::Worse(regression),
        None if all.of_target == 0 => Verdict::Unknown,
        None => Verdict::NotWorse,
    }
}

/// Whether the new version's answers are evidence that it is good, not just too few to show that it is bad.
pub fn supports_target(counts: &AnswerCounts) -> bool {
    let sums = counts.in_phases(&Phase::ALL);
    let answers = sums.iter().filter(|((_, measure), _)| *measure == Measure::Answer);
    let all =
        answers.fold(BadCounts::default(), |all, (_, answers)| all.add(BadCounts::errors_and_slow(answers)));
    all.supports_target()
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
