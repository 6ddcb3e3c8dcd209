//! Streams are split into whole events, unchanged, whatever ends their lines and however they arrive.

use leadstage_lib::gateway::event_splitter::EventSplitter;
use proptest::prelude::*;

/// A stream of events, comments and empty lines, with `\n` at the ends of lines.
const STREAM: &str =
    ": hello\n\nid: 1\ndata: a\n\nid: 2\nevent: x\ndata: b\ndata: c\n\n\n: two\n: lines\nid: 3\ndata:\n\n";

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Number of bytes released by each push of one byte that releases any.
fn released_by_bytes(stream: &str) -> Vec<usize> {
    let mut events = EventSplitter::default();
    let released = stream.as_bytes().chunks(1).map(|byte| events.push(byte).len());
    released.filter(|released| *released > 0).collect()
}

#[test]
fn test_events_are_released_when_their_last_line_ends() {
    let rows: Vec<String> = LINE_ENDS
        .iter()
        .map(|end| format!("{end:?}: {:?}", released_by_bytes(&STREAM.replace('\n', end))))
        .collect();
    insta::assert_snapshot!(rows.join("\n"), @r#"
    "\n": [9, 15, 32, 1, 27]
    "\r\n": [11, 18, 37, 2, 32]
    "\r": [9, 15, 32, 1, 27]
    "#);
}

#[test]
fn test_an_unfinished_event_is_told_from_what_else_may_end_a_stream() {
    let rests = [
        "",
        "\n",
        "\n\n",
        ":",
        ": bye",
        ": bye\n",
        ": bye\n\n",
        "i",
        "id: 4",
        "id: 4\n",
        "id: 4\n: bye\n",
        "id: 4\ndata: d\n",
        "data",
        "data\n",
        "\u{feff}",
    ];
    let mut rows = Vec::new();
    for rest in rests {
        let inside = LINE_ENDS.map(|end| {
            let mut events = EventSplitter::default();
            events.push(format!("{STREAM}{rest}").replace('\n', end).as_bytes());
            events.is_inside_event()
        });
        assert!(inside.iter().all(|is_inside| *is_inside == inside[0]), "{rest:?}: {inside:?}");
        rows.push(format!("{rest:?}: {}", inside[0]));
    }
    insta::assert_snapshot!(rows.join("\n"), @r#"
    "": false
    "\n": false
    "\n\n": false
    ":": false
    ": bye": false
    ": bye\n": false
    ": bye\n\n": false
    "i": true
    "id: 4": true
    "id: 4\n": true
    "id: 4\n: bye\n": true
    "id: 4\ndata: d\n": true
    "data": true
    "data\n": true
    "\u{feff}": true
    "#);
}

/// The last bytes of a stream whose lines end with CR LF may lack the LF.
#[test]
fn test_a_stream_that_ends_between_cr_and_lf_is_not_inside_an_event() {
    let mut events = EventSplitter::default();
    let released = events.push(b"id: 1\r\ndata: a\r\n\r");
    assert_eq!((released.len(), events.is_inside_event()), (0, false));
    assert_eq!(&*events.take_remainder(), b"id: 1\r\ndata: a\r\n\r");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The bytes are unchanged, and what is released are the same events, in whatever pieces a stream arrives.
    #[test]
    fn test_pieces_do_not_matter(
        cuts in proptest::collection::vec(0..200_usize, 0..20),
        line_end in proptest::sample::select(LINE_ENDS.to_vec()),
        length in 0..120_usize,
    ) {
        let stream = STREAM.replace('\n', line_end);
        let stream = &stream.as_bytes()[..length.min(stream.len())];
        let mut whole = EventSplitter::default();
        let expected = whole.push(stream);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let mut events = EventSplitter::default();
        let mut released = Vec::new();
        for piece in cuts.windows(2) {
            released.extend_from_slice(&events.push(&stream[piece[0]..piece[1]]));
        }
        prop_assert_eq!(&released[..], &expected[..]);
        prop_assert_eq!(events.last_id(), whole.last_id());
        prop_assert_eq!(events.events(), whole.events());
        prop_assert_eq!(events.is_inside_event(), whole.is_inside_event());
        released.extend_from_slice(&events.take_remainder());
        prop_assert_eq!(&released[..], stream);
    }
}

#[test]
fn test_comments_and_blank_lines_are_no_events() {
    let texts =
        ["", "\n\n\n", ": a\n\n: b\n\n", "id: 1\n\n", "data: a\n\n", ": a\nid: 1\n\n", "id: 1\n", STREAM];
    let mut rows = Vec::new();
    for text in texts {
        let counts = LINE_ENDS.map(|end| {
            let mut events = EventSplitter::default();
            events.push(text.replace('\n', end).as_bytes());
            events.complete_events()
        });
        assert!(counts.iter().all(|count| *count == counts[0]), "{text:?}: {counts:?}");
        rows.push(format!("{text:?}: {}", counts[0]));
    }
    insta::assert_snapshot!(rows.join("\n"), @r#"
    "": 0
    "\n\n\n": 0
    ": a\n\n: b\n\n": 0
    "id: 1\n\n": 1
    "data: a\n\n": 1
    ": a\nid: 1\n\n": 1
    "id: 1\n": 0
    ": hello\n\nid: 1\ndata: a\n\nid: 2\nevent: x\ndata: b\ndata: c\n\n\n: two\n: lines\nid: 3\ndata:\n\n": 3
    "#);
}
