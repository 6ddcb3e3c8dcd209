//! Probes lost paths to replicas, and uses replicas again once a path has returned.

use std::sync::Arc;

use leadstage_lib::gateway::routing::ServiceId;
use log::info;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::shared::Shared;

/// Finds out when lost paths return, and which nodes may carry connections until then.
pub struct PathProbes {
    shared: Arc<Shared>,
    /// The version of the set of nodes from which the possible carriers were drawn.
    drawn_from: Option<u64>,
}

impl PathProbes {
    /// Creates the state of a node that has lost no path.
    pub fn new(shared: Arc<Shared>) -> Self {
        PathProbes { shared, drawn_from: None }
    }

    /// Does the periodic work.
    pub fn tick(&mut self, fleet: &Fleet, state: &PlacementState) {
        self.draw_carriers(fleet);
        self.probe_lost_paths(state);
    }

    /// Draws other nodes that may carry connections. While a path is lost, they are drawn anew each time, so that
    /// all nodes are asked in the end.
    fn draw_carriers(&mut self, fleet: &Fleet) {
        let version = Some(fleet.version());
        if self.drawn_from != version || self.shared.has_impaired_path() {
            self.drawn_from = version;
            self.shared.set_tunnel_nodes(fleet.sample_for_tunnels());
        }
    }

    /// Starts the probes that are due. Replicas that are leaving or gone say nothing about the path.
    fn probe_lost_paths(&self, state: &PlacementState) {
        for (service, replica) in self.shared.due_path_probes() {
            let is_staying = state
                .replicas
                .at_address(replica)
                .any(|at| at.leaving.is_none() && at.record.service == service);
            let dialer = ReplicaDialer::new(self.shared.clone(), service);
            if is_staying {
                dialer.spawn_probe(replica);
            } else {
                dialer.forget(replica);
            }
        }
    }

    /// This node reaches a replica of a service after it had not reached several. If it had found none usable,
    /// the path was the reason.
    pub fn on_path_restored(&self, state: &mut PlacementState, service: &ServiceId) {
        let now = self.shared.now();
        if !state.replicas.staying(service).any(|replica| replica.is_usable(now)) {
            info!(event = "replicas_usable", service = &**service; "the path to a service has returned; its replicas are used again");
            state.replicas.forget_failures(service);
        }
    }
}
