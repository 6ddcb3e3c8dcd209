//! Pauses of this process, after which its times say nothing of replicas: what it was answered meanwhile seems slow, and so does
//! what it sends at once of all that has queued up.

use std::time::Duration;

use crate::ids::Timestamp;

/// Ticks that come further apart than this tell of a pause.
const LONGEST_GAP: Duration = Duration::from_millis(500);
/// What has queued up is sent and answered within this.
const RECOVERS_WITHIN: Duration = Duration::from_secs(2);

/// The last pause, seen from ticks that should come a few times a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    last_tick: Timestamp,
    /// The end of the last pause, with the time that it takes to recover.
    disturbed_until: Timestamp,
}

impl Pauses {
    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_pausing(now) {
            self.disturbed_until = now + RECOVERS_WITHIN;
        }
        self.last_tick = now;
    }

    /// Whether something that began then and has just ended took longer because of a pause, perhaps.
    pub fn disturb(&self, began: Timestamp, now: Timestamp) -> bool {
        self.is_pausing(now) || began < self.disturbed_until
    }

    fn is_pausing(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.last_tick) > LONGEST_GAP
    }
}
