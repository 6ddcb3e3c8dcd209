//! Upgrades whose judges are killed, suspended or isolated, or whose store is unavailable from the start: the
//! failure of one node must neither keep the others from reverting a bad version nor let a bad one succeed.

use std::time::Duration;
use std::time::Instant;

use leadstage_lib::membership::SUSPICION_TIMEOUT;
use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use serde_json::Value;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::request;
use crate::upgraded_fleet::UpgradedFleet;
use crate::upgraded_fleet::success_share;

const NODES: usize = 6;
const REPLICAS: usize = 4;
/// The number of calls a second to each node.
const PER_SECOND: f64 = 40.0;
/// The duration that most orders here specify.
const ORDER_DURATION: Duration = Duration::from_secs(10);
const FAILS_AFTER: Duration = Duration::from_secs(3);
/// The minimum time after its last message at which a node is considered dead.
const MIN_FAILURE_DETECTION: Duration = SUSPICION_TIMEOUT;
/// The outcome is reported no later than this after the order's duration, on a busy machine too.
const REPORTED_WITHIN: Duration = Duration::from_secs(3);

fn read(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    request("GET", "/read/x", KEY, id)
}

/// Node 5 gets only reads; all other nodes get calls of both routes in turn.
fn reads_only_at_the_last_node(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let is_even = id.as_bytes().last().is_some_and(|digit| digit % 2 == 0);
    if id.starts_with("5-") || is_even { read(id) } else { request("POST", "/book/x", KEY, id) }
}

fn all_fail(prefix: &str) -> PartialFault {
    PartialFault { fault: ReplicaFault::Fails, every_nth: 1, prefix: prefix.to_owned() }
}

/// Runs an upgrade to a version whose answers all fail from [`FAILS_AFTER`] on, with a fault injected into
/// the first judges, and checks that it is reverted.
async fn check_is_reverted(inject_fault: impl AsyncFnOnce(&UpgradedFleet, &[usize])) {
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judges = fleet.judges();
    let load = fleet.load(PER_SECOND, ORDER_DURATION + REPORTED_WITHIN, read);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    fleet.sleep_until(FAILS_AFTER).await;
    let failing_since = fleet.set_fault(&all_fail("/"));
    inject_fault(&fleet, &judges).await;
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    load.await.expect("the load ends");
    assert_eq!(outcome.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_reverted_within(failing_since, MIN_FAILURE_DETECTION);
    fleet.assert_exposure(Instant::now());
}

/// Guards against a fleet that detects no bad version until it considers its judge dead.
#[tokio::test]
async fn test_a_bad_version_is_reverted_while_its_judge_is_killed() {
    check_is_reverted(async |fleet, judges| fleet.gateway().signal(judges[0], "-KILL")).await;
}

/// Guards against the same if the next judge is killed together with the first one.
#[tokio::test]
async fn test_a_bad_version_is_reverted_while_two_judges_are_killed() {
    check_is_reverted(async |fleet, judges| {
        fleet.gateway().signal(judges[0], "-KILL");
        fleet.gateway().signal(judges[1], "-KILL");
    })
    .await;
}

/// Guards against a fleet that waits for a judge that is running but suspended.
#[tokio::test]
async fn test_a_bad_version_is_reverted_while_its_judge_is_suspended() {
    check_is_reverted(async |fleet, judges| {
        let judge = judges[0];
        fleet.gateway().signal(judge, "-STOP");
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        fleet.gateway().signal(judge, "-CONT");
    })
    .await;
}

/// Guards against a next judge that declares a success by its own counts alone, because the other nodes
/// report to it only once they consider the first judge dead.
#[tokio::test]
async fn test_a_version_that_fails_later_is_reverted_while_its_judge_is_suspended() {
    const ORDER_DURATION: Duration = Duration::from_secs(6);
    let runs = [1_500, 1_900, 2_300].map(|suspended_at_ms| async move {
        let mut fleet = UpgradedFleet::start(BOOKING, 10, REPLICAS).await;
        let judge = fleet.judges()[0];
        let load = fleet.load(25.0, ORDER_DURATION + REPORTED_WITHIN, read);
        fleet.start_upgrade(ORDER_DURATION, None).await;
        fleet.sleep_until(Duration::from_millis(suspended_at_ms)).await;
        fleet.gateway().signal(judge, "-STOP");
        fleet.sleep_until(FAILS_AFTER).await;
        fleet.set_fault(&PartialFault { every_nth: 3, ..all_fail("/") });
        let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
        fleet.gateway().signal(judge, "-CONT");
        load.await.expect("the load ends");
        let logs = fleet.logs();
        assert_eq!(outcome.state, "rolled_back", "suspended at {suspended_at_ms} ms\n{logs}");
    });
    futures::future::join_all(runs).await;
}

/// Runs an upgrade to a good version with a fault injected into the first judges; returns the time from the
/// order until its success was reported.
async fn run_good_upgrade(
    inject_fault: impl AsyncFnOnce(&UpgradedFleet, &[usize]),
) -> (UpgradedFleet, Duration) {
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judges = fleet.judges();
    let load = fleet.load(PER_SECOND, ORDER_DURATION + REPORTED_WITHIN, read);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    inject_fault(&fleet, &judges).await;
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    let reported_after = fleet.since_order(outcome.at);
    load.abort();
    (fleet, reported_after)
}

/// Guards against a success that is reported only after the order's duration because the judge was killed
/// late in it.
#[tokio::test]
async fn test_a_success_is_reported_in_time_though_the_judge_is_killed_late() {
    let (fleet, reported_after) = run_good_upgrade(async |fleet, judges| {
        fleet.sleep_until(Duration::from_secs(7)).await;
        fleet.gateway().signal(judges[0], "-KILL");
    })
    .await;
    assert!(reported_after <= ORDER_DURATION, "reported after {reported_after:?}\n{}", fleet.logs());
}

/// Guards against a success that is reported only after the order's duration because no node wrote the status
/// in place of the first store watcher.
#[tokio::test]
async fn test_a_success_is_reported_in_time_though_the_first_store_watcher_is_unavailable() {
    for signal in ["-KILL", "-STOP"] {
        let (fleet, reported_after) = run_good_upgrade(async |fleet, _judges| {
            fleet.sleep_until(Duration::from_millis(8_700)).await;
            fleet.gateway().signal(fleet.first_watcher(), signal);
        })
        .await;
        assert!(
            reported_after <= ORDER_DURATION,
            "{signal}: reported after {reported_after:?}\n{}",
            fleet.logs()
        );
    }
}

/// Guards against a fleet that can no longer report a success once half of its nodes are gone.
#[tokio::test]
async fn test_a_success_is_reported_though_half_of_the_nodes_are_killed() {
    run_good_upgrade(async |fleet, judges| {
        fleet.sleep_until(Duration::from_millis(6_500)).await;
        judges[..NODES / 2].iter().for_each(|node| fleet.gateway().signal(*node, "-KILL"));
    })
    .await;
}

/// Guards against a node that knows no other node, treats itself as the whole fleet and reports a success
/// by its own counts.
#[tokio::test]
async fn test_an_isolated_node_reports_no_success() {
    const ORDER_DURATION: Duration = Duration::from_secs(5);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES - 1, REPLICAS).await;
    let judge = fleet.judges()[0];
    let isolated_node = fleet.start_isolated_node().await;
    let is_isolated = async || fleet.gateway().log(isolated_node).contains("liveness=Dead");
    fleet.gateway().until("the isolated node considers its seed dead", is_isolated).await;
    let mut per_second = vec![25.0; NODES - 1];
    per_second.push(PER_SECOND);
    let load =
        fleet.load_with_rates(per_second, ORDER_DURATION + REPORTED_WITHIN, reads_only_at_the_last_node);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    fleet.sleep_until(Duration::from_secs(2)).await;
    fleet.gateway().signal(judge, "-STOP");
    fleet.sleep_until(Duration::from_millis(2_500)).await;
    // The isolated node gets no calls on that route.
    fleet.set_fault(&all_fail("/book/"));
    let outcome = fleet.finish_order(ORDER_DURATION + REPORTED_WITHIN).await;
    fleet.gateway().signal(judge, "-CONT");
    load.await.expect("the load ends");
    assert_eq!(outcome.state, "rolled_back", "node {isolated_node} is isolated\n{}", fleet.logs());
}

fn all_but(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

/// Suspends nodes 2.5 s after the order; returns at `until` after the order, with the nodes still suspended.
async fn suspend_until(fleet: &UpgradedFleet, nodes: &[usize], until: Duration) {
    fleet.sleep_until(Duration::from_millis(2_500)).await;
    nodes.iter().for_each(|node| fleet.gateway().signal(*node, "-STOP"));
    fleet.sleep_until(until).await;
}

/// Guards against a judge that declares a success by old reports of nodes that have since fallen silent.
#[tokio::test]
async fn test_a_success_waits_for_nodes_whose_reports_are_old() {
    const ORDER_DURATION: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judge = fleet.judges()[0];
    let others = all_but(judge);
    // All callers use the judge, so that no calls queue up at the other nodes.
    let per_second = (0..NODES).map(|node| if node == judge { PER_SECOND } else { 0.0 }).collect();
    let load = fleet.load_with_rates(per_second, 2 * ORDER_DURATION, read);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    suspend_until(&fleet, &others, ORDER_DURATION + Duration::from_secs(1)).await;
    assert_eq!(fleet.status()["state"], "running", "only one of six nodes has reported\n{}", fleet.logs());
    others.iter().for_each(|node| fleet.gateway().signal(*node, "-CONT"));
    let outcome = fleet.finish_order(ORDER_DURATION).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    load.await.expect("the load ends");
}

/// Guards against a good version that is reverted as slow because the suspension of the nodes themselves, and
/// the requests that queued up during it, increased the measured times.
#[tokio::test]
async fn test_a_good_version_succeeds_after_most_nodes_were_suspended() {
    const ORDER_DURATION: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judge = fleet.judges()[0];
    let others = all_but(judge);
    let load = fleet.load(PER_SECOND, 2 * ORDER_DURATION, read);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    suspend_until(&fleet, &others, ORDER_DURATION + Duration::from_secs(1)).await;
    others.iter().for_each(|node| fleet.gateway().signal(*node, "-CONT"));
    let outcome = fleet.finish_order(ORDER_DURATION).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    load.await.expect("the load ends");
}

/// Guards against an exceeded exposure share, and against an outcome that is never reported, if the store
/// becomes unavailable before it accepted the first status.
#[tokio::test]
async fn test_the_exposure_share_holds_while_the_store_is_unavailable_before_the_first_status() {
    const ORDER_DURATION: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let load = fleet.load(25.0, 2 * ORDER_DURATION + REPORTED_WITHIN, read);
    fleet.gateway().store.set_fault(StoreFault::RefusesWrites);
    fleet.start_upgrade(ORDER_DURATION, None).await;
    let all_know = async || {
        let knows = |node| fleet.gateway().log(node).contains("event=upgrade_stage");
        (0..NODES).all(knows)
            && fleet.new.iter().any(|running| !running.replica.received_requests().is_empty())
    };
    fleet.gateway().until("all nodes know the order", all_know).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    fleet.sleep_until(ORDER_DURATION + Duration::from_secs(1)).await;
    assert_eq!(
        fleet.status(),
        Value::Null,
        "the store accepted a status while it was unavailable\n{}",
        fleet.logs()
    );
    fleet.assert_exposure(Instant::now());
    fleet.gateway().store.set_fault(StoreFault::None);
    let outcome = fleet.finish_order(ORDER_DURATION).await;
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    assert!(success_share(&answers) == 1.0, "{}", fleet.logs());
    let statuses = fleet.gateway().store.statuses("rollouts", BOOKING);
    assert_eq!(statuses.last(), Some(&json!({"state": "succeeded", "targetVersion": "v2"})), "{statuses:?}");
}
