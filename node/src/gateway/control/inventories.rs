//! Reports of a node's own generations to their leads. Each report is complete and is repeated
//! periodically, so that a lost message or a new lead needs no special handling.

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

/// Interval between two inventories for a lead. Ends are reported at once, and in a second a generation
/// produces about 115 tokens, 3 in 100 of its memory.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The last inventory for a service.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    lead: SocketAddr,
    at: Timestamp,
}

/// The lead and the time of the last inventory for each service.
#[derive(Debug, Default)]
pub struct Inventories {
    last_reports: HashMap<ServiceId, LastReport>,
}

impl Inventories {
    /// Returns the requests of the node `own` that are to be reported now, in order of their ids, by lead.
    /// A new lead receives a report at once, and a lead that has received generations receives one more
    /// report when there are none left.
    ///
    /// A report to a lead covers all services that it leads: it would consider the generations of an
    /// omitted service ended. With three services that had the same lead and a generation each, two
    /// generations were unknown at the lead in each of 30 checks of its status within 3 s.
    pub fn take_due(
        &mut self,
        state: &PlacementState,
        own: &VmId,
        now: Timestamp,
        lead_of: impl Fn(&ServiceId) -> Option<SocketAddr>,
    ) -> HashMap<SocketAddr, Vec<(RunId, Run)>> {
        let busy: HashSet<ServiceId> = services(state, own).collect();
        // Selecting a lead hashes all nodes, so it is done once for each service rather than for each
        // generation.
        let known = busy.iter().chain(self.last_reports.keys());
        let leads: HashMap<ServiceId, SocketAddr> =
            known.filter_map(|service| Some((service.clone(), lead_of(service)?))).collect();
        let due = leads.iter().filter(|(service, lead)| self.is_due(service, **lead, now));
        let mut runs_by_lead: HashMap<SocketAddr, Vec<(RunId, Run)>> =
            due.map(|(_, lead)| (*lead, Vec::new())).collect();
        for (id, run) in state.load.runs_of_entry(own) {
            let lead = placed_by_lead(state, run).and_then(|service| leads.get(service));
            if let Some(runs) = lead.and_then(|lead| runs_by_lead.get_mut(lead)) {
                runs.push((id, run.clone()));
            }
        }
        for (service, lead) in leads.into_iter().filter(|(_, lead)| runs_by_lead.contains_key(lead)) {
            if busy.contains(&service) {
                self.last_reports.insert(service, LastReport { lead, at: now });
            } else {
                self.last_reports.remove(&service);
            }
        }
        runs_by_lead
    }

    fn is_due(&self, service: &ServiceId, lead: SocketAddr, now: Timestamp) -> bool {
        self.last_reports
            .get(service)
            .is_none_or(|last| last.lead != lead || last.at + REPORT_INTERVAL <= now)
    }
}

/// The service of a request, if its lead places such requests: generations, and calls of brittle services.
pub fn placed_by_lead<'a>(state: &'a PlacementState, run: &Run) -> Option<&'a ServiceId> {
    let service = &state.replicas.get(&run.replica)?.record.service;
    (run.size.is_some() || state.is_brittle(service)).then_some(service)
}

/// The services of a node's requests that leads place.
fn services<'a>(state: &'a PlacementState, own: &'a VmId) -> impl Iterator<Item = ServiceId> + 'a {
    state.load.runs_of_entry(own).filter_map(|(_, run)| placed_by_lead(state, run).cloned())
}
