//! The limits that replicas in need name in their answers: how many requests a second each takes from
//! all nodes together, for as long as it says so.
//!
//! Answers overtake each other: one that was sent before the need began says nothing about it. A limit
//! therefore holds from when the answer came that named it, and is taken back only by the answer to a
//! request that was sent later. What one node heard is told to the others, by its age, as their clocks
//! differ. A limit is kept until it is taken back, however long ago it was named: requests still go there,
//! one after the other, and the first answer shows whether it holds.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::digest;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Requests a second.
pub type PerSecond = f64;

/// A limit that differs from the known one by no more than this part is no news: replicas that measure
/// their load name another figure in each answer, and all nodes are told of each change. A node takes such a
/// figure over from another node alone, so that both know the same in the end.
const SAME_WITHIN: f64 = 0.05;
/// A replica that has just come into need has been given what it took before: it is left to others for so
/// long, where there are others. Where three replicas share 39 requests a second, one that names 3 a second got 20
/// of them in the second before, and what it takes in 4 s would be exceeded by what else it is granted in the
/// other three.
const LEFT_TO_OTHERS_FOR: Duration = Duration::from_secs(3);
/// A limit that was taken back is remembered for so long, so that nodes which missed that are told.
const TAKEN_BACK_KEPT: Duration = Duration::from_secs(60);

/// What an answer says of its replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitWord {
    /// It names one.
    Named(PerSecond),
    /// It names none.
    NotNamed,
    /// It says nothing that counts: its value can't be read, or the answer is a failure without one.
    Silent,
}

/// When an answer was asked for and when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimes {
    /// When its request was sent.
    pub sent: Timestamp,
    /// When its head came.
    pub came: Timestamp,
}

/// A replica's limit as one node tells it to another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ToldLimit {
    /// Which start of the replica.
    pub replica: Incarnation,
    /// The limit; `None` if it was taken back.
    pub limit: Option<PerSecond>,
    /// How long ago that was said.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    born: StartTime,
    limit: Option<PerSecond>,
    said: Timestamp,
    /// When the need began, as far as was heard.
    since: Timestamp,
}

/// Who says what a replica's limit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Replica,
    Node,
}

/// The limits that are in force, by replica.
pub type LimitsInForce = HashMap<UpstreamId, PerSecond>;

/// What a node knows of the replicas' limits.
#[derive(Debug, Default)]
pub struct ReplicaLimits {
    known: BTreeMap<UpstreamId, Known>,
}

impl ReplicaLimits {
    /// An answer of a replica came to this node. Returns whether the limit changed.
    pub fn on_answer(&mut self, of: &Incarnation, word: LimitWord, times: AnswerTimes) -> bool {
        let (limit, said) = match word {
            LimitWord::Named(limit) => (Some(limit), times.came),
            LimitWord::NotNamed => (None, times.sent),
            LimitWord::Silent => return false,
        };
        self.note(of, limit, said, Source::Replica)
    }

    /// Another node told some; returns those that are news.
    pub fn on_told(&mut self, told: Vec<ToldLimit>, now: Timestamp) -> Vec<ToldLimit> {
        let mut news = told;
        news.retain(|told| {
            let limit = told.limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
            limit.is_some() == told.limit.is_some()
                && self.note(&told.replica, limit, now.saturating_sub(told.age), Source::Node)
        });
        news
    }

    /// Notes what was said of a replica's limit. Returns whether it changed.
    fn note(&mut self, of: &Incarnation, limit: Option<PerSecond>, said: Timestamp, source: Source) -> bool {
        let known = self.known.get(&of.id).copied();
        let is_later =
            known.is_none_or(|known| of.born > known.born || (of.born == known.born && said > known.said));
        let before = known.filter(|known| known.born == of.born).and_then(|known| known.limit);
        if !is_later || (known.is_none() && limit.is_none()) {
            return false;
        }
        let changed = !is_same(before, limit);
        let limit = if changed || source == Source::Node { limit } else { before };
        let since = known.filter(|_| before.is_some()).map_or(said, |known| known.since);
        self.known.insert(of.id.clone(), Known { born: of.born, limit, said, since });
        changed
    }

    /// Whether a replica came into need so lately that it is left to others.
    pub fn is_left_to_others(&self, replica: &str, now: Timestamp) -> bool {
        let known = self.known.get(replica).filter(|known| known.limit.is_some());
        known.is_some_and(|known| now < known.since + LEFT_TO_OTHERS_FOR)
    }

    /// Since when a replica has named a limit, as far as was heard.
    pub fn named_since(&self, replica: &str) -> Option<Timestamp> {
        self.known.get(replica).filter(|known| known.limit.is_some()).map(|known| known.since)
    }

    /// The limit of a replica.
    pub fn limit(&self, replica: &str) -> Option<PerSecond> {
        self.known.get(replica)?.limit
    }

    /// All limits that are in force.
    pub fn in_force(&self) -> LimitsInForce {
        self.known.iter().filter_map(|(id, known)| Some((id.clone(), known.limit?))).collect()
    }

    /// What other nodes are told of one replica.
    pub fn told(&self, replica: &str, now: Timestamp) -> Option<ToldLimit> {
        self.known.get_key_value(replica).map(|(id, known)| known.told(id, now))
    }

    /// What other nodes are told of all.
    pub fn all(&self, now: Timestamp) -> Vec<ToldLimit> {
        self.known.iter().map(|(id, known)| known.told(id, now)).collect()
    }

    /// Stands for the limits in force; 0 for none.
    pub fn digest(&self) -> u64 {
        let in_force =
            self.known.iter().filter_map(|(id, known)| Some((id, known.born, known.limit?.to_bits())));
        digest::of(in_force)
    }

    /// A replica has started again: what it named is over.
    pub fn forget(&mut self, replica: &str) {
        self.known.remove(replica);
    }

    /// Forgets replicas that are gone, and limits that were taken back some time ago.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Timestamp) {
        self.known.retain(|id, known| {
            is_known(id) && (known.limit.is_some() || known.said + TAKEN_BACK_KEPT > now)
        });
    }
}

impl Known {
    fn told(&self, id: &UpstreamId, now: Timestamp) -> ToldLimit {
        let replica = Incarnation { id: id.clone(), born: self.born };
        ToldLimit { replica, limit: self.limit, age: now.saturating_sub(self.said) }
    }
}

fn is_same(a: Option<PerSecond>, b: Option<PerSecond>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() <= a * SAME_WITHIN,
        (None, None) => true,
        _ => false,
    }
}
