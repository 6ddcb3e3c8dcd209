//! How many nodes are handed something large at once, and when the others should come back.
//!
//! A node's link bears few large transfers at once: one after the other, the first receivers have
//! all of it early and can hand it on, while all at once they all have it late.

use std::time::Duration;

/// Bits a second that one receiver takes: what the smallest links carry.
const RECEIVER_BITS_PER_SECOND: f64 = 10e6;
/// Part of a link that transfers may take: the rest is for callers.
const LINK_FRACTION: f64 = 0.5;
/// Handed out to at once at most, however large the link.
const MAX_CONCURRENT_TRANSFERS: usize = 20;
/// What a transfer is taken to last before one has ended.
const INITIAL_TRANSFER_TIME: Duration = Duration::from_millis(100);
/// A transfer's weight in the average time.
const AVERAGE_WEIGHT: f64 = 0.3;
/// The shortest and the longest time after which a node is told to come back.
const RETRY_DELAY_BOUNDS: (Duration, Duration) = (Duration::from_millis(30), Duration::from_secs(1));

/// How many large things a node with a link of so many bits a second hands out at once.
pub fn max_concurrent(link_bits_per_second: f64) -> usize {
    ((link_bits_per_second * LINK_FRACTION / RECEIVER_BITS_PER_SECOND) as usize)
        .clamp(1, MAX_CONCURRENT_TRANSFERS)
}

/// What is being handed out.
#[derive(Debug)]
pub struct TransferSlots {
    max_open: usize,
    open: usize,
    /// How often a node was told to come back since a place last became free.
    refused: usize,
    average_time: Duration,
}

impl TransferSlots {
    /// Nothing yet; `max_open` at once.
    pub fn new(max_open: usize) -> Self {
        TransferSlots { max_open, open: 0, refused: 0, average_time: INITIAL_TRANSFER_TIME }
    }

    /// A node asks. It gets a place, or is told when to come back: each a transfer's time after
    /// the one before.
    pub fn try_acquire(&mut self) -> Result<(), Duration> {
        if self.open < self.max_open {
            self.open += 1;
            return Ok(());
        }
        self.refused += 1;
        let turns = self.refused.div_ceil(self.max_open) as u32;
        Err((self.average_time * turns).clamp(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1))
    }

    /// A transfer ended, whole or not, after this time.
    pub fn release(&mut self, took: Duration) {
        self.open = self.open.saturating_sub(1);
        self.refused = 0;
        self.average_time = self.average_time.mul_f64(1.0 - AVERAGE_WEIGHT) + took.mul_f64(AVERAGE_WEIGHT);
    }
}
