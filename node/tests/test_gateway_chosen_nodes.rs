//! Places that one node holds, chosen by a hash over who is believed to be alive: what callers get between the moment
//! at which it ends or is suspended and the belief in its death.

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
/// As long as a death may go unbelieved, and a little longer.
const AWAY_FOR: Duration = Duration::from_millis(4_500);
/// Nothing goes to a closed hall later than this after it was closed.
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);

/// What happens to the node that holds the place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strike {
    Ends,
    IsSuspended,
}

impl Strike {
    const ALL: [Strike; 2] = [Strike::Ends, Strike::IsSuspended];

    fn strike(self, gateway: &Gateway, node: usize) {
        gateway.signal(node, if self == Strike::Ends { "-KILL" } else { "-STOP" });
    }

    fn end(self, gateway: &Gateway, node: usize) {
        if self == Strike::IsSuspended {
            gateway.signal(node, "-CONT");
        }
    }
}

/// The node that a name is hashed to.
fn chosen(gateway: &Gateway, name: &str) -> usize {
    let peers: Vec<String> = (0..NODES).map(|node| gateway.peer(node)).collect();
    let first = rendezvous::pick(name, &peers).expect("there are nodes");
    peers.iter().position(|peer| peer == first).expect("one of them")
}

/// A rate for each node but one.
fn rates_without(node: usize, rate: f64) -> Vec<f64> {
    (0..NODES).map(|other| if other == node { 0.0 } else { rate }).collect()
}

/// A lead that is silent is passed over by each node that asks it.
#[tokio::test]
async fn test_streams_begin_while_the_lead_of_their_service_is_away() {
    for strike in Strike::ALL {
        let fleet = LoadedFleet::start_with(MODEL, NODES, 4, 20, |yaml| yaml).await;
        let lead = chosen(&fleet.gateway, MODEL);
        strike.strike(&fleet.gateway, lead);
        let answers = fleet.load(&rates_without(lead, 3.0), AWAY_FOR, chat).await;
        strike.end(&fleet.gateway, lead);
        for answer in &answers {
            let is_whole = answer.called.whole && answer.called.events() == Some(20);
            assert!(is_whole, "{strike:?} {answer:?}\n{}", fleet.gateway.logs());
        }
    }
}

/// Whoever grants what a replica's limit allows is replaced by a substitute, whose grants and its own later ones keep
/// to the limit together.
#[tokio::test]
async fn test_a_limit_is_kept_while_who_grants_it_is_away() {
    for strike in Strike::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let limits = [4.0];
        let binds = fleet.announce_limits(&limits);
        let granter = chosen(&fleet.gateway, "booking-1");
        let rates = rates_without(granter, 8.0);
        fleet.load(&rates, LIMIT_APPLIES_AFTER, read).await;
        strike.strike(&fleet.gateway, granter);
        let away = Instant::now();
        fleet.load(&rates, AWAY_FOR, read).await;
        strike.end(&fleet.gateway, granter);
        fleet.load(&rates, Duration::from_secs(4), read).await;
        fleet.assert_limits_kept(&limits, binds);
        let got = fleet.arrivals(0, away).into_iter().filter(|at| *at < away + AWAY_FOR).count();
        assert!(got > 0, "{strike:?}: nobody used the limit\n{}", fleet.gateway.logs());
    }
}

/// The standbys of who follows the store first tell all others what it would have told.
#[tokio::test]
async fn test_halls_are_closed_in_time_while_who_follows_the_store_is_away() {
    for strike in Strike::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let gateway = &fleet.gateway;
        let first = chosen(gateway, "store watchers");
        strike.strike(gateway, first);
        let closed_at = Instant::now();
        gateway.store.put("evacuations", "hall-1", json!({}));
        for node in (0..NODES).filter(|node| *node != first) {
            gateway.until("it is known", async || closed_halls(gateway, node).await == ["hall-1"]).await;
        }
        let known_after = closed_at.elapsed();
        strike.end(gateway, first);
        assert!(known_after < EVACUATED_WITHIN, "{strike:?}: {known_after:?}\n{}", gateway.logs());
        gateway
            .until("the first knows, too", async || {
                strike == Strike::Ends || closed_halls(gateway, first).await == ["hall-1"]
            })
            .await;
    }
}

/// A new configuration reaches all nodes in that time, too.
#[tokio::test]
async fn test_a_configuration_spreads_while_who_follows_the_store_is_away() {
    for strike in Strike::ALL {
        let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
        let gateway: Arc<Gateway> = fleet.gateway.clone();
        let first = chosen(&gateway, "store watchers");
        strike.strike(&gateway, first);
        gateway.store.put("config", "main", config(2));
        for node in (0..NODES).filter(|node| *node != first) {
            let has_it = async || gateway.node_status(node).await.bundle == Some(2);
            gateway.until("each node has the configuration", has_it).await;
        }
        strike.end(&gateway, first);
    }
}

async fn closed_halls(gateway: &Gateway, node: usize) -> Vec<String> {
    let status = call(&gateway.metrics(node), request("GET", "/status", "", "")).await;
    serde_json::from_str::<NodeStatus>(&status.body).unwrap_or_default().closed_halls
}
