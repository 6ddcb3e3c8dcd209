//! Pauses of this process, after which its times say nothing of replicas: what it was answered meanwhile seems slow, and so does
//! what it sends at once of all that has queued up.

use std::time::Duration;

use crate::ids::Timestamp;

/// Ticks that come further apart than this tell of a pause.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// What has queued up is sent and answered within this.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The last pause, seen from ticks that should come a few times a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessPauses {
    last_tick: Timestamp,
    /// The end of the last pause, with the time that it takes to recover.
    recovered_at: Timestamp,
}

impl ProcessPauses {
    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_pause(now) {
            self.recovered_at = now + RECOVERY_TIME;
        }
        self.last_tick = now;
    }

    /// Whether something that began then and has just ended took longer because of a pause, perhaps.
    pub fn may_affect(&self, began: Timestamp, now: Timestamp) -> bool {
        self.is_pause(now) || began < self.recovered_at
    }

    fn is_pause(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.last_tick) > MAX_TICK_GAP
    }
}
