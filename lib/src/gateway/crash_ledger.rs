//! Ledger of requests, and of parts of prompts, during which replicas ended without a plan.
//!
//! A request that crashes each replica that runs it is retried under another id, at any node, and takes
//! down all other runs of the replica: one such request ended 13 replicas within 14 s in a service that
//! runs 12. A part of prompts does the same in requests that are all different. As each node sees only a part
//! of that, all nodes replicate one ledger, which holds for each suspect the replicas that ended while they
//! ran it. Ends are only added, and only change from valid to void: updates may arrive twice, late, in any
//! order and by any path, and nodes with the same updates agree.
//!
//! A successful run voids the ends of a suspect. Hence only deterministic crashes are caught: a request
//! that ends every second replica is cleared by each successful run.

use std::collections::BTreeMap;

use crate::gateway::digest;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::quarantine::CrashTable;
use crate::gateway::quarantine::Evidence;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::suspect::END_RETENTION;
use crate::gateway::suspect::ReplicaEnd;
use crate::gateway::suspect::Suspect;
use crate::gateway::suspect::SuspectKind;
use crate::gateway::suspect::SuspectName;
use crate::ids::UnixMillis;

/// Maximum number of suspects in the ledger; those with the fewest valid ends, then the oldest, are evicted
/// first.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of ends kept per suspect: the oldest, which explain those of other suspects, and the newest.
pub const MAX_ENDS: usize = 12;
/// Maximum number of suspects in one message: each takes some 350 bytes with [`MAX_ENDS`] ends, and a message
/// holds 15 kB.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 40;
/// Number of ends from which on a suspect is synchronised between all nodes. A single end may happen to any
/// request, and is only announced once, by a message that may be lost.
const ENDS_TO_SYNC: usize = 2;

#[derive(Clone, Debug)]
struct SuspectEnds {
    kind: SuspectKind,
    has_served: bool,
    ends: BTreeMap<Incarnation, (UnixMillis, bool)>,
}

impl SuspectEnds {
    fn new(kind: SuspectKind) -> Self {
        SuspectEnds { kind, has_served: false, ends: BTreeMap::new() }
    }

    fn valid(&self) -> impl Iterator<Item = (&Incarnation, UnixMillis)> {
        let valid = self.ends.iter().filter(|(_, (_, is_void))| !is_void);
        valid.map(|(replica, (at, _))| (replica, *at))
    }

    fn valid_ends(&self) -> usize {
        self.valid().count()
    }

    fn need_sync(&self) -> bool {
        self.ends.len() >= ENDS_TO_SYNC
    }

    fn newest(&self) -> UnixMillis {
        self.ends.values().map(|(at, _)| *at).max().unwrap_or(0)
    }

    /// Adds an end, or marks a known one void; returns whether that changed anything.
    fn merge(&mut self, end: &ReplicaEnd) -> bool {
        if let Some((_, is_void)) = self.ends.get_mut(&end.replica) {
            return end.is_void && !std::mem::replace(is_void, true);
        }
        self.ends.insert(end.replica.clone(), (end.at, end.is_void));
        if self.ends.len() <= MAX_ENDS {
            return true;
        }
        let mut in_order: Vec<(UnixMillis, &Incarnation)> =
            self.ends.iter().map(|(replica, (at, _))| (*at, replica)).collect();
        in_order.sort_unstable();
        let surplus = in_order[MAX_ENDS / 2].1.clone();
        self.ends.remove(&surplus);
        surplus != end.replica
    }

    fn name(&self, fingerprint: Fingerprint) -> SuspectName {
        SuspectName { fingerprint, kind: self.kind }
    }

    fn to_suspect(&self, fingerprint: Fingerprint) -> Suspect {
        let ends = self.ends.iter().map(|(replica, (at, is_void))| ReplicaEnd {
            replica: replica.clone(),
            at: *at,
            is_void: *is_void,
        });
        Suspect { name: self.name(fingerprint), has_served: self.has_served, ends: ends.collect() }
    }
}

/// The suspects, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<Fingerprint, SuspectEnds>,
}

impl CrashLedger {
    /// Handles the end of a replica that ran a suspect; returns what is to be announced, if the end is new.
    pub fn on_end(&mut self, name: SuspectName, replica: Incarnation, now: UnixMillis) -> Vec<Suspect> {
        let end = ReplicaEnd { replica, at: now, is_void: false };
        self.merge(vec![Suspect { name, has_served: false, ends: vec![end] }], now)
    }

    /// Merges what another node or the store holds; returns what was new.
    pub fn merge(&mut self, received: Vec<Suspect>, now: UnixMillis) -> Vec<Suspect> {
        let mut changes = Vec::new();
        for Suspect { name, has_served, ends } in received {
            let known = self.suspects.entry(name.fingerprint).or_insert_with(|| SuspectEnds::new(name.kind));
            let ends: Vec<ReplicaEnd> =
                ends.into_iter().filter(|end| counts(end.at, now) && known.merge(end)).collect();
            let is_new_to_serve = has_served && !known.has_served;
            if known.ends.is_empty() {
                self.suspects.remove(&name.fingerprint);
                continue;
            }
            known.has_served |= has_served;
            if is_new_to_serve || !ends.is_empty() {
                changes.push(Suspect { name, has_served: known.has_served, ends });
            }
        }
        self.limit();
        changes
    }

    /// Records that replicas have served a part before.
    pub fn on_served(&mut self, fingerprint: &Fingerprint) {
        if let Some(known) = self.suspects.get_mut(fingerprint) {
            known.has_served = true;
        }
    }

    /// Voids all ends of a suspect after a successful run or by an operator; returns what is to be announced.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<Suspect> {
        let Some(known) = self.suspects.get_mut(&fingerprint).filter(|known| known.valid_ends() > 0) else {
            return Vec::new();
        };
        known.ends.values_mut().for_each(|(_, is_void)| *is_void = true);
        vec![known.to_suspect(fingerprint)]
    }

    /// Removes ends that have expired; returns whether there were any.
    pub fn forget(&mut self, now: UnixMillis) -> bool {
        let ends = |ledger: &Self| ledger.suspects.values().map(|known| known.ends.len()).sum::<usize>();
        let before = ends(self);
        self.suspects.values_mut().for_each(|known| known.ends.retain(|_, (at, _)| counts(*at, now)));
        self.suspects.retain(|_, known| !known.ends.is_empty());
        ends(self) < before
    }

    /// Returns a suspect with its ends.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<Suspect> {
        self.suspects.get(fingerprint).map(|known| known.to_suspect(*fingerprint))
    }

    /// Whether the ledger holds a suspect.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Returns the suspects with valid ends, and the number of these.
    pub fn with_valid_ends(&self) -> impl Iterator<Item = (SuspectName, usize)> {
        let suspects = self.suspects.iter().map(|(of, known)| (known.name(*of), known.valid_ends()));
        suspects.filter(|(_, ends)| *ends > 0)
    }

    /// Whether a suspect is synchronised between all nodes.
    pub fn needs_sync(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.get(fingerprint).is_some_and(SuspectEnds::need_sync)
    }

    /// Returns the suspects with valid ends, and what is quarantined.
    pub fn table(&self) -> CrashTable {
        let evidence = self.suspects.iter().map(|(fingerprint, known)| Evidence {
            name: known.name(*fingerprint),
            has_served: known.has_served,
            ends: known.valid().collect(),
        });
        CrashTable::new(evidence.filter(|evidence| !evidence.ends.is_empty()).collect())
    }

    /// Returns the suspects that are synchronised between all nodes, those with the most valid ends first and
    /// no more than fit into one message.
    pub fn suspects_to_sync(&self) -> Vec<Suspect> {
        let known = self.suspects.iter().filter(|(_, known)| known.need_sync());
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|(_, known)| std::cmp::Reverse((known.valid_ends(), known.newest())));
        known.truncate(MAX_SUSPECTS_PER_MESSAGE);
        known.into_iter().map(|(fingerprint, known)| known.to_suspect(*fingerprint)).collect()
    }

    /// Returns a digest of [`Self::suspects_to_sync`]: the same at nodes that know the same, 0 for none.
    pub fn digest(&self) -> u64 {
        let ends = self.suspects_to_sync().into_iter().flat_map(|suspect| {
            let Suspect { name, has_served, ends } = suspect;
            ends.into_iter().map(move |end| (name.fingerprint, has_served, end.replica, end.is_void))
        });
        digest::of(ends)
    }

    fn limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, known)| (known.valid_ends(), known.newest()));
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
