//! Pending queries to other nodes: late answers and timers do not end other queries.

use std::time::Duration;

use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::pending_queries::PendingQueries;
use leadstage_lib::ids::Timestamp;

fn ms(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

/// Guards against mixing up two queries of one call: it requests a grant from one node, which denies it, and
/// then from another. The timer of the first query ended the second one too early, so that a responsive node
/// was skipped for 1.5 s; and a late grant of the first node counted as one of the second, for another
/// replica.
#[test]
fn test_earlier_query_of_a_call_does_not_end_the_next_one() {
    let run = 7;
    let [first, second] = [1, 2].map(|number| GrantRequestId { run, number });
    let mut queries = PendingQueries::default();
    queries.insert(first, "a", ms(40));
    assert_eq!(queries.take_answered(first), Some("a"));
    queries.insert(second, "b", ms(70));
    assert_eq!(queries.take_overdue(first, ms(40)), None);
    assert_eq!(queries.take_answered(first), None);
    assert_eq!(queries.take_overdue(second, ms(69)), None);
    assert_eq!(queries.take_overdue(second, ms(70)), Some("b"));
    assert_eq!(queries.take_answered(second), None);
}

#[test]
fn test_extend_moves_the_deadline() {
    let mut queries = PendingQueries::default();
    queries.insert(1, "a", ms(40));
    assert_eq!(queries.extend(1, ms(4_000)), Some(&"a"));
    assert_eq!(queries.extend(2, ms(4_000)), None);
    assert_eq!(queries.take_overdue(1, ms(40)), None);
    assert_eq!(queries.take_overdue(1, ms(4_000)), Some("a"));
}

#[test]
fn test_queries_to_a_lost_node_are_removed() {
    let mut queries = PendingQueries::default();
    for (id, node) in [(3, "a"), (1, "b"), (2, "a")] {
        queries.insert(id, node, ms(40));
    }
    assert_eq!(queries.oldest(), Some(1));
    assert_eq!(queries.take_matching(|node| *node == "a"), ["a", "a"]);
    assert_eq!(queries.oldest(), Some(1));
    assert_eq!(queries.take_answered(1), Some("b"));
    assert_eq!(queries.oldest(), None);
}
