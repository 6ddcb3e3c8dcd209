//! What shows that a replica ended at which a run broke, and what does not.

use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::pending_ends::PendingEnds;
use leadstage_lib::gateway::pending_ends::Shown;
use leadstage_lib::ids::Timestamp;

use crate::test_gateway_crash_ledger::fingerprint;
use crate::test_gateway_crash_ledger::replica;

const START: Timestamp = Duration::from_secs(100);

/// Two requests' runs broke at a replica.
fn broken() -> PendingEnds {
    let mut pending = PendingEnds::default();
    pending.on_break(replica(1), fingerprint(1), START);
    pending.on_break(replica(1), fingerprint(2), START + Duration::from_millis(3));
    pending
}

fn both() -> BTreeSet<leadstage_lib::gateway::fingerprint::Fingerprint> {
    BTreeSet::from([fingerprint(1), fingerprint(2)])
}

#[test]
fn test_two_refusals_show_an_end_and_all_that_ran_there_is_suspect() {
    let mut pending = broken();
    assert!(pending.on_shown(&replica(1), Shown::PortClosed).is_empty());
    assert_eq!(pending.on_shown(&replica(1), Shown::PortClosed), both());
    assert!(pending.on_shown(&replica(1), Shown::PortClosed).is_empty(), "that is told once");
}

#[test]
fn test_another_replica_at_its_address_shows_an_end_at_once() {
    assert_eq!(broken().on_shown(&replica(1), Shown::Replaced), both());
}

#[test]
fn test_the_list_shows_an_end_of_a_silent_replica() {
    let mut pending = broken();
    assert!(pending.on_shown(&replica(1), Shown::Silent).is_empty());
    assert_eq!(pending.on_gone(&replica(1)), both());
}

#[test]
fn test_a_replica_that_answers_has_not_ended() {
    let mut pending = broken();
    assert!(pending.on_shown(&replica(1), Shown::PortClosed).is_empty());
    assert!(pending.on_shown(&replica(1), Shown::Lives).is_empty());
    assert!(pending.on_gone(&replica(1)).is_empty(), "what comes later says nothing of that break");
    assert!(pending.on_gone(&replica(2)).is_empty());
}

/// Health checks are priced: five, and none for a replica that is known to have ended.
#[test]
fn test_a_replica_is_asked_five_times_at_most() {
    let mut pending = broken();
    let asked_at = |pending: &mut PendingEnds| {
        let ticks = (0..200).map(|tick| Duration::from_millis(100) * tick);
        let asked = ticks.filter(|at| !pending.asks(START + *at).is_empty());
        asked.map(|at| at.as_millis()).collect::<Vec<_>>()
    };
    assert_eq!(asked_at(&mut pending), [0, 100, 500, 1_500, 3_000]);
    assert_eq!(pending.replicas().count(), 0, "it is forgotten");
    let mut pending = broken();
    assert_eq!(pending.asks(START).len(), 1);
    pending.on_gone(&replica(1));
    assert!(asked_at(&mut pending).is_empty());
}
