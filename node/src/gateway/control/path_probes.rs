//! Probes lost paths to replicas, and uses replicas again once a path has returned.

use std::sync::Arc;

use leadstage_lib::gateway::routing::ServiceId;
use log::info;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::shared::Shared;

/// Starts the probes that are due. Replicas that are leaving or gone say nothing about the path.
pub fn probe_lost_paths(shared: &Arc<Shared>, state: &PlacementState) {
    for (service, replica) in shared.due_path_probes() {
        if state.replicas.staying(&service).any(|staying| staying.record.address == replica) {
            ReplicaDialer::new(shared.clone(), service).spawn_probe(replica);
        } else {
            shared.with_paths(&service, |paths| paths.forget(replica));
        }
    }
}

/// This node reaches a replica of a service after it had not reached several. If it had found none usable,
/// the path was the reason.
pub fn on_path_restored(shared: &Shared, state: &mut PlacementState, service: &ServiceId) {
    let now = shared.now();
    if !state.replicas.staying(service).any(|replica| replica.is_usable(now)) {
        info!(event = "replicas_usable", service = &**service; "the path to a service has returned; its replicas are used again");
        state.replicas.forget_failures(service);
    }
}
