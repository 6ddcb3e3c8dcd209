//! A set from which members are drawn at random, in a time that does not depend on how many there are.

use std::collections::HashMap;
use std::hash::Hash;

use rand::Rng;
use rand::RngExt;

/// Distinct members in no order.
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
    /// Adds a member; returns whether it is new.
    pub fn insert(&mut self, member: T) -> bool {
        if self.positions.contains_key(&member) {
            return false;
        }
        self.positions.insert(member.clone(), self.members.len());
        self.members.push(member);
        true
    }

    /// Takes a member out; returns whether it was there.
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

    /// Whether it has a member.
    pub fn contains<Q: Eq + Hash + ?Sized>(&self, member: &Q) -> bool
    where
        T: std::borrow::Borrow<Q>,
    {
        self.positions.contains_key(member)
    }

    /// How many members it has.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members, in no order.
    pub fn as_slice(&self) -> &[T] {
        &self.members
    }

    /// All members, in no order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.members.iter()
    }

    /// So many members at random, each once; all where there are fewer.
    pub fn sample<'a, R: Rng>(&'a self, count: usize, rng: &mut R) -> Vec<&'a T> {
        let mut shuffle = Shuffle::new(self.members.len());
        std::iter::from_fn(|| shuffle.next(rng)).take(count).map(|position| &self.members[position]).collect()
    }
}

/// A random order of the numbers below a bound, of which only those cost something that are asked for: the swaps of
/// Fisher and Yates, kept where they differ from the order at first.
#[derive(Debug)]
pub struct Shuffle {
    next: usize,
    len: usize,
    swapped: HashMap<usize, usize>,
}

impl Shuffle {
    /// An order of the numbers below `len`.
    pub fn new(len: usize) -> Self {
        Shuffle { next: 0, len, swapped: HashMap::new() }
    }

    /// The next number.
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
