//! The queue of generations that wait at their service's lead until an engine has room.
//!
//! Generations that can still begin in time go first, ordered by urgency and then by arrival. Those that
//! can no longer begin in time follow: at 1.1 times the engines' prefill capacity, ordering by arrival
//! alone soon makes all generations begin late, this order a tenth. So that late generations are served
//! too, a generation that has been late for [`OVERDUE_AFTER_FRACTION`] of the time until its caller
//! leaves is overdue and goes before all others, but only in a limited share of the placements: where the
//! load far exceeds the capacity, all generations would be overdue before they are served.
//!
//! A generation waits only while it can be expected to begin before its caller leaves. A caller that is
//! refused at once retries when there is room, while a caller that is held and then refused has lost both
//! its time and its place.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Timestamp;

/// Fraction by which the delay of refused callers is varied in either direction, so that callers refused
/// at the same time do not retry at the same time.
const RETRY_DELAY_JITTER: f64 = 0.25;

/// Fraction of the time from a generation's becoming late to its caller's leaving after which it is
/// overdue. At 1.1 times the engines' prefill capacity, for 15 s, 404 of 3,256 long streams begin late
/// (551 with 0.5, 380 with 0.75), and no caller leaves. At 1.3 times, 34 of 6,397 callers leave (none
/// with 0.5, 55 with 0.75), compared to 296 in a queue ordered by arrival. These figures are from
/// modelled engines without the bound [`OVERDUE_INTERVAL`].
const OVERDUE_AFTER_FRACTION: f64 = 0.6;

/// One of this many placements may go to an overdue generation while others can begin in time. At 1.1
/// times the engines' prefill capacity, this is enough that no caller leaves.
const OVERDUE_INTERVAL: u32 = 4;
/// The interval while more than [`MAX_FEW_OVERDUE`] generations are overdue. The load then far exceeds
/// the engines' capacity, and each overdue generation that goes first makes another one late. On modelled
/// engines (`test_what_callers_get_at_full_engines`), at 1.3 times their prefill capacity, 5,392 of 6,254
/// generations begin in time, 390 begin late, and 472 callers leave; with a fixed interval of 4 it is
/// 5,172, 596 and 595 of 6,363, and 3,555, 2,808 and 34 of 6,397 where overdue generations always go
/// first.
const MANY_OVERDUE_INTERVAL: u32 = 32;
/// Up to this many overdue generations, [`OVERDUE_INTERVAL`] serves them. With 12 instead, 40 of some
/// 5,800 callers leave at 1.1 times the prefill capacity of modelled engines; with 40, fewer begin in
/// time at 1.3 times (5,345).
const MAX_FEW_OVERDUE: usize = 24;

/// No engine has room for a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct NoRoom {
    /// The expected time until there is room, if known.
    pub expected: Option<Duration>,
}

/// An entry of the queue.
#[derive(Debug)]
pub struct Waiting<T> {
    /// The waiting item.
    pub item: T,
    /// Its urgency; 0 is the most urgent.
    pub priority: u8,
    /// If the item is placed after this time, it begins late.
    pub due: Timestamp,
    /// The time at which the item is abandoned.
    pub until: Timestamp,
    /// Tokens of memory that the item needs.
    pub tokens: f64,
}

/// The class of an entry, in the order in which entries are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// Overdue, and an overdue entry is next: the one that was due first goes first, regardless of
    /// urgency.
    OverdueFirst { due: Timestamp },
    /// Can still begin in time.
    InTime { priority: u8 },
    /// Overdue, while it is not the turn of an overdue entry.
    Overdue { due: Timestamp },
    /// Can no longer begin in time.
    Late { priority: u8 },
}

impl<T> Waiting<T> {
    fn turn(&self, now: Timestamp, overdue_first: bool) -> Turn {
        let overdue_after = self.until.saturating_sub(self.due).mul_f64(OVERDUE_AFTER_FRACTION);
        if now <= self.due {
            Turn::InTime { priority: self.priority }
        } else if now < self.due + overdue_after {
            Turn::Late { priority: self.priority }
        } else if overdue_first {
            Turn::OverdueFirst { due: self.due }
        } else {
            Turn::Overdue { due: self.due }
        }
    }
}

/// The queue of a service, sorted by urgency and then by arrival. The order of placement depends on the
/// current time.
#[derive(Debug)]
pub struct WaitQueue<T> {
    queue: VecDeque<Waiting<T>>,
    /// Number of placements since the last overdue entry.
    since_overdue: u32,
    /// The previous value, restored if the entry that was last taken out is put back.
    since_overdue_before: u32,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        WaitQueue {
            queue: VecDeque::new(),
            since_overdue: OVERDUE_INTERVAL,
            since_overdue_before: OVERDUE_INTERVAL,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds an entry behind those of the same urgency.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let at = self.queue.partition_point(|other| other.priority <= waiting.priority);
        self.queue.insert(at, waiting);
    }

    /// Whether no entry goes before a new one of this urgency that can begin in time.
    pub fn is_next(&self, priority: u8, now: Timestamp) -> bool {
        self.entries_before(priority, now).next().is_none()
    }

    /// Returns the tokens of memory needed by the entries that go before a new one of this urgency that
    /// can begin in time.
    pub fn tokens_before(&self, priority: u8, now: Timestamp) -> f64 {
        self.entries_before(priority, now).map(|other| other.tokens).sum()
    }

    fn entries_before(&self, priority: u8, now: Timestamp) -> impl Iterator<Item = &Waiting<T>> {
        let overdue_first = self.overdue_first(now);
        self.queue.iter().filter(move |other| other.turn(now, overdue_first) <= Turn::InTime { priority })
    }

    /// Removes the entries that can no longer be expected to begin before they are abandoned: the time of
    /// abandonment has passed, or by `time_until` the memory for them and the entries before them is
    /// expected to be free only later. Returns them with that expected time, if known.
    pub fn take_unservable(
        &mut self,
        now: Timestamp,
        time_until: impl Fn(f64) -> Option<Duration>,
    ) -> Vec<(T, Option<Duration>)> {
        let mut unservable = Vec::new();
        let mut tokens = 0.0;
        let mut expected = vec![None; self.queue.len()];
        for at in self.in_turn(now) {
            let waiting = &self.queue[at];
            let after = time_until(tokens + waiting.tokens);
            let has_expired = waiting.until <= now;
            if has_expired || after.is_some_and(|after| after > waiting.until - now) {
                expected[at] = Some(after);
            } else {
                tokens += waiting.tokens;
            }
        }
        let mut remaining = VecDeque::new();
        for (waiting, expected) in std::mem::take(&mut self.queue).into_iter().zip(expected) {
            match expected {
                Some(expected) => unservable.push((waiting.item, expected)),
                None => remaining.push_back(waiting),
            }
        }
        self.queue = remaining;
        unservable
    }

    /// Returns the indices of the entries in the order of placement.
    fn in_turn(&self, now: Timestamp) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.queue.len()).collect();
        let overdue_first = self.overdue_first(now);
        order.sort_by_key(|at| self.queue[*at].turn(now, overdue_first));
        order
    }

    /// Removes and returns the next entry.
    pub fn pop(&mut self, now: Timestamp) -> Option<Waiting<T>> {
        let overdue_first = self.overdue_first(now);
        let turns = self.queue.iter().map(|waiting| waiting.turn(now, overdue_first)).enumerate();
        let (at, turn) = turns.min_by_key(|(_, turn)| *turn)?;
        self.since_overdue_before = self.since_overdue;
        match turn {
            Turn::OverdueFirst { .. } | Turn::Overdue { .. } => self.since_overdue = 0,
            Turn::InTime { .. } | Turn::Late { .. } => self.on_direct_placement(),
        }
        self.queue.remove(at)
    }

    /// Records the placement of a generation that was not overdue, such as one that did not wait.
    pub fn on_direct_placement(&mut self) {
        self.since_overdue = self.since_overdue.saturating_add(1);
    }

    /// Whether an overdue entry goes before entries that can begin in time.
    fn overdue_first(&self, now: Timestamp) -> bool {
        self.since_overdue + 1 >= self.overdue_interval(now)
    }

    /// Returns the number of placements of which one may go to an overdue entry.
    fn overdue_interval(&self, now: Timestamp) -> u32 {
        let is_overdue = |waiting: &&Waiting<T>| matches!(waiting.turn(now, false), Turn::Overdue { .. });
        let overdue = self.queue.iter().filter(is_overdue).count();
        if overdue <= MAX_FEW_OVERDUE { OVERDUE_INTERVAL } else { MANY_OVERDUE_INTERVAL }
    }

    /// Puts back an entry that was taken out, before those of the same urgency.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        let at = self.queue.partition_point(|other| other.priority < waiting.priority);
        self.queue.insert(at, waiting);
        self.since_overdue = self.since_overdue_before;
    }

    /// The number of waiting entries.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Delay for a refused caller if the time until there is room is unknown: short, as the next attempt
/// reaches another node and perhaps another replica.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum delay: a lead checks ten times a second which engines have room.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay: forecasts extend no further than the observations of the last seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Returns the delay after which a refused caller retries when room is expected after `expected`, if
/// known.
pub fn retry_delay<R: Rng>(expected: Option<Duration>, rng: &mut R) -> Duration {
    let expected = expected.unwrap_or(DEFAULT_RETRY_DELAY).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    expected.mul_f64(rng.random_range(1.0 - RETRY_DELAY_JITTER..=1.0 + RETRY_DELAY_JITTER))
}
