//! Decides when a node requests a grant to send a request to a replica that announces a limit, and which
//! requests the node may send there without a grant.
//!
//! The granting node may not answer, or nodes may disagree on which node it is. So that a replica does
//! not stay idle meanwhile, each node has a small share of the replica's limit in the form of permits:
//! they occur at random times, at the rate of the node's share, and expire after a moment. Unlike a share
//! that accumulates, they cannot all be used at the same moment after a pause.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::limit_grants::MIN_RATE;
use crate::gateway::replica_limits::PerSecond;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Fraction of a limit that the permits of all nodes add up to.
const PERMITTED_FRACTION: f64 = 0.1;
/// How long a permit is valid.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Minimum number of nodes among which a limit is shared: a partitioned node knows of few others.
const MIN_NODES: usize = 6;
/// A node that receives no answer requests a grant again after this time: by then it sends the request to
/// another node.
const RETRY_AFTER_SILENCE: Duration = Duration::from_millis(200);
/// Upper bound on the time to the next permit, so that timestamps stay in range.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(24 * 3_600);

#[derive(Clone, Copy, Debug)]
struct ReplicaPermits {
    may_request_at: Timestamp,
    permit_at: Timestamp,
}

/// What this node may send to replicas that announce limits.
#[derive(Debug, Default)]
pub struct LimitPermits {
    replicas: HashMap<UpstreamId, ReplicaPermits>,
    nodes: usize,
}

impl LimitPermits {
    /// Sets the number of nodes that this node currently knows.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Whether this node may request a grant now.
    pub fn may_request<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        self.permits(replica, limit, now, rng).may_request_at <= now
    }

    /// Records that this node has requested a grant.
    pub fn on_requested(&mut self, replica: &str, now: Timestamp) {
        self.set_may_request_at(replica, now + RETRY_AFTER_SILENCE);
    }

    /// Records the answer to a request for a grant.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.set_may_request_at(replica, now + ask_again_after);
    }

    fn set_may_request_at(&mut self, replica: &str, at: Timestamp) {
        if let Some(permits) = self.replicas.get_mut(replica) {
            permits.may_request_at = at;
        }
    }

    /// Whether this node has a permit to send one request without a grant.
    pub fn has_permit<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        let mut permits = self.permits(replica, limit, now, rng);
        if permits.permit_at + PERMIT_LIFETIME <= now {
            permits.permit_at = self.draw_next_permit(limit, now, rng);
            self.replicas.insert(replica.clone(), permits);
        }
        permits.permit_at <= now
    }

    /// Records that a request was sent on a permit.
    pub fn on_permit_used<R: Rng>(&mut self, replica: &str, limit: PerSecond, now: Timestamp, rng: &mut R) {
        let next = self.draw_next_permit(limit, now, rng);
        if let Some(permits) = self.replicas.get_mut(replica) {
            permits.permit_at = next;
        }
    }

    /// Removes replicas that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| is_limited(replica));
    }

    fn permits<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> ReplicaPermits {
        if let Some(permits) = self.replicas.get(replica) {
            return *permits;
        }
        let permits =
            ReplicaPermits { may_request_at: now, permit_at: self.draw_next_permit(limit, now, rng) };
        self.replicas.insert(replica.clone(), permits);
        permits
    }

    /// Draws the time of the next permit. Permits are independent of each other, so the distribution of
    /// the time to the next one does not depend on when it is drawn.
    fn draw_next_permit<R: Rng>(&self, limit: PerSecond, now: Timestamp, rng: &mut R) -> Timestamp {
        let nodes = self.nodes.max(MIN_NODES) as f64;
        let mean_interval = nodes / (limit.max(MIN_RATE) * PERMITTED_FRACTION);
        let time = mean_interval * -(1.0 - rng.random::<f64>()).ln();
        now + Duration::from_secs_f64(time.min(MAX_PERMIT_WAIT.as_secs_f64()))
    }
}
