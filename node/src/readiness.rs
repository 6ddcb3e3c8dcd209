//! Determines whether the load balancer may send requests to this node.

use leadstage_lib::ids::Timestamp;
use log::info;

use crate::control::Control;
use crate::shared::Readiness;

/// Recomputes the node's readiness.
///
/// A node without a bundle, or to which callers can't connect yet, is not ready. Neither is a node that, for longer
/// than the bundle's limit, has reached neither the object API nor any peer that should be alive, as it cannot learn
/// of a newer bundle.
/// An outage of the object API alone never makes a node unready.
pub fn update(control: &mut Control) {
    let before = control.shared.readiness();
    let now = control.now();
    let readiness = match control.shared.bundle() {
        None => Readiness::NoBundle,
        Some(_) if !control.shared.callers_port_listens() => Readiness::NoPort,
        Some(bundle) => {
            let bound = bundle.bounds.alone_within;
            let recent = |at: Option<Timestamp>| at.is_some_and(|at| now.saturating_sub(at) <= bound);
            let reached = recent(control.platform_contact) || recent(control.membership.last_contact());
            if reached || !control.membership.has_peers() { Readiness::Ready } else { Readiness::Alone }
        }
    };
    control.shared.set_readiness(readiness);
    let after = control.shared.readiness();
    if before != after {
        info!(event = "readiness", readiness:? = after; "readiness changed");
    }
}
