//! The retry budget over a sliding window: a node's share of what all nodes may send again.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;

/// Part of the allowed ratio that the node uses; the rest covers windows that slide
/// differently at the replicas.
const SAFETY: f64 = 0.7;

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// Allows `ratio` repeats for each request in `window`, and `slack` more: this node's
    /// share of what the fleet may send.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        RetryWindow { window, ratio, slack, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A request came.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes a repeat; false when the budget is used up.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.forget(now);
        let allowed = (self.requests.len() as f64 * self.ratio + self.slack) * SAFETY;
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Timestamp) {
        let oldest = now.saturating_sub(self.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
