//! Which node places the generations of a service: its lead.
//!
//! Every node picks the lead by rendezvous hashing over the nodes that it takes to be
//! alive, so no election is needed. Two leads at once, or none, cost balance and nothing
//! else: no promise depends on there being one.

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
}

impl Leads {
    /// The lead of a service among the nodes that are alive; `own` is one of them.
    pub fn lead_of<'a>(
        &self,
        service: &str,
        own: &'a VmId,
        alive: impl Iterator<Item = &'a VmId>,
        now: Timestamp,
    ) -> &'a VmId {
        let answering = alive.filter(|vm| self.avoid.get(*vm).is_none_or(|until| *until <= now));
        rendezvous::pick(service, answering.chain(std::iter::once(own))).unwrap_or(own)
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
