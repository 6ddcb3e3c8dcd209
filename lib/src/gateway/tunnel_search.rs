//! The search for another node that opens a tunnel to a replica.

use std::net::SocketAddr;

use rand::Rng;

use crate::gateway::replica_paths::ReplicaPaths;
use crate::gateway::replica_paths::Unreached;
use crate::ids::Timestamp;

/// Maximum number of nodes that are asked for a tunnel to a replica.
const MAX_ASKED: usize = 4;
/// Number of nodes that have to miss the replica too until it counts as gone.
const MIN_UNREACHED_ANSWERS: usize = 2;

/// The answer of a node that was asked for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViaAnswer {
    /// The tunnel is open.
    Opened,
    /// The node did not reach the replica either.
    ReplicaUnreached(Unreached),
    /// The node could not help: it was not reached, has no path either, or takes no tunnels.
    Unavailable {
        /// A node that opened tunnels for it recently.
        referral: Option<SocketAddr>,
    },
}

/// How a search ended without a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFound {
    /// Other nodes did not reach the replica either, the first one for this reason.
    ReplicaUnreached(Unreached),
    /// No node was found that has a path.
    NoPath,
}

/// A search for a node that opens a tunnel to a replica.
#[derive(Debug)]
pub struct TunnelSearch {
    replica: SocketAddr,
    own: SocketAddr,
    nodes: Vec<SocketAddr>,
    asked: Vec<SocketAddr>,
    /// Maximum number of nodes that are asked at the same time.
    at_once: usize,
    awaited: usize,
    unreached: Vec<Unreached>,
}

impl TunnelSearch {
    /// Begins a search by the node `own` among `nodes`, of which `at_once` are asked at the same time.
    pub fn new(replica: SocketAddr, own: SocketAddr, nodes: &[SocketAddr], at_once: usize) -> Self {
        TunnelSearch {
            replica,
            own,
            nodes: nodes.to_vec(),
            asked: Vec::new(),
            at_once,
            awaited: 0,
            unreached: Vec::new(),
        }
    }

    /// Returns another node to ask now.
    pub fn next<R: Rng>(&mut self, paths: &ReplicaPaths, now: Timestamp, rng: &mut R) -> Option<SocketAddr> {
        let is_over = self.unreached.len() >= MIN_UNREACHED_ANSWERS || self.asked.len() >= MAX_ASKED;
        if is_over || self.awaited >= self.at_once {
            return None;
        }
        let via = paths.choose_via(&self.nodes, &self.asked, now, rng)?;
        self.asked.push(via);
        self.awaited += 1;
        Some(via)
    }

    /// Records the answer of a node that was asked.
    pub fn on_answer(
        &mut self,
        paths: &mut ReplicaPaths,
        via: SocketAddr,
        answer: ViaAnswer,
        now: Timestamp,
    ) {
        self.awaited -= 1;
        match answer {
            ViaAnswer::Opened => paths.on_tunnel_opened(self.replica, via, now),
            ViaAnswer::ReplicaUnreached(unreached) => self.unreached.push(unreached),
            ViaAnswer::Unavailable { referral } => {
                paths.on_unavailable(via, now);
                if let Some(referral) = referral.filter(|referral| *referral != self.own) {
                    self.nodes.push(referral);
                    paths.on_referral(referral, now);
                }
            }
        }
    }

    /// Whether answers are still to come.
    pub fn is_awaited(&self) -> bool {
        self.awaited > 0
    }

    /// Ends the search without a tunnel.
    pub fn give_up(self, paths: &mut ReplicaPaths, now: Timestamp) -> NotFound {
        let Some(unreached) = self.unreached.first() else {
            return NotFound::NoPath;
        };
        paths.on_unreached_by_others(self.replica, now);
        NotFound::ReplicaUnreached(*unreached)
    }
}
