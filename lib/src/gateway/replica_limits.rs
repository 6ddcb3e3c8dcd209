//! The limits that rate-limited replicas announce in their responses: how many requests a second a replica
//! accepts from all nodes together, while its responses carry the limit.
//!
//! Responses may be reordered: one that was sent before the limit began says nothing about it. A limit
//! therefore applies from the time at which the response that named it arrived, and only the response to
//! a request that was sent later withdraws it. Nodes announce limits to each other with their age, as
//! their clocks differ. A limit is kept until it is withdrawn, however old it is: requests still go there
//! one at a time, and the first response shows whether the limit still applies.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::digest;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Requests a second.
pub type PerSecond = f64;

/// A limit that differs from the known one by no more than this fraction counts as unchanged: replicas
/// that measure their load name a slightly different limit in each response, and each change is announced
/// to all nodes. A node adopts such a value only from another node, so that both end up with the same
/// value.
const RELATIVE_TOLERANCE: f64 = 0.05;
/// A newly limited replica is avoided for this long if there are other replicas, because it has just
/// received its former load. Where three replicas share 39 requests a second, a replica that announces a
/// limit of 3 a second received 20 of them in the second before, and grants during the other three
/// seconds would exceed what it accepts in 4 s.
const AVOID_NEWLY_LIMITED_FOR: Duration = Duration::from_secs(3);
/// A withdrawn limit is remembered for this long, so that nodes that missed the withdrawal are notified.
const WITHDRAWN_LIMIT_KEPT_FOR: Duration = Duration::from_secs(60);

/// What a response states about its replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitReport {
    /// The response names a limit.
    Named(PerSecond),
    /// The response names no limit.
    NotNamed,
    /// The response says nothing valid: its value cannot be parsed, or it is an error without a limit.
    Silent,
}

/// When the request of a response was sent and when the response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimes {
    /// When the request was sent.
    pub sent: Timestamp,
    /// When the head of the response was received.
    pub received: Timestamp,
}

/// A replica's limit as one node announces it to another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct AnnouncedLimit {
    /// The incarnation of the replica.
    pub replica: Incarnation,
    /// The limit; `None` if it was withdrawn.
    pub limit: Option<PerSecond>,
    /// How long ago the replica stated it.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    born: StartTime,
    limit: Option<PerSecond>,
    as_of: Timestamp,
    /// When the replica became limited, as far as this node knows.
    limited_since: Timestamp,
}

/// The source of a statement about a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Replica,
    Node,
}

/// The limits that are in force, by replica.
pub type LimitsInForce = HashMap<UpstreamId, PerSecond>;

/// The limits of replicas that a node knows.
#[derive(Debug, Default)]
pub struct ReplicaLimits {
    known: BTreeMap<UpstreamId, Known>,
}

impl ReplicaLimits {
    /// Records what a response to this node states. Returns whether the limit changed.
    pub fn on_answer(&mut self, of: &Incarnation, report: LimitReport, times: ResponseTimes) -> bool {
        let (limit, as_of) = match report {
            LimitReport::Named(limit) => (Some(limit), times.received),
            LimitReport::NotNamed => (None, times.sent),
            LimitReport::Silent => return false,
        };
        self.record(of, limit, as_of, Source::Replica)
    }

    /// Applies the limits that another node announced. Returns those that changed.
    pub fn on_announced(&mut self, announced: Vec<AnnouncedLimit>, now: Timestamp) -> Vec<AnnouncedLimit> {
        let mut changed = announced;
        changed.retain(|announced| {
            let limit = announced.limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
            limit.is_some() == announced.limit.is_some()
                && self.record(&announced.replica, limit, now.saturating_sub(announced.age), Source::Node)
        });
        changed
    }

    /// Records a statement about a replica's limit. Returns whether the limit changed.
    fn record(
        &mut self,
        of: &Incarnation,
        limit: Option<PerSecond>,
        as_of: Timestamp,
        source: Source,
    ) -> bool {
        let known = self.known.get(&of.id).copied();
        let is_newer =
            known.is_none_or(|known| of.born > known.born || (of.born == known.born && as_of > known.as_of));
        let before = known.filter(|known| known.born == of.born).and_then(|known| known.limit);
        if !is_newer || (known.is_none() && limit.is_none()) {
            return false;
        }
        let changed = !is_nearly_equal(before, limit);
        let limit = if changed || source == Source::Node { limit } else { before };
        let limited_since = known.filter(|_| before.is_some()).map_or(as_of, |known| known.limited_since);
        self.known.insert(of.id.clone(), Known { born: of.born, limit, as_of, limited_since });
        changed
    }

    /// Whether a replica became limited so recently that it is avoided.
    pub fn is_newly_limited(&self, replica: &str, now: Timestamp) -> bool {
        let known = self.known.get(replica).filter(|known| known.limit.is_some());
        known.is_some_and(|known| now < known.limited_since + AVOID_NEWLY_LIMITED_FOR)
    }

    /// When a replica became limited, as far as this node knows.
    pub fn limited_since(&self, replica: &str) -> Option<Timestamp> {
        self.known.get(replica).filter(|known| known.limit.is_some()).map(|known| known.limited_since)
    }

    /// Returns the limit of a replica.
    pub fn limit(&self, replica: &str) -> Option<PerSecond> {
        self.known.get(replica)?.limit
    }

    /// Returns all limits that are in force.
    pub fn in_force(&self) -> LimitsInForce {
        self.known.iter().filter_map(|(id, known)| Some((id.clone(), known.limit?))).collect()
    }

    /// Returns what is announced to other nodes about one replica.
    pub fn announced(&self, replica: &str, now: Timestamp) -> Option<AnnouncedLimit> {
        self.known.get_key_value(replica).map(|(id, known)| known.announced(id, now))
    }

    /// Returns what is announced to other nodes about all replicas.
    pub fn all(&self, now: Timestamp) -> Vec<AnnouncedLimit> {
        self.known.iter().map(|(id, known)| known.announced(id, now)).collect()
    }

    /// Returns a digest of the limits in force; 0 for none.
    pub fn digest(&self) -> u64 {
        let in_force =
            self.known.iter().filter_map(|(id, known)| Some((id, known.born, known.limit?.to_bits())));
        digest::of(in_force)
    }

    /// Removes the limit of a replica that has restarted.
    pub fn forget(&mut self, replica: &str) {
        self.known.remove(replica);
    }

    /// Removes replicas that no longer exist, and limits that were withdrawn some time ago.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Timestamp) {
        self.known.retain(|id, known| {
            is_known(id) && (known.limit.is_some() || known.as_of + WITHDRAWN_LIMIT_KEPT_FOR > now)
        });
    }
}

impl Known {
    fn announced(&self, id: &UpstreamId, now: Timestamp) -> AnnouncedLimit {
        let replica = Incarnation { id: id.clone(), born: self.born };
        AnnouncedLimit { replica, limit: self.limit, age: now.saturating_sub(self.as_of) }
    }
}

fn is_nearly_equal(a: Option<PerSecond>, b: Option<PerSecond>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() <= a * RELATIVE_TOLERANCE,
        (None, None) => true,
        _ => false,
    }
}
