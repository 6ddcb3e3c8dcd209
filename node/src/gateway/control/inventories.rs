//! What a node tells each lead of its own generations: all of them, again and again, so that
//! a lost message or a new lead needs no special care.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;

use crate::gateway::control::knowledge::Knowledge;
use crate::gateway::peers::peer_message::Inventory;

/// Time between two inventories for a lead. Ends are told at once, and in a second a
/// generation makes some 115 tokens: 3 in 100 of its memory.
const INTERVAL: Duration = Duration::from_secs(1);

/// A lead that was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    lead: SocketAddr,
    at: Timestamp,
}

/// Which leads were told of which services, and when.
#[derive(Debug, Default)]
pub struct Inventories {
    told: HashMap<ServiceId, Told>,
}

impl Inventories {
    /// The inventories of the node `own` that are due, with their leads; `last` is its newest
    /// generation that is placed. A new lead is told at once, and one that was told of
    /// generations is told once more when there are none.
    pub fn take(
        &mut self,
        knowledge: &Knowledge,
        own: &VmId,
        last: RunId,
        now: Timestamp,
        lead_of: impl Fn(&ServiceId) -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Inventory)> {
        let mut due = HashMap::new();
        // A lead is picked by a hash over all nodes: once for each service, not each generation.
        let services: HashSet<ServiceId> =
            services(knowledge, own).chain(self.told.keys().cloned()).collect();
        for service in services {
            if let Some(lead) = lead_of(&service).filter(|lead| self.is_due(&service, *lead, now)) {
                due.insert(service, (lead, Inventory { runs: Vec::new(), last }));
            }
        }
        for (run, it) in knowledge.book.of_entry(own) {
            let service = knowledge.replicas.get(&it.replica).map(|replica| &replica.record.service);
            if let Some((_, inventory)) = service.and_then(|service| due.get_mut(service)) {
                inventory.runs.push((run, it.clone()));
            }
        }
        for (service, (lead, inventory)) in &due {
            if inventory.runs.is_empty() {
                self.told.remove(service);
            } else {
                self.told.insert(service.clone(), Told { lead: *lead, at: now });
            }
        }
        due.into_values().collect()
    }

    fn is_due(&self, service: &ServiceId, lead: SocketAddr, now: Timestamp) -> bool {
        self.told.get(service).is_none_or(|told| told.lead != lead || told.at + INTERVAL <= now)
    }
}

/// The services of a node's generations.
fn services<'a>(knowledge: &'a Knowledge, own: &'a VmId) -> impl Iterator<Item = ServiceId> + 'a {
    let generations = knowledge.book.of_entry(own).filter(|(_, run)| run.size.is_some());
    generations.filter_map(|(_, run)| Some(knowledge.replicas.get(&run.replica)?.record.service.clone()))
}
