//! Spread of replica updates through whole fleets: simulates nodes in five halls, their links and shares of a
//! core, lost messages, and nodes that fetch updates they missed. The code under test selects the gossip
//! targets, the updates to forward and the time to fetch.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::peers_by_hall::PeersByHall;
use leadstage_lib::gateway::replica_catch_up::ReplicaCatchUp;
use leadstage_lib::gateway::replica_catch_up::Source;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_updates::PackedUpdate;
use leadstage_lib::gateway::replica_updates::Part;
use leadstage_lib::gateway::replica_updates::ReplicaUpdate;
use leadstage_lib::gateway::replica_updates::UpdateProgress;
use leadstage_lib::gateway::replica_updates::UpdateRelay;
use leadstage_lib::gateway::transfer_slots;
use leadstage_lib::gateway::transfer_slots::TransferSlots;
use leadstage_lib::ids::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HALLS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Link rates in Mbit/s and shares of a core, as in the specification of the largest deployment.
const KINDS: [(f64, f64); 4] = [(20.0, 0.12), (20.0, 0.25), (200.0, 0.5), (1_000.0, 1.0)];
/// One-way latency between halls.
const LATENCY: Duration = Duration::from_micros(500);
/// Time to handle one message on a whole core.
const HANDLING_TIME: Duration = Duration::from_micros(60);
/// Overhead of a message: its headers and the fields that each message of a node carries.
const MESSAGE_OVERHEAD: usize = 90;
/// Gossip targets of the first node.
const FIRST_FAN_OUT: usize = 8;
/// Gossip targets of each node that forwards an update.
const FAN_OUT: usize = 4;
/// Other messages that a node receives per second, most of them from its own hall; each carries the revision
/// that its sender knows.
const OTHER_MESSAGES_PER_SECOND: f64 = 15.0;
const KNOWN_REVISION: u64 = 100;
const UPDATE_REVISION: u64 = 101;
const TIME_LIMIT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    replicas: usize,
    leaving: usize,
    lost: f64,
}

enum Event {
    Message(usize, PackedUpdate),
    /// Another message arrives at a node.
    Other(usize),
    Query {
        node: usize,
        from: usize,
    },
    Answer {
        node: usize,
        from: usize,
    },
}

struct Node {
    link: f64,
    share: f64,
    progress: UpdateProgress,
    relay: UpdateRelay,
    catch_up: ReplicaCatchUp,
    transfer_slots: TransferSlots,
    link_free: Duration,
    core_free: Duration,
    received: usize,
    from_other_halls: usize,
    updated_at: Option<Duration>,
}

struct Simulation {
    case: Case,
    rng: SmallRng,
    nodes: Vec<Node>,
    /// The peers known to the nodes of each hall; nodes of a hall share one set, which includes themselves.
    peers: Vec<PeersByHall>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next: u64,
    fetched: usize,
}

fn hall(node: usize) -> &'static str {
    HALLS[node % HALLS.len()]
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ids: Vec<VmId> = (0..case.nodes).map(|n| format!("{n}").into()).collect();
        let nodes = (0..case.nodes).map(|n| {
            let (link, share) = KINDS[(n / HALLS.len()) % KINDS.len()];
            let mut progress = UpdateProgress::default();
            progress.on_known(KNOWN_REVISION);
            Node {
                link: link * 1e6,
                share,
                progress,
                relay: UpdateRelay::default(),
                catch_up: ReplicaCatchUp::new(&mut rng),
                transfer_slots: TransferSlots::new(transfer_slots::max_concurrent(link * 1e6)),
                link_free: Duration::ZERO,
                core_free: Duration::ZERO,
                received: 0,
                from_other_halls: 0,
                updated_at: None,
            }
        });
        let nodes = nodes.collect();
        let peers = HALLS.map(|own| {
            let mut peers = PeersByHall::new(own.into());
            for (node, id) in ids.iter().enumerate() {
                peers.on_up(id);
                peers.on_hall(id, hall(node).into());
            }
            peers
        });
        Simulation {
            case,
            rng,
            nodes,
            peers: peers.into(),
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            next: 0,
            fetched: 0,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends bytes over a node's link in sequence; returns when they arrive.
    fn send(&mut self, from: usize, bytes: usize, now: Duration) -> Duration {
        let node = &mut self.nodes[from];
        let transfer_time = Duration::from_secs_f64(bytes as f64 * 8.0 / node.link);
        node.link_free = node.link_free.max(now) + transfer_time;
        node.link_free + LATENCY
    }

    /// Handles one message on a node's share of a core; returns when that is done.
    fn handle(&mut self, node: usize, now: Duration) -> Duration {
        let node = &mut self.nodes[node];
        node.core_free = node.core_free.max(now) + HANDLING_TIME.div_f64(node.share);
        node.core_free
    }

    fn send_update(&mut self, from: usize, count: usize, packed: &PackedUpdate, now: Duration) {
        let bytes = postcard::to_stdvec(packed).expect("update can be encoded").len() + MESSAGE_OVERHEAD;
        let targets = self.peers[from % HALLS.len()].gossip_targets(count, &mut self.rng);
        let targets: Vec<usize> = targets.into_iter().map(|id| id.parse().expect("a number")).collect();
        for to in targets {
            let at = self.send(from, bytes, now);
            if self.rng.random_bool(self.case.lost) {
                continue;
            }
            self.count_received(to, from, bytes);
            self.schedule(at, Event::Message(to, packed.clone()));
        }
    }

    fn count_received(&mut self, to: usize, from: usize, bytes: usize) {
        self.nodes[to].received += bytes;
        if hall(to) != hall(from) {
            self.nodes[to].from_other_halls += bytes;
        }
    }

    fn run(&mut self) {
        let of = |n: usize| Incarnation { id: format!("i-{:010x}", n as u64 * 0x9e37_79b9).into(), born: 0 };
        let update = ReplicaUpdate {
            before: KNOWN_REVISION,
            at: UPDATE_REVISION,
            added: Vec::new(),
            leaving: (0..self.case.leaving).map(of).collect(),
            part: Part::default(),
        };
        let first = self.case.nodes / 2;
        self.nodes[first].progress.on_known(UPDATE_REVISION);
        self.nodes[first].updated_at = Some(Duration::ZERO);
        for part in update.into_parts(self.case.replicas).expect("update can be split") {
            let packed = part.pack().expect("update can be packed");
            self.send_update(first, FIRST_FAN_OUT, &packed, Duration::ZERO);
        }
        for node in 0..self.case.nodes {
            let at = self.rng.random_range(0.0..1.0 / OTHER_MESSAGES_PER_SECOND);
            self.schedule(Duration::from_secs_f64(at), Event::Other(node));
        }
        while let Some(Reverse((now, event))) = self.queue.pop()
            && now < TIME_LIMIT
        {
            match self.events.remove(&event).expect("event is queued") {
                Event::Message(node, packed) => self.on_message(node, &packed, now),
                Event::Other(node) => self.on_other(node, now),
                Event::Query { node, from } => self.on_query(node, from, now),
                Event::Answer { node, from } => {
                    let slot_time = LATENCY;
                    self.nodes[from].transfer_slots.release(slot_time);
                    self.nodes[node].catch_up.on_answer();
                    self.nodes[node].progress.on_known(UPDATE_REVISION);
                    self.check_updated(node, now);
                }
            }
        }
    }

    fn check_updated(&mut self, node: usize, now: Duration) {
        let node = &mut self.nodes[node];
        if node.progress.at() >= UPDATE_REVISION {
            node.updated_at.get_or_insert(now);
            node.catch_up.on_update();
        }
    }

    fn on_message(&mut self, to: usize, packed: &PackedUpdate, now: Duration) {
        let now = self.handle(to, now);
        let node = &mut self.nodes[to];
        if node.progress.has(packed) {
            return;
        }
        let update = packed.unpack().expect("update can be unpacked");
        node.progress.on_part(&update);
        let is_forwarded = node.relay.should_forward(&update, true);
        self.check_updated(to, now);
        if is_forwarded {
            self.send_update(to, FAN_OUT, packed, now);
        }
    }

    fn on_other(&mut self, to: usize, now: Duration) {
        let pause = self.rng.random_range(0.5..1.5) / OTHER_MESSAGES_PER_SECOND;
        self.schedule(now + Duration::from_secs_f64(pause), Event::Other(to));
        // The sender is picked by the same selection as gossip targets.
        let targets = self.peers[to % HALLS.len()].gossip_targets(FAN_OUT, &mut self.rng);
        let targets: Vec<usize> = targets.into_iter().map(|id| id.parse().expect("a number")).collect();
        let from = targets[self.rng.random_range(0..targets.len())];
        if self.rng.random_bool(self.case.lost) {
            return;
        }
        let peer_revision = self.nodes[from].progress.at();
        let source = match (self.peers[to % HALLS.len()].has_enough_in_hall(), hall(from) == hall(to)) {
            (true, true) => Source::Near,
            (true, false) => Source::Far,
            (false, _) => Source::Any,
        };
        let node = &mut self.nodes[to];
        let own = node.progress.at();
        if let Some(pause) =
            node.catch_up.on_peer_revision(peer_revision, own, source, self.case.replicas, now)
        {
            self.schedule(now + pause, Event::Query { node: to, from });
        }
    }

    fn on_query(&mut self, node: usize, from: usize, now: Duration) {
        if self.nodes[node].progress.at() >= UPDATE_REVISION {
            return self.nodes[node].catch_up.on_answer();
        }
        let now = self.handle(from, now + 2 * LATENCY);
        match self.nodes[from].transfer_slots.try_acquire() {
            Ok(()) => {
                self.fetched += 1;
                let bytes = self.case.leaving * 14 + 600;
                let at = self.send(from, bytes, now);
                self.count_received(node, from, bytes);
                self.schedule(at, Event::Answer { node, from });
            }
            Err(after) => {
                let own = self.nodes[node].progress.at();
                self.nodes[node].catch_up.on_busy(after, own, now);
            }
        }
    }
}

struct Summary {
    half: f64,
    nearly_all: f64,
    all: f64,
    bytes: f64,
    far: f64,
    fetched: usize,
}

fn simulate(case: Case, seed: u64) -> Summary {
    let mut simulation = Simulation::new(case, seed);
    simulation.run();
    let mut times: Vec<f64> = simulation
        .nodes
        .iter()
        .map(|node| node.updated_at.map_or(f64::INFINITY, |at| at.as_secs_f64()))
        .collect();
    times.sort_by(f64::total_cmp);
    let part = |hundredths: usize| times[(times.len() * hundredths).div_ceil(100) - 1];
    let nodes = case.nodes as f64;
    let received: usize = simulation.nodes.iter().map(|node| node.received).sum();
    let far: usize = simulation.nodes.iter().map(|node| node.from_other_halls).sum();
    Summary {
        half: part(50),
        nearly_all: part(99),
        all: part(100),
        bytes: received as f64 / nodes,
        far: far as f64 / received as f64,
        fetched: simulation.fetched,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Size of the update in one piece, as sent by the first node.
fn update_bytes(case: Case) -> f64 {
    case.leaving as f64 * 7.0 + MESSAGE_OVERHEAD as f64
}

/// Simulations per row, and the rows: few in CI; `LEADSTAGE_SPREAD_SEEDS=200` runs all rows with 200 seeds
/// each.
fn rows() -> (u64, Vec<Case>) {
    let seeds = std::env::var("LEADSTAGE_SPREAD_SEEDS").ok();
    let seeds: Option<u64> = seeds.map(|text| text.parse().expect("LEADSTAGE_SPREAD_SEEDS is a number"));
    let mut cases = Vec::new();
    for (nodes, replicas) in [(66, 670), (985, 10_000), (1_970, 20_000)] {
        for leaving in [1, 193, 470] {
            for lost in [0.0, 0.03] {
                let leaving = if nodes == 66 { leaving / 15 + 1 } else { leaving };
                cases.push(Case { nodes, replicas, leaving, lost });
            }
        }
    }
    if seeds.is_none() {
        cases.retain(|case| case.lost > 0.0 && (case.nodes < 1_970 || case.leaving > 400));
    }
    (seeds.unwrap_or(2), cases)
}

#[test]
fn test_replica_updates_reach_all_nodes_at_each_size() {
    let mut table = String::from(
        "nodes replicas changes lost: half, 99 in 100, all (middle; most) s; bytes a node, of the news, from other halls; fetches\n",
    );
    let (seeds, cases) = rows();
    for case in cases {
        let Case { nodes, replicas, leaving, lost } = case;
        let runs: Vec<Summary> = (0..seeds).map(|seed| simulate(case, seed)).collect();
        let median_of = |of: fn(&Summary) -> f64| median(runs.iter().map(of).collect());
        let slowest = runs.iter().map(|run| run.all).fold(0.0, f64::max);
        let fetched = median(runs.iter().map(|run| run.fetched as f64).collect());
        writeln!(
            table,
            "{nodes:5} {replicas:8} {leaving:7} {lost:4}: {:.2} {:.2} {:.2}; {slowest:.2}; {:6.0} {:5.1} {:.2}; {fetched}",
            median_of(|run| run.half),
            median_of(|run| run.nearly_all),
            median_of(|run| run.all),
            median_of(|run| run.bytes),
            median_of(|run| run.bytes) / update_bytes(case),
            median_of(|run| run.far),
        )
        .expect("String accepts all writes");
        let (all, far) = (median_of(|run| run.all), median_of(|run| run.far));
        assert!(all <= 1.0 && slowest <= 2.0, "{case:?}: {all:.2} s, {slowest:.2} s at the most\n{table}");
        assert!(nodes < 100 || far < 0.5, "{case:?}: {far:.2} of the bytes come from other halls");
    }
    if std::env::var_os("LEADSTAGE_SPREAD_SEEDS").is_some() {
        println!("{table}");
        return;
    }
    insta::assert_snapshot!(table);
}
