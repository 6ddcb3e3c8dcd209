//! Ledger of requests during which replicas ended without a plan, and which of them are quarantined, that
//! is, no longer sent to any replica.
//!
//! A request that crashes each replica that runs it is retried under another id, at any node, and takes
//! down all other runs of the replica: one such request ended 13 replicas within 14 s in a service that
//! runs 12. As each node sees only a part of that, all nodes replicate one ledger, which holds for each
//! request the replicas that ended while they ran it. Ends are only added, and only change from valid to
//! void: updates may arrive twice, late, in any order and by any path, and nodes with the same updates
//! agree.
//!
//! A successful run of the request voids its ends. Hence only deterministic crashes are caught: a request
//! that ends every second replica is cleared by each successful run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::digest;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::replica_record::Incarnation;
use crate::ids::UnixMillis;

/// Number of replica ends at which a request is quarantined. In a model of a fleet whose replicas also end
/// for other reasons, singly and half of them at once, 8,911 of 323,471 harmless requests were quarantined
/// with two ends, and none of 323,486 with three.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// Time for which an end counts. An operator has that long to handle the request or fix the replicas'
/// software.
pub const END_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of requests in the ledger; those with the fewest valid ends, then the oldest, are evicted
/// first.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of ends kept per request: more add no information. Void ends are evicted for valid ones.
pub const MAX_ENDS: usize = 6;
/// Maximum number of requests in one message: each takes some 200 bytes with [`MAX_ENDS`] ends, and a message
/// holds 15 kB.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 64;
/// Number of ends from which on a request is synchronised between all nodes. A single end may happen to any
/// request, and is only announced once, by a message that may be lost.
const ENDS_TO_SYNC: usize = 2;

/// A replica that ended while it ran a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaEnd {
    /// The replica.
    pub replica: Incarnation,
    /// When the end was noticed.
    pub at: UnixMillis,
    /// Whether a later run of the request succeeded, or an operator cleared the request.
    pub is_void: bool,
}

/// A request with the replicas that ended while they ran it, as nodes announce it and the store holds it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Some or all of its ends.
    pub ends: Vec<ReplicaEnd>,
}

impl Suspect {
    /// Returns the number of ends that are not void.
    pub fn valid_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_void).count()
    }
}

/// What counts against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Number of its valid ends.
    pub ends: usize,
    /// When the first of these expires.
    pub until: UnixMillis,
}

impl SuspectStatus {
    /// Whether the request is quarantined, that is, sent to no replica.
    pub fn is_quarantined(&self) -> bool {
        self.ends >= ENDS_TO_QUARANTINE
    }
}

/// The requests with valid ends.
pub type CrashTable = HashMap<Fingerprint, SuspectStatus>;

#[derive(Clone, Debug, Default)]
struct SuspectEnds(BTreeMap<Incarnation, (UnixMillis, bool)>);

impl SuspectEnds {
    fn valid_ends(&self) -> usize {
        self.0.values().filter(|(_, is_void)| !is_void).count()
    }

    fn need_sync(&self) -> bool {
        self.0.len() >= ENDS_TO_SYNC
    }

    fn newest(&self) -> UnixMillis {
        self.0.values().map(|(at, _)| *at).max().unwrap_or(0)
    }

    /// Adds an end, or marks a known one void; returns whether that changed anything.
    fn merge(&mut self, end: &ReplicaEnd) -> bool {
        if let Some((_, is_void)) = self.0.get_mut(&end.replica) {
            return end.is_void && !std::mem::replace(is_void, true);
        }
        let has_room = self.0.len() < MAX_ENDS || (!end.is_void && self.drop_oldest_void());
        if has_room {
            self.0.insert(end.replica.clone(), (end.at, end.is_void));
        }
        has_room
    }

    fn drop_oldest_void(&mut self) -> bool {
        let void = self.0.iter().filter(|(_, (_, is_void))| *is_void);
        let oldest = void.min_by_key(|(_, (at, _))| *at).map(|(replica, _)| replica.clone());
        oldest.is_some_and(|oldest| self.0.remove(&oldest).is_some())
    }

    fn to_suspect(&self, fingerprint: Fingerprint) -> Suspect {
        let ends = self.0.iter().map(|(replica, (at, is_void))| ReplicaEnd {
            replica: replica.clone(),
            at: *at,
            is_void: *is_void,
        });
        Suspect { fingerprint, ends: ends.collect() }
    }
}

/// The requests during which replicas ended, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<Fingerprint, SuspectEnds>,
}

impl CrashLedger {
    /// Handles the end of a replica that ran a request; returns what is to be announced, if the end is new.
    pub fn on_end(
        &mut self,
        fingerprint: Fingerprint,
        replica: Incarnation,
        now: UnixMillis,
    ) -> Vec<Suspect> {
        let end = ReplicaEnd { replica, at: now, is_void: false };
        self.merge(vec![Suspect { fingerprint, ends: vec![end] }], now)
    }

    /// Merges what another node or the store holds; returns what was new.
    pub fn merge(&mut self, received: Vec<Suspect>, now: UnixMillis) -> Vec<Suspect> {
        let mut changes = Vec::new();
        for Suspect { fingerprint, ends } in received {
            let known = self.suspects.entry(fingerprint).or_default();
            let ends: Vec<ReplicaEnd> =
                ends.into_iter().filter(|end| counts(end.at, now) && known.merge(end)).collect();
            if !ends.is_empty() {
                changes.push(Suspect { fingerprint, ends });
            }
            if self.suspects.get(&fingerprint).is_some_and(|known| known.0.is_empty()) {
                self.suspects.remove(&fingerprint);
            }
        }
        self.limit();
        changes
    }

    /// Voids all ends of a request after a successful run or by an operator; returns what is to be announced.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Suspect> {
        let Some(known) = self.suspects.get_mut(&fingerprint).filter(|known| known.valid_ends() > 0) else {
            return Vec::new();
        };
        known.0.values_mut().for_each(|(_, is_void)| *is_void = true);
        vec![known.to_suspect(fingerprint)]
    }

    /// Removes ends that have expired; returns whether there were any.
    pub fn forget(&mut self, now: UnixMillis) -> bool {
        let ends = |ledger: &Self| ledger.suspects.values().map(|ends| ends.0.len()).sum::<usize>();
        let before = ends(self);
        self.suspects.values_mut().for_each(|ends| ends.0.retain(|_, (at, _)| counts(*at, now)));
        self.suspects.retain(|_, ends| !ends.0.is_empty());
        ends(self) < before
    }

    /// Returns a request with its ends.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<Suspect> {
        self.suspects.get(fingerprint).map(|ends| ends.to_suspect(*fingerprint))
    }

    /// Whether the ledger holds a request.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Returns the requests with at least this many valid ends.
    pub fn with_valid_ends(&self, min: usize) -> impl Iterator<Item = &Fingerprint> {
        let suspected = self.suspects.iter().filter(move |(_, ends)| ends.valid_ends() >= min);
        suspected.map(|(fingerprint, _)| fingerprint)
    }

    /// Whether a request is synchronised between all nodes.
    pub fn needs_sync(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(SuspectEnds::need_sync)
    }

    /// Returns all requests with valid ends.
    pub fn table(&self) -> CrashTable {
        let statuses = self.suspects.iter().filter_map(|(fingerprint, ends)| {
            let first = ends.0.values().filter(|(_, is_void)| !is_void).map(|(at, _)| *at).min()?;
            let until = first + END_RETENTION.as_millis() as UnixMillis;
            Some((*fingerprint, SuspectStatus { ends: ends.valid_ends(), until }))
        });
        statuses.collect()
    }

    /// Returns the requests that are synchronised between all nodes, those with the most valid ends first and
    /// no more than fit into one message.
    pub fn suspects_to_sync(&self) -> Vec<Suspect> {
        let known = self.suspects.iter().filter(|(_, ends)| ends.need_sync());
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|(_, ends)| std::cmp::Reverse((ends.valid_ends(), ends.newest())));
        known.truncate(MAX_SUSPECTS_PER_MESSAGE);
        known.into_iter().map(|(fingerprint, ends)| ends.to_suspect(*fingerprint)).collect()
    }

    /// Returns a digest of [`Self::suspects_to_sync`]: the same at nodes that know the same, 0 for none.
    pub fn digest(&self) -> u64 {
        let ends = self.suspects_to_sync().into_iter().flat_map(|suspect| {
            let fingerprint = suspect.fingerprint;
            suspect.ends.into_iter().map(move |end| (fingerprint, end.replica, end.is_void))
        });
        digest::of(ends)
    }

    fn limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, ends)| (ends.valid_ends(), ends.newest()));
            let Some(least) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.suspects.remove(&least);
        }
    }
}

/// Whether an end that was noticed at `at` counts. An end from a clock that is far ahead doesn't, as it would
/// not expire.
fn counts(at: UnixMillis, now: UnixMillis) -> bool {
    let retention = END_RETENTION.as_millis() as UnixMillis;
    now < at + retention && at < now + retention
}
