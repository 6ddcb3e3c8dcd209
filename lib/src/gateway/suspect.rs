//! What is suspected of crashing replicas: a request that is repeated, or a part of prompts that requests share.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::prompt_parts::PartId;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::routing::ServiceId;
use crate::ids::UnixMillis;

/// Time for which an end counts. An operator has that long to handle the request or fix the replicas'
/// software.
pub const END_RETENTION: Duration = Duration::from_secs(3_600);

/// What a suspect is.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A request and its retries.
    Request,
    /// A part of the prompts that one organisation sends to a service.
    Part(PartId),
    /// A part of the prompts that all organisations send to a service.
    SharedPart(PartId),
}

impl SuspectKind {
    /// The part, if it is one.
    pub fn part(self) -> Option<PartId> {
        match self {
            SuspectKind::Request => None,
            SuspectKind::Part(part) | SuspectKind::SharedPart(part) => Some(part),
        }
    }
}

/// Names a suspect.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SuspectName {
    /// Identifies it.
    pub fingerprint: Fingerprint,
    /// What it is.
    pub kind: SuspectKind,
}

impl SuspectName {
    /// Whether it names a request.
    pub fn is_request(&self) -> bool {
        self.kind == SuspectKind::Request
    }

    /// Names a request.
    pub fn of_request(fingerprint: Fingerprint) -> SuspectName {
        SuspectName { fingerprint, kind: SuspectKind::Request }
    }

    /// Names a part of the prompts that an organisation sends to a service.
    pub fn of_part(service: &ServiceId, organisation: &str, part: PartId) -> SuspectName {
        let fingerprint = Fingerprint::of_part(service, Some(organisation), part);
        SuspectName { fingerprint, kind: SuspectKind::Part(part) }
    }

    /// Names a part of the prompts that all organisations send to a service.
    pub fn of_shared_part(service: &ServiceId, part: PartId) -> SuspectName {
        let fingerprint = Fingerprint::of_part(service, None, part);
        SuspectName { fingerprint, kind: SuspectKind::SharedPart(part) }
    }
}

impl fmt::Display for SuspectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            SuspectKind::Request => write!(f, "{}", self.fingerprint),
            SuspectKind::Part(part) => write!(f, "{} (part {part})", self.fingerprint),
            SuspectKind::SharedPart(part) => write!(f, "{} (part {part} of all)", self.fingerprint),
        }
    }
}

/// A replica that ended while it ran a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaEnd {
    /// The replica.
    pub replica: Incarnation,
    /// When the end was noticed.
    pub at: UnixMillis,
    /// Whether a later run of the suspect succeeded, or an operator cleared it.
    pub is_void: bool,
}

/// A suspect with the replicas that ended while they ran it, as nodes announce it and the store holds it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Suspect {
    /// Its name.
    pub name: SuspectName,
    /// Whether replicas served prompts with this part before. Always false for a request.
    pub has_served: bool,
    /// Some or all of its ends.
    pub ends: Vec<ReplicaEnd>,
}

impl Suspect {
    /// Returns the number of ends that are not void.
    pub fn valid_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_void).count()
    }
}
