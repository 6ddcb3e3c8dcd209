//! Services whose upgrades are judged with the samples of this node, and until when that is known to hold.
//!
//! A node that reaches no judge, because it was suspended or is cut off, would try a version that may have
//! been abandoned meanwhile, and the answers that its callers get would be counted by no judge.

use std::collections::HashMap;

use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::Timestamp;

/// The services, each with the time until which its upgrade is known to be judged.
#[derive(Debug, Default)]
pub struct JudgedServices(HashMap<ServiceId, Timestamp>);

impl JudgedServices {
    /// Records that a service's upgrade is judged until a time.
    pub fn set_judged_until(&mut self, service: &ServiceId, until: Timestamp) {
        match self.0.get_mut(service) {
            Some(known) => *known = until,
            None => drop(self.0.insert(service.clone(), until)),
        }
    }

    /// Whether requests may be sent to the new version of a service.
    pub fn may_try(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.0.get(service).is_some_and(|until| now < *until)
    }
}
