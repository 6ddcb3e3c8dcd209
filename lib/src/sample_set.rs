//! A set with random sampling in time that does not depend on the size of the set.

use std::collections::HashMap;
use std::hash::Hash;

use rand::Rng;
use rand::RngExt;

/// An unordered set of distinct members.
#[derive(Clone, Debug)]
pub struct SampleSet<T> {
    members: Vec<T>,
    positions: HashMap<T, usize>,
}

impl<T> Default for SampleSet<T> {
    fn default() -> Self {
        SampleSet { members: Vec::new(), positions: HashMap::new() }
    }
}

impl<T: Clone + Eq + Hash> SampleSet<T> {
    /// Adds a member; returns whether it was absent.
    pub fn insert(&mut self, member: T) -> bool {
        if self.positions.contains_key(&member) {
            return false;
        }
        self.positions.insert(member.clone(), self.members.len());
        self.members.push(member);
        true
    }

    /// Removes a member; returns whether it was present.
    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, member: &Q) -> bool
    where
        T: std::borrow::Borrow<Q>,
    {
        let Some(position) = self.positions.remove(member) else {
            return false;
        };
        self.members.swap_remove(position);
        if let Some(moved) = self.members.get(position) {
            self.positions.insert(moved.clone(), position);
        }
        true
    }

    /// Whether the set contains a member.
    pub fn contains<Q: Eq + Hash + ?Sized>(&self, member: &Q) -> bool
    where
        T: std::borrow::Borrow<Q>,
    {
        self.positions.contains_key(member)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members, in arbitrary order.
    pub fn as_slice(&self) -> &[T] {
        &self.members
    }

    /// Iterates over all members, in arbitrary order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.members.iter()
    }

    /// Draws `count` distinct members at random, or all members if there are fewer.
    pub fn sample<'a, R: Rng>(&'a self, count: usize, rng: &mut R) -> Vec<&'a T> {
        let mut shuffle = Shuffle::new(self.members.len());
        std::iter::from_fn(|| shuffle.next(rng)).take(count).map(|position| &self.members[position]).collect()
    }
}

/// A lazy random permutation of the numbers below a bound, whose cost depends only on how many numbers are
/// drawn. It is a Fisher-Yates shuffle that stores only the positions whose values were swapped.
#[derive(Debug)]
pub struct Shuffle {
    next: usize,
    len: usize,
    swapped: HashMap<usize, usize>,
}

impl Shuffle {
    /// Creates a permutation of the numbers below `len`.
    pub fn new(len: usize) -> Self {
        Shuffle { next: 0, len, swapped: HashMap::new() }
    }

    /// The next number; `None` once all were drawn.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Option<usize> {
        if self.next >= self.len {
            return None;
        }
        let position = rng.random_range(self.next..self.len);
        let value_at_next = self.swapped.remove(&self.next).unwrap_or(self.next);
        let drawn = if position == self.next {
            value_at_next
        } else {
            self.swapped.insert(position, value_at_next).unwrap_or(position)
        };
        self.next += 1;
        Some(drawn)
    }
}
