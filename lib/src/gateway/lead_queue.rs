//! A lead's queue of generations that want an engine: who is given one at once, who waits, who goes when one
//! has room, and who is told that there will be none in time.
//!
//! Where memory is short, one that needs less may fit where the first one does not: up to
//! [`MOST_PASSED_OVER`] are passed over then. They keep their places, and one that had been late for long has had its
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
use crate::gateway::waiting::Waiting;
use crate::gateway::waiting::WaitingRoom;
use crate::ids::Timestamp;

/// Generations that are passed over in one look at most. Each costs a choice among all engines, and what eight
/// gain over two is within what days differ by.
const MOST_PASSED_OVER: usize = 4;

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
pub struct Terms {
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
pub enum Asked<T, P> {
    /// It has a place.
    Given(T, P),
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
    room: WaitingRoom<Queued<T>>,
    shortage: ShortageClock,
    most_passed_over: usize,
}

/// One that waits.
#[derive(Debug)]
struct Queued<T> {
    item: T,
    /// What had been short in its queue when it came.
    from: ShortageTimes,
}

impl<T> LeadQueue<T> {
    /// None waits yet.
    pub fn new(policy: Policy) -> Self {
        LeadQueue {
            room: WaitingRoom::default(),
            shortage: ShortageClock::default(),
            most_passed_over: if policy.pass_over { MOST_PASSED_OVER } else { 0 },
        }
    }

    /// One asks for a place. It waits if it can be expected to begin before its caller leaves.
    pub fn ask<E: Engines<T>>(
        &mut self,
        item: T,
        terms: &Terms,
        engines: &mut E,
        now: Timestamp,
    ) -> Asked<T, E::Place> {
        if self.room.lets_pass(terms.priority, now) {
            match engines.choose(&item) {
                Ok(place) => {
                    self.room.on_passed();
                    return Asked::Given(item, place);
                }
                Err(shortage) => self.shortage.set(shortage, now),
            }
        }
        let tokens = self.room.tokens_before(terms.priority, now) + terms.tokens;
        let expected = engines.time_until(tokens);
        if terms.may_wait.is_zero() || expected.is_some_and(|expected| expected > terms.may_wait) {
            return Asked::Refused(item, expected);
        }
        self.room.push(Waiting {
            priority: terms.priority,
            due: now + terms.in_time,
            until: now + terms.may_wait,
            tokens: terms.tokens,
            item: Queued { item, from: self.shortage.times(now) },
        });
        Asked::Waits
    }

    /// Gives places to those that can go on now, and gives up those that can't be expected to begin in time.
    pub fn settle<E: Engines<T>>(&mut self, engines: &mut E, now: Timestamp) -> Vec<Settled<T, E::Place>> {
        let times = self.shortage.times(now);
        let mut settled = Vec::new();
        let settle = |queued: Queued<T>, outcome| Settled {
            item: queued.item,
            outcome,
            waited: times.since(&queued.from),
        };
        let mut passed_over = Vec::new();
        while let Some(first) = self.room.pop(now) {
            match engines.choose(&first.item.item) {
                Ok(place) => settled.push(settle(first.item, Ok(place))),
                Err(shortage) => {
                    if passed_over.is_empty() {
                        self.shortage.set(shortage, now);
                    }
                    passed_over.push(first);
                    if shortage != Shortage::Memory || passed_over.len() > self.most_passed_over {
                        break;
                    }
                }
            }
        }
        passed_over.into_iter().rev().for_each(|waiting| self.room.put_back(waiting));
        let lost = self.room.lost(now, |tokens| engines.time_until(tokens));
        settled.extend(lost.into_iter().map(|(queued, expected)| settle(queued, Err(expected))));
        settled
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.room.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.room.is_empty()
    }
}
