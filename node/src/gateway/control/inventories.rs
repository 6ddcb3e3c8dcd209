//! What a node tells each lead of its own generations: all of them, again and again, so that
//! a lost message or a new lead needs no special care.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;

use crate::gateway::control::placement_state::PlacementState;

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
    /// The requests of the node `own` that are to be told now, in order of their ids, by the lead
    /// that is told. A new lead is told at once, and one that was told of generations is told once
    /// more when there are none.
    ///
    /// A lead is told of all services that it leads at once: told of one alone it would take those
    /// of the others for ended. Of three services with the same lead and a generation each, two were
    /// unknown in each of 30 looks at the lead's status within 3 s.
    pub fn take(
        &mut self,
        state: &PlacementState,
        own: &VmId,
        now: Timestamp,
        lead_of: impl Fn(&ServiceId) -> Option<SocketAddr>,
    ) -> HashMap<SocketAddr, Vec<(RunId, Run)>> {
        let busy: HashSet<ServiceId> = services(state, own).collect();
        // A lead is picked by a hash over all nodes: once for each service, not each generation.
        let known = busy.iter().chain(self.told.keys());
        let leads: HashMap<ServiceId, SocketAddr> =
            known.filter_map(|service| Some((service.clone(), lead_of(service)?))).collect();
        let due = leads.iter().filter(|(service, lead)| self.is_due(service, **lead, now));
        let mut told: HashMap<SocketAddr, Vec<(RunId, Run)>> =
            due.map(|(_, lead)| (*lead, Vec::new())).collect();
        for (run, it) in state.load.runs_of_entry(own) {
            let service = state.replicas.get(&it.replica).map(|replica| &replica.record.service);
            let lead = service.and_then(|service| leads.get(service));
            if let Some(runs) = lead.and_then(|lead| told.get_mut(lead)) {
                runs.push((run, it.clone()));
            }
        }
        for (service, lead) in leads.into_iter().filter(|(_, lead)| told.contains_key(lead)) {
            if busy.contains(&service) {
                self.told.insert(service, Told { lead, at: now });
            } else {
                self.told.remove(&service);
            }
        }
        told
    }

    fn is_due(&self, service: &ServiceId, lead: SocketAddr, now: Timestamp) -> bool {
        self.told.get(service).is_none_or(|told| told.lead != lead || told.at + INTERVAL <= now)
    }
}

/// The services of a node's generations.
fn services<'a>(state: &'a PlacementState, own: &'a VmId) -> impl Iterator<Item = ServiceId> + 'a {
    let generations = state.load.runs_of_entry(own).filter(|(_, run)| run.size.is_some());
    generations.filter_map(|(_, run)| Some(state.replicas.get(&run.replica)?.record.service.clone()))
}
