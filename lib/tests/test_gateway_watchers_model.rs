//! Selection of watchers while hundreds of nodes start together, are cut off or are refused by the store:
//! simulates the network and counts the calls to the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::catch_up_age::CatchUpAge;
use leadstage_lib::gateway::watch_takeover::TakeoverSchedule;
use leadstage_lib::gateway::watchers::PULSE_INTERVAL;
use leadstage_lib::gateway::watchers::PULSE_LATE_AFTER;
use leadstage_lib::gateway::watchers::PULSE_TIMEOUT;
use leadstage_lib::gateway::watchers::Pulse;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::WATCHERS;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::gateway::watchers::Watchers;
use leadstage_lib::ids::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

type Node = usize;
type Time = Duration;

/// Time within which all nodes start.
const START_SPREAD: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(100);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Range of delays in ms from one node to the next: handling time and network latency.
const DELAYS_MS: std::ops::Range<u64> = 2..30;
/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time to fetch the store's contents from another node.
const FETCH_TIME: Duration = Duration::from_millis(150);
const SEEDS: usize = 3;
const KNOWN_PER_MESSAGE: usize = 8;
const FIRST_FAN_OUT: usize = 8;
const FAN_OUT: usize = 4;
/// Time without a message from a probed node after which it is considered dead.
const DEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// One node in this many has a wide link.
const NODES_PER_WIDE_LINK: usize = 20;

/// The faults of a scenario and their times.
#[derive(Clone, Debug, Default)]
struct Scenario {
    /// This many nodes are cut off from the others and from the store between these times.
    cut: Option<(usize, Time, Time)>,
    /// This many nodes, counted from the last one, are refused by the store between these times.
    refused: Option<(usize, Time, Time)>,
    /// The nodes that the store turns away from now on.
    turned_away: BTreeSet<Node>,
    /// The store answers no node between these times.
    away: Option<(Time, Time)>,
    /// Calls that the store doesn't answer are not refused but time out.
    is_silent: bool,
    /// All nodes lose power at this time and start again a second later.
    power: Option<Time>,
    /// The seeds never start.
    no_seeds: bool,
}

impl Scenario {
    fn cuts(&self, node: Node, now: Time) -> bool {
        self.cut.is_some_and(|(count, from, to)| node < count && (from..to).contains(&now))
    }

    fn reaches(&self, a: Node, b: Node, now: Time) -> bool {
        self.cuts(a, now) == self.cuts(b, now)
    }

    /// Whether the store answers a node.
    fn answers(&self, nodes: usize, node: Node, now: Time) -> bool {
        let refuses =
            |(count, from, to): (usize, Time, Time)| node + count >= nodes && (from..to).contains(&now);
        let is_away = self.away.is_some_and(|(from, to)| (from..to).contains(&now));
        let is_turned_away = self.turned_away.contains(&node);
        !is_away && !self.cuts(node, now) && !is_turned_away && !self.refused.is_some_and(refuses)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Probe {
        nodes: usize,
        receives_pulses: bool,
        known: Vec<Node>,
    },
    Answer {
        nodes: usize,
        known: Vec<Node>,
    },
    Pulse {
        watcher: Node,
        number: PulseNumber,
        state: StoreState,
        age: Duration,
    },
    /// The sender knows more changes of the store.
    Announcement,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start {
        node: Node,
    },
    Sample,
    Tick {
        node: Node,
        incarnation: u32,
    },
    Arrives {
        from: Node,
        to: Node,
        has_contents: bool,
        known_changes: usize,
        message: Message,
    },
    Fetched {
        node: Node,
        incarnation: u32,
    },
    /// What the store holds changes.
    Change,
    /// The node has fetched these changes from `from`.
    Learnt {
        node: Node,
        incarnation: u32,
        from: Node,
        changes: usize,
    },
    Pulse {
        node: Node,
        incarnation: u32,
        term: u32,
    },
    /// The watcher reports what it knows of its call.
    Report {
        node: Node,
        incarnation: u32,
        term: u32,
        state: StoreState,
    },
    Watch {
        node: Node,
        incarnation: u32,
        term: u32,
    },
}

struct State {
    incarnation: u32,
    started: Option<Time>,
    watchers: Watchers,
    known: BTreeMap<Node, Time>,
    has_contact: bool,
    contacted_again: bool,
    seed_contacts: usize,
    last_probe: Time,
    /// When the node received the store's contents, measured from its start.
    contents_at: Option<Time>,
    /// Number of changes of the store that the node knows.
    known_changes: usize,
    /// Number of changes that another node is known to know.
    known_elsewhere: usize,
    age: CatchUpAge<usize>,
    role: Option<WatchRole>,
    /// Incremented whenever the node becomes a watcher.
    term: u32,
}

/// Statistics of a simulation.
#[derive(Debug, Default)]
struct Counts {
    calls: BTreeMap<&'static str, usize>,
    became_watcher: usize,
    max_watching: usize,
    longest_unwatched: Duration,
    unwatched_since: Option<Time>,
    /// The longest time for which a node did not know a change.
    max_staleness: Duration,
}

struct Model {
    schedule: TakeoverSchedule,
    scenario: Scenario,
    ids: Vec<VmId>,
    wide: BTreeSet<VmId>,
    states: Vec<State>,
    /// Whether nodes read the store when they start.
    reads_at_start: bool,
    number: PulseNumber,
    /// When the store changed.
    changes: Vec<Time>,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    counts: Counts,
    rng: SmallRng,
}

impl Model {
    fn new(nodes: usize, scenario: Scenario, schedule: TakeoverSchedule, seed: u64) -> Self {
        let ids: Vec<VmId> =
            (0..nodes).map(|n| VmId::from(format!("10.{}.0.{}:7200", n % 5 + 1, n + 9))).collect();
        let state = |id: &VmId| State {
            incarnation: 0,
            started: None,
            watchers: Watchers::new(id.clone(), schedule),
            known: BTreeMap::new(),
            has_contact: false,
            contacted_again: false,
            seed_contacts: 0,
            last_probe: Time::ZERO,
            contents_at: None,
            known_changes: 0,
            known_elsewhere: 0,
            age: CatchUpAge::default(),
            role: None,
            term: 0,
        };
        let mut model = Model {
            schedule,
            scenario,
            states: ids.iter().map(state).collect(),
            wide: ids.iter().skip(4).step_by(NODES_PER_WIDE_LINK).cloned().collect(),
            ids,
            reads_at_start: false,
            number: 0,
            changes: Vec::new(),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        model.start_all(Time::ZERO);
        model.push(Time::ZERO, Event::Sample);
        model
    }

    fn start_all(&mut self, at: Time) {
        let first = if self.scenario.no_seeds { SEEDS } else { 0 };
        for node in first..self.ids.len() {
            let pause = START_SPREAD.mul_f64(self.rng.random());
            self.push(at + pause, Event::Start { node });
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self, until: Time) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Records how long no node that the store answers has watched it.
    fn sample(&mut self) {
        let now = self.now;
        self.push(now + TICK, Event::Sample);
        self.record_staleness();
        let nodes = self.ids.len();
        let answered =
            |node: &Node| self.states[*node].started.is_some() && self.scenario.answers(nodes, *node, now);
        let watching = (0..nodes).filter(|node| self.states[*node].role.is_some());
        self.counts.max_watching = self.counts.max_watching.max(watching.count());
        let is_watched = (0..nodes).any(|node| self.states[node].role.is_some() && answered(&node));
        if is_watched || !(0..nodes).any(|node| answered(&node)) {
            self.counts.unwatched_since = None;
            return;
        }
        let since = *self.counts.unwatched_since.get_or_insert(now);
        self.counts.longest_unwatched = self.counts.longest_unwatched.max(now - since);
    }

    /// Records for how long nodes that can reach the store have not known its latest changes.
    fn record_staleness(&mut self) {
        for node in 0..self.ids.len() {
            if self.states[node].started.is_none() || !self.scenario.answers(self.ids.len(), node, self.now) {
                continue;
            }
            if let Some(at) = self.changes.get(self.states[node].known_changes) {
                self.counts.max_staleness = self.counts.max_staleness.max(self.now - *at);
            }
        }
    }

    fn uptime(&self, node: Node) -> Time {
        self.now - self.states[node].started.unwrap_or(self.now)
    }

    fn is_current_incarnation(&self, node: Node, incarnation: u32) -> bool {
        self.states[node].started.is_some() && self.states[node].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { node } => self.start(node),
            Event::Sample => self.sample(),
            Event::Tick { node, incarnation } if self.is_current_incarnation(node, incarnation) => {
                self.tick(node)
            }
            Event::Change => self.change(),
            Event::Arrives { from, to, has_contents, known_changes, message }
                if self.states[to].started.is_some() =>
            {
                let elsewhere = &mut self.states[to].known_elsewhere;
                *elsewhere = known_changes.max(*elsewhere);
                if known_changes > self.states[to].known_changes {
                    let incarnation = self.states[to].incarnation;
                    let learnt = Event::Learnt { node: to, incarnation, from, changes: known_changes };
                    self.push(self.now + FETCH_TIME, learnt);
                }
                self.on_message(from, to, has_contents, message)
            }
            // A node that has stopped hands out nothing.
            Event::Learnt { node, incarnation, from, changes }
                if self.is_current_incarnation(node, incarnation) && self.states[from].started.is_some() =>
            {
                self.on_changes(node, changes)
            }
            Event::Fetched { node, incarnation } if self.is_current_incarnation(node, incarnation) => {
                self.on_store_contents(node)
            }
            Event::Pulse { node, incarnation, term } if self.is_term(node, incarnation, term) => {
                self.pulse(node)
            }
            Event::Report { node, incarnation, term, state } if self.is_term(node, incarnation, term) => {
                self.report(node, state)
            }
            Event::Watch { node, incarnation, term } if self.is_term(node, incarnation, term) => {
                self.watch(node)
            }
            _ => {}
        }
    }

    fn is_term(&self, node: Node, incarnation: u32, term: u32) -> bool {
        self.is_current_incarnation(node, incarnation)
            && self.states[node].role.is_some()
            && self.states[node].term == term
    }

    fn start(&mut self, node: Node) {
        let nodes = self.ids.len();
        let state = &mut self.states[node];
        state.incarnation += 1;
        state.started = Some(self.now);
        state.watchers = Watchers::new(self.ids[node].clone(), self.schedule);
        state.known =
            (0..SEEDS.min(nodes)).filter(|seed| *seed != node).map(|seed| (seed, self.now)).collect();
        (state.has_contact, state.contacted_again, state.contents_at, state.role) =
            (false, false, None, None);
        if self.reads_at_start {
            self.call(node, "start");
            self.call(node, "start");
            if self.scenario.answers(self.ids.len(), node, self.now) {
                self.on_store_contents(node);
            }
        }
        self.tick(node);
    }

    fn call(&mut self, _node: Node, purpose: &'static str) {
        *self.counts.calls.entry(purpose).or_default() += 1;
    }

    fn change(&mut self) {
        self.changes.push(self.now);
        for node in self.watching() {
            let reads = self.states[node].contents_at.is_some();
            if reads && self.scenario.answers(self.ids.len(), node, self.now) {
                self.on_changes(node, self.changes.len());
            }
        }
    }

    /// A node that has received new changes announces them.
    fn on_changes(&mut self, node: Node, changes: usize) {
        if changes > self.states[node].known_changes {
            self.states[node].known_changes = changes;
            self.spread(node, FAN_OUT, &Message::Announcement);
        }
    }

    fn on_store_contents(&mut self, node: Node) {
        let now = self.uptime(node);
        self.states[node].contents_at.get_or_insert(now);
    }

    fn alive(&self, node: Node) -> Vec<Node> {
        let known = self.states[node].known.iter();
        known.filter(|(_, seen)| **seen + DEAD_TIMEOUT > self.now).map(|(node, _)| *node).collect()
    }

    fn tick(&mut self, node: Node) {
        let incarnation = self.states[node].incarnation;
        self.push(self.now + TICK, Event::Tick { node, incarnation });
        let alive = self.alive(node);
        self.contact_seed(node);
        let due = self.now.saturating_sub(self.states[node].last_probe) >= PROBE_INTERVAL;
        // Seeds are retried indefinitely.
        let seeds = (0..SEEDS.min(self.ids.len())).filter(|seed| *seed != node && !alive.contains(seed));
        let targets = alive.iter().copied().chain(seeds);
        if let Some(target) = targets.choose(&mut self.rng).filter(|_| due) {
            self.states[node].last_probe = self.now;
            self.probe(node, target);
        }
        let (uptime, ids, wide) = (self.uptime(node), &self.ids, &self.wide);
        let is_wide = |id: &VmId| wide.contains(id);
        let state = &mut self.states[node];
        if let Some(answered_at) = state.watchers.answered_at() {
            let lags_since = state.age.update(state.known_changes, state.known_elsewhere, answered_at);
            state.watchers.set_lag(lags_since);
        }
        let role = state.watchers.role(alive.iter().map(|other| &ids[*other]), is_wide, uptime);
        let becomes_watcher = role.is_some() && state.role.is_none();
        state.role = role;
        if becomes_watcher {
            state.term += 1;
            self.counts.became_watcher += 1;
            let term = self.states[node].term;
            for purpose in ["list", "list"] {
                self.call(node, purpose);
            }
            self.push(self.now, Event::Watch { node, incarnation, term });
            // The first pulse follows the first reads.
            self.push(self.now, Event::Pulse { node, incarnation, term });
        }
    }

    fn contact_seed(&mut self, node: Node) {
        let again_at = Duration::from_millis(400);
        let uptime = self.uptime(node);
        let state = &mut self.states[node];
        let contacts_again = state.has_contact && !state.contacted_again && uptime >= again_at;
        if state.has_contact && !contacts_again {
            return;
        }
        state.contacted_again = contacts_again;
        state.seed_contacts += 1;
        let seed = state.seed_contacts % SEEDS.min(self.ids.len());
        if seed != node {
            self.probe(node, seed);
        }
    }

    fn gossip(&mut self, node: Node) -> (usize, Vec<Node>) {
        let alive = self.alive(node);
        (alive.len() + 1, alive.into_iter().sample(&mut self.rng, KNOWN_PER_MESSAGE))
    }

    fn probe(&mut self, node: Node, target: Node) {
        let (nodes, known) = self.gossip(node);
        let uptime = self.uptime(node);
        let receives_pulses = self.states[node].watchers.fresh_pulses(uptime).next().is_some();
        self.send(node, target, Message::Probe { nodes, receives_pulses, known });
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        if !self.scenario.reaches(from, to, self.now) || self.rng.random_bool(LOSS) {
            return;
        }
        let has_contents = self.states[from].contents_at.is_some();
        let delay = Duration::from_millis(self.rng.random_range(DELAYS_MS));
        let known_changes = self.states[from].known_changes;
        self.push(self.now + delay, Event::Arrives { from, to, has_contents, known_changes, message });
    }

    fn spread(&mut self, node: Node, fan_out: usize, message: &Message) {
        for to in self.alive(node).into_iter().sample(&mut self.rng, fan_out) {
            self.send(node, to, message.clone());
        }
    }

    fn on_message(&mut self, from: Node, to: Node, has_contents: bool, message: Message) {
        let uptime = self.uptime(to);
        let incarnation = self.states[to].incarnation;
        let state = &mut self.states[to];
        state.has_contact = true;
        state.known.insert(from, self.now);
        state.watchers.on_contact(uptime);
        if has_contents && state.contents_at.is_none() {
            self.push(self.now + FETCH_TIME, Event::Fetched { node: to, incarnation });
        }
        match message {
            Message::Probe { nodes, receives_pulses, known } => {
                self.on_gossip(to, nodes, known);
                let (nodes, known) = self.gossip(to);
                self.send(to, from, Message::Answer { nodes, known });
                if !receives_pulses {
                    self.send_fresh_pulses(to, from);
                }
            }
            Message::Announcement => {}
            Message::Answer { nodes, known } => self.on_gossip(to, nodes, known),
            Message::Pulse { watcher, number, state, age } => {
                let pulse = Pulse { number, state, at: uptime.saturating_sub(age) };
                if self.states[to].watchers.on_pulse(&self.ids[watcher], pulse) {
                    self.spread(to, FAN_OUT, &Message::Pulse { watcher, number, state, age });
                }
            }
        }
    }

    fn on_gossip(&mut self, node: Node, nodes: usize, known: Vec<Node>) {
        let now = self.now;
        let state = &mut self.states[node];
        state.watchers.on_node_count(nodes);
        for other in known.into_iter().filter(|other| *other != node) {
            state.known.entry(other).or_insert(now);
        }
    }

    fn send_fresh_pulses(&mut self, node: Node, to: Node) {
        let uptime = self.uptime(node);
        let fresh = self.states[node].watchers.fresh_pulses(uptime);
        let fresh: Vec<_> = fresh.map(|(id, pulse)| (id.clone(), pulse)).collect();
        for (id, Pulse { number, state, at }) in fresh {
            let watcher = self.ids.iter().position(|other| *other == id).expect("pulse is from a known node");
            self.send(node, to, Message::Pulse { watcher, number, state, age: uptime - at });
        }
    }

    fn pulse(&mut self, node: Node) {
        let (incarnation, term) = (self.states[node].incarnation, self.states[node].term);
        let answers = self.scenario.answers(self.ids.len(), node, self.now);
        self.call(node, "pulse");
        let reported_at = if answers {
            self.report(node, StoreState::Answers);
            self.now
        } else if self.scenario.is_silent {
            let timed_out_at = self.now + PULSE_TIMEOUT;
            for (at, state) in
                [(self.now + PULSE_LATE_AFTER, StoreState::Late), (timed_out_at, StoreState::Away)]
            {
                self.push(at, Event::Report { node, incarnation, term, state });
            }
            timed_out_at
        } else {
            self.report(node, StoreState::Away);
            self.now
        };
        self.push(reported_at + PULSE_INTERVAL, Event::Pulse { node, incarnation, term });
    }

    fn report(&mut self, node: Node, state: StoreState) {
        self.number += 1;
        let (number, uptime) = (self.number, self.uptime(node));
        self.states[node].watchers.on_own_pulse(state, uptime);
        let message = Message::Pulse { watcher: node, number, state, age: Duration::ZERO };
        self.spread(node, FIRST_FAN_OUT, &message);
    }

    /// Watches both kinds of objects: each watch runs into its timeout, or fails and is retried.
    fn watch(&mut self, node: Node) {
        let (incarnation, term) = (self.states[node].incarnation, self.states[node].term);
        let Some(role) = self.states[node].role else { return };
        for purpose in ["watch", "watch"] {
            self.call(node, purpose);
        }
        let answers = self.scenario.answers(self.ids.len(), node, self.now);
        if answers {
            self.on_store_contents(node);
            self.on_changes(node, self.changes.len());
        }
        let pause = if answers { role.watch_timeout() } else { Duration::from_secs(1) };
        self.push(self.now + pause, Event::Watch { node, incarnation, term });
    }

    fn lose_power(&mut self) {
        for state in &mut self.states {
            state.started = None;
            state.role = None;
        }
        self.counts.unwatched_since = None;
        self.reads_at_start = true;
        self.start_all(self.now + Duration::from_secs(1));
    }

    /// These nodes lose power and do not start again.
    fn lose(&mut self, nodes: impl IntoIterator<Item = Node>) {
        for node in nodes {
            (self.states[node].started, self.states[node].role) = (None, None);
        }
    }

    fn running(&self) -> Vec<Node> {
        (0..self.ids.len()).filter(|node| self.states[*node].started.is_some()).collect()
    }

    fn calls(&self) -> usize {
        self.counts.calls.values().sum()
    }

    /// Time after its start within which this percentage of the nodes had the store's contents.
    fn time_to_contents(&self, percent: usize) -> Option<Duration> {
        let started = self.states.iter().filter(|state| state.started.is_some());
        let mut had: Vec<Option<Duration>> = started.map(|state| state.contents_at).collect();
        had.sort_by_key(|at| at.unwrap_or(Duration::MAX));
        had[(had.len() - 1) * percent / 100]
    }

    fn watching(&self) -> BTreeSet<Node> {
        (0..self.ids.len()).filter(|node| self.states[*node].role.is_some()).collect()
    }
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn scenarios() -> Vec<(&'static str, Scenario)> {
    vec![
        ("all start", Scenario::default()),
        ("all start, no seed does", Scenario { no_seeds: true, ..Scenario::default() }),
        (
            "a third is cut off for 12 s",
            Scenario { cut: Some((105, s(10.0), s(22.0))), ..Scenario::default() },
        ),
        ("a third starts cut off", Scenario { cut: Some((105, s(0.0), s(9.0))), ..Scenario::default() }),
        (
            "a third is turned away for 8 s",
            Scenario { refused: Some((105, s(10.0), s(18.0))), ..Scenario::default() },
        ),
        (
            "a third starts turned away",
            Scenario { refused: Some((105, s(0.0), s(9.0))), ..Scenario::default() },
        ),
        ("the store is away for 4.5 s", Scenario { away: Some((s(10.0), s(14.5))), ..Scenario::default() }),
        ("the store is away at the start", Scenario { away: Some((s(0.0), s(5.0))), ..Scenario::default() }),
        ("all lose power", Scenario { power: Some(s(10.0)), ..Scenario::default() }),
    ]
}

/// The smallest bound of the users' settings for a fleet of this size, and the narrowest of its links.
fn bound_and_link(nodes: usize) -> (Duration, f64) {
    match nodes {
        ..=9 => (s(2.0), 1e9),
        10..=100 => (s(3.0), 1e7),
        101..=300 => (s(4.0), 1e7),
        _ => (s(5.0), 1e7),
    }
}

fn schedule(nodes: usize) -> TakeoverSchedule {
    let (bound, link_bits_per_second) = bound_and_link(nodes);
    TakeoverSchedule::new(bound, link_bits_per_second)
}

fn simulate(nodes: usize, scenario: Scenario, seed: u64) -> Model {
    let mut model = Model::new(nodes, scenario, schedule(nodes), seed);
    if let Some(at) = model.scenario.power {
        model.run(at);
        model.lose_power();
    }
    model.run(s(26.0));
    model
}

#[test]
fn test_store_calls_of_300_nodes() {
    let mut text = String::new();
    for (name, scenario) in scenarios() {
        let model = simulate(300, scenario, 1);
        let counts = &model.counts;
        let had = |percent| {
            model
                .time_to_contents(percent)
                .map_or("never".to_owned(), |at| format!("{:.1} s", at.as_secs_f64()))
        };
        writeln!(text, "{name}: {} calls {:?}", model.calls(), counts.calls).unwrap();
        writeln!(
            text,
            "    {} began to follow, {} at once at most, {} at the end; half knew enough after {}, 99 in 100 after {}, all after {}; not followed for {:.1} s at most",
            counts.became_watcher,
            counts.max_watching,
            model.watching().len(),
            had(50),
            had(99),
            had(100),
            counts.longest_unwatched.as_secs_f64(),
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Over many seeds, fleet sizes and scenarios: a store that answers any node is watched again within a time
/// limit, and finally by a few nodes only.
#[test]
fn test_store_that_answers_any_node_is_watched() {
    for seed in 0..6 {
        for nodes in [1, 2, 6, 40] {
            for (name, mut scenario) in scenarios() {
                let scale = |count: usize| (count * nodes).div_ceil(300);
                scenario.cut = scenario.cut.map(|(count, from, to)| (scale(count), from, to));
                scenario.refused = scenario.refused.map(|(count, from, to)| (scale(count), from, to));
                if scenario.no_seeds && nodes <= SEEDS {
                    continue;
                }
                // Without any seed, nodes never discover each other and each watches the store itself.
                let max_watching = if scenario.no_seeds { nodes } else { nodes.min(MAX_WATCHERS_AT_END) };
                let model = simulate(nodes, scenario, seed);
                let counts = &model.counts;
                let what = format!("{name}, {nodes} nodes, seed {seed}: {counts:?}");
                assert!(counts.longest_unwatched <= MAX_UNWATCHED, "{what}");
                assert!(model.watching().len() <= max_watching, "{what}");
                assert!(
                    model.states.iter().all(|state| state.started.is_none() || state.contents_at.is_some()),
                    "{what}"
                );
            }
        }
    }
}

/// After a start, nodes listen and wait for a few turns. While the store answers none of the first nodes, the next
/// groups try for 3 s each.
const MAX_UNWATCHED: Duration = Duration::from_secs(6);
/// In steady state the first few nodes watch, and one that was cut off may not have stopped yet.
const MAX_WATCHERS_AT_END: usize = WATCHERS + 1;

/// Nodes that lose power together, and the time from one such loss to the next.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// All that watch the store, so many times.
    Watchers { times: usize, gap: Duration },
    /// All that watch the store and all others but so many.
    AllBut(usize),
    /// All that watch the store and half of the others.
    Half,
}

impl Loss {
    fn apply(self, model: &mut Model) {
        let (times, gap) = match self {
            Loss::Watchers { times, gap } => (times, gap),
            Loss::AllBut(_) | Loss::Half => (1, Duration::ZERO),
        };
        for _ in 0..times {
            let watching = model.watching();
            let others: Vec<Node> = model.running().into_iter().filter(|n| !watching.contains(n)).collect();
            let left = match self {
                Loss::Watchers { .. } => others.len(),
                Loss::AllBut(left) => left,
                Loss::Half => others.len() / 2,
            };
            let others = if others.is_empty() { model.running() } else { others };
            let left: BTreeSet<Node> =
                others.into_iter().sample(&mut model.rng, left.max(1)).into_iter().collect();
            model.lose(model.running().into_iter().filter(|node| !left.contains(node)));
            model.run(model.now + gap);
        }
    }
}

/// The store changes so many times, from before the first loss until after the last one.
const CHANGES: u32 = 150;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against nodes that act on an outdated configuration or list of replicas after all nodes that watched the
/// store have lost power: whichever nodes are left, they know the store's latest changes within the bound of the
/// settings.
#[test]
fn test_nodes_that_are_left_know_the_latest_changes_in_time() {
    let mut text = String::new();
    for (nodes, seeds, losses_played) in [(3, 40, 5), (9, 40, 5), (62, 8, 5), (985, 1, 2)] {
        let bound = bound_and_link(nodes).0;
        let losses = [
            Loss::Watchers { times: 3, gap: bound / 2 },
            Loss::Half,
            Loss::Watchers { times: 1, gap: Duration::ZERO },
            Loss::AllBut(1),
            Loss::AllBut(2),
        ];
        for loss in losses.into_iter().take(losses_played) {
            let (mut stalest, mut most_watching) = (Duration::ZERO, 0);
            for seed in 0..seeds {
                let mut model = Model::new(nodes, Scenario::default(), schedule(nodes), seed);
                for n in 0..CHANGES {
                    model.push(s(8.0) + CHANGE_INTERVAL * n, Event::Change);
                }
                let at = model.rng.random_range(s(9.0)..s(10.0));
                model.run(at);
                model.counts = Counts::default();
                loss.apply(&mut model);
                model.run(model.now + bound + s(2.0));
                let staleness = model.counts.max_staleness;
                assert!(staleness <= bound, "{nodes} nodes, {loss:?}, seed {seed}: {staleness:?}");
                stalest = stalest.max(staleness);
                most_watching = most_watching.max(model.counts.max_watching);
            }
            writeln!(
                text,
                "{nodes} nodes, {loss:?}: outdated for {stalest:.1?} at most, {most_watching} watch at most"
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// Guards against nodes that begin to read the store, because it answers none of its watchers, and stop when one of
/// these asks again: they began up to ten times in an outage, listed the store each time and never got to know
/// whether it answers them.
#[test]
fn test_nodes_go_on_asking_a_store_that_answers_no_watcher() {
    let mut text = String::new();
    for nodes in [9, 62, 300] {
        for (name, away) in [("calm", None), ("silent for 9 s", Some((s(10.0), s(19.0))))] {
            let scenario = Scenario { is_silent: true, away, ..Scenario::default() };
            let model = simulate(nodes, scenario, 1);
            let counts = &model.counts;
            writeln!(
                text,
                "{nodes} nodes, {name}: {} calls {:?}, {} began to follow, {} at once at most",
                model.calls(),
                counts.calls,
                counts.became_watcher,
                counts.max_watching
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(text, @r#"
    9 nodes, calm: 118 calls {"list": 6, "pulse": 88, "watch": 24}, 3 began to follow, 3 at once at most
    9 nodes, silent for 9 s: 234 calls {"list": 30, "pulse": 102, "watch": 102}, 15 began to follow, 8 at once at most
    62 nodes, calm: 123 calls {"list": 8, "pulse": 89, "watch": 26}, 4 began to follow, 4 at once at most
    62 nodes, silent for 9 s: 300 calls {"list": 58, "pulse": 114, "watch": 128}, 29 began to follow, 10 at once at most
    300 nodes, calm: 156 calls {"list": 18, "pulse": 100, "watch": 38}, 9 began to follow, 5 at once at most
    300 nodes, silent for 9 s: 394 calls {"list": 96, "pulse": 136, "watch": 162}, 48 began to follow, 11 at once at most
    "#);
}

/// While the store turns its watchers away, silently, the others know its changes in time.
#[test]
fn test_a_store_that_turns_its_watchers_away_is_read_in_time() {
    for nodes in [3, 4, 9, 24, 62] {
        for seed in 0..10 {
            let scenario = Scenario { is_silent: true, ..Scenario::default() };
            let mut model = Model::new(nodes, scenario, schedule(nodes), seed);
            model.run(s(10.0));
            model.scenario.turned_away = model.watching();
            model.push(s(10.0) + s(0.1) * seed as u32, Event::Change);
            model.run(s(19.0));
            let staleness = model.counts.max_staleness;
            assert!(staleness < bound_and_link(nodes).0, "{nodes} nodes, seed {seed}: {staleness:?}");
        }
    }
}
