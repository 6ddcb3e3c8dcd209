//! Replicas that fall over when they have to turn many requests away, as they say in their answers.
//!
//! How much a replica turns away in a second is a sum over all nodes, so that requests to a service with such
//! replicas are placed by one node, its lead. It sends no replica more than that works on at once; the
//! others wait at the lead for a moment.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::gateway::cold_start::PlacedBy;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// How long a service counts as brittle after another node sent one of its requests to the lead.
const TOLD_FOR: Duration = Duration::from_secs(3);

/// What a replica's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrittleReport {
    /// The replica falls over when it turns away more requests than this in a second.
    Brittle(u32),
    /// It is not brittle.
    Sound,
    /// Nothing valid.
    Silent,
}

/// The brittle replicas that a node knows.
#[derive(Debug, Default)]
pub struct BrittleReplicas {
    replicas: HashMap<UpstreamId, ServiceId>,
    /// The services of `replicas`.
    services: HashSet<ServiceId>,
    told_until: HashMap<ServiceId, Timestamp>,
}

impl BrittleReplicas {
    /// Records whether a replica says that it is brittle.
    pub fn on_report(&mut self, replica: &ReplicaRecord, is_brittle: bool) {
        if is_brittle {
            self.replicas.insert(replica.id.clone(), replica.service.clone());
            self.services.insert(replica.service.clone());
        } else if self.replicas.remove(&replica.id).is_some() {
            self.index_services();
        }
    }

    /// Another node sent this one, as the lead, a request for a brittle service.
    pub fn on_told(&mut self, service: &ServiceId, now: Timestamp) {
        self.told_until.insert(service.clone(), now + TOLD_FOR);
    }

    /// Whether a service has brittle replicas.
    pub fn is_brittle(&self, service: &str, now: Timestamp) -> bool {
        let is_told = self.told_until.get(service).is_some_and(|until| now < *until);
        is_told || self.services.contains(service)
    }

    fn index_services(&mut self) {
        self.services = self.replicas.values().cloned().collect();
    }

    /// Drops replicas that are not `known` any more, and what was told long ago.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Timestamp) {
        let before = self.replicas.len();
        self.replicas.retain(|id, _| known(id));
        if self.replicas.len() < before {
            self.index_services();
        }
        self.told_until.retain(|_, until| now < *until);
    }
}

/// Number of requests that may be at a brittle replica with these slots: all of them if the lead places
/// them, and a share of them if one of several nodes places them by itself.
pub fn room(slots: u32, placed_by: PlacedBy, nodes: usize) -> usize {
    let slots = slots as usize;
    match placed_by {
        PlacedBy::Lead => slots,
        PlacedBy::Node => slots.div_ceil(nodes.max(1)),
    }
}
