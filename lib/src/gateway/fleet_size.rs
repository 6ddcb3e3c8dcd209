//! Estimates the number of nodes in the fleet during a network partition.
//!
//! A node that is cut off considers the nodes on the other side dead after some seconds, and its own side the
//! whole fleet. The largest size that was known is therefore kept for a while.

use std::time::Duration;

use crate::ids::Timestamp;

/// Length of the window for the maximum; a size is kept for one to two windows.
const KEPT_FOR: Duration = Duration::from_secs(15);

/// The largest number of live nodes that any node has recently reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    since: Timestamp,
    most: usize,
    /// The maximum of the window before `since`.
    before: usize,
}

impl FleetSize {
    /// Records the number of nodes that some node, possibly this one, considers alive, itself included.
    pub fn note(&mut self, nodes: usize, now: Timestamp) {
        let age = now.saturating_sub(self.since);
        if age >= KEPT_FOR {
            let before = if age < 2 * KEPT_FOR { self.most } else { 0 };
            *self = FleetSize { since: now, most: 0, before };
        }
        self.most = self.most.max(nodes);
    }

    /// The estimated number of nodes.
    pub fn most(&self) -> usize {
        self.most.max(self.before)
    }
}
