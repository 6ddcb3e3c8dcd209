//! Replicas that announce a limit must not get more requests than that from all nodes together.
//!
//! Guards against nodes that ignore limits in answers and choose replicas only by the requests in flight
//! there, while no node enforces a bound on the sum over all nodes. Two of three replicas of a service for
//! plain calls then announced 3.1 and 4.4 requests a second, and 3 s later got 28 and 46 requests in 4 s from
//! six nodes, where 1.5 times the limit and 5 requests are allowed: 24 and 31. In the logs, each node notes
//! the limit (`limit_named`) and keeps sending first attempts at the old rate (`sent_to_limited ... sent=0`).

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::loaded_fleet::LIMIT_APPLIES_AFTER;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::assert_all_served;

/// The number of nodes.
const NODES: usize = 6;
/// How long requests are measured once limits apply.
const MEASURED_FOR: Duration = Duration::from_secs(8);
/// The maximum age of a node's status, which it renews every 2 s.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_500);
/// The time within which an immediate refusal arrives, on a busy machine too.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);

/// Two of three replicas are rate-limited; the third one takes the remaining requests.
async fn check_two_limited_replicas(per_second: &[f64; NODES]) {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [3.0, 4.4];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(per_second, LIMIT_APPLIES_AFTER + MEASURED_FOR, read).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED_FOR);
}

#[tokio::test]
async fn test_limits_of_replicas_are_kept_by_all_nodes_together() {
    check_two_limited_replicas(&[8.0; NODES]).await;
}

#[tokio::test]
async fn test_limits_of_replicas_are_used_by_the_nodes_that_have_calls() {
    check_two_limited_replicas(&[30.0, 0.0, 0.0, 1.0, 8.0, 0.0]).await;
}

/// One of three replicas becomes rate-limited under its usual load of 55 requests a second. Windows that
/// begin before that count too: if its whole limit were granted at once, it would get some 86 requests in
/// 4 s, of 77 allowed.
#[tokio::test]
async fn test_a_newly_rate_limited_replica_is_avoided_at_first() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [12.0];
    let (answers, binds) =
        tokio::join!(fleet.load(&[27.5; NODES], 2 * LIMIT_APPLIES_AFTER + MEASURED_FOR, read), async {
            tokio::time::sleep(LIMIT_APPLIES_AFTER).await;
            fleet.announce_limits(&limits)
        });
    assert_all_served(&answers, &fleet);
    let named = binds - LIMIT_APPLIES_AFTER;
    fleet.assert_limits_kept(&limits, named - Duration::from_secs(1));
    fleet.assert_limits_used(&limits, binds, MEASURED_FOR);
}

/// All generations are placed by the lead of their model; no node bypasses it.
#[tokio::test]
async fn test_limits_of_engines_are_kept() {
    let fleet = LoadedFleet::start(MODEL, NODES, 3).await;
    let binds = fleet.announce_limits(&[2.0]);
    let answers = fleet.load(&[3.0; NODES], LIMIT_APPLIES_AFTER + MEASURED_FOR, chat).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&[2.0], binds);
    fleet.assert_limits_used(&[2.0], binds, MEASURED_FOR);
}

/// All replicas are rate-limited: requests within the limits are served, and the others are refused at once,
/// with a time after which to retry.
#[tokio::test]
async fn test_requests_above_the_limits_of_all_replicas_are_refused_at_once() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [2.0, 3.0, 4.0];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED_FOR, read).await;
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED_FOR);
    let refused: Vec<_> = answers.iter().filter(|answer| answer.called.status != 200).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!(answer.called.status, 503, "{answer:?}");
        let after: f64 = answer.called.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
        assert!(after > 0.0, "{answer:?}");
        assert!(answer.took < REFUSED_WITHIN, "{answer:?}\n{}", fleet.gateway.logs());
    }
}

/// Repeatable calls fail at the replica without a limit. Their second attempts go to the two rate-limited
/// replicas, and count against the limits like first attempts.
#[tokio::test]
async fn test_retries_count_against_limits() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [2.0, 3.0];
    fleet.replicas[2].replica.set_fault(ReplicaFault::Fails);
    let binds = fleet.announce_limits(&limits);
    fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED_FOR, read).await;
    fleet.assert_limits_kept(&limits, binds);
}

/// The node that receives the first answer without a limit announces the end of the limit to all nodes.
#[tokio::test]
async fn test_a_limit_ends_with_the_first_answer_without_one() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 1).await;
    fleet.replicas[0].replica.set_limit(Some("1"));
    fleet.load(&[4.0; NODES], Duration::from_secs(2), read).await;
    for node in 0..NODES {
        let knows_limit = async || fleet.gateway.node_status(node).await.limits == ["booking-1 1/s"];
        fleet.gateway.until("each node knows the limit", knows_limit).await;
    }
    fleet.replicas[0].replica.set_limit(None);
    fleet.load(&[4.0; NODES], Duration::from_secs(4), read).await;
    let answers = fleet.load(&[4.0; NODES], Duration::from_secs(2), read).await;
    assert_all_served(&answers, &fleet);
}

/// The granting node is killed, and another node takes over without any saved-up grants.
#[tokio::test]
async fn test_limits_are_kept_while_nodes_are_lost() {
    let mut fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [3.0, 4.4];
    let binds = fleet.announce_limits(&limits);
    fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER, read).await;
    for node in [1, 4] {
        Arc::get_mut(&mut fleet.gateway).expect("no other holder").kill(node);
        let rates: [f64; NODES] = std::array::from_fn(|n| if n == node { 0.0 } else { 8.0 });
        fleet.load(&rates, Duration::from_secs(6), read).await;
        Arc::get_mut(&mut fleet.gateway).expect("no other holder").restart_node(node);
        fleet.gateway.until_ready(node).await;
        fleet.load(&[8.0; NODES], Duration::from_secs(2), read).await;
    }
    fleet.assert_limits_kept(&limits, binds);
}

/// A cold replica with a limit gets no more than the lower of its limit and its cold rate: grants do not add
/// to its cold rate. The cold rate is 4 requests a second, and the limit 12 a second.
#[tokio::test]
async fn test_a_cold_replica_with_a_limit_gets_no_more_than_a_cold_one() {
    const COLD_RATE_PER_S: u32 = 4;
    let mut fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
    let mut config = config(2);
    config["services"][0]["coldStartS"] = 60.into();
    config["services"][0]["warmupPerS"] = COLD_RATE_PER_S.into();
    fleet.gateway.store.put("config", "main", config);
    for node in 0..NODES {
        let has_it = async || fleet.gateway.node_status(node).await.bundle == Some(2);
        fleet.gateway.until("each node has the configuration", has_it).await;
    }
    let cold = fleet.gateway.start_cold_replica(BOOKING, "booking-3", 4, Duration::from_secs(60)).await;
    cold.replica.set_limit(Some("12"));
    fleet.replicas.push(cold);
    let began = Instant::now();
    let answers = fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED_FOR, read).await;
    assert_all_served(&answers, &fleet);
    let max_arrivals = fleet.max_arrivals_within(2, began, Duration::from_secs(1));
    assert!(
        (1..=COLD_RATE_PER_S as usize).contains(&max_arrivals),
        "{max_arrivals} in a second\n{}",
        fleet.gateway.logs()
    );
}

/// The limit of a replica on all nodes together is removed from its answers to callers.
#[tokio::test]
async fn test_limits_are_not_passed_on_to_callers() {
    let fleet = LoadedFleet::start(BOOKING, 1, 1).await;
    fleet.replicas[0].replica.set_limit(Some("5"));
    let called = fleet.gateway.call(0, read("r-1")).await;
    assert_eq!((called.status, called.header("server-limit")), (200, None), "{called:?}");
}

/// Divided among 16 nodes, a limit of 0.4 a second leaves each less than a whole request; 7 requests are
/// allowed in 4 s.
#[tokio::test]
async fn test_a_limit_below_one_a_second_is_kept_by_many_nodes() {
    const MANY_NODES: usize = 16;
    let fleet = LoadedFleet::start(BOOKING, MANY_NODES, 2).await;
    let binds = fleet.announce_limits(&[0.4]);
    let answers = fleet.load(&[4.0; MANY_NODES], LIMIT_APPLIES_AFTER + 4 * MEASURED_FOR, read).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&[0.4], binds);
    fleet.assert_limits_used(&[0.4], binds, 4 * MEASURED_FOR);
}

/// All engines are rate-limited: generations wait at the lead for their turn, and those that cannot begin in
/// time are refused at once.
#[tokio::test]
async fn test_generations_wait_for_rate_limited_engines() {
    let fleet = LoadedFleet::start(MODEL, NODES, 2).await;
    let limits = [2.0, 3.0];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(&[2.0; NODES], LIMIT_APPLIES_AFTER + MEASURED_FOR, chat).await;
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED_FOR);
    for answer in answers {
        assert!(matches!(answer.called.status, 200 | 503), "{answer:?}\n{}", fleet.gateway.logs());
    }
    let logs: String = (0..NODES).map(|node| fleet.gateway.log(node)).collect();
    let waited = logs.lines().filter(|line| line.contains("event=waited") && line.contains("given=true"));
    assert!(waited.clone().any(|line| !line.contains("engines_ms=0 ")), "{logs}");
    assert!(waited.clone().all(|line| line.contains("memory_ms=0")), "{logs}");
}

/// The answer to a long call that was sent before the limit was announced arrives while the limit applies,
/// and does not remove it.
#[tokio::test]
async fn test_a_late_answer_removes_no_limit() {
    let fleet = LoadedFleet::start(BOOKING, 1, 1).await;
    let replica = &fleet.replicas[0].replica;
    replica.set_fault(ReplicaFault::Late(Duration::from_secs(1)));
    let (gateway, late) = (fleet.gateway.clone(), replica.clone());
    let early = tokio::spawn(async move { gateway.call(0, read("r-early")).await });
    fleet.gateway.until("the call arrives at the replica", async || late.running() == 1).await;
    replica.set_fault(ReplicaFault::None);
    replica.set_limit(Some("3"));
    let called = fleet.gateway.call(0, read("r-1")).await;
    assert_eq!(called.status, 200);
    replica.set_limit(None);
    let early = early.await.expect("no panic");
    assert_eq!(early.status, 200);
    let knows_limit = async || fleet.gateway.node_status(0).await.limits == ["booking-1 3/s"];
    fleet.gateway.until("the node knows the limit", knows_limit).await;
    tokio::time::sleep(MAX_STATUS_AGE).await;
    assert_eq!(fleet.gateway.node_status(0).await.limits, ["booking-1 3/s"]);
}
