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

use crate::gateway::limit_grants::LEAST_RATE;
use crate::gateway::replica_limits::PerSecond;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Part of a limit that the nodes' permits add up to.
const PERMITTED_PART: f64 = 0.1;
/// A permit is good for so long.
const PERMIT_LASTS: Duration = Duration::from_secs(1);
/// Nodes that share at least: one that is cut off knows of few others.
const LEAST_NODES: usize = 6;
/// A node that gets no answer asks again after this: by then it asks another one.
const ASKS_AGAIN_AFTER_SILENCE: Duration = Duration::from_millis(200);
/// No permit is further away than this, so that times stay within bounds.
const LONGEST_TIME: Duration = Duration::from_secs(24 * 3_600);

#[derive(Clone, Copy, Debug)]
struct Standing {
    may_ask_at: Timestamp,
    permit_at: Timestamp,
}

/// What this node may send to replicas that name limits.
#[derive(Debug, Default)]
pub struct LimitAsks {
    replicas: HashMap<UpstreamId, Standing>,
    nodes: usize,
}

impl LimitAsks {
    /// How many nodes there are now, as far as this one knows.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Whether this node may ask for a grant now.
    pub fn may_ask<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> bool {
        self.standing(replica, limit, now, rng).may_ask_at <= now
    }

    /// It has asked.
    pub fn on_asked(&mut self, replica: &str, now: Timestamp) {
        self.set_may_ask_at(replica, now + ASKS_AGAIN_AFTER_SILENCE);
    }

    /// It was answered.
    pub fn on_answer(&mut self, replica: &str, ask_again_after: Duration, now: Timestamp) {
        self.set_may_ask_at(replica, now + ask_again_after);
    }

    fn set_may_ask_at(&mut self, replica: &str, at: Timestamp) {
        if let Some(standing) = self.replicas.get_mut(replica) {
            standing.may_ask_at = at;
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
        let mut standing = self.standing(replica, limit, now, rng);
        if standing.permit_at + PERMIT_LASTS <= now {
            standing.permit_at = self.next_permit(limit, now, rng);
            self.replicas.insert(replica.clone(), standing);
        }
        standing.permit_at <= now
    }

    /// A request was sent without asking.
    pub fn on_permit_used<R: Rng>(&mut self, replica: &str, limit: PerSecond, now: Timestamp, rng: &mut R) {
        let next = self.next_permit(limit, now, rng);
        if let Some(standing) = self.replicas.get_mut(replica) {
            standing.permit_at = next;
        }
    }

    /// Forgets replicas that name no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.replicas.retain(|replica, _| is_limited(replica));
    }

    fn standing<R: Rng>(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        now: Timestamp,
        rng: &mut R,
    ) -> Standing {
        if let Some(standing) = self.replicas.get(replica) {
            return *standing;
        }
        let standing = Standing { may_ask_at: now, permit_at: self.next_permit(limit, now, rng) };
        self.replicas.insert(replica.clone(), standing);
        standing
    }

    /// Permits are independent of each other: the time to the next one is the same, whenever it is drawn.
    fn next_permit<R: Rng>(&self, limit: PerSecond, now: Timestamp, rng: &mut R) -> Timestamp {
        let nodes = self.nodes.max(LEAST_NODES) as f64;
        let usual_time = nodes / (limit.max(LEAST_RATE) * PERMITTED_PART);
        let time = usual_time * -(1.0 - rng.random::<f64>()).ln();
        now + Duration::from_secs_f64(time.min(LONGEST_TIME.as_secs_f64()))
    }
}
