//! Selects the lead of a service: the node that places its generations.
//!
//! Every node selects the lead by rendezvous hashing over the nodes that it considers alive, so no
//! election is needed. Having two leads at once, or none, only costs load balance: no guarantee depends
//! on a single lead.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// How long a lead that did not answer is avoided. Membership reports a dead node after some seconds; a
/// stalled node recovers sooner.
const AVOID_SILENT_FOR: Duration = Duration::from_millis(1_500);

/// Selects leads and avoids nodes that have recently failed to answer.
#[derive(Debug, Default)]
pub struct Leads {
    avoided: HashMap<VmId, Timestamp>,
    pick_cache: RefCell<PickCache>,
}

/// Leads that were picked from the same set of nodes, cached because each pick hashes all nodes.
#[derive(Debug, Default)]
struct PickCache {
    version: u64,
    leads: HashMap<String, VmId>,
}

/// Maximum number of cached picks.
const MAX_CACHED_PICKS: usize = 256;

impl Leads {
    /// Returns the lead of a service among the nodes that are alive; `own` is one of them. `version`
    /// changes whenever the set of nodes does.
    pub fn lead_of<'a>(
        &self,
        service: &str,
        own: &'a VmId,
        alive: impl Iterator<Item = &'a VmId>,
        version: u64,
        now: Timestamp,
    ) -> VmId {
        let is_avoided = |vm: &VmId| self.avoided.get(vm).is_some_and(|until| *until > now);
        if self.avoided.values().any(|until| *until > now) {
            let responsive = alive.filter(|vm| !is_avoided(vm));
            return rendezvous::pick(service, responsive.chain(std::iter::once(own))).unwrap_or(own).clone();
        }
        let mut pick_cache = self.pick_cache.borrow_mut();
        if pick_cache.version != version || pick_cache.leads.len() >= MAX_CACHED_PICKS {
            *pick_cache = PickCache { version, leads: HashMap::new() };
        }
        if let Some(lead) = pick_cache.leads.get(service) {
            return lead.clone();
        }
        let lead = rendezvous::pick(service, alive.chain(std::iter::once(own))).unwrap_or(own);
        pick_cache.leads.insert(service.to_owned(), lead.clone());
        lead.clone()
    }

    /// Records that a node did not answer in time.
    pub fn on_silence(&mut self, vm: &VmId, now: Timestamp) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(vm.clone(), now + AVOID_SILENT_FOR);
    }

    /// Records that a node answered.
    pub fn on_answer(&mut self, vm: &VmId) {
        self.avoided.remove(vm);
    }
}
