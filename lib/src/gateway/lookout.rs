//! When engines are asked for their health while the store may not tell that they leave.
//!
//! An engine is asked again a while after its last answer, and never twice at once. What it
//! answers counts at once: engines end some 1.5 s after their notice, and each tenth of a
//! second is half a generation that is copied away or not.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Time between an engine's answer and the next question. Each is priced; with fewer an
/// engine's notice is heard of later.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for an engine to answer.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// No answer yet.
    Open(Timestamp),
    /// Answered then.
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

/// The engines that were asked lately.
#[derive(Debug, Default)]
pub struct Lookout {
    asked: HashMap<UpstreamId, Asked>,
}

impl Lookout {
    /// Whether an engine is to be asked now; if so, it counts as asked.
    pub fn ask(&mut self, engine: &UpstreamId, now: Timestamp) -> bool {
        let is_due = self.asked.get(engine).is_none_or(|asked| asked.allows_another(now));
        if is_due {
            self.asked.insert(engine.clone(), Asked::Open(now));
        }
        is_due
    }

    /// An engine answered, or its time to answer is over.
    pub fn on_answer(&mut self, engine: &UpstreamId, now: Timestamp) {
        self.asked.insert(engine.clone(), Asked::Answered(now));
    }

    /// Forgets engines that may be asked again.
    pub fn forget(&mut self, now: Timestamp) {
        self.asked.retain(|_, asked| !asked.allows_another(now));
    }
}
