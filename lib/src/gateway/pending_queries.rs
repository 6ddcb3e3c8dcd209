//! Queries to other nodes that are not answered yet.
//!
//! Answers and timers arrive in any order: a late one, or one that belongs to an earlier query, must not end
//! a later query. Each query therefore has a unique ID and a deadline.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Timestamp;

/// The pending queries of one kind, by ID.
#[derive(Debug)]
pub struct PendingQueries<K, Q> {
    pending: HashMap<K, Pending<Q>>,
}

#[derive(Debug)]
struct Pending<Q> {
    query: Q,
    deadline: Timestamp,
}

impl<K, Q> Default for PendingQueries<K, Q> {
    fn default() -> Self {
        PendingQueries { pending: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash + Ord, Q> PendingQueries<K, Q> {
    /// Adds a query that has been sent and whose answer is awaited until `deadline`.
    pub fn insert(&mut self, id: K, query: Q, deadline: Timestamp) {
        self.pending.insert(id, Pending { query, deadline });
    }

    /// Returns a pending query.
    pub fn get(&self, id: K) -> Option<&Q> {
        self.pending.get(&id).map(|pending| &pending.query)
    }

    /// Changes a query's deadline; returns the query if it is pending.
    pub fn extend(&mut self, id: K, deadline: Timestamp) -> Option<&Q> {
        let pending = self.pending.get_mut(&id)?;
        pending.deadline = deadline;
        Some(&pending.query)
    }

    /// Removes and returns a query that has been answered.
    pub fn take_answered(&mut self, id: K) -> Option<Q> {
        self.pending.remove(&id).map(|pending| pending.query)
    }

    /// Removes and returns a query if its deadline has passed.
    pub fn take_overdue(&mut self, id: K, now: Timestamp) -> Option<Q> {
        self.pending.get(&id).filter(|pending| pending.deadline <= now)?;
        self.take_answered(id)
    }

    /// Removes and returns all queries that match a predicate.
    pub fn take_matching(&mut self, matches: impl Fn(&Q) -> bool) -> Vec<Q> {
        self.pending
            .extract_if(|_, pending| matches(&pending.query))
            .map(|(_, pending)| pending.query)
            .collect()
    }

    /// The ID of the oldest query; IDs are assigned in ascending order.
    pub fn oldest(&self) -> Option<K> {
        self.pending.keys().min().copied()
    }
}
