//! Applies the limits that replicas announce to the requests that this node sends.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::gateway::cold_start::PlacedBy;
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

/// Upper bound on the delay after which a refused caller retries, whatever the load is then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The limits of replicas, with the grants and permits under which this node sends requests to them.
#[derive(Debug, Default)]
pub struct ReplicaRateLimiter {
    /// The limits.
    pub limits: ReplicaLimits,
    grants: LimitGrants,
    permits: LimitPermits,
    /// The time at which the last refused caller of a service is to retry.
    retry_times: HashMap<ServiceId, Timestamp>,
}

impl ReplicaRateLimiter {
    /// Sets the number of nodes that this node currently knows.
    pub fn set_nodes(&mut self, nodes: usize, now: Timestamp) {
        self.grants.set_nodes(nodes, now);
        self.permits.set_nodes(nodes);
    }

    /// Whether a replica may receive a request that this node places by itself: a lead needs a grant, any
    /// other node a permit. Replicas without a limit always may.
    pub fn allows<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        placed_by: PlacedBy,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        let Some(limit) = self.limits.limit(replica) else {
            return true;
        };
        match placed_by {
            PlacedBy::Lead => {
                self.accrue_since_announced(replica, now);
                self.grants.may_grant(replica, limit, 0, now)
            }
            PlacedBy::Node => self.permits.has_permit(replica, limit, now, rng),
        }
    }

    /// Records that this node placed a request at a replica.
    pub fn on_assigned<R: Rng>(&mut self, replica: &str, placed_by: PlacedBy, now: Timestamp, rng: &mut R) {
        let Some(limit) = self.limits.limit(replica) else {
            return;
        };
        match placed_by {
            PlacedBy::Lead => self.grants.on_granted(replica),
            PlacedBy::Node => self.permits.on_permit_used(replica, limit, now, rng),
        }
    }

    /// Whether this node may request a grant for a replica now.
    pub fn may_request<R: Rng>(&mut self, replica: &UpstreamId, now: Timestamp, rng: &mut R) -> bool {
        let limit = self.limits.limit(replica);
        limit.is_some_and(|limit| self.permits.may_request(replica, limit, now, rng))
    }

    /// Records that this node has requested a grant.
    pub fn on_requested(&mut self, replica: &str, now: Timestamp) {
        self.permits.on_requested(replica, now);
    }

    /// Records the answer to a request for a grant.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.permits.on_answer(replica, ask_again_after, now);
    }

    /// Handles a request for a grant from any node, including this one. A replica without a limit needs
    /// no grant.
    pub fn grant(&mut self, replica: &UpstreamId, role: GranterRole, urgency: u8, now: Timestamp) -> Grant {
        if role == GranterRole::Primary {
            self.accrue_since_announced(replica, now);
        }
        match self.limits.limit(replica) {
            Some(limit) => self.grants.request(replica, limit, role, urgency, now),
            None => Grant { granted: true, ask_again_after: Duration::ZERO },
        }
    }

    fn accrue_since_announced(&mut self, replica: &UpstreamId, now: Timestamp) {
        if let Some(announced_at) = self.limits.limited_since(replica) {
            self.grants.accrue_from(replica, announced_at, now);
        }
    }

    /// Returns the delay after which a refused caller retries when all replicas of its service have
    /// limits, which add up to `total_limit`. Callers retry at different times, at the interval that one
    /// node's share of the limits allows between requests.
    pub fn next_retry_delay(
        &mut self,
        service: &ServiceId,
        total_limit: PerSecond,
        nodes: usize,
        now: Timestamp,
    ) -> Duration {
        let max_delay = MAX_RETRY_DELAY.as_secs_f64();
        let interval = (nodes as f64 / (total_limit * GRANTED_FRACTION)).min(max_delay);
        let last = self.retry_times.get(service).copied().unwrap_or_default().max(now);
        let at = (last + Duration::from_secs_f64(interval)).min(now + MAX_RETRY_DELAY);
        self.retry_times.insert(service.clone(), at);
        at - now
    }

    /// Removes replicas that no longer exist, and expired state.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Timestamp) {
        self.limits.retain(is_known, now);
        self.grants.retain(|replica| self.limits.limit(replica).is_some());
        self.permits.retain(|replica| self.limits.limit(replica).is_some());
        self.retry_times.retain(|_, at| *at > now);
    }
}
