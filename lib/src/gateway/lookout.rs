//! Schedules health checks of engines while the store may not report that they leave.
//!
//! An engine is polled again some time after its last answer, and never by two polls at once. Answers take
//! effect immediately: an engine ends about 1.5 s after its notice, and each 100 ms decides on half a
//! generation that is copied to another engine in time or lost.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Time between an engine's answer and the next poll. Each poll is billed; polling less often detects an
/// engine's notice later.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for an engine's answer.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// Sent at this time and not answered yet.
    Open(Timestamp),
    /// Answered or timed out at this time.
    Answered(Timestamp),
}

impl Asked {
    fn allows_another(self, now: Timestamp) -> bool {
        match self {
            Asked::Open(at) => at + ANSWER_LIMIT + ASK_INTERVAL <= now,
            Asked::Answered(at) => at + ASK_INTERVAL <= now,
        }
    }
}

/// The engines that were polled recently.
#[derive(Debug, Default)]
pub struct Lookout {
    asked: HashMap<UpstreamId, Asked>,
}

impl Lookout {
    /// Returns whether an engine is due to be polled; if so, records a poll as sent.
    pub fn ask(&mut self, engine: &UpstreamId, now: Timestamp) -> bool {
        let is_due = self.asked.get(engine).is_none_or(|asked| asked.allows_another(now));
        if is_due {
            self.asked.insert(engine.clone(), Asked::Open(now));
        }
        is_due
    }

    /// An engine answered, or its poll timed out.
    pub fn on_answer(&mut self, engine: &UpstreamId, now: Timestamp) {
        self.asked.insert(engine.clone(), Asked::Answered(now));
    }

    /// Drops engines that are due to be polled again.
    pub fn forget(&mut self, now: Timestamp) {
        self.asked.retain(|_, asked| !asked.allows_another(now));
    }
}
