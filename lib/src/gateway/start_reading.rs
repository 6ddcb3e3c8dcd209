//! Whether a node that has just started reads from the store what all nodes need.
//!
//! After a loss of power all nodes start at once. The list of ten thousand replicas is some megabytes at the store, and a tenth
//! of that from node to node: if all read it, the store's link carries nothing else for many seconds. So seeds read it, and other
//! nodes are told of it; as seeds may be gone, any node may read it in the end, a few of all nodes in each moment.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ids::Timestamp;

/// Other nodes are waited for so long: a seed that runs answers within some tens of milliseconds.
const PEER_GRACE: Duration = Duration::from_millis(150);
/// Nodes that begin to read between two looks, of all that there are.
const READERS_PER_CHECK: f64 = 2.0;
/// Time between two looks.
pub const LOOK: Duration = Duration::from_millis(100);

/// Whether a node reads now that lacks everything. `is_seed` tells whether it is one that others ask first, `nodes` how
/// many there are, as far as it knows.
pub fn reads_now<R: Rng>(is_seed: bool, nodes: usize, since_start: Timestamp, rng: &mut R) -> bool {
    let chance = READERS_PER_CHECK / nodes.max(1) as f64;
    is_seed || (since_start >= PEER_GRACE && rng.random_bool(chance.min(1.0)))
}
