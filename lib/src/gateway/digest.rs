//! Digests of the state that is replicated to all nodes. Each message carries them, so that two nodes whose
//! state differs notice it and send each other theirs.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::ids::Timestamp;

/// Minimum time between two full syncs that a node sends because of a different digest.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Returns a digest of some items that does not depend on their order; 0 for none.
pub fn of<T: Hash>(items: impl Iterator<Item = T>) -> u64 {
    let hashes = items.map(|item| BuildHasherDefault::<Fnv>::default().hash_one(item));
    hashes.fold(0, |sum, hash| sum ^ hash)
}

/// Limits how often a node sends its whole state to nodes with another digest.
#[derive(Debug, Default)]
pub struct FullSyncLimiter {
    last: Option<Timestamp>,
}

impl FullSyncLimiter {
    /// Whether the whole state is to be sent now to a node with the digest `other`; it then counts as sent.
    pub fn is_due(&mut self, own: u64, other: u64, now: Timestamp) -> bool {
        let is_due = own != other && self.last.is_none_or(|last| now >= last + FULL_SYNC_INTERVAL);
        if is_due {
            self.last = Some(now);
        }
        is_due
    }
}

/// FNV-1a: the same at all nodes and in all versions of the standard library.
struct Fnv(u64);

impl Fnv {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
}

impl Default for Fnv {
    fn default() -> Self {
        Fnv(Self::OFFSET)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}
