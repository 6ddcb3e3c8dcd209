//! What a node knows of the limits that replicas name, and what it may send there.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::gateway::cold_start::Giver;
use crate::gateway::limit_grants::GRANTED_FRACTION;
use crate::gateway::limit_grants::Grant;
use crate::gateway::limit_grants::GranterRole;
use crate::gateway::limit_grants::LimitGrants;
use crate::gateway::limit_permits::LimitPermits;
use crate::gateway::replica_limits::PerSecond;
use crate::gateway::replica_limits::ReplicaLimits;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Callers are told to come back no later than this, whatever they then find.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// What a node knows of the limits that replicas name, and what it may send there.
#[derive(Debug, Default)]
pub struct ReplicaRateLimiter {
    /// The limits.
    pub limits: ReplicaLimits,
    grants: LimitGrants,
    permits: LimitPermits,
    /// When the last caller of a service that was refused comes back.
    retry_times: HashMap<ServiceId, Timestamp>,
}

impl ReplicaRateLimiter {
    /// How many nodes there are now, as far as this one knows.
    pub fn set_nodes(&mut self, nodes: usize, now: Timestamp) {
        self.grants.set_nodes(nodes, now);
        self.permits.set_nodes(nodes);
    }

    /// Whether a replica may get a request that this node places by itself: a lead grants it, another
    /// node needs a permit. Replicas without a limit may.
    pub fn allows<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        giver: Giver,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        let Some(limit) = self.limits.limit(replica) else {
            return true;
        };
        match giver {
            Giver::Lead => {
                self.accrue_since_named(replica, now);
                self.grants.may_grant(replica, limit, 0, now)
            }
            Giver::Node => self.permits.has_permit(replica, limit, now, rng),
        }
    }

    /// A replica was given a request by this node.
    pub fn on_assigned<R: Rng>(&mut self, replica: &str, giver: Giver, now: Timestamp, rng: &mut R) {
        let Some(limit) = self.limits.limit(replica) else {
            return;
        };
        match giver {
            Giver::Lead => self.grants.on_granted(replica),
            Giver::Node => self.permits.on_permit_used(replica, limit, now, rng),
        }
    }

    /// Whether this node may ask for a grant at a replica now.
    pub fn may_request<R: Rng>(&mut self, replica: &UpstreamId, now: Timestamp, rng: &mut R) -> bool {
        let limit = self.limits.limit(replica);
        limit.is_some_and(|limit| self.permits.may_request(replica, limit, now, rng))
    }

    /// It has asked.
    pub fn on_requested(&mut self, replica: &str, now: Timestamp) {
        self.permits.on_requested(replica, now);
    }

    /// It was answered.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.permits.on_answer(replica, ask_again_after, now);
    }

    /// A node, perhaps this one, asks for a grant at a replica. One that names no limit needs none.
    pub fn grant(&mut self, replica: &UpstreamId, role: GranterRole, urgency: u8, now: Timestamp) -> Grant {
        if role == GranterRole::Primary {
            self.accrue_since_named(replica, now);
        }
        match self.limits.limit(replica) {
            Some(limit) => self.grants.request(replica, limit, role, urgency, now),
            None => Grant { granted: true, ask_again_after: Duration::ZERO },
        }
    }

    fn accrue_since_named(&mut self, replica: &UpstreamId, now: Timestamp) {
        if let Some(named_at) = self.limits.named_since(replica) {
            self.grants.accrue_from(replica, named_at, now);
        }
    }

    /// When a caller comes back that is refused, as all replicas of its service name limits, `named` together:
    /// each at a time of its own, as far apart as one node's part of the limits lets requests be.
    pub fn next_retry_delay(
        &mut self,
        service: &ServiceId,
        named: PerSecond,
        nodes: usize,
        now: Timestamp,
    ) -> Duration {
        let max_delay = MAX_RETRY_DELAY.as_secs_f64();
        let interval = (nodes as f64 / (named * GRANTED_FRACTION)).min(max_delay);
        let last = self.retry_times.get(service).copied().unwrap_or_default().max(now);
        let at = (last + Duration::from_secs_f64(interval)).min(now + MAX_RETRY_DELAY);
        self.retry_times.insert(service.clone(), at);
        at - now
    }

    /// Forgets replicas that are gone, and what no longer counts.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Timestamp) {
        self.limits.retain(is_known, now);
        self.grants.retain(|replica| self.limits.limit(replica).is_some());
        self.permits.retain(|replica| self.limits.limit(replica).is_some());
        self.retry_times.retain(|_, at| *at > now);
    }
}
