//! Pauses of this process, after which its measured times say nothing about replicas: responses that
//! arrived during a pause seem slow, and so do responses to the requests that queued up and are sent all at
//! once after it.

use std::time::Duration;

use crate::ids::Timestamp;

/// Ticks that are further apart than this indicate a pause.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Time within which the requests that queued up during a pause are sent and answered.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The last pause, detected from ticks that should come a few times a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPauses {
    last_tick: Timestamp,
    /// The end of the last pause plus the recovery time.
    recovered_at: Timestamp,
}

impl ProcessPauses {
    /// Detects a pause since the last tick. Called a few times a second.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_pause(now) {
            self.recovered_at = now + RECOVERY_TIME;
        }
        self.last_tick = now;
    }

    /// Whether an operation that began at `began` and has just ended may have been slowed down by a pause.
    pub fn may_affect(&self, began: Timestamp, now: Timestamp) -> bool {
        self.is_pause(now) || began < self.recovered_at
    }

    fn is_pause(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.last_tick) > MAX_TICK_GAP
    }
}
