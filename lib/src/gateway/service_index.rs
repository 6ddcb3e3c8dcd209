//! The replicas of one service that are not known to leave, by hall, for looking at some of many.

use std::collections::BTreeMap;

use rand::Rng;

use crate::ids::HallId;
use crate::sample_set::SampleSet;
use crate::sample_set::Shuffle;

/// Where a table keeps a replica.
pub type Slot = u32;

/// The staying replicas of a service.
#[derive(Debug, Default)]
pub struct ServiceIndex {
    halls: BTreeMap<HallId, SampleSet<Slot>>,
}

impl ServiceIndex {
    /// A replica of a hall stays.
    pub fn insert(&mut self, hall: &HallId, slot: Slot) {
        self.halls.entry(hall.clone()).or_default().insert(slot);
    }

    /// It does not any more.
    pub fn remove(&mut self, hall: &str, slot: Slot) {
        if let Some(set) = self.halls.get_mut(hall) {
            set.remove(&slot);
            if set.is_empty() {
                self.halls.remove(hall);
            }
        }
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = Slot> {
        self.halls.values().flat_map(|set| set.iter().copied())
    }

    /// How many replicas each hall has.
    pub fn halls(&self) -> impl Iterator<Item = (&HallId, usize)> {
        self.halls.iter().map(|(hall, set)| (hall, set.len()))
    }

    /// Those of one hall, in a random order that is made up as they are asked for.
    pub fn shuffled_in<'a, R: Rng>(&'a self, hall: &str, rng: &'a mut R) -> impl Iterator<Item = Slot> {
        let slots = self.halls.get(hall).map_or(&[][..], SampleSet::as_slice);
        let mut shuffle = Shuffle::new(slots.len());
        std::iter::from_fn(move || shuffle.next(rng).map(|position| slots[position]))
    }

    /// Those of all other halls, likewise.
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
