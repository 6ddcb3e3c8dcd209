//! What replicas that name limits may get at the most: one and a half times the limit, and 5 requests, in any 4 s.

use std::ops::Add;

/// Seconds in which requests are counted.
pub const WINDOW_S: f64 = 4.0;

/// Requests that are allowed in a window under a limit.
pub fn max_allowed(limit: f64) -> usize {
    (limit * 1.5 * WINDOW_S + 5.0) as usize
}

/// The most of some moments, in their order, that lie within a window.
pub fn max_within<T: Copy + PartialOrd + Add<Output = T>>(moments: &[T], window: T) -> usize {
    let count_before = |end: T| moments.partition_point(|at| *at < end);
    moments.iter().enumerate().map(|(first, start)| count_before(*start + window) - first).max().unwrap_or(0)
}
