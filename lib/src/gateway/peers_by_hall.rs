//! The other nodes by hall, and the selection of gossip targets.
//!
//! Few gossip messages go to other halls: all nodes share the links between halls, and each byte on them is
//! billed. Most targets of a node are in its own hall; the others suffice to reach every hall within two
//! steps.

use std::collections::HashMap;
use std::collections::HashSet;

use rand::Rng;

use crate::ids::HallId;
use crate::ids::VmId;
use crate::sample_set::SampleSet;

/// One gossip target in this many is picked from all halls.
const ANY_HALL_RATIO: usize = 4;
/// Number of known nodes of its own hall below which a node picks all gossip targets from all halls.
const MIN_NEAR: usize = 8;

/// The other nodes that are considered up.
#[derive(Debug)]
pub struct PeersByHall {
    own: HallId,
    halls: HashMap<VmId, HallId>,
    up: SampleSet<VmId>,
    /// Nodes that are known to be in this node's hall; all others are in other or unknown halls.
    near: SampleSet<VmId>,
    /// The halls' names, interned.
    hall_names: HashSet<HallId>,
}

impl PeersByHall {
    /// Creates an empty set for a node in the hall `own`.
    pub fn new(own: HallId) -> Self {
        PeersByHall {
            hall_names: HashSet::from([own.clone()]),
            own,
            halls: HashMap::new(),
            up: SampleSet::default(),
            near: SampleSet::default(),
        }
    }

    /// A node is up.
    pub fn on_up(&mut self, node: &VmId) {
        self.up.insert(node.clone());
    }

    /// A node is gone.
    pub fn on_gone(&mut self, node: &VmId) {
        self.halls.remove(node);
        self.up.remove(node);
        self.near.remove(node);
    }

    /// A node's hall became known.
    pub fn on_hall(&mut self, node: &VmId, hall: HallId) {
        if self.halls.get(node) == Some(&hall) || !self.up.contains(node) {
            return;
        }
        let hall = match self.hall_names.get(&hall) {
            Some(known) => known.clone(),
            None => {
                self.hall_names.insert(hall.clone());
                hall
            }
        };
        if hall == self.own {
            self.near.insert(node.clone());
        } else {
            self.near.remove(node);
        }
        self.halls.insert(node.clone(), hall);
    }

    /// A node's hall, if it is known.
    pub fn hall(&self, node: &VmId) -> Option<&HallId> {
        self.halls.get(node)
    }

    /// Whether a node is known to be in this one's hall.
    pub fn is_near(&self, node: &VmId) -> bool {
        self.near.contains(node)
    }

    /// Whether any node is known to be in this one's hall.
    pub fn has_near(&self) -> bool {
        !self.near.is_empty()
    }

    /// Whether enough nodes of this one's hall are known to do without nodes of other halls as sources.
    pub fn has_enough_in_hall(&self) -> bool {
        self.near.len() >= MIN_NEAR
    }

    /// The number of nodes that are up.
    pub fn len(&self) -> usize {
        self.up.len()
    }

    /// Whether no node is up.
    pub fn is_empty(&self) -> bool {
        self.up.is_empty()
    }

    /// Picks up to `count` random nodes of any hall.
    pub fn sample<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<&VmId> {
        self.up.sample(count, rng)
    }

    /// Picks up to `count` random nodes to send gossip to, most of them in this node's hall.
    pub fn gossip_targets<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<&VmId> {
        if !self.has_enough_in_hall() {
            return self.sample(count, rng);
        }
        let anywhere = count.div_ceil(ANY_HALL_RATIO);
        let mut targets = self.near.sample(count - anywhere, rng);
        let near = targets.len();
        // Samples `count` nodes, as some of them may be among the near ones already picked.
        for node in self.up.sample(count, rng) {
            if targets.len() < count && !targets[..near].contains(&node) {
                targets.push(node);
            }
        }
        targets
    }
}
