//! Questions to other nodes: late answers and late timers end no other question.

use std::time::Duration;

use leadstage_lib::gateway::limit_grants::GrantQuestionId;
use leadstage_lib::gateway::questions::Questions;
use leadstage_lib::ids::Timestamp;

fn ms(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

/// A call asked one node for a grant, which denied it, then another one. The timer of the first question ended the
/// second one before its time, so that a node which answered was passed over for 1.5 s; and a grant that the
/// first node gave too late was taken for one by the second, for another replica.
#[test]
fn test_an_earlier_question_of_a_call_does_not_end_its_next_one() {
    let run = 7;
    let [first, second] = [1, 2].map(|number| GrantQuestionId { run, number });
    let mut questions = Questions::default();
    questions.on_asked(first, "a", ms(40));
    assert_eq!(questions.answered(first), Some("a"));
    questions.on_asked(second, "b", ms(70));
    assert_eq!(questions.overdue(first, ms(40)), None);
    assert_eq!(questions.answered(first), None);
    assert_eq!(questions.overdue(second, ms(69)), None);
    assert_eq!(questions.overdue(second, ms(70)), Some("b"));
    assert_eq!(questions.answered(second), None);
}

#[test]
fn test_who_is_told_to_wait_waits_longer() {
    let mut questions = Questions::default();
    questions.on_asked(1, "a", ms(40));
    assert_eq!(questions.extend(1, ms(4_000)), Some(&"a"));
    assert_eq!(questions.extend(2, ms(4_000)), None);
    assert_eq!(questions.overdue(1, ms(40)), None);
    assert_eq!(questions.overdue(1, ms(4_000)), Some("a"));
}

#[test]
fn test_questions_to_a_lost_node_are_taken_out() {
    let mut questions = Questions::default();
    for (name, node) in [(3, "a"), (1, "b"), (2, "a")] {
        questions.on_asked(name, node, ms(40));
    }
    assert_eq!(questions.oldest(), Some(1));
    assert_eq!(questions.take_all(|node| *node == "a"), ["a", "a"]);
    assert_eq!(questions.oldest(), Some(1));
    assert_eq!(questions.answered(1), Some("b"));
    assert_eq!(questions.oldest(), None);
}
