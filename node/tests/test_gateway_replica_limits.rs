//! Replicas that name a limit, and get more than it.
//!
//! What users saw: two of the three replicas of a service for plain calls were in need and named 3.1 and
//! 4.4 requests a second in their answers; 3 s later they had got 28 and 46 in 4 s from six nodes, where
//! one and a half times the limit and 5 requests are allowed: 24 and 31.
//! The order of events: a replica names its limit in an answer; the node passes the answer on and sends the
//! next request there as before; so do the five others, each of which chooses by what is in flight there.
//! The cause: no node reads what a replica names, and a bound on the sum over all nodes is kept by nobody.
//! The evidence: in this test's logs each node hears the limit (`limit_named`), and goes on sending first
//! attempts there (`sent_to_limited ... sent=0`), at the rate from before.

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

/// Nodes of the users' fleet.
const NODES: usize = 6;
/// What is measured once limits bind.
const MEASURED: Duration = Duration::from_secs(8);
/// A node renews its status each 2 s.
const STATUS_IS_OLD_AFTER: Duration = Duration::from_millis(2_500);
/// A refusal that needs no waiting comes within this, on a busy machine too.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);

/// Two of three replicas are in need; the third one takes the rest.
async fn check_two_of_three(per_second: &[f64; NODES]) {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [3.0, 4.4];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(per_second, LIMIT_APPLIES_AFTER + MEASURED, read).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED);
}

#[tokio::test]
async fn test_limits_of_replicas_are_kept_by_all_nodes_together() {
    check_two_of_three(&[8.0; NODES]).await;
}

#[tokio::test]
async fn test_limits_of_replicas_are_used_by_whichever_nodes_have_calls() {
    check_two_of_three(&[30.0, 0.0, 0.0, 1.0, 8.0, 0.0]).await;
}

/// One of three replicas comes into need under its usual load, 55 requests a second. Windows that reach
/// back to before count too: with what it names granted at once it gets some 86 in 4 s, of 77 allowed.
#[tokio::test]
async fn test_a_replica_that_comes_into_need_is_left_to_others_at_first() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [12.0];
    let (answers, binds) =
        tokio::join!(fleet.load(&[27.5; NODES], 2 * LIMIT_APPLIES_AFTER + MEASURED, read), async {
            tokio::time::sleep(LIMIT_APPLIES_AFTER).await;
            fleet.announce_limits(&limits)
        });
    assert_all_served(&answers, &fleet);
    let named = binds - LIMIT_APPLIES_AFTER;
    fleet.assert_limits_kept(&limits, named - Duration::from_secs(1));
    fleet.assert_limits_used(&limits, binds, MEASURED);
}

/// Generations come through the lead of their model, which no other node goes around.
#[tokio::test]
async fn test_limits_of_engines_are_kept() {
    let fleet = LoadedFleet::start(MODEL, NODES, 3).await;
    let binds = fleet.announce_limits(&[2.0]);
    let answers = fleet.load(&[3.0; NODES], LIMIT_APPLIES_AFTER + MEASURED, chat).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&[2.0], binds);
    fleet.assert_limits_used(&[2.0], binds, MEASURED);
}

/// All replicas are in need: what they take is served, and the rest is refused at once, with a time to come
/// back.
#[tokio::test]
async fn test_what_replicas_in_need_do_not_take_is_refused_at_once() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [2.0, 3.0, 4.0];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED, read).await;
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED);
    let refused: Vec<_> = answers.iter().filter(|answer| answer.called.status != 200).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!(answer.called.status, 503, "{answer:?}");
        let after: f64 = answer.called.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
        assert!(after > 0.0, "{answer:?}");
        assert!(answer.took < REFUSED_WITHIN, "{answer:?}\n{}", fleet.gateway.logs());
    }
}

/// Calls that may be repeated fail at the replica without a limit: their second attempts go to the two in
/// need, and count there like first ones.
#[tokio::test]
async fn test_repeats_count_against_limits() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 3).await;
    let limits = [2.0, 3.0];
    fleet.replicas[2].replica.set_fault(ReplicaFault::Fails);
    let binds = fleet.announce_limits(&limits);
    fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED, read).await;
    fleet.assert_limits_kept(&limits, binds);
}

/// The need ends: the first answer without a limit is told to all nodes, whoever gets it.
#[tokio::test]
async fn test_a_limit_ends_with_the_need() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 1).await;
    fleet.replicas[0].replica.set_limit(Some("1"));
    fleet.load(&[4.0; NODES], Duration::from_secs(2), read).await;
    for node in 0..NODES {
        let names_one = async || fleet.gateway.node_status(node).await.limits == ["booking-1 1/s"];
        fleet.gateway.until("each node knows the limit", names_one).await;
    }
    fleet.replicas[0].replica.set_limit(None);
    fleet.load(&[4.0; NODES], Duration::from_secs(4), read).await;
    let answers = fleet.load(&[4.0; NODES], Duration::from_secs(2), read).await;
    assert_all_served(&answers, &fleet);
}

/// Whoever grants is killed, and another node takes over with nothing saved up.
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

/// A cold replica that names a limit is given no more than either allows: grants come beside no share of what
/// a cold one bears. It bears 4 requests a second, and 12 a second are named.
#[tokio::test]
async fn test_a_cold_replica_with_a_limit_gets_no_more_than_a_cold_one() {
    const BEARS: u32 = 4;
    let mut fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
    let mut config = config(2);
    config["services"][0]["coldStartS"] = 60.into();
    config["services"][0]["warmupPerS"] = BEARS.into();
    fleet.gateway.store.put("config", "main", config);
    for node in 0..NODES {
        let has_it = async || fleet.gateway.node_status(node).await.bundle == Some(2);
        fleet.gateway.until("each node has the configuration", has_it).await;
    }
    let cold = fleet.gateway.start_cold_replica(BOOKING, "booking-3", 4, Duration::from_secs(60)).await;
    cold.replica.set_limit(Some("12"));
    fleet.replicas.push(cold);
    let began = Instant::now();
    let answers = fleet.load(&[8.0; NODES], LIMIT_APPLIES_AFTER + MEASURED, read).await;
    assert_all_served(&answers, &fleet);
    let most = fleet.max_arrivals_within(2, began, Duration::from_secs(1));
    assert!((1..=BEARS as usize).contains(&most), "{most} in a second\n{}", fleet.gateway.logs());
}

/// What a replica takes from all nodes is not for callers.
#[tokio::test]
async fn test_callers_are_not_told_of_limits() {
    let fleet = LoadedFleet::start(BOOKING, 1, 1).await;
    fleet.replicas[0].replica.set_limit(Some("5"));
    let called = fleet.gateway.call(0, read("r-1")).await;
    assert_eq!((called.status, called.header("server-limit")), (200, None), "{called:?}");
}

/// Of a limit of 0.4 a second 16 nodes have no whole share each; 7 requests are allowed in 4 s.
#[tokio::test]
async fn test_a_limit_below_one_a_second_is_kept_by_many_nodes() {
    const MANY: usize = 16;
    let fleet = LoadedFleet::start(BOOKING, MANY, 2).await;
    let binds = fleet.announce_limits(&[0.4]);
    let answers = fleet.load(&[4.0; MANY], LIMIT_APPLIES_AFTER + 4 * MEASURED, read).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_limits_kept(&[0.4], binds);
    fleet.assert_limits_used(&[0.4], binds, 4 * MEASURED);
}

/// All engines are in need: generations wait at the lead for their turn, and who can't begin in time is told at
/// once.
#[tokio::test]
async fn test_generations_wait_for_engines_in_need() {
    let fleet = LoadedFleet::start(MODEL, NODES, 2).await;
    let limits = [2.0, 3.0];
    let binds = fleet.announce_limits(&limits);
    let answers = fleet.load(&[2.0; NODES], LIMIT_APPLIES_AFTER + MEASURED, chat).await;
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED);
    for answer in answers {
        assert!(matches!(answer.called.status, 200 | 503), "{answer:?}\n{}", fleet.gateway.logs());
    }
    let logs: String = (0..NODES).map(|node| fleet.gateway.log(node)).collect();
    let waited = logs.lines().filter(|line| line.contains("event=waited") && line.contains("given=true"));
    assert!(waited.clone().any(|line| !line.contains("engines_ms=0 ")), "{logs}");
    assert!(waited.clone().all(|line| line.contains("memory_ms=0")), "{logs}");
}

/// A long call that was sent before the need is answered while it lasts, and takes nothing back.
#[tokio::test]
async fn test_a_late_answer_takes_no_limit_back() {
    let fleet = LoadedFleet::start(BOOKING, 1, 1).await;
    let replica = &fleet.replicas[0].replica;
    replica.set_fault(ReplicaFault::Late(Duration::from_secs(1)));
    let (gateway, late) = (fleet.gateway.clone(), replica.clone());
    let early = tokio::spawn(async move { gateway.call(0, read("r-early")).await });
    fleet.gateway.until("it is there", async || late.running() == 1).await;
    replica.set_fault(ReplicaFault::None);
    replica.set_limit(Some("3"));
    let called = fleet.gateway.call(0, read("r-1")).await;
    assert_eq!(called.status, 200);
    replica.set_limit(None);
    let early = early.await.expect("no panic");
    assert_eq!(early.status, 200);
    let names_one = async || fleet.gateway.node_status(0).await.limits == ["booking-1 3/s"];
    fleet.gateway.until("the node knows the limit", names_one).await;
    tokio::time::sleep(STATUS_IS_OLD_AFTER).await;
    assert_eq!(fleet.gateway.node_status(0).await.limits, ["booking-1 3/s"]);
}
