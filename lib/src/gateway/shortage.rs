//! What the first one that waits for an engine lacks, over time.
//!
//! All that wait in one queue wait for what its first one lacks: the time of each is split by that.

use std::time::Duration;

use crate::ids::Timestamp;

/// Why no engine is given to the first one that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No engine takes requests: each leaves, is cold or names a limit.
    Engines,
    /// None that has memory for it reads a prompt soon.
    Reading,
    /// None has memory for it.
    Memory,
}

/// Time by what was short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageTimes {
    /// No engine took requests.
    pub engines: Duration,
    /// No engine read soon.
    pub reading: Duration,
    /// There was no memory.
    pub memory: Duration,
}

impl ShortageTimes {
    /// What has passed since an earlier reading of the same clock.
    pub fn since(&self, earlier: &ShortageTimes) -> ShortageTimes {
        ShortageTimes {
            engines: self.engines.saturating_sub(earlier.engines),
            reading: self.reading.saturating_sub(earlier.reading),
            memory: self.memory.saturating_sub(earlier.memory),
        }
    }

    /// All of it.
    pub fn sum(&self) -> Duration {
        self.engines + self.reading + self.memory
    }

    fn add(&mut self, shortage: Shortage, time: Duration) {
        let total = match shortage {
            Shortage::Engines => &mut self.engines,
            Shortage::Reading => &mut self.reading,
            Shortage::Memory => &mut self.memory,
        };
        *total += time;
    }
}

/// Adds up the time by what was short.
#[derive(Debug, Default)]
pub struct ShortageClock {
    times: ShortageTimes,
    current: Option<(Shortage, Timestamp)>,
}

impl ShortageClock {
    /// From now on this is short.
    pub fn set(&mut self, shortage: Shortage, now: Timestamp) {
        self.times = self.times(now);
        self.current = Some((shortage, now));
    }

    /// The times until now.
    pub fn times(&self, now: Timestamp) -> ShortageTimes {
        let mut times = self.times;
        if let Some((shortage, since)) = self.current {
            times.add(shortage, now.saturating_sub(since));
        }
        times
    }
}
