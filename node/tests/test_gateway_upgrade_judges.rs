//! Upgrades whose judges end, are suspended or are cut off, and a store that is away from the first: one node's trouble
//! must not keep the others from giving up a bad version, nor let a bad one succeed.

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
use crate::upgraded_fleet::good;

const NODES: usize = 6;
const REPLICAS: usize = 4;
/// Calls a second to each node.
const PER_SECOND: f64 = 40.0;
/// The time that most orders give here.
const WITHIN: Duration = Duration::from_secs(10);
const TURNS_BAD_AT: Duration = Duration::from_secs(3);
/// A node can't be taken for dead sooner than this after its last word.
const BEFORE_A_DEATH_IS_KNOWN: Duration = SUSPICION_TIMEOUT;
/// The operator is told no later than this after the time is over, on a busy machine too.
const TOLD_WITHIN: Duration = Duration::from_secs(3);

fn read(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    request("GET", "/read/x", KEY, id)
}

/// Node 5 gets reads only, all others calls of both routes in turn.
fn reads_at_the_last_node(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let is_even = id.as_bytes().last().is_some_and(|digit| digit % 2 == 0);
    if id.starts_with("5-") || is_even { read(id) } else { request("POST", "/book/x", KEY, id) }
}

fn all_fail(prefix: &str) -> PartialFault {
    PartialFault { fault: ReplicaFault::Fails, every_nth: 1, prefix: prefix.to_owned() }
}

/// Plays an upgrade to a version all of whose answers fail from [`TURNS_BAD_AT`] on, while something happens to
/// the first judges.
async fn check_is_given_up(strike: impl AsyncFnOnce(&UpgradedFleet, &[usize])) {
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judges = fleet.judges();
    let load = fleet.load(PER_SECOND, WITHIN + TOLD_WITHIN, read);
    fleet.order(WITHIN, None).await;
    fleet.at(TURNS_BAD_AT).await;
    let turned_bad = fleet.set_fault(&all_fail("/"));
    strike(&fleet, &judges).await;
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    load.await.expect("the load ends");
    assert_eq!(concluded.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_given_up_within(turned_bad, BEFORE_A_DEATH_IS_KNOWN);
    fleet.assert_exposure(Instant::now());
}

/// Guards against a fleet that sees nothing until the death of its judge is believed.
#[tokio::test]
async fn test_a_bad_version_is_given_up_while_its_judge_ends() {
    check_is_given_up(async |fleet, judges| fleet.gateway().signal(judges[0], "-KILL")).await;
}

/// Guards against the same where the next judge ends with the first one.
#[tokio::test]
async fn test_a_bad_version_is_given_up_while_two_judges_end() {
    check_is_given_up(async |fleet, judges| {
        fleet.gateway().signal(judges[0], "-KILL");
        fleet.gateway().signal(judges[1], "-KILL");
    })
    .await;
}

/// Guards against a fleet that waits for a judge that is there and does nothing.
#[tokio::test]
async fn test_a_bad_version_is_given_up_while_its_judge_is_suspended() {
    check_is_given_up(async |fleet, judges| {
        let judge = judges[0];
        fleet.gateway().signal(judge, "-STOP");
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        fleet.gateway().signal(judge, "-CONT");
    })
    .await;
}

/// Guards against the next judge that tells a success by its own counts alone, as the others report to it only once they
/// believe in the death of the first.
#[tokio::test]
async fn test_a_version_that_fails_later_is_reverted_while_its_judge_is_suspended() {
    const WITHIN: Duration = Duration::from_secs(6);
    let plays = [1_500, 1_900, 2_300].map(|suspended_at_ms| async move {
        let mut fleet = UpgradedFleet::start(BOOKING, 10, REPLICAS).await;
        let judge = fleet.judges()[0];
        let load = fleet.load(25.0, WITHIN + TOLD_WITHIN, read);
        fleet.order(WITHIN, None).await;
        fleet.at(Duration::from_millis(suspended_at_ms)).await;
        fleet.gateway().signal(judge, "-STOP");
        fleet.at(TURNS_BAD_AT).await;
        fleet.set_fault(&PartialFault { every_nth: 3, ..all_fail("/") });
        let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
        fleet.gateway().signal(judge, "-CONT");
        load.await.expect("the load ends");
        let logs = fleet.logs();
        assert_eq!(concluded.state, "rolled_back", "suspended at {suspended_at_ms} ms\n{logs}");
    });
    futures::future::join_all(plays).await;
}

/// Plays an upgrade to a good version while something happens to the first judges; returns when the operator was
/// told, from the order on.
async fn play_good(strike: impl AsyncFnOnce(&UpgradedFleet, &[usize])) -> (UpgradedFleet, Duration) {
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judges = fleet.judges();
    let load = fleet.load(PER_SECOND, WITHIN + TOLD_WITHIN, read);
    fleet.order(WITHIN, None).await;
    strike(&fleet, &judges).await;
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    let told = fleet.since_order(concluded.at);
    load.abort();
    (fleet, told)
}

/// Guards against an operator who is told of a success after the time is over, as the judge ended late in it.
#[tokio::test]
async fn test_a_success_is_told_in_time_though_the_judge_ends_late() {
    let (fleet, told) = play_good(async |fleet, judges| {
        fleet.at(Duration::from_secs(7)).await;
        fleet.gateway().signal(judges[0], "-KILL");
    })
    .await;
    assert!(told <= WITHIN, "told after {told:?}\n{}", fleet.logs());
}

/// Guards against an operator who is told of a success after the time is over, as nobody wrote it in place of the node
/// that follows the store first.
#[tokio::test]
async fn test_a_success_is_told_in_time_though_who_writes_it_is_away() {
    for signal in ["-KILL", "-STOP"] {
        let (fleet, told) = play_good(async |fleet, _judges| {
            fleet.at(Duration::from_millis(8_700)).await;
            fleet.gateway().signal(fleet.first_watcher(), signal);
        })
        .await;
        assert!(told <= WITHIN, "{signal}: told after {told:?}\n{}", fleet.logs());
    }
}

/// Guards against a fleet that can't tell a success any more after half of it has gone.
#[tokio::test]
async fn test_a_success_is_told_though_half_of_the_nodes_end() {
    play_good(async |fleet, judges| {
        fleet.at(Duration::from_millis(6_500)).await;
        judges[..NODES / 2].iter().for_each(|node| fleet.gateway().signal(*node, "-KILL"));
    })
    .await;
}

/// Guards against a node that knows no other, takes itself for the fleet and tells a success by its own counts.
#[tokio::test]
async fn test_a_node_that_is_cut_off_tells_no_success() {
    const WITHIN: Duration = Duration::from_secs(5);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES - 1, REPLICAS).await;
    let judge = fleet.judges()[0];
    let cut_off = fleet.start_cut_off_node().await;
    let is_alone = async || fleet.gateway().log(cut_off).contains("liveness=Dead");
    fleet.gateway().until("it takes its seed for dead", is_alone).await;
    let mut per_second = vec![25.0; NODES - 1];
    per_second.push(PER_SECOND);
    let load = fleet.load_each(per_second, WITHIN + TOLD_WITHIN, reads_at_the_last_node);
    fleet.order(WITHIN, None).await;
    fleet.at(Duration::from_secs(2)).await;
    fleet.gateway().signal(judge, "-STOP");
    fleet.at(Duration::from_millis(2_500)).await;
    // The node that is cut off gets no call on that route.
    fleet.set_fault(&all_fail("/book/"));
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    fleet.gateway().signal(judge, "-CONT");
    load.await.expect("the load ends");
    assert_eq!(concluded.state, "rolled_back", "node {cut_off} is cut off\n{}", fleet.logs());
}

fn all_but(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

/// Suspends nodes from 2.5 s after the order on; returns at a moment after it, with the nodes still suspended.
async fn suspend_until(fleet: &UpgradedFleet, nodes: &[usize], until: Duration) {
    fleet.at(Duration::from_millis(2_500)).await;
    nodes.iter().for_each(|node| fleet.gateway().signal(*node, "-STOP"));
    fleet.at(until).await;
}

/// Guards against a judge that tells a success by what others reported before they fell silent.
#[tokio::test]
async fn test_a_success_waits_for_nodes_that_were_heard_long_ago() {
    const WITHIN: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judge = fleet.judges()[0];
    let others = all_but(judge);
    // All callers are at the judge, so that no calls pile up at the others.
    let per_second = (0..NODES).map(|node| if node == judge { PER_SECOND } else { 0.0 }).collect();
    let load = fleet.load_each(per_second, 2 * WITHIN, read);
    fleet.order(WITHIN, None).await;
    suspend_until(&fleet, &others, WITHIN + Duration::from_secs(1)).await;
    assert_eq!(fleet.status()["state"], "running", "one of six was heard\n{}", fleet.logs());
    others.iter().for_each(|node| fleet.gateway().signal(*node, "-CONT"));
    let concluded = fleet.conclude(WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    load.await.expect("the load ends");
}

/// Guards against a good version that is given up as slow, by times that the nodes' own suspension and what had queued up in it
/// have lengthened.
#[tokio::test]
async fn test_a_good_version_is_kept_though_most_nodes_were_suspended() {
    const WITHIN: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let judge = fleet.judges()[0];
    let others = all_but(judge);
    let load = fleet.load(PER_SECOND, 2 * WITHIN, read);
    fleet.order(WITHIN, None).await;
    suspend_until(&fleet, &others, WITHIN + Duration::from_secs(1)).await;
    others.iter().for_each(|node| fleet.gateway().signal(*node, "-CONT"));
    let concluded = fleet.conclude(WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    load.await.expect("the load ends");
}

/// Guards against a share that is exceeded, or an operator who is never told, where the store goes away before it
/// took the first status.
#[tokio::test]
async fn test_the_share_holds_while_the_store_is_away_before_the_operator_was_told() {
    const WITHIN: Duration = Duration::from_secs(6);
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let load = fleet.load(25.0, 2 * WITHIN + TOLD_WITHIN, read);
    fleet.gateway().store.set_fault(StoreFault::RefusesWrites);
    fleet.order(WITHIN, None).await;
    let all_know = async || {
        let knows = |node| fleet.gateway().log(node).contains("event=upgrade_stage");
        (0..NODES).all(knows)
            && fleet.new.iter().any(|running| !running.replica.received_requests().is_empty())
    };
    fleet.gateway().until("all know the order", all_know).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    fleet.at(WITHIN + Duration::from_secs(1)).await;
    assert_eq!(fleet.status(), Value::Null, "nobody can be told\n{}", fleet.logs());
    fleet.assert_exposure(Instant::now());
    fleet.gateway().store.set_fault(StoreFault::None);
    let concluded = fleet.conclude(WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    assert!(good(&answers) == 1.0, "{}", fleet.logs());
    let statuses = fleet.gateway().store.statuses("rollouts", BOOKING);
    assert_eq!(statuses.last(), Some(&json!({"state": "succeeded", "targetVersion": "v2"})), "{statuses:?}");
}
