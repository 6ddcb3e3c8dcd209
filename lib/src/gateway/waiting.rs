//! Generations that wait at their service's lead until an engine has room.
//!
//! A wait is short: a caller that is refused early comes back, and one that is held and
//! then refused has lost both its time and its place.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;

/// Part of a route's objective that a generation may wait for room. A quarter is what a
/// refusal may take without a price; the rest is for the lead's tick and the way back.
const WAIT_PART: f64 = 0.17;

/// How long a generation may wait whose first event is due within `objective`.
pub fn patience(objective: Duration) -> Duration {
    objective.mul_f64(WAIT_PART)
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

    /// Takes those out whose time is over.
    pub fn expired(&mut self, now: Timestamp) -> Vec<T> {
        let (over, still): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|waiting| waiting.until <= now);
        self.queue = still;
        over.into_iter().map(|waiting| waiting.item).collect()
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
