//! When engines that are full will have room again, judged by how much memory became free lately.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time constant in seconds of the memory that became free: of some generations' length, as the
/// room of the next seconds comes from the ends of those that run now.
const TIME_CONSTANT_S: f64 = 5.0;
/// A forecast needs this much to have been seen; before that, nothing is known.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// What became free at the engines of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomForecast {
    /// Tokens of memory, fading.
    freed: f64,
    updated_at: Timestamp,
    since: Option<Timestamp>,
}

impl RoomForecast {
    /// A generation left an engine that stays, and so much of its memory.
    pub fn on_freed(&mut self, tokens: f64, now: Timestamp) {
        self.freed = self.recently_freed(now) + tokens;
        self.updated_at = now;
        self.since.get_or_insert(now);
    }

    /// Time until so many tokens of memory have become free; `None` while too little was seen.
    pub fn time_until(&self, tokens: f64, now: Timestamp) -> Option<Duration> {
        let observed = now.saturating_sub(self.since?);
        if observed < MIN_OBSERVATION {
            return None;
        }
        let span = TIME_CONSTANT_S * (1.0 - (-observed.as_secs_f64() / TIME_CONSTANT_S).exp());
        let per_second = self.recently_freed(now) / span;
        Some(Duration::try_from_secs_f64(tokens / per_second).unwrap_or(Duration::MAX))
    }

    fn recently_freed(&self, now: Timestamp) -> f64 {
        self.freed * (-now.saturating_sub(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }
}
