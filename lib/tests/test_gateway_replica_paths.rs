//! Paths to replicas, direct and through other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::replica_paths::DialPlan;
use leadstage_lib::gateway::replica_paths::PathChange;
use leadstage_lib::gateway::replica_paths::ReplicaPaths;
use leadstage_lib::gateway::replica_paths::Unreached;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

fn replica(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn node(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n], 70))
}

fn choose(paths: &ReplicaPaths, nodes: &[SocketAddr], tried: &[SocketAddr], seed: u64) -> Option<SocketAddr> {
    paths.choose_via(nodes, tried, SECOND, &mut SmallRng::seed_from_u64(seed))
}

/// Replicas of a service may end at once, so that no node reaches any.
#[test]
fn test_unreached_replicas_show_a_lost_path_only_if_another_node_reaches_one() {
    let mut paths = ReplicaPaths::default();
    assert_eq!(paths.on_direct(replica(1), Err(Unreached::Silent)), None);
    assert!(!paths.is_in_doubt());
    assert_eq!(paths.on_direct(replica(2), Err(Unreached::Refused)), None);
    assert!(paths.is_in_doubt() && !paths.is_cut_off());
    assert_eq!(paths.plan(replica(3), SECOND), DialPlan::DirectFirst);
    assert_eq!(paths.plan(replica(2), SECOND), DialPlan::Fail(Unreached::Refused));
    assert_eq!(paths.on_blocked(replica(2), SECOND), Some(PathChange::Lost));
    assert_eq!(paths.plan(replica(3), SECOND), DialPlan::Tunnel);
    assert_eq!(paths.on_direct(replica(3), Ok(())), Some(PathChange::Restored));
    assert_eq!(paths.plan(replica(1), SECOND), DialPlan::DirectFirst);
}

#[test]
fn test_replicas_that_are_gone_leave_no_doubt() {
    let mut paths = ReplicaPaths::default();
    (1..=2).for_each(|n| assert_eq!(paths.on_direct(replica(n), Err(Unreached::Refused)), None));
    paths.forget(replica(1));
    assert!(!paths.is_in_doubt());
    assert_eq!(paths.due_probe(SECOND, &mut SmallRng::seed_from_u64(1)), None);
}

#[test]
fn test_failures_between_successes_do_not_add_up() {
    let mut paths = ReplicaPaths::default();
    paths.on_direct(replica(1), Err(Unreached::Silent));
    paths.on_direct(replica(2), Ok(()));
    paths.on_direct(replica(3), Err(Unreached::Silent));
    assert!(!paths.is_in_doubt());
}

#[test]
fn test_a_replica_that_only_other_nodes_reach_stays_blocked_while_others_are_reached() {
    let mut paths = ReplicaPaths::default();
    paths.on_blocked(replica(1), SECOND);
    paths.on_direct(replica(2), Ok(()));
    assert!(paths.lacks_path(replica(1)));
    assert!(!paths.lacks_path(replica(2)));
    paths.on_direct(replica(1), Ok(()));
    assert!(!paths.lacks_path(replica(1)));
}

#[test]
fn test_lost_paths_are_probed_at_intervals_and_at_once_when_one_returns() {
    let mut paths = ReplicaPaths::default();
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(paths.due_probe(SECOND, &mut rng), None);
    for n in 1..=3 {
        paths.on_blocked(replica(n), SECOND);
    }
    let mut is_probed =
        |paths: &mut ReplicaPaths, ms| paths.due_probe(Duration::from_millis(ms), &mut rng).is_some();
    let probed = [1_000, 1_100, 1_499, 1_500, 1_600].map(|ms| is_probed(&mut paths, ms));
    assert_eq!(probed, [true, false, false, true, false]);
    paths.on_direct(replica(2), Ok(()));
    assert!(is_probed(&mut paths, 1_601));
    assert!(!is_probed(&mut paths, 60_000), "the paths were not used for long");
}

#[test]
fn test_no_tunnel_is_tried_for_a_while_to_a_replica_that_others_do_not_reach_either() {
    let mut paths = ReplicaPaths::default();
    paths.on_direct(replica(1), Err(Unreached::Silent));
    paths.on_unreached_by_others(replica(1), SECOND);
    assert_eq!(paths.plan(replica(1), SECOND), DialPlan::DirectOnly);
    assert_eq!(paths.plan(replica(2), SECOND), DialPlan::DirectFirst);
    assert_eq!(paths.plan(replica(1), 2 * SECOND), DialPlan::DirectFirst);
}

#[test]
fn test_nodes_that_opened_tunnels_are_asked_first_and_those_that_did_not_last() {
    let mut paths = ReplicaPaths::default();
    let nodes = [node(1), node(2), node(3)];
    paths.on_unavailable(node(1), SECOND);
    paths.on_tunnel_opened(replica(1), node(2), SECOND);
    for seed in 0..20 {
        let order = [&[][..], &[node(2)], &[node(2), node(3)], &nodes]
            .map(|tried| choose(&paths, &nodes, tried, seed));
        assert_eq!(order, [Some(node(2)), Some(node(3)), Some(node(1)), None]);
    }
}

#[test]
fn test_nodes_share_the_tunnels_of_others() {
    let mut paths = ReplicaPaths::default();
    let nodes = [node(1), node(2), node(3)];
    (1..=2).for_each(|n| paths.on_tunnel_opened(replica(1), node(n), SECOND));
    let chosen: Vec<_> = (0..20).filter_map(|seed| choose(&paths, &nodes, &[], seed)).collect();
    assert!(
        [node(1), node(2)].iter().all(|node| chosen.contains(node)) && !chosen.contains(&node(3)),
        "{chosen:?}"
    );
}

#[test]
fn test_a_node_that_opened_tunnels_is_named_to_others() {
    let mut paths = ReplicaPaths::default();
    let referral = |paths: &ReplicaPaths| paths.referral(SECOND, &mut SmallRng::seed_from_u64(1));
    paths.on_unavailable(node(1), SECOND);
    assert_eq!(referral(&paths), None);
    paths.on_tunnel_opened(replica(1), node(2), SECOND);
    assert_eq!(referral(&paths), Some(node(2)));
    let mut asking = ReplicaPaths::default();
    asking.on_referral(node(2), SECOND);
    assert_eq!(choose(&asking, &[node(1), node(2), node(3)], &[], 1), Some(node(2)));
}

/// Guards against a node that takes its path for doubtful again, and refuses calls, in the middle of a long cut.
#[test]
fn test_a_node_stays_cut_off_until_it_reaches_a_replica() {
    let mut paths = ReplicaPaths::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 1..=2 {
        paths.on_blocked(replica(n), SECOND);
    }
    for at in (1..60).map(|s| s * SECOND) {
        let probed = paths.due_probe(at, &mut rng).expect("a probe is due");
        paths.on_direct(probed, Err(Unreached::Silent));
        assert_eq!(paths.plan(replica(1), at), DialPlan::Tunnel, "{at:?}");
    }
    paths.on_direct(replica(2), Ok(()));
    assert!(!paths.is_cut_off());
}

/// Guards against the same when the replicas that showed the cut are replaced during it.
#[test]
fn test_a_node_stays_cut_off_while_replicas_are_replaced() {
    let mut paths = ReplicaPaths::default();
    for n in 1..=2 {
        paths.on_blocked(replica(n), SECOND);
    }
    for n in 3..20 {
        paths.on_tunnel_opened(replica(n), node(1), SECOND);
        assert_eq!(paths.forget(replica(n - 2)), None);
        assert_eq!(paths.plan(replica(n), SECOND), DialPlan::Tunnel, "replica {n}");
    }
}
