//! Whether a new version answers worse than the present one: more of its answers are errors or slow, over all
//! nodes together.
//!
//! What counts as slow is taken from the present version on the same route, and so is how often that is usual. The
//! new version is worse if so many bad answers would hardly come about by chance.

use derive_more::Display;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::answer_counts::Answers;
use crate::gateway::answer_counts::AnswersByVersion;
use crate::gateway::answer_counts::Measure;
use crate::gateway::routing::RouteId;

/// An answer is slow from so many half octaves above the present version's middle on: two to three times as long.
const SLOW_BUCKETS: u8 = 3;
/// Answers of the present version that tell what is usual.
const MIN_PRESENT_ANSWERS: u32 = 12;
/// A version is worse if its bad answers, or more, would come with less than this chance from one that is as good
/// as the present one. A trial is looked at some hundred times, mostly at the same answers.
const WORSE_SIGNIFICANCE: f64 = 2e-5;
/// Part of the answers that is bad at least, for all that is known, of a version without a fault.
const MIN_BASELINE_RATE: f64 = 0.01;
/// Bad answers that speak against a version at least: one request may fail at whatever replica it meets.
const MIN_BAD_ANSWERS: u32 = 3;

/// A version is clearly bad if this much more of its answers is bad than usual.
const CLEARLY_BAD_MARGIN: f64 = 0.2;
/// Answers speak for a version if a clearly bad one would have so few bad answers, or fewer, with less than this chance.
const SUPPORT_SIGNIFICANCE: f64 = 0.01;

/// What the counts say of the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It has answered nothing yet.
    Unknown,
    /// Nothing speaks against it.
    NotWorse,
    /// It is worse.
    Worse(Regression),
}

/// What speaks against a version.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{bad} of {of} answers bad on {} ({measure:?}), {usual:.3} usual", route.as_deref().unwrap_or("all routes"))]
pub struct Regression {
    /// Where; `None` for all routes together.
    pub route: Option<RouteId>,
    /// What was measured.
    pub measure: Measure,
    /// Answers that were errors or slow.
    pub bad: u32,
    /// Answers in all.
    pub of: u32,
    /// The part that is bad of the present version's, at the most for all that is known.
    pub usual: f64,
}

/// Answers of one kind, such as errors, among all answers of both versions.
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

    /// The part that is bad of the present version's answers, one standard error above what was seen.
    fn baseline_rate(self) -> f64 {
        let bad = f64::from(self.present) + 1.0;
        ((bad + bad.sqrt()) / (f64::from(self.of_present) + 2.0)).clamp(MIN_BASELINE_RATE, 1.0)
    }

    fn supports_target(self) -> bool {
        // Where little is known of the present version, nothing is excused by it.
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

/// What the counts of all nodes say. Errors are looked at alone too: a service that is often slow would hide them.
pub fn verdict(counts: &AnswerCounts) -> Verdict {
    let (mut all_errors, mut all) = (BadCounts::default(), BadCounts::default());
    for (route, measure, answers) in counts.iter() {
        let (errors, bad) = (BadCounts::errors(answers), BadCounts::errors_and_slow(answers));
        let worse = [errors, bad].into_iter().find_map(|bad| bad.regression(Some(route.clone()), measure));
        if let Some(regression) = worse {
            return Verdict::Worse(regression);
        }
        if measure == Measure::Answer {
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

/// Whether the new version's answers are enough to speak for it, not just too few to speak against it.
pub fn supports_target(counts: &AnswerCounts) -> bool {
    let answers = counts.iter().filter(|(_, measure, _)| *measure == Measure::Answer);
    let all = answers
        .fold(BadCounts::default(), |all, (_, _, answers)| all.add(BadCounts::errors_and_slow(answers)));
    all.supports_target()
}

/// The chance that at least `bad` of `of` answers are bad where each one is with the chance `usual`.
pub fn binomial_tail(bad: u32, of: u32, usual: f64) -> f64 {
    if usual >= 1.0 || bad == 0 {
        return 1.0;
    }
    let odds = usual / (1.0 - usual);
    // The chance of exactly `k` bad ones, from that of none on.
    let mut exactly = (1.0 - usual).powi(of as i32);
    let mut below = 0.0;
    for k in 0..bad.min(of + 1) {
        below += exactly;
        exactly *= odds * f64::from(of - k) / f64::from(k + 1);
    }
    (1.0 - below).max(0.0)
}
