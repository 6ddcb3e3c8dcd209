//! Time until all nodes know that a request crashes replicas, on a modelled network.
//!
//! Three nodes observe one end each, half a second apart. A change is sent to eight nodes, each of which
//! forwards it to four. A node that receives a message with another digest sends its whole state to the
//! sender, at most once per second. A node with a change to a request of two ends or more sends it to four
//! nodes again, four times. Probes, one per second from each node to a random one, and their answers carry
//! digests. Some nodes start after the third end and know nothing. All must know within 3 s.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::quarantine::ENDS_TO_QUARANTINE;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::ids::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_crash_ledger::fingerprint;
use crate::test_gateway_crash_ledger::replica;
use crate::test_gateway_crash_ledger::request;

const FIRST_FAN_OUT: usize = 8;
const FAN_OUT: usize = 4;
const PROBE_INTERVAL_MS: u64 = 1_000;
const TICK_MS: u64 = 100;
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(1);
const END_INTERVAL: Duration = Duration::from_millis(500);
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// One in this many nodes starts late.
const LATE_START_STRIDE: usize = 10;
/// Time from the third end until late nodes start.
const LATE_START_DELAY: Duration = Duration::from_millis(300);
const UNIX: u64 = 1_800_000_000_000;

enum Message {
    Suspects(Vec<Suspect>),
    Probe,
    Answer,
}

enum Event {
    End(usize, usize),
    Start(usize),
    Probe(usize),
    Tick(usize),
    Arrival { from: usize, to: usize, digest: u64, message: Message },
}

struct Node {
    ledger: CrashLedger,
    last_full_sync: Option<Timestamp>,
    rebroadcast: Rebroadcast<Fingerprint>,
    is_up: bool,
}

struct Model {
    rng: SmallRng,
    loss: f64,
    nodes: Vec<Node>,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    now: Timestamp,
    suspect_messages: usize,
    informed: BTreeSet<usize>,
}

impl Model {
    fn new(nodes: usize, loss: f64, seed: u64) -> Model {
        let mut model = Model {
            rng: SmallRng::seed_from_u64(seed),
            loss,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            now: Timestamp::ZERO,
            suspect_messages: 0,
            informed: BTreeSet::new(),
        };
        let third = END_INTERVAL * (ENDS_TO_QUARANTINE as u32 - 1);
        for node in 0..nodes {
            let is_late = node % LATE_START_STRIDE == LATE_START_STRIDE - 1;
            model.nodes.push(Node {
                ledger: CrashLedger::default(),
                last_full_sync: None,
                rebroadcast: Rebroadcast::default(),
                is_up: !is_late,
            });
            if is_late {
                model.schedule(third + LATE_START_DELAY, Event::Start(node));
            }
            let phase = model.rng.random_range(0..PROBE_INTERVAL_MS);
            model.schedule(Duration::from_millis(phase), Event::Probe(node));
            let phase = model.rng.random_range(0..TICK_MS);
            model.schedule(Duration::from_millis(phase), Event::Tick(node));
        }
        for end in 0..ENDS_TO_QUARANTINE {
            model.schedule(END_INTERVAL * end as u32, Event::End(end, end));
        }
        model
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn random_others(&mut self, node: usize, count: usize) -> Vec<usize> {
        let count = count.min(self.nodes.len() - 1);
        let mut others = Vec::new();
        while others.len() < count {
            let other = self.rng.random_range(0..self.nodes.len());
            if other != node && !others.contains(&other) {
                others.push(other);
            }
        }
        others
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.suspect_messages += usize::from(matches!(message, Message::Suspects(_)));
        if self.rng.random_bool(self.loss) {
            return;
        }
        let latency = Duration::from_micros(self.rng.random_range(500..5_000));
        let digest = self.nodes[from].ledger.digest();
        self.schedule(self.now + latency, Event::Arrival { from, to, digest, message });
    }

    fn announce(&mut self, from: usize, count: usize, changes: &[Suspect]) {
        if changes.is_empty() {
            return;
        }
        for to in self.random_others(from, count) {
            self.send(from, to, Message::Suspects(changes.to_vec()));
        }
    }

    fn on_message(&mut self, from: usize, to: usize, digest: u64, message: Message) {
        if !self.nodes[to].is_up {
            return;
        }
        let node = &mut self.nodes[to];
        let may_sync = node.last_full_sync.is_none_or(|last| self.now >= last + FULL_SYNC_INTERVAL);
        if digest != node.ledger.digest() && may_sync {
            node.last_full_sync = Some(self.now);
            let all = node.ledger.suspects_to_sync();
            self.send(to, from, Message::Suspects(all));
        }
        match message {
            Message::Suspects(received) => {
                let changes = self.nodes[to].ledger.merge(received, UNIX);
                self.on_update(to, &changes);
                self.announce(to, FAN_OUT, &changes);
            }
            Message::Probe => self.send(to, from, Message::Answer),
            Message::Answer => {}
        }
    }

    fn on_tick(&mut self, node: usize) {
        let Node { ledger, rebroadcast, .. } = &mut self.nodes[node];
        let due: Vec<Suspect> =
            rebroadcast.take_due(self.now).iter().filter_map(|fingerprint| ledger.get(fingerprint)).collect();
        self.announce(node, FAN_OUT, &due);
    }

    fn on_update(&mut self, node: usize, changes: &[Suspect]) {
        let Node { ledger, rebroadcast, .. } = &mut self.nodes[node];
        let to_sync = changes.iter().filter(|suspect| ledger.needs_sync(&suspect.name.fingerprint));
        to_sync.for_each(|suspect| rebroadcast.on_update(suspect.name.fingerprint));
        let known = self.nodes[node].ledger.get(&fingerprint(1));
        if known.is_some_and(|known| known.valid_ends() >= ENDS_TO_QUARANTINE) {
            self.informed.insert(node);
        }
    }

    /// Runs until all nodes know; returns the time since the third end, and the number of messages with
    /// suspects.
    fn simulate(mut self) -> (Duration, usize) {
        let third = END_INTERVAL * (ENDS_TO_QUARANTINE as u32 - 1);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Start(node) => self.nodes[node].is_up = true,
                Event::End(node, end) => {
                    let changes = self.nodes[node].ledger.on_end(request(1), replica(end), UNIX);
                    self.on_update(node, &changes);
                    self.announce(node, FIRST_FAN_OUT, &changes);
                }
                Event::Probe(node) => {
                    self.schedule(at + Duration::from_millis(PROBE_INTERVAL_MS), Event::Probe(node));
                    let to = self.random_others(node, 1)[0];
                    if self.nodes[node].is_up {
                        self.send(node, to, Message::Probe);
                    }
                }
                Event::Tick(node) => {
                    self.schedule(at + Duration::from_millis(TICK_MS), Event::Tick(node));
                    self.on_tick(node);
                }
                Event::Arrival { from, to, digest, message } => self.on_message(from, to, digest, message),
            }
            if self.informed.len() == self.nodes.len() {
                return (self.now - third, self.suspect_messages);
            }
            assert!(self.now < third + 4 * KNOWN_WITHIN, "some nodes don't know of the third end");
        }
        unreachable!("nodes never stop probing");
    }
}

#[test]
fn test_all_nodes_learn_of_a_crashing_request_in_time() {
    let mut rows = Vec::new();
    for nodes in [6, 66, 300, 410, 985] {
        for loss in [0.0, 0.1, 0.3] {
            let runs: Vec<_> = (0..20).map(|seed| Model::new(nodes, loss, seed).simulate()).collect();
            let slowest = runs.iter().map(|(took, _)| *took).max().expect("there are runs");
            let messages = runs.iter().map(|(_, messages)| messages).sum::<usize>() / runs.len();

            assert!(slowest <= KNOWN_WITHIN, "{nodes} nodes, {loss} lost: {slowest:?}");
            rows.push(format!(
                "{nodes} nodes, {loss:.1} lost: {:.1} s at most, {} messages a node",
                slowest.as_secs_f64(),
                messages / nodes
            ));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    6 nodes, 0.0 lost: 0.0 s at most, 21 messages a node
    6 nodes, 0.1 lost: 0.0 s at most, 21 messages a node
    6 nodes, 0.3 lost: 0.7 s at most, 21 messages a node
    66 nodes, 0.0 lost: 0.7 s at most, 22 messages a node
    66 nodes, 0.1 lost: 0.7 s at most, 22 messages a node
    66 nodes, 0.3 lost: 1.1 s at most, 23 messages a node
    300 nodes, 0.0 lost: 0.7 s at most, 22 messages a node
    300 nodes, 0.1 lost: 0.8 s at most, 23 messages a node
    300 nodes, 0.3 lost: 1.1 s at most, 24 messages a node
    410 nodes, 0.0 lost: 0.8 s at most, 23 messages a node
    410 nodes, 0.1 lost: 0.8 s at most, 24 messages a node
    410 nodes, 0.3 lost: 1.2 s at most, 25 messages a node
    985 nodes, 0.0 lost: 0.8 s at most, 24 messages a node
    985 nodes, 0.1 lost: 0.8 s at most, 24 messages a node
    985 nodes, 0.3 lost: 1.2 s at most, 26 messages a node
    ");
}
