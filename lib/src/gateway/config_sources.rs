//! Which node a node asks for a newer configuration.
//!
//! Every datagram tells its sender's version, so a node soon hears of many that have a newer one.
//! Those with a large link are asked first; one that is busy handing out says when to come back,
//! and one that fails rests. A node that was told by the one that has news asks at once. Who merely
//! noticed waits a random time, so that the first to have a version are not asked by all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::gateway::routing::ConfigVersion;
use crate::ids::Timestamp;

/// The longest that a node waits that noticed a newer version. The nodes that are told have it
/// within this: 75 kB, which 1 MB of routes become, take 60 ms on a link of 10 Mbit/s.
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
        let new = Source { version, has_wide_link, not_before };
        let source = self.sources.entry(from).or_insert(new);
        if source.version < version {
            *source = new;
        } else if how == HeardHow::Told && self.failures == 0 {
            source.not_before = source.not_before.min(now);
        }
    }

    /// The newest version that another node has.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.sources.values().map(|source| source.version).max()
    }

    /// Whom to ask for something newer than `own`.
    pub fn next<R: Rng>(&mut self, own: ConfigVersion, now: Timestamp, rng: &mut R) -> NextSource {
        self.sources.retain(|_, source| source.version > own);
        let Some(first) = self.sources.values().map(|source| source.not_before).min() else {
            self.failures = 0;
            return NextSource::Nothing;
        };
        if self.failures >= FAILURES_BEFORE_STORE {
            self.failures = 0;
            return NextSource::Store;
        }
        if first > now {
            return NextSource::Later(first - now);
        }
        let ready = || self.sources.iter().filter(|(_, source)| source.not_before <= now);
        let rank = |source: &Source| (source.has_wide_link, source.version);
        let best = ready().map(|(_, source)| rank(source)).max();
        let equal: Vec<SocketAddr> =
            ready().filter(|(_, source)| Some(rank(source)) == best).map(|(node, _)| *node).collect();
        equal.choose(rng).map_or(NextSource::Nothing, |node| NextSource::Node(*node))
    }

    /// The node hands out to others; it said when to come back.
    pub fn on_busy(&mut self, from: SocketAddr, after: Duration, now: Timestamp) {
        self.rest(from, now + after);
    }

    /// The node did not hand its configuration over.
    pub fn on_failed(&mut self, from: SocketAddr, now: Timestamp) {
        self.failures += 1;
        self.rest(from, now + FAILED_REST);
    }

    /// The node handed its configuration over.
    pub fn on_handed(&mut self, from: SocketAddr) {
        self.failures = 0;
        self.sources.remove(&from);
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
