//! Forecasts when full engines will have room again, from the memory that was freed recently.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time constant, in seconds, of the decay of freed memory. It is about the length of some generations,
/// as the room of the next seconds comes from generations that run now.
const TIME_CONSTANT_S: f64 = 5.0;
/// Minimum time of observation for a forecast.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// The memory freed at the engines of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomForecast {
    /// Tokens of memory; the sum decays over time.
    freed: f64,
    updated_at: Timestamp,
    since: Option<Timestamp>,
}

impl RoomForecast {
    /// Records the memory freed by a generation that left an engine which stays.
    pub fn on_freed(&mut self, tokens: f64, now: Timestamp) {
        self.freed = self.recently_freed(now) + tokens;
        self.updated_at = now;
        self.since.get_or_insert(now);
    }

    /// Time until this many tokens of memory have been freed, or `None` while the observation is too
    /// short.
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
