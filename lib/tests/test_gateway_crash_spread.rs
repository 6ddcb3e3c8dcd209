//! How fast all nodes know that a request ends replicas, on a modelled network.
//!
//! Three nodes see one end each, half a second apart. News go to eight nodes, which tell four each; whoever
//! hears from a node whose digest differs tells it all it knows, once a second at most; who has news of two
//! ends or more tells them to four others again, four times. Probes, one a second
//! from each node to a random one and their answers, carry digests. Some nodes start after the third end
//! and know nothing. All must know within 3 s.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::ENDS_TO_QUARANTINE;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::ids::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_crash_ledger::fingerprint;
use crate::test_gateway_crash_ledger::replica;

const FIRST_FAN_OUT: usize = 8;
const FAN_OUT: usize = 4;
const PROBE_INTERVAL_MS: u64 = 1_000;
const TICK_MS: u64 = 100;
const TELL_ALL_INTERVAL: Duration = Duration::from_secs(1);
const END_INTERVAL: Duration = Duration::from_millis(500);
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// One in so many nodes starts so long after the third end.
const LATE_STARTERS: usize = 10;
const STARTS_AFTER: Duration = Duration::from_millis(300);
const UNIX: u64 = 1_800_000_000_000;

enum Message {
    Suspects(Vec<Suspect>),
    Probe,
    Answer,
}

enum Event {
    End(usize, usize),
    Start(usize),
    Probes(usize),
    Ticks(usize),
    Arrives { from: usize, to: usize, digest: u64, message: Message },
}

struct Node {
    ledger: CrashLedger,
    told_all: Option<Timestamp>,
    rebroadcast: Rebroadcast<Fingerprint>,
    is_up: bool,
}

struct Model {
    rng: SmallRng,
    loss: f64,
    nodes: Vec<Node>,
    events: BTreeMap<(Timestamp, u64), Event>,
    numbered: u64,
    now: Timestamp,
    suspect_messages: usize,
    know: BTreeSet<usize>,
}

impl Model {
    fn new(nodes: usize, loss: f64, seed: u64) -> Model {
        let mut model = Model {
            rng: SmallRng::seed_from_u64(seed),
            loss,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            numbered: 0,
            now: Timestamp::ZERO,
            suspect_messages: 0,
            know: BTreeSet::new(),
        };
        let third = END_INTERVAL * (ENDS_TO_QUARANTINE as u32 - 1);
        for node in 0..nodes {
            let is_late = node % LATE_STARTERS == LATE_STARTERS - 1;
            model.nodes.push(Node {
                ledger: CrashLedger::default(),
                told_all: None,
                rebroadcast: Rebroadcast::default(),
                is_up: !is_late,
            });
            if is_late {
                model.at(third + STARTS_AFTER, Event::Start(node));
            }
            let phase = model.rng.random_range(0..PROBE_INTERVAL_MS);
            model.at(Duration::from_millis(phase), Event::Probes(node));
            let phase = model.rng.random_range(0..TICK_MS);
            model.at(Duration::from_millis(phase), Event::Ticks(node));
        }
        for end in 0..ENDS_TO_QUARANTINE {
            model.at(END_INTERVAL * end as u32, Event::End(end, end));
        }
        model
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.numbered += 1;
        self.events.insert((at, self.numbered), event);
    }

    fn others(&mut self, node: usize, count: usize) -> Vec<usize> {
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
        let takes = Duration::from_micros(self.rng.random_range(500..5_000));
        let digest = self.nodes[from].ledger.digest();
        self.at(self.now + takes, Event::Arrives { from, to, digest, message });
    }

    fn tell(&mut self, from: usize, count: usize, news: &[Suspect]) {
        if news.is_empty() {
            return;
        }
        for to in self.others(from, count) {
            self.send(from, to, Message::Suspects(news.to_vec()));
        }
    }

    fn arrives(&mut self, from: usize, to: usize, digest: u64, message: Message) {
        if !self.nodes[to].is_up {
            return;
        }
        let node = &mut self.nodes[to];
        let may_tell = node.told_all.is_none_or(|told| self.now >= told + TELL_ALL_INTERVAL);
        if digest != node.ledger.digest() && may_tell {
            node.told_all = Some(self.now);
            let all = node.ledger.agreed();
            self.send(to, from, Message::Suspects(all));
        }
        match message {
            Message::Suspects(told) => {
                let news = self.nodes[to].ledger.take(told, UNIX);
                self.on_update(to, &news);
                self.tell(to, FAN_OUT, &news);
            }
            Message::Probe => self.send(to, from, Message::Answer),
            Message::Answer => {}
        }
    }

    fn ticks(&mut self, node: usize) {
        let Node { ledger, rebroadcast, .. } = &mut self.nodes[node];
        let told: Vec<Suspect> =
            rebroadcast.take_due(self.now).iter().filter_map(|fingerprint| ledger.get(fingerprint)).collect();
        self.tell(node, FAN_OUT, &told);
    }

    fn on_update(&mut self, node: usize, news: &[Suspect]) {
        let Node { ledger, rebroadcast, .. } = &mut self.nodes[node];
        let agreed = news.iter().filter(|suspect| ledger.is_agreed_on(&suspect.fingerprint));
        agreed.for_each(|suspect| rebroadcast.on_update(suspect.fingerprint));
        let known = self.nodes[node].ledger.get(&fingerprint(1));
        if known.is_some_and(|known| known.standing() >= ENDS_TO_QUARANTINE) {
            self.know.insert(node);
        }
    }

    /// Plays until all know; returns how long after the third end that was, and the messages of suspects.
    fn play(mut self) -> (Duration, usize) {
        let third = END_INTERVAL * (ENDS_TO_QUARANTINE as u32 - 1);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Start(node) => self.nodes[node].is_up = true,
                Event::End(node, end) => {
                    let news = self.nodes[node].ledger.on_end(fingerprint(1), replica(end), UNIX);
                    self.on_update(node, &news);
                    self.tell(node, FIRST_FAN_OUT, &news);
                }
                Event::Probes(node) => {
                    self.at(at + Duration::from_millis(PROBE_INTERVAL_MS), Event::Probes(node));
                    let to = self.others(node, 1)[0];
                    if self.nodes[node].is_up {
                        self.send(node, to, Message::Probe);
                    }
                }
                Event::Ticks(node) => {
                    self.at(at + Duration::from_millis(TICK_MS), Event::Ticks(node));
                    self.ticks(node);
                }
                Event::Arrives { from, to, digest, message } => self.arrives(from, to, digest, message),
            }
            if self.know.len() == self.nodes.len() {
                return (self.now - third, self.suspect_messages);
            }
            assert!(self.now < third + 4 * KNOWN_WITHIN, "not all know");
        }
        unreachable!("nodes probe for ever");
    }
}

#[test]
fn test_all_nodes_know_in_time() {
    let mut rows = Vec::new();
    for nodes in [6, 66, 300, 410] {
        for loss in [0.0, 0.1, 0.3] {
            let plays: Vec<_> = (0..20).map(|seed| Model::new(nodes, loss, seed).play()).collect();
            let slowest = plays.iter().map(|(took, _)| *took).max().expect("some");
            let messages = plays.iter().map(|(_, messages)| messages).sum::<usize>() / plays.len();

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
    ");
}
