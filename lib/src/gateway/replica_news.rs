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
const PAUSE_PER_REPLICA: Duration = Duration::from_micros(10);
/// The pause grows no longer than this: what came meanwhile is told in several messages.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// Changes in one message at most, some 60 bytes each: a datagram holds 16 KiB.
const MOST_CHANGES: usize = 150;
/// News of more than this part of the replicas are not told: the list is less to read than what is told several times.
const MOST_PART: f64 = 0.2;
/// Parts that are told in any case, in a fleet of any size.
const LEAST_PARTS: usize = 2;
/// News of which some parts have come, at most; what is beyond is fetched.
const MOST_OPEN: usize = 32;

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
pub struct ReplicaNews {
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

impl ReplicaNews {
    /// The news in messages, those that leave first; `None` where so much has changed of so many replicas that the
    /// nodes rather fetch what they lack from each other: they see in each message up to where its sender knows them.
    pub fn into_parts(mut self, replicas: usize) -> Option<Vec<ReplicaNews>> {
        let changes = self.added.len() + self.leaving.len();
        let count = changes.div_ceil(MOST_CHANGES).max(1);
        if count > LEAST_PARTS && changes as f64 > replicas as f64 * MOST_PART {
            return None;
        }
        let of = u16::try_from(count).ok()?;
        let (mut leaving, mut added) = (self.leaving.drain(..), self.added.drain(..));
        let parts = (0..of).map(|number| {
            let leaving: Vec<Incarnation> = leaving.by_ref().take(MOST_CHANGES).collect();
            let added = added.by_ref().take(MOST_CHANGES - leaving.len()).collect();
            ReplicaNews { before: self.before, at: self.at, added, leaving, part: Part { number, of } }
        });
        Some(parts.collect())
    }
}

/// Zstandard's level for the changes in a message.
const LEVEL: i32 = 1;
/// Fewer bytes are not packed: names are repeated too seldom in them.
const LEAST_PACKED: usize = 400;
/// Bytes of the changes in a message at most, once they are unpacked.
const MOST_UNPACKED: usize = 64 << 10;

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
pub struct PackedNews {
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
pub enum NewsError {
    /// It is not compressed as it should be, or too large.
    #[display("not unpacked: {_0}")]
    Packing(io::Error),
    /// What is in it are no changes.
    #[display("unreadable: {_0}")]
    Encoding(postcard::Error),
}

impl ReplicaNews {
    /// Packs it to be told.
    pub fn pack(&self) -> Result<PackedNews, NewsError> {
        let encoded = postcard::to_allocvec(&(&self.added, &self.leaving))?;
        let changes = if encoded.len() < LEAST_PACKED {
            Changes::Encoded(encoded)
        } else {
            Changes::Compressed(zstd::bulk::compress(&encoded, LEVEL)?)
        };
        Ok(PackedNews { before: self.before, at: self.at, part: self.part, changes })
    }
}

impl PackedNews {
    /// The news.
    pub fn unpack(&self) -> Result<ReplicaNews, NewsError> {
        let (added, leaving) = match &self.changes {
            Changes::Encoded(encoded) => postcard::from_bytes(encoded)?,
            Changes::Compressed(packed) => {
                postcard::from_bytes(&zstd::bulk::decompress(packed, MOST_UNPACKED)?)?
            }
        };
        Ok(ReplicaNews { before: self.before, at: self.at, added, leaving, part: self.part })
    }
}

/// Up to which revision a node knows the replicas, by the parts of news that came in any order.
#[derive(Debug, Default)]
pub struct NewsProgress {
    at: Revision,
    /// News of which parts are missing, by both revisions.
    open: BTreeMap<(Revision, Revision), BTreeSet<u16>>,
    /// News that came whole and begins beyond what is known.
    ahead: BTreeMap<Revision, Revision>,
}

impl NewsProgress {
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
        self.open.retain(|(_, news_at), _| *news_at > at);
    }

    /// Whether a part of some news has come before, or all that is in it.
    pub fn has(&self, news: &PackedNews) -> bool {
        let open = self.open.get(&(news.before, news.at));
        news.at <= self.at
            || open.is_some_and(|parts| parts.contains(&news.part.number))
            || self.ahead.get(&news.before) == Some(&news.at)
    }

    /// A part of some news came. Returns whether something before it, or another part of it, is still missing.
    pub fn on_part(&mut self, news: &ReplicaNews) -> bool {
        if news.at <= self.at {
            return false;
        }
        let key = (news.before, news.at);
        let parts = self.open.entry(key).or_default();
        parts.insert(news.part.number);
        if parts.len() >= usize::from(news.part.of) {
            self.open.remove(&key);
            let ahead = self.ahead.entry(news.before).or_default();
            *ahead = news.at.max(*ahead);
            self.on_known(self.at);
        }
        while self.open.len() > MOST_OPEN {
            self.open.pop_first();
        }
        while self.ahead.len() > MOST_OPEN {
            self.ahead.pop_first();
        }
        news.at > self.at
    }
}

/// Which news a node passes on to others.
///
/// Each copy of a message that is passed on again reaches some more nodes, so whatever a node
/// would pass on more than once, as while it lacks an earlier change and so cannot note how far
/// it knows the replicas, fills all links within a tenth of a second: with 66 nodes on links of
/// 10 Mbit/s connections between nodes failed for 0.4 s and 163 of 949 streams came late.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewsRelay {
    /// The newest news that was passed on, and its part.
    passed: (Revision, u16),
}

impl NewsRelay {
    /// Whether to pass news on; `is_new` says that it changed what this node believes.
    pub fn passes_on(&mut self, news: &ReplicaNews, is_new: bool) -> bool {
        let this = (news.at, news.part.number);
        let is_newest = this > self.passed;
        self.passed = self.passed.max(this);
        is_new || is_newest
    }
}

/// News that waits to be told.
#[derive(Debug, Default)]
pub struct NewsGathering {
    waiting: Option<ReplicaNews>,
    next: Timestamp,
}

impl NewsGathering {
    /// Adds news that follows what waits already. Returns how long it waits, if it is the
    /// first that does.
    pub fn add(&mut self, news: ReplicaNews, now: Timestamp) -> Option<Duration> {
        match &mut self.waiting {
            Some(waiting) => {
                merge(waiting, news);
                None
            }
            None => {
                self.waiting = Some(news);
                Some(self.next.saturating_sub(now))
            }
        }
    }

    /// Takes what waits; what comes next waits for a pause that grows with the replicas.
    pub fn take(&mut self, replicas: usize, now: Timestamp) -> Option<ReplicaNews> {
        let news = self.waiting.take()?;
        self.next = now + (PAUSE_PER_REPLICA * replicas as u32).min(LONGEST_PAUSE);
        Some(news)
    }
}

fn merge(waiting: &mut ReplicaNews, news: ReplicaNews) {
    let leaves = |id: &UpstreamId| news.leaving.iter().any(|leaving| leaving.id == *id);
    let is_named = |id: &UpstreamId| leaves(id) || news.added.iter().any(|r| r.id == *id);
    waiting.added.retain(|record| !is_named(&record.id));
    waiting.leaving.retain(|leaving| !is_named(&leaving.id));
    waiting.added.extend(news.added);
    waiting.leaving.extend(news.leaving);
    waiting.at = news.at;
}
