//! What a node tells a lead of its own requests: all of them, in parts that each fit into a message.
//!
//! A part says for which ids it names all requests, so each replaces what was known of just those:
//! parts may come in any order, and one that is lost leaves its ids as they were until the next time.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::load::Run;
use crate::gateway::run_key::RunId;

/// Bytes of a request beside the names of engines, at most: its id and three numbers as varints,
/// and whether it has a size and is copied.
const MAX_RUN_BYTES: usize = 10 + 3 * 5 + 2;
/// Bytes of an engine's name beside the name itself, at most: whether there is one, and its length.
const MAX_NAME_OVERHEAD_BYTES: usize = 1 + 5;

/// A node's requests with ids in a range, at the replicas whose lead is told.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Inventory {
    /// The requests. Those with ids beyond the range were started after it was settled.
    pub runs: Vec<(RunId, Run)>,
    /// The ids of which `runs` names all that the lead is to know; what it knows beside them has
    /// ended.
    pub ids: RangeInclusive<RunId>,
}

impl Inventory {
    /// Tells of `runs`, which are in order of their ids, with no more than `max_bytes` of requests
    /// in each part; a request that is larger by itself has a part of its own. Up to `last`, whatever
    /// is not among them has ended.
    ///
    /// A lead was told nothing of a node with more than some 600 generations while they had to fit
    /// into one datagram of 16 kB: one that started anew knew 0 of 50 generations at engines with
    /// names of 400 bytes after 6 s.
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

/// Bytes that a request takes in a message, at most.
fn max_encoded_len(run: &Run) -> usize {
    let names = std::iter::once(&run.replica).chain(&run.copied_from);
    MAX_RUN_BYTES + names.map(|name| MAX_NAME_OVERHEAD_BYTES + name.len()).sum::<usize>()
}
