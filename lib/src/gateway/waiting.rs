//! Generations that wait at their service's lead until an engine has room.
//!
//! One waits only while it can be expected to begin in time: a caller that is told at once comes
//! back when there is room, and one that is held and then refused has lost both its time and its
//! place.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Timestamp;

/// Callers that are refused come back earlier or later by up to this part, so that those that
/// were refused together don't return together.
const COME_BACK_SPREAD: f64 = 0.25;

/// No engine has room for a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct NoRoom {
    /// When there should be room, as far as that is known.
    pub expected: Option<Duration>,
}

/// Something that waits.
#[derive(Debug)]
pub struct Waiting<T> {
    /// What waits.
    pub item: T,
    /// Its urgency; 0 goes first.
    pub priority: u8,
    /// When it is given up.
    pub until: Timestamp,
    /// Tokens of memory that it needs.
    pub tokens: f64,
}

/// The queue of a service, the most urgent first and then in the order of arrival.
#[derive(Debug)]
pub struct WaitingRoom<T> {
    queue: VecDeque<Waiting<T>>,
}

impl<T> Default for WaitingRoom<T> {
    fn default() -> Self {
        WaitingRoom { queue: VecDeque::new() }
    }
}

impl<T> WaitingRoom<T> {
    /// Adds one behind those that are as urgent.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let at = self.queue.partition_point(|other| other.priority <= waiting.priority);
        self.queue.insert(at, waiting);
    }

    /// Whether none waits that would go before one of this urgency.
    pub fn lets_pass(&self, priority: u8) -> bool {
        self.queue.front().is_none_or(|first| first.priority > priority)
    }

    /// Tokens of memory that are needed by those that would go before one of this urgency.
    pub fn tokens_before(&self, priority: u8) -> f64 {
        let before = self.queue.iter().filter(|other| other.priority <= priority);
        before.map(|other| other.tokens).sum()
    }

    /// Takes those out that can no longer be expected to begin in time: their time is over, or
    /// will be before `time_until` the memory is free that they and those before them need, where
    /// that is known.
    pub fn lost(
        &mut self,
        now: Timestamp,
        time_until: impl Fn(f64) -> Option<Duration>,
    ) -> Vec<(T, Option<Duration>)> {
        let mut lost = Vec::new();
        let mut still = VecDeque::new();
        let mut tokens = 0.0;
        for waiting in std::mem::take(&mut self.queue) {
            let expected = time_until(tokens + waiting.tokens);
            let is_over = waiting.until <= now;
            if is_over || expected.is_some_and(|expected| expected > waiting.until - now) {
                lost.push((waiting.item, expected));
            } else {
                tokens += waiting.tokens;
                still.push_back(waiting);
            }
        }
        self.queue = still;
        lost
    }

    /// Takes the first one out.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        self.queue.pop_front()
    }

    /// Puts one back at the front.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        self.queue.push_front(waiting);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// When a caller comes back that is refused while nothing is known of when it would be served: soon,
/// as its next attempt reaches another node and perhaps another replica.
const COME_BACK_SOON: Duration = Duration::from_millis(150);
/// The soonest that a caller returns: a lead looks at what became free ten times a second.
const SOONEST_RETURN: Duration = Duration::from_millis(100);
/// The latest: forecasts reach no further than what was seen in the last seconds.
const LATEST_RETURN: Duration = Duration::from_secs(5);

/// When a caller comes back that is refused as room is expected after `expected`, if that is known.
pub fn come_back_after<R: Rng>(expected: Option<Duration>, rng: &mut R) -> Duration {
    let expected = expected.unwrap_or(COME_BACK_SOON).clamp(SOONEST_RETURN, LATEST_RETURN);
    expected.mul_f64(rng.random_range(1.0 - COME_BACK_SPREAD..=1.0 + COME_BACK_SPREAD))
}
