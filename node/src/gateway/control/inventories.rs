//! What a node tells each lead of its own generations: all of them, again and again, so that
//! a lost message or a new lead needs no special care.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use leadstage_lib::gateway::load::RunId;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;

use crate::gateway::control::knowledge::Knowledge;
use crate::gateway::peers::peer_message::Inventory;

/// Time between two inventories for a lead.
const INTERVAL: Duration = Duration::from_millis(300);

/// When inventories were told, and of which services.
#[derive(Debug, Default)]
pub struct Inventories {
    last: Option<Timestamp>,
    /// Services whose lead got an inventory that was not empty.
    told: HashSet<ServiceId>,
}

impl Inventories {
    /// Whether it is time to tell.
    pub fn is_due(&mut self, now: Timestamp) -> bool {
        let due = self.last.is_none_or(|last| now >= last + INTERVAL);
        if due {
            self.last = Some(now);
        }
        due
    }

    /// The inventories of the node `own`; `last` is its newest generation that is placed.
    /// A lead that was told of generations is told once more when there are none.
    pub fn take(&mut self, knowledge: &Knowledge, own: &VmId, last: RunId) -> Vec<(ServiceId, Inventory)> {
        let empty = || Inventory { runs: Vec::new(), last };
        let mut by_service: HashMap<ServiceId, Inventory> =
            self.told.drain().map(|service| (service, empty())).collect();
        let runs = knowledge.book.of_entry(own).filter(|(_, run)| run.size.is_some());
        for (id, run) in runs {
            if let Some(replica) = knowledge.replicas.get(&run.replica) {
                let service = replica.record.service.clone();
                by_service.entry(service).or_insert_with(empty).runs.push((id, run.clone()));
            }
        }
        let told = by_service.iter().filter(|(_, inventory)| !inventory.runs.is_empty());
        self.told = told.map(|(service, _)| service.clone()).collect();
        by_service.into_iter().collect()
    }
}
