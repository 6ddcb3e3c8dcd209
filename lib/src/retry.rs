//! A retry budget and back-off with jitter, so that an outage does not become a storm.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Retries that a quiet node may make at once.
const BURST: f64 = 10.0;

/// Allows retries as a part of the requests seen.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget of `ratio` retries for each request, 0 to 1.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, available: BURST }
    }

    /// Changes the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// A request came.
    pub fn on_request(&mut self) {
        self.available = (self.available + self.ratio).min(BURST);
    }

    /// Takes a retry; false when the budget is used up.
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Doubling pauses with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from `least` to `most`.
    pub const fn new(min_delay: Duration, max_delay: Duration) -> Self {
        Backoff { min_delay, max_delay, failures: 0 }
    }

    /// The pause after one more failure.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let doubled = self.min_delay.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        let ceiling = doubled.min(self.max_delay);
        self.min_delay + ceiling.mul_f64(rng.random::<f64>())
    }

    /// It worked.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
