//! Halls that the operator has closed: their replicas are to get nothing new until they are open again.
//!
//! The store's revision orders all that is known of them. Whoever follows the store knows at each
//! revision which halls are closed, and tells all of them at once, so that of two words the one with the
//! higher revision holds, in whatever order they come: an older one undoes nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::ids::HallId;
use crate::ids::Timestamp;

/// Halls that are told at most: each message between nodes tells them, in some ten bytes each, and the
/// largest deployments have five. More names come from a writer that means no halls.
pub const MAX_CLOSED_HALLS: usize = 32;

/// The halls that are closed as of a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ClosedHalls {
    /// The store's revision; 0 where nothing is known.
    pub at: Revision,
    /// The halls.
    pub halls: BTreeSet<HallId>,
}

/// What a hall has become.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallChange {
    /// Nothing new goes there.
    Closed(HallId),
    /// It takes requests again.
    Opened(HallId),
}

impl ClosedHalls {
    /// Whether a hall's replicas may get requests.
    pub fn is_open(&self, hall: &str) -> bool {
        !self.halls.contains(hall)
    }

    /// The halls after changes that end at revision `at`, in their order. They may begin before
    /// [`Self::at`]: for each hall the last one counts.
    pub fn after(&self, changes: impl IntoIterator<Item = HallChange>, at: Revision) -> ClosedHalls {
        let mut halls = self.halls.clone();
        for change in changes {
            match change {
                HallChange::Closed(hall) => halls.insert(hall),
                HallChange::Opened(hall) => halls.remove(&hall),
            };
        }
        ClosedHalls { at, halls }
    }

    /// Takes another word in if it is newer; returns what it changed.
    pub fn take(&mut self, other: ClosedHalls) -> Vec<HallChange> {
        if other.at <= self.at {
            return Vec::new();
        }
        let changes = self.changes_to(&other);
        *self = other;
        changes
    }

    /// What differs from these to others.
    pub fn changes_to(&self, other: &ClosedHalls) -> Vec<HallChange> {
        let closed = other.halls.difference(&self.halls).cloned().map(HallChange::Closed);
        let opened = self.halls.difference(&other.halls).cloned().map(HallChange::Opened);
        closed.chain(opened).collect()
    }

    /// Leaves out what is beyond [`MAX_CLOSED_HALLS`]; returns how many halls that were.
    pub fn truncate(&mut self) -> usize {
        let excess: Vec<HallId> = self.halls.iter().skip(MAX_CLOSED_HALLS).cloned().collect();
        excess.iter().for_each(|hall| drop(self.halls.take(hall)));
        excess.len()
    }
}

/// The operator has written again what a copy of the store lacks this long after the store's return.
const CARRY_OVER_FOR: Duration = Duration::from_secs(3);

/// The closed halls as the store tells them, and those that a copy of it lacks: they stay closed until the operator has
/// had the time to close them again.
#[derive(Debug, Default)]
pub struct ClosedHallsTracker {
    stored: ClosedHalls,
    carried: BTreeSet<HallId>,
    carried_until: Timestamp,
}

impl ClosedHallsTracker {
    /// What the store told last.
    pub fn stored(&self) -> &ClosedHalls {
        &self.stored
    }

    /// Takes a word in; returns whether it is newer than what is known.
    pub fn take(&mut self, stored: ClosedHalls, now: Timestamp) -> bool {
        if stored.at <= self.stored.at {
            return false;
        }
        let is_of_copy = self.stored.at > 0 && revision::era(stored.at) > revision::era(self.stored.at);
        if is_of_copy {
            self.carried.extend(self.stored.halls.iter().cloned());
            self.carried_until = now + CARRY_OVER_FOR;
        }
        self.stored.take(stored);
        true
    }

    /// The operator has opened a hall.
    pub fn on_opened(&mut self, hall: &str) {
        self.carried.remove(hall);
    }

    /// The halls that are closed now.
    pub fn in_force(&mut self, now: Timestamp) -> ClosedHalls {
        if now >= self.carried_until {
            self.carried.clear();
        }
        ClosedHalls { at: self.stored.at, halls: self.stored.halls.union(&self.carried).cloned().collect() }
    }
}
