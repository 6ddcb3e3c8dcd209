//! Replicas that leave and that a node does not know yet.
//!
//! Lists and changes arrive from the store and from several nodes in any order, so a node that has just
//! started may learn that a replica leaves before it learns of the replica. An older entry of the replica
//! must not bring it into use afterwards.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_list::AtRevision;
use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

#[derive(Clone, Copy, Debug)]
struct Departure {
    born: StartTime,
    /// The store's revision at which the replica was known to leave.
    at: Revision,
    noted: Timestamp,
}

/// The departures of unknown replicas.
#[derive(Debug, Default)]
pub struct EarlyDepartures {
    by_id: HashMap<UpstreamId, Departure>,
}

impl EarlyDepartures {
    /// An unknown replica leaves, as of the store's revision `at`. Ignored if that is 0, for unknown, as any
    /// entry may be newer. Returns whether that is newer than what is known of it.
    pub fn on_leaving(&mut self, incarnation: &Incarnation, at: Revision, now: Timestamp) -> bool {
        if at == 0 || self.by_id.get(&incarnation.id).is_some_and(|known| known.at >= at) {
            return false;
        }
        self.by_id.insert(incarnation.id.clone(), Departure { born: incarnation.born, at, noted: now });
        true
    }

    /// The replica is known from now on.
    pub fn on_known(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// The revision at which this incarnation of a replica was known to leave.
    pub fn revision_of(&self, incarnation: &Incarnation) -> Option<Revision> {
        let departure = self.by_id.get(&incarnation.id)?;
        replica_record::applies_to(departure.born, incarnation.born).then_some(departure.at)
    }

    /// Whether this incarnation was known to leave before the store was restored from the copy that was read
    /// at revision `at`.
    pub fn is_before_copy(&self, incarnation: &Incarnation, at: Revision) -> bool {
        self.revision_of(incarnation).is_some_and(|left| revision::era(left) < revision::era(at))
    }

    /// Returns the departures after a revision, for another node.
    pub fn since(&self, known: Revision) -> impl Iterator<Item = AtRevision<Incarnation>> {
        let newer = self.by_id.iter().filter(move |(_, departure)| departure.at > known);
        newer.map(|(id, departure)| AtRevision {
            at: departure.at,
            item: Incarnation { id: id.clone(), born: departure.born },
        })
    }

    /// Forgets departures that were noted more than `forget_after` ago. Returns the latest of their revisions.
    pub fn forget(&mut self, now: Timestamp, forget_after: Duration) -> Option<Revision> {
        let is_past = |_: &UpstreamId, departure: &mut Departure| now > departure.noted + forget_after;
        self.by_id.extract_if(is_past).map(|(_, departure)| departure.at).max()
    }
}
