//! Schedules health checks of engines while the store may not report that they leave.
//!
//! An engine is polled again some time after its last answer, and never by two polls at once. Answers take
//! effect immediately: an engine ends about 1.5 s after its notice, and a copy takes some 200 ms, so each
//! 100 ms of delay loses half a generation that could have been copied to another engine.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Time between an engine's answer and the next poll. Each poll is billed; polling less often detects an
/// engine's notice later.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for an engine's answer.
pub const HEALTH_TIMEOUT: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Poll {
    /// Sent at this time and not answered yet.
    Pending(Timestamp),
    /// Answered or timed out at this time.
    Answered(Timestamp),
}

impl Poll {
    fn is_due_again(self, now: Timestamp) -> bool {
        match self {
            Poll::Pending(at) => at + HEALTH_TIMEOUT + POLL_INTERVAL <= now,
            Poll::Answered(at) => at + POLL_INTERVAL <= now,
        }
    }
}

/// The engines that were polled recently.
#[derive(Debug, Default)]
pub struct HealthPolls {
    polls: HashMap<UpstreamId, Poll>,
}

impl HealthPolls {
    /// Returns whether an engine is due to be polled; if so, records a poll as sent.
    pub fn start_if_due(&mut self, engine: &UpstreamId, now: Timestamp) -> bool {
        let is_due = self.polls.get(engine).is_none_or(|poll| poll.is_due_again(now));
        if is_due {
            self.polls.insert(engine.clone(), Poll::Pending(now));
        }
        is_due
    }

    /// An engine answered, or its poll timed out.
    pub fn on_answer(&mut self, engine: &UpstreamId, now: Timestamp) {
        self.polls.insert(engine.clone(), Poll::Answered(now));
    }

    /// Drops engines that are due to be polled again.
    pub fn forget(&mut self, now: Timestamp) {
        self.polls.retain(|_, poll| !poll.is_due_again(now));
    }
}
