//! Time until a configuration has reached all nodes of a fleet: simulates the selection of sources
//! and the limit of concurrent transfers over modelled links.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::config_sources::ConfigSources;
use leadstage_lib::gateway::config_sources::NextSource;
use leadstage_lib::gateway::config_sources::VersionNotice;
use leadstage_lib::gateway::transfer_slots;
use leadstage_lib::gateway::transfer_slots::TransferSlots;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

const OLD: u64 = 1;
const NEW: u64 = 2;
/// One-way latency between two nodes.
const LATENCY: Duration = Duration::from_millis(1);
/// Time to decode and index 5,000 routes on 0.12 of a core.
const ACTIVATION_TIME: Duration = Duration::from_millis(80);
/// Interval at which each node receives a message, such as a forwarded pulse, from a random other node.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(70);
const NARROW: f64 = 10e6;
const WIDE: f64 = 200e6;
/// Time limit of a simulation.
const TIME_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node receives a message, which may be an announcement of a configuration.
    Message { node: usize, from: usize, is_announced: bool },
    /// A node selects a source.
    SelectSource { node: usize },
    /// A node has received the whole configuration.
    Received { node: usize, from: usize },
    /// The configuration is active on a node.
    Activated { node: usize },
}

struct Node {
    link: f64,
    version: u64,
    is_busy: bool,
    sources: ConfigSources,
    transfer_slots: TransferSlots,
    /// Current number of transfers in both directions.
    transfers: u32,
}

struct Fleet {
    nodes: Vec<Node>,
    bytes: usize,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    rng: SmallRng,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_200))
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all are IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    fn new(narrow: usize, wide: usize, bytes: usize, seed: u64) -> Self {
        let links = std::iter::repeat_n(WIDE, wide).chain(std::iter::repeat_n(NARROW, narrow));
        let nodes = links.map(|link| Node {
            link,
            version: OLD,
            is_busy: false,
            sources: ConfigSources::default(),
            transfer_slots: TransferSlots::new(transfer_slots::max_concurrent(link)),
            transfers: 0,
        });
        Fleet {
            nodes: nodes.collect(),
            bytes,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, pause: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + pause, self.event_count, event)));
    }

    /// Runs the simulation: the watchers have the configuration at the start; returns when it is active on
    /// the last node.
    fn spread(mut self, watchers: usize) -> Duration {
        for node in 0..self.nodes.len() {
            let first = MESSAGE_INTERVAL.mul_f64(self.rng.random());
            let from = self.other(node);
            self.schedule(first, Event::Message { node, from, is_announced: false });
        }
        for node in 0..watchers {
            self.schedule(Duration::ZERO, Event::Activated { node });
        }
        let mut last = Duration::ZERO;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            assert!(now < TIME_LIMIT, "simulation does not end");
            if self.nodes.iter().all(|node| node.version == NEW) {
                return last;
            }
            match event {
                Event::Message { node, from, is_announced } => self.on_message(node, from, is_announced),
                Event::SelectSource { node } => self.select_source(node),
                Event::Received { node, from } => self.on_received(node, from),
                Event::Activated { node } => {
                    last = now;
                    self.activate(node);
                }
            }
        }
        last
    }

    fn other(&mut self, node: usize) -> usize {
        (0..self.nodes.len())
            .filter(|other| *other != node)
            .choose(&mut self.rng)
            .expect("fleet has another node")
    }

    fn on_message(&mut self, node: usize, from: usize, is_announced: bool) {
        if !is_announced {
            let next = self.other(node);
            self.schedule(MESSAGE_INTERVAL, Event::Message { node, from: next, is_announced: false });
        }
        let (version, wide) = (self.nodes[from].version, self.nodes[from].link > NARROW);
        if version > self.nodes[node].version {
            let notice = if is_announced { VersionNotice::Announced } else { VersionNotice::Observed };
            self.nodes[node].sources.on_version(
                address(from),
                version,
                wide,
                notice,
                self.now,
                &mut self.rng,
            );
            self.select_source(node);
        }
    }

    fn select_source(&mut self, node: usize) {
        if self.nodes[node].is_busy {
            return;
        }
        let own = self.nodes[node].version;
        match self.nodes[node].sources.next(own, |_| false, self.now, &mut self.rng) {
            NextSource::Node(from) => self.query(node, node_at(from)),
            NextSource::Later(pause) => self.schedule(pause, Event::SelectSource { node }),
            NextSource::Nothing | NextSource::Store => {}
        }
    }

    fn query(&mut self, node: usize, from: usize) {
        if let Err(pause) = self.nodes[from].transfer_slots.try_acquire() {
            let now = self.now + 2 * LATENCY;
            self.nodes[node].sources.on_busy(address(from), pause, now);
            return self.schedule(2 * LATENCY, Event::SelectSource { node });
        }
        self.nodes[node].is_busy = true;
        self.nodes[node].transfers += 1;
        self.nodes[from].transfers += 1;
        let share = |at: &Node| at.link / f64::from(at.transfers);
        let rate = share(&self.nodes[node]).min(share(&self.nodes[from]));
        let transfer_time = Duration::from_secs_f64(self.bytes as f64 * 8.0 / rate);
        self.schedule(2 * LATENCY + transfer_time, Event::Received { node, from });
    }

    fn on_received(&mut self, node: usize, from: usize) {
        self.nodes[node].transfers -= 1;
        self.nodes[from].transfers -= 1;
        self.nodes[from].transfer_slots.release(Duration::from_secs_f64(self.bytes as f64 * 8.0 / NARROW));
        self.nodes[node].sources.on_delivered(address(from));
        self.schedule(ACTIVATION_TIME, Event::Activated { node });
    }

    /// Activates the configuration on a node and announces it as a node does.
    fn activate(&mut self, node: usize) {
        self.nodes[node].version = NEW;
        self.nodes[node].is_busy = false;
        let target_count = transfer_slots::max_concurrent(self.nodes[node].link).max(4);
        let wide: Vec<usize> =
            self.nodes.iter().enumerate().filter(|(_, n)| n.link > NARROW).map(|(n, _)| n).collect();
        let mut targets: Vec<usize> = wide.into_iter().sample(&mut self.rng, target_count / 2);
        for _ in targets.len()..target_count {
            let other = self.other(node);
            targets.push(other);
        }
        for other in targets.into_iter().filter(|other| *other != node) {
            self.schedule(LATENCY, Event::Message { node: other, from: node, is_announced: true });
        }
    }
}

/// Compressed to 64 kB, 5,000 routes are active on all nodes within a second, or little more if no link is
/// wide. Uncompressed, a single transfer of the 1 MB text takes 0.8 s.
#[test]
fn test_5000_routes_spread_within_a_second() {
    let mut rows = String::new();
    for (narrow, wide) in [(54, 8), (76, 9), (270, 30), (357, 53), (300, 0)] {
        let longest = |bytes| {
            let times = (0..3).map(|seed| Fleet::new(narrow, wide, bytes, seed).spread(3));
            times.max().expect("at least one seed").as_secs_f64()
        };
        let (compressed, text) = (longest(64_000), longest(1_000_000));
        writeln!(rows, "{narrow} narrow, {wide} wide: {compressed:.1} s, as text {text:.1} s")
            .expect("String accepts all writes");
    }
    insta::assert_snapshot!(rows, @r"
    54 narrow, 8 wide: 0.5 s, as text 2.0 s
    76 narrow, 9 wide: 0.7 s, as text 2.2 s
    270 narrow, 30 wide: 0.7 s, as text 2.5 s
    357 narrow, 53 wide: 0.7 s, as text 2.4 s
    300 narrow, 0 wide: 1.1 s, as text 6.8 s
    ");
}
