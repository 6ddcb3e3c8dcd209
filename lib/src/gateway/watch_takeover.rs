//! When nodes begin to watch the store because they hear of no answer of the store.
//!
//! What a node knows may be outdated from the moment at which the last watcher stopped. The settings bound how
//! long it may be, so the time until the next node reads the store is derived from that bound, less the time that
//! the read takes. Nodes begin one after the other, so that the first one that watches keeps the others from it.

use std::time::Duration;

/// Time within which the next pulse of a working watcher arrives: the longest interval between two pulses and the
/// time that the store has to answer. A shorter silence is no sign that the watchers have stopped.
pub const PULSE_SILENCE: Duration = Duration::from_millis(1_200);
/// Time from one node's turn to the next; a pulse reaches nearly all of 300 nodes within it.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the available time in which nodes take turns at [`TURN_INTERVAL`]. All others spread evenly over
/// the rest: their turns would come too late.
const TURNS_FRACTION: f64 = 2.0 / 3.0;
/// Time that is kept for the transit of the last pulse, the interval between two checks and a read of the store.
const READ_MARGIN: Duration = Duration::from_millis(400);
/// Size of the largest object in the store.
const MAX_OBJECT_BYTES: f64 = (1 << 20) as f64;
/// The least time over which nodes spread, however small the bound is.
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// How long nodes wait without an answer of the store until they watch it themselves.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverSchedule {
    /// Time after the last answer at which the last node begins.
    deadline: Duration,
}

impl TakeoverSchedule {
    /// Creates the schedule of a node whose knowledge of the store may be outdated for `max_staleness`. Its link
    /// determines how long it takes to read the largest object.
    pub fn new(max_staleness: Duration, link_bits_per_second: f64) -> Self {
        let read_time = Duration::from_secs_f64(MAX_OBJECT_BYTES * 8.0 / link_bits_per_second);
        let deadline = max_staleness.saturating_sub(READ_MARGIN + read_time);
        TakeoverSchedule { deadline: deadline.max(PULSE_SILENCE + MIN_SPREAD) }
    }

    /// Time after the last answer at which a node begins to watch. `position` is its place in the order of the
    /// `others`, from 0 for the first to 1. The first one waits for `earliest`, and the last one for at most
    /// `max_spread` longer.
    pub fn wait(&self, position: f64, others: usize, earliest: Duration, max_spread: Duration) -> Duration {
        let spread = self.deadline.saturating_sub(earliest).min(max_spread);
        let in_turns = spread.mul_f64(TURNS_FRACTION);
        let turn = TURN_INTERVAL.mul_f64(position * others as f64);
        let after_turns = in_turns + (spread - in_turns).mul_f64(position);
        earliest + if turn < in_turns { turn } else { after_turns }
    }
}
