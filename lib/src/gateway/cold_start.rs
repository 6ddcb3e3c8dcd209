//! How many requests a cold replica is given.
//!
//! A replica that has just started, or was told to rest, bears a few requests a second, over all nodes, and
//! falls over at well above that. Two ways were weighed, for calls that each node places by itself: an
//! owner of each cold replica, which alone of 66 nodes gives it anything, or a share of what it bears for
//! each node. Shares are taken: an owner gives it what comes to one node only, and where that one is gone
//! nobody does. A replica that bears fewer than there are nodes is shared among as many of them, by a hash.
//!
//! Nodes may see different fleets, and generations are placed by a lead beside nodes that it does not answer:
//! so shares add up to half of what is allowed, and the lead has as much for itself.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;
use crate::rendezvous;

/// Part of what is allowed that shares add up to.
const SHARED_PART: f64 = 0.5;
/// Requests that are given within this may arrive within one second: a connection takes up to a quarter of
/// one.
const WINDOW: Duration = Duration::from_millis(1_250);
/// A share is worked out anew after this, as nodes come and go.
const SHARE_LASTS: Duration = Duration::from_secs(1);
/// As many nodes share at least: a node that has just started, or was cut off, knows of few others.
const LEAST_NODES: usize = 6;

/// What a fleet may give to one cold replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Times that a service's own rate may be exceeded.
    pub overshoot: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

impl ColdBounds {
    /// Requests in a second that all shares make together, for a service whose cold replicas bear
    /// `per_second`.
    pub fn shared(&self, per_second: f64) -> u32 {
        ((per_second * self.overshoot + self.slack) * SHARED_PART).max(0.0) as u32
    }
}

/// Who gives a cold replica requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Giver {
    /// The lead of its service.
    Lead,
    /// One of the nodes.
    Node,
}

/// What this node gives to one replica.
#[derive(Debug, Default)]
struct Given {
    share: u32,
    shared_at: Timestamp,
    at: VecDeque<Timestamp>,
}

/// What this node gives to cold replicas.
#[derive(Debug)]
pub struct ColdStarts {
    own: VmId,
    /// The other nodes that are alive.
    nodes: Vec<VmId>,
    given: HashMap<UpstreamId, Given>,
}

impl ColdStarts {
    /// None is known yet.
    pub fn new(own: VmId) -> Self {
        ColdStarts { own, nodes: Vec::new(), given: HashMap::new() }
    }

    /// The other nodes that are alive now.
    pub fn set_nodes(&mut self, nodes: impl Iterator<Item = VmId>) {
        self.nodes.clear();
        self.nodes.extend(nodes);
    }

    /// Whether a cold replica may get one more request from this node; `shared` is what all shares make
    /// together in a second.
    pub fn allows(&mut self, replica: &UpstreamId, giver: Giver, shared: u32, now: Timestamp) -> bool {
        let is_known = self.given.get(replica).is_some_and(|given| given.shared_at + SHARE_LASTS > now);
        let new_share = (!is_known).then(|| self.share(replica, shared));
        let given = self.given.entry(replica.clone()).or_default();
        if let Some(share) = new_share {
            (given.share, given.shared_at) = (share, now);
        }
        while given.at.front().is_some_and(|at| *at + WINDOW <= now) {
            given.at.pop_front();
        }
        let most = if giver == Giver::Lead { shared } else { given.share };
        given.at.len() < most as usize
    }

    /// A cold replica was given a request.
    pub fn on_assigned(&mut self, replica: &str, now: Timestamp) {
        if let Some(given) = self.given.get_mut(replica) {
            given.at.push_back(now);
        }
    }

    /// Forgets replicas that are warm or gone.
    pub fn retain(&mut self, is_cold: impl Fn(&str) -> bool) {
        self.given.retain(|replica, _| is_cold(replica));
    }

    /// This node's share: all nodes have as many, but for what is left over, which goes to the first by a
    /// hash.
    fn share(&self, replica: &str, shared: u32) -> u32 {
        let weight = |node: &VmId| rendezvous::weight(replica, node);
        let own = weight(&self.own);
        let rank = self.nodes.iter().filter(|node| weight(node) > own).count() as u32;
        let nodes = (self.nodes.len() + 1).max(LEAST_NODES) as u32;
        shared / nodes + u32::from(rank < shared % nodes)
    }
}
