//! Queries to other nodes that are not answered yet.
//!
//! Answers and timers arrive in any order: a late one, or one that belongs to an earlier query, must not end
//! a later query. Each query therefore has a unique ID and a deadline.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Timestamp;

/// The pending queries of one kind, by ID.
#[derive(Debug)]
pub struct Questions<K, Q> {
    open: HashMap<K, Open<Q>>,
}

#[derive(Debug)]
struct Open<Q> {
    question: Q,
    due: Timestamp,
}

impl<K, Q> Default for Questions<K, Q> {
    fn default() -> Self {
        Questions { open: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash + Ord, Q> Questions<K, Q> {
    /// Adds a query that has been sent and whose answer is awaited until `due`.
    pub fn on_asked(&mut self, name: K, question: Q, due: Timestamp) {
        self.open.insert(name, Open { question, due });
    }

    /// Returns a pending query.
    pub fn get(&self, name: K) -> Option<&Q> {
        self.open.get(&name).map(|open| &open.question)
    }

    /// Changes a query's deadline; returns the query if it is pending.
    pub fn extend(&mut self, name: K, due: Timestamp) -> Option<&Q> {
        let open = self.open.get_mut(&name)?;
        open.due = due;
        Some(&open.question)
    }

    /// Removes and returns a query that has been answered.
    pub fn answered(&mut self, name: K) -> Option<Q> {
        self.open.remove(&name).map(|open| open.question)
    }

    /// Removes and returns a query if its deadline has passed.
    pub fn overdue(&mut self, name: K, now: Timestamp) -> Option<Q> {
        self.open.get(&name).filter(|open| open.due <= now)?;
        self.answered(name)
    }

    /// Removes and returns all queries that match a predicate.
    pub fn take_all(&mut self, is_taken: impl Fn(&Q) -> bool) -> Vec<Q> {
        self.open.extract_if(|_, open| is_taken(&open.question)).map(|(_, open)| open.question).collect()
    }

    /// The ID of the oldest query; IDs are assigned in ascending order.
    pub fn oldest(&self) -> Option<K> {
        self.open.keys().min().copied()
    }
}
