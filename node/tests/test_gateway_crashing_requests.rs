//! Requests that end each replica that begins to run them.
//!
//! What users saw: one summary of a failed build came again and again, with another request id and at
//! another node each time. Each replica that began it ended 0.1 s later, with all that ran there; 13 of a
//! service's 12 replicas ended in 14 s, and those that had started again ended once more.
//! The order of events: a caller's attempt is sent to one replica; that replica ends, the caller's
//! connection breaks; the caller comes back to another node, which has never heard of the request.
//! The cause: an attempt's end says something of its replica, and nothing of its request, neither at the
//! node that saw it nor at any other.
//! The evidence: the runs that broke before their first event at six nodes carry one fingerprint, that of
//! a request whose replicas were all gone afterwards.

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

/// The store's kind of such requests.
const KIND: &str = "crash-suspects";

/// The request comes at all nodes in turn, for longer than they need to learn of it. It must reach
/// hardly any replica after that, and whatever else there is must be served.
async fn check_is_quarantined(service: &'static str, make_request: impl Fn(&str) -> Request<Full<Bytes>>) {
    let mut fleet = CrashingFleet::start(service).await;
    let crashing_request = |id: &str| with_crashing_body(make_request(id));
    let sends_until_quarantine = fleet.until_quarantined(crashing_request).await;
    for _ in 0..3 * NODES {
        fleet.attempt(crashing_request).await;
    }
    let late = fleet.sends() - sends_until_quarantine;
    assert!(late <= MAX_LATE_SENDS, "{late} sends after everyone could know\n{}", fleet.gateway.logs());
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

/// Each request that everyone knows of gets its answer at once, and is not told to come back soon.
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

/// Nothing that a node knows outlasts it: after all have gone, the store still knows.
#[tokio::test]
async fn test_a_quarantine_survives_a_restart_of_all_nodes() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    let sends_until_quarantine = fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    (0..NODES).for_each(|node| fleet.gateway.kill(node));
    (0..NODES).for_each(|node| fleet.gateway.start_again(node));
    for node in 0..NODES {
        fleet.gateway.until_ready(node).await;
        fleet.gateway.until("it is known", async || fleet.quarantined(node).await.len() == 1).await;
    }
    for _ in 0..2 * NODES {
        fleet.attempt(|id| with_crashing_body(chat(id))).await;
    }
    assert_eq!(fleet.sends(), sends_until_quarantine, "{}", fleet.gateway.logs());
}

/// A node that starts later is told by the others, also where the store answers it nothing.
#[tokio::test]
async fn test_a_node_that_starts_later_receives_the_quarantine() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let node = fleet.gateway.start_node_at(nowhere);
    fleet.gateway.until("it is told", async || fleet.quarantined(node).await.len() == 1).await;
}

/// Nodes that reach the store and no other node learn from it.
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

/// The replicas' software is mended, and an operator removes the request's object.
#[tokio::test]
async fn test_an_operator_lifts_a_quarantine() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.until_quarantined(|id| with_crashing_body(chat(id))).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_ends_on("nothing that comes"));
    let names = fleet.gateway.store.names(KIND);
    assert_eq!(names.len(), 1);
    fleet.gateway.store.delete(KIND, &names[0]);
    for node in 0..NODES {
        fleet.gateway.until("it is lifted", async || fleet.quarantined(node).await.is_empty()).await;
        let called = fleet.gateway.call(node, with_crashing_body(chat("r-lifted"))).await;
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
    assert!(fleet.gateway.store.names(KIND).is_empty(), "nobody writes it again");
}
