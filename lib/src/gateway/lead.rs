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
const AVOID_SILENT_FOR: Duration = Duration::from_millis(1_500);

/// Remembers which nodes did not answer lately.
#[derive(Debug, Default)]
pub struct Leads {
    avoided: HashMap<VmId, Timestamp>,
    pick_cache: RefCell<PickCache>,
}

/// Leads that were picked among the same nodes: a pick hashes each of them.
#[derive(Debug, Default)]
struct PickCache {
    version: u64,
    leads: HashMap<String, VmId>,
}

/// Leads that are remembered at most.
const MAX_CACHED_PICKS: usize = 256;

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

    /// A node did not answer in time.
    pub fn on_silence(&mut self, vm: &VmId, now: Timestamp) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(vm.clone(), now + AVOID_SILENT_FOR);
    }

    /// A node answered.
    pub fn on_answer(&mut self, vm: &VmId) {
        self.avoided.remove(vm);
    }
}
