//! The retry budget over a sliding window: a node's share of the retries that all nodes may send.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;

/// Fraction of the allowed ratio that the node uses. The remainder covers windows that slide differently
/// at the replicas.
const SAFETY_FACTOR: f64 = 0.7;
/// Maximum number of counted requests, to bound the memory between two retries.
const MAX_COUNTED_REQUESTS: usize = 10_000;

/// The retries that this node may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// The window to which the budget applies.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio: this node's share of the fleet's budget.
    pub slack: f64,
}

/// Counts the requests and retries of one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// Records a request.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        if self.requests.len() > MAX_COUNTED_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// Takes a retry from the budget. Returns false if the budget is used up.
    pub fn take(&mut self, now: Timestamp, share: &RetryShare) -> bool {
        self.drop_before(now.saturating_sub(share.window));
        let allowed = (self.requests.len() as f64 * share.ratio + share.slack) * SAFETY_FACTOR;
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn drop_before(&mut self, oldest: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
