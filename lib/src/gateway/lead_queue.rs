//! A lead's queue of generations that need an engine. It decides which generations are placed at once,
//! which wait, which are placed when an engine has room, and which are refused because no engine will
//! have room in time.
//!
//! Where memory is short, a generation that needs less memory may fit where the first one does not. Up to
//! [`MAX_SKIPPED`] generations are skipped in that case. They keep their places, and an overdue
//! generation that is skipped has used its turn. Where no engine has prefill capacity soon, there is none
//! for smaller prompts either, so no generation is skipped.
//!
//! On modelled engines whose memory holds six long streams (`test_fleet_model`), over 20 days each at
//! 1.14 and 1.3 times the usual load, the earned share of the possible value is 0.864 and 0.736 with up
//! to four skipped, 0.840 and 0.723 with none (+- 0.01), 0.866 and 0.736 with two, and 0.874 and 0.738
//! with eight. Of prompts over 4,500 tokens, 0.53 and 0.37 begin in time with none, and 0.55 to 0.57 and
//! 0.36 to 0.37 with two or eight. On engines that are short of prefill capacity, at 1.4 times the load,
//! the share is 0.878, and 0.869 with none (60 days, +- 0.002).

use std::time::Duration;

use crate::gateway::policy::Policy;
use crate::gateway::shortage::Shortage;
use crate::gateway::shortage::ShortageClock;
use crate::gateway::shortage::ShortageTimes;
use crate::gateway::waiting::WaitQueue;
use crate::gateway::waiting::Waiting;
use crate::ids::Timestamp;

/// Maximum number of generations that are skipped in one pass. Each costs a choice among all engines, and
/// the gain of eight over two is within the variation between modelled days.
const MAX_SKIPPED: usize = 4;

/// The engines on which generations can be placed.
pub trait Engines<T> {
    /// A place at an engine.
    type Place;

    /// Chooses an engine for `item` and reserves the place.
    fn choose(&mut self, item: &T) -> Result<Self::Place, Shortage>;

    /// Returns the time until `tokens` of memory are free, if it can be estimated.
    fn time_until(&self, tokens: f64) -> Option<Duration>;
}

/// The conditions under which a generation is queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueTerms {
    /// Its urgency; 0 is the most urgent.
    pub priority: u8,
    /// The generation begins in time if it is placed within this time.
    pub in_time: Duration,
    /// The generation is abandoned after this time.
    pub may_wait: Duration,
    /// Tokens of memory that the generation needs.
    pub tokens: f64,
}

/// The immediate result of queueing a generation.
#[derive(Debug)]
pub enum QueueReply<T, P> {
    /// The generation is placed.
    Placed(T, P),
    /// No engine will have room in time. Holds the expected time until one has, if known.
    Refused(T, Option<Duration>),
    /// The generation waits.
    Waits,
}

/// The result for a generation that waited.
#[derive(Debug)]
pub struct Settled<T, P> {
    /// The generation.
    pub item: T,
    /// The place, or the expected time until there is room, if known.
    pub outcome: Result<P, Option<Duration>>,
    /// How long it waited for each kind of shortage.
    pub waited: ShortageTimes,
}

/// A queue of waiting generations.
#[derive(Debug)]
pub struct LeadQueue<T> {
    queue: WaitQueue<QueueEntry<T>>,
    shortage: ShortageClock,
    max_skipped: usize,
}

/// A waiting generation.
#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    /// The queue's accumulated shortage times when the generation was added.
    shortage_at_start: ShortageTimes,
}

impl<T> LeadQueue<T> {
    /// Creates an empty queue.
    pub fn new(policy: Policy) -> Self {
        LeadQueue {
            queue: WaitQueue::default(),
            shortage: ShortageClock::default(),
            max_skipped: if policy.pass_over { MAX_SKIPPED } else { 0 },
        }
    }

    /// Requests a place for a generation. It is placed at once or waits if it can be expected to begin
    /// before its caller leaves; otherwise it is refused.
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

    /// Places the waiting generations that now fit, and abandons those that cannot be expected to begin
    /// in time.
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

    /// The number of waiting generations.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no generation waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
