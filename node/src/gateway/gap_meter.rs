//! Passes a stream's longest gaps between events to the control thread.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A stream's longest gaps, which the stream records and the control thread reads.
#[derive(Debug, Default)]
pub struct GapMeter {
    /// In microseconds.
    longest: AtomicU32,
    /// In microseconds, since the last call of [`GapMeter::take_at_engine`].
    longest_at_engine: AtomicU32,
}

impl GapMeter {
    /// Records a gap; that before the first event at a new engine belongs to the move.
    pub fn record(&self, gap: Duration, is_new_engine: bool) {
        let micros = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
        self.longest.fetch_max(micros, Ordering::Relaxed);
        if !is_new_engine {
            self.longest_at_engine.fetch_max(micros, Ordering::Relaxed);
        }
    }

    /// The longest gap of the stream.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.longest.load(Ordering::Relaxed).into())
    }

    /// The longest gap since the last call, other than those of moves.
    pub fn take_at_engine(&self) -> Duration {
        Duration::from_micros(self.longest_at_engine.swap(0, Ordering::Relaxed).into())
    }
}
