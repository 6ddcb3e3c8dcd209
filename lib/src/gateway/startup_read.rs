//! Decides whether a node that has just started reads the state that all nodes need from the store.
//!
//! After a power failure all nodes start at once. The list of ten thousand replicas takes some megabytes
//! at the store, and a tenth of that from node to node. If all nodes read it, the link of the store
//! carries nothing else for many seconds. So seed nodes read it and other nodes receive it from them.
//! As seeds may be gone, any node may read it in the end, but only a few of all nodes at a time.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ids::Timestamp;

/// Time to wait for other nodes: a seed that runs answers within some tens of milliseconds.
const PEER_GRACE: Duration = Duration::from_millis(150);
/// Expected number of nodes, of the whole fleet, that start to read between two checks.
const READERS_PER_CHECK: f64 = 2.0;
/// Time between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a node that lacks all state reads it now. `is_seed` says whether it is a node that others
/// query first, and `nodes` is the size of the fleet, as far as known.
pub fn should_read_store<R: Rng>(is_seed: bool, nodes: usize, since_start: Timestamp, rng: &mut R) -> bool {
    let chance = READERS_PER_CHECK / nodes.max(1) as f64;
    is_seed || (since_start >= PEER_GRACE && rng.random_bool(chance.min(1.0)))
}
