//! Whether a new version answers worse than the present one: more of its answers are errors or slow, over all
//! nodes together.
//!
//! What counts as slow is taken from the present version on the same route, and so is how often that is usual. The
//! new version is worse if so many bad answers would hardly come about by chance.

use derive_more::Display;

use crate::gateway::answer_counts::AnswerCounts;
use crate::gateway::answer_counts::Answers;
use crate::gateway::answer_counts::Compared;
use crate::gateway::answer_counts::Measure;
use crate::gateway::routing::RouteId;

/// An answer is slow from so many half octaves above the present version's middle on: two to three times as long.
const SLOW_STEPS: u8 = 3;
/// Answers of the present version that tell what is usual.
const LEAST_PRESENT: u32 = 12;
/// A version is worse if its bad answers, or more, would come with less than this chance from one that is as good
/// as the present one. A trial is looked at some hundred times, mostly at the same answers.
const LEAST_CHANCE: f64 = 2e-5;
/// Part of the answers that is bad at least, for all that is known, of a version without a fault.
const LEAST_USUAL: f64 = 0.01;
/// Bad answers that speak against a version at least: one request may fail at whatever replica it meets.
const LEAST_BAD: u32 = 3;

/// A version is clearly bad if this much more of its answers is bad than usual.
const CLEARLY_BAD: f64 = 0.2;
/// Answers speak for a version if a clearly bad one would have so few bad answers, or fewer, with less than this chance.
const LEAST_DOUBT: f64 = 0.01;

/// What the counts say of the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It has answered nothing yet.
    Unknown,
    /// Nothing speaks against it.
    Sound,
    /// It is worse.
    Worse(Difference),
}

/// What speaks against a version.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{bad} of {of} answers bad on {} ({measure:?}), {usual:.3} usual", route.as_deref().unwrap_or("all routes"))]
pub struct Difference {
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
struct Bad {
    present: u32,
    of_present: u32,
    target: u32,
    of_target: u32,
}

impl Bad {
    fn errors(Compared { present, target }: &Compared) -> Self {
        Bad {
            present: present.failed,
            of_present: present.count(),
            target: target.failed,
            of_target: target.count(),
        }
    }

    fn errors_and_slow(counts: &Compared) -> Self {
        let Compared { present, target } = counts;
        let is_known = present.count() >= LEAST_PRESENT;
        let slow = present.middle().filter(|_| is_known).map(|middle| middle + SLOW_STEPS);
        let slow_of = |answers: &Answers| slow.map_or(0, |slow| answers.from_step(slow));
        let errors = Bad::errors(counts);
        Bad { present: errors.present + slow_of(present), target: errors.target + slow_of(target), ..errors }
    }

    fn add(self, other: Bad) -> Bad {
        Bad {
            present: self.present + other.present,
            of_present: self.of_present + other.of_present,
            target: self.target + other.target,
            of_target: self.of_target + other.of_target,
        }
    }

    /// The part that is bad of the present version's answers, one standard error above what was seen.
    fn usual(self) -> f64 {
        let bad = f64::from(self.present) + 1.0;
        ((bad + bad.sqrt()) / (f64::from(self.of_present) + 2.0)).clamp(LEAST_USUAL, 1.0)
    }

    fn speaks_for_target(self) -> bool {
        // Where little is known of the present version, nothing is excused by it.
        let seen = f64::from(self.present) / f64::from(self.of_present.max(1));
        let rate = (seen.max(LEAST_USUAL) + CLEARLY_BAD).min(1.0);
        1.0 - chance_of(self.target + 1, self.of_target, rate) < LEAST_DOUBT
    }

    fn is_worse(self) -> bool {
        self.target >= LEAST_BAD && chance_of(self.target, self.of_target, self.usual()) < LEAST_CHANCE
    }

    fn difference(self, route: Option<RouteId>, measure: Measure) -> Option<Difference> {
        let is_worse = self.is_worse();
        let difference =
            Difference { route, measure, bad: self.target, of: self.of_target, usual: self.usual() };
        is_worse.then_some(difference)
    }
}

/// What the counts of all nodes say. Errors are looked at alone too: a service that is often slow would hide them.
pub fn verdict(counts: &AnswerCounts) -> Verdict {
    let (mut all_errors, mut all) = (Bad::default(), Bad::default());
    for (route, measure, compared) in counts.iter() {
        let (errors, bad) = (Bad::errors(compared), Bad::errors_and_slow(compared));
        let worse = [errors, bad].into_iter().find_map(|bad| bad.difference(Some(route.clone()), measure));
        if let Some(difference) = worse {
            return Verdict::Worse(difference);
        }
        if measure == Measure::Answer {
            (all_errors, all) = (all_errors.add(errors), all.add(bad));
        }
    }
    let worse = [all_errors, all].into_iter().find_map(|bad| bad.difference(None, Measure::Answer));
    match worse {
        Some(difference) => Verdict::Worse(difference),
        None if all.of_target == 0 => Verdict::Unknown,
        None => Verdict::Sound,
    }
}

/// Whether the new version's answers are enough to speak for it, not just too few to speak against it.
pub fn speaks_for_target(counts: &AnswerCounts) -> bool {
    let answers = counts.iter().filter(|(_, measure, _)| *measure == Measure::Answer);
    let all = answers.fold(Bad::default(), |all, (_, _, compared)| all.add(Bad::errors_and_slow(compared)));
    all.speaks_for_target()
}

/// The chance that at least `bad` of `of` answers are bad where each one is with the chance `usual`.
pub fn chance_of(bad: u32, of: u32, usual: f64) -> f64 {
    if usual >= 1.0 || bad == 0 {
        return 1.0;
    }
    let odds = usual / (1.0 - usual);
    // The chance of exactly `k` bad ones, from that of none on.
    let mut exactly = (1.0 - usual).powi(of as i32);
    let mut fewer = 0.0;
    for k in 0..bad.min(of + 1) {
        fewer += exactly;
        exactly *= odds * f64::from(of - k) / f64::from(k + 1);
    }
    (1.0 - fewer).max(0.0)
}
