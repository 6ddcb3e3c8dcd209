//! Selects the node from which a newer configuration is fetched.
//!
//! Every datagram carries its sender's version, so a node soon knows many peers with a newer one. Sources are
//! ordered by fewest failures, then by newest version, then by whether they have a wide link. A busy source
//! replies with a time to retry, and a failed one is skipped for a back-off period. A node that receives an
//! announcement fetches at once. A node that only observed a newer version waits a random time, so that the
//! first nodes with a version are not queried by all others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::gateway::routing::ConfigVersion;
use crate::ids::Timestamp;

/// The longest random delay after a newer version was observed. Nodes that received an announcement have the
/// configuration within this time: 1 MB of routes compresses to 64 kB, which takes 51 ms at 10 Mbit/s.
const OBSERVED_MAX_DELAY: Duration = Duration::from_millis(100);
/// How long a node is skipped after it failed to deliver its configuration.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Consecutive failures after which the store is read: the other nodes may be unreachable.
const FAILURES_BEFORE_STORE: u32 = 3;

/// A node that has a newer version.
#[derive(Clone, Copy, Debug)]
struct Source {
    version: ConfigVersion,
    has_wide_link: bool,
    not_before: Timestamp,
    /// Consecutive failures to deliver. Sources that failed rank behind all others: otherwise four
    /// unreachable ones that fail in turn keep a reachable one from ever being queried.
    failures: u32,
}

impl Source {
    /// The key by which sources are ordered; the greatest is queried first.
    fn rank(&self) -> (Reverse<u32>, ConfigVersion, bool) {
        (Reverse(self.failures), self.version, self.has_wide_link)
    }
}

/// The next step towards a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextSource {
    /// No node is known to have a newer configuration.
    Nothing,
    /// Fetch from this node.
    Node(SocketAddr),
    /// Read the store: no node delivers the configuration.
    Store,
    /// Check again after this time.
    Later(Duration),
}

/// The nodes that have a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigSources {
    sources: BTreeMap<SocketAddr, Source>,
    failures: u32,
}

impl ConfigSources {
    /// Records the version of another node.
    pub fn on_version<R: Rng>(
        &mut self,
        from: SocketAddr,
        version: ConfigVersion,
        has_wide_link: bool,
        notice: VersionNotice,
        now: Timestamp,
        rng: &mut R,
    ) {
        let not_before = match notice {
            VersionNotice::Announced => now,
            VersionNotice::Observed => now + OBSERVED_MAX_DELAY.mul_f64(rng.random()),
        };
        let new = Source { version, has_wide_link, not_before, failures: 0 };
        let source = self.sources.entry(from).or_insert(new);
        if source.version < version {
            *source = new;
        } else if notice == VersionNotice::Announced && source.failures == 0 {
            source.not_before = source.not_before.min(now);
        }
    }

    /// The newest version that another node has.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.sources.values().map(|source| source.version).max()
    }

    /// Selects the next source of a version newer than `own`, leaving out nodes that are being queried.
    pub fn next<R: Rng>(
        &mut self,
        own: ConfigVersion,
        is_queried: impl Fn(SocketAddr) -> bool,
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
        let others = || self.sources.iter().filter(|(node, _)| !is_queried(**node));
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

    /// The node is busy serving others and replied with a time to retry.
    pub fn on_busy(&mut self, from: SocketAddr, after: Duration, now: Timestamp) {
        self.back_off(from, now + after);
    }

    /// The node failed to deliver its configuration.
    pub fn on_failed(&mut self, from: SocketAddr, now: Timestamp) {
        self.failures += 1;
        if let Some(source) = self.sources.get_mut(&from) {
            source.failures += 1;
        }
        self.back_off(from, now + FAILURE_BACKOFF);
    }

    /// The node delivered its configuration.
    pub fn on_delivered(&mut self, from: SocketAddr) {
        self.failures = 0;
        self.sources.remove(&from);
    }

    /// The node is gone and can no longer serve as a source.
    pub fn on_gone(&mut self, node: SocketAddr) {
        self.sources.remove(&node);
    }

    /// The store is being read.
    pub fn on_store_queried(&mut self) {
        self.failures = 0;
    }

    /// The store has answered, and its version is authoritative. All sources are dropped; one that announced
    /// a newer version without delivering it can announce it again.
    pub fn on_store_read(&mut self) {
        self.sources.clear();
    }

    fn back_off(&mut self, from: SocketAddr, until: Timestamp) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.not_before = until;
        }
    }
}

/// How a peer's version became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionNotice {
    /// The peer announced that it has a newer configuration.
    Announced,
    /// The version was carried in a message about something else.
    Observed,
}
