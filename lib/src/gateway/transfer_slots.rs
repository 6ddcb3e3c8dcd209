//! Limits how many large transfers a node serves at once, and schedules the retries of the other
//! receivers.
//!
//! A node's link has the capacity for only a few large transfers at once. When they run one after the
//! other, the first receivers finish early and can serve the data to others; when all run at once, all
//! finish late.

use std::time::Duration;

/// Bits a second that one receiver uses: the capacity of the smallest links.
const RECEIVER_BITS_PER_SECOND: f64 = 10e6;
/// Fraction of a link that transfers may use; the remainder is for callers.
const LINK_FRACTION: f64 = 0.5;
/// Maximum number of concurrent transfers, however large the link.
const MAX_CONCURRENT_TRANSFERS: usize = 20;
/// Assumed duration of a transfer until one has ended.
const INITIAL_TRANSFER_TIME: Duration = Duration::from_millis(100);
/// Weight of a transfer in the moving average of durations.
const AVERAGE_WEIGHT: f64 = 0.3;
/// Minimum and maximum delay after which a refused node retries.
const RETRY_DELAY_BOUNDS: (Duration, Duration) = (Duration::from_millis(30), Duration::from_secs(1));

/// Returns how many large transfers a node serves at once, given the capacity of its link.
pub fn max_concurrent(link_bits_per_second: f64) -> usize {
    ((link_bits_per_second * LINK_FRACTION / RECEIVER_BITS_PER_SECOND) as usize)
        .clamp(1, MAX_CONCURRENT_TRANSFERS)
}

/// The transfers that a node is serving.
#[derive(Debug)]
pub struct TransferSlots {
    max_open: usize,
    open: usize,
    /// Number of refusals since a slot last became free.
    refused: usize,
    average_time: Duration,
}

impl TransferSlots {
    /// Creates a state without transfers that allows `max_open` at once.
    pub fn new(max_open: usize) -> Self {
        TransferSlots { max_open, open: 0, refused: 0, average_time: INITIAL_TRANSFER_TIME }
    }

    /// Requests a slot. Returns the delay until the retry if none is free; each refused node retries one
    /// transfer's duration after the previous one.
    pub fn try_acquire(&mut self) -> Result<(), Duration> {
        if self.open < self.max_open {
            self.open += 1;
            return Ok(());
        }
        self.refused += 1;
        let turns = self.refused.div_ceil(self.max_open) as u32;
        Err((self.average_time * turns).clamp(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1))
    }

    /// Records the end of a transfer, complete or not, and its duration.
    pub fn release(&mut self, took: Duration) {
        self.open = self.open.saturating_sub(1);
        self.refused = 0;
        self.average_time = self.average_time.mul_f64(1.0 - AVERAGE_WEIGHT) + took.mul_f64(AVERAGE_WEIGHT);
    }
}
