//! How fast a pool starts requests while some wait, to predict a wait.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time over which starts are counted before they enter the average.
const WINDOW: Duration = Duration::from_secs(2);
/// Part of the old rate kept with each window.
const OLD_RATE_WEIGHT: f64 = 0.7;

/// A smoothed rate of starts, counted only while there is a queue.
#[derive(Debug, Default)]
pub struct StartRate {
    per_second: Option<f64>,
    window_starts: u32,
    window_start: Option<Timestamp>,
}

impl StartRate {
    /// Counts a start.
    pub fn count(&mut self) {
        self.window_starts += 1;
    }

    /// Moves on; with an empty queue, starts say nothing of the pool's capacity.
    pub fn tick(&mut self, now: Timestamp, queue_is_empty: bool) {
        let start = *self.window_start.get_or_insert(now);
        if queue_is_empty {
            self.restart(now);
            return;
        }
        let passed = now.saturating_sub(start);
        if passed >= WINDOW {
            let rate = f64::from(self.window_starts) / passed.as_secs_f64();
            let smoothed =
                self.per_second.map_or(rate, |old| old * OLD_RATE_WEIGHT + rate * (1.0 - OLD_RATE_WEIGHT));
            self.per_second = Some(smoothed);
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Timestamp) {
        self.window_starts = 0;
        self.window_start = Some(now);
    }

    /// The time that `requests` take to start; zero while the rate is not known.
    pub fn time_for(&self, requests: usize) -> Duration {
        let Some(rate) = self.per_second else {
            return Duration::ZERO;
        };
        Duration::try_from_secs_f64(requests as f64 / rate.max(0.01)).unwrap_or(Duration::MAX)
    }
}
