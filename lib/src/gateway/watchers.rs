//! Which nodes follow the platform's store for all.
//!
//! Calls to the store are priced, so a few nodes follow it and tell the others. Every node
//! ranks the nodes that it takes to be alive by rendezvous hashing. The first few of those with large
//! links follow the store and send a pulse that says whether it answers them. If it answers none of
//! them, as when it turns some nodes away, a few others try as well, whatever their links, but no
//! more: a store that is down must not be asked by the whole fleet.
//!
//! Where no pulse is heard, as at a first start or behind a cut, nodes take turns: each waits by its
//! place in the order of the hashes, as far as it knows how many nodes there are, and the pulses of
//! the first few keep all others from following. So a node that knows only some of the others, as all
//! do that have just started, does not take itself for one of the first: whoever is on its own knows
//! of few others, and its turn comes soon. A node that follows the store goes on until enough better
//! ranked ones do.

use std::cmp::Reverse;
use std::collections::BTreeMap;
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
/// A node that has just started listens this long before it decides: it has met a seed by then, and
/// a watcher's pulse comes every [`PULSE_INTERVAL`].
const LISTEN_FIRST: Duration = Duration::from_millis(600);
/// A node that has started this long ago knows enough of the others to rank itself among them. A
/// fleet of 295 that starts at once has met by then to such a part that its nodes rank alike.
const SETTLES_AFTER: Duration = Duration::from_secs(4);
/// Without any pulse for this long nodes take turns.
const QUIET_AFTER: Duration = Duration::from_secs(3);
/// Time from one turn to the next: a pulse reaches nearly all of 300 nodes within it.
const TURN: Duration = Duration::from_millis(250);
/// The longest that a node waits for its turn after its start.
const LONGEST_FIRST_TURN: Duration = Duration::from_millis(3_600);
/// The longest that one waits later, while it hears from others; among 295 nodes, 100 of which are
/// cut off from the rest, four have had their turns by then.
const LONGEST_TURN: Duration = Duration::from_secs(3);
/// The longest that one waits who hears from nobody.
const LONGEST_TURN_ALONE: Duration = Duration::from_secs(1);
/// While the store answers none of the first, the next few try for this long, then those behind them.
/// With a third of the nodes turned away, six nodes in a row are in one of 500 cases.
const TRY_FOR: Duration = Duration::from_secs(3);
/// A node that hears of enough working watchers ranks itself anew only this often: a ranking hashes all
/// nodes that it knows, which all nodes did ten times a second.
const RANK_EVERY: Duration = Duration::from_secs(1);
/// A node that heard from no other one for this long is alone.
const CONTACT_LASTS: Duration = Duration::from_secs(2);

const RANKING: &str = "store watchers";

/// The first watcher gathers for this long: replicas that leave together say so within some
/// milliseconds, and each question is priced. The first of them is told at once.
const FIRST_GATHERS: Duration = Duration::from_millis(10);
/// A standby gathers the store's changes for this long before it asks for more: the first
/// watcher has told them by then, and each question is priced. Two standbys that gathered for half as
/// long made 138 of 530 watches on a calm day of 295 nodes.
const STANDBY_GATHERS: Duration = Duration::from_millis(1_000);

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
            WatchRole::First => FIRST_GATHERS,
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
    heard: BTreeMap<VmId, Heard>,
    last_heard: Option<Timestamp>,
    last_contact: Option<Timestamp>,
    last_answer: Option<Timestamp>,
    last_doubt: Option<Timestamp>,
    /// Nodes that there are, as far as others told; this one may know fewer.
    told_nodes: usize,
    /// Whether this node follows the store.
    watches: bool,
    /// When the store last answered this node's own question.
    last_own_answer: Option<Timestamp>,
    last_ranked: Option<Timestamp>,
}

impl Watchers {
    /// Knows of none yet.
    pub fn new(own: VmId) -> Self {
        Watchers {
            own,
            heard: BTreeMap::new(),
            last_heard: None,
            last_contact: None,
            last_answer: None,
            last_doubt: None,
            told_nodes: 0,
            watches: false,
            last_own_answer: None,
            last_ranked: None,
        }
    }

    /// Another node sent something.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.last_contact = Some(now);
    }

    /// Another node knows of so many nodes.
    pub fn on_nodes_told(&mut self, nodes: usize) {
        self.told_nodes = self.told_nodes.max(nodes);
    }

    /// The watchers whose pulses are fresh, as they should be told to a node that has just started.
    pub fn fresh_pulses(&self, now: Timestamp) -> impl Iterator<Item = (&VmId, PulseNumber, StoreState)> {
        let fresh = self.heard.iter().filter(move |(_, heard)| heard.at + PULSE_LASTS >= now);
        fresh.map(|(watcher, heard)| (watcher, heard.number, heard.state))
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
        self.last_heard = Some(now);
        self.note(state, now);
        true
    }

    /// What this node's own question to the store showed.
    pub fn on_own_pulse(&mut self, state: StoreState, now: Timestamp) {
        if state == StoreState::Answers {
            self.last_own_answer = Some(now);
        }
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

    /// How this node should follow the store from now on, if it should. `has_wide_link` tells it of any
    /// node: those come first, as what the store has changed goes from the watchers to all others, and
    /// 1 MB takes 0.8 s on a link of 10 Mbit/s. Nodes may know of different ones for some seconds.
    pub fn role<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a VmId>,
        has_wide_link: impl Fn(&VmId) -> bool,
        now: Timestamp,
    ) -> Option<WatchRole> {
        if now < LISTEN_FIRST || self.is_served(now) {
            return None;
        }
        self.last_ranked = Some(now);
        let mut nodes: Vec<&VmId> = alive.collect();
        nodes.push(&self.own);
        let known = nodes.len();
        nodes.extend(self.fresh_pulses(now).map(|(watcher, _, _)| watcher));
        let ranking = ranked(nodes, has_wide_link);
        let rank = ranking.iter().position(|node| **node == self.own).unwrap_or(0);
        let working = ranking[..rank].iter().filter(|node| !self.fails(node, now)).count();
        let watches = self.has_turn(known, now)
            || (self.is_answered(now) && working < WATCHERS)
            || (now >= SETTLES_AFTER && self.is_ranked_to_watch(&ranking, rank, now));
        self.watches = watches;
        watches.then_some(if working == 0 { WatchRole::First } else { WatchRole::Standby })
    }

    /// Whether enough others follow the store, and this node found itself not to be one of the first a
    /// moment ago.
    fn is_served(&self, now: Timestamp) -> bool {
        let lately = self.last_ranked.is_some_and(|at| at + RANK_EVERY > now);
        let working = || self.fresh_pulses(now).filter(|(_, _, state)| *state != StoreState::Away).count();
        lately && !self.watches && working() >= WATCHERS
    }

    /// Whether this node follows the store, which answers it.
    fn is_answered(&self, now: Timestamp) -> bool {
        self.watches && self.last_own_answer.is_some_and(|at| at + PULSE_LASTS > now)
    }

    /// Whether this node is among the first that should follow the store, or, while it answers none of
    /// those, among the few others whose time it is to try.
    fn is_ranked_to_watch(&self, ranking: &[&VmId], rank: usize, now: Timestamp) -> bool {
        let first = &ranking[..WATCHERS.min(ranking.len())];
        let none_answered = || first.iter().all(|node| self.fails(node, now));
        let unanswered_for = now.saturating_sub(self.last_answer.unwrap_or_default());
        let tried = (unanswered_for.as_millis() / TRY_FOR.as_millis()) as usize;
        // All others have their times again and again.
        let others = ranking.len().saturating_sub(WATCHERS).max(1);
        let tries =
            rank >= WATCHERS && (rank - WATCHERS + others - (tried * WATCHERS) % others) % others < WATCHERS;
        rank < WATCHERS || (tries && none_answered())
    }

    /// Whether a watcher is silent, or says that the store does not answer it.
    fn fails(&self, watcher: &VmId, now: Timestamp) -> bool {
        let heard = self.heard.get(watcher);
        heard.is_none_or(|heard| heard.state == StoreState::Away || heard.at + PULSE_LASTS < now)
    }

    /// Whether no pulse came for so long that it is this node's turn; it knows of `known` nodes.
    fn has_turn(&self, known: usize, now: Timestamp) -> bool {
        let part = rendezvous::weight(RANKING, &self.own) as f64 / u64::MAX as f64;
        let others = known.max(self.told_nodes).saturating_sub(1);
        let turns_before = (1.0 - part) * others as f64;
        let is_in_touch = self.last_contact.is_some_and(|at| at + CONTACT_LASTS > now);
        let (quiet_from, longest) = match self.last_heard {
            None => (LISTEN_FIRST, LONGEST_FIRST_TURN),
            Some(at) if is_in_touch => (at + QUIET_AFTER, LONGEST_TURN),
            Some(at) => (at + QUIET_AFTER, LONGEST_TURN_ALONE),
        };
        now >= quiet_from + TURN.mul_f64(turns_before).min(longest)
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
