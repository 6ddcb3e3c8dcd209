//! Delivery of the events of one generation, each exactly once and in order.

use leadstage_lib::stream_cursor::AfterBreak;
use leadstage_lib::stream_cursor::EventAction;
use leadstage_lib::stream_cursor::StreamCursor;
use leadstage_lib::stream_cursor::StreamPosition;
use leadstage_lib::stream_cursor::parse_engine_event_id;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The caller gets the indices 0, 1, 2, ... without gaps or repeats, even if links deliver repeated
    /// events, gaps and events of other generations.
    #[test]
    fn test_delivered_once_in_order(events in prop::collection::vec((0..3_u64, 0..20_u64), 0..300)) {
        let mut cursor = StreamCursor::new(1, 0);
        let mut delivered = Vec::new();
        for (generation, index) in events {
            if cursor.on_event(generation, index) == EventAction::Deliver {
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
    fn test_malformed_position_does_not_panic(text in "\\PC{0,40}") {
        let _ = text.parse::<StreamPosition>();
        let _ = parse_engine_event_id(&text);
    }
}

#[test]
fn test_restart_only_without_delivered_token() {
    let mut without_token = StreamCursor::new(1, 0);
    let after: Vec<AfterBreak> = (0..4).map(|_| without_token.on_break()).collect();
    let resume = AfterBreak::Resume { from: 0 };
    assert_eq!(after, [resume, resume, resume, AfterBreak::Restart]);

    let mut with_token = StreamCursor::new(1, 0);
    assert_eq!(with_token.on_event(1, 0), EventAction::Deliver);
    assert_eq!(with_token.on_break(), AfterBreak::Resume { from: 1 });
    assert_eq!(with_token.on_engine_lost(), AfterBreak::End);
}

#[test]
fn test_delivered_event_resets_break_count() {
    let mut cursor = StreamCursor::new(1, 0);
    for index in 0..10 {
        assert!(matches!(cursor.on_break(), AfterBreak::Resume { .. }));
        assert_eq!(cursor.on_event(1, index), EventAction::Deliver);
    }
}
