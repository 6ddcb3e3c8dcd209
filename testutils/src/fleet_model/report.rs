//! What callers got on a modelled day.

use std::fmt::Write;
use std::time::Duration;

use crate::fleet_model::experiment::Experiment;
use crate::fleet_model::experiment::Kind;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its first event was in time, no pause was too long, and it came whole.
    InTime,
    /// It came whole: its first event was late.
    Late,
    /// It came whole, in time but for a pause between two events.
    Paused,
    /// It was refused, and again when its caller came back.
    Refused,
    /// Its caller left before the first event.
    Left,
    /// Its engine ended under it.
    Broken,
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KindReport {
    /// In time and whole.
    pub in_time: usize,
    /// First event late.
    pub late: usize,
    /// A pause was too long.
    pub paused: usize,
    /// Refused for good.
    pub refused: usize,
    /// Given up by the caller.
    pub left: usize,
    /// Broken off.
    pub broken: usize,
    /// Times from the first attempt to the first event.
    pub first_events: Vec<Duration>,
    /// Time between events, and how many pauses that is.
    pub gaps: (Duration, u32),
}

/// A day's outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DayReport {
    /// By kind, in the experiment's order.
    pub kinds: Vec<KindReport>,
    /// Generations that an engine preempted.
    pub preempted: usize,
    /// Generations that were copied to another engine.
    pub moved: usize,
    /// Refusals, of first and second attempts.
    pub refusals: usize,
    /// Sum and count of the fills of memory that were looked at, one for each engine and tick.
    pub memory_use: (f64, usize),
}

impl KindReport {
    /// Counts one.
    pub fn add(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Late => &mut self.late,
            Outcome::Paused => &mut self.paused,
            Outcome::Refused => &mut self.refused,
            Outcome::Left => &mut self.left,
            Outcome::Broken => &mut self.broken,
        } += 1;
    }

    /// All of them.
    pub fn all(&self) -> usize {
        self.in_time + self.late + self.paused + self.refused + self.left + self.broken
    }

    /// The time within which a part of those that had an event had their first.
    pub fn first_event_quantile(&self, quantile: f64) -> Duration {
        let mut times = self.first_events.clone();
        times.sort_unstable();
        let at = (times.len() as f64 * quantile) as usize;
        times.get(at).or(times.last()).copied().unwrap_or_default()
    }

    fn value(&self, kind: &Kind) -> f64 {
        self.in_time as f64 * kind.worth + (self.late + self.paused) as f64 * kind.late_worth
    }
}

impl DayReport {
    /// What was earned of what could be, 0 to 1.
    pub fn earned_share(&self, experiment: &Experiment) -> f64 {
        let pairs = || self.kinds.iter().zip(&experiment.kinds);
        let earned: f64 = pairs().map(|(report, kind)| report.value(kind)).sum();
        let possible: f64 = pairs().map(|(report, kind)| report.all() as f64 * kind.worth).sum();
        earned / possible
    }

    /// The part of the engines' memory in use, over the day.
    pub fn mean_memory_use(&self) -> f64 {
        self.memory_use.0 / self.memory_use.1.max(1) as f64
    }
}

/// A mean and its standard error.
pub fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, (variance / count).sqrt())
}

/// A table of some days of an experiment.
pub fn table(experiment: &Experiment, days: &[DayReport]) -> String {
    let mut text = String::new();
    let (mean, error) =
        mean_and_error(&days.iter().map(|day| day.earned_share(experiment)).collect::<Vec<f64>>());
    let mean_of = |value: fn(&DayReport) -> f64| days.iter().map(value).sum::<f64>() / days.len() as f64;
    writeln!(
        text,
        "earned {mean:.3} +- {error:.3}; fill {:.2}; preempted {:.0}, moved {:.0}, refusals {:.0} a day",
        mean_of(DayReport::mean_memory_use),
        mean_of(|day| day.preempted as f64),
        mean_of(|day| day.moved as f64),
        mean_of(|day| day.refusals as f64),
    )
    .expect("writing to a string cannot fail");
    for (index, kind) in experiment.kinds.iter().enumerate() {
        let sum =
            |count: fn(&KindReport) -> usize| days.iter().map(|day| count(&day.kinds[index])).sum::<usize>();
        let all = KindReport {
            first_events: days.iter().flat_map(|day| day.kinds[index].first_events.iter().copied()).collect(),
            ..KindReport::default()
        };
        let gaps = days.iter().map(|day| day.kinds[index].gaps);
        let (time, count) = gaps.fold((Duration::ZERO, 0), |(time, count), (t, c)| (time + t, count + c));
        writeln!(
            text,
            "{}: {} in time, {} late, {} paused, {} refused, {} left, {} broken of {}; first event {} ms, 99 % {} ms; {:.1} ms between events",
            kind.name,
            sum(|report| report.in_time),
            sum(|report| report.late),
            sum(|report| report.paused),
            sum(|report| report.refused),
            sum(|report| report.left),
            sum(|report| report.broken),
            sum(KindReport::all),
            all.first_event_quantile(0.5).as_millis(),
            all.first_event_quantile(0.99).as_millis(),
            (time / count.max(1)).as_secs_f64() * 1_000.0,
        )
        .expect("writing to a string cannot fail");
    }
    text
}
