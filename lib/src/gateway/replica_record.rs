//! A replica as it is listed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::routing::ServiceId;
use crate::ids::HallId;
use crate::ids::UpstreamId;

/// The version of a replica's software.
pub type SoftwareVersion = Arc<str>;

/// When a replica started, Unix milliseconds; 0 where that is not told. Of two with the same id, the one
/// that started later is another replica, which knows nothing of the first.
pub type StartTime = u64;

/// One start of a replica: what is said of it says nothing of a later start under the same id.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The replica's id.
    pub id: UpstreamId,
    /// When it started.
    pub born: StartTime,
}

/// Whether what one start of a replica said holds for another start, by when they began: for itself and earlier ones, and for
/// all where it is not known who said it.
pub fn applies_to(reported_start: StartTime, start: StartTime) -> bool {
    reported_start == 0 || start <= reported_start
}

/// A replica as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Its id; a replica that starts again may have it once more.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Time until it works at full speed, from the reading on.
    pub cold: Duration,
    /// When it started.
    pub born: StartTime,
    /// The version of its software.
    pub version: SoftwareVersion,
}

impl ReplicaRecord {
    /// Which start of the replica this is.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born: self.born }
    }
}
