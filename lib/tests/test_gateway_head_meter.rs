//! What a peer may send before the head of its answer is complete.

use std::time::Duration;

use leadstage_lib::gateway::head_meter::EndlessHead;
use leadstage_lib::gateway::head_meter::HeadMeter;
use leadstage_lib::gateway::head_meter::MAX_HEAD_BYTES;
use leadstage_lib::gateway::head_meter::MAX_HEAD_TIME;
use leadstage_lib::gateway::head_meter::MAX_INFORMATIONAL_HEADS;
use leadstage_lib::gateway::head_meter::TIME_PER_HEAD;

const PROCESSING: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn expecting() -> HeadMeter {
    let mut meter = HeadMeter::default();
    meter.expect_head();
    meter
}

/// Receives `text` in parts of `part` bytes, all at the same time.
fn receive(text: &str, part: usize) -> String {
    let mut meter = expecting();
    for part in text.as_bytes().chunks(part) {
        if let Err(err) = meter.on_bytes(part, Duration::ZERO) {
            return err.to_string();
        }
    }
    let state = if meter.due().is_some() { "part of a head" } else { "no part of a head" };
    state.to_owned()
}

#[test]
fn test_heads_without_end_are_given_up_and_others_are_not() {
    let long_line = format!("HTTP/1.1 200 OK\r\nx: {}", "x".repeat(2 * MAX_HEAD_BYTES));
    let body = format!("{ANSWER}{}", PROCESSING.repeat(5_000));
    let texts = [
        ("an answer", ANSWER.to_owned()),
        ("an answer after informational heads", format!("{}{ANSWER}", PROCESSING.repeat(3))),
        ("as many as are allowed", format!("{}{ANSWER}", PROCESSING.repeat(MAX_INFORMATIONAL_HEADS))),
        ("one more", PROCESSING.repeat(MAX_INFORMATIONAL_HEADS + 1)),
        ("a line without end", long_line),
        ("lines without end", format!("HTTP/1.1 200 OK\r\n{}", "x: y\r\n".repeat(MAX_HEAD_BYTES))),
        ("blank lines without end", "\r\n".repeat(MAX_HEAD_BYTES)),
        ("large informational heads", format!("HTTP/1.1 103 x\nx: {}\n\n", "x".repeat(9_000)).repeat(4)),
        ("bare line ends", ANSWER.replace('\r', "")),
        ("a switch of protocols", format!("HTTP/1.1 101 x\r\n\r\n{}", PROCESSING.repeat(5_000))),
        ("a body", body),
        ("the beginning of an answer", ANSWER[..20].to_owned()),
        ("a request whose path looks like a status", format!("GET /abcd102 HTTP/1.1\r\n\r\n{PROCESSING}")),
    ];
    let mut rows = Vec::new();
    for (name, text) in texts {
        let results = [1, 7, usize::MAX].map(|part| receive(&text, part));
        assert!(results.iter().all(|result| *result == results[0]), "{name}: {results:?}");
        rows.push(format!("{name}: {}", results[0]));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    an answer: no part of a head
    an answer after informational heads: no part of a head
    as many as are allowed: no part of a head
    one more: more than 32 informational heads without pause
    a line without end: too many bytes before the end of its head
    lines without end: too many bytes before the end of its head
    blank lines without end: too many bytes before the end of its head
    large informational heads: too many bytes before the end of its head
    bare line ends: no part of a head
    a switch of protocols: no part of a head
    a body: no part of a head
    the beginning of an answer: part of a head
    a request whose path looks like a status: no part of a head
    ");
}

#[test]
fn test_only_the_time_inside_a_head_counts() {
    let mut meter = expecting();
    let second = Duration::from_secs(1);
    assert_eq!(meter.due(), None, "nothing has arrived");
    meter.on_bytes(&PROCESSING.as_bytes()[..5], second).expect("it has just begun");
    assert_eq!(meter.due(), Some(second + MAX_HEAD_TIME));
    meter.on_bytes(&PROCESSING.as_bytes()[5..], 2 * second).expect("it is in time");
    meter.on_bytes(b"\r\n", 2 * second).expect("it is in time");
    assert_eq!(meter.due(), None, "the peer may be working on the answer");
    meter.on_bytes(b"H", 20 * second).expect("the next head has just begun");
    assert_eq!(meter.due(), Some(20 * second + MAX_HEAD_TIME));
    meter.on_bytes(&ANSWER.as_bytes()[1..], 21 * second).expect("it is in time");
    assert_eq!(meter.due(), None, "the head is complete");
}

/// Receives `head` every `pause` for an hour; returns the outcome, and how many were received.
fn receive_for_an_hour(head: &str, pause: Duration) -> (Result<(), EndlessHead>, usize) {
    let mut meter = expecting();
    let mut now = Duration::ZERO;
    let mut heads = 0;
    while now < Duration::from_secs(3_600) {
        if let Err(err) = meter.on_bytes(head.as_bytes(), now) {
            return (Err(err), heads);
        }
        heads += 1;
        now += pause;
    }
    (meter.on_bytes(ANSWER.as_bytes(), now), heads)
}

#[test]
fn test_a_long_call_that_reports_now_and_then_is_not_given_up() {
    let large = format!("HTTP/1.1 102 Processing\r\nx: {}\r\n\r\n", "x".repeat(4_000));
    for (head, pause) in [
        (PROCESSING, Duration::from_secs(1)),
        (PROCESSING, Duration::from_millis(300)),
        (PROCESSING, TIME_PER_HEAD),
        (&large, Duration::from_secs(1)),
    ] {
        let (outcome, heads) = receive_for_an_hour(head, pause);
        assert_eq!(outcome, Ok(()), "{} bytes every {pause:?}: {heads} heads", head.len());
    }
    let (outcome, heads) = receive_for_an_hour(PROCESSING, Duration::from_millis(1));
    assert_eq!(outcome, Err(EndlessHead::TooManyHeads));
    assert_eq!(heads, MAX_INFORMATIONAL_HEADS, "none is forgiven in so short a time");
    let (outcome, heads) = receive_for_an_hour(PROCESSING, TIME_PER_HEAD / 2);
    assert_eq!(outcome, Err(EndlessHead::TooManyHeads));
    assert!(heads <= 2 * MAX_INFORMATIONAL_HEADS, "{heads} heads");
}

#[test]
fn test_a_long_pause_allows_no_more_than_a_first_burst() {
    let mut meter = expecting();
    meter.on_bytes(PROCESSING.as_bytes(), Duration::ZERO).expect("it is one");
    let later = Duration::from_secs(3_600);
    let heads = PROCESSING.repeat(MAX_INFORMATIONAL_HEADS);
    assert_eq!(meter.on_bytes(heads.as_bytes(), later), Ok(()));
    assert_eq!(meter.on_bytes(PROCESSING.as_bytes(), later), Err(EndlessHead::TooManyHeads));
}

/// A head without end is given up by its size, however slowly it comes.
#[test]
fn test_the_time_that_a_head_takes_forgives_none_of_its_bytes() {
    let mut meter = expecting();
    meter.expect_head_patiently();
    let mut now = Duration::ZERO;
    let mut received = 0;
    while meter.on_bytes(b"x", now).is_ok() {
        assert_eq!(meter.due(), None, "nobody else may answer");
        received += 1;
        now += Duration::from_secs(1);
    }
    assert_eq!(received, MAX_HEAD_BYTES);
}

#[test]
fn test_each_request_is_measured_anew() {
    let mut meter = expecting();
    let heads = PROCESSING.repeat(MAX_INFORMATIONAL_HEADS);
    for _ in 0..3 {
        meter.expect_head();
        assert_eq!(meter.on_bytes(heads.as_bytes(), Duration::ZERO), Ok(()));
    }
    let one_more = meter.on_bytes(PROCESSING.as_bytes(), Duration::ZERO);
    assert_eq!(one_more, Err(EndlessHead::TooManyHeads));
}
