//! Which suspects of the crash ledger are written to the store, and by which node.
//!
//! Nodes synchronise the ledger directly. The store serves nodes that start later, a fleet that restarts as
//! a whole, and nodes that reach the store but no other node. As each store call is billed, and a single end
//! may happen to any request, only a node that knows no other node writes a single end. Nodes that observed
//! an end themselves write; if they are gone, the watchers of the store do. An operator clears a request by
//! removing its object.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::gateway::crash_ledger::CrashLedger;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::gateway::suspect::END_RETENTION;
use crate::gateway::suspect::Suspect;
use crate::gateway::suspect::SuspectKind;
use crate::ids::Timestamp;
use crate::ids::UnixMillis;

/// Number of valid ends from which on a request is written.
const REQUEST_ENDS_TO_WRITE: usize = 2;
/// Number of valid ends from which on a part of prompts is written. Each end makes all parts suspects that the
/// replica had begun to answer.
const PART_ENDS_TO_WRITE: usize = 3;
/// Delay after which nodes that observed none of the ends write, if no other node has.
const FALLBACK_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// How a node takes part in writing to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRole {
    /// Whether the node watches the store.
    pub is_watcher: bool,
    /// Whether the node knows no other node.
    pub is_alone: bool,
}

/// A write that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// Adds these ends to those in the store.
    Put(Suspect),
    /// Removes the object of the request.
    Remove(Fingerprint),
}

impl StoreWrite {
    /// Returns the request that is written or removed.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            StoreWrite::Put(suspect) => suspect.name.fingerprint,
            StoreWrite::Remove(fingerprint) => *fingerprint,
        }
    }
}

/// An object of the store as it was last read.
#[derive(Clone, Debug)]
struct StoredObject {
    replicas: BTreeSet<Incarnation>,
    has_served: bool,
    newest: UnixMillis,
    at: Revision,
}

impl StoredObject {
    fn new(suspect: &Suspect, at: Revision) -> StoredObject {
        let valid = suspect.ends.iter().filter(|end| !end.is_void);
        StoredObject {
            replicas: valid.map(|end| end.replica.clone()).collect(),
            has_served: suspect.has_served,
            newest: suspect.ends.iter().map(|end| end.at).max().unwrap_or(0),
            at,
        }
    }

    fn covers(&self, suspect: &Suspect) -> bool {
        let holds_ends = suspect.ends.iter().all(|end| end.is_void || self.replicas.contains(&end.replica));
        holds_ends && (self.has_served || !suspect.has_served)
    }
}

/// The store's objects as far as this node knows, and the writes of this node.
#[derive(Debug, Default)]
pub struct StoredSuspects {
    stored: HashMap<Fingerprint, StoredObject>,
    /// Requests with an end that this node observed itself.
    observed: HashSet<Fingerprint>,
    due: HashMap<Fingerprint, Timestamp>,
    writing: HashSet<Fingerprint>,
}

impl StoredSuspects {
    /// Records that this node observed the end of a replica that ran a request.
    pub fn on_own_end(&mut self, fingerprint: Fingerprint) {
        self.observed.insert(fingerprint);
    }

    /// Handles an object that the store held at a revision.
    pub fn on_put(&mut self, suspect: &Suspect, at: Revision) {
        let known = self.stored.get(&suspect.name.fingerprint);
        if known.is_none_or(|known| known.at <= at) {
            self.stored.insert(suspect.name.fingerprint, StoredObject::new(suspect, at));
        }
    }

    /// Handles the absence of a request's object at a revision; returns whether the store held one before.
    pub fn on_removed(&mut self, fingerprint: &Fingerprint, at: Revision) -> bool {
        let is_older = self.stored.get(fingerprint).is_some_and(|known| known.at <= at);
        is_older && self.stored.remove(fingerprint).is_some()
    }

    /// Handles the list of all objects that the store held at a revision; returns the requests whose objects
    /// were removed. Objects of an earlier era that are missing were lost when the store was restored from a
    /// copy, and are written again.
    pub fn on_listed(&mut self, items: &[Suspect], at: Revision) -> Vec<Fingerprint> {
        items.iter().for_each(|suspect| self.on_put(suspect, at));
        let listed: HashSet<Fingerprint> = items.iter().map(|suspect| suspect.name.fingerprint).collect();
        let missing: Vec<Fingerprint> =
            self.stored.keys().filter(|fingerprint| !listed.contains(fingerprint)).copied().collect();
        let is_lost = |object: &StoredObject| revision::era(object.at) < revision::era(at);
        let (lost, removed): (Vec<Fingerprint>, Vec<Fingerprint>) =
            missing.into_iter().partition(|fingerprint| self.stored.get(fingerprint).is_some_and(is_lost));
        lost.iter().for_each(|fingerprint| drop(self.stored.remove(fingerprint)));
        removed.into_iter().filter(|fingerprint| self.on_removed(fingerprint, at)).collect()
    }

    /// Handles the end of a write, successful or not.
    pub fn on_write_ended(&mut self, fingerprint: Fingerprint, is_done: bool, now: Timestamp) {
        self.writing.remove(&fingerprint);
        if is_done {
            self.due.remove(&fingerprint);
        } else {
            self.due.insert(fingerprint, now + RETRY_DELAY);
        }
    }

    /// Returns the writes that are due; they count as started.
    pub fn due_writes(
        &mut self,
        ledger: &CrashLedger,
        role: StoreRole,
        now: Timestamp,
        unix_now: UnixMillis,
    ) -> Vec<StoreWrite> {
        self.observed.retain(|fingerprint| ledger.contains(fingerprint));
        let mut writes = self.missing_writes(ledger, role);
        writes.extend(self.removals(ledger, unix_now));
        let wanted: HashSet<Fingerprint> = writes.iter().map(StoreWrite::fingerprint).collect();
        self.due.retain(|fingerprint, _| wanted.contains(fingerprint));
        writes.retain(|write| self.is_due(write, now));
        self.writing.extend(writes.iter().map(StoreWrite::fingerprint));
        writes
    }

    fn missing_writes(&self, ledger: &CrashLedger, role: StoreRole) -> Vec<StoreWrite> {
        let min = |kind: SuspectKind| match kind {
            _ if role.is_alone => 1,
            SuspectKind::Request => REQUEST_ENDS_TO_WRITE,
            SuspectKind::Part(_) | SuspectKind::SharedPart(_) => PART_ENDS_TO_WRITE,
        };
        let suspected = ledger.with_valid_ends().filter(|(name, ends)| *ends >= min(name.kind));
        let fingerprints = suspected.map(|(name, _)| name.fingerprint);
        let writable = fingerprints.filter(|of| role.is_watcher || self.observed.contains(of));
        let suspects = writable.filter_map(|fingerprint| ledger.get(&fingerprint));
        let is_missing = |suspect: &Suspect| {
            !self.stored.get(&suspect.name.fingerprint).is_some_and(|object| object.covers(suspect))
        };
        suspects.filter(is_missing).map(StoreWrite::Put).collect()
    }

    fn removals(&self, ledger: &CrashLedger, unix_now: UnixMillis) -> Vec<StoreWrite> {
        let retention = END_RETENTION.as_millis() as UnixMillis;
        let is_obsolete = |fingerprint: &Fingerprint, object: &StoredObject| match ledger.get(fingerprint) {
            Some(suspect) => suspect.valid_ends() == 0,
            None => object.newest + retention <= unix_now,
        };
        let obsolete = self.stored.iter().filter(|(fingerprint, object)| is_obsolete(fingerprint, object));
        obsolete.map(|(fingerprint, _)| StoreWrite::Remove(*fingerprint)).collect()
    }

    fn is_due(&mut self, write: &StoreWrite, now: Timestamp) -> bool {
        let fingerprint = write.fingerprint();
        if self.writing.contains(&fingerprint) {
            return false;
        }
        let is_fallback = matches!(write, StoreWrite::Put(_)) && !self.observed.contains(&fingerprint);
        let delay = if is_fallback { FALLBACK_WRITE_DELAY } else { Duration::ZERO };
        *self.due.entry(fingerprint).or_insert(now + delay) <= now
    }
}
