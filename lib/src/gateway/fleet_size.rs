//! How many nodes a fleet has, as one that may be cut off from most of them knows.
//!
//! Whoever is cut off takes the others for dead after some seconds, and its own side for the fleet. So a size that was
//! known is kept for a while.

use std::time::Duration;

use crate::ids::Timestamp;

/// A size is kept for one to two of these.
const KEPT_FOR: Duration = Duration::from_secs(15);

/// The most nodes that anybody has taken to be alive lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    since: Timestamp,
    most: usize,
    /// The most of the interval before `since`.
    before: usize,
}

impl FleetSize {
    /// A node, perhaps this one, takes so many to be alive, itself included.
    pub fn note(&mut self, nodes: usize, now: Timestamp) {
        let age = now.saturating_sub(self.since);
        if age >= KEPT_FOR {
            let before = if age < 2 * KEPT_FOR { self.most } else { 0 };
            *self = FleetSize { since: now, most: 0, before };
        }
        self.most = self.most.max(nodes);
    }

    /// The size.
    pub fn most(&self) -> usize {
        self.most.max(self.before)
    }
}
