//! When nodes begin to watch the store because they hear of no answer of the store.

use std::time::Duration;

use leadstage_lib::gateway::catch_up_age::CatchUpAge;
use leadstage_lib::gateway::watch_takeover::PULSE_SILENCE;
use leadstage_lib::gateway::watch_takeover::TakeoverSchedule;
use proptest::prelude::*;

const NO_LIMIT: Duration = Duration::MAX;
const MAX_OBJECT_BITS: f64 = 8.0 * 1_048_576.0;

proptest! {
    /// The last node has read the largest object of the store within the bound, however many nodes there are; none
    /// begins while the pulse of a working watcher may still arrive.
    #[test]
    fn test_all_nodes_have_read_the_store_within_the_bound(
        bound_ms in 3_000_u64..10_000,
        link_mbps in 10.0..1_000.0_f64,
        others in 0_usize..2_000,
        position in 0.0..=1.0_f64,
    ) {
        let (bound, link) = (Duration::from_millis(bound_ms), link_mbps * 1e6);
        let wait = TakeoverSchedule::new(bound, link).wait(position, others, PULSE_SILENCE, NO_LIMIT);
        prop_assert!(wait >= PULSE_SILENCE);
        prop_assert!(wait + Duration::from_secs_f64(MAX_OBJECT_BITS / link) < bound);
    }

    /// Nodes keep their order.
    #[test]
    fn test_nodes_take_turns_in_order(
        bound_ms in 0_u64..10_000,
        others in 0_usize..2_000,
        positions in (0.0..=1.0_f64, 0.0..=1.0_f64),
    ) {
        let schedule = TakeoverSchedule::new(Duration::from_millis(bound_ms), 1e9);
        let (first, second) = (positions.0.min(positions.1), positions.0.max(positions.1));
        let wait = |position| schedule.wait(position, others, PULSE_SILENCE, NO_LIMIT);
        prop_assert!(wait(first) <= wait(second));
    }
}

/// The smallest bounds of the users' settings are kept on the links that their machines have.
#[test]
fn test_the_schedule_follows_the_smaller_bound() {
    let last = |bound_ms, link| {
        TakeoverSchedule::new(Duration::from_millis(bound_ms), link).wait(1.0, 8, PULSE_SILENCE, NO_LIMIT)
    };
    let waits = [(2_000, 1e9), (3_000, 1e9), (3_000, 1e7), (5_000, 1e7)].map(|(ms, link)| last(ms, link));
    insta::assert_debug_snapshot!(waits, @r"
    [
        1.591611392s,
        2.591611392s,
        1.7611392s,
        3.7611392s,
    ]
    ");
}

/// Guards against a node that takes a watcher's pulse for its own knowledge: it knows that a newer version exists,
/// but the watcher stops before it has handed that over.
#[test]
fn test_a_version_that_is_not_handed_over_leaves_the_knowledge_as_old_as_before() {
    let mut age = CatchUpAge::default();
    let s = Duration::from_secs;
    assert_eq!(age.update(1, 1, s(10)), None);
    assert_eq!(age.update(1, 2, s(11)), Some(s(10)), "version 2 may be from right after 10 s");
    assert_eq!(age.update(1, 3, s(12)), Some(s(10)));
    assert_eq!(age.update(2, 3, s(13)), Some(s(11)), "version 2 was the newest at 11 s");
    assert_eq!(age.update(3, 3, s(14)), None);
    assert_eq!(age.update(3, 4, s(15)), Some(s(14)));
}
