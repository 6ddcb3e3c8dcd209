//! Replicas that turned a request of this node away and asked it for rest.
//!
//! The rest binds this node alone: others may be served there. Once it is over, requests try the replica one after the
//! other until one is taken: it may still be full, and whoever was kept away would come at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::replica_record::StartTime;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// The longest rest that is kept.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Time between two requests that try a replica after its rest.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// A replica that nothing was sent to for so long after its rest is treated like any other.
const FORGET_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Backoff {
    service: ServiceId,
    born: StartTime,
    /// The end of what was asked for.
    until: Timestamp,
    /// When the next request may be sent there.
    next_trial: Timestamp,
    /// Whether a generation that can go on nowhere else went there meanwhile.
    is_exception_used: bool,
}

impl Backoff {
    fn applies_to(&self, incarnation: &Incarnation) -> bool {
        replica_record::applies_to(self.born, incarnation.born)
    }
}

/// The rests.
#[derive(Debug, Default)]
pub struct ReplicaBackoffs {
    backoffs: HashMap<UpstreamId, Backoff>,
}

impl ReplicaBackoffs {
    /// A replica asked for rest in an answer that has just come. Of several the one that ends last holds.
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
            Backoff { service, born: incarnation.born, until, next_trial: until, is_exception_used },
        );
    }

    /// A replica answered a request without asking for rest. One that was sent before the rest was over ends nothing.
    pub fn on_answer(&mut self, incarnation: &Incarnation, sent: Timestamp) {
        if self.backoffs.get(&incarnation.id).is_some_and(|backoff| sent >= backoff.until) {
            self.backoffs.remove(&incarnation.id);
        }
    }

    /// A request is sent to a replica.
    pub fn on_sending(&mut self, incarnation: &Incarnation, now: Timestamp) {
        if let Some(backoff) = self.backoffs.get_mut(&incarnation.id) {
            backoff.next_trial = backoff.next_trial.max(now + TRIAL_INTERVAL);
        }
    }

    /// For how much longer nothing is to be sent to a replica, if so.
    pub fn remaining(&self, incarnation: &Incarnation, now: Timestamp) -> Option<Duration> {
        let backoff = self.backoffs.get(&incarnation.id).filter(|backoff| backoff.applies_to(incarnation))?;
        (now < backoff.next_trial && now < backoff.until + FORGET_AFTER).then(|| backoff.next_trial - now)
    }

    /// Whether a generation whose memory is at a replica may go on there: one may during a rest.
    pub fn may_resume(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        if self.remaining(incarnation, now).is_none() {
            return true;
        }
        self.backoffs
            .get_mut(&incarnation.id)
            .is_none_or(|backoff| !std::mem::replace(&mut backoff.is_exception_used, true))
    }

    /// The replicas of a service that nothing is to be sent to, and for how much longer.
    pub fn of_service(&self, service: &str, now: Timestamp) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let its = self.backoffs.iter().filter(move |(_, backoff)| *backoff.service == *service);
        its.filter_map(move |(id, backoff)| {
            let remaining = self.remaining(&Incarnation { id: id.clone(), born: backoff.born }, now)?;
            Some((id, remaining))
        })
    }
}
