//! Roles held by one node, which is chosen by a rendezvous hash over the nodes considered alive: what callers
//! get from the moment at which that node is killed or suspended until the others consider it dead.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use leadstage_lib::rendezvous;
use leadstage_lib::status::NodeStatus;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::call;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::request;
use crate::loaded_fleet::LIMIT_APPLIES_AFTER;
use crate::loaded_fleet::LoadedFleet;

const NODES: usize = 6;
/// Slightly longer than the fleet may take to consider a node dead.
const UNAVAILABLE_FOR: Duration = Duration::from_millis(4_500);
/// The time after which no requests are sent to a closed hall.
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);

/// What happens to the node that holds the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeFailure {
    Killed,
    Suspended,
}

impl NodeFailure {
    const ALL: [NodeFailure; 2] = [NodeFailure::Killed, NodeFailure::Suspended];

    fn inject(self, gateway: &Gateway, node: usize) {
        gateway.signal(node, if self == NodeFailure::Killed { "-KILL" } else { "-STOP" });
    }

    fn recover(self, gateway: &Gateway, node: usize) {
        if self == NodeFailure::Suspended {
            gateway.signal(node, "-CONT");
        }
    }
}

/// The node that the rendezvous hash chooses for a name.
fn chosen_node(gateway: &Gateway, name: &str) -> usize {
    let peers: Vec<String> = (0..NODES).map(|node| gateway.peer(node)).collect();
    let first = rendezvous::pick(name, &peers).expect("there are nodes");
    peers.iter().position(|peer| peer == first).expect("the chosen peer is one of the nodes")
}

/// The same rate for all nodes except one, which gets no requests.
fn rates_without(node: usize, rate: f64) -> Vec<f64> {
    (0..NODES).map(|other| if other == node { 0.0 } else { rate }).collect()
}

/// Each node skips a lead that does not answer its requests.
#[tokio::test]
async fn test_streams_start_while_the_lead_of_their_service_is_unavailable() {
    for failure in NodeFailure::ALL {
        let fleet = LoadedFleet::start_with(MODEL, NODES, 4, 20, |yaml| yaml).await;
        let lead = chosen_node(&fleet.gateway, MODEL);
        failure.inject(&fleet.gateway, lead);
        let answers = fleet.load(&rates_without(lead, 3.0), UNAVAILABLE_FOR, chat).await;
        failure.recover(&fleet.gateway, lead);
        for answer in &answers {
            let is_whole = answer.called.whole && answer.called.events() == Some(20);
            assert!(is_whole, "{failure:?} {answer:?}\n{}", fleet.gateway.logs());
        }
    }
}

/// A substitute replaces the node that grants shares of a replica's limit. Its grants and the later ones of
/// the original node stay within the limit together.
#[tokio::test]
async fn test_a_limit_is_kept_while_its_granting_node_is_unavailable() {
    for failure in NodeFailure::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let limits = [4.0];
        let binds = fleet.announce_limits(&limits);
        let granting_node = chosen_node(&fleet.gateway, "booking-1");
        let rates = rates_without(granting_node, 8.0);
        fleet.load(&rates, LIMIT_APPLIES_AFTER, read).await;
        failure.inject(&fleet.gateway, granting_node);
        let failed_at = Instant::now();
        fleet.load(&rates, UNAVAILABLE_FOR, read).await;
        failure.recover(&fleet.gateway, granting_node);
        fleet.load(&rates, Duration::from_secs(4), read).await;
        fleet.assert_limits_kept(&limits, binds);
        let got =
            fleet.arrivals(0, failed_at).into_iter().filter(|at| *at < failed_at + UNAVAILABLE_FOR).count();
        assert!(got > 0, "{failure:?}: no request used the limit\n{}", fleet.gateway.logs());
    }
}

/// The standbys of the first store watcher announce to all other nodes what it would have announced.
#[tokio::test]
async fn test_halls_are_closed_in_time_while_the_first_store_watcher_is_unavailable() {
    for failure in NodeFailure::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let gateway = &fleet.gateway;
        let first_watcher = chosen_node(gateway, "store watchers");
        failure.inject(gateway, first_watcher);
        let closed_at = Instant::now();
        gateway.store.put("evacuations", "hall-1", json!({}));
        for node in (0..NODES).filter(|node| *node != first_watcher) {
            gateway
                .until("the hall is closed", async || closed_halls(gateway, node).await == ["hall-1"])
                .await;
        }
        let known_after = closed_at.elapsed();
        failure.recover(gateway, first_watcher);
        assert!(known_after < EVACUATED_WITHIN, "{failure:?}: {known_after:?}\n{}", gateway.logs());
        gateway
            .until("the first watcher knows that the hall is closed", async || {
                failure == NodeFailure::Killed || closed_halls(gateway, first_watcher).await == ["hall-1"]
            })
            .await;
    }
}

/// A new configuration reaches all other nodes while the first store watcher is unavailable, too.
#[tokio::test]
async fn test_a_configuration_spreads_while_the_first_store_watcher_is_unavailable() {
    for failure in NodeFailure::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let gateway: Arc<Gateway> = fleet.gateway.clone();
        let first_watcher = chosen_node(&gateway, "store watchers");
        failure.inject(&gateway, first_watcher);
        gateway.store.put("config", "main", config(2));
        for node in (0..NODES).filter(|node| *node != first_watcher) {
            let has_it = async || gateway.node_status(node).await.bundle == Some(2);
            gateway.until("each node has the configuration", has_it).await;
        }
        failure.recover(&gateway, first_watcher);
    }
}

async fn closed_halls(gateway: &Gateway, node: usize) -> Vec<String> {
    let status = call(&gateway.metrics(node), request("GET", "/status", "", "")).await;
    serde_json::from_str::<NodeStatus>(&status.body).unwrap_or_default().closed_halls
}
