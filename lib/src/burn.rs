//! Service-level burn: how fast the error budget of each objective is used up.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::ServiceLevel;
use crate::bundle::ServiceLevels;

/// Minutes that are kept: the longest window.
const RETAINED_MINUTES: u64 = 360;
/// Windows of the report.
pub const REPORT_WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(21_600)];

/// What is measured.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// From the request to its first token.
    FirstToken,
    /// Between two tokens of a stream.
    TokenGap,
    /// Time a stream sat without progress, once for each stream.
    Stall,
    /// A plain service's answer.
    Calls,
}

impl Indicator {
    /// All of them, in the order of the report.
    pub const ALL: [Indicator; 4] =
        [Indicator::FirstToken, Indicator::TokenGap, Indicator::Stall, Indicator::Calls];

    /// Its objective in the bundle.
    pub fn level(self, levels: &ServiceLevels) -> &ServiceLevel {
        match self {
            Indicator::FirstToken => &levels.first_token,
            Indicator::TokenGap => &levels.token_gap,
            Indicator::Stall => &levels.stall,
            Indicator::Calls => &levels.calls,
        }
    }

    /// Its name as in the bundle.
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
    /// All events.
    pub total: u64,
    /// Those over the objective's time.
    pub bad: u64,
}

/// Tallies by minute since the Unix epoch and indicator.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct BurnCounts {
    /// The tallies; nodes' counts can be added up.
    pub minutes: BTreeMap<u64, [Tally; 4]>,
}

impl BurnCounts {
    /// Counts an event.
    pub fn observe(&mut self, indicator: Indicator, good: bool, minute: u64) {
        let tallies = self.minutes.entry(minute).or_default();
        let tally = &mut tallies[indicator as usize];
        tally.total += 1;
        tally.bad += u64::from(!good);
        if self.minutes.len() as u64 > RETAINED_MINUTES {
            self.minutes.pop_first();
        }
    }

    /// Adds another node's counts.
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

    /// The report at `minute`.
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
    /// What is measured.
    pub indicator: Indicator,
    /// Seconds of the window.
    pub window_s: u64,
    /// Events in the window.
    pub total: u64,
    /// Those over the objective's time.
    pub bad: u64,
    /// The objective's time in milliseconds.
    pub within_ms: u64,
    /// Part that must be good.
    pub share: f64,
    /// Part that was bad, relative to the part that may be: above 1 the budget is
    /// used up faster than it comes in.
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
