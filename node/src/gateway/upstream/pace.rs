//! How regularly a stream's events came.

use std::time::Duration;

use tokio::time::Instant;

/// When a stream's events came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// From the request to the first event.
    pub first: Option<Duration>,
    last: Option<Instant>,
    /// The longest time between two events.
    pub longest_gap: Duration,
}

impl Pace {
    /// An event came, of a request that came at `came`.
    pub fn on_event(&mut self, came: Instant) {
        let now = Instant::now();
        self.first.get_or_insert(now - came);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }
}
