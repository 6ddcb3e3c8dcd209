//! The other nodes by hall, and whom news is told.
//!
//! News goes to few nodes in other halls: links between halls are shared by all, and each byte there has its price. Of
//! those that a node tells, most are in its own hall; the rest is enough for news to reach every hall within two steps.

use std::collections::HashMap;
use std::collections::HashSet;

use rand::Rng;

use crate::ids::HallId;
use crate::ids::VmId;
use crate::sample_set::SampleSet;

/// One of so many that are told may be in any hall.
const ONE_ANYWHERE_OF: usize = 4;
/// With fewer nodes of its own hall a node does not know enough of them to leave others out.
const LEAST_NEAR: usize = 8;

/// The other nodes that are taken to be up.
#[derive(Debug)]
pub struct PeersByHall {
    own: HallId,
    halls: HashMap<VmId, HallId>,
    up: SampleSet<VmId>,
    /// Those that are known to be in this node's hall.
    near: SampleSet<VmId>,
    /// The halls' names, held once.
    names: HashSet<HallId>,
}

impl PeersByHall {
    /// None yet, for a node of a hall.
    pub fn new(own: HallId) -> Self {
        PeersByHall {
            names: HashSet::from([own.clone()]),
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

    /// A node is in a hall.
    pub fn on_hall(&mut self, node: &VmId, hall: HallId) {
        if self.halls.get(node) == Some(&hall) || !self.up.contains(node) {
            return;
        }
        let hall = match self.names.get(&hall) {
            Some(known) => known.clone(),
            None => {
                self.names.insert(hall.clone());
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

    /// Whether any is.
    pub fn has_near(&self) -> bool {
        !self.near.is_empty()
    }

    /// Whether so many are that what they have need not come from other halls.
    pub fn knows_hall(&self) -> bool {
        self.near.len() >= LEAST_NEAR
    }

    /// How many nodes are up.
    pub fn len(&self) -> usize {
        self.up.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.up.is_empty()
    }

    /// Some nodes of any hall, at random.
    pub fn some<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<&VmId> {
        self.up.sample(count, rng)
    }

    /// Some nodes to be told news, most of them near.
    pub fn to_tell<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<&VmId> {
        if !self.knows_hall() {
            return self.some(count, rng);
        }
        let anywhere = count.div_ceil(ONE_ANYWHERE_OF);
        let mut told = self.near.sample(count - anywhere, rng);
        let near = told.len();
        // As many more as may be among those that are told already.
        for node in self.up.sample(count, rng) {
            if told.len() < count && !told[..near].contains(&node) {
                told.push(node);
            }
        }
        told
    }
}
