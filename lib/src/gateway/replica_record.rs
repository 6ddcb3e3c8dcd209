//! A replica as the platform lists it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::routing::ServiceId;
use crate::ids::HallId;
use crate::ids::UpstreamId;

/// The version of a replica's software.
pub type SoftwareVersion = Arc<str>;

/// When a replica started, in Unix milliseconds; 0 if unknown. Of two replicas with the same id, the one
/// that started later is a different replica, which has none of the state of the earlier one.
pub type StartTime = u64;

/// One start of a replica. What is reported about an incarnation says nothing about a later one with the
/// same id.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The replica's id.
    pub id: UpstreamId,
    /// When it started.
    pub born: StartTime,
}

/// Whether a report about the incarnation that started at `reported_start` applies to the one that started
/// at `start`. A report applies to its own incarnation and to earlier ones, and to all if its start time is
/// unknown.
pub fn applies_to(reported_start: StartTime, start: StartTime) -> bool {
    reported_start == 0 || start <= reported_start
}

/// A replica as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The replica's id; a replica that restarts may keep it.
    pub id: UpstreamId,
    /// The service that the replica belongs to.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The hall that it runs in.
    pub hall: HallId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Time from the reading of the entry until it works at full speed.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub cold: Duration,
    /// When it started.
    pub born: StartTime,
    /// The version of its software.
    pub version: SoftwareVersion,
}

impl ReplicaRecord {
    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born: self.born }
    }
}
