//! Estimates the number of nodes in the fleet during a network partition.
//!
//! A node that is cut off considers the nodes on the other side dead after some seconds, and its own side the
//! whole fleet. The largest size that was known is therefore kept for a while.

use std::time::Duration;

use crate::ids::Timestamp;

/// Length of the window for the maximum; a size is kept for one to two windows.
const WINDOW: Duration = Duration::from_secs(15);

/// The largest number of live nodes that any node has recently reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    window_start: Timestamp,
    max: usize,
    /// The maximum of the window before `window_start`.
    previous_max: usize,
}

impl FleetSize {
    /// Records the number of nodes that some node, possibly this one, considers alive, itself included.
    pub fn observe(&mut self, nodes: usize, now: Timestamp) {
        let age = now.saturating_sub(self.window_start);
        if age >= WINDOW {
            let previous_max = if age < 2 * WINDOW { self.max } else { 0 };
            *self = FleetSize { window_start: now, max: 0, previous_max };
        }
        self.max = self.max.max(nodes);
    }

    /// The largest number of nodes recorded in this window and the previous one.
    pub fn recent_max(&self) -> usize {
        self.max.max(self.previous_max)
    }
}
