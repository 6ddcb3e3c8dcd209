//! Events that must not make a request suspect: broken connections of live replicas, planned shutdowns, and
//! crashes of replicas that run the same frequent call.

use std::time::Duration;

use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;

use crate::crashing_fleet::CrashingFleet;
use crate::crashing_fleet::NODES;
use crate::crashing_fleet::REPLICAS;
use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::request;

/// The time within which a node finds out whether a broken connection was a crash.
const BREAK_CLASSIFIED_WITHIN: Duration = Duration::from_millis(600);

/// Replicas break off streams before their first event, and stay alive.
#[tokio::test]
async fn test_a_broken_stream_of_a_live_replica_is_no_crash() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    fleet.gateway.engines.set_stream_faults([StreamFault::BreaksAfter(0); 6]);
    for _ in 0..6 {
        let called = fleet.attempt(chat).await;
        assert!(!called.whole, "{called:?}");
    }
    tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
    fleet.assert_no_request_suspected();
    assert!(fleet.gateway.logs().contains("event=run_broke"));
    assert!(fleet.attempt(chat).await.whole);
}

#[tokio::test]
async fn test_a_truncated_answer_is_no_crash() {
    let mut fleet = CrashingFleet::start(BOOKING).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_fault(ReplicaFault::TruncatesBody));
    let read = |id: &str| request("GET", "/read/x", KEY, id);
    for _ in 0..6 {
        assert_eq!(fleet.attempt(read).await.status, 502);
    }
    tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
    fleet.assert_no_request_suspected();
    fleet.replicas.iter().for_each(|running| running.replica.set_fault(ReplicaFault::None));
    assert_eq!(fleet.attempt(read).await.status, 200);
}

/// The links to replicas are reset under a stream, and let connections through again.
#[tokio::test]
async fn test_a_reset_link_is_no_crash() {
    let mut fleet = CrashingFleet::start(MODEL).await;
    let mut proxies = Vec::new();
    for running in &fleet.replicas {
        proxies.push(fleet.gateway.put_proxy_before(MODEL, running).await);
    }
    // Wait until the nodes have read the new addresses.
    fleet.gateway.until("a request is served", async || fleet.gateway.call(0, chat("r-0")).await.whole).await;
    for n in 0..2 * NODES {
        let id = format!("r-{n}");
        let calling = fleet.gateway.call(n % NODES, chat(&id));
        let resets = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            proxies.iter().for_each(|proxy| proxy.set(LinkFault::Reset));
            tokio::time::sleep(Duration::from_millis(20)).await;
            proxies.iter().for_each(|proxy| proxy.set(LinkFault::None));
        };
        tokio::join!(calling, resets);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
    fleet.assert_no_request_suspected();
    assert!(fleet.attempt(chat).await.whole);
}

/// A replica announces that it is leaving, and shuts down with a call still running.
#[tokio::test]
async fn test_a_planned_shutdown_makes_no_request_suspect() {
    let mut fleet = CrashingFleet::start(BOOKING).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_fault(ReplicaFault::Hangs));
    for n in 0..REPLICAS {
        let id = format!("r-{n}");
        let calling = fleet.gateway.call(n % NODES, request("GET", "/book/x", KEY, &id));
        let ending = async {
            let reached = || fleet.replicas.iter().find(|running| running.replica.running() > 0);
            fleet.gateway.until("the call arrives at a replica", async || reached().is_some()).await;
            let running = reached().expect("a replica runs the call");
            fleet.gateway.drain(BOOKING, running);
            tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
            running.replica.crash();
        };
        let (called, ()) = tokio::join!(calling, ending);
        assert_eq!(called.status, 502, "{called:?}");
    }
    tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
    fleet.assert_no_request_suspected();
    fleet.add_replica().await;
    let is_served = async || fleet.gateway.status_of(0, "/book/x", KEY).await == 200;
    fleet.gateway.until("a request is served", is_served).await;
}

/// Half of all replicas crash at once, repeatedly, under a frequent call that runs on all of them. As it
/// succeeds on the other replicas, it must not be quarantined, and is served throughout.
#[tokio::test]
async fn test_a_frequent_call_is_served_while_replicas_crash() {
    let mut fleet = CrashingFleet::start(BOOKING).await;
    let slow = ReplicaFault::Late(Duration::from_millis(40));
    let read = |id: &str| request("GET", "/read/x", KEY, id);
    for round in 0..4 {
        fleet.replicas.iter().for_each(|running| running.replica.set_fault(slow));
        let calls = (0..30).map(|n| {
            let id = format!("r-{round}-{n}");
            let (gateway, req) = (&fleet.gateway, read(&id));
            async move {
                tokio::time::sleep(Duration::from_millis(10 * n)).await;
                gateway.call(n as usize % NODES, req).await.status
            }
        });
        let live: Vec<_> = fleet.replicas.iter().filter(|running| !running.replica.has_crashed()).collect();
        let ends = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            live.iter().take(REPLICAS / 2).for_each(|running| running.replica.crash());
        };
        let (statuses, ()) = tokio::join!(futures::future::join_all(calls), ends);
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served >= 27, "{statuses:?}\n{}", fleet.gateway.logs());
        for _ in 0..REPLICAS / 2 {
            fleet.add_replica().await;
        }
        tokio::time::sleep(BREAK_CLASSIFIED_WITHIN).await;
    }
    for node in 0..NODES {
        assert!(!fleet.gateway.log(node).contains("event=request_quarantined"), "{}", fleet.gateway.logs());
        assert_eq!(fleet.gateway.call(node, read("r-last")).await.status, 200);
    }
}
