//! Rests that replicas ask a node for.

use std::time::Duration;

use leadstage_lib::gateway::asked_rests::AskedRests;
use leadstage_lib::gateway::asked_rests::LONGEST_ASKED_REST;
use leadstage_lib::gateway::replica_record::ReplicaRecord;

use crate::test_gateway_replicas::record;

const SECOND: Duration = Duration::from_secs(1);

fn born(born: u64) -> ReplicaRecord {
    ReplicaRecord { born, ..record("a", false) }
}

fn left(rests: &AskedRests, seconds: u32) -> Option<Duration> {
    rests.left(&born(5).incarnation(), seconds * SECOND)
}

#[test]
fn test_the_rest_that_ends_last_holds() {
    let mut rests = AskedRests::default();
    rests.on_asked(&born(5), 3 * SECOND, SECOND);
    assert_eq!(left(&rests, 2), Some(2 * SECOND));
    rests.on_asked(&born(5), SECOND, 2 * SECOND);
    assert_eq!(left(&rests, 2), Some(2 * SECOND), "a shorter one ends nothing");
    rests.on_asked(&born(5), 5 * SECOND, 2 * SECOND);
    assert_eq!(left(&rests, 2), Some(5 * SECOND));
    assert_eq!(left(&rests, 7), None);
}

/// One that was under way when the rest was asked for says nothing of it.
#[test]
fn test_an_answer_to_an_earlier_request_ends_no_rest() {
    let mut rests = AskedRests::default();
    rests.on_asked(&born(5), 3 * SECOND, SECOND);
    rests.on_answer(&born(5).incarnation(), 2 * SECOND);
    assert_eq!(left(&rests, 3), Some(SECOND));
}

#[test]
fn test_requests_try_a_replica_one_by_one_after_its_rest_until_one_is_taken() {
    let mut rests = AskedRests::default();
    let of = born(5).incarnation();
    rests.on_asked(&born(5), 3 * SECOND, SECOND);
    assert_eq!(left(&rests, 4), None);
    rests.on_sending(&of, 4 * SECOND);
    assert!(left(&rests, 4).is_some());
    assert_eq!(left(&rests, 5), None, "one without an answer is followed by another");
    rests.on_sending(&of, 5 * SECOND);
    rests.on_answer(&of, 5 * SECOND);
    assert_eq!(left(&rests, 5), None);
    rests.on_sending(&of, 5 * SECOND);
    assert_eq!(left(&rests, 5), None, "as before");
}

#[test]
fn test_another_start_has_asked_for_nothing() {
    let mut rests = AskedRests::default();
    rests.on_asked(&born(5), 3 * SECOND, SECOND);
    assert_eq!(rests.left(&born(6).incarnation(), SECOND), None);
    assert_eq!(rests.left(&born(0).incarnation(), SECOND), Some(3 * SECOND));
    rests.on_asked(&born(6), SECOND, SECOND);
    assert_eq!(rests.left(&born(6).incarnation(), SECOND), Some(SECOND));
}

#[test]
fn test_one_generation_may_go_on_where_its_memory_is() {
    let mut rests = AskedRests::default();
    let of = born(5).incarnation();
    rests.on_asked(&born(5), 3 * SECOND, SECOND);
    assert!(rests.may_go_on(&of, 2 * SECOND));
    rests.on_asked(&born(5), 3 * SECOND, 2 * SECOND);
    assert!(!rests.may_go_on(&of, 2 * SECOND), "it was turned away, and is the one");
    assert!(rests.may_go_on(&of, 5 * SECOND));
}

#[test]
fn test_rests_are_told_by_service_and_forgotten() {
    let mut rests = AskedRests::default();
    let other = ReplicaRecord { service: "n".into(), ..record("b", false) };
    rests.on_asked(&born(5), Duration::MAX, SECOND);
    rests.on_asked(&other, 2 * SECOND, SECOND);
    let of_m: Vec<_> = rests.of_service("m", 2 * SECOND).map(|(id, left)| (id.to_string(), left)).collect();
    assert_eq!(of_m, [("a".to_owned(), LONGEST_ASKED_REST - SECOND)]);
    assert_eq!(rests.of_service("n", 3 * SECOND).count(), 0);
}
