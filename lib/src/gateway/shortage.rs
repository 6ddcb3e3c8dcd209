//! Records what the first generation in a queue lacks to get an engine, over time.
//!
//! All generations in a queue wait for what the first one lacks, so the waiting time of each is split
//! by that.

use std::time::Duration;

use crate::ids::Timestamp;

/// Why the first generation in the queue gets no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No engine accepts requests: each is leaving, cold or rate-limited.
    Engines,
    /// No engine that has memory for it can prefill its prompt soon.
    Prefill,
    /// No engine has memory for it.
    Memory,
}

/// Time by shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageTimes {
    /// Time during which no engine accepted requests.
    pub engines: Duration,
    /// Time during which no engine could prefill soon.
    pub prefill: Duration,
    /// Time during which memory was short.
    pub memory: Duration,
}

impl ShortageTimes {
    /// The time that has passed since an earlier reading of the same clock.
    pub fn since(&self, earlier: &ShortageTimes) -> ShortageTimes {
        ShortageTimes {
            engines: self.engines.saturating_sub(earlier.engines),
            prefill: self.prefill.saturating_sub(earlier.prefill),
            memory: self.memory.saturating_sub(earlier.memory),
        }
    }

    /// The sum of all times.
    pub fn sum(&self) -> Duration {
        self.engines + self.prefill + self.memory
    }

    fn add(&mut self, shortage: Shortage, time: Duration) {
        let total = match shortage {
            Shortage::Engines => &mut self.engines,
            Shortage::Prefill => &mut self.prefill,
            Shortage::Memory => &mut self.memory,
        };
        *total += time;
    }
}

/// Accumulates time by shortage.
#[derive(Debug, Default)]
pub struct ShortageClock {
    times: ShortageTimes,
    current: Option<(Shortage, Timestamp)>,
}

impl ShortageClock {
    /// Sets the current shortage.
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
