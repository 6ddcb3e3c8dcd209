//! Limits the rate of requests to cold replicas.
//!
//! A replica that has just started, or resumes after a back-off, can serve a few requests per second,
//! summed over all nodes, and fails well above that. For calls that each node places by itself there
//! are two ways to keep to this rate: one node of, say, 66 owns each cold replica and is the only one
//! that sends requests to it, or every node gets a share of the rate. This module uses shares: an owner
//! can only send the requests that arrive at it, and when it is gone nobody sends any. If a replica can
//! serve fewer requests per second than there are nodes, its rate is shared by as many nodes, selected
//! by a hash.
//!
//! Nodes may see different fleets, and a lead places generations in addition to nodes that its answers
//! do not reach. Shares therefore add up to half of the allowed rate, and the lead may use the same
//! amount.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;
use crate::rendezvous;

/// Fraction of the allowed rate that all shares add up to.
const SHARED_FRACTION: f64 = 0.5;
/// Requests sent within this time may arrive within one second: connecting takes up to a quarter of a
/// second.
const RATE_WINDOW: Duration = Duration::from_millis(1_250);
/// Shares are recomputed after this time, as nodes come and go.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of nodes that a rate is divided by: a node that has just started or was partitioned
/// knows of few others.
const MIN_NODES: usize = 6;

/// Bounds on the requests that the whole fleet sends to one cold replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor by which the rate of the service may be exceeded.
    pub overshoot: f64,
    /// Requests per second that are allowed beyond that.
    pub slack: f64,
}

impl ColdBounds {
    /// Requests per second that the shares of all nodes add up to, for a service whose cold replicas
    /// can serve `per_second`.
    pub fn shared_rate(&self, per_second: f64) -> u32 {
        ((per_second * self.overshoot + self.slack) * SHARED_FRACTION).max(0.0) as u32
    }
}

/// The kind of node that places a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacedBy {
    /// The lead of the service.
    Lead,
    /// Any other node, for a request that arrived at it.
    Node,
}

/// This node's share of one replica's rate and the times of recent requests to it.
#[derive(Debug, Default)]
struct ReplicaBudget {
    share: u32,
    computed_at: Timestamp,
    sent_at: VecDeque<Timestamp>,
}

/// Limits the requests that this node sends to cold replicas.
#[derive(Debug)]
pub struct ColdStartLimiter {
    own: VmId,
    /// The other nodes that are alive.
    nodes: Vec<VmId>,
    budgets: HashMap<UpstreamId, ReplicaBudget>,
}

impl ColdStartLimiter {
    /// Creates a limiter that knows no other nodes and no replicas.
    pub fn new(own: VmId) -> Self {
        ColdStartLimiter { own, nodes: Vec::new(), budgets: HashMap::new() }
    }

    /// Replaces the set of other nodes that are alive.
    pub fn set_nodes(&mut self, nodes: impl Iterator<Item = VmId>) {
        self.nodes.clear();
        self.nodes.extend(nodes);
    }

    /// Whether this node may send one more request to a cold replica; `shared` is the number of
    /// requests per second that the shares of all nodes add up to.
    pub fn allows(&mut self, replica: &UpstreamId, placed_by: PlacedBy, shared: u32, now: Timestamp) -> bool {
        let is_fresh =
            self.budgets.get(replica).is_some_and(|budget| budget.computed_at + SHARE_REFRESH_INTERVAL > now);
        let new_share = (!is_fresh).then(|| self.compute_share(replica, shared));
        let budget = self.budgets.entry(replica.clone()).or_default();
        if let Some(share) = new_share {
            (budget.share, budget.computed_at) = (share, now);
        }
        while budget.sent_at.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            budget.sent_at.pop_front();
        }
        let limit = if placed_by == PlacedBy::Lead { shared } else { budget.share };
        budget.sent_at.len() < limit as usize
    }

    /// Records that a request was sent to a cold replica.
    pub fn on_assigned(&mut self, replica: &str, now: Timestamp) {
        if let Some(budget) = self.budgets.get_mut(replica) {
            budget.sent_at.push_back(now);
        }
    }

    /// Drops replicas that are warm or gone.
    pub fn retain(&mut self, is_cold: impl Fn(&str) -> bool) {
        self.budgets.retain(|replica, _| is_cold(replica));
    }

    /// This node's share. All nodes have equal shares; the remainder goes to the first nodes in the
    /// order of a hash.
    fn compute_share(&self, replica: &str, shared: u32) -> u32 {
        let weight = |node: &VmId| rendezvous::weight(replica, node);
        let own = weight(&self.own);
        let rank = self.nodes.iter().filter(|node| weight(node) > own).count() as u32;
        let nodes = (self.nodes.len() + 1).max(MIN_NODES) as u32;
        shared / nodes + u32::from(rank < shared % nodes)
    }
}
