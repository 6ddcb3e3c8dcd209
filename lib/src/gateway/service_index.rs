//! The staying replicas of one service, indexed by hall, for random sampling.

use std::collections::BTreeMap;

use rand::Rng;

use crate::ids::HallId;
use crate::sample_set::SampleSet;
use crate::sample_set::Shuffle;

/// The position of a replica in its table.
pub type Slot = u32;

/// The replicas of a service that are not known to be leaving.
#[derive(Debug, Default)]
pub struct ServiceIndex {
    halls: BTreeMap<HallId, SampleSet<Slot>>,
}

impl ServiceIndex {
    /// Adds a staying replica of a hall.
    pub fn insert(&mut self, hall: &HallId, slot: Slot) {
        self.halls.entry(hall.clone()).or_default().insert(slot);
    }

    /// Removes a replica that no longer stays.
    pub fn remove(&mut self, hall: &str, slot: Slot) {
        if let Some(set) = self.halls.get_mut(hall) {
            set.remove(&slot);
            if set.is_empty() {
                self.halls.remove(hall);
            }
        }
    }

    /// Iterates over all replicas.
    pub fn iter(&self) -> impl Iterator<Item = Slot> {
        self.halls.values().flat_map(|set| set.iter().copied())
    }

    /// Iterates over the halls with the number of replicas in each.
    pub fn halls(&self) -> impl Iterator<Item = (&HallId, usize)> {
        self.halls.iter().map(|(hall, set)| (hall, set.len()))
    }

    /// Iterates over the replicas of one hall in a random order, which is generated lazily.
    pub fn shuffled_in<'a, R: Rng>(&'a self, hall: &str, rng: &'a mut R) -> impl Iterator<Item = Slot> {
        let slots = self.halls.get(hall).map_or(&[][..], SampleSet::as_slice);
        let mut shuffle = Shuffle::new(slots.len());
        std::iter::from_fn(move || shuffle.next(rng).map(|position| slots[position]))
    }

    /// Iterates over the replicas of all other halls in a random order, which is generated lazily.
    pub fn shuffled_outside<'a, R: Rng>(
        &'a self,
        hall: &'a str,
        rng: &'a mut R,
    ) -> impl Iterator<Item = Slot> {
        let others: Vec<&[Slot]> =
            self.halls.iter().filter(|(other, _)| &***other != hall).map(|(_, set)| set.as_slice()).collect();
        let mut shuffle = Shuffle::new(others.iter().map(|slots| slots.len()).sum());
        std::iter::from_fn(move || {
            let mut position = shuffle.next(rng)?;
            for slots in &others {
                match slots.get(position) {
                    Some(slot) => return Some(*slot),
                    None => position -= slots.len(),
                }
            }
            None
        })
    }
}
