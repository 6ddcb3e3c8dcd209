//! Results of a simulation from the callers' point of view.

use std::fmt::Write;
use std::time::Duration;

use crate::fleet_model::experiment::Experiment;
use crate::fleet_model::experiment::Kind;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed, with the first event in time and no gap too long.
    InTime,
    /// Completed, with a late first event.
    Late,
    /// Completed, with the first event in time but too long a gap between two events.
    Paused,
    /// Refused in both attempts.
    Refused,
    /// The caller left before the first event.
    Left,
    /// The engine ended during the run.
    Broken,
}

/// The results of the requests of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KindReport {
    /// Number of requests with [`Outcome::InTime`].
    pub in_time: usize,
    /// Number of requests with [`Outcome::Late`].
    pub late: usize,
    /// Number of requests with [`Outcome::Paused`].
    pub paused: usize,
    /// Number of requests with [`Outcome::Refused`].
    pub refused: usize,
    /// Number of requests with [`Outcome::Left`].
    pub left: usize,
    /// Number of requests with [`Outcome::Broken`].
    pub broken: usize,
    /// Times from the first attempt to the first event.
    pub first_events: Vec<Duration>,
    /// Sum and number of the gaps between events.
    pub gaps: (Duration, u32),
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DayReport {
    /// Results by kind, in the experiment's order.
    pub kinds: Vec<KindReport>,
    /// Results by organisation; requests beyond an organisation's usual load are not counted.
    pub organisations: Vec<KindReport>,
    /// Results of the requests beyond an organisation's usual load.
    pub flood: KindReport,
    /// Preemptions by engines.
    pub preempted: usize,
    /// Generations that were moved to another engine.
    pub moved: usize,
    /// Refusals of first and second attempts.
    pub refusals: usize,
    /// Sum and number of samples of the used share of KV cache memory, one for each engine and tick.
    pub memory_use: (f64, usize),
}

impl KindReport {
    /// Counts a request.
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

    /// Returns the number of requests.
    pub fn all(&self) -> usize {
        self.in_time + self.late + self.paused + self.refused + self.left + self.broken
    }

    /// Returns a quantile of the time to the first event, over requests that received one.
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
    /// Returns the value of the served requests as a share of the value if all were served in time, 0 to 1.
    pub fn earned_share(&self, experiment: &Experiment) -> f64 {
        let pairs = || self.kinds.iter().zip(&experiment.kinds);
        let earned: f64 = pairs().map(|(report, kind)| report.value(kind)).sum();
        let possible: f64 = pairs().map(|(report, kind)| report.all() as f64 * kind.worth).sum();
        earned / possible
    }

    /// Returns the mean used share of the engines' KV cache memory.
    pub fn mean_memory_use(&self) -> f64 {
        self.memory_use.0 / self.memory_use.1.max(1) as f64
    }
}

/// Returns the mean of some values and its standard error.
pub fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, (variance / count).sqrt())
}

/// Formats the results of several simulations of an experiment.
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
