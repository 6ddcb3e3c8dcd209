//! A bounded set of keys that were added lately.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use crate::ids::Timestamp;

/// Keys that were added lately, up to a maximum number.
#[derive(Debug)]
pub struct RecentKeys<K> {
    validity: Duration,
    max_keys: usize,
    added_at: HashMap<K, Timestamp>,
    /// In the order in which the keys were first added; one that was added again since is moved to the back when
    /// it gets to the front.
    queue: VecDeque<K>,
}

impl<K: Clone + Eq + Hash> RecentKeys<K> {
    /// Creates an empty set that holds each key for `validity`, and no more than `max_keys`.
    pub fn new(validity: Duration, max_keys: usize) -> Self {
        RecentKeys { validity, max_keys, added_at: HashMap::new(), queue: VecDeque::new() }
    }

    /// Adds a key, or renews it.
    pub fn add(&mut self, key: K, now: Timestamp) {
        if self.added_at.insert(key.clone(), now).is_none() {
            self.queue.push_back(key);
        }
        self.forget(now);
    }

    /// Whether a key was added lately.
    pub fn contains(&self, key: &K, now: Timestamp) -> bool {
        self.added_at.get(key).is_some_and(|at| now < *at + self.validity)
    }

    /// Removes expired or surplus keys. Checks only the two oldest, so that each addition has constant cost.
    fn forget(&mut self, now: Timestamp) {
        for _ in 0..2 {
            let Some(key) = self.queue.pop_front() else {
                return;
            };
            let is_full = self.queue.len() >= self.max_keys;
            if !is_full && self.contains(&key, now) {
                self.queue.push_back(key);
            } else {
                self.added_at.remove(&key);
            }
        }
    }
}
