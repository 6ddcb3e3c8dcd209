//! Measures the intervals between a stream's events.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::gap_meter::GapMeter;

/// The intervals between a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Time from the request to the first event.
    pub first: Option<Duration>,
    last: Option<Instant>,
    /// The longest time between two events.
    pub longest_gap: Duration,
    /// The next event is the first one at an engine.
    is_new_engine: bool,
}

impl Pace {
    /// Records an event of a request that was received at `request_received`. Intervals are also recorded in
    /// `gaps`.
    pub fn on_event(&mut self, request_received: Instant, gaps: &GapMeter) {
        let now = Instant::now();
        self.first.get_or_insert(now - request_received);
        let is_new_engine = std::mem::take(&mut self.is_new_engine);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
            gaps.record(now - last, is_new_engine);
        }
    }

    /// Records that the next event comes from another engine.
    pub fn on_new_engine(&mut self) {
        self.is_new_engine = true;
    }
}
