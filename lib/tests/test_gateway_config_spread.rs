//! How long a configuration takes to all nodes of a fleet: the choice of whom to ask and how many
//! to hand it to, on modelled links.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::config_sources::ConfigSources;
use leadstage_lib::gateway::config_sources::HeardHow;
use leadstage_lib::gateway::config_sources::NextSource;
use leadstage_lib::gateway::transfer_slots;
use leadstage_lib::gateway::transfer_slots::TransferSlots;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

const OLD: u64 = 1;
const NEW: u64 = 2;
/// One way between two nodes.
const WAY: Duration = Duration::from_millis(1);
/// Until a node has decoded and indexed 5,000 routes with 0.12 of a core.
const TAKES_IN: Duration = Duration::from_millis(80);
/// Each node hears something from a random other one so often: pulses that are passed on.
const HEARS_EVERY: Duration = Duration::from_millis(70);
const NARROW: f64 = 10e6;
const WIDE: f64 = 200e6;
/// All is over by then.
const LONGEST: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A node hears from another one, which perhaps told it of its configuration.
    Hears { node: usize, from: usize, is_told: bool },
    /// A node looks for whom to ask.
    Looks { node: usize },
    /// A node has it whole.
    Has { node: usize, from: usize },
    /// It is in force.
    InForce { node: usize },
}

struct Node {
    link: f64,
    version: u64,
    is_busy: bool,
    sources: ConfigSources,
    transfer_slots: TransferSlots,
    /// Transfers in and out at this time.
    transfers: u32,
}

struct Fleet {
    nodes: Vec<Node>,
    bytes: usize,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
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
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + pause, self.count, event)));
    }

    /// The watchers have it at once; returns when the last node has it in force.
    fn spread(mut self, watchers: usize) -> Duration {
        for node in 0..self.nodes.len() {
            let first = HEARS_EVERY.mul_f64(self.rng.random());
            let from = self.other(node);
            self.after(first, Event::Hears { node, from, is_told: false });
        }
        for node in 0..watchers {
            self.after(Duration::ZERO, Event::InForce { node });
        }
        let mut last = Duration::ZERO;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            assert!(now < LONGEST, "it does not end");
            if self.nodes.iter().all(|node| node.version == NEW) {
                return last;
            }
            match event {
                Event::Hears { node, from, is_told } => self.hears(node, from, is_told),
                Event::Looks { node } => self.looks(node),
                Event::Has { node, from } => self.has(node, from),
                Event::InForce { node } => {
                    last = now;
                    self.in_force(node);
                }
            }
        }
        last
    }

    fn other(&mut self, node: usize) -> usize {
        (0..self.nodes.len()).filter(|other| *other != node).choose(&mut self.rng).expect("there are others")
    }

    fn hears(&mut self, node: usize, from: usize, is_told: bool) {
        if !is_told {
            let next = self.other(node);
            self.after(HEARS_EVERY, Event::Hears { node, from: next, is_told: false });
        }
        let (version, wide) = (self.nodes[from].version, self.nodes[from].link > NARROW);
        if version > self.nodes[node].version {
            let how = if is_told { HeardHow::Told } else { HeardHow::Noticed };
            self.nodes[node].sources.on_version(address(from), version, wide, how, self.now, &mut self.rng);
            self.looks(node);
        }
    }

    fn looks(&mut self, node: usize) {
        if self.nodes[node].is_busy {
            return;
        }
        let own = self.nodes[node].version;
        match self.nodes[node].sources.next(own, |_| false, self.now, &mut self.rng) {
            NextSource::Node(from) => self.try_acquire(node, node_at(from)),
            NextSource::Later(pause) => self.after(pause, Event::Looks { node }),
            NextSource::Nothing | NextSource::Store => {}
        }
    }

    fn try_acquire(&mut self, node: usize, from: usize) {
        if let Err(after) = self.nodes[from].transfer_slots.try_acquire() {
            let now = self.now + 2 * WAY;
            self.nodes[node].sources.on_busy(address(from), after, now);
            return self.after(2 * WAY, Event::Looks { node });
        }
        self.nodes[node].is_busy = true;
        self.nodes[node].transfers += 1;
        self.nodes[from].transfers += 1;
        let share = |at: &Node| at.link / f64::from(at.transfers);
        let rate = share(&self.nodes[node]).min(share(&self.nodes[from]));
        let takes = Duration::from_secs_f64(self.bytes as f64 * 8.0 / rate);
        self.after(2 * WAY + takes, Event::Has { node, from });
    }

    fn has(&mut self, node: usize, from: usize) {
        self.nodes[node].transfers -= 1;
        self.nodes[from].transfers -= 1;
        self.nodes[from].transfer_slots.release(Duration::from_secs_f64(self.bytes as f64 * 8.0 / NARROW));
        self.nodes[node].sources.on_handed(address(from));
        self.after(TAKES_IN, Event::InForce { node });
    }

    /// As a node announces it.
    fn in_force(&mut self, node: usize) {
        self.nodes[node].version = NEW;
        self.nodes[node].is_busy = false;
        let tells = transfer_slots::max_concurrent(self.nodes[node].link).max(4);
        let wide: Vec<usize> =
            self.nodes.iter().enumerate().filter(|(_, n)| n.link > NARROW).map(|(n, _)| n).collect();
        let mut told: Vec<usize> = wide.into_iter().sample(&mut self.rng, tells / 2);
        for _ in told.len()..tells {
            let other = self.other(node);
            told.push(other);
        }
        for other in told.into_iter().filter(|other| *other != node) {
            self.after(WAY, Event::Hears { node: other, from: node, is_told: true });
        }
    }
}

/// 5,000 routes, 64 kB on the way, are in force at all nodes within a second, and little more where
/// no link is wide. As text of 1 MB one transfer alone takes 0.8 s.
#[test]
fn test_5000_routes_spread_within_a_second() {
    let mut rows = String::new();
    for (narrow, wide) in [(54, 8), (76, 9), (270, 30), (357, 53), (300, 0)] {
        let longest = |bytes| {
            let times = (0..3).map(|seed| Fleet::new(narrow, wide, bytes, seed).spread(3));
            times.max().expect("some seeds").as_secs_f64()
        };
        let (compressed, text) = (longest(64_000), longest(1_000_000));
        writeln!(rows, "{narrow} narrow, {wide} wide: {compressed:.1} s, as text {text:.1} s")
            .expect("it is written");
    }
    insta::assert_snapshot!(rows, @r"
    54 narrow, 8 wide: 0.5 s, as text 2.0 s
    76 narrow, 9 wide: 0.7 s, as text 2.2 s
    270 narrow, 30 wide: 0.7 s, as text 2.5 s
    357 narrow, 53 wide: 0.7 s, as text 2.4 s
    300 narrow, 0 wide: 1.1 s, as text 6.8 s
    ");
}
