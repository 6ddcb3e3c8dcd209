//! Whether a node has a path to the replicas. A replica that can't be reached may have ended, or this node may
//! be partitioned from it; the outcomes at several replicas tell these apart.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of replicas that can't be reached, with none reached in between, from which on the node itself
/// counts as cut off.
const MIN_UNREACHED_FOR_CUT: usize = 2;

/// A change of what a node believes about its path to the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The node is cut off from the replicas.
    Lost,
    /// The node reaches replicas again.
    Restored,
}

/// The outcomes of a node's attempts to connect to replicas.
#[derive(Debug, Default)]
pub struct ReplicaPaths {
    /// Replicas that could not be reached since one was reached.
    unreached: BTreeSet<SocketAddr>,
}

impl ReplicaPaths {
    /// Whether the node counts as cut off from the replicas.
    pub fn is_cut_off(&self) -> bool {
        self.unreached.len() >= MIN_UNREACHED_FOR_CUT
    }

    /// Number of replicas that could not be reached since one was reached.
    pub fn unreached(&self) -> usize {
        self.unreached.len()
    }

    /// Records that a connection to a replica was opened, or could not be opened.
    pub fn on_direct(&mut self, replica: SocketAddr, is_reached: bool) -> Option<PathChange> {
        let was_cut_off = self.is_cut_off();
        if is_reached {
            self.unreached.clear();
        } else {
            self.unreached.insert(replica);
        }
        match (was_cut_off, self.is_cut_off()) {
            (false, true) => Some(PathChange::Lost),
            (true, false) => Some(PathChange::Restored),
            _ => None,
        }
    }
}
