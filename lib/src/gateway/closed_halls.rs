//! Halls that the operator has closed: their replicas receive no new requests until the hall is open
//! again.
//!
//! Updates are ordered by the store's revision. Each update lists every hall that is closed at its
//! revision, so the update with the highest revision wins regardless of the order of arrival, and an
//! older update has no effect.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::ids::HallId;
use crate::ids::Timestamp;

/// Maximum number of closed halls in an update. Each message between nodes carries the list, at about ten
/// bytes per hall, and the largest deployments have five halls. More names come from a writer that writes
/// something other than halls.
pub const MAX_CLOSED_HALLS: usize = 32;

/// The set of halls that are closed at a store revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ClosedHalls {
    /// The store's revision; 0 if nothing is known.
    pub at: Revision,
    /// The closed halls.
    pub halls: BTreeSet<HallId>,
}

/// A change of one hall's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallChange {
    /// The hall receives no new requests.
    Closed(HallId),
    /// The hall accepts requests again.
    Opened(HallId),
}

impl ClosedHalls {
    /// Whether replicas in a hall may receive requests.
    pub fn is_open(&self, hall: &str) -> bool {
        !self.halls.contains(hall)
    }

    /// Returns the closed halls after applying `changes`, which end at revision `at`, in order. The
    /// changes may start before [`Self::at`]: the last change of each hall decides.
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

    /// Replaces this set by `other` if that is newer. Returns the changes.
    pub fn take(&mut self, other: ClosedHalls) -> Vec<HallChange> {
        if other.at <= self.at {
            return Vec::new();
        }
        let changes = self.changes_to(&other);
        *self = other;
        changes
    }

    /// Returns the changes that turn this set into `other`.
    pub fn changes_to(&self, other: &ClosedHalls) -> Vec<HallChange> {
        let closed = other.halls.difference(&self.halls).cloned().map(HallChange::Closed);
        let opened = self.halls.difference(&other.halls).cloned().map(HallChange::Opened);
        closed.chain(opened).collect()
    }

    /// Removes halls beyond [`MAX_CLOSED_HALLS`]. Returns the number of removed halls.
    pub fn truncate(&mut self) -> usize {
        let excess: Vec<HallId> = self.halls.iter().skip(MAX_CLOSED_HALLS).cloned().collect();
        excess.iter().for_each(|hall| drop(self.halls.take(hall)));
        excess.len()
    }
}

/// How long halls stay closed that are missing from a restored copy of the store. The operator has
/// written them again within this time.
const CARRY_OVER_FOR: Duration = Duration::from_secs(3);

/// The closed halls according to the store, and those that a restored copy of the store lacks. The latter
/// stay closed until the operator has had time to close them again.
#[derive(Debug, Default)]
pub struct ClosedHallsTracker {
    stored: ClosedHalls,
    carried: BTreeSet<HallId>,
    carried_until: Timestamp,
}

impl ClosedHallsTracker {
    /// The latest state that the store reported.
    pub fn stored(&self) -> &ClosedHalls {
        &self.stored
    }

    /// Applies an update from the store. Returns whether it is newer than the known state.
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

    /// Records that the operator has opened a hall.
    pub fn on_opened(&mut self, hall: &str) {
        self.carried.remove(hall);
    }

    /// Returns the halls that are closed at `now`.
    pub fn in_force(&mut self, now: Timestamp) -> ClosedHalls {
        if now >= self.carried_until {
            self.carried.clear();
        }
        ClosedHalls { at: self.stored.at, halls: self.stored.halls.union(&self.carried).cloned().collect() }
    }
}
