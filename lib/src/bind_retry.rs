//! Decides when a node tries again to bind a port that is not available, and which attempts are logged.

use std::time::Duration;

use rand::Rng;

use crate::ids::Timestamp;
use crate::retry::Backoff;

/// Smallest delay between two attempts.
const MIN_DELAY: Duration = Duration::from_millis(25);
/// Largest random part of the delay between two attempts.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Interval between two log lines about the same port.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextAttempt {
    /// Delay before the next attempt.
    pub delay: Duration,
    /// Whether the failure is logged.
    pub is_logged: bool,
    /// Time since the first failure.
    pub waited: Duration,
}

/// The attempts to bind one port.
#[derive(Debug)]
pub struct BindRetry {
    backoff: Backoff,
    first_failure: Option<Timestamp>,
    last_logged: Option<Timestamp>,
}

impl Default for BindRetry {
    fn default() -> Self {
        BindRetry { backoff: Backoff::new(MIN_DELAY, MAX_DELAY), first_failure: None, last_logged: None }
    }
}

impl BindRetry {
    /// Records a failed attempt.
    pub fn on_failure<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> NextAttempt {
        let since = *self.first_failure.get_or_insert(now);
        let is_logged = self.last_logged.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        if is_logged {
            self.last_logged = Some(now);
        }
        NextAttempt { delay: self.backoff.next(rng), is_logged, waited: now.saturating_sub(since) }
    }

    /// The port is bound. Returns the time since the first failure; `None` if there was none.
    pub fn on_bound(&self, now: Timestamp) -> Option<Duration> {
        Some(now.saturating_sub(self.first_failure?))
    }
}
