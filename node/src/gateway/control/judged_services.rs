//! Services whose upgrades are judged by what this node sees, and until when that is known to be so.
//!
//! A node that no judge hears, as it was suspended or is cut off, would try a version that may have been given up
//! meanwhile, and what its callers get would be counted by nobody.

use std::collections::HashMap;

use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::Timestamp;

/// The services, with until when.
#[derive(Debug, Default)]
pub struct JudgedServices(HashMap<ServiceId, Timestamp>);

impl JudgedServices {
    /// A service's upgrade is judged until a moment.
    pub fn set_judged_until(&mut self, service: &ServiceId, until: Timestamp) {
        match self.0.get_mut(service) {
            Some(known) => *known = until,
            None => drop(self.0.insert(service.clone(), until)),
        }
    }

    /// Whether its new version may be tried.
    pub fn may_try(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.0.get(service).is_some_and(|until| now < *until)
    }
}
