//! How many nodes are handed something large at once, and when the others should come back.
//!
//! A node's link bears few large transfers at once: one after the other, the first receivers have
//! all of it early and can hand it on, while all at once they all have it late.

use std::time::Duration;

/// Bits a second that one receiver takes: what the smallest links carry.
const RECEIVER_BITS_PER_SECOND: f64 = 10e6;
/// Part of a link that transfers may take: the rest is for callers.
const PART_OF_LINK: f64 = 0.5;
/// Handed out to at once at most, however large the link.
const MOST_AT_ONCE: usize = 20;
/// What a transfer is taken to last before one has ended.
const GUESSED_TIME: Duration = Duration::from_millis(100);
/// A transfer's weight in the average time.
const WEIGHT: f64 = 0.3;
/// The shortest and the longest time after which a node is told to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(30), Duration::from_secs(1));

/// How many large things a node with a link of so many bits a second hands out at once.
pub fn at_once(link_bits_per_second: f64) -> usize {
    ((link_bits_per_second * PART_OF_LINK / RECEIVER_BITS_PER_SECOND) as usize).clamp(1, MOST_AT_ONCE)
}

/// What is being handed out.
#[derive(Debug)]
pub struct Handouts {
    most: usize,
    open: usize,
    /// How often a node was told to come back since a place last became free.
    refused: usize,
    usual_time: Duration,
}

impl Handouts {
    /// Nothing yet; `most` at once.
    pub fn new(most: usize) -> Self {
        Handouts { most, open: 0, refused: 0, usual_time: GUESSED_TIME }
    }

    /// A node asks. It gets a place, or is told when to come back: each a transfer's time after
    /// the one before.
    pub fn ask(&mut self) -> Result<(), Duration> {
        if self.open < self.most {
            self.open += 1;
            return Ok(());
        }
        self.refused += 1;
        let turns = self.refused.div_ceil(self.most) as u32;
        Err((self.usual_time * turns).clamp(COME_BACK.0, COME_BACK.1))
    }

    /// A transfer ended, whole or not, after this time.
    pub fn end(&mut self, took: Duration) {
        self.open = self.open.saturating_sub(1);
        self.refused = 0;
        self.usual_time = self.usual_time.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }
}
