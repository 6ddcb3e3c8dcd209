//! Upgrades of a service's software: a bad version is detected and gets few requests, a good one takes over
//! without a lost request, and the outcome is reported to the operator in time.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::request;
use crate::upgraded_fleet::OrderOutcome;
use crate::upgraded_fleet::UpgradedFleet;
use crate::upgraded_fleet::partial_fault;
use crate::upgraded_fleet::success_share;

/// The duration that an order specifies.
const ORDER_DURATION: Duration = Duration::from_secs(6);
/// The number of calls a second to each node.
const PER_SECOND: f64 = 25.0;
const REPLICAS: usize = 4;
/// The outcome is reported no later than this after the order's duration, on a busy machine too.
const REPORTED_WITHIN: Duration = Duration::from_secs(3);

/// The number of nodes: ten, or as set in the environment (`LEADSTAGE_UPGRADE_NODES=60`).
fn nodes() -> usize {
    let nodes = std::env::var("LEADSTAGE_UPGRADE_NODES").ok();
    nodes.map_or(10, |text| text.parse().expect("LEADSTAGE_UPGRADE_NODES is a number"))
}

/// Repeatable and non-repeatable calls in turn.
fn calls(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let is_even = id.as_bytes().last().is_some_and(|digit| digit % 2 == 0);
    let (method, path) = if is_even { ("GET", "/read/x") } else { ("POST", "/book/x") };
    request(method, path, KEY, id)
}

/// Runs an upgrade to a version that begins to fail after `delay`; returns its outcome.
async fn run_bad_upgrade(
    bad: Option<leadstage_testutils::gateway_replica::PartialFault>,
    delay: Duration,
) -> (UpgradedFleet, OrderOutcome) {
    let mut fleet = UpgradedFleet::start(BOOKING, nodes(), REPLICAS).await;
    let load = fleet.load(PER_SECOND, ORDER_DURATION + REPORTED_WITHIN + Duration::from_secs(3), calls);
    let at_once = bad.clone().filter(|_| delay.is_zero());
    fleet.start_upgrade(ORDER_DURATION, at_once).await;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
        let bad = bad.expect("a fault");
        fleet.new.iter().for_each(|running| running.replica.set_partial_fault(bad.clone()));
    }
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    fleet.assert_exposure(outcome.at);
    load.await.expect("the load ends");
    (fleet, outcome)
}

async fn check_is_reverted(bad: Option<leadstage_testutils::gateway_replica::PartialFault>, delay: Duration) {
    let (fleet, outcome) = run_bad_upgrade(bad, delay).await;
    assert_eq!(outcome.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_no_later_requests(&outcome);
    let statuses = fleet.gateway().store.statuses("rollouts", BOOKING);
    let running = json!({"state": "running", "targetVersion": "v2"});
    let rolled_back = json!({"state": "rolled_back", "targetVersion": "v2"});
    assert_eq!(statuses, [json!(null), running, rolled_back]);
}

#[tokio::test]
async fn test_a_version_that_fails_from_the_start_is_reverted() {
    check_is_reverted(partial_fault(ReplicaFault::Fails, 3, "/"), Duration::ZERO).await;
}

#[tokio::test]
async fn test_a_version_that_fails_later_is_reverted() {
    check_is_reverted(partial_fault(ReplicaFault::Fails, 3, "/"), Duration::from_secs(3)).await;
}

#[tokio::test]
async fn test_a_version_that_fails_on_one_route_is_reverted() {
    check_is_reverted(partial_fault(ReplicaFault::Fails, 2, "/book/"), Duration::ZERO).await;
}

#[tokio::test]
async fn test_a_version_that_answers_slowly_is_reverted() {
    check_is_reverted(partial_fault(ReplicaFault::Late(Duration::from_millis(400)), 2, "/"), Duration::ZERO)
        .await;
}

#[tokio::test]
async fn test_a_good_version_takes_over_without_a_lost_call() {
    let mut fleet = UpgradedFleet::start(BOOKING, nodes(), REPLICAS).await;
    let load = fleet.load(PER_SECOND, ORDER_DURATION + REPORTED_WITHIN, calls);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    for answer in &answers {
        assert!(answer.called.status == 200 && answer.called.whole, "{answer:?}\n{}", fleet.logs());
    }
    let statuses = fleet.gateway().store.statuses("rollouts", BOOKING);
    assert_eq!(statuses.last(), Some(&json!({"state": "succeeded", "targetVersion": "v2"})), "{statuses:?}");
}

#[tokio::test]
async fn test_streams_move_to_a_good_version_before_the_old_one_ends() {
    let mut fleet = UpgradedFleet::start(MODEL, 3, REPLICAS).await;
    let load = fleet.load(4.0, ORDER_DURATION + REPORTED_WITHIN, chat);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    let whole =
        answers.iter().filter(|answer| answer.called.whole && answer.called.events() == Some(150)).count();
    assert_eq!(whole, answers.len(), "{}", fleet.logs());
    assert!((0..3).any(|node| fleet.gateway().log(node).contains("event=moved")), "{}", fleet.logs());
}

#[tokio::test]
async fn test_an_upgrade_continues_after_half_of_the_nodes_are_killed() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, ORDER_DURATION + REPORTED_WITHIN, calls);
    fleet.start_upgrade(ORDER_DURATION, partial_fault(ReplicaFault::Fails, 4, "/")).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    // The node that writes the status and the judge may be among them.
    for node in [0, 2, 4] {
        fleet.gateway().signal(node, "-KILL");
    }
    let outcome = fleet.finish_order(ORDER_DURATION + 2 * REPORTED_WITHIN).await;
    assert_eq!(outcome.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_exposure(outcome.at);
    load.await.expect("the load ends");
    fleet.assert_no_later_requests(&outcome);
}

#[tokio::test]
async fn test_the_exposure_share_holds_while_the_store_is_unavailable() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, 2 * ORDER_DURATION + REPORTED_WITHIN, calls);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    // The first store watcher writes the status in its next pass, if the store accepts it by then.
    let all_know = async || {
        let mut know = 0;
        for node in 0..6 {
            know += usize::from(fleet.gateway().log(node).contains("event=upgrade_stage"));
        }
        let is_reported = fleet.status()["state"] == "running";
        know == 6
            && is_reported
            && fleet.new.iter().any(|running| !running.replica.received_requests().is_empty())
    };
    fleet.gateway().until("all nodes know the order", all_know).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(ORDER_DURATION + Duration::from_secs(1)).await;
    assert_eq!(
        fleet.status()["state"],
        "running",
        "the status changed while the store was unavailable\n{}",
        fleet.logs()
    );
    fleet.assert_exposure(std::time::Instant::now());
    fleet.gateway().store.set_fault(StoreFault::None);
    let outcome = fleet.finish_order(ORDER_DURATION).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    assert!(success_share(&answers) == 1.0, "{}", fleet.logs());
}

#[tokio::test]
async fn test_a_bad_version_is_reverted_while_the_store_is_unavailable() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, 2 * ORDER_DURATION, calls);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    let receives_requests =
        async || fleet.new.iter().any(|running| !running.replica.received_requests().is_empty());
    fleet.gateway().until("the new version gets a request", receives_requests).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    let bad = partial_fault(ReplicaFault::Fails, 2, "/").expect("a fault");
    fleet.new.iter().for_each(|running| running.replica.set_partial_fault(bad.clone()));
    let reverted = async || {
        fleet.gateway().logs().contains("stage=reverted")
            || (0..6).any(|node| fleet.gateway().log(node).contains("stage=reverted"))
    };
    fleet.gateway().until("the new version is reverted", reverted).await;
    let reverted = OrderOutcome { state: String::new(), at: std::time::Instant::now() };
    fleet.gateway().store.set_fault(StoreFault::None);
    let outcome = fleet.finish_order(ORDER_DURATION).await;
    assert_eq!(outcome.state, "rolled_back", "{}", fleet.logs());
    load.await.expect("the load ends");
    fleet.assert_exposure(std::time::Instant::now());
    fleet.assert_no_later_requests(&reverted);
}

#[tokio::test]
async fn test_invalid_orders_change_nothing() {
    let mut fleet = UpgradedFleet::start(BOOKING, 2, 2).await;
    let store = fleet.gateway().store.clone();
    let load = fleet.load(PER_SECOND, Duration::from_secs(4), calls);
    fleet.put_order(-5.0);
    store.put("rollouts", "nothing", json!({"service": "other", "targetVersion": "v2", "durationS": 5}));
    store.put("rollouts", MODEL, json!("no order"));
    for name in [BOOKING, "nothing", MODEL] {
        let is_reported = async || {
            let status = store.status("rollouts", name).unwrap_or_default();
            status["state"] == "rolled_back" && !status["reason"].as_str().unwrap_or_default().is_empty()
        };
        fleet.gateway().until("the status gives a reason", is_reported).await;
    }
    let refused = async || (0..2).any(|node| fleet.gateway().log(node).contains("event=upgrade_refused"));
    fleet.gateway().until("the refused order is logged", refused).await;
    let answers = load.await.expect("the load ends");
    assert!(success_share(&answers) == 1.0, "{}", fleet.logs());
}

#[tokio::test]
async fn test_a_new_order_replaces_one_in_progress() {
    let mut fleet = UpgradedFleet::start(BOOKING, 2, 2).await;
    let store = fleet.gateway().store.clone();
    let load = fleet.load(PER_SECOND, Duration::from_secs(12), calls);
    // The status of another version was written by something other than the gateway.
    store.put("rollouts", BOOKING, json!({"service": BOOKING, "targetVersion": "v9", "durationS": 60}));
    store.put_status("rollouts", BOOKING, json!({"state": "succeeded", "targetVersion": "v8"}));
    let runs = json!({"state": "running", "targetVersion": "v9"});
    fleet.gateway().until("the order is in progress", async || fleet.status() == runs).await;
    fleet.start_upgrade(Duration::from_secs(4), None).await;
    let outcome = fleet.finish_order(Duration::from_secs(10)).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    assert_eq!(fleet.status(), json!({"state": "succeeded", "targetVersion": "v2"}));
    let answers = load.await.expect("the load ends");
    assert!(success_share(&answers) == 1.0, "{}", fleet.logs());
}
