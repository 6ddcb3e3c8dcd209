//! Tells a peer that does not read from one that is gone, by what the kernel knows of a connection.

use std::time::Duration;

use leadstage_lib::gateway::send_progress::CheckResult;
use leadstage_lib::gateway::send_progress::SendProgress;
use leadstage_lib::gateway::send_progress::SendState;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Bytes that are on their way to a peer with an open window.
const SENT: SendState = SendState {
    queued: 1_000,
    acknowledged: 5_000,
    retransmits: 0,
    is_window_closed: false,
    was_window_limited: false,
    unanswered_probes: 0,
    acknowledgement_age: Duration::from_millis(100),
};
/// Bytes that wait for a peer which closed its window.
const CLOSED: SendState = SendState { is_window_closed: true, was_window_limited: true, ..SENT };
const IDLE: SendState = SendState { queued: 0, ..SENT };

/// Writes at 10 s, and checks each half a second from 11 s on.
fn check(progress: &mut SendProgress, states: &[SendState]) -> Vec<CheckResult> {
    progress.on_write(ms(10_000));
    let times = (0..).map(|n| ms(11_000 + n * 500));
    states.iter().zip(times).map(|(state, now)| progress.on_checked(state, now)).collect()
}

#[test]
fn test_the_user_timeout_grows_with_the_time_for_which_a_window_is_closed() {
    let mut progress = SendProgress::default();
    let checks = check(&mut progress, &[SENT, CLOSED, CLOSED, CLOSED, IDLE]);
    insta::assert_snapshot!(format!("{checks:?}"), @"[Pending(2.5s), Pending(3s), Pending(3.5s), Pending(4s), Idle]");
    // The kernel may still count from the first closed window.
    assert_eq!(progress.on_write(ms(60_000)), ms(51_500));
}

/// A probe is sent again only when it is due, so a peer is not gone because its last answer is old.
#[test]
fn test_a_peer_with_an_old_answer_is_not_gone_but_gets_no_more_time() {
    let old = SendState { acknowledgement_age: ms(3_000), unanswered_probes: 1, ..CLOSED };
    let checks = check(&mut SendProgress::default(), &[CLOSED, old, old]);
    insta::assert_snapshot!(format!("{checks:?}"), @"[Pending(3.5s), Pending(3.5s), Pending(3.5s)]");
}

#[test]
fn test_a_peer_that_answers_no_probes_is_gone() {
    let silent = SendState { acknowledgement_age: ms(2_500), unanswered_probes: 2, ..CLOSED };
    let early = SendState { acknowledgement_age: ms(2_499), ..silent };
    let result = check(&mut SendProgress::default(), &[early, silent]);
    assert_eq!(result, [CheckResult::Pending(ms(2_500)), CheckResult::PeerGone]);
}

/// The kernel's own timeout is too long on such a connection.
#[test]
fn test_a_peer_that_once_closed_its_window_and_acknowledges_no_bytes_is_gone() {
    let lost = SendState { retransmits: 3, was_window_limited: true, ..SENT };
    let result = check(&mut SendProgress::default(), &[lost; 6]);
    assert_eq!(result.iter().position(|result| *result == CheckResult::PeerGone), Some(5), "{result:?}");
    let progressing: Vec<_> = (0..20).map(|n| SendState { acknowledged: n, ..lost }).collect();
    let result = check(&mut SendProgress::default(), &progressing);
    assert!(!result.contains(&CheckResult::PeerGone), "{result:?}");
}

/// A path that is slow for a moment loses no connection, nor does a process that was suspended.
#[test]
fn test_an_unacknowledged_segment_that_was_sent_once_is_waited_for() {
    let mut progress = SendProgress::default();
    progress.on_write(ms(0));
    assert_eq!(progress.on_checked(&SENT, ms(60_000)), CheckResult::Pending(ms(2_500)));
}
