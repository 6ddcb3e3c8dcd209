//! Which runs speak for or against the parts of their prompts, and which parts of a request are looked at.

use std::time::Duration;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::recent_keys::RecentKeys;
use crate::ids::Timestamp;

/// Maximum number of events that a run has produced at its replica when the replica crashes on a part of its
/// prompt: the crash comes as the response begins, and its last events may still arrive.
const MAX_EARLY_EVENTS: u64 = 2;
/// Maximum number of parts of one request that are looked at, which bounds what a caller can add to the ledger.
pub const MAX_PARTS: usize = 16;
/// Time after a run for which a part counts as served before.
const SERVED_VALIDITY: Duration = Duration::from_secs(600);
/// Maximum number of served parts that a node remembers.
const MAX_SERVED: usize = 4_096;

/// Whether a run that broke after this many events at its replica speaks against the parts of its prompt.
pub fn speaks_against_parts(events: u64) -> bool {
    events <= MAX_EARLY_EVENTS
}

/// Whether a run that has produced this many events at its replica speaks for the parts of its prompt.
pub fn speaks_for_parts(events: u64) -> bool {
    events > MAX_EARLY_EVENTS
}

/// The parts of prompts that replicas have served to this node lately.
#[derive(Debug)]
pub struct ServedParts {
    recent: RecentKeys<Fingerprint>,
}

impl Default for ServedParts {
    fn default() -> Self {
        ServedParts { recent: RecentKeys::new(SERVED_VALIDITY, MAX_SERVED) }
    }
}

impl ServedParts {
    /// Records that a run spoke for a part.
    pub fn on_served(&mut self, part: Fingerprint, now: Timestamp) {
        self.recent.add(part, now);
    }

    /// Whether a run spoke for a part lately.
    pub fn has_served(&self, part: &Fingerprint, now: Timestamp) -> bool {
        self.recent.contains(part, now)
    }
}
