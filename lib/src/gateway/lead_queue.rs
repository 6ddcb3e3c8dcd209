//! A lead's queue of generations that want an engine: who is given one at once, who waits, who goes when one
//! has room, and who is told that there will be none in time.
//!
//! Where memory is short, one that needs less may fit where the first one does not: up to
//! [`MAX_SKIPPED`] are passed over then. They keep their places, and one that had been late for long has had its
//! turn. Where no engine reads soon, none does for a smaller prompt either.
//!
//! On modelled engines whose memory holds six long streams (`test_fleet_model`), 20 days each at 1.14 and 1.3
//! times the usual load, 0.864 and 0.736 of what could be were earned so and 0.840 and 0.723 with nobody
//! passed over (+- 0.01); with two 0.866 and 0.736, with eight 0.874 and 0.738. Of prompts over 4,500 tokens
//! 0.53 and 0.37 began in time with none, 0.55 to 0.57 and 0.36 to 0.37 with two or eight. On engines that are
//! short of reading it was 0.878 at 1.4 times the load, 0.869 with none (60 days, +- 0.002).

use std::time::Duration;

use crate::gateway::policy::Policy;
use crate::gateway::shortage::Shortage;
use crate::gateway::shortage::ShortageClock;
use crate::gateway::shortage::ShortageTimes;
use crate::gateway::waiting::WaitQueue;
use crate::gateway::waiting::Waiting;
use crate::ids::Timestamp;

/// Generations that are passed over in one look at most. Each costs a choice among all engines, and what eight
/// gain over two is within what days differ by.
const MAX_SKIPPED: usize = 4;

/// Where generations can go.
pub trait Engines<T> {
    /// A place at an engine.
    type Place;

    /// Finds a place and takes it.
    fn choose(&mut self, item: &T) -> Result<Self::Place, Shortage>;

    /// Time until so many tokens of memory are free, where that can be told.
    fn time_until(&self, tokens: f64) -> Option<Duration>;
}

/// What holds for one that asks.
#[derive(Clone, Copy, Debug)]
pub struct QueueTerms {
    /// Its urgency; 0 goes first.
    pub priority: u8,
    /// Given an engine within this, it begins in time.
    pub in_time: Duration,
    /// It is given up after this.
    pub may_wait: Duration,
    /// Tokens of memory that it needs.
    pub tokens: f64,
}

/// What becomes at once of one that asks.
#[derive(Debug)]
pub enum QueueReply<T, P> {
    /// It has a place.
    Placed(T, P),
    /// No engine has room in time; when one has, if that is known.
    Refused(T, Option<Duration>),
    /// It waits.
    Waits,
}

/// What became of one that waited.
#[derive(Debug)]
pub struct Settled<T, P> {
    /// Which one.
    pub item: T,
    /// A place, or when there is room, if that is known.
    pub outcome: Result<P, Option<Duration>>,
    /// What it waited for.
    pub waited: ShortageTimes,
}

/// Those that wait in one place.
#[derive(Debug)]
pub struct LeadQueue<T> {
    queue: WaitQueue<QueueEntry<T>>,
    shortage: ShortageClock,
    max_skipped: usize,
}

/// One that waits.
#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    /// What had been short in its queue when it came.
    shortage_at_start: ShortageTimes,
}

impl<T> LeadQueue<T> {
    /// None waits yet.
    pub fn new(policy: Policy) -> Self {
        LeadQueue {
            queue: WaitQueue::default(),
            shortage: ShortageClock::default(),
            max_skipped: if policy.pass_over { MAX_SKIPPED } else { 0 },
        }
    }

    /// One asks for a place. It waits if it can be expected to begin before its caller leaves.
    pub fn ask<E: Engines<T>>(
        &mut self,
        item: T,
        terms: &QueueTerms,
        engines: &mut E,
        now: Timestamp,
    ) -> QueueReply<T, E::Place> {
        if self.queue.is_next(terms.priority, now) {
            match engines.choose(&item) {
                Ok(place) => {
                    self.queue.on_direct_placement();
                    return QueueReply::Placed(item, place);
                }
                Err(shortage) => self.shortage.set(shortage, now),
            }
        }
        let tokens = self.queue.tokens_before(terms.priority, now) + terms.tokens;
        let expected = engines.time_until(tokens);
        if terms.may_wait.is_zero() || expected.is_some_and(|expected| expected > terms.may_wait) {
            return QueueReply::Refused(item, expected);
        }
        self.queue.push(Waiting {
            priority: terms.priority,
            due: now + terms.in_time,
            until: now + terms.may_wait,
            tokens: terms.tokens,
            item: QueueEntry { item, shortage_at_start: self.shortage.times(now) },
        });
        QueueReply::Waits
    }

    /// Gives places to those that can go on now, and gives up those that can't be expected to begin in time.
    pub fn settle<E: Engines<T>>(&mut self, engines: &mut E, now: Timestamp) -> Vec<Settled<T, E::Place>> {
        let times = self.shortage.times(now);
        let mut settled = Vec::new();
        let settle = |entry: QueueEntry<T>, outcome| Settled {
            item: entry.item,
            outcome,
            waited: times.since(&entry.shortage_at_start),
        };
        let mut skipped = Vec::new();
        while let Some(first) = self.queue.pop(now) {
            match engines.choose(&first.item.item) {
                Ok(place) => settled.push(settle(first.item, Ok(place))),
                Err(shortage) => {
                    if skipped.is_empty() {
                        self.shortage.set(shortage, now);
                    }
                    skipped.push(first);
                    if shortage != Shortage::Memory || skipped.len() > self.max_skipped {
                        break;
                    }
                }
            }
        }
        skipped.into_iter().rev().for_each(|waiting| self.queue.put_back(waiting));
        let unservable = self.queue.take_unservable(now, |tokens| engines.time_until(tokens));
        settled.extend(unservable.into_iter().map(|(entry, expected)| settle(entry, Err(expected))));
        settled
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
