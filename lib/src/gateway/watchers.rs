//! Which nodes follow the platform's store for all.
//!
//! Calls to the store are priced, so a few nodes follow it and tell the others. Every node
//! ranks the nodes that it takes to be alive by rendezvous hashing; the first few follow the
//! store and send a pulse that says whether it answers them. If it answers none of them, as
//! when it turns some nodes away, the next few try as well, but no more: a store that is
//! down must not be asked by the whole fleet. A node that hears of no pulse at all is cut
//! off from the others and follows the store itself.

use std::collections::HashMap;
use std::time::Duration;

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
/// Without any pulse for this long a node is on its own.
const ALONE_AFTER: Duration = Duration::from_secs(3);
/// Spread of that time over the nodes, so that they don't all call the store at once.
const ALONE_SPREAD: Duration = Duration::from_secs(1);
/// A node that has just started listens this long before it decides.
const LISTEN_FIRST: Duration = Duration::from_millis(600);

const RANKING: &str = "store watchers";

/// Numbers a watcher's pulses; they rise, also over its restarts.
pub type PulseNumber = u64;

#[derive(Clone, Copy, Debug)]
struct Heard {
    number: PulseNumber,
    at: Timestamp,
    answers: bool,
}

/// What a node knows of the watchers.
#[derive(Debug)]
pub struct Watchers {
    own: VmId,
    heard: HashMap<VmId, Heard>,
    last_heard: Timestamp,
    last_answer: Option<Timestamp>,
}

impl Watchers {
    /// Knows of none yet.
    pub fn new(own: VmId) -> Self {
        Watchers { own, heard: HashMap::new(), last_heard: Timestamp::ZERO, last_answer: None }
    }

    /// A watcher's pulse came, from itself or through others. Returns whether it is news.
    pub fn on_pulse(&mut self, watcher: &VmId, number: PulseNumber, answers: bool, now: Timestamp) -> bool {
        let known = self.heard.get(watcher);
        if *watcher == self.own || known.is_some_and(|heard| heard.number >= number) {
            return false;
        }
        self.heard.insert(watcher.clone(), Heard { number, at: now, answers });
        self.last_heard = now;
        if answers {
            self.last_answer = Some(now);
        }
        true
    }

    /// The store answered this node itself.
    pub fn on_own_answer(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
    }

    /// Whether the store has lately answered any node that this one hears of.
    pub fn store_answers(&self, now: Timestamp) -> bool {
        self.last_answer.is_some_and(|at| at + ANSWER_LASTS > now)
    }

    /// Whether this node should follow the store.
    pub fn should_watch<'a>(&'a self, alive: impl Iterator<Item = &'a VmId>, now: Timestamp) -> bool {
        if now < LISTEN_FIRST {
            return false;
        }
        let mut ranking: Vec<&VmId> = alive.chain(std::iter::once(&self.own)).collect();
        ranking.sort_by_key(|node| std::cmp::Reverse(rendezvous::weight(RANKING, node)));
        ranking.dedup();
        let rank = ranking.iter().position(|node| **node == self.own).unwrap_or(0);
        let first = &ranking[..WATCHERS.min(ranking.len())];
        let none_answered = || first.iter().all(|node| self.fails(node, now));
        rank < WATCHERS || (rank < 2 * WATCHERS && none_answered()) || self.is_alone(now)
    }

    /// Whether a watcher is silent, or says that the store does not answer it.
    fn fails(&self, watcher: &VmId, now: Timestamp) -> bool {
        self.heard.get(watcher).is_none_or(|heard| !heard.answers || heard.at + PULSE_LASTS < now)
    }

    fn is_alone(&self, now: Timestamp) -> bool {
        let part = (rendezvous::weight(RANKING, &self.own) % 1_000) as f64 / 1_000.0;
        now > self.last_heard + ALONE_AFTER + ALONE_SPREAD.mul_f64(part)
    }
}
