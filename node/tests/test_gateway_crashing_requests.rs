//! Requests that crash each replica that begins to run them.
//!
//! Guards against a caller that retries such a request at other nodes and with other request ids, and crashes
//! all replicas of a service, each 0.1 s after the request began there and with all other requests on it (13
//! crashes among 12 replicas in 14 s). It comes about if a failed attempt counts against its replica only, as
//! then neither the node that saw the failure nor any other recognises the request. The evidence is that runs
//! that broke before their first event at six nodes share one fingerprint, and that all their replicas were
//! gone afterwards.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::crashing_fleet::CRASHES_UNTIL_QUARANTINE;
use crate::crashing_fleet::CrashingFleet;
use crate::crashing_fleet::MAX_LATE_SENDS;
use crate::crashing_fleet::NODES;
use crate::crashing_fleet::with_crashing_body;
use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// The kind of the store objects for suspect requests.
const KIND: &str = "crash-suspects";

/// Sends the request to all nodes in turn, for longer than they need to quarantine it. After that it must
/// reach hardly any replica, and other requests must be served.
async fn check_is_quarantined(service: &'static str, make_request: impl Fn(&str) -> Request<Full<Bytes>>) {
    let mut fleet = CrashingFleet::start(service).await;
    let crashing_request = |id: &str| with_crashing_body(make_request(id));
    let sends_until_quarantine = fleet.until_quarantined(crashing_request).await;
    for _ in 0..3 * NODES {
        fleet.attempt(crashing_request).await;
    }
    let late = fleet.sends() - sends_until_quarantine;
    assert!(
        late <= MAX_LATE_SENDS,
        "{late} sends after all nodes should have quarantined the request\n{}",
        fleet.gateway.logs()
    );
    for node in 0..NODES {
        let called = fleet.gateway.call(node, make_request("r-sound")).await;
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
}

#[tokio::test]
async fn test_a_stream_that_crashes_its_replicas_is_no_longer_sent() {
    check_is_quarantined(MODEL, chat).await;
}

#[tokio::test]
async fn test_a_call_that_crashes_its_replicas_is_no_longer_sent() {
    check_is_quarantined(BOOKING, |id| request("GET", "/read/x", KEY, id)).await;
}

#[tokio::test]
async fn test_a_resumable_stream_that_crashes_its_replicas_is_no_longer_sent() {
    check_is_quarantined(MODEL, tag).await;
}

/// All nodes refuse a quarantined request at once, with a `retry-after` close to the hour of the quarantine.
#[tokio::test]
async fn test_a_quarantined_request_is_refused_for_the_rest_of_its_quarantine() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    for node in 0..NODES {
        let called = fleet.gateway.call(node, with_crashing_body(chat("r-known"))).await;
        assert_eq!((called.status, called.code()), (503, 2111), "{called:?}");
        let retry_after: f64 = called.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
        assert!((3_000.0..=3_600.0).contains(&retry_after), "{retry_after}");
        assert_eq!(fleet.quarantined(node).await.len(), 1);
        assert!(fleet.gateway.log(node).contains("event=request_quarantined"));
    }
}

/// Nodes keep no state over a restart: after all of them have restarted, they read the quarantine from the
/// store.
#[tokio::test]
async fn test_a_quarantine_survives_a_restart_of_all_nodes() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    let sends_until_quarantine = fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    (0..NODES).for_each(|node| fleet.gateway.kill(node));
    (0..NODES).for_each(|node| fleet.gateway.restart_node(node));
    for node in 0..NODES {
        fleet.gateway.until_ready(node).await;
        fleet
            .gateway
            .until("the quarantine is read from the store", async || fleet.quarantined(node).await.len() == 1)
            .await;
    }
    for _ in 0..2 * NODES {
        fleet.attempt(|id| with_crashing_body(chat(id))).await;
    }
    assert_eq!(fleet.sends(), sends_until_quarantine, "{}", fleet.gateway.logs());
}

/// A node that starts later receives the quarantine from the others, also if the store does not answer it.
#[tokio::test]
async fn test_a_node_that_starts_later_receives_the_quarantine() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let node = fleet.gateway.start_node_at(nowhere);
    fleet.gateway.until("the other nodes report it", async || fleet.quarantined(node).await.len() == 1).await;
}

/// Nodes that reach the store but no other node share a quarantine through the store.
#[tokio::test]
async fn test_nodes_that_reach_only_the_store_share_a_quarantine() {
    let start_node = |gateway: &mut Gateway| gateway.start_lone_node_at(gateway.store_address());
    let mut fleet = CrashingFleet::start_with(MODEL, start_node).await;
    let sends_until_quarantine = fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    for _ in 0..2 * NODES {
        fleet.attempt(|id| with_crashing_body(chat(id))).await;
    }
    let late = fleet.sends() - sends_until_quarantine;
    assert!(
        late <= MAX_LATE_SENDS && sends_until_quarantine <= 2 * CRASHES_UNTIL_QUARANTINE,
        "{late}, {sends_until_quarantine}"
    );
    assert!(fleet.gateway.logs().contains("event=request_quarantined"), "{}", fleet.gateway.logs());
}

/// An operator lifts a quarantine by removing its store object after the software of the replicas was fixed.
#[tokio::test]
async fn test_an_operator_lifts_a_quarantine() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_crash_on(None));
    let names = fleet.gateway.store.names(KIND);
    assert_eq!(names.len(), 1);
    fleet.gateway.store.delete(KIND, &names[0]);
    for node in 0..NODES {
        fleet
            .gateway
            .until("the quarantine is lifted", async || fleet.quarantined(node).await.is_empty())
            .await;
        let called = fleet.gateway.call(node, with_crashing_body(chat("r-lifted"))).await;
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
    assert!(fleet.gateway.store.names(KIND).is_empty(), "no node writes the removed object again");
}
