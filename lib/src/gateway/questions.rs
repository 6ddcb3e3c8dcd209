//! Questions to other nodes that are not answered yet.
//!
//! Answers and the timers of questions come in any order: what is late, or was meant for an earlier question,
//! must not end a later one. Each question therefore has a name of its own and a time until which it is open.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Timestamp;

/// Questions of one kind that are open, by name.
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
    /// A question was asked, whose answer is waited for until `due`.
    pub fn on_asked(&mut self, name: K, question: Q, due: Timestamp) {
        self.open.insert(name, Open { question, due });
    }

    /// A question that is open.
    pub fn get(&self, name: K) -> Option<&Q> {
        self.open.get(&name).map(|open| &open.question)
    }

    /// Its answer is waited for until another time; returns the question, if it is open.
    pub fn extend(&mut self, name: K, due: Timestamp) -> Option<&Q> {
        let open = self.open.get_mut(&name)?;
        open.due = due;
        Some(&open.question)
    }

    /// Takes a question out, as its answer came.
    pub fn answered(&mut self, name: K) -> Option<Q> {
        self.open.remove(&name).map(|open| open.question)
    }

    /// Takes a question out if its answer is overdue.
    pub fn overdue(&mut self, name: K, now: Timestamp) -> Option<Q> {
        self.open.get(&name).filter(|open| open.due <= now)?;
        self.answered(name)
    }

    /// Takes out all questions of some kind.
    pub fn take_all(&mut self, is_taken: impl Fn(&Q) -> bool) -> Vec<Q> {
        self.open.extract_if(|_, open| is_taken(&open.question)).map(|(_, open)| open.question).collect()
    }

    /// The name of the oldest one: names rise.
    pub fn oldest(&self) -> Option<K> {
        self.open.keys().min().copied()
    }
}
