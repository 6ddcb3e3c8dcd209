//! Replica updates that a watcher of the store sends to other nodes, batched into few messages.
//!
//! In a large fleet the store's watch returns hundreds of times a second. The first update after a pause is
//! sent at once, as generations may have to move; updates that follow within the batch delay are sent
//! together.
//!
//! An update with hundreds of changes is sent in parts, each of which carries the number of parts. A node
//! applies each part on arrival, and knows the replicas up to the update's revision once all parts have
//! arrived.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::revision::Revision;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Delay between two messages per replica: negligible with some ten replicas, 30 ms with 3,000. The changes
/// grow with the replicas, so the number of messages a second stays about the same.
const BATCH_DELAY_PER_REPLICA: Duration = Duration::from_micros(10);
/// The longest batch delay; changes that gather during it are sent in several messages.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Changes per message at most, some 60 bytes each: a datagram holds 16 KiB.
const MAX_CHANGES_PER_MESSAGE: usize = 150;
/// Updates that change more than this share of the replicas are not sent: fetching the list takes less data
/// than changes that are forwarded several times.
const MAX_CHANGED_SHARE: f64 = 0.2;
/// Updates with up to this number of parts are always sent, in a fleet of any size.
const ALWAYS_SENT_PARTS: usize = 2;
/// Maximum number of incomplete updates to keep track of; the changes of the others are fetched.
const MAX_INCOMPLETE_UPDATES: usize = 32;

/// Which part of an update a message is.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// The number of this part, from 0 on.
    pub number: u16,
    /// The number of parts.
    pub of: u16,
}

impl Default for Part {
    fn default() -> Self {
        Part { number: 0, of: 1 }
    }
}

/// Changes of the replicas that a watcher has learnt.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaUpdate {
    /// The revision up to which the sender knew the replicas before.
    pub before: Revision,
    /// The revision up to which it knows them now; 0 for a sign that does not come from the store.
    pub at: Revision,
    /// Replicas that are new or no longer leaving.
    pub added: Vec<ReplicaRecord>,
    /// Replicas that are leaving.
    pub leaving: Vec<Incarnation>,
    /// Which part of the update this is.
    pub part: Part,
}

impl ReplicaUpdate {
    /// A sign that replicas are leaving, seen by a node that knows them up to the revision `known`.
    pub fn sign(leaving: Vec<Incarnation>, known: Revision) -> Self {
        ReplicaUpdate { before: known, leaving, ..ReplicaUpdate::default() }
    }

    /// The revision up to which the sender knew the replicas that the update names; 0 if unknown.
    pub fn known_at(&self) -> Revision {
        if self.at > 0 { self.at } else { self.before }
    }

    /// Splits the update into messages, leaving replicas first. Returns `None` if the update has many parts
    /// and changes a large share of the replicas: nodes then fetch the list from each other instead, as each
    /// message between nodes carries the revision up to which its sender knows the replicas.
    pub fn into_parts(mut self, replicas: usize) -> Option<Vec<ReplicaUpdate>> {
        let changes = self.added.len() + self.leaving.len();
        let count = changes.div_ceil(MAX_CHANGES_PER_MESSAGE).max(1);
        if count > ALWAYS_SENT_PARTS && changes as f64 > replicas as f64 * MAX_CHANGED_SHARE {
            return None;
        }
        let of = u16::try_from(count).ok()?;
        let (mut leaving, mut added) = (self.leaving.drain(..), self.added.drain(..));
        let parts = (0..of).map(|number| {
            let leaving: Vec<Incarnation> = leaving.by_ref().take(MAX_CHANGES_PER_MESSAGE).collect();
            let added = added.by_ref().take(MAX_CHANGES_PER_MESSAGE - leaving.len()).collect();
            ReplicaUpdate { before: self.before, at: self.at, added, leaving, part: Part { number, of } }
        });
        Some(parts.collect())
    }
}

/// Zstandard compression level for the changes in a message.
const COMPRESSION_LEVEL: i32 = 1;
/// Changes of fewer bytes are not compressed: names recur too rarely in them.
const MIN_COMPRESSED_BYTES: usize = 400;
/// Maximum size of the unpacked changes in a message, in bytes.
const MAX_UNPACKED_BYTES: usize = 64 << 10;

/// The changes of an update, as they are sent to other nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
enum Changes {
    /// Encoded only.
    Encoded(Vec<u8>),
    /// Encoded and compressed.
    Compressed(Vec<u8>),
}

/// An update as it is sent between nodes. A node that already has it need not unpack it, and forwards it as
/// received.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct PackedUpdate {
    /// As in [`ReplicaUpdate`].
    pub before: Revision,
    /// As in [`ReplicaUpdate`].
    pub at: Revision,
    /// As in [`ReplicaUpdate`].
    pub part: Part,
    changes: Changes,
}

/// An error while packing or unpacking an update.
#[derive(Debug, Display, Error, From)]
pub enum UpdateError {
    /// The compressed data is invalid or too large when unpacked.
    #[display("not unpacked: {_0}")]
    Packing(io::Error),
    /// The unpacked data is not a set of changes.
    #[display("unreadable: {_0}")]
    Encoding(postcard::Error),
}

impl ReplicaUpdate {
    /// Packs the update for sending.
    pub fn pack(&self) -> Result<PackedUpdate, UpdateError> {
        let encoded = postcard::to_allocvec(&(&self.added, &self.leaving))?;
        let changes = if encoded.len() < MIN_COMPRESSED_BYTES {
            Changes::Encoded(encoded)
        } else {
            Changes::Compressed(zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?)
        };
        Ok(PackedUpdate { before: self.before, at: self.at, part: self.part, changes })
    }
}

impl PackedUpdate {
    /// Unpacks the update.
    pub fn unpack(&self) -> Result<ReplicaUpdate, UpdateError> {
        let (added, leaving) = match &self.changes {
            Changes::Encoded(encoded) => postcard::from_bytes(encoded)?,
            Changes::Compressed(packed) => {
                postcard::from_bytes(&zstd::bulk::decompress(packed, MAX_UNPACKED_BYTES)?)?
            }
        };
        Ok(ReplicaUpdate { before: self.before, at: self.at, added, leaving, part: self.part })
    }
}

/// Tracks up to which revision a node knows the replicas, from parts of updates that arrive in any order.
#[derive(Debug, Default)]
pub struct UpdateProgress {
    at: Revision,
    /// The received parts of incomplete updates, by the revisions `before` and `at`.
    incomplete: BTreeMap<(Revision, Revision), BTreeSet<u16>>,
    /// Complete updates that begin after the known revision: `at` by `before`.
    ahead: BTreeMap<Revision, Revision>,
}

impl UpdateProgress {
    /// The revision up to which the replicas are known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// The replicas are known up to a revision, from the store or a list.
    pub fn on_known(&mut self, at: Revision) {
        self.at = self.at.max(at);
        while let Some((before, ahead)) = self.ahead.first_key_value().map(|(a, b)| (*a, *b))
            && before <= self.at
        {
            self.ahead.remove(&before);
            self.at = self.at.max(ahead);
        }
        let at = self.at;
        self.incomplete.retain(|(_, update_at), _| *update_at > at);
    }

    /// Whether this part of an update, or everything in it, is known already.
    pub fn has(&self, update: &PackedUpdate) -> bool {
        let incomplete = self.incomplete.get(&(update.before, update.at));
        update.at <= self.at
            || incomplete.is_some_and(|parts| parts.contains(&update.part.number))
            || self.ahead.get(&update.before) == Some(&update.at)
    }

    /// A part of an update arrived. Returns whether an earlier update or another part of this one is still
    /// missing.
    pub fn on_part(&mut self, update: &ReplicaUpdate) -> bool {
        if update.at <= self.at {
            return false;
        }
        let key = (update.before, update.at);
        let parts = self.incomplete.entry(key).or_default();
        parts.insert(update.part.number);
        if parts.len() >= usize::from(update.part.of) {
            self.incomplete.remove(&key);
            let ahead = self.ahead.entry(update.before).or_default();
            *ahead = update.at.max(*ahead);
            self.on_known(self.at);
        }
        while self.incomplete.len() > MAX_INCOMPLETE_UPDATES {
            self.incomplete.pop_first();
        }
        while self.ahead.len() > MAX_INCOMPLETE_UPDATES {
            self.ahead.pop_first();
        }
        update.at > self.at
    }
}

/// Decides which updates a node forwards to other nodes.
///
/// Each copy of a message that is forwarded again reaches some more nodes. Anything that a node would
/// forward more than once therefore floods all links within a tenth of a second, for example while the node
/// lacks an earlier change and so cannot advance its known revision. With 66 nodes on links of 10 Mbit/s,
/// such a flood made connections between nodes fail for 0.4 s and delayed 163 of 949 streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateRelay {
    /// The newest update that was forwarded: its revision and part.
    newest_forwarded: (Revision, u16),
}

impl UpdateRelay {
    /// Whether to forward an update; `is_new` is set if it changed the state of this node.
    pub fn should_forward(&mut self, update: &ReplicaUpdate, is_new: bool) -> bool {
        let this = (update.at, update.part.number);
        let is_newest = this > self.newest_forwarded;
        self.newest_forwarded = self.newest_forwarded.max(this);
        is_new || is_newest
    }
}

/// Collects changes that wait to be sent.
#[derive(Debug, Default)]
pub struct UpdateBatcher {
    pending: Option<ReplicaUpdate>,
    next_send: Timestamp,
}

impl UpdateBatcher {
    /// Adds an update that follows the pending one. Returns how long it waits if nothing was pending
    /// before.
    pub fn add(&mut self, update: ReplicaUpdate, now: Timestamp) -> Option<Duration> {
        match &mut self.pending {
            Some(pending) => {
                merge(pending, update);
                None
            }
            None => {
                self.pending = Some(update);
                Some(self.next_send.saturating_sub(now))
            }
        }
    }

    /// Takes the pending update. The next one waits for a delay that grows with the number of replicas.
    pub fn take(&mut self, replicas: usize, now: Timestamp) -> Option<ReplicaUpdate> {
        let update = self.pending.take()?;
        self.next_send = now + (BATCH_DELAY_PER_REPLICA * replicas as u32).min(MAX_BATCH_DELAY);
        Some(update)
    }
}

fn merge(pending: &mut ReplicaUpdate, update: ReplicaUpdate) {
    let is_leaving = |id: &UpstreamId| update.leaving.iter().any(|leaving| leaving.id == *id);
    let is_in_update = |id: &UpstreamId| is_leaving(id) || update.added.iter().any(|r| r.id == *id);
    pending.added.retain(|record| !is_in_update(&record.id));
    pending.leaving.retain(|leaving| !is_in_update(&leaving.id));
    pending.added.extend(update.added);
    pending.leaving.extend(update.leaving);
    pending.at = update.at;
}
