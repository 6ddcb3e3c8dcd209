//! Which nodes follow the platform's store for all.
//!
//! Calls to the store are priced, so a few nodes follow it and tell the others. Every node
//! ranks the nodes that it takes to be alive by rendezvous hashing. The first few of those with large
//! links follow the store and send a pulse that says whether it answers them. If it answers none of
//! them, as when it turns some nodes away, a few others try as well, whatever their links, but no
//! more: a store that is down must not be asked by the whole fleet. A node that hears of no pulse at
//! all is cut off from the others and follows the store itself.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Nodes that follow the store: two may go at once without a gap in the news.
pub const WATCHERS: usize = 3;
/// Time between two pulses of a watcher.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(800);
/// A pulse this old no longer counts: two may be lost.
const PULSE_LASTS: Duration = Duration::from_millis(2_000);
/// A store that answered this long ago still counts as answering.
const ANSWER_LASTS: Duration = Duration::from_millis(1_300);
/// A doubt this old no longer counts: by then the store has answered someone, or is away.
const DOUBT_LASTS: Duration = Duration::from_millis(1_300);
/// Without any pulse for this long a node is on its own.
const ALONE_AFTER: Duration = Duration::from_secs(3);
/// Spread of that time over the nodes, so that they don't all call the store at once.
const ALONE_SPREAD: Duration = Duration::from_secs(1);
/// A node that has just started listens this long before it decides.
const LISTEN_FIRST: Duration = Duration::from_millis(600);

const RANKING: &str = "store watchers";

/// A standby gathers the store's changes for this long before it asks for more: the first
/// watcher has told them by then, and each question is priced.
const STANDBY_GATHERS: Duration = Duration::from_millis(500);

/// One watch of the first watcher waits so long at the store. Its connection may fall silent for
/// good while new ones work; that shows when the watch should have ended, and each watch is priced:
/// of 44 s, some 15 calls in place of two.
const FIRST_WAITS: Duration = Duration::from_secs(3);
/// One watch of a standby waits so long: the longest that the store allows.
const STANDBY_WAITS: Duration = Duration::from_secs(30);

/// How a node follows the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// It learns of each change at once.
    First,
    /// Watchers before it do; it is there for what they miss.
    Standby,
}

impl WatchRole {
    /// Pause between a change and the question for the next.
    pub fn gathers_for(self) -> Duration {
        match self {
            WatchRole::First => Duration::ZERO,
            WatchRole::Standby => STANDBY_GATHERS,
        }
    }

    /// How long one watch waits at the store.
    pub fn waits_for(self) -> Duration {
        match self {
            WatchRole::First => FIRST_WAITS,
            WatchRole::Standby => STANDBY_WAITS,
        }
    }
}

/// Numbers a watcher's pulses; they rise, also over its restarts.
pub type PulseNumber = u64;

/// What a pulse says of the store.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum StoreState {
    /// It answers the watcher.
    Answers,
    /// It takes longer than it usually does; it may be slow or away.
    Late,
    /// It does not answer the watcher.
    Away,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    number: PulseNumber,
    at: Timestamp,
    state: StoreState,
}

/// What a node knows of the watchers.
#[derive(Debug)]
pub struct Watchers {
    own: VmId,
    heard: HashMap<VmId, Heard>,
    last_heard: Timestamp,
    last_answer: Option<Timestamp>,
    last_doubt: Option<Timestamp>,
}

impl Watchers {
    /// Knows of none yet.
    pub fn new(own: VmId) -> Self {
        Watchers {
            own,
            heard: HashMap::new(),
            last_heard: Timestamp::ZERO,
            last_answer: None,
            last_doubt: None,
        }
    }

    /// A watcher's pulse came, from itself or through others. Returns whether it is news.
    pub fn on_pulse(
        &mut self,
        watcher: &VmId,
        number: PulseNumber,
        state: StoreState,
        now: Timestamp,
    ) -> bool {
        let known = self.heard.get(watcher);
        if *watcher == self.own || known.is_some_and(|heard| heard.number >= number) {
            return false;
        }
        self.heard.insert(watcher.clone(), Heard { number, at: now, state });
        self.last_heard = now;
        self.note(state, now);
        true
    }

    /// What this node's own question to the store showed.
    pub fn on_own_pulse(&mut self, state: StoreState, now: Timestamp) {
        self.note(state, now);
    }

    fn note(&mut self, state: StoreState, now: Timestamp) {
        match state {
            StoreState::Answers => self.last_answer = Some(now),
            StoreState::Late | StoreState::Away => self.last_doubt = Some(now),
        }
    }

    /// Whether the store has lately answered any node that this one hears of.
    pub fn store_answers(&self, now: Timestamp) -> bool {
        self.last_answer.is_some_and(|at| at + ANSWER_LASTS > now)
    }

    /// Whether the store may be away: some watcher missed an answer, and none has had one
    /// since. The first doubt comes a second before [`Self::store_answers`] turns false.
    pub fn doubts_store(&self, now: Timestamp) -> bool {
        let doubt = self.last_doubt.filter(|at| *at + DOUBT_LASTS > now);
        doubt.is_some_and(|doubt| self.last_answer.is_none_or(|answer| answer < doubt))
    }

    /// How this node should follow the store, if it should. `has_wide_link` tells it of any node:
    /// those come first, as what the store has changed goes from the watchers to all others, and
    /// 1 MB takes 0.8 s on a link of 10 Mbit/s. Nodes may know of different ones for some seconds.
    pub fn role<'a>(
        &'a self,
        alive: impl Iterator<Item = &'a VmId>,
        has_wide_link: impl Fn(&VmId) -> bool,
        now: Timestamp,
    ) -> Option<WatchRole> {
        if now < LISTEN_FIRST {
            return None;
        }
        let ranking = ranked(alive.chain(std::iter::once(&self.own)).collect(), has_wide_link);
        let rank = ranking.iter().position(|node| **node == self.own).unwrap_or(0);
        let first = &ranking[..WATCHERS.min(ranking.len())];
        let none_answered = || first.iter().all(|node| self.fails(node, now));
        let watches = rank < WATCHERS || (rank < 2 * WATCHERS && none_answered()) || self.is_alone(now);
        let is_first = ranking[..rank].iter().all(|node| self.fails(node, now));
        watches.then_some(if is_first { WatchRole::First } else { WatchRole::Standby })
    }

    /// Whether a watcher is silent, or says that the store does not answer it.
    fn fails(&self, watcher: &VmId, now: Timestamp) -> bool {
        let heard = self.heard.get(watcher);
        heard.is_none_or(|heard| heard.state == StoreState::Away || heard.at + PULSE_LASTS < now)
    }

    fn is_alone(&self, now: Timestamp) -> bool {
        let part = (rendezvous::weight(RANKING, &self.own) % 1_000) as f64 / 1_000.0;
        now > self.last_heard + ALONE_AFTER + ALONE_SPREAD.mul_f64(part)
    }
}

/// The nodes in the order in which they come to follow the store: first [`WATCHERS`] with wide links,
/// then by hashing alone. Nodes with wide links may stand together behind one cut: were they the next
/// as well, 8 of 62 would leave the store to nobody while 54 reach it.
fn ranked(mut nodes: Vec<&VmId>, has_wide_link: impl Fn(&VmId) -> bool) -> Vec<&VmId> {
    let weight = |node: &VmId| rendezvous::weight(RANKING, node);
    nodes.sort_by_cached_key(|node| Reverse((has_wide_link(node), weight(node))));
    nodes.dedup();
    let first = WATCHERS.min(nodes.len());
    nodes[first..].sort_by_cached_key(|node| Reverse(weight(node)));
    nodes
}
