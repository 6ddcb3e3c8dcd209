//! Which requests are sent to no replica, by the ends of replicas that count against suspects.
//!
//! When a replica ends, all parts of all prompts that it had just begun to answer become suspects. The part
//! that crashes replicas is among them at every end; the others are there by chance or because they go with
//! it. So the suspects are taken in turn, the one that explains the most ends first, and an end that one of
//! them explains speaks against no other. Parts that replicas have served before come last. Parts that were
//! together at the same ends can't be told apart: only requests with all of them are quarantined, so that each
//! of them is still served without the others, or shows by itself that it crashes replicas.
//!
//! The result depends only on the suspects, so that nodes with the same ledger agree.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::suspect::END_RETENTION;
use crate::gateway::suspect::SuspectName;
use crate::ids::UnixMillis;

/// Number of replica ends at which a request is quarantined, or a part of prompts that no replica has served.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// Number of replica ends at which a part of prompts is quarantined that replicas have served.
pub const ENDS_TO_QUARANTINE_SERVED: usize = 5;
/// Number of ends from which on a part of prompts that no replica has served is quarantined if a single one of
/// them is not explained by other parts: two crashing parts may run on the same replicas.
const ENDS_TO_DOUBT_EXPLANATION: usize = 5;

/// What counts against a suspect.
#[derive(Clone, Debug)]
pub struct Evidence<'a> {
    /// The suspect.
    pub name: SuspectName,
    /// Whether replicas served prompts with this part before.
    pub has_served: bool,
    /// The valid ends, with the time at which each was noticed.
    pub ends: Vec<(&'a Incarnation, UnixMillis)>,
}

/// A suspect while it is decided what is quarantined.
#[derive(Clone, Debug)]
struct OpenSuspect<'a> {
    name: SuspectName,
    has_served: bool,
    /// Number of its valid ends.
    total_ends: usize,
    /// Those that no other suspect explains.
    ends: Vec<(&'a Incarnation, UnixMillis)>,
}

impl<'a> OpenSuspect<'a> {
    fn new(Evidence { name, has_served, ends }: Evidence<'a>) -> Self {
        OpenSuspect { name, has_served, total_ends: ends.len(), ends }
    }

    fn is_to_be_quarantined(&self) -> bool {
        let needed = if self.has_served { ENDS_TO_QUARANTINE_SERVED } else { ENDS_TO_QUARANTINE };
        let doubts_explanation = !self.name.is_request()
            && !self.has_served
            && self.total_ends >= ENDS_TO_DOUBT_EXPLANATION
            && !self.ends.is_empty();
        self.ends.len() >= needed || doubts_explanation
    }

    /// In which order suspects are taken; the greatest one first.
    fn rank(&self) -> (bool, usize, bool, Reverse<SuspectName>) {
        (!self.has_served, self.ends.len(), self.name.is_request(), Reverse(self.name))
    }

    fn replicas(&self) -> BTreeSet<&Incarnation> {
        self.ends.iter().map(|(replica, _)| *replica).collect()
    }
}

/// Requests with all of these names are sent to no replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// A request, or parts of prompts that are always together.
    pub names: BTreeSet<SuspectName>,
    /// Number of ends that led to it.
    pub ends: usize,
    /// When the first of these expires.
    pub until: UnixMillis,
}

impl Quarantine {
    /// Whether a request with these names is quarantined.
    pub fn applies_to(&self, names: &[SuspectName]) -> bool {
        self.names.iter().all(|name| names.contains(name))
    }

    /// Whether it is that of a request, not of parts.
    pub fn is_of_request(&self) -> bool {
        self.names.iter().any(|name| name.is_request())
    }
}

impl fmt::Display for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, name) in self.names.iter().enumerate() {
            let separator = if n == 0 { "" } else { " with " };
            write!(f, "{separator}{name}")?;
        }
        Ok(())
    }
}

/// The suspects with valid ends, and what is quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashTable {
    /// The number of valid ends of each suspect.
    ends: HashMap<Fingerprint, usize>,
    quarantines: Vec<Quarantine>,
}

impl CrashTable {
    /// Decides what is quarantined.
    pub fn new(evidence: Vec<Evidence<'_>>) -> CrashTable {
        let ends = evidence.iter().map(|suspect| (suspect.name.fingerprint, suspect.ends.len())).collect();
        CrashTable { ends, quarantines: quarantines(evidence) }
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns the number of valid ends of a suspect.
    pub fn ends_of(&self, suspect: &Fingerprint) -> usize {
        self.ends.get(suspect).copied().unwrap_or(0)
    }

    /// Returns what is quarantined.
    pub fn quarantines(&self) -> &[Quarantine] {
        &self.quarantines
    }

    /// Returns the quarantine of a request with these names.
    pub fn quarantine_of(&self, names: &[SuspectName]) -> Option<&Quarantine> {
        self.quarantines.iter().find(|quarantine| quarantine.applies_to(names))
    }
}

fn quarantines(evidence: Vec<Evidence<'_>>) -> Vec<Quarantine> {
    let mut quarantines = Vec::new();
    let mut open: Vec<OpenSuspect> = evidence.into_iter().map(OpenSuspect::new).collect();
    open.retain(OpenSuspect::is_to_be_quarantined);
    while let Some(worst) = open.iter().max_by_key(|suspect| suspect.rank()).cloned() {
        let explained = worst.replicas();
        let is_alike = |other: &&OpenSuspect| {
            !worst.name.is_request() && other.has_served == worst.has_served && other.replicas() == explained
        };
        let names = open.iter().filter(is_alike).map(|other| other.name).chain([worst.name]).collect();
        let first = worst.ends.iter().map(|(_, at)| *at).min().unwrap_or_default();
        let until = first + END_RETENTION.as_millis() as UnixMillis;
        quarantines.push(Quarantine { names, ends: worst.ends.len(), until });
        for suspect in &mut open {
            suspect.ends.retain(|(replica, _)| !explained.contains(replica));
        }
        open.retain(OpenSuspect::is_to_be_quarantined);
    }
    quarantines
}
