//! Replicas that announce in a response header that they are leaving.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;
use crate::loaded_fleet::assert_all_served;

const NODES: usize = 6;
/// How long the fleet is under load in each state of the store.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Requests that a node sent before it received the leaving header arrive within this.
const IN_TRANSIT: Duration = Duration::from_secs(1);
/// Maximum latency of an immediate refusal, on a busy machine too.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_secs(1);

type Req = http::Request<http_body_util::Full<bytes::Bytes>>;

async fn start(service: &str, replicas: usize, events: u64) -> LoadedFleet {
    LoadedFleet::start_with(service, NODES, replicas, events, |yaml| yaml).await
}

/// A fleet whose store is unavailable.
async fn start_without_store(service: &str, replicas: usize, events: u64) -> LoadedFleet {
    let fleet = start(service, replicas, events).await;
    fleet.gateway.store.set_fault(StoreFault::Refuses);
    fleet
}

/// Asserts that no node sent a request to a replica later than [`IN_TRANSIT`] after its first request since
/// `announced_at`.
fn assert_unused_after_announcement(fleet: &LoadedFleet, replica: usize, announced_at: Instant) {
    let late: Vec<(usize, usize)> = (0..NODES)
        .map(|node| {
            let arrivals = fleet.arrivals_through(node, replica, announced_at);
            let late = arrivals.iter().filter(|at| **at > arrivals[0] + IN_TRANSIT).count();
            (node, late)
        })
        .filter(|(_, late)| *late > 0)
        .collect();
    assert!(late.is_empty(), "(node, late requests): {late:?}\n{}", fleet.gateway.logs());
}

/// The first of three replicas announces that it is leaving. No node uses it, even after its entry in the
/// store is rewritten with the state `ready`.
async fn check_unused_after_announcement(
    fleet: &LoadedFleet,
    service: &str,
    per_second: &[f64; NODES],
    make: fn(&str) -> Req,
) {
    let announced_at = Instant::now();
    fleet.replicas[0].replica.set_leaving(Some("1"));
    assert_all_served(&fleet.load(per_second, LOAD_DURATION, make).await, fleet);
    fleet.gateway.store.set_fault(StoreFault::None);
    let address = fleet.replicas[0].server.as_ref().expect("it serves").address;
    let mut entry = replica_entry(service, address, "hall-1", "ready");
    entry["slots"] = 9.into();
    fleet.gateway.store.put("servers", &fleet.replicas[0].replica.id, entry);
    assert_all_served(&fleet.load(per_second, LOAD_DURATION, make).await, fleet);
    assert_unused_after_announcement(fleet, 0, announced_at);
}

#[tokio::test]
async fn test_calls_avoid_a_replica_that_sent_the_leaving_header() {
    check_unused_after_announcement(&start_without_store(BOOKING, 3, 4).await, BOOKING, &[8.0; NODES], book)
        .await;
}

/// The store is available, so that the engines' health checks, which report leaving too, are not run.
#[tokio::test]
async fn test_streams_avoid_an_engine_that_sent_the_leaving_header() {
    check_unused_after_announcement(&start(MODEL, 3, 4).await, MODEL, &[8.0; NODES], chat).await;
}

/// The lead of the engines' service is notified of the leaving engine by other nodes only, and the store
/// entry says `ready`.
#[tokio::test]
async fn test_lead_places_nothing_at_an_engine_that_sent_the_leaving_header_to_other_nodes() {
    let mut through_two = [0.0; NODES];
    through_two[..2].fill(24.0);
    check_unused_after_announcement(&start(MODEL, 3, 4).await, MODEL, &through_two, chat).await;
}

/// The leaving header is read from failed responses too, which clients don't receive where the call is
/// retried at another replica.
#[tokio::test]
async fn test_leaving_header_of_a_failed_response_is_read() {
    let fleet = start_without_store(BOOKING, 3, 4).await;
    let announced_at = Instant::now();
    fleet.replicas[0].replica.set_leaving(Some("1"));
    fleet.replicas[0].replica.set_partial_fault(PartialFault {
        fault: ReplicaFault::Fails,
        every_nth: 2,
        prefix: "/read/".to_owned(),
    });
    assert_all_served(&fleet.load(&[8.0; NODES], LOAD_DURATION, read).await, &fleet);
    assert_unused_after_announcement(&fleet, 0, announced_at);
}

/// Nodes that have not received the leaving header themselves are notified by the node that has: the load is
/// sent through one node only.
#[tokio::test]
async fn test_other_nodes_are_notified_of_a_leaving_replica() {
    let fleet = start_without_store(BOOKING, 3, 4).await;
    fleet.replicas[0].replica.set_leaving(Some("1"));
    let mut through_first = [0.0; NODES];
    through_first[0] = 20.0;
    fleet.load(&through_first, LOAD_DURATION / 2, read).await;
    let notified_at = Instant::now();
    assert_all_served(&fleet.load(&[8.0; NODES], LOAD_DURATION, read).await, &fleet);
    let arrivals: Vec<usize> =
        (0..NODES).map(|node| fleet.arrivals_through(node, 0, notified_at).len()).collect();
    assert_eq!(arrivals, [0; NODES], "{}", fleet.gateway.logs());
}

/// A running generation is moved to another engine once a later response of its engine carries the leaving
/// header.
#[tokio::test]
async fn test_generations_move_from_an_engine_that_sent_the_leaving_header() {
    let fleet = start(MODEL, 2, 200).await;
    let client_address = fleet.gateway.client_address(0);
    let running =
        tokio::spawn(async move { crate::gateway_environment::call(&client_address, chat("0-long")).await });
    let runs_at = |fleet: &LoadedFleet| fleet.replicas.iter().position(|r| r.replica.running() > 0);
    fleet.gateway.until("it runs", async || runs_at(&fleet).is_some()).await;
    let engine = runs_at(&fleet).expect("it runs");
    fleet.replicas[engine].replica.set_leaving(Some("1"));
    assert_all_served(&fleet.load(&[1.0; NODES], LOAD_DURATION / 4, tag).await, &fleet);
    let long = running.await.expect("it ends");
    assert_eq!((long.status, long.events(), long.whole), (200, Some(200), true), "{}", fleet.gateway.logs());
    assert!(fleet.replicas[engine].replica.copy_calls() > 0, "{}", fleet.gateway.logs());
    assert_eq!(fleet.replicas[engine].replica.running(), 0);
}

/// When all replicas of a service are leaving, requests are refused at once.
#[tokio::test]
async fn test_calls_are_refused_at_once_when_all_replicas_sent_the_leaving_header() {
    let fleet = start_without_store(BOOKING, 2, 4).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_leaving(Some("1")));
    fleet.load(&[8.0; NODES], LOAD_DURATION, read).await;
    let all_announced_at = Instant::now();
    let answers = fleet.load(&[8.0; NODES], LOAD_DURATION / 2, read).await;
    for TimedCall { called, took, .. } in answers {
        assert_eq!((called.status, called.code()), (503, 2104), "{called:?}\n{}", fleet.gateway.logs());
        assert!(called.header("retry-after").is_some() && took < MAX_REFUSAL_LATENCY, "{took:?} {called:?}");
    }
    for replica in 0..2 {
        assert_eq!(fleet.arrivals(replica, all_announced_at).len(), 0);
    }
}
