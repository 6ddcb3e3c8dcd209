//! Once, in order, from one generation.

use leadstage_lib::stream_cursor::AfterBreak;
use leadstage_lib::stream_cursor::StreamCursor;
use leadstage_lib::stream_cursor::StreamPosition;
use leadstage_lib::stream_cursor::Verdict;
use leadstage_lib::stream_cursor::parse_engine_event_id;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever links deliver (repeats, gaps, another generation's events), the caller
    /// gets 0, 1, 2, ... and nothing else.
    #[test]
    fn test_delivered_once_in_order(events in prop::collection::vec((0..3_u64, 0..20_u64), 0..300)) {
        let mut cursor = StreamCursor::new(1, 0);
        let mut delivered = Vec::new();
        for (generation, index) in events {
            if cursor.on_event(generation, index) == Verdict::Deliver {
                prop_assert_eq!(generation, 1);
                delivered.push(index);
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert_eq!(delivered, expected);
    }

    #[test]
    fn test_position_round_trip(generation: u64, index: u64, engine in "[a-z0-9.:@-]{1,20}") {
        let position = StreamPosition { generation, engine: engine.as_str().into(), index };
        prop_assert_eq!(position.to_string().parse::<StreamPosition>(), Ok(position));
    }

    #[test]
    fn test_malformed_position_is_refused_not_a_panic(text in "\\PC{0,40}") {
        let _ = text.parse::<StreamPosition>();
        let _ = parse_engine_event_id(&text);
    }
}

#[test]
fn test_another_generation_only_without_a_token() {
    let mut fresh = StreamCursor::new(1, 0);
    let after: Vec<AfterBreak> = (0..4).map(|_| fresh.on_break()).collect();
    let resume = AfterBreak::Resume { from: 0 };
    assert_eq!(after, [resume, resume, resume, AfterBreak::Restart]);

    let mut begun = StreamCursor::new(1, 0);
    assert_eq!(begun.on_event(1, 0), Verdict::Deliver);
    assert_eq!(begun.on_break(), AfterBreak::Resume { from: 1 });
    assert_eq!(begun.on_engine_lost(), AfterBreak::End);
}

#[test]
fn test_progress_resets_the_breaks() {
    let mut cursor = StreamCursor::new(1, 0);
    for index in 0..10 {
        assert!(matches!(cursor.on_break(), AfterBreak::Resume { .. }));
        assert_eq!(cursor.on_event(1, index), Verdict::Deliver);
    }
}
