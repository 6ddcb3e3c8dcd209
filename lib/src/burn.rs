//! Burn rate of service levels: how fast the error budget of each objective is used up.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::ServiceLevel;
use crate::bundle::ServiceLevels;

/// Number of minutes that are retained; covers the longest of [`REPORT_WINDOWS`].
const RETAINED_MINUTES: u64 = 360;
/// Time windows of the burn report.
pub const REPORT_WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

/// A service-level indicator.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// Time from the request to its first token.
    FirstToken,
    /// Time between two tokens of a stream.
    TokenGap,
    /// Total time that a stream is stalled; one event per stream.
    Stall,
    /// Time from a request to the response of a plain service.
    Calls,
}

impl Indicator {
    /// All indicators in the order of the report.
    pub const ALL: [Indicator; 4] =
        [Indicator::FirstToken, Indicator::TokenGap, Indicator::Stall, Indicator::Calls];

    /// Returns the objective of the indicator in the bundle.
    pub fn level(self, levels: &ServiceLevels) -> &ServiceLevel {
        match self {
            Indicator::FirstToken => &levels.first_token,
            Indicator::TokenGap => &levels.token_gap,
            Indicator::Stall => &levels.stall,
            Indicator::Calls => &levels.calls,
        }
    }

    /// Returns the name of the indicator in the bundle.
    pub fn name(self) -> &'static str {
        match self {
            Indicator::FirstToken => "first_token",
            Indicator::TokenGap => "token_gap",
            Indicator::Stall => "stall",
            Indicator::Calls => "calls",
        }
    }
}

/// Events of one indicator in one minute.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Tally {
    /// Number of events.
    pub total: u64,
    /// Number of events that took longer than the time of the objective.
    pub bad: u64,
}

/// Tallies of the events of one or more nodes, by minute since the Unix epoch and by indicator.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct BurnCounts {
    /// The tallies of each minute, indexed by [`Indicator`].
    pub minutes: BTreeMap<u64, [Tally; 4]>,
}

impl BurnCounts {
    /// Counts an event and drops the oldest minute if too many are retained.
    pub fn observe(&mut self, indicator: Indicator, good: bool, minute: u64) {
        let tallies = self.minutes.entry(minute).or_default();
        let tally = &mut tallies[indicator as usize];
        tally.total += 1;
        tally.bad += u64::from(!good);
        if self.minutes.len() as u64 > RETAINED_MINUTES {
            self.minutes.pop_first();
        }
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &BurnCounts) {
        for (minute, tallies) in &other.minutes {
            let own = self.minutes.entry(*minute).or_default();
            for (own, other) in own.iter_mut().zip(tallies) {
                own.total += other.total;
                own.bad += other.bad;
            }
        }
    }

    fn sum(&self, indicator: Indicator, window: Duration, minute: u64) -> Tally {
        let first = (minute + 1).saturating_sub(window.as_secs() / 60);
        let within = self.minutes.range(first..=minute);
        within.fold(Tally::default(), |sum, (_, tallies)| {
            let tally = tallies[indicator as usize];
            Tally { total: sum.total + tally.total, bad: sum.bad + tally.bad }
        })
    }

    /// Returns the report of the windows that end with `minute`.
    pub fn report(&self, levels: &ServiceLevels, minute: u64) -> Vec<BurnLine> {
        let mut lines = Vec::new();
        for indicator in Indicator::ALL {
            for window in REPORT_WINDOWS {
                let tally = self.sum(indicator, window, minute);
                lines.push(BurnLine::new(indicator, window, tally, indicator.level(levels)));
            }
        }
        lines
    }
}

/// One line of the burn report.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct BurnLine {
    /// The indicator that is measured.
    pub indicator: Indicator,
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Number of events in the window.
    pub total: u64,
    /// Number of events that took longer than the time of the objective.
    pub bad: u64,
    /// Time of the objective in milliseconds.
    pub within_ms: u64,
    /// Share of events that must be good.
    pub share: f64,
    /// Share of bad events divided by the share that may be bad; above 1 the error budget is used up faster
    /// than it is replenished.
    pub burn: f64,
}

impl BurnLine {
    fn new(indicator: Indicator, window: Duration, tally: Tally, level: &ServiceLevel) -> Self {
        let allowed_share = 1.0 - level.share;
        let bad_share = if tally.total == 0 { 0.0 } else { tally.bad as f64 / tally.total as f64 };
        BurnLine {
            indicator,
            window_s: window.as_secs(),
            total: tally.total,
            bad: tally.bad,
            within_ms: level.within.as_millis() as u64,
            share: level.share,
            burn: bad_share / allowed_share,
        }
    }
}
