//! Tells a peer that does not read from one that is gone.
//!
//! The user timeout of a TCP connection bounds how long sent bytes may stay unacknowledged, which shows that a peer
//! is gone. Linux applies it also to a closed receive window, although a peer that does not read acknowledges the
//! kernel's window probes. The time of the first probe is not always reset when the window opens: a second closed
//! window may end the connection at its first probe. The timeout of a connection whose peer has ever limited it is
//! therefore counted from when the peer first did, and this module decides when that peer is gone.
//!
//! The kernel sends a probe before the user timeout at the latest. Extending the timeout step by step bounds the
//! interval between probes, which would otherwise grow to two minutes.

use std::time::Duration;

use crate::ids::Timestamp;

/// Sent bytes that stay unacknowledged for this long close a connection: a peer behind a network partition sends
/// no reset. The kernel also gives up on keep-alive probes by this time alone, whatever their number: a peer that
/// is silent for a second, and so misses one probe, has to be sent another.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after the first of some writes at which a connection is checked; most have been acknowledged by then.
pub const FIRST_CHECK_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between further checks while bytes are unacknowledged.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout is extended for a peer with a closed window that acknowledged something this recently. At least two
/// checks fall into this time, and it ends before the kernel sends the next probe.
const RECENT_ACKNOWLEDGEMENT: Duration = Duration::from_millis(1_500);
/// Segments or window probes without an acknowledgement that show that a peer is gone. One may be lost, and Linux
/// acknowledges at most one probe in half a second.
const MIN_UNANSWERED: u8 = 2;

/// What the kernel knows of the bytes that were written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendState {
    /// Number of bytes that the peer has not acknowledged, whether they were sent or not.
    pub queued: u32,
    /// Number of bytes that the peer has acknowledged since the connection was opened.
    pub acknowledged: u64,
    /// How often the first unacknowledged segment was sent again.
    pub retransmits: u8,
    /// Whether the peer's receive window is closed.
    pub is_window_closed: bool,
    /// Whether the peer's receive window has ever limited the connection.
    pub was_window_limited: bool,
    /// Number of window probes since the last acknowledgement.
    pub unanswered_probes: u8,
    /// Time since the peer last acknowledged anything, including a probe.
    pub acknowledgement_age: Duration,
}

/// What to do after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// Everything is acknowledged. The user timeout is [`UNACKNOWLEDGED_TIMEOUT`] until the next write, for
    /// keep-alive probes.
    Idle,
    /// Bytes are unacknowledged, and the connection needs this user timeout until the next check.
    Pending(Duration),
    /// The peer is gone.
    PeerGone,
}

/// Follows the bytes that are written to a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendProgress {
    /// A time before which the peer's receive window never limited the connection.
    limited_since: Option<Timestamp>,
    /// When the connection was last checked, or written to after everything was acknowledged.
    checked_at: Timestamp,
    /// When the user timeout was last extended.
    extended_at: Timestamp,
    acknowledged: u64,
    /// When more bytes were last found to be acknowledged.
    progressed_at: Timestamp,
}

impl SendProgress {
    /// Handles the first write after everything was acknowledged. Returns the user timeout until the first check.
    pub fn on_write(&mut self, now: Timestamp) -> Duration {
        (self.checked_at, self.extended_at, self.progressed_at) = (now, now, now);
        self.user_timeout()
    }

    /// Handles the result of a check.
    pub fn on_checked(&mut self, state: &SendState, now: Timestamp) -> CheckResult {
        if state.was_window_limited {
            self.limited_since.get_or_insert(self.checked_at);
        }
        self.checked_at = now;
        if !state.is_window_closed || state.acknowledgement_age < RECENT_ACKNOWLEDGEMENT {
            self.extended_at = now;
        }
        if state.acknowledged != self.acknowledged {
            (self.acknowledged, self.progressed_at) = (state.acknowledged, now);
        }
        if state.queued == 0 {
            CheckResult::Idle
        } else if self.is_peer_gone(state, now) {
            CheckResult::PeerGone
        } else {
            CheckResult::Pending(self.user_timeout())
        }
    }

    fn is_peer_gone(&self, state: &SendState, now: Timestamp) -> bool {
        if state.is_window_closed {
            state.unanswered_probes >= MIN_UNANSWERED && state.acknowledgement_age >= UNACKNOWLEDGED_TIMEOUT
        } else {
            state.retransmits >= MIN_UNANSWERED
                && now.saturating_sub(self.progressed_at) >= UNACKNOWLEDGED_TIMEOUT
        }
    }

    fn user_timeout(&self) -> Duration {
        let limited_for =
            self.limited_since.map_or(Duration::ZERO, |since| self.extended_at.saturating_sub(since));
        limited_for + UNACKNOWLEDGED_TIMEOUT
    }
}
