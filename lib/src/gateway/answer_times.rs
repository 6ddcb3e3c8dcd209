//! How long plain calls of each route took lately.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::routing::RouteId;
use crate::gateway::usual_time::UsualTime;
use crate::ids::Timestamp;

/// A call counts for this long at least, and for twice as long at most.
const WINDOW: Duration = Duration::from_secs(300);

/// How long the calls of a route took lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTimes {
    usual: UsualTime,
    longest: Duration,
}

impl CallTimes {
    /// The time in which most calls are answered.
    pub fn usual(&self) -> Duration {
        self.usual.time().min(self.longest)
    }

    /// The longest time that a call took.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}

/// The durations of the calls of all routes, in two windows of time. A route that is no longer called is
/// forgotten with its window.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    window_began: Timestamp,
    current: HashMap<RouteId, CallTimes>,
    previous: HashMap<RouteId, CallTimes>,
}

impl AnswerTimes {
    /// Adds the time that a call of a route took.
    pub fn observe(&mut self, route: &RouteId, took: Duration, now: Timestamp) {
        self.forget_old(now);
        if !self.current.contains_key(route) {
            let usual = self.previous.get(route).map(|times| times.usual).unwrap_or_default();
            self.current.insert(route.clone(), CallTimes { usual, longest: Duration::ZERO });
        }
        if let Some(times) = self.current.get_mut(route) {
            times.usual.observe(took);
            times.longest = times.longest.max(took);
        }
    }

    /// Returns how long the calls of a route took; `None` if there were none.
    pub fn of(&mut self, route: &RouteId, now: Timestamp) -> Option<CallTimes> {
        self.forget_old(now);
        match (self.current.get(route), self.previous.get(route)) {
            (Some(current), Some(previous)) => {
                Some(CallTimes { usual: current.usual, longest: current.longest.max(previous.longest) })
            }
            (current, previous) => current.or(previous).copied(),
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        let age = now.saturating_sub(self.window_began);
        if age < WINDOW {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age < 2 * WINDOW { ended } else { HashMap::new() };
        self.window_began = now;
    }
}
