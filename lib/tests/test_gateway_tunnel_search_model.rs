//! How soon the nodes of a large fleet find others that reach replicas, after most of them were partitioned from
//! all replicas at once, on a modelled network.
//!
//! Each node sends requests to random replicas and probes lost paths. A direct connection that is not open after
//! 100 ms is also asked for at other nodes, as `ReplicaDialer` does. A partitioned node that does not know
//! yet that it is cut off misses the replica after 100 ms.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use insta::assert_snapshot;
use leadstage_lib::gateway::replica_paths::DialPlan;
use leadstage_lib::gateway::replica_paths::ReplicaPaths;
use leadstage_lib::gateway::replica_paths::Unreached;
use leadstage_lib::gateway::tunnel_search::TunnelSearch;
use leadstage_lib::gateway::tunnel_search::ViaAnswer;
use leadstage_lib::ids::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REPLICAS: usize = 20;
/// Number of nodes that each node knows as carriers; a new sample is drawn for each search.
const KNOWN_CARRIERS: usize = 32;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(100);
const LATENCY: Duration = Duration::from_millis(2);
/// Time after which other nodes are asked, and in which they miss a replica.
const HEAD_START: Duration = Duration::from_millis(100);
const CARRIER_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a node's own attempt.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of nodes that are asked at the same time while none is known to reach the replica.
const VIAS_AT_ONCE: usize = 3;
const END: Duration = Duration::from_secs(6);
/// From here on the callers of all nodes are to be served alike.
const SERVED_FROM: Duration = Duration::from_secs(3);
const MIN_SERVED_SHARE: f64 = 0.99;

type NodeIndex = usize;
type SearchId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(NodeIndex),
    Request(NodeIndex),
    /// A search begins, for a request or for a probe.
    Search {
        node: NodeIndex,
        replica: usize,
        at_once: usize,
        began: Option<Timestamp>,
    },
    Asked {
        search: SearchId,
        via: NodeIndex,
    },
    /// A node that was asked has missed the replica.
    Missed {
        search: SearchId,
        via: NodeIndex,
    },
    Answered {
        search: SearchId,
        via: NodeIndex,
        opened: bool,
        referral: Option<NodeIndex>,
    },
    Unreached {
        search: SearchId,
        via: NodeIndex,
    },
    /// A node's own attempt ends.
    DirectFailed {
        search: SearchId,
    },
}

struct Search {
    node: NodeIndex,
    replica: usize,
    search: Option<TunnelSearch>,
    began: Option<Timestamp>,
}

struct Model {
    rng: SmallRng,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    scheduled: usize,
    nodes: Vec<ReplicaPaths>,
    /// The nodes from this one on are partitioned from all replicas.
    first_cut: NodeIndex,
    searches: Vec<Search>,
    /// When each request of a partitioned node began, and whether it was served.
    requests: Vec<(Timestamp, bool)>,
    asked: HashMap<(NodeIndex, u64), usize>,
}

fn address(node: NodeIndex) -> SocketAddr {
    SocketAddr::from(([10, 1, (node / 250) as u8, (node % 250) as u8], 70))
}

fn octets(address: SocketAddr) -> [u8; 4] {
    let SocketAddr::V4(address) = address else { unreachable!("all addresses are IPv4 addresses") };
    address.ip().octets()
}

fn index(node: SocketAddr) -> NodeIndex {
    let [_, _, high, low] = octets(node);
    usize::from(high) * 250 + usize::from(low)
}

fn replica_address(replica: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, replica as u8], 80))
}

impl Model {
    fn new(nodes: usize, with_path: usize, seed: u64) -> Model {
        let mut model = Model {
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            nodes: (0..nodes).map(|_| ReplicaPaths::default()).collect(),
            first_cut: with_path,
            searches: Vec::new(),
            requests: Vec::new(),
            asked: HashMap::new(),
        };
        for node in with_path..nodes {
            let request_after = REQUEST_INTERVAL.mul_f64(model.rng.random());
            model.schedule(request_after, Event::Request(node));
            let tick_after = TICK.mul_f64(model.rng.random());
            model.schedule(tick_after, Event::Tick(node));
        }
        model
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + after, self.scheduled, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop().filter(|Reverse((at, ..))| *at < END) {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.on_tick(node),
            Event::Request(node) => self.on_request(node),
            Event::Search { node, replica, at_once, began } => {
                self.begin_search(node, replica, at_once, began)
            }
            Event::Asked { search, via } => self.on_asked(search, via),
            Event::Missed { search, via } => self.on_missed(search, via),
            Event::Answered { search, via, opened, referral } => {
                let referral = referral.map(address);
                let answer = if opened { ViaAnswer::Opened } else { ViaAnswer::Unavailable { referral } };
                self.on_answer(search, via, answer);
            }
            Event::Unreached { search, via } => {
                self.on_answer(search, via, ViaAnswer::ReplicaUnreached(Unreached::Silent))
            }
            Event::DirectFailed { search } => {
                let Search { node, replica, .. } = self.searches[search];
                self.nodes[node].on_direct(replica_address(replica), Err(Unreached::Silent));
            }
        }
    }

    fn on_tick(&mut self, node: NodeIndex) {
        self.schedule(TICK, Event::Tick(node));
        let due = self.nodes[node].due_probe(self.now, &mut self.rng);
        if let Some(replica) = due.map(|replica| usize::from(octets(replica)[3]))
            && !self.nodes[node].is_cut_off()
        {
            self.schedule(HEAD_START, Event::Search { node, replica, at_once: VIAS_AT_ONCE, began: None });
        }
    }

    fn on_request(&mut self, node: NodeIndex) {
        self.schedule(REQUEST_INTERVAL, Event::Request(node));
        let replica = self.rng.random_range(0..REPLICAS);
        let began = Some(self.now);
        match self.nodes[node].plan(replica_address(replica), self.now) {
            DialPlan::DirectFirst => {
                self.schedule(HEAD_START, Event::Search { node, replica, at_once: VIAS_AT_ONCE, began })
            }
            DialPlan::Tunnel => self.begin_search(node, replica, 1, began),
            DialPlan::DirectOnly | DialPlan::Fail(_) => self.requests.push((self.now, false)),
        }
    }

    fn begin_search(&mut self, node: NodeIndex, replica: usize, at_once: usize, began: Option<Timestamp>) {
        if !self.nodes[node].is_cut_off() {
            let search = self.searches.len();
            self.schedule(DIRECT_TIMEOUT - HEAD_START, Event::DirectFailed { search });
        }
        // Indices from the node's own one on stand for the next node.
        let others = self.nodes.len() - 1;
        let others = rand::seq::index::sample(&mut self.rng, others, KNOWN_CARRIERS.min(others));
        let known: Vec<SocketAddr> =
            others.iter().map(|other| address(other + usize::from(other >= node))).collect();
        let search = TunnelSearch::new(replica_address(replica), address(node), &known, at_once);
        self.searches.push(Search { node, replica, search: Some(search), began });
        self.ask(self.searches.len() - 1);
    }

    /// Asks as many nodes as may be asked now; ends the search if there is none left to wait for.
    fn ask(&mut self, id: SearchId) {
        let node = self.searches[id].node;
        let Some(search) = &mut self.searches[id].search else {
            return;
        };
        let mut vias = Vec::new();
        while let Some(via) = search.next(&self.nodes[node], self.now, &mut self.rng) {
            vias.push(index(via));
        }
        if vias.is_empty() && !search.is_awaited() {
            let search = self.searches[id].search.take().expect("it is open");
            search.give_up(&mut self.nodes[node], self.now);
            self.end(id, false);
        }
        for via in vias {
            *self.asked.entry((via, self.now.as_secs())).or_default() += 1;
            self.schedule(LATENCY, Event::Asked { search: id, via });
        }
    }

    fn end(&mut self, id: SearchId, served: bool) {
        self.requests.extend(self.searches[id].began.map(|began| (began, served)));
    }

    fn on_asked(&mut self, search: SearchId, via: NodeIndex) {
        if via < self.first_cut {
            self.schedule(LATENCY, Event::Answered { search, via, opened: true, referral: None });
        } else if self.lacks_path(search, via) {
            self.answer_without_path(search, via);
        } else {
            self.schedule(CARRIER_TIMEOUT, Event::Missed { search, via });
        }
    }

    fn lacks_path(&self, search: SearchId, via: NodeIndex) -> bool {
        self.nodes[via].lacks_path(replica_address(self.searches[search].replica))
    }

    fn answer_without_path(&mut self, search: SearchId, via: NodeIndex) {
        let referral = self.nodes[via].referral(self.now, &mut self.rng).map(index);
        self.schedule(LATENCY, Event::Answered { search, via, opened: false, referral });
    }

    fn on_missed(&mut self, search: SearchId, via: NodeIndex) {
        let replica = replica_address(self.searches[search].replica);
        self.nodes[via].on_direct(replica, Err(Unreached::Silent));
        if self.lacks_path(search, via) {
            self.answer_without_path(search, via);
        } else {
            self.schedule(LATENCY, Event::Unreached { search, via });
        }
    }

    fn on_answer(&mut self, id: SearchId, via: NodeIndex, answer: ViaAnswer) {
        let Search { node, replica, search: Some(search), .. } = &mut self.searches[id] else {
            return;
        };
        let (node, replica) = (*node, replica_address(*replica));
        search.on_answer(&mut self.nodes[node], address(via), answer, self.now);
        if answer == ViaAnswer::Opened {
            if !self.nodes[node].lacks_path(replica) {
                self.nodes[node].on_blocked(replica, self.now);
            }
            self.searches[id].search = None;
            self.end(id, true);
        } else {
            self.ask(id);
        }
    }

    /// Share of the requests that began in a time which were served.
    fn served_share(&self, from: Duration, until: Duration) -> f64 {
        let began = self.requests.iter().filter(|(at, _)| (from..until).contains(at));
        began.clone().filter(|(_, served)| *served).count() as f64 / began.count() as f64
    }

    fn most_asked_in_a_second(&self, nodes: impl Fn(NodeIndex) -> bool) -> usize {
        self.asked.iter().filter(|((node, _), _)| nodes(*node)).map(|(_, count)| *count).max().unwrap_or(0)
    }
}

/// Guards against callers who are refused for seconds because their node finds none that reaches replicas.
#[test]
fn test_nodes_of_a_mostly_partitioned_fleet_find_those_with_a_path() {
    let mut table = "nodes, with a path: served in the 1st, 2nd, 3rd second, from 3 s on; most asked of a node without, with a path in a second\n".to_owned();
    let mut failed = Vec::new();
    for (nodes, with_path) in [(6, 1), (60, 1), (60, 30), (400, 4), (1_000, 10), (1_000, 100), (1_000, 500)] {
        let mut model = Model::new(nodes, with_path, 1);
        model.run();
        let shares: Vec<String> = (0..3)
            .map(|s| format!("{:.2}", model.served_share(Duration::from_secs(s), Duration::from_secs(s + 1))))
            .collect();
        let served = model.served_share(SERVED_FROM, END - Duration::from_secs(1));
        let without = model.most_asked_in_a_second(|node| node >= with_path);
        let with = model.most_asked_in_a_second(|node| node < with_path);
        table += &format!("{nodes}, {with_path}: {}, {served:.3}; {without}, {with}\n", shares.join(", "));
        if served < MIN_SERVED_SHARE {
            failed.push((nodes, with_path));
        }
    }
    assert!(failed.is_empty(), "{failed:?}\n{table}");
    assert_snapshot!(table);
}
