//! Which observations confirm that a replica ended after a run broke there, and which do not.

use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::pending_ends::CheckResult;
use leadstage_lib::gateway::pending_ends::PendingEnds;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::ids::Timestamp;

use crate::test_gateway_crash_ledger::replica;
use crate::test_gateway_crash_ledger::request;

const START: Timestamp = Duration::from_secs(100);

/// Creates a table with one replica at which the runs of two requests broke.
fn two_broken_runs() -> PendingEnds {
    let mut pending = PendingEnds::default();
    pending.on_break(replica(1), [request(1)], START);
    pending.on_break(replica(1), [request(2)], START + Duration::from_millis(3));
    pending
}

fn both_requests() -> BTreeSet<SuspectName> {
    BTreeSet::from([request(1), request(2)])
}

#[test]
fn test_two_refusals_confirm_an_end_and_all_broken_requests_are_suspect() {
    let mut pending = two_broken_runs();
    assert!(pending.on_check_result(&replica(1), CheckResult::PortClosed).is_empty());
    assert_eq!(pending.on_check_result(&replica(1), CheckResult::PortClosed), both_requests());
    assert!(
        pending.on_check_result(&replica(1), CheckResult::PortClosed).is_empty(),
        "the end is reported once"
    );
}

#[test]
fn test_another_replica_at_its_address_confirms_an_end_at_once() {
    assert_eq!(two_broken_runs().on_check_result(&replica(1), CheckResult::Replaced), both_requests());
}

#[test]
fn test_the_list_confirms_the_end_of_a_silent_replica() {
    let mut pending = two_broken_runs();
    assert!(pending.on_check_result(&replica(1), CheckResult::Silent).is_empty());
    assert_eq!(pending.on_gone(&replica(1)), both_requests());
}

#[test]
fn test_a_replica_that_answers_has_not_ended() {
    let mut pending = two_broken_runs();
    assert!(pending.on_check_result(&replica(1), CheckResult::PortClosed).is_empty());
    assert!(pending.on_check_result(&replica(1), CheckResult::Lives).is_empty());
    assert!(pending.on_gone(&replica(1)).is_empty(), "a later end is not related to the break");
    assert!(pending.on_gone(&replica(2)).is_empty());
}

/// Health checks are billed: a replica gets at most five, and none once it is known to have ended.
#[test]
fn test_a_replica_is_checked_five_times_at_most() {
    let mut pending = two_broken_runs();
    let check_times = |pending: &mut PendingEnds| {
        let ticks = (0..200).map(|tick| Duration::from_millis(100) * tick);
        let checked = ticks.filter(|at| !pending.due_checks(START + *at).is_empty());
        checked.map(|at| at.as_millis()).collect::<Vec<_>>()
    };
    assert_eq!(check_times(&mut pending), [0, 100, 500, 1_500, 3_000]);
    assert_eq!(pending.replicas().count(), 0, "the replica is removed");
    let mut pending = two_broken_runs();
    assert_eq!(pending.due_checks(START).len(), 1);
    pending.on_gone(&replica(1));
    assert!(check_times(&mut pending).is_empty());
}
