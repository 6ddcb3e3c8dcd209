//! Counts of the answers of two versions' replicas, mergeable across nodes: errors, and times in a histogram,
//! by the phase of the upgrade in which the request began.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::routing::RouteId;

/// Resolution of the logarithmic histogram of times: each bucket spans half an octave.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// The last bucket holds all times of about 46 s and more.
const LAST_BUCKET: u8 = 31;
/// Limit on routes that are counted separately; further routes share [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 48;
/// Limit on cells of these routes in all phases, so that a report fits into a datagram.
const MAX_CELLS: usize = 120;
/// Route name that further routes are counted under.
const OTHER_ROUTES: &str = "";

/// Which of the two versions answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version that is to be replaced.
    Present,
    /// The version on trial.
    Target,
}

/// Phase of an upgrade in which a request began.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The trial.
    Trial,
    /// The switch.
    Switch,
    /// The beginning of the recheck, when the new replicas still have the backlog of the switch.
    Settling,
    /// The remainder of the recheck.
    Recheck,
    /// The second switch.
    SecondSwitch,
}

impl Phase {
    /// Phases in which both versions answer at the same time, so that their times can be compared.
    pub const SIDE_BY_SIDE: [Phase; 2] = [Phase::Trial, Phase::Recheck];
    /// All other phases.
    pub const NOT_COMPARED: [Phase; 3] = [Phase::Switch, Phase::Settling, Phase::SecondSwitch];
    /// All phases.
    pub const ALL: [Phase; 5] =
        [Phase::Trial, Phase::Switch, Phase::Settling, Phase::Recheck, Phase::SecondSwitch];
}

/// The quantity that is measured of an answer.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Time from the request to its answer; for a stream, to its first event.
    Answer,
    /// Average time between two events of a stream.
    Pace,
}

/// Outcome of a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The replica answered with an error of its own.
    Failed,
    /// The replica answered successfully, with this time.
    Took(Measure, Duration),
}

/// The answers of one version on one route.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Answers {
    /// Errors of the replicas themselves.
    pub failed: u32,
    /// Number of successful answers per time bucket.
    pub took: BTreeMap<u8, u32>,
}

impl Answers {
    /// Number of answers in all.
    pub fn count(&self) -> u32 {
        self.failed + self.took.values().sum::<u32>()
    }

    /// Bucket of the median time of the successful answers; `None` if there are none.
    pub fn median_bucket(&self) -> Option<u8> {
        let succeeded: u32 = self.took.values().sum();
        let mut cumulated = 0;
        self.took.iter().find_map(|(bucket, count)| {
            cumulated += count;
            (2 * cumulated >= succeeded).then_some(*bucket)
        })
    }

    /// Number of successful answers in this bucket or a later one.
    pub fn count_from(&self, bucket: u8) -> u32 {
        self.took.range(bucket..).map(|(_, count)| count).sum()
    }

    fn add(&mut self, other: &Answers) {
        self.add_delta(&Answers::default(), other);
    }

    fn add_delta(&mut self, from: &Answers, to: &Answers) {
        self.failed += to.failed.saturating_sub(from.failed);
        for (bucket, count) in &to.took {
            let before = from.took.get(bucket).copied().unwrap_or_default();
            *self.took.entry(*bucket).or_default() += count.saturating_sub(before);
        }
    }
}

/// The answers of both versions for one route and measure.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnswersByVersion {
    /// Answers of the version that is to be replaced.
    pub present: Answers,
    /// Answers of the version on trial.
    pub target: Answers,
}

impl AnswersByVersion {
    fn add(&mut self, other: &AnswersByVersion) {
        self.present.add(&other.present);
        self.target.add(&other.target);
    }

    fn side(&mut self, side: Side) -> &mut Answers {
        match side {
            Side::Present => &mut self.present,
            Side::Target => &mut self.target,
        }
    }
}

/// Answers per route and measure.
pub type AnswersByRoute = BTreeMap<(RouteId, Measure), AnswersByVersion>;

/// Answers per route, measure and phase.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnswerCounts {
    cells: BTreeMap<(RouteId, Measure, Phase), AnswersByVersion>,
}

impl AnswerCounts {
    /// Counts an answer to a request that began in `phase`.
    pub fn on_sample(&mut self, route: &RouteId, phase: Phase, side: Side, sample: Sample) {
        let measure = match sample {
            Sample::Failed => Measure::Answer,
            Sample::Took(measure, _) => measure,
        };
        let mut cell = (route.clone(), measure, phase);
        if !self.has_own_cell(&cell) {
            cell.0 = OTHER_ROUTES.into();
        }
        let answers = self.cells.entry(cell).or_default().side(side);
        match sample {
            Sample::Failed => answers.failed += 1,
            Sample::Took(_, took) => *answers.took.entry(bucket_of(took)).or_default() += 1,
        }
    }

    fn has_own_cell(&self, cell: &(RouteId, Measure, Phase)) -> bool {
        let is_known_route = self.cells.keys().any(|(route, ..)| *route == cell.0);
        let limit = if is_known_route { MAX_CELLS } else { MAX_ROUTES };
        self.cells.len() < limit || self.cells.contains_key(cell)
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &AnswerCounts) {
        for (cell, counts) in &other.cells {
            self.cells.entry(cell.clone()).or_default().add(counts);
        }
    }

    /// Adds what another node counted between two of its reports, `from` and `to`.
    pub fn add_delta(&mut self, from: &AnswerCounts, to: &AnswerCounts) {
        let nothing = AnswersByVersion::default();
        for (cell, counts) in &to.cells {
            let before = from.cells.get(cell).unwrap_or(&nothing);
            let own = self.cells.entry(cell.clone()).or_default();
            own.present.add_delta(&before.present, &counts.present);
            own.target.add_delta(&before.target, &counts.target);
        }
    }

    /// The sums over some phases.
    pub fn in_phases(&self, phases: &[Phase]) -> AnswersByRoute {
        let mut sums = AnswersByRoute::new();
        for ((route, measure, phase), counts) in &self.cells {
            if phases.contains(phase) {
                sums.entry((route.clone(), *measure)).or_default().add(counts);
            }
        }
        sums
    }

    /// Number of requests answered by both versions together, and by the version on trial alone.
    pub fn answered(&self) -> (u32, u32) {
        self.answered_in(&Phase::ALL)
    }

    /// The same for the requests that began in some phases.
    pub fn answered_in(&self, phases: &[Phase]) -> (u32, u32) {
        let answers = self
            .cells
            .iter()
            .filter(|((_, measure, phase), _)| *measure == Measure::Answer && phases.contains(phase));
        answers.fold((0, 0), |(all, target), (_, counts)| {
            let by_target = counts.target.count();
            (all + counts.present.count() + by_target, target + by_target)
        })
    }
}

/// Bucket of a time: two buckets per octave, starting at 1 ms.
pub fn bucket_of(took: Duration) -> u8 {
    let ms = took.as_secs_f64() * 1_000.0;
    (ms.max(1.0).log2() * BUCKETS_PER_OCTAVE).min(f64::from(LAST_BUCKET)) as u8
}
