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
//!
//! Where engines are shared between organisations ([`OrganisationShares`]), the generations of one that
//! uses its share wait for room of its own and others pass them, whatever their urgency. Those that cannot
//! begin in time are refused at once.

use std::time::Duration;

use crate::gateway::organisation_shares::Need;
use crate::gateway::organisation_shares::OrganisationShares;
use crate::gateway::policy::Policy;
use crate::gateway::shortage::Shortage;
use crate::gateway::shortage::ShortageClock;
use crate::gateway::shortage::ShortageTimes;
use crate::gateway::waiting::WaitQueue;
use crate::gateway::waiting::Waiting;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;

/// Maximum number of generations that are skipped in one pass. Each costs a choice among all engines, and
/// the gain of eight over two is within the variation between modelled days.
const MAX_SKIPPED: usize = 4;
/// In a queue longer than this, generations that cannot begin in time are looked for once in
/// [`LONG_QUEUE_CHECK_INTERVAL`], as that examines all of them.
const LONG_QUEUE: usize = 500;
const LONG_QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The engines on which generations can be placed.
pub trait Engines<T> {
    /// A place at an engine.
    type Place;

    /// Chooses an engine for `item` and reserves the place.
    fn choose(&mut self, item: &T) -> Result<Self::Place, Shortage>;

    /// Returns the time until `tokens` of memory are free, if it can be estimated.
    fn time_until(&self, tokens: f64) -> Option<Duration>;

    /// The shares of organisations, if the engines are shared.
    fn shares(&mut self) -> Option<&mut OrganisationShares> {
        None
    }
}

/// The conditions under which a generation is queued.
#[derive(Clone, Debug, Default)]
pub struct QueueTerms {
    /// The organisation that the generation is accounted to, if there are organisations.
    pub organisation: Option<OrganisationId>,
    /// Its urgency; 0 is the most urgent.
    pub priority: u8,
    /// The generation begins in time if it is placed within this time.
    pub in_time: Duration,
    /// The generation is abandoned after this time.
    pub may_wait: Duration,
    /// Tokens of memory that the generation needs.
    pub tokens: f64,
    /// Tokens of its prompt.
    pub prompt: u32,
}

impl QueueTerms {
    fn need(&self) -> Need {
        Need { memory: self.tokens, prompt: f64::from(self.prompt) }
    }
}

/// The immediate result of queueing a generation.
#[derive(Debug)]
pub enum QueueReply<T, P> {
    /// The generation is placed.
    Placed(T, P),
    /// No engine will have room in time. Holds the expected time until one has, if known.
    Refused(T, Option<Duration>),
    /// The generation's organisation uses its share, and will not have room in time. Holds the time after
    /// which the caller may return.
    OverShare(T, Duration),
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
    /// Whether it is refused because its organisation uses its share; the outcome then holds the time after
    /// which the caller may return.
    pub over_share: bool,
    /// How long it waited for each kind of shortage.
    pub waited: ShortageTimes,
}

/// A queue of waiting generations.
#[derive(Debug)]
pub struct LeadQueue<T> {
    queue: WaitQueue<QueueEntry<T>>,
    shortage: ShortageClock,
    max_skipped: usize,
    /// When the shares were computed by which lines of the queue were last paused.
    paused_by: Option<Timestamp>,
    /// When unservable generations were last looked for.
    checked_at: Timestamp,
}

/// A waiting generation.
#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    organisation: Option<OrganisationId>,
    need: Need,
    /// The queue's accumulated shortage times when the generation was added.
    shortage_at_start: ShortageTimes,
}

impl<T> QueueEntry<T> {
    fn settled<P>(self, outcome: Result<P, Option<Duration>>, times: &ShortageTimes) -> Settled<T, P> {
        let waited = times.since(&self.shortage_at_start);
        Settled { item: self.item, outcome, over_share: false, waited }
    }
}

impl<T> LeadQueue<T> {
    /// Creates an empty queue.
    pub fn new(policy: Policy) -> Self {
        LeadQueue {
            queue: WaitQueue::default(),
            shortage: ShortageClock::default(),
            max_skipped: if policy.pass_over { MAX_SKIPPED } else { 0 },
            paused_by: None,
            checked_at: Timestamp::ZERO,
        }
    }

    /// Requests a place for a generation. It is placed at once or waits if it can be expected to begin
    /// before its caller leaves; otherwise it is refused. One whose organisation uses its share waits only
    /// if it can be expected to begin in time.
    pub fn ask<E: Engines<T>>(
        &mut self,
        item: T,
        terms: &QueueTerms,
        engines: &mut E,
        now: Timestamp,
    ) -> QueueReply<T, E::Place> {
        self.update_pauses(engines, now);
        let organisation = terms.organisation.as_ref();
        with_shares(engines, organisation, |shares, organisation| {
            shares.on_asked(organisation, terms.need(), now);
        });
        if is_over(engines, organisation, now) {
            return self.ask_over_share(item, terms, engines, now);
        }
        if self.queue.is_next(terms.priority, now) {
            match engines.choose(&item) {
                Ok(place) => {
                    self.queue.on_direct_placement();
                    self.on_placed(organisation, terms.need(), engines, now);
                    return QueueReply::Placed(item, place);
                }
                Err(shortage) => self.on_short(shortage, engines, now),
            }
        }
        let tokens = self.queue.tokens_before(terms.priority, now) + terms.tokens;
        let expected = engines.time_until(tokens);
        if terms.may_wait.is_zero() || expected.is_some_and(|expected| expected > terms.may_wait) {
            return QueueReply::Refused(item, expected);
        }
        self.push(item, terms, engines, now);
        QueueReply::Waits
    }

    fn ask_over_share<E: Engines<T>>(
        &mut self,
        item: T,
        terms: &QueueTerms,
        engines: &mut E,
        now: Timestamp,
    ) -> QueueReply<T, E::Place> {
        let Some(organisation) = &terms.organisation else {
            return QueueReply::Refused(item, None);
        };
        let expected = own_time_until(engines, organisation, terms.need(), now);
        if terms.may_wait.is_zero() || expected.is_some_and(|expected| expected > terms.in_time) {
            let after = next_return(engines, organisation, terms.need(), expected, now);
            return QueueReply::OverShare(item, after);
        }
        self.push(item, terms, engines, now);
        self.queue.set_paused(organisation, true);
        QueueReply::Waits
    }

    fn push<E: Engines<T>>(&mut self, item: T, terms: &QueueTerms, engines: &mut E, now: Timestamp) {
        let need = terms.need();
        with_shares(engines, terms.organisation.as_ref(), |shares, organisation| {
            shares.on_waits(organisation, need);
        });
        self.queue.push(Waiting {
            organisation: terms.organisation.clone(),
            priority: terms.priority,
            due: now + terms.in_time,
            until: now + terms.may_wait,
            tokens: terms.tokens,
            item: QueueEntry {
                item,
                organisation: terms.organisation.clone(),
                need,
                shortage_at_start: self.shortage.times(now),
            },
        });
    }

    /// Places the waiting generations that now fit, and abandons those that cannot be expected to begin
    /// in time.
    pub fn settle<E: Engines<T>>(&mut self, engines: &mut E, now: Timestamp) -> Vec<Settled<T, E::Place>> {
        self.update_pauses(engines, now);
        let times = self.shortage.times(now);
        let mut settled = Vec::new();
        let mut skipped = Vec::new();
        while let Some(first) = self.queue.pop(now) {
            match engines.choose(&first.item.item) {
                Ok(place) => {
                    self.on_left(&first.item, engines);
                    self.on_placed(first.organisation.as_ref(), first.item.need, engines, now);
                    settled.push(first.item.settled(Ok(place), &times));
                }
                Err(shortage) => {
                    if skipped.is_empty() {
                        self.on_short(shortage, engines, now);
                    }
                    skipped.push(first);
                    if shortage != Shortage::Memory || skipped.len() > self.max_skipped {
                        break;
                    }
                }
            }
        }
        for waiting in skipped.into_iter().rev() {
            let organisation = waiting.organisation.clone();
            self.queue.put_back(waiting);
            self.update_pause(organisation.as_ref(), engines, now);
        }
        if self.queue.len() <= LONG_QUEUE || now >= self.checked_at + LONG_QUEUE_CHECK_INTERVAL {
            self.checked_at = now;
            self.abandon_unservable(&mut settled, engines, &times, now);
        }
        settled
    }

    fn abandon_unservable<E: Engines<T>>(
        &mut self,
        settled: &mut Vec<Settled<T, E::Place>>,
        engines: &mut E,
        times: &ShortageTimes,
        now: Timestamp,
    ) {
        for (entry, expected) in self.queue.take_unservable(now, |tokens| engines.time_until(tokens)) {
            self.on_left(&entry, engines);
            settled.push(entry.settled(Err(expected), times));
        }
        let paused = self.queue.organisations().filter(|(_, is_paused)| *is_paused);
        let paused: Vec<OrganisationId> = paused.map(|(organisation, _)| organisation.clone()).collect();
        for organisation in paused {
            let Some(shares) = engines.shares() else { continue };
            let room = shares.own_room(&organisation, now).without_backlog();
            let time_until =
                |memory| room.time_until(Need { memory, prompt: 0.0 }, |tokens| engines.time_until(tokens));
            for (entry, expected) in self.queue.take_unservable_of(&organisation, now, time_until) {
                self.on_left(&entry, engines);
                let after = next_return(engines, &organisation, entry.need, expected, now);
                settled.push(Settled { over_share: true, ..entry.settled(Err(Some(after)), times) });
            }
        }
    }

    fn on_short<E: Engines<T>>(&mut self, shortage: Shortage, engines: &mut E, now: Timestamp) {
        self.shortage.set(shortage, now);
        if let Some(shares) = engines.shares() {
            shares.on_short(shortage, now);
        }
    }

    fn on_placed<E: Engines<T>>(
        &mut self,
        organisation: Option<&OrganisationId>,
        need: Need,
        engines: &mut E,
        now: Timestamp,
    ) {
        with_shares(engines, organisation, |shares, organisation| shares.on_placed(organisation, need, now));
        self.update_pause(organisation, engines, now);
    }

    fn on_left<E: Engines<T>>(&self, entry: &QueueEntry<T>, engines: &mut E) {
        with_shares(engines, entry.organisation.as_ref(), |shares, organisation| {
            shares.on_waited(organisation, entry.need);
        });
    }

    /// Pauses the lines of organisations that use their shares, if the shares were computed anew.
    fn update_pauses<E: Engines<T>>(&mut self, engines: &mut E, now: Timestamp) {
        let measured_at = engines.shares().and_then(|shares| shares.measured_at());
        if measured_at == self.paused_by {
            return;
        }
        self.paused_by = measured_at;
        let waiting: Vec<OrganisationId> = self.queue.organisations().map(|(id, _)| id.clone()).collect();
        for organisation in waiting {
            self.update_pause(Some(&organisation), engines, now);
        }
    }

    fn update_pause<E: Engines<T>>(
        &mut self,
        organisation: Option<&OrganisationId>,
        engines: &mut E,
        now: Timestamp,
    ) {
        let is_over = is_over(engines, organisation, now);
        if let Some(organisation) = organisation {
            self.queue.set_paused(organisation, is_over);
        }
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

/// Calls `use_shares` if the engines are shared and the generation has an organisation.
fn with_shares<T, E: Engines<T>, R>(
    engines: &mut E,
    organisation: Option<&OrganisationId>,
    use_shares: impl FnOnce(&mut OrganisationShares, &OrganisationId) -> R,
) -> Option<R> {
    Some(use_shares(engines.shares()?, organisation?))
}

fn is_over<T, E: Engines<T>>(engines: &mut E, organisation: Option<&OrganisationId>, now: Timestamp) -> bool {
    with_shares(engines, organisation, |shares, organisation| shares.is_over(organisation, now))
        .unwrap_or(false)
}

/// The time until an organisation that uses its share has room for one more generation, if known.
fn own_time_until<T, E: Engines<T>>(
    engines: &mut E,
    organisation: &OrganisationId,
    need: Need,
    now: Timestamp,
) -> Option<Duration> {
    let room = engines.shares()?.own_room(organisation, now);
    room.time_until(need, |tokens| engines.time_until(tokens))
}

/// The time after which a refused caller of an organisation that uses its share may return.
fn next_return<T, E: Engines<T>>(
    engines: &mut E,
    organisation: &OrganisationId,
    need: Need,
    expected: Option<Duration>,
    now: Timestamp,
) -> Duration {
    let Some(shares) = engines.shares() else {
        return Duration::ZERO;
    };
    let room = shares.own_room(organisation, now).without_backlog();
    let own_time = room.time_until(need, |tokens| engines.time_until(tokens)).unwrap_or_default();
    engines.shares().map_or(Duration::ZERO, |shares| {
        shares.next_return(organisation, expected.unwrap_or_default(), own_time, now)
    })
}
