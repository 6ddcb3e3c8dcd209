//! When a node asks for a grant to send a request to a replica that names a limit, and what it sends there
//! without asking.
//!
//! Whoever grants may not answer, or be taken for another one. So that a replica is not left alone meanwhile, each
//! node has a small share of its limit for itself: permits that come at random times, as often as its
//! share says, and are good for a moment. Unlike a share that is saved up, they cannot all be
//! used in the same moment after a pause.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::limit_grants::MIN_RATE;
use crate::gateway::replica_limits::PerSecond;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Part of a limit that the nodes' permits add up to.
const PERMITTED_FRACTION: f64 = 0.1;
/// A permit is good for so long.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Nodes that share at least: one that is cut off knows of few others.
const MIN_NODES: usize = 6;
/// A node that gets no answer asks again after this: by then it asks another one.
const RETRY_AFTER_SILENCE: Duration = Duration::from_millis(200);
/// No permit is further away than this, so that times stay within bounds.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(24 * 3_600);

#[derive(Clone, Copy, Debug)]
struct ReplicaPermits {
    may_request_at: Timestamp,
    permit_at: Timestamp,
}

/// What this node may send to replicas that name limits.
#[derive(Debug, Default)]
pub struct LimitPermits {
    replicas: HashMap<UpstreamId, ReplicaPermits>,
    nodes: usize,
}

impl LimitPermits {
    /// How many nodes there are now, as far as this one knows.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Whether this node may ask for a grant now.
    pub fn may_request<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        self.permits(replica, limit, now, rng).may_request_at <= now
    }

    /// It has asked.
    pub fn on_requested(&mut self, replica: &str, now: Timestamp) {
        self.set_may_request_at(replica, now + RETRY_AFTER_SILENCE);
    }

    /// It was answered.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.set_may_request_at(replica, now + ask_again_after);
    }

    fn set_may_request_at(&mut self, replica: &str, at: Timestamp) {
        if let Some(permits) = self.replicas.get_mut(replica) {
            permits.may_request_at = at;
        }
    }

    /// Whether this node has a permit to send one request without asking.
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

    /// A request was sent without asking.
    pub fn on_permit_used<R: Rng>(&mut self, replica: &str, limit: PerSecond, now: Timestamp, rng: &mut R) {
        let next = self.draw_next_permit(limit, now, rng);
        if let Some(permits) = self.replicas.get_mut(replica) {
            permits.permit_at = next;
        }
    }

    /// Forgets replicas that name no limit any more.
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

    /// Permits are independent of each other: the time to the next one is the same, whenever it is drawn.
    fn draw_next_permit<R: Rng>(&self, limit: PerSecond, now: Timestamp, rng: &mut R) -> Timestamp {
        let nodes = self.nodes.max(MIN_NODES) as f64;
        let mean_interval = nodes / (limit.max(MIN_RATE) * PERMITTED_FRACTION);
        let time = mean_interval * -(1.0 - rng.random::<f64>()).ln();
        now + Duration::from_secs_f64(time.min(MAX_PERMIT_WAIT.as_secs_f64()))
    }
}
