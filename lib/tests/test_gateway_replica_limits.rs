//! The limits of replicas as a node knows them.

use std::time::Duration;

use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ReplicaLimits;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::ids::Timestamp;

const REPLICA: &str = "r-1";

fn incarnation(born: u64) -> Incarnation {
    Incarnation { id: REPLICA.into(), born }
}

fn s(seconds: f64) -> Timestamp {
    Duration::from_secs_f64(seconds)
}

fn times(sent: f64, received: f64) -> ResponseTimes {
    ResponseTimes { sent: s(sent), received: s(received) }
}

fn announced(born: u64, limit: Option<f64>, age: f64) -> AnnouncedLimit {
    AnnouncedLimit { replica: incarnation(born), limit, age: s(age) }
}

fn limited() -> ReplicaLimits {
    let mut limits = ReplicaLimits::default();
    assert!(limits.on_answer(&incarnation(1), LimitReport::Named(3.0), times(9.9, 10.0)));
    limits
}

/// The response to a long call that was sent before the limit began arrives after another response that
/// named the limit.
#[test]
fn test_a_response_to_an_earlier_request_withdraws_no_limit() {
    let mut limits = limited();
    assert!(!limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(9.0, 12.0)));
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    assert!(!limits.on_answer(&incarnation(1), LimitReport::Silent, times(11.0, 12.0)));
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    assert!(limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(10.1, 10.2)));
    assert_eq!(limits.limit(REPLICA), None);
    assert!(limits.in_force().is_empty());
}

#[test]
fn test_a_repeated_limit_applies_from_its_response() {
    let mut limits = limited();
    assert!(!limits.on_answer(&incarnation(1), LimitReport::Named(3.1), times(10.9, 11.0)));
    assert!(!limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(10.5, 11.5)));
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    assert!(limits.on_answer(&incarnation(1), LimitReport::Named(4.0), times(11.9, 12.0)));
    assert_eq!(limits.limit(REPLICA), Some(4.0));
}

/// Statements of an earlier incarnation, with or without a limit, do not apply to a later one.
#[test]
fn test_limits_do_not_carry_over_to_another_incarnation() {
    let mut limits = limited();
    assert!(!limits.on_answer(&incarnation(0), LimitReport::Named(1.0), times(20.0, 20.0)));
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    limits.on_answer(&incarnation(2), LimitReport::Named(5.0), times(5.0, 5.1));
    assert_eq!(limits.limit(REPLICA), Some(5.0));
    assert!(!limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(30.0, 30.1)));
    assert_eq!(limits.limit(REPLICA), Some(5.0));
    limits.forget(REPLICA);
    assert_eq!(limits.limit(REPLICA), None);
}

#[test]
fn test_announced_limits_are_ordered_by_their_age() {
    let mut limits = limited();
    assert!(limits.on_announced(vec![announced(1, None, 4.0)], s(12.0)).is_empty());
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    assert_eq!(limits.on_announced(vec![announced(1, None, 1.0)], s(12.0)).len(), 1);
    assert_eq!(limits.limit(REPLICA), None);
    assert_eq!(limits.on_announced(vec![announced(1, Some(2.0), 0.5)], s(12.0)).len(), 1);
    assert_eq!(limits.limit(REPLICA), Some(2.0));
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(limits.on_announced(vec![announced(1, Some(invalid), 0.0)], s(12.0)).is_empty());
    }
    assert_eq!(limits.limit(REPLICA), Some(2.0));
}

/// Nodes that know the same limits announce nothing to each other; a node that missed the withdrawal of a
/// limit is notified.
#[test]
fn test_digests_stand_for_the_limits_in_force() {
    let (mut a, mut b) = (limited(), ReplicaLimits::default());
    assert_eq!(b.digest(), 0);
    assert_ne!(a.digest(), b.digest());
    b.on_announced(a.all(s(11.0)), s(511.0));
    assert_eq!(a.digest(), b.digest());
    a.on_answer(&incarnation(1), LimitReport::NotNamed, times(11.5, 11.6));
    assert_eq!(a.digest(), 0);
    b.on_announced(a.all(s(12.0)), s(512.0));
    assert_eq!(b.digest(), 0);
}

/// A replica that measures its load names a slightly different limit in each response. Two nodes that
/// received 3.0 and 3.1 must agree in the end: if each keeps its own value for as long as the limit
/// lasts, their digests never match and each announces all limits to the other once a second. Such a
/// small difference is not forwarded to further nodes.
#[test]
fn test_nodes_with_slightly_different_limits_converge() {
    let (mut a, mut b) = (limited(), ReplicaLimits::default());
    b.on_answer(&incarnation(1), LimitReport::Named(3.1), times(10.0, 10.1));
    assert!(a.on_announced(b.all(s(10.5)), s(10.5)).is_empty());
    assert_eq!(a.limit(REPLICA), Some(3.1));
    assert_eq!(a.digest(), b.digest());
    // Neither a node's own response nor an older announcement restores the difference.
    assert!(!b.on_answer(&incarnation(1), LimitReport::Named(3.0), times(10.9, 11.0)));
    assert!(a.on_announced(vec![announced(1, Some(3.0), 4.0)], s(11.0)).is_empty());
    assert_eq!(a.digest(), b.digest());
}

/// A limit does not expire for lack of requests; a withdrawn one is removed in time, as is the state of
/// replicas that no longer exist.
#[test]
fn test_limits_are_kept_until_withdrawn() {
    let mut limits = limited();
    limits.retain(|_| true, s(10_000.0));
    assert_eq!(limits.limit(REPLICA), Some(3.0));
    limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(10_001.0, 10_001.1));
    limits.retain(|_| true, s(10_030.0));
    assert_eq!(limits.all(s(10_030.0)).len(), 1);
    limits.retain(|_| true, s(10_062.0));
    assert!(limits.all(s(10_062.0)).is_empty());
    let mut limits = limited();
    limits.retain(|_| false, s(11.0));
    assert_eq!(limits.limit(REPLICA), None);
}

/// A newly limited replica has just received its former load. A different value continues the same
/// limitation; a limit after a withdrawal starts a new one.
#[test]
fn test_newly_limited_replicas_are_avoided_for_a_while() {
    let mut limits = limited();
    assert!(limits.is_newly_limited(REPLICA, s(12.9)));
    limits.on_answer(&incarnation(1), LimitReport::Named(2.0), times(11.0, 11.1));
    assert!(!limits.is_newly_limited(REPLICA, s(13.1)));
    limits.on_answer(&incarnation(1), LimitReport::NotNamed, times(20.0, 20.1));
    assert!(!limits.is_newly_limited(REPLICA, s(20.2)));
    limits.on_answer(&incarnation(1), LimitReport::Named(2.0), times(29.9, 30.0));
    assert!(limits.is_newly_limited(REPLICA, s(31.0)));
    assert!(!limits.is_newly_limited("r-2", s(31.0)));
}
