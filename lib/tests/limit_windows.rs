//! The bound on what a replica with a limit may receive: one and a half times the limit, plus 5 requests,
//! in any 4 s.

use std::ops::Add;

/// Length of the window in which requests are counted.
pub const WINDOW_S: f64 = 4.0;

/// Returns the number of requests that are allowed in a window under a limit.
pub fn max_allowed(limit: f64) -> usize {
    (limit * 1.5 * WINDOW_S + 5.0) as usize
}

/// Returns the maximum number of `moments`, which are sorted, within a window.
pub fn max_within<T: Copy + PartialOrd + Add<Output = T>>(moments: &[T], window: T) -> usize {
    let count_before = |end: T| moments.partition_point(|at| *at < end);
    moments.iter().enumerate().map(|(first, start)| count_before(*start + window) - first).max().unwrap_or(0)
}
