//! Requests under which replicas have ended, and which of them are quarantined: sent to no further one.
//!
//! A request that ends each replica that begins to run it comes back under another id, at any node, and
//! takes all that runs beside it along: one ended 13 of a service's 12 replicas within 14 s. No node
//! sees more than its own part of that, so all nodes keep one ledger: for each request the replicas that
//! ended under it. Ends are only added, and become void, never the reverse: news may come twice, late, in
//! any order and by any way, and all who have heard the same agree.
//!
//! Evidence against blame voids the ends: a run that ended well. Only what is deterministic is caught:
//! a request that ends one replica in two is cleared by each run that ends well.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::digest;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::replica_record::Incarnation;
use crate::ids::UnixMillis;

/// Replicas that end under a request until it is quarantined. On a model of a fleet whose replicas also end
/// by themselves, alone and by the half, 8,911 of 323,471 sound requests were quarantined with two, and
/// none of 323,486 with three.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// How long an end counts. An operator has that long to see to the request or to the replicas' software.
pub const END_RETENTION: Duration = Duration::from_secs(3_600);
/// Requests that are kept at most; the least suspected and oldest go first.
pub const MAX_SUSPECTS: usize = 1_024;
/// Ends that are kept of one request at most: more tell nothing new. Void ones give way.
pub const MAX_ENDS: usize = 6;
/// Requests that one message tells at most: each takes some 200 bytes with [`MAX_ENDS`], of 15 kB.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 64;
/// Ends of a request from which on all nodes must know of it: one alone may be any request's fate,
/// and is told once, by a message that may be lost.
const ENDS_TO_SYNC: usize = 2;

/// A replica that ended while it ran a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaEnd {
    /// The replica.
    pub replica: Incarnation,
    /// When it was noticed.
    pub at: UnixMillis,
    /// A run of the request ended well afterwards, or an operator cleared it.
    pub is_void: bool,
}

/// A request with the replicas that ended under it, as nodes tell it and the store keeps it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The ends, some or all.
    pub ends: Vec<ReplicaEnd>,
}

impl Suspect {
    /// Ends that speak against it.
    pub fn valid_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_void).count()
    }
}

/// What speaks against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Replicas that ended under it.
    pub ends: usize,
    /// When the first of these no longer counts.
    pub until: UnixMillis,
}

impl SuspectStatus {
    /// Whether it is sent to no replica.
    pub fn is_quarantined(&self) -> bool {
        self.ends >= ENDS_TO_QUARANTINE
    }
}

/// The requests that anything speaks against.
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

    /// Takes an end in; returns whether it told anything new.
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

/// All that a node knows of requests under which replicas ended.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<Fingerprint, SuspectEnds>,
}

impl CrashLedger {
    /// A replica ended under a request; returns what is to be told, if it is news.
    pub fn on_end(
        &mut self,
        fingerprint: Fingerprint,
        replica: Incarnation,
        now: UnixMillis,
    ) -> Vec<Suspect> {
        let end = ReplicaEnd { replica, at: now, is_void: false };
        self.merge(vec![Suspect { fingerprint, ends: vec![end] }], now)
    }

    /// Another node or the store told; returns what was news here.
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

    /// A run of the request ended well, or an operator cleared it; returns what is to be told.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Suspect> {
        let Some(known) = self.suspects.get_mut(&fingerprint).filter(|known| known.valid_ends() > 0) else {
            return Vec::new();
        };
        known.0.values_mut().for_each(|(_, is_void)| *is_void = true);
        vec![known.to_suspect(fingerprint)]
    }

    /// Forgets ends that no longer count; returns whether there were any.
    pub fn forget(&mut self, now: UnixMillis) -> bool {
        let ends = |ledger: &Self| ledger.suspects.values().map(|ends| ends.0.len()).sum::<usize>();
        let before = ends(self);
        self.suspects.values_mut().for_each(|ends| ends.0.retain(|_, (at, _)| counts(*at, now)));
        self.suspects.retain(|_, ends| !ends.0.is_empty());
        ends(self) < before
    }

    /// What is known of one request.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<Suspect> {
        self.suspects.get(fingerprint).map(|ends| ends.to_suspect(*fingerprint))
    }

    /// Whether anything is known of a request.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// The requests with so many ends that count, or more.
    pub fn with_valid_ends(&self, min: usize) -> impl Iterator<Item = &Fingerprint> {
        let suspected = self.suspects.iter().filter(move |(_, ends)| ends.valid_ends() >= min);
        suspected.map(|(fingerprint, _)| fingerprint)
    }

    /// Whether all nodes must know of a request.
    pub fn needs_sync(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(SuspectEnds::need_sync)
    }

    /// All requests that anything speaks against.
    pub fn table(&self) -> CrashTable {
        let statuses = self.suspects.iter().filter_map(|(fingerprint, ends)| {
            let first = ends.0.values().filter(|(_, is_void)| !is_void).map(|(at, _)| *at).min()?;
            let until = first + END_RETENTION.as_millis() as UnixMillis;
            Some((*fingerprint, SuspectStatus { ends: ends.valid_ends(), until }))
        });
        statuses.collect()
    }

    /// What all nodes must know, the most suspected first: no more than one message holds.
    pub fn suspects_to_sync(&self) -> Vec<Suspect> {
        let known = self.suspects.iter().filter(|(_, ends)| ends.need_sync());
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|(_, ends)| std::cmp::Reverse((ends.valid_ends(), ends.newest())));
        known.truncate(MAX_SUSPECTS_PER_MESSAGE);
        known.into_iter().map(|(fingerprint, ends)| ends.to_suspect(*fingerprint)).collect()
    }

    /// Stands for [`Self::suspects_to_sync`]: the same at nodes that know the same, 0 where there is nothing.
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

/// Whether an end that was noticed then still counts. One from a clock that is far ahead would never stop
/// to.
fn counts(at: UnixMillis, now: UnixMillis) -> bool {
    let retention = END_RETENTION.as_millis() as UnixMillis;
    now < at + retention && at < now + retention
}
