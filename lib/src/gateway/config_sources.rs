//! Which node a node asks for a newer configuration.
//!
//! Every datagram tells its sender's version, so a node soon hears of many that have a newer one.
//! Of those that failed least, the ones with the newest version are asked first, and of these the
//! ones with a wide link; one that is busy handing out says when to come back, and one that fails
//! rests. A node that was told by the one that has news asks at once. Who merely noticed waits a
//! random time, so that the first to have a version are not asked by all others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::gateway::routing::ConfigVersion;
use crate::ids::Timestamp;

/// The longest that a node waits that noticed a newer version. The nodes that are told have it
/// within this: 64 kB, which 1 MB of routes become, take 51 ms on a link of 10 Mbit/s.
const NOTICED_SPREAD: Duration = Duration::from_millis(100);
/// A node that failed to hand its configuration over is left alone for this long.
const FAILED_REST: Duration = Duration::from_secs(1);
/// After so many failures in a row the store is read: the other nodes may be cut off.
const FAILURES_BEFORE_STORE: u32 = 3;

/// A node that has a newer version.
#[derive(Clone, Copy, Debug)]
struct Source {
    version: ConfigVersion,
    has_wide_link: bool,
    not_before: Timestamp,
    /// Times in a row that it handed nothing over. Ones that failed go behind all others: four that
    /// are out of reach, and fail in turn, else keep one in reach from being asked at all.
    failures: u32,
}

impl Source {
    /// The order in which sources are asked; the greatest first.
    fn rank(&self) -> (Reverse<u32>, ConfigVersion, bool) {
        (Reverse(self.failures), self.version, self.has_wide_link)
    }
}

/// What to do for a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextSource {
    /// No node is known to have one.
    Nothing,
    /// Ask this node.
    Node(SocketAddr),
    /// Read the store: no node hands it over.
    Store,
    /// Look again after this.
    Later(Duration),
}

/// The nodes that have a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigSources {
    sources: BTreeMap<SocketAddr, Source>,
    failures: u32,
}

impl ConfigSources {
    /// A node told its version, or it was noticed in what it sent about something else.
    pub fn on_version<R: Rng>(
        &mut self,
        from: SocketAddr,
        version: ConfigVersion,
        has_wide_link: bool,
        how: HeardHow,
        now: Timestamp,
        rng: &mut R,
    ) {
        let not_before = match how {
            HeardHow::Told => now,
            HeardHow::Noticed => now + NOTICED_SPREAD.mul_f64(rng.random()),
        };
        let new = Source { version, has_wide_link, not_before, failures: 0 };
        let source = self.sources.entry(from).or_insert(new);
        if source.version < version {
            *source = new;
        } else if how == HeardHow::Told && source.failures == 0 {
            source.not_before = source.not_before.min(now);
        }
    }

    /// The newest version that another node has.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.sources.values().map(|source| source.version).max()
    }

    /// Whom to ask for something newer than `own`; not one that is being asked.
    pub fn next<R: Rng>(
        &mut self,
        own: ConfigVersion,
        is_asked: impl Fn(SocketAddr) -> bool,
        now: Timestamp,
        rng: &mut R,
    ) -> NextSource {
        self.sources.retain(|_, source| source.version > own);
        if self.sources.is_empty() {
            return NextSource::Nothing;
        }
        if self.failures >= FAILURES_BEFORE_STORE {
            return NextSource::Store;
        }
        let others = || self.sources.iter().filter(|(node, _)| !is_asked(**node));
        let ready = || others().filter(|(_, source)| source.not_before <= now);
        let best = ready().map(|(_, source)| source.rank()).max();
        let equal: Vec<SocketAddr> =
            ready().filter(|(_, source)| Some(source.rank()) == best).map(|(node, _)| *node).collect();
        if let Some(node) = equal.choose(rng) {
            return NextSource::Node(*node);
        }
        let first = others().map(|(_, source)| source.not_before).min();
        first.map_or(NextSource::Nothing, |first| NextSource::Later(first.saturating_sub(now)))
    }

    /// The node hands out to others; it said when to come back.
    pub fn on_busy(&mut self, from: SocketAddr, after: Duration, now: Timestamp) {
        self.rest(from, now + after);
    }

    /// The node did not hand its configuration over.
    pub fn on_failed(&mut self, from: SocketAddr, now: Timestamp) {
        self.failures += 1;
        if let Some(source) = self.sources.get_mut(&from) {
            source.failures += 1;
        }
        self.rest(from, now + FAILED_REST);
    }

    /// The node handed its configuration over.
    pub fn on_handed(&mut self, from: SocketAddr) {
        self.failures = 0;
        self.sources.remove(&from);
    }

    /// The node is gone: nobody can get from it what it had.
    pub fn on_gone(&mut self, node: SocketAddr) {
        self.sources.remove(&node);
    }

    /// The store is being read.
    pub fn on_store_asked(&mut self) {
        self.failures = 0;
    }

    /// The store has answered, and what it has counts: who said to have something newer, and did not
    /// hand it over, may say so again.
    pub fn on_store_read(&mut self) {
        self.sources.clear();
    }

    fn rest(&mut self, from: SocketAddr, until: Timestamp) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.not_before = until;
        }
    }
}

/// How a node's version was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeardHow {
    /// The node told this one that it has a newer configuration.
    Told,
    /// It stood in a message about something else.
    Noticed,
}
