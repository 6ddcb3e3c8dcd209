//! Counts of the answers of two versions' replicas, mergeable across nodes: errors, and times in a histogram.

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
    fn side(&mut self, side: Side) -> &mut Answers {
        match side {
            Side::Present => &mut self.present,
            Side::Target => &mut self.target,
        }
    }
}

/// Answers per route and measure.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnswerCounts {
    cells: BTreeMap<(RouteId, Measure), AnswersByVersion>,
}

impl AnswerCounts {
    /// Counts an answer.
    pub fn on_sample(&mut self, route: &RouteId, side: Side, sample: Sample) {
        let is_known = self.cells.keys().any(|(known, _)| known == route);
        let has_own_cell = is_known || self.cells.len() < MAX_ROUTES;
        let route = if has_own_cell { route.clone() } else { OTHER_ROUTES.into() };
        let measure = match sample {
            Sample::Failed => Measure::Answer,
            Sample::Took(measure, _) => measure,
        };
        let answers = self.cells.entry((route, measure)).or_default().side(side);
        match sample {
            Sample::Failed => answers.failed += 1,
            Sample::Took(_, took) => *answers.took.entry(bucket_of(took)).or_default() += 1,
        }
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &AnswerCounts) {
        for (cell, counts) in &other.cells {
            let own = self.cells.entry(cell.clone()).or_default();
            own.present.add(&counts.present);
            own.target.add(&counts.target);
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

    /// Iterates over all counts.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteId, Measure, &AnswersByVersion)> {
        self.cells.iter().map(|((route, measure), counts)| (route, *measure, counts))
    }

    /// Number of requests answered by both versions together, and by the version on trial alone.
    pub fn answered(&self) -> (u32, u32) {
        let answers = self.cells.iter().filter(|((_, measure), _)| *measure == Measure::Answer);
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
