//! Inventories: the complete list of a node's own requests that it reports to a lead, split into parts
//! that each fit into a message.
//!
//! Each part states the range of ids that it covers and replaces what was known of just those ids. Parts
//! may therefore arrive in any order, and a lost part leaves its ids unchanged until the next inventory.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::load::Run;
use crate::gateway::run_key::RunId;

/// Maximum encoded size of a request without the names of engines and organisations: its id, three
/// numbers and two durations as varints, and the flags for whether it has a size, is copied, and has an
/// objective.
const MAX_RUN_BYTES: usize = 10 + 3 * 5 + 2 * (10 + 5) + 3;
/// Maximum encoded overhead of a name: whether there is one, and its length.
const MAX_NAME_OVERHEAD_BYTES: usize = 1 + 5;

/// A node's requests with ids in a range, at the replicas of the lead that receives the inventory.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Inventory {
    /// The requests. Those with ids outside the range started after the range was fixed.
    pub runs: Vec<(RunId, Run)>,
    /// The range of ids for which `runs` is complete; other requests in this range that the lead knows of
    /// have ended.
    pub ids: RangeInclusive<RunId>,
}

impl Inventory {
    /// Splits `runs`, which are sorted by id, into parts with at most `max_bytes` of requests each. A
    /// larger single request gets a part of its own. Requests with ids up to `last` that are not listed
    /// have ended.
    ///
    /// A single datagram of 16 kB cannot hold the inventory of a node with more than some 600 generations,
    /// and the lead would receive nothing from such a node. With inventories in one datagram, a restarted
    /// lead knows 0 of 50 generations at engines with names of 400 bytes after 6 s.
    pub fn parts(runs: Vec<(RunId, Run)>, last: RunId, max_bytes: usize) -> Vec<Inventory> {
        let mut parts = Vec::new();
        let (mut first, mut part, mut bytes) = (0, Vec::new(), 0);
        for (id, run) in runs {
            let run_bytes = max_encoded_len(&run);
            if !part.is_empty() && bytes + run_bytes > max_bytes {
                let ids = first..=(id - 1).min(last);
                parts.push(Inventory { runs: std::mem::take(&mut part), ids });
                (first, bytes) = (id, 0);
            }
            bytes += run_bytes;
            part.push((id, run));
        }
        parts.push(Inventory { runs: part, ids: first..=last });
        parts
    }
}

/// Maximum encoded size of a request in a message.
fn max_encoded_len(run: &Run) -> usize {
    let names = std::iter::once(&run.replica).chain(&run.copied_from).chain(&run.organisation);
    MAX_RUN_BYTES + names.map(|name| MAX_NAME_OVERHEAD_BYTES + name.len()).sum::<usize>()
}
