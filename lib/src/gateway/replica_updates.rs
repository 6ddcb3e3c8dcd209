//! What a watcher of the store tells other nodes of the replicas, gathered into few messages.
//!
//! In a large fleet the store's watch returns hundreds of times a second. The first news
//! after a pause is told at once, as generations may have to move; what follows within the
//! pause is told together.
//!
//! News of hundreds of changes is told in parts, each of which says of how many it is one: a node acts on each part as it
//! comes, and knows the replicas up to the news' revision once it has them all.

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

/// Pause between two messages, for each replica: none to speak of with some ten, 30 ms with
/// 3,000. The changes grow with the replicas, so the messages a second stay about the same.
const BATCH_DELAY_PER_REPLICA: Duration = Duration::from_micros(10);
/// The pause grows no longer than this: what came meanwhile is told in several messages.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Changes in one message at most, some 60 bytes each: a datagram holds 16 KiB.
const MAX_CHANGES_PER_MESSAGE: usize = 150;
/// News of more than this part of the replicas are not told: the list is less to read than what is told several times.
const MAX_CHANGED_SHARE: f64 = 0.2;
/// Parts that are told in any case, in a fleet of any size.
const ALWAYS_SENT_PARTS: usize = 2;
/// News of which some parts have come, at most; what is beyond is fetched.
const MAX_INCOMPLETE_UPDATES: usize = 32;

/// Which part of the news a message is.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// Its number, from 0 on.
    pub number: u16,
    /// How many there are.
    pub of: u16,
}

impl Default for Part {
    fn default() -> Self {
        Part { number: 0, of: 1 }
    }
}

/// What a watcher has learnt of the replicas.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaUpdate {
    /// The revision up to which the watcher knew the replicas before; 0 for a sign that
    /// does not come from the store.
    pub before: Revision,
    /// The revision up to which it knows them now.
    pub at: Revision,
    /// Replicas that are new, or stay after all.
    pub added: Vec<ReplicaRecord>,
    /// Replicas that leave.
    pub leaving: Vec<Incarnation>,
    /// Which part of the news this is.
    pub part: Part,
}

impl ReplicaUpdate {
    /// The news in messages, those that leave first; `None` where so much has changed of so many replicas that the
    /// nodes rather fetch what they lack from each other: they see in each message up to where its sender knows them.
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

/// Zstandard's level for the changes in a message.
const COMPRESSION_LEVEL: i32 = 1;
/// Fewer bytes are not packed: names are repeated too seldom in them.
const MIN_COMPRESSED_BYTES: usize = 400;
/// Bytes of the changes in a message at most, once they are unpacked.
const MAX_UNPACKED_BYTES: usize = 64 << 10;

/// The changes of some news as nodes tell them.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
enum Changes {
    /// As they are encoded.
    Encoded(Vec<u8>),
    /// Compressed.
    Compressed(Vec<u8>),
}

/// News as nodes tell each other: a node that has had it need not look into it, and passes it on as it came.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct PackedUpdate {
    /// As in [`ReplicaNews`].
    pub before: Revision,
    /// As in [`ReplicaNews`].
    pub at: Revision,
    /// As in [`ReplicaNews`].
    pub part: Part,
    changes: Changes,
}

/// News that can't be packed or unpacked.
#[derive(Debug, Display, Error, From)]
pub enum UpdateError {
    /// It is not compressed as it should be, or too large.
    #[display("not unpacked: {_0}")]
    Packing(io::Error),
    /// What is in it are no changes.
    #[display("unreadable: {_0}")]
    Encoding(postcard::Error),
}

impl ReplicaUpdate {
    /// Packs it to be told.
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
    /// The news.
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

/// Up to which revision a node knows the replicas, by the parts of news that came in any order.
#[derive(Debug, Default)]
pub struct UpdateProgress {
    at: Revision,
    /// News of which parts are missing, by both revisions.
    incomplete: BTreeMap<(Revision, Revision), BTreeSet<u16>>,
    /// News that came whole and begins beyond what is known.
    ahead: BTreeMap<Revision, Revision>,
}

impl UpdateProgress {
    /// The revision.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// All is known up to a revision, from the store or a list.
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

    /// Whether a part of some news has come before, or all that is in it.
    pub fn has(&self, update: &PackedUpdate) -> bool {
        let incomplete = self.incomplete.get(&(update.before, update.at));
        update.at <= self.at
            || incomplete.is_some_and(|parts| parts.contains(&update.part.number))
            || self.ahead.get(&update.before) == Some(&update.at)
    }

    /// A part of some news came. Returns whether something before it, or another part of it, is still missing.
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

/// Which news a node passes on to others.
///
/// Each copy of a message that is passed on again reaches some more nodes, so whatever a node
/// would pass on more than once, as while it lacks an earlier change and so cannot note how far
/// it knows the replicas, fills all links within a tenth of a second: with 66 nodes on links of
/// 10 Mbit/s connections between nodes failed for 0.4 s and 163 of 949 streams came late.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateRelay {
    /// The newest news that was passed on, and its part.
    newest_forwarded: (Revision, u16),
}

impl UpdateRelay {
    /// Whether to pass news on; `is_new` says that it changed what this node believes.
    pub fn should_forward(&mut self, update: &ReplicaUpdate, is_new: bool) -> bool {
        let this = (update.at, update.part.number);
        let is_newest = this > self.newest_forwarded;
        self.newest_forwarded = self.newest_forwarded.max(this);
        is_new || is_newest
    }
}

/// News that waits to be told.
#[derive(Debug, Default)]
pub struct UpdateBatcher {
    pending: Option<ReplicaUpdate>,
    next_send: Timestamp,
}

impl UpdateBatcher {
    /// Adds news that follows what waits already. Returns how long it waits, if it is the
    /// first that does.
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

    /// Takes what waits; what comes next waits for a pause that grows with the replicas.
    pub fn take(&mut self, replicas: usize, now: Timestamp) -> Option<ReplicaUpdate> {
        let update = self.pending.take()?;
        self.next_send = now + (BATCH_DELAY_PER_REPLICA * replicas as u32).min(MAX_BATCH_DELAY);
        Some(update)
    }
}

fn merge(pending: &mut ReplicaUpdate, update: ReplicaUpdate) {
    let leaves = |id: &UpstreamId| update.leaving.iter().any(|leaving| leaving.id == *id);
    let is_named = |id: &UpstreamId| leaves(id) || update.added.iter().any(|r| r.id == *id);
    pending.added.retain(|record| !is_named(&record.id));
    pending.leaving.retain(|leaving| !is_named(&leaving.id));
    pending.added.extend(update.added);
    pending.leaving.extend(update.leaving);
    pending.at = update.at;
}
