//! Which node places the generations of a service: its lead.
//!
//! Every node picks the lead by rendezvous hashing over the nodes that it takes to be
//! alive, so no election is needed. Two leads at once, or none, cost balance and nothing
//! else: no promise depends on there being one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// A lead that did not answer is not asked again for this long. Membership tells of a dead
/// node after some seconds; a stalled one is back sooner.
const AVOID: Duration = Duration::from_millis(1_500);

/// Remembers which nodes did not answer lately.
#[derive(Debug, Default)]
pub struct Leads {
    avoid: HashMap<VmId, Timestamp>,
    picked: RefCell<Picked>,
}

/// Leads that were picked among the same nodes: a pick hashes each of them.
#[derive(Debug, Default)]
struct Picked {
    version: u64,
    leads: HashMap<String, VmId>,
}

/// Leads that are remembered at most.
const MOST_PICKED: usize = 256;

impl Leads {
    /// The lead of a service among the nodes that are alive; `own` is one of them. `version` tells whether these
    /// are the same as before.
    pub fn lead_of<'a>(
        &self,
        service: &str,
        own: &'a VmId,
        alive: impl Iterator<Item = &'a VmId>,
        version: u64,
        now: Timestamp,
    ) -> VmId {
        let avoids = |vm: &VmId| self.avoid.get(vm).is_some_and(|until| *until > now);
        if self.avoid.values().any(|until| *until > now) {
            let answering = alive.filter(|vm| !avoids(vm));
            return rendezvous::pick(service, answering.chain(std::iter::once(own))).unwrap_or(own).clone();
        }
        let mut picked = self.picked.borrow_mut();
        if picked.version != version || picked.leads.len() >= MOST_PICKED {
            *picked = Picked { version, leads: HashMap::new() };
        }
        if let Some(lead) = picked.leads.get(service) {
            return lead.clone();
        }
        let lead = rendezvous::pick(service, alive.chain(std::iter::once(own))).unwrap_or(own);
        picked.leads.insert(service.to_owned(), lead.clone());
        lead.clone()
    }

    /// A node did not answer in time.
    pub fn on_silence(&mut self, vm: &VmId, now: Timestamp) {
        self.avoid.retain(|_, until| *until > now);
        self.avoid.insert(vm.clone(), now + AVOID);
    }

    /// A node answered.
    pub fn on_answer(&mut self, vm: &VmId) {
        self.avoid.remove(vm);
    }
}
