//! When an engine will have read the prompts that it was given.
//!
//! Prompts are read one after another, so the wait at an engine is a clock that each prompt
//! moves on. First events show how far off the clock is, and how fast the engine is: some
//! are slower than others, or become so.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Prompt tokens that an engine reads in a millisecond beside running streams: prompts of
/// 3,000 tokens had their first event after 430 ms at idle engines of the calm days.
const READ_TOKENS_PER_MS: f64 = 7.0;
/// Weight of the newest first event in an engine's slowness.
const NEWEST_WEIGHT: f64 = 0.25;
/// Bounds of a slowness, so that one odd event does not rule an engine out.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=5.0;

/// A prompt that is being read, or waits for it.
#[derive(Clone, Copy, Debug)]
struct Reading {
    given: Timestamp,
    expected: Timestamp,
}

/// The clocks of all engines.
#[derive(Debug, Default)]
pub struct ReadingClocks {
    engines: HashMap<UpstreamId, Clock>,
    readings: HashMap<RunKey, Reading>,
}

#[derive(Clone, Copy, Debug)]
struct Clock {
    until: Timestamp,
    slowness: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { until: Timestamp::ZERO, slowness: 1.0 }
    }
}

impl ReadingClocks {
    /// An engine was given a prompt.
    pub fn on_given(&mut self, key: &RunKey, engine: &UpstreamId, tokens: u32, now: Timestamp) {
        let clock = self.engines.entry(engine.clone()).or_default();
        clock.until = clock.until.max(now) + reading_time(tokens).mul_f64(clock.slowness);
        self.readings.insert(key.clone(), Reading { given: now, expected: clock.until });
    }

    /// A generation's first event came.
    pub fn on_first_event(&mut self, key: &RunKey, engine: &UpstreamId, now: Timestamp) {
        let (Some(reading), Some(clock)) = (self.readings.remove(key), self.engines.get_mut(engine)) else {
            return;
        };
        let took = (now.saturating_sub(reading.given)).as_secs_f64();
        let expected = (reading.expected.saturating_sub(reading.given)).as_secs_f64().max(1e-3);
        let seen = clock.slowness * took / expected;
        let slowness = clock.slowness + NEWEST_WEIGHT * (seen - clock.slowness);
        clock.slowness = slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        // Those behind it move by as much as it was late or early.
        let late = now.saturating_sub(reading.expected);
        let early = reading.expected.saturating_sub(now);
        clock.until = (clock.until + late).saturating_sub(early);
    }

    /// A request is gone, read or not.
    pub fn forget(&mut self, key: &RunKey) {
        self.readings.remove(key);
    }

    /// Time until an engine has read what it was given.
    pub fn wait(&self, engine: &str, now: Timestamp) -> Duration {
        self.engines.get(engine).map_or(Duration::ZERO, |clock| clock.until.saturating_sub(now))
    }

    /// How much slower than usual an engine reads; 1 is the usual.
    pub fn slowness(&self, engine: &str) -> f64 {
        self.engines.get(engine).map_or(1.0, |clock| clock.slowness)
    }

    /// Time that an engine needs for a prompt.
    pub fn reading_time(&self, engine: &str, tokens: u32) -> Duration {
        reading_time(tokens).mul_f64(self.slowness(engine))
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}

fn reading_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / READ_TOKENS_PER_MS / 1_000.0)
}
