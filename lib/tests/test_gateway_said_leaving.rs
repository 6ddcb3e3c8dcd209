//! A replica's own word that it leaves.

use std::time::Duration;

use leadstage_lib::gateway::replica_record::Born;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::said_leaving::LONGEST_LEAVING;
use leadstage_lib::gateway::said_leaving::SaidLeaving;

fn of(id: &str, born: Born) -> Incarnation {
    Incarnation { id: id.into(), born }
}

#[test]
fn test_a_word_of_leaving_holds_until_another_start() {
    let second = Duration::from_secs(1);
    let mut said = SaidLeaving::default();
    assert!(said.on_said(&of("a", 7), second));
    assert!(!said.on_said(&of("a", 7), 2 * second), "it is news once");
    assert_eq!(said.since(&of("a", 7)), Some(second));
    assert_eq!(said.since(&of("a", 0)), Some(second), "a start that is not told is taken for the same");
    assert_eq!(said.since(&of("a", 8)), None);
    assert_eq!(said.since(&of("b", 7)), None);
    assert!(said.on_said(&of("a", 8), 3 * second));
    assert_eq!(said.since(&of("a", 8)), Some(3 * second));
}

#[test]
fn test_words_of_replicas_that_have_ended_are_forgotten() {
    let mut said = SaidLeaving::default();
    said.on_said(&of("a", 0), Duration::ZERO);
    said.on_said(&of("b", 0), LONGEST_LEAVING - Duration::from_millis(1));
    assert!(said.since(&of("a", 0)).is_some());
    said.on_said(&of("c", 0), LONGEST_LEAVING);
    assert_eq!(said.since(&of("a", 0)), None);
    assert!(said.since(&of("b", 0)).is_some());
}
