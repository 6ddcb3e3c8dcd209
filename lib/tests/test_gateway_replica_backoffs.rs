//! Back-offs that replicas request from a node.

use std::time::Duration;

use leadstage_lib::gateway::replica_backoffs::MAX_BACKOFF;
use leadstage_lib::gateway::replica_backoffs::ReplicaBackoffs;
use leadstage_lib::gateway::replica_record::ReplicaRecord;

use crate::test_gateway_replicas::record;

const SECOND: Duration = Duration::from_secs(1);

fn record_started_at(born: u64) -> ReplicaRecord {
    ReplicaRecord { born, ..record("a", false) }
}

fn remaining(backoffs: &ReplicaBackoffs, seconds: u32) -> Option<Duration> {
    backoffs.remaining(&record_started_at(5).incarnation(), seconds * SECOND)
}

#[test]
fn test_the_backoff_that_ends_last_applies() {
    let mut backoffs = ReplicaBackoffs::default();
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, SECOND);
    assert_eq!(remaining(&backoffs, 2), Some(2 * SECOND));
    backoffs.on_retry_after(&record_started_at(5), SECOND, 2 * SECOND);
    assert_eq!(remaining(&backoffs, 2), Some(2 * SECOND), "a shorter one changes nothing");
    backoffs.on_retry_after(&record_started_at(5), 5 * SECOND, 2 * SECOND);
    assert_eq!(remaining(&backoffs, 2), Some(5 * SECOND));
    assert_eq!(remaining(&backoffs, 7), None);
}

/// A request that was in flight when the back-off was requested says nothing about it.
#[test]
fn test_an_answer_to_an_earlier_request_ends_no_backoff() {
    let mut backoffs = ReplicaBackoffs::default();
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, SECOND);
    backoffs.on_answer(&record_started_at(5).incarnation(), 2 * SECOND);
    assert_eq!(remaining(&backoffs, 3), Some(SECOND));
}

#[test]
fn test_replica_is_tried_with_single_requests_after_its_backoff() {
    let mut backoffs = ReplicaBackoffs::default();
    let incarnation = record_started_at(5).incarnation();
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, SECOND);
    assert_eq!(remaining(&backoffs, 4), None);
    backoffs.on_sending(&incarnation, 4 * SECOND);
    assert!(remaining(&backoffs, 4).is_some());
    assert_eq!(remaining(&backoffs, 5), None, "another request is sent if the first gets no answer");
    backoffs.on_sending(&incarnation, 5 * SECOND);
    backoffs.on_answer(&incarnation, 5 * SECOND);
    assert_eq!(remaining(&backoffs, 5), None);
    backoffs.on_sending(&incarnation, 5 * SECOND);
    assert_eq!(remaining(&backoffs, 5), None, "no limit remains after an accepted request");
}

#[test]
fn test_backoff_does_not_apply_to_a_later_incarnation() {
    let mut backoffs = ReplicaBackoffs::default();
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, SECOND);
    assert_eq!(backoffs.remaining(&record_started_at(6).incarnation(), SECOND), None);
    assert_eq!(backoffs.remaining(&record_started_at(0).incarnation(), SECOND), Some(3 * SECOND));
    backoffs.on_retry_after(&record_started_at(6), SECOND, SECOND);
    assert_eq!(backoffs.remaining(&record_started_at(6).incarnation(), SECOND), Some(SECOND));
}

#[test]
fn test_one_generation_may_resume_during_a_backoff() {
    let mut backoffs = ReplicaBackoffs::default();
    let incarnation = record_started_at(5).incarnation();
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, SECOND);
    assert!(backoffs.may_resume(&incarnation, 2 * SECOND));
    backoffs.on_retry_after(&record_started_at(5), 3 * SECOND, 2 * SECOND);
    assert!(!backoffs.may_resume(&incarnation, 2 * SECOND), "the one exception was used");
    assert!(backoffs.may_resume(&incarnation, 5 * SECOND));
}

#[test]
fn test_backoffs_are_listed_by_service_and_expire() {
    let mut backoffs = ReplicaBackoffs::default();
    let other = ReplicaRecord { service: "n".into(), ..record("b", false) };
    backoffs.on_retry_after(&record_started_at(5), Duration::MAX, SECOND);
    backoffs.on_retry_after(&other, 2 * SECOND, SECOND);
    let of_m: Vec<_> =
        backoffs.of_service("m", 2 * SECOND).map(|(id, remaining)| (id.to_string(), remaining)).collect();
    assert_eq!(of_m, [("a".to_owned(), MAX_BACKOFF - SECOND)]);
    assert_eq!(backoffs.of_service("n", 3 * SECOND).count(), 0);
}
