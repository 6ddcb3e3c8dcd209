//! Who follows the store while hundreds of nodes start at once, are cut off or turned away, on a
//! modelled network; and how many calls to the store that takes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::watchers::PULSE_INTERVAL;
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

/// Nodes start within this.
const STARTS_WITHIN: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(100);
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// A node takes this long to answer or to pass something on, and the way takes some.
const WAYS: std::ops::Range<u64> = 2..30;
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// What others have comes this long after a node heard of it.
const FETCH: Duration = Duration::from_millis(150);
const SEEDS: usize = 3;
const KNOWN_PER_MESSAGE: usize = 8;
const FIRST_FAN_OUT: usize = 8;
const FAN_OUT: usize = 4;
/// A node that was not heard from for this long, though it was probed, is taken to be dead.
const DEAD_AFTER: Duration = Duration::from_secs(4);
/// One node in so many has a wide link.
const WIDE_EVERY: usize = 20;

/// What is wrong, and when.
#[derive(Clone, Debug, Default)]
struct Trouble {
    /// So many nodes are cut off from the others and from the store between these times.
    cut: Option<(usize, Time, Time)>,
    /// So many, from the other end, are turned away by the store.
    turned_away: Option<(usize, Time, Time)>,
    /// The store answers nobody.
    away: Option<(Time, Time)>,
    /// All lose their power, and start again a second later.
    power: Option<Time>,
    /// The seeds never start.
    no_seeds: bool,
}

impl Trouble {
    fn cuts(&self, node: Node, now: Time) -> bool {
        self.cut.is_some_and(|(count, from, to)| node < count && (from..to).contains(&now))
    }

    fn reaches(&self, a: Node, b: Node, now: Time) -> bool {
        self.cuts(a, now) == self.cuts(b, now)
    }

    /// Whether the store answers a node.
    fn answers(&self, nodes: usize, node: Node, now: Time) -> bool {
        let turned =
            |(count, from, to): (usize, Time, Time)| node + count >= nodes && (from..to).contains(&now);
        let is_away = self.away.is_some_and(|(from, to)| (from..to).contains(&now));
        !is_away && !self.cuts(node, now) && !self.turned_away.is_some_and(turned)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Probe { nodes: usize, hears_watchers: bool, known: Vec<Node> },
    Answer { nodes: usize, known: Vec<Node> },
    Pulse { watcher: Node, number: PulseNumber, answers: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start { node: Node },
    Sample,
    Tick { node: Node, life: u32 },
    Arrives { from: Node, to: Node, has: bool, message: Message },
    Fetched { node: Node, life: u32 },
    Pulse { node: Node, life: u32, term: u32 },
    Watch { node: Node, life: u32, term: u32 },
}

struct State {
    life: u32,
    started: Option<Time>,
    watchers: Watchers,
    known: BTreeMap<Node, Time>,
    met: bool,
    asked_again: bool,
    greeted: usize,
    last_probe: Time,
    /// Whether it has what the store holds, and since when.
    has: Option<Time>,
    role: Option<WatchRole>,
    /// Raised whenever it begins to follow anew.
    term: u32,
}

/// What is counted.
#[derive(Debug, Default)]
struct Counts {
    calls: BTreeMap<&'static str, usize>,
    begun: usize,
    most_watching: usize,
    longest_unfollowed: Duration,
    unfollowed_since: Option<Time>,
}

struct Model {
    trouble: Trouble,
    ids: Vec<VmId>,
    wide: BTreeSet<VmId>,
    states: Vec<State>,
    /// Whether nodes read the store when they start.
    reads: bool,
    number: PulseNumber,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    counts: Counts,
    rng: SmallRng,
}

impl Model {
    fn new(nodes: usize, trouble: Trouble, seed: u64) -> Self {
        let ids: Vec<VmId> =
            (0..nodes).map(|n| VmId::from(format!("10.{}.0.{}:7200", n % 5 + 1, n + 9))).collect();
        let state = |id: &VmId| State {
            life: 0,
            started: None,
            watchers: Watchers::new(id.clone()),
            known: BTreeMap::new(),
            met: false,
            asked_again: false,
            greeted: 0,
            last_probe: Time::ZERO,
            has: None,
            role: None,
            term: 0,
        };
        let mut model = Model {
            trouble,
            states: ids.iter().map(state).collect(),
            wide: ids.iter().skip(4).step_by(WIDE_EVERY).cloned().collect(),
            ids,
            reads: false,
            number: 0,
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
        let first = if self.trouble.no_seeds { SEEDS } else { 0 };
        for node in first..self.ids.len() {
            let pause = STARTS_WITHIN.mul_f64(self.rng.random());
            self.push(at + pause, Event::Start { node });
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self, until: Time) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Notes for how long nobody followed a store that answers somebody.
    fn sample(&mut self) {
        let now = self.now;
        self.push(now + TICK, Event::Sample);
        let nodes = self.ids.len();
        let answered =
            |node: &Node| self.states[*node].started.is_some() && self.trouble.answers(nodes, *node, now);
        let watching = (0..nodes).filter(|node| self.states[*node].role.is_some());
        self.counts.most_watching = self.counts.most_watching.max(watching.count());
        let is_followed = (0..nodes).any(|node| self.states[node].role.is_some() && answered(&node));
        if is_followed || !(0..nodes).any(|node| answered(&node)) {
            self.counts.unfollowed_since = None;
            return;
        }
        let since = *self.counts.unfollowed_since.get_or_insert(now);
        self.counts.longest_unfollowed = self.counts.longest_unfollowed.max(now - since);
    }

    fn own_time(&self, node: Node) -> Time {
        self.now - self.states[node].started.unwrap_or(self.now)
    }

    fn lives(&self, node: Node, life: u32) -> bool {
        self.states[node].started.is_some() && self.states[node].life == life
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { node } => self.start(node),
            Event::Sample => self.sample(),
            Event::Tick { node, life } if self.lives(node, life) => self.tick(node),
            Event::Arrives { from, to, has, message } if self.states[to].started.is_some() => {
                self.on_message(from, to, has, message)
            }
            Event::Fetched { node, life } if self.lives(node, life) => self.gets(node),
            Event::Pulse { node, life, term } if self.is_term(node, life, term) => self.pulse(node),
            Event::Watch { node, life, term } if self.is_term(node, life, term) => self.watch(node),
            _ => {}
        }
    }

    fn is_term(&self, node: Node, life: u32, term: u32) -> bool {
        self.lives(node, life) && self.states[node].role.is_some() && self.states[node].term == term
    }

    fn start(&mut self, node: Node) {
        let nodes = self.ids.len();
        let state = &mut self.states[node];
        state.life += 1;
        state.started = Some(self.now);
        state.watchers = Watchers::new(self.ids[node].clone());
        state.known =
            (0..SEEDS.min(nodes)).filter(|seed| *seed != node).map(|seed| (seed, self.now)).collect();
        (state.met, state.asked_again, state.has, state.role) = (false, false, None, None);
        if self.reads {
            self.call(node, "start");
            self.call(node, "start");
            if self.trouble.answers(self.ids.len(), node, self.now) {
                self.gets(node);
            }
        }
        self.tick(node);
    }

    fn call(&mut self, _node: Node, purpose: &'static str) {
        *self.counts.calls.entry(purpose).or_default() += 1;
    }

    fn gets(&mut self, node: Node) {
        let now = self.own_time(node);
        self.states[node].has.get_or_insert(now);
    }

    fn alive(&self, node: Node) -> Vec<Node> {
        let known = self.states[node].known.iter();
        known.filter(|(_, heard)| **heard + DEAD_AFTER > self.now).map(|(node, _)| *node).collect()
    }

    fn tick(&mut self, node: Node) {
        let life = self.states[node].life;
        self.push(self.now + TICK, Event::Tick { node, life });
        let alive = self.alive(node);
        self.greet(node);
        let due = self.now.saturating_sub(self.states[node].last_probe) >= PROBE_EVERY;
        // Seeds are tried again for ever.
        let seeds = (0..SEEDS.min(self.ids.len())).filter(|seed| *seed != node && !alive.contains(seed));
        let targets = alive.iter().copied().chain(seeds);
        if let Some(target) = targets.choose(&mut self.rng).filter(|_| due) {
            self.states[node].last_probe = self.now;
            self.probe(node, target);
        }
        let (own_time, ids, wide) = (self.own_time(node), &self.ids, &self.wide);
        let is_wide = |id: &VmId| wide.contains(id);
        let state = &mut self.states[node];
        let role = state.watchers.role(alive.iter().map(|other| &ids[*other]), is_wide, own_time);
        let begins = role.is_some() && state.role.is_none();
        state.role = role;
        if begins {
            state.term += 1;
            self.counts.begun += 1;
            let term = self.states[node].term;
            self.push(self.now, Event::Pulse { node, life, term });
            for purpose in ["list", "list"] {
                self.call(node, purpose);
            }
            self.push(self.now, Event::Watch { node, life, term });
        }
    }

    fn greet(&mut self, node: Node) {
        let again_at = Duration::from_millis(400);
        let own_time = self.own_time(node);
        let state = &mut self.states[node];
        let asks_again = state.met && !state.asked_again && own_time >= again_at;
        if state.met && !asks_again {
            return;
        }
        state.asked_again = asks_again;
        state.greeted += 1;
        let seed = state.greeted % SEEDS.min(self.ids.len());
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
        let own_time = self.own_time(node);
        let hears_watchers = self.states[node].watchers.fresh_pulses(own_time).next().is_some();
        self.send(node, target, Message::Probe { nodes, hears_watchers, known });
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        if !self.trouble.reaches(from, to, self.now) || self.rng.random_bool(LOSS) {
            return;
        }
        let has = self.states[from].has.is_some();
        let way = Duration::from_millis(self.rng.random_range(WAYS));
        self.push(self.now + way, Event::Arrives { from, to, has, message });
    }

    fn spread(&mut self, node: Node, fan_out: usize, message: &Message) {
        for to in self.alive(node).into_iter().sample(&mut self.rng, fan_out) {
            self.send(node, to, message.clone());
        }
    }

    fn on_message(&mut self, from: Node, to: Node, has: bool, message: Message) {
        let own_time = self.own_time(to);
        let life = self.states[to].life;
        let state = &mut self.states[to];
        state.met = true;
        state.known.insert(from, self.now);
        state.watchers.on_contact(own_time);
        if has && state.has.is_none() {
            self.push(self.now + FETCH, Event::Fetched { node: to, life });
        }
        match message {
            Message::Probe { nodes, hears_watchers, known } => {
                self.on_gossip(to, nodes, known);
                let (nodes, known) = self.gossip(to);
                self.send(to, from, Message::Answer { nodes, known });
                if !hears_watchers {
                    self.tell_pulses(to, from);
                }
            }
            Message::Answer { nodes, known } => self.on_gossip(to, nodes, known),
            Message::Pulse { watcher, number, answers } => {
                let state_of_store = if answers { StoreState::Answers } else { StoreState::Away };
                let id = self.ids[watcher].clone();
                if self.states[to].watchers.on_pulse(&id, number, state_of_store, own_time) {
                    self.spread(to, FAN_OUT, &Message::Pulse { watcher, number, answers });
                }
            }
        }
    }

    fn on_gossip(&mut self, node: Node, nodes: usize, known: Vec<Node>) {
        let now = self.now;
        let state = &mut self.states[node];
        state.watchers.on_nodes_told(nodes);
        for other in known.into_iter().filter(|other| *other != node) {
            state.known.entry(other).or_insert(now);
        }
    }

    fn tell_pulses(&mut self, node: Node, to: Node) {
        let own_time = self.own_time(node);
        let fresh = self.states[node].watchers.fresh_pulses(own_time);
        let fresh: Vec<_> = fresh.map(|(id, number, state)| (id.clone(), number, state)).collect();
        for (id, number, state) in fresh {
            let watcher = self.ids.iter().position(|other| *other == id).expect("a node");
            let answers = state == StoreState::Answers;
            self.send(node, to, Message::Pulse { watcher, number, answers });
        }
    }

    fn pulse(&mut self, node: Node) {
        let (life, term) = (self.states[node].life, self.states[node].term);
        let answers = self.trouble.answers(self.ids.len(), node, self.now);
        self.call(node, "pulse");
        self.number += 1;
        let number = self.number;
        let state = if answers { StoreState::Answers } else { StoreState::Away };
        let own_time = self.own_time(node);
        self.states[node].watchers.on_own_pulse(state, own_time);
        self.spread(node, FIRST_FAN_OUT, &Message::Pulse { watcher: node, number, answers });
        self.push(self.now + PULSE_INTERVAL, Event::Pulse { node, life, term });
    }

    /// Both kinds of objects: a watch that nothing ends, or a call that fails and is made again.
    fn watch(&mut self, node: Node) {
        let (life, term) = (self.states[node].life, self.states[node].term);
        let Some(role) = self.states[node].role else { return };
        for purpose in ["watch", "watch"] {
            self.call(node, purpose);
        }
        let answers = self.trouble.answers(self.ids.len(), node, self.now);
        if answers {
            self.gets(node);
        }
        let pause = if answers { role.waits_for() } else { Duration::from_secs(1) };
        self.push(self.now + pause, Event::Watch { node, life, term });
    }

    fn lose_power(&mut self) {
        for state in &mut self.states {
            state.started = None;
            state.role = None;
        }
        self.counts.unfollowed_since = None;
        self.reads = true;
        self.start_all(self.now + Duration::from_secs(1));
    }

    fn calls(&self) -> usize {
        self.counts.calls.values().sum()
    }

    /// When so many hundredths of the nodes had what the store holds, after their start.
    fn had_by(&self, hundredths: usize) -> Option<Duration> {
        let started = self.states.iter().filter(|state| state.started.is_some());
        let mut had: Vec<Option<Duration>> = started.map(|state| state.has).collect();
        had.sort_by_key(|at| at.unwrap_or(Duration::MAX));
        had[(had.len() - 1) * hundredths / 100]
    }

    fn watching(&self) -> BTreeSet<Node> {
        (0..self.ids.len()).filter(|node| self.states[*node].role.is_some()).collect()
    }
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn troubles() -> Vec<(&'static str, Trouble)> {
    vec![
        ("all start", Trouble::default()),
        ("all start, no seed does", Trouble { no_seeds: true, ..Trouble::default() }),
        ("a third is cut off for 12 s", Trouble { cut: Some((105, s(10.0), s(22.0))), ..Trouble::default() }),
        ("a third starts cut off", Trouble { cut: Some((105, s(0.0), s(9.0))), ..Trouble::default() }),
        (
            "a third is turned away for 8 s",
            Trouble { turned_away: Some((105, s(10.0), s(18.0))), ..Trouble::default() },
        ),
        (
            "a third starts turned away",
            Trouble { turned_away: Some((105, s(0.0), s(9.0))), ..Trouble::default() },
        ),
        ("the store is away for 4.5 s", Trouble { away: Some((s(10.0), s(14.5))), ..Trouble::default() }),
        ("the store is away at the start", Trouble { away: Some((s(0.0), s(5.0))), ..Trouble::default() }),
        ("all lose power", Trouble { power: Some(s(10.0)), ..Trouble::default() }),
    ]
}

fn play(nodes: usize, trouble: Trouble, seed: u64) -> Model {
    let mut model = Model::new(nodes, trouble, seed);
    if let Some(at) = model.trouble.power {
        model.run(at);
        model.lose_power();
    }
    model.run(s(26.0));
    model
}

#[test]
fn test_a_start_of_hundreds_is_no_storm() {
    let mut text = String::new();
    for (name, trouble) in troubles() {
        let model = play(300, trouble, 1);
        let counts = &model.counts;
        let had = |hundredths| {
            model.had_by(hundredths).map_or("never".to_owned(), |at| format!("{:.1} s", at.as_secs_f64()))
        };
        writeln!(text, "{name}: {} calls {:?}", model.calls(), counts.calls).unwrap();
        writeln!(
            text,
            "    {} began to follow, {} at once at most, {} at the end; half knew enough after {}, 99 in 100 after {}, all after {}; not followed for {:.1} s at most",
            counts.begun,
            counts.most_watching,
            model.watching().len(),
            had(50),
            had(99),
            had(100),
            counts.longest_unfollowed.as_secs_f64(),
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Over many seeds, sizes and troubles: a store that answers somebody is followed again within a bound,
/// and in the end by a few.
#[test]
fn test_a_store_that_answers_somebody_is_followed() {
    for seed in 0..6 {
        for nodes in [1, 2, 6, 40] {
            for (name, mut trouble) in troubles() {
                let scale = |count: usize| (count * nodes).div_ceil(300);
                trouble.cut = trouble.cut.map(|(count, from, to)| (scale(count), from, to));
                trouble.turned_away = trouble.turned_away.map(|(count, from, to)| (scale(count), from, to));
                if trouble.no_seeds && nodes <= SEEDS {
                    continue;
                }
                // Without any seed nodes never meet: each follows the store itself.
                let most = if trouble.no_seeds { nodes } else { nodes.min(MOST_AT_REST) };
                let model = play(nodes, trouble, seed);
                let counts = &model.counts;
                let what = format!("{name}, {nodes} nodes, seed {seed}: {counts:?}");
                assert!(counts.longest_unfollowed <= LONGEST_UNFOLLOWED, "{what}");
                assert!(model.watching().len() <= most, "{what}");
                assert!(
                    model.states.iter().all(|state| state.started.is_none() || state.has.is_some()),
                    "{what}"
                );
            }
        }
    }
}

/// After a start: the time to listen and a few turns. Later, three watchers that go silent at once are
/// noticed after 2 s, and turns follow 3 s after the last pulse.
const LONGEST_UNFOLLOWED: Duration = Duration::from_secs(6);
/// At rest the first few follow, and one that was cut off may be about to stop.
const MOST_AT_REST: usize = WATCHERS + 1;
