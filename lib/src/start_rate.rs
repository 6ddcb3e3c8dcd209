//! The rate at which a pool starts requests while others wait, for predicting waiting times.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time over which starts are counted before they enter the moving average.
const WINDOW: Duration = Duration::from_secs(2);
/// Weight of the previous average when a window is added; the window's rate has the remaining weight.
const OLD_RATE_WEIGHT: f64 = 0.7;

/// An exponential moving average of the rate of starts, measured only while there is a queue.
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

    /// Advances the time. With an empty queue the window restarts, as starts then don't show the capacity of
    /// the pool.
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

    /// The predicted time until `requests` requests have started; zero while the rate is unknown.
    pub fn time_for(&self, requests: usize) -> Duration {
        let Some(rate) = self.per_second else {
            return Duration::ZERO;
        };
        Duration::try_from_secs_f64(requests as f64 / rate.max(0.01)).unwrap_or(Duration::MAX)
    }
}
