//! A node's paths to the replicas of a service: which it reaches by itself, and which only other nodes reach.
//!
//! A replica that can't be reached may have ended, or this node may be partitioned from it; and all replicas of a
//! service may end at once. Only another node that reaches the replica tells these apart, and it can carry
//! this node's connection: a tunnel. While the direct path is lost, it is probed from time to time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::ids::Timestamp;

/// Number of replicas that can't be reached, with none reached in between, from which on the node's path to
/// all of them is in doubt.
const MIN_UNREACHED_FOR_DOUBT: usize = 2;
/// Interval between two probes of lost direct paths.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long other nodes are asked for tunnels before one that could not open one.
const VIA_BACKOFF: Duration = Duration::from_secs(1);
/// How long a node is preferred for tunnels after it opened one.
const VIA_PREFERENCE: Duration = Duration::from_secs(5);
/// How long no tunnel is tried to a replica that another node did not reach either.
const UNREACHED_BACKOFF: Duration = Duration::from_secs(1);
/// How long a lost path to a single replica is remembered that was not used.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// How to connect to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialPlan {
    /// Directly, and through a tunnel if that fails or takes long.
    DirectFirst,
    /// Directly only: other nodes don't reach the replica either.
    DirectOnly,
    /// Through a tunnel.
    Tunnel,
    /// Not at all: no node was found that reaches the replica.
    Fail(Unreached),
}

/// Why a replica was not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreached {
    /// The connection was refused.
    Refused,
    /// There was no answer.
    Silent,
}

impl From<io::ErrorKind> for Unreached {
    fn from(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::ConnectionRefused => Unreached::Refused,
            _ => Unreached::Silent,
        }
    }
}

impl From<Unreached> for io::ErrorKind {
    fn from(unreached: Unreached) -> Self {
        match unreached {
            Unreached::Refused => io::ErrorKind::ConnectionRefused,
            Unreached::Silent => io::ErrorKind::TimedOut,
        }
    }
}

/// A change of what a node believes about its path to the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The node is cut off from the replicas.
    Lost,
    /// The node reaches replicas again.
    Restored,
}

/// What is known of a node as a carrier of tunnels.
#[derive(Clone, Copy, Debug)]
enum Via {
    PreferredUntil(Timestamp),
    AvoidedUntil(Timestamp),
}

impl Via {
    fn is_preferred(&self, now: Timestamp) -> bool {
        matches!(self, Via::PreferredUntil(until) if now < *until)
    }
}

/// A node's paths to the replicas of a service.
#[derive(Debug, Default)]
pub struct ReplicaPaths {
    /// Replicas that could not be reached directly since one was.
    unreached: BTreeMap<SocketAddr, Unreached>,
    /// Whether another node reached one of them meanwhile.
    others_reach: bool,
    /// Replicas that only other nodes reach, with the time when that was last confirmed.
    blocked: BTreeMap<SocketAddr, Timestamp>,
    /// Replicas that other nodes don't reach either, until when no tunnel to them is tried.
    unreached_by_others: BTreeMap<SocketAddr, Timestamp>,
    vias: BTreeMap<SocketAddr, Via>,
    next_probe_at: Timestamp,
}

impl ReplicaPaths {
    /// Whether the path to all replicas is in doubt: they or the path are gone.
    pub fn is_in_doubt(&self) -> bool {
        self.unreached.len() >= MIN_UNREACHED_FOR_DOUBT
    }

    /// Whether the node is cut off from all replicas: it reaches none of several, and others reach some of these.
    pub fn is_cut_off(&self) -> bool {
        self.is_in_doubt() && self.others_reach
    }

    /// Whether any path is lost or in doubt.
    pub fn is_impaired(&self) -> bool {
        self.is_in_doubt() || !self.blocked.is_empty()
    }

    /// Whether the node has no direct path to a replica that others may reach.
    pub fn lacks_path(&self, replica: SocketAddr) -> bool {
        self.is_cut_off() || self.blocked.contains_key(&replica)
    }

    /// Number of replicas that could not be reached directly since one was.
    pub fn unreached(&self) -> usize {
        self.unreached.len()
    }

    /// Returns how to connect to a replica now.
    pub fn plan(&self, replica: SocketAddr, now: Timestamp) -> DialPlan {
        if self.lacks_path(replica) {
            return DialPlan::Tunnel;
        }
        if let Some(unreached) = self.unreached.get(&replica).filter(|_| self.is_in_doubt()) {
            return DialPlan::Fail(*unreached);
        }
        if self.unreached_by_others.get(&replica).is_some_and(|until| now < *until) {
            return DialPlan::DirectOnly;
        }
        DialPlan::DirectFirst
    }

    /// Returns a replica to which the path is to be probed now, if the path to any is lost or in doubt. Requests
    /// may not show that a path has returned: they use open tunnels, or fail at once.
    pub fn due_probe<R: Rng>(&mut self, now: Timestamp, rng: &mut R) -> Option<SocketAddr> {
        self.blocked.retain(|_, confirmed| now < *confirmed + FORGET_AFTER);
        let in_doubt = self.is_in_doubt().then(|| self.unreached.keys()).into_iter().flatten();
        let replica = self.blocked.keys().chain(in_doubt).choose(rng).copied()?;
        self.take_probe(now).then_some(replica)
    }

    fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_probe_at;
        if is_due {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Records that a direct connection to a replica was opened, or could not be opened.
    pub fn on_direct(&mut self, replica: SocketAddr, outcome: Result<(), Unreached>) -> Option<PathChange> {
        self.update(|paths| match outcome {
            Ok(()) => paths.on_reached(replica),
            Err(unreached) => drop(paths.unreached.insert(replica, unreached)),
        })
    }

    fn on_reached(&mut self, replica: SocketAddr) {
        self.unreached.clear();
        self.others_reach = false;
        self.unreached_by_others.remove(&replica);
        if self.blocked.remove(&replica).is_some() {
            // The other paths are probably back too.
            self.next_probe_at = Timestamp::ZERO;
        }
    }

    fn update(&mut self, change: impl FnOnce(&mut Self)) -> Option<PathChange> {
        let was_cut_off = self.is_cut_off();
        change(self);
        match (was_cut_off, self.is_cut_off()) {
            (false, true) => Some(PathChange::Lost),
            (true, false) => Some(PathChange::Restored),
            _ => None,
        }
    }

    /// Forgets a replica that is gone. The next one is probed at once.
    pub fn forget(&mut self, replica: SocketAddr) -> Option<PathChange> {
        self.update(|paths| {
            paths.unreached.remove(&replica);
            paths.blocked.remove(&replica);
            paths.others_reach &= !paths.unreached.is_empty();
            paths.next_probe_at = Timestamp::ZERO;
        })
    }

    /// Records that a replica was reached through a tunnel but not directly.
    pub fn on_blocked(&mut self, replica: SocketAddr, now: Timestamp) -> Option<PathChange> {
        self.update(|paths| {
            paths.blocked.insert(replica, now);
            paths.unreached.insert(replica, Unreached::Silent);
            paths.others_reach = true;
        })
    }

    /// Records that the node `via` opened a tunnel to a replica.
    pub fn on_tunnel_opened(&mut self, replica: SocketAddr, via: SocketAddr, now: Timestamp) {
        self.unreached_by_others.remove(&replica);
        if let Some(confirmed) = self.blocked.get_mut(&replica) {
            *confirmed = now;
        }
        if self.is_cut_off() {
            // Those that were missed first may end before the path returns.
            self.unreached.entry(replica).or_insert(Unreached::Silent);
        }
        self.set_via(via, Via::PreferredUntil(now + VIA_PREFERENCE), now);
    }

    /// Records that the node `via` could not help when it was asked for a tunnel.
    pub fn on_unavailable(&mut self, via: SocketAddr, now: Timestamp) {
        self.set_via(via, Via::AvoidedUntil(now + VIA_BACKOFF), now);
    }

    /// Records that another node named one that opened tunnels for it.
    pub fn on_referral(&mut self, via: SocketAddr, now: Timestamp) {
        if !self.vias.contains_key(&via) {
            self.set_via(via, Via::PreferredUntil(now + VIA_BACKOFF), now);
        }
    }

    fn set_via(&mut self, via: SocketAddr, state: Via, now: Timestamp) {
        self.vias.retain(|_, via| match via {
            Via::PreferredUntil(until) | Via::AvoidedUntil(until) => now < *until,
        });
        self.vias.insert(via, state);
    }

    /// Records that other nodes did not reach a replica either.
    pub fn on_unreached_by_others(&mut self, replica: SocketAddr, now: Timestamp) {
        self.unreached_by_others.retain(|_, until| now < *until);
        self.unreached_by_others.insert(replica, now + UNREACHED_BACKOFF);
    }

    /// Returns a node that opened a tunnel recently, for another node that asks this one.
    pub fn referral<R: Rng>(&self, now: Timestamp, rng: &mut R) -> Option<SocketAddr> {
        let preferred = self.vias.iter().filter(|(_, via)| via.is_preferred(now));
        preferred.map(|(node, _)| *node).choose(rng)
    }

    /// Returns a node to ask for a tunnel, other than the `tried` ones: one that opened a tunnel recently if
    /// there is any, else a random one, those last that failed to recently.
    pub fn choose_via<R: Rng>(
        &self,
        nodes: &[SocketAddr],
        tried: &[SocketAddr],
        now: Timestamp,
        rng: &mut R,
    ) -> Option<SocketAddr> {
        let preferred = |node: &&SocketAddr| self.vias.get(*node).is_some_and(|via| via.is_preferred(now));
        let usable = |node: &&SocketAddr| !matches!(self.vias.get(*node), Some(Via::AvoidedUntil(until)) if now < *until);
        let untried = || nodes.iter().filter(|node| !tried.contains(node));
        let chosen = untried().filter(preferred).choose(rng);
        let chosen = chosen.or_else(|| untried().filter(usable).choose(rng));
        chosen.or_else(|| untried().choose(rng)).copied()
    }
}
