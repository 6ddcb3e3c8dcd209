//! Replicas that turned a request of this node away and asked it for rest.
//!
//! The rest binds this node alone: others may be served there. Once it is over, requests try the replica one after the
//! other until one is taken: it may still be full, and whoever was kept away would come at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Born;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// The longest rest that is kept.
pub const LONGEST_ASKED_REST: Duration = Duration::from_secs(3_600);
/// Time between two requests that try a replica after its rest.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);
/// A replica that nothing was sent to for so long after its rest is treated like any other.
const FORGET_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Rest {
    service: ServiceId,
    born: Born,
    /// The end of what was asked for.
    until: Timestamp,
    /// When the next request may be sent there.
    next: Timestamp,
    /// Whether a generation that can go on nowhere else went there meanwhile.
    is_broken: bool,
}

impl Rest {
    fn concerns(&self, of: &Incarnation) -> bool {
        replica_record::holds_for(self.born, of.born)
    }
}

/// The rests.
#[derive(Debug, Default)]
pub struct AskedRests {
    rests: HashMap<UpstreamId, Rest>,
}

impl AskedRests {
    /// A replica asked for rest in an answer that has just come. Of several the one that ends last holds.
    pub fn on_asked(&mut self, replica: &ReplicaRecord, rest: Duration, now: Timestamp) {
        self.rests.retain(|_, rest| now < rest.until + FORGET_AFTER);
        let of = replica.incarnation();
        let asked = now + rest.min(LONGEST_ASKED_REST);
        let known = self.rests.get(&of.id).filter(|known| known.concerns(&of));
        let until = known.map_or(asked, |known| known.until.max(asked));
        let is_broken = known.is_some_and(|known| known.is_broken && known.until > now);
        let service = replica.service.clone();
        self.rests.insert(of.id, Rest { service, born: of.born, until, next: until, is_broken });
    }

    /// A replica answered a request without asking for rest. One that was sent before the rest was over ends nothing.
    pub fn on_answer(&mut self, of: &Incarnation, sent: Timestamp) {
        if self.rests.get(&of.id).is_some_and(|rest| sent >= rest.until) {
            self.rests.remove(&of.id);
        }
    }

    /// A request is sent to a replica.
    pub fn on_sending(&mut self, of: &Incarnation, now: Timestamp) {
        if let Some(rest) = self.rests.get_mut(&of.id) {
            rest.next = rest.next.max(now + TRIAL_PAUSE);
        }
    }

    /// For how much longer nothing is to be sent to a replica, if so.
    pub fn left(&self, of: &Incarnation, now: Timestamp) -> Option<Duration> {
        let rest = self.rests.get(&of.id).filter(|rest| rest.concerns(of))?;
        (now < rest.next && now < rest.until + FORGET_AFTER).then(|| rest.next - now)
    }

    /// Whether a generation whose memory is at a replica may go on there: one may during a rest.
    pub fn may_go_on(&mut self, of: &Incarnation, now: Timestamp) -> bool {
        if self.left(of, now).is_none() {
            return true;
        }
        self.rests.get_mut(&of.id).is_none_or(|rest| !std::mem::replace(&mut rest.is_broken, true))
    }

    /// The replicas of a service that nothing is to be sent to, and for how much longer.
    pub fn of_service(&self, service: &str, now: Timestamp) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let its = self.rests.iter().filter(move |(_, rest)| *rest.service == *service);
        its.filter_map(move |(id, rest)| {
            let left = self.left(&Incarnation { id: id.clone(), born: rest.born }, now)?;
            Some((id, left))
        })
    }
}
