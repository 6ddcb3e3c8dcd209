//! The retry budget over a sliding window: a node's share of what all nodes may send again.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;

/// Part of the allowed ratio that the node uses; the rest covers windows that slide
/// differently at the replicas.
const SAFETY_FACTOR: f64 = 0.7;
/// Requests that are counted at most, to bound the memory between two repeats.
const MAX_COUNTED_REQUESTS: usize = 10_000;

/// What this node may send again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// The window in which it holds.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio: this node's share of what the fleet may send.
    pub slack: f64,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// A request came.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        if self.requests.len() > MAX_COUNTED_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// Takes a repeat; false when the budget is used up.
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
