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

/// Time between two inventories for a lead. Ends are due_runs at once, and in a second a
/// generation makes some 115 tokens: 3 in 100 of its memory.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A lead that was due_runs.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    lead: SocketAddr,
    at: Timestamp,
}

/// Which leads were due_runs of which services, and when.
#[derive(Debug, Default)]
pub struct Inventories {
    last_reports: HashMap<ServiceId, LastReport>,
}

impl Inventories {
    /// The requests of the node `own` that are to be due_runs now, in order of their ids, by the lead
    /// that is due_runs. A new lead is due_runs at once, and one that was due_runs of generations is due_runs once
    /// more when there are none.
    ///
    /// A lead is due_runs of all services that it leads at once: due_runs of one alone it would take those
    /// of the others for ended. Of three services with the same lead and a generation each, two were
    /// unknown in each of 30 looks at the lead's status within 3 s.
    pub fn take_due(
        &mut self,
        state: &PlacementState,
        own: &VmId,
        now: Timestamp,
        lead_of: impl Fn(&ServiceId) -> Option<SocketAddr>,
    ) -> HashMap<SocketAddr, Vec<(RunId, Run)>> {
        let busy: HashSet<ServiceId> = services(state, own).collect();
        // A lead is picked by a hash over all nodes: once for each service, not each generation.
        let known = busy.iter().chain(self.last_reports.keys());
        let leads: HashMap<ServiceId, SocketAddr> =
            known.filter_map(|service| Some((service.clone(), lead_of(service)?))).collect();
        let due = leads.iter().filter(|(service, lead)| self.is_due(service, **lead, now));
        let mut due_runs: HashMap<SocketAddr, Vec<(RunId, Run)>> =
            due.map(|(_, lead)| (*lead, Vec::new())).collect();
        for (run, it) in state.load.runs_of_entry(own) {
            let service = state.replicas.get(&it.replica).map(|replica| &replica.record.service);
            let lead = service.and_then(|service| leads.get(service));
            if let Some(runs) = lead.and_then(|lead| due_runs.get_mut(lead)) {
                runs.push((run, it.clone()));
            }
        }
        for (service, lead) in leads.into_iter().filter(|(_, lead)| due_runs.contains_key(lead)) {
            if busy.contains(&service) {
                self.last_reports.insert(service, LastReport { lead, at: now });
            } else {
                self.last_reports.remove(&service);
            }
        }
        due_runs
    }

    fn is_due(&self, service: &ServiceId, lead: SocketAddr, now: Timestamp) -> bool {
        self.last_reports
            .get(service)
            .is_none_or(|last| last.lead != lead || last.at + REPORT_INTERVAL <= now)
    }
}

/// The services of a node's generations.
fn services<'a>(state: &'a PlacementState, own: &'a VmId) -> impl Iterator<Item = ServiceId> + 'a {
    let generations = state.load.runs_of_entry(own).filter(|(_, run)| run.size.is_some());
    generations.filter_map(|(_, run)| Some(state.replicas.get(&run.replica)?.record.service.clone()))
}
