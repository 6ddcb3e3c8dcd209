//! Back-offs that replicas requested with Retry-After when they refused a request of this node.
//!
//! A back-off applies to this node only: the replica may still serve other nodes. After it ends, requests
//! are sent to the replica one at a time until one is accepted: the replica may still be full, and all
//! requests that were held back would otherwise arrive at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::replica_record::StartTime;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// The longest back-off that is honoured; longer ones are cut to this.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Minimum interval between requests to a replica after its back-off, until one is accepted.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// A back-off that no answer ended is dropped this long after its end; the replica is then treated like any
/// other.
const FORGET_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Backoff {
    service: ServiceId,
    born: StartTime,
    /// The end of the requested back-off.
    until: Timestamp,
    /// When the next request may be sent to the replica.
    next_request_at: Timestamp,
    /// Whether a generation that can resume at no other replica has been sent there during the back-off.
    is_exception_used: bool,
}

impl Backoff {
    fn applies_to(&self, incarnation: &Incarnation) -> bool {
        replica_record::applies_to(self.born, incarnation.born)
    }
}

/// The back-offs that replicas requested from this node.
#[derive(Debug, Default)]
pub struct ReplicaBackoffs {
    backoffs: HashMap<UpstreamId, Backoff>,
}

impl ReplicaBackoffs {
    /// A replica requested a back-off in a response that has just arrived. Of several back-offs, the one
    /// that ends last applies.
    pub fn on_retry_after(&mut self, replica: &ReplicaRecord, duration: Duration, now: Timestamp) {
        self.backoffs.retain(|_, backoff| now < backoff.until + FORGET_AFTER);
        let incarnation = replica.incarnation();
        let requested_until = now + duration.min(MAX_BACKOFF);
        let known = self.backoffs.get(&incarnation.id).filter(|known| known.applies_to(&incarnation));
        let until = known.map_or(requested_until, |known| known.until.max(requested_until));
        let is_exception_used = known.is_some_and(|known| known.is_exception_used && known.until > now);
        let service = replica.service.clone();
        self.backoffs.insert(
            incarnation.id,
            Backoff { service, born: incarnation.born, until, next_request_at: until, is_exception_used },
        );
    }

    /// A replica answered a request without requesting a back-off. The answer ends a back-off only if the
    /// request was sent after the back-off was over.
    pub fn on_answer(&mut self, incarnation: &Incarnation, sent: Timestamp) {
        if self.backoffs.get(&incarnation.id).is_some_and(|backoff| sent >= backoff.until) {
            self.backoffs.remove(&incarnation.id);
        }
    }

    /// A request is being sent to a replica.
    pub fn on_sending(&mut self, incarnation: &Incarnation, now: Timestamp) {
        if let Some(backoff) = self.backoffs.get_mut(&incarnation.id) {
            backoff.next_request_at = backoff.next_request_at.max(now + REQUEST_INTERVAL);
        }
    }

    /// How much longer nothing may be sent to a replica; `None` if requests may be sent.
    pub fn remaining(&self, incarnation: &Incarnation, now: Timestamp) -> Option<Duration> {
        let backoff = self.backoffs.get(&incarnation.id).filter(|backoff| backoff.applies_to(incarnation))?;
        (now < backoff.next_request_at && now < backoff.until + FORGET_AFTER)
            .then(|| backoff.next_request_at - now)
    }

    /// Whether a generation whose KV cache is held by a replica may resume there. One generation may do so
    /// during a back-off.
    pub fn may_resume(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        if self.remaining(incarnation, now).is_none() {
            return true;
        }
        self.backoffs
            .get_mut(&incarnation.id)
            .is_none_or(|backoff| !std::mem::replace(&mut backoff.is_exception_used, true))
    }

    /// The replicas of a service that are in back-off, with the remaining time of each.
    pub fn of_service(&self, service: &str, now: Timestamp) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let matching = self.backoffs.iter().filter(move |(_, backoff)| *backoff.service == *service);
        matching.filter_map(move |(id, backoff)| {
            let remaining = self.remaining(&Incarnation { id: id.clone(), born: backoff.born }, now)?;
            Some((id, remaining))
        })
    }
}
