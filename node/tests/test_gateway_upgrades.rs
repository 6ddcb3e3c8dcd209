//! Upgrades of a service's software: a bad version is found and gets little, a good one takes over without a lost
//! request, and the operator is told in time.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::request;
use crate::upgraded_fleet::Concluded;
use crate::upgraded_fleet::UpgradedFleet;
use crate::upgraded_fleet::fault;
use crate::upgraded_fleet::good;

/// The time that an order gives.
const WITHIN: Duration = Duration::from_secs(6);
/// Calls a second to each node.
const PER_SECOND: f64 = 25.0;
const REPLICAS: usize = 4;
/// The operator is told no later than this after the time is over, on a busy machine too.
const TOLD_WITHIN: Duration = Duration::from_secs(3);

/// Ten nodes, or as many as are asked for by hand: `LEADSTAGE_UPGRADE_NODES=60`.
fn nodes() -> usize {
    let nodes = std::env::var("LEADSTAGE_UPGRADE_NODES").ok();
    nodes.map_or(10, |text| text.parse().expect("LEADSTAGE_UPGRADE_NODES is a number"))
}

/// Calls that may repeat and such that may not, in turn.
fn calls(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let is_even = id.as_bytes().last().is_some_and(|digit| digit % 2 == 0);
    let (method, path) = if is_even { ("GET", "/read/x") } else { ("POST", "/book/x") };
    request(method, path, KEY, id)
}

/// Plays an upgrade to a version that is bad; returns what became of it.
async fn play_bad(
    bad: Option<leadstage_testutils::gateway_replica::PartialFault>,
    later: Duration,
) -> (UpgradedFleet, Concluded) {
    let mut fleet = UpgradedFleet::start(BOOKING, nodes(), REPLICAS).await;
    let load = fleet.load(PER_SECOND, WITHIN + TOLD_WITHIN + Duration::from_secs(3), calls);
    let at_once = bad.clone().filter(|_| later.is_zero());
    fleet.order(WITHIN, at_once).await;
    if !later.is_zero() {
        tokio::time::sleep(later).await;
        let bad = bad.expect("a fault");
        fleet.new.iter().for_each(|running| running.replica.set_partial_fault(bad.clone()));
    }
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    fleet.assert_exposure(concluded.at);
    load.await.expect("the load ends");
    (fleet, concluded)
}

async fn check_is_reverted(bad: Option<leadstage_testutils::gateway_replica::PartialFault>, later: Duration) {
    let (fleet, concluded) = play_bad(bad, later).await;
    assert_eq!(concluded.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_gets_nothing(&concluded);
    let statuses = fleet.gateway().store.statuses("rollouts", BOOKING);
    let running = json!({"state": "running", "targetVersion": "v2"});
    let rolled_back = json!({"state": "rolled_back", "targetVersion": "v2"});
    assert_eq!(statuses, [json!(null), running, rolled_back]);
}

#[tokio::test]
async fn test_a_version_that_fails_from_the_start_is_reverted() {
    check_is_reverted(fault(ReplicaFault::Fails, 3, "/"), Duration::ZERO).await;
}

#[tokio::test]
async fn test_a_version_that_fails_later_is_reverted() {
    check_is_reverted(fault(ReplicaFault::Fails, 3, "/"), Duration::from_secs(3)).await;
}

#[tokio::test]
async fn test_a_version_that_fails_on_one_route_is_reverted() {
    check_is_reverted(fault(ReplicaFault::Fails, 2, "/book/"), Duration::ZERO).await;
}

#[tokio::test]
async fn test_a_version_that_answers_slowly_is_reverted() {
    check_is_reverted(fault(ReplicaFault::Late(Duration::from_millis(400)), 2, "/"), Duration::ZERO).await;
}

#[tokio::test]
async fn test_a_good_version_takes_over_without_a_lost_call() {
    let mut fleet = UpgradedFleet::start(BOOKING, nodes(), REPLICAS).await;
    let load = fleet.load(PER_SECOND, WITHIN + TOLD_WITHIN, calls);
    fleet.order(WITHIN, None).await;
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
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
    let load = fleet.load(4.0, WITHIN + TOLD_WITHIN, chat);
    fleet.order(WITHIN, None).await;
    let concluded = fleet.conclude(WITHIN + TOLD_WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    let whole =
        answers.iter().filter(|answer| answer.called.whole && answer.called.events() == Some(150)).count();
    assert_eq!(whole, answers.len(), "{}", fleet.logs());
    assert!((0..3).any(|node| fleet.gateway().log(node).contains("event=moved")), "{}", fleet.logs());
}

#[tokio::test]
async fn test_another_node_goes_on_when_those_that_follow_the_store_end() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, WITHIN + TOLD_WITHIN, calls);
    fleet.order(WITHIN, fault(ReplicaFault::Fails, 4, "/")).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    // Whoever tells the operator, and whoever judges, may be among them.
    for node in [0, 2, 4] {
        fleet.gateway().signal(node, "-KILL");
    }
    let concluded = fleet.conclude(WITHIN + 2 * TOLD_WITHIN).await;
    assert_eq!(concluded.state, "rolled_back", "{}", fleet.logs());
    fleet.assert_exposure(concluded.at);
    load.await.expect("the load ends");
    fleet.assert_gets_nothing(&concluded);
}

#[tokio::test]
async fn test_the_share_holds_while_the_store_is_away() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, 2 * WITHIN + TOLD_WITHIN, calls);
    fleet.order(WITHIN, None).await;
    // The operator is told with the next look of whoever follows the store first, if the store takes it by then.
    let all_know = async || {
        let mut know = 0;
        for node in 0..6 {
            know += usize::from(fleet.gateway().log(node).contains("event=upgrade_stage"));
        }
        let is_told = fleet.status()["state"] == "running";
        know == 6
            && is_told
            && fleet.new.iter().any(|running| !running.replica.received_requests().is_empty())
    };
    fleet.gateway().until("all know the order", all_know).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(WITHIN + Duration::from_secs(1)).await;
    assert_eq!(fleet.status()["state"], "running", "nobody can be told\n{}", fleet.logs());
    fleet.assert_exposure(std::time::Instant::now());
    fleet.gateway().store.set_fault(StoreFault::None);
    let concluded = fleet.conclude(WITHIN).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    let answers = load.await.expect("the load ends");
    assert!(good(&answers) == 1.0, "{}", fleet.logs());
}

#[tokio::test]
async fn test_a_bad_version_is_given_up_while_the_store_is_away() {
    let mut fleet = UpgradedFleet::start(BOOKING, 6, REPLICAS).await;
    let load = fleet.load(PER_SECOND, 2 * WITHIN, calls);
    fleet.order(WITHIN, None).await;
    let is_used = async || fleet.new.iter().any(|running| !running.replica.received_requests().is_empty());
    fleet.gateway().until("it is tried", is_used).await;
    fleet.gateway().store.set_fault(StoreFault::Refuses);
    let bad = fault(ReplicaFault::Fails, 2, "/").expect("a fault");
    fleet.new.iter().for_each(|running| running.replica.set_partial_fault(bad.clone()));
    let given_up = async || {
        fleet.gateway().logs().contains("stage=reverted")
            || (0..6).any(|node| fleet.gateway().log(node).contains("stage=reverted"))
    };
    fleet.gateway().until("it is given up", given_up).await;
    let given_up = Concluded { state: String::new(), at: std::time::Instant::now() };
    fleet.gateway().store.set_fault(StoreFault::None);
    let concluded = fleet.conclude(WITHIN).await;
    assert_eq!(concluded.state, "rolled_back", "{}", fleet.logs());
    load.await.expect("the load ends");
    fleet.assert_exposure(std::time::Instant::now());
    fleet.assert_gets_nothing(&given_up);
}

#[tokio::test]
async fn test_orders_that_cannot_be_followed_move_nothing() {
    let mut fleet = UpgradedFleet::start(BOOKING, 2, 2).await;
    let store = fleet.gateway().store.clone();
    let load = fleet.load(PER_SECOND, Duration::from_secs(4), calls);
    fleet.put_order(-5.0);
    store.put("rollouts", "nothing", json!({"service": "other", "targetVersion": "v2", "durationS": 5}));
    store.put("rollouts", MODEL, json!("no order"));
    for name in [BOOKING, "nothing", MODEL] {
        let told = async || {
            let status = store.status("rollouts", name).unwrap_or_default();
            status["state"] == "rolled_back" && !status["reason"].as_str().unwrap_or_default().is_empty()
        };
        fleet.gateway().until("the operator is told why", told).await;
    }
    let refused = async || (0..2).any(|node| fleet.gateway().log(node).contains("event=upgrade_refused"));
    fleet.gateway().until("the log tells it", refused).await;
    let answers = load.await.expect("the load ends");
    assert!(good(&answers) == 1.0, "{}", fleet.logs());
}

#[tokio::test]
async fn test_a_new_order_replaces_one_that_is_being_followed() {
    let mut fleet = UpgradedFleet::start(BOOKING, 2, 2).await;
    let store = fleet.gateway().store.clone();
    let load = fleet.load(PER_SECOND, Duration::from_secs(12), calls);
    // Another hand has written a status of another version.
    store.put("rollouts", BOOKING, json!({"service": BOOKING, "targetVersion": "v9", "durationS": 60}));
    store.put_status("rollouts", BOOKING, json!({"state": "succeeded", "targetVersion": "v8"}));
    let runs = json!({"state": "running", "targetVersion": "v9"});
    fleet.gateway().until("it is followed", async || fleet.status() == runs).await;
    fleet.order(Duration::from_secs(4), None).await;
    let concluded = fleet.conclude(Duration::from_secs(10)).await;
    assert_eq!(concluded.state, "succeeded", "{}", fleet.logs());
    assert_eq!(fleet.status(), json!({"state": "succeeded", "targetVersion": "v2"}));
    let answers = load.await.expect("the load ends");
    assert!(good(&answers) == 1.0, "{}", fleet.logs());
}
