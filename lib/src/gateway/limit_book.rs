//! What a node knows of the limits that replicas name, and what it may send there.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::gateway::cold_start::PlacedBy;
use crate::gateway::limit_asks::LimitAsks;
use crate::gateway::limit_grants::GRANTED_PART;
use crate::gateway::limit_grants::Grant;
use crate::gateway::limit_grants::Granter;
use crate::gateway::limit_grants::LimitGrants;
use crate::gateway::replica_limits::PerSecond;
use crate::gateway::replica_limits::ReplicaLimits;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Callers are told to come back no later than this, whatever they then find.
const LATEST_RETURN: Duration = Duration::from_secs(5);

/// What a node knows of the limits that replicas name, and what it may send there.
#[derive(Debug, Default)]
pub struct LimitBook {
    /// The limits.
    pub limits: ReplicaLimits,
    grants: LimitGrants,
    asks: LimitAsks,
    /// When the last caller of a service that was refused comes back.
    returns: HashMap<ServiceId, Timestamp>,
}

impl LimitBook {
    /// How many nodes there are now, as far as this one knows.
    pub fn set_nodes(&mut self, nodes: usize, now: Timestamp) {
        self.grants.set_nodes(nodes, now);
        self.asks.set_nodes(nodes);
    }

    /// Whether a replica may get a request that this node places by itself: a lead grants it, another
    /// node needs a permit. Replicas without a limit may.
    pub fn allows<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        giver: PlacedBy,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        let Some(limit) = self.limits.limit(replica) else {
            return true;
        };
        match giver {
            PlacedBy::Lead => {
                self.saves_from_naming(replica, now);
                self.grants.may_grant(replica, limit, 0, now)
            }
            PlacedBy::Node => self.asks.has_permit(replica, limit, now, rng),
        }
    }

    /// A replica was given a request by this node.
    pub fn on_assigned<R: Rng>(&mut self, replica: &str, giver: PlacedBy, now: Timestamp, rng: &mut R) {
        let Some(limit) = self.limits.limit(replica) else {
            return;
        };
        match giver {
            PlacedBy::Lead => self.grants.on_granted(replica),
            PlacedBy::Node => self.asks.on_permit_used(replica, limit, now, rng),
        }
    }

    /// Whether this node may ask for a grant at a replica now.
    pub fn may_ask<R: Rng>(&mut self, replica: &UpstreamId, now: Timestamp, rng: &mut R) -> bool {
        let limit = self.limits.limit(replica);
        limit.is_some_and(|limit| self.asks.may_ask(replica, limit, now, rng))
    }

    /// It has asked.
    pub fn on_asked(&mut self, replica: &str, now: Timestamp) {
        self.asks.on_asked(replica, now);
    }

    /// It was answered.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.asks.on_answer(replica, ask_again_after, now);
    }

    /// A node, perhaps this one, asks for a grant at a replica. One that names no limit needs none.
    pub fn grant(&mut self, replica: &UpstreamId, as_granter: Granter, urgency: u8, now: Timestamp) -> Grant {
        if as_granter == Granter::First {
            self.saves_from_naming(replica, now);
        }
        match self.limits.limit(replica) {
            Some(limit) => self.grants.ask(replica, limit, as_granter, urgency, now),
            None => Grant { granted: true, ask_again_after: Duration::ZERO },
        }
    }

    fn saves_from_naming(&mut self, replica: &UpstreamId, now: Timestamp) {
        if let Some(named_at) = self.limits.named_since(replica) {
            self.grants.saves_from(replica, named_at, now);
        }
    }

    /// When a caller comes back that is refused, as all replicas of its service name limits, `named` together:
    /// each at a time of its own, as far apart as one node's part of the limits lets requests be.
    pub fn comes_back_after(
        &mut self,
        service: &ServiceId,
        named: PerSecond,
        nodes: usize,
        now: Timestamp,
    ) -> Duration {
        let longest = LATEST_RETURN.as_secs_f64();
        let apart = (nodes as f64 / (named * GRANTED_PART)).min(longest);
        let last = self.returns.get(service).copied().unwrap_or_default().max(now);
        let at = (last + Duration::from_secs_f64(apart)).min(now + LATEST_RETURN);
        self.returns.insert(service.clone(), at);
        at - now
    }

    /// Forgets replicas that are gone, and what no longer counts.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Timestamp) {
        self.limits.retain(is_known, now);
        self.grants.retain(|replica| self.limits.limit(replica).is_some());
        self.asks.retain(|replica| self.limits.limit(replica).is_some());
        self.returns.retain(|_, at| *at > now);
    }
}
