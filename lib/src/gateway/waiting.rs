//! Generations that wait at their service's lead until an engine has room.
//!
//! Those that can still begin in time go first, the most urgent of them before others and each kind in
//! the order of arrival. One that can't any more goes behind them: where engines get 1.1 times what
//! they can read, a queue by arrival soon has all begin late, this one a tenth. So that late ones are served
//! too, one that has been late for [`OVERDUE_AFTER_FRACTION`] of the time until its caller leaves goes before all others,
//! but only as one of several that are given an engine: where far more comes than engines take, all would be
//! late for long before they are served.
//!
//! One waits only while it can be expected to begin before its caller leaves: a caller that is told at
//! once comes back when there is room, and one that is held and then refused has lost both its time
//! and its place.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Timestamp;

/// Callers that are refused come back earlier or later by up to this part, so that those that
/// were refused together don't return together.
const RETRY_DELAY_JITTER: f64 = 0.25;

/// Part of the time between its being late and its caller's leaving after which one goes before all
/// others. At 1.1 times the prompts that engines read, for 15 s, 404 of 3,256 long streams begin late
/// (551 with a half, 380 with three quarters), and nobody leaves; at 1.3 times 34 of 6,397 callers leave
/// (none with a half, 55 with three quarters), as against 296 in a queue by arrival (measured on modelled
/// engines before [`OVERDUE_INTERVAL`] bounded it).
const OVERDUE_AFTER_FRACTION: f64 = 0.6;

/// Of so many that are given an engine one may have been late for long while others can begin in time: enough
/// where engines get 1.1 times what they can read, so that nobody leaves there.
const OVERDUE_INTERVAL: u32 = 4;
/// The same while more than [`MAX_FEW_OVERDUE`] have been late for long. Far more comes then than engines take, and
/// each of them that went first would make another one late. On modelled engines
/// (`test_what_callers_get_at_full_engines`), at 1.3 times what they read, 5,392 of 6,254 begin in time, 390
/// late, and 472 callers leave; 5,172, 596 and 595 of 6,363 with one of four in any case; 3,555, 2,808 and 34 of
/// 6,397 where whoever had been late for long went first.
const MANY_OVERDUE_INTERVAL: u32 = 32;
/// While no more than these have been late for long, one of [`OVERDUE_INTERVAL`] is enough for them. With 12 in its
/// place 40 of some 5,800 callers leave at 1.1 times what modelled engines read, with 40 fewer begin in time
/// at 1.3 times (5,345).
const MAX_FEW_OVERDUE: usize = 24;

/// No engine has room for a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct NoRoom {
    /// When there should be room, as far as that is known.
    pub expected: Option<Duration>,
}

/// Something that waits.
#[derive(Debug)]
pub struct Waiting<T> {
    /// What waits.
    pub item: T,
    /// Its urgency; 0 goes first.
    pub priority: u8,
    /// Given an engine later than this, it begins late.
    pub due: Timestamp,
    /// When it is given up.
    pub until: Timestamp,
    /// Tokens of memory that it needs.
    pub tokens: f64,
}

/// Whose turn comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// It has been late for long, and it is the turn of such a one: the longest goes first, whatever its
    /// urgency.
    OverdueFirst { due: Timestamp },
    /// It can still begin in time.
    InTime { priority: u8 },
    /// It has been late for long.
    Overdue { due: Timestamp },
    /// It can't begin in time any more.
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

/// The queue of a service. It is kept by urgency and then by arrival; whose turn it is changes with the
/// time.
#[derive(Debug)]
pub struct WaitQueue<T> {
    queue: VecDeque<Waiting<T>>,
    /// How many were given an engine since the last one that had been late for long.
    since_overdue: u32,
    /// The same before the last one was taken out, should it be put back.
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
    /// Adds one behind those that are as urgent.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let at = self.queue.partition_point(|other| other.priority <= waiting.priority);
        self.queue.insert(at, waiting);
    }

    /// Whether none waits that would go before one of this urgency that can begin in time.
    pub fn is_next(&self, priority: u8, now: Timestamp) -> bool {
        self.entries_before(priority, now).next().is_none()
    }

    /// Tokens of memory that are needed by those that would go before one of this urgency that can
    /// begin in time.
    pub fn tokens_before(&self, priority: u8, now: Timestamp) -> f64 {
        self.entries_before(priority, now).map(|other| other.tokens).sum()
    }

    fn entries_before(&self, priority: u8, now: Timestamp) -> impl Iterator<Item = &Waiting<T>> {
        let overdue_first = self.overdue_first(now);
        self.queue.iter().filter(move |other| other.turn(now, overdue_first) <= Turn::InTime { priority })
    }

    /// Takes those out that can no longer be expected to begin before they are given up: that time has
    /// come, or will before `time_until` the memory is free that they and those before them need, where
    /// that is known.
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

    /// Where those that wait stand, in the order of their turns.
    fn in_turn(&self, now: Timestamp) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.queue.len()).collect();
        let overdue_first = self.overdue_first(now);
        order.sort_by_key(|at| self.queue[*at].turn(now, overdue_first));
        order
    }

    /// Takes the one out whose turn it is.
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

    /// One was given an engine that did not wait.
    pub fn on_direct_placement(&mut self) {
        self.since_overdue = self.since_overdue.saturating_add(1);
    }

    /// Whether one that has been late for long goes before those that can begin in time.
    fn overdue_first(&self, now: Timestamp) -> bool {
        self.since_overdue + 1 >= self.overdue_interval(now)
    }

    /// Of how many that are given an engine one may have been late for long.
    fn overdue_interval(&self, now: Timestamp) -> u32 {
        let is_overdue = |waiting: &&Waiting<T>| matches!(waiting.turn(now, false), Turn::Overdue { .. });
        let overdue = self.queue.iter().filter(is_overdue).count();
        if overdue <= MAX_FEW_OVERDUE { OVERDUE_INTERVAL } else { MANY_OVERDUE_INTERVAL }
    }

    /// Puts one back that was taken out: it goes before those that are as urgent.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        let at = self.queue.partition_point(|other| other.priority < waiting.priority);
        self.queue.insert(at, waiting);
        self.since_overdue = self.since_overdue_before;
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// When a caller comes back that is refused while nothing is known of when it would be served: soon,
/// as its next attempt reaches another node and perhaps another replica.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The soonest that a caller returns: a lead looks at what became free ten times a second.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The latest: forecasts reach no further than what was seen in the last seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// When a caller comes back that is refused as room is expected after `expected`, if that is known.
pub fn retry_delay<R: Rng>(expected: Option<Duration>, rng: &mut R) -> Duration {
    let expected = expected.unwrap_or(DEFAULT_RETRY_DELAY).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    expected.mul_f64(rng.random_range(1.0 - RETRY_DELAY_JITTER..=1.0 + RETRY_DELAY_JITTER))
}
