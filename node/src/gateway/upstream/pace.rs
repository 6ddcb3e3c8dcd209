//! Measures the intervals between a stream's events.

use std::time::Duration;

use tokio::time::Instant;

/// The intervals between a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Time from the request to the first event.
    pub first: Option<Duration>,
    last: Option<Instant>,
    /// The longest time between two events.
    pub longest_gap: Duration,
}

impl Pace {
    /// Records an event of a request that was received at `request_received`.
    pub fn on_event(&mut self, request_received: Instant) {
        let now = Instant::now();
        self.first.get_or_insert(now - request_received);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }
}
