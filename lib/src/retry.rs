//! A retry budget and a back-off with jitter, which keep an outage from causing a retry storm.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Maximum number of saved-up retries, which a node may make in a burst.
const BURST: f64 = 10.0;

/// Limits retries to a fraction of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request, from 0 to 1.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, available: BURST }
    }

    /// Sets the number of retries per request.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the share of one request to the budget.
    pub fn on_request(&mut self) {
        self.available = (self.available + self.ratio).min(BURST);
    }

    /// Takes one retry from the budget; returns false if the budget is used up.
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Exponential back-off with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off. Each delay is `min_delay` plus a random part of a ceiling, which starts at
    /// `min_delay` and doubles with each failure up to `max_delay`.
    pub const fn new(min_delay: Duration, max_delay: Duration) -> Self {
        Backoff { min_delay, max_delay, failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let doubled = self.min_delay.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        let ceiling = doubled.min(self.max_delay);
        self.min_delay + ceiling.mul_f64(rng.random::<f64>())
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
