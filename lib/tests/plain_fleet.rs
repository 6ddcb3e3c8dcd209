//! A model of nodes that send plain calls of several organisations to a few replicas.
//!
//! Replicas work on some calls at once, queue a few more and turn the others away. Nodes place calls by
//! themselves and exchange messages that take a moment. Callers that are refused come back once.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use leadstage_lib::gateway::plain_shares::PlainShares;
use leadstage_lib::gateway::plain_shares::ShareAction;
use leadstage_lib::gateway::plain_shares::SharingFleet;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const REPLICAS: usize = 3;
pub const SLOTS: usize = 6;
const QUEUE: usize = 24;
pub const MEAN_WORK: Duration = Duration::from_millis(30);
/// Work varies by this part in either direction.
const WORK_SPREAD: f64 = 0.5;
const OBJECTIVE: Duration = Duration::from_millis(150);
const MESSAGE_TIME: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(100);
/// Retry delay of callers whose call a replica turned away.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(150);
const RETRY_JITTER: f64 = 0.25;
/// How long nodes take a killed node for alive.
const DEATH_UNNOTICED: Duration = Duration::from_millis(4_000);

/// What the callers of one organisation got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub asked: u32,
    pub in_time: u32,
    pub refused: u32,
    /// Refusals because the organisation was over its share; their callers may have come back.
    pub over_share: u32,
}

impl Served {
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// A load of one organisation.
#[derive(Clone, Debug)]
pub struct Load {
    pub organisation: &'static str,
    pub per_second: f64,
    pub from: Duration,
    pub until: Duration,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    pub nodes: usize,
    pub loads: Vec<Load>,
    pub length: Duration,
    /// Whether organisations are kept to their shares.
    pub shares: bool,
    /// When the sharing node is killed.
    pub sharer_killed_at: Option<Duration>,
    /// Part of messages that is lost.
    pub lost_messages: f64,
    /// A node with a path of its own that is slow: its calls take this much longer.
    pub slow_path: Option<(usize, Duration)>,
    /// When all replicas become slower, and by which factor.
    pub slower: Option<(Duration, f64)>,
    pub seed: u64,
}

impl Day {
    pub fn new(nodes: usize, length: Duration, loads: Vec<Load>) -> Day {
        Day {
            nodes,
            loads,
            length,
            shares: true,
            sharer_killed_at: None,
            lost_messages: 0.0,
            slow_path: None,
            slower: None,
            seed: 1,
        }
    }
}

/// What a day gave.
#[derive(Debug, Default)]
pub struct Outcome {
    /// By organisation, in windows of a second of the time when calls were made.
    pub served: BTreeMap<(&'static str, u64), Served>,
    /// Time for which places of replicas were used, by second.
    pub busy: BTreeMap<u64, Duration>,
    pub messages: usize,
    pub bytes: usize,
    /// The most bytes that a node sent in any second.
    pub max_bytes_per_node: usize,
}

impl Outcome {
    /// What the callers of the organisations for which `is_counted` holds got from one second to another.
    pub fn served(&self, seconds: std::ops::Range<u64>, is_counted: impl Fn(&str) -> bool) -> Served {
        let counted = self.served.iter().filter(|((name, at), _)| is_counted(name) && seconds.contains(at));
        counted.fold(Served::default(), |sum, (_, served)| Served {
            asked: sum.asked + served.asked,
            in_time: sum.in_time + served.in_time,
            refused: sum.refused + served.refused,
            over_share: sum.over_share + served.over_share,
        })
    }

    /// Part of the replicas' room that was used.
    pub fn used(&self, seconds: std::ops::Range<u64>) -> f64 {
        let length = (seconds.end - seconds.start) as f64;
        let busy: Duration = self.busy.range(seconds).map(|(_, busy)| *busy).sum();
        busy.as_secs_f64() / (length * (REPLICAS * SLOTS) as f64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    load: usize,
    node: usize,
    first_at: Timestamp,
    tries: u32,
}

#[derive(Debug)]
enum Event {
    Arrival(Call),
    Finished { replica: usize, run: RunId },
    Answer { run: RunId },
    Tick(usize),
    Message { from: usize, to: usize, action: ShareAction },
}

#[derive(Debug, Default)]
struct Replica {
    busy: usize,
    queue: VecDeque<RunId>,
}

/// The other nodes that a node takes to be alive.
struct View<'a>(Vec<&'a VmId>);

impl SharingFleet for View<'_> {
    fn others(&self) -> impl Iterator<Item = &VmId> {
        self.0.iter().copied()
    }
}

/// Plays a day.
pub fn play(day: &Day) -> Outcome {
    let mut fleet = Fleet::new(day);
    for (load, of) in day.loads.iter().enumerate() {
        let mut at = of.from.as_secs_f64();
        loop {
            at += -f64::ln(1.0 - fleet.rng.random::<f64>()) / of.per_second;
            if at >= of.until.as_secs_f64() {
                break;
            }
            let (node, first_at) = (fleet.rng.random_range(0..day.nodes), Duration::from_secs_f64(at));
            fleet.push(first_at, Event::Arrival(Call { load, node, first_at, tries: 0 }));
        }
    }
    for node in 0..day.nodes {
        let phase = TICK.mul_f64(fleet.rng.random());
        fleet.push(phase, Event::Tick(node));
    }
    while let Some(Reverse((now, seq))) = fleet.due.pop() {
        if now > day.length {
            break;
        }
        let event = fleet.events.remove(&seq).expect("an event");
        fleet.handle(event, now);
    }
    let max = fleet.bytes_by_node.values().copied().max().unwrap_or(0);
    Outcome { max_bytes_per_node: max, ..fleet.outcome }
}

struct Fleet<'a> {
    day: &'a Day,
    rng: StdRng,
    service: ServiceId,
    names: Vec<VmId>,
    nodes: Vec<PlainShares>,
    /// Own calls in flight, by node and replica.
    in_flight: Vec<[usize; REPLICAS]>,
    replicas: Vec<Replica>,
    runs: HashMap<RunId, (Call, usize)>,
    last_run: RunId,
    due: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    killed: Option<(usize, Timestamp)>,
    bytes_by_node: HashMap<(usize, u64), usize>,
    outcome: Outcome,
}

impl<'a> Fleet<'a> {
    fn new(day: &'a Day) -> Self {
        let names: Vec<VmId> =
            (0..day.nodes).map(|n| format!("10.0.{}.{}:7003", n / 250, n % 250).into()).collect();
        Fleet {
            day,
            rng: StdRng::seed_from_u64(day.seed),
            service: "reads".into(),
            nodes: names.iter().map(|name| PlainShares::new(name.clone())).collect(),
            names,
            in_flight: vec![[0; REPLICAS]; day.nodes],
            replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
            runs: HashMap::new(),
            last_run: 0,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            killed: None,
            bytes_by_node: HashMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.last_event += 1;
        self.due.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn served(&mut self, call: &Call) -> &mut Served {
        let key = (self.day.loads[call.load].organisation, call.first_at.as_secs());
        self.outcome.served.entry(key).or_default()
    }

    fn is_killed(&self, node: usize) -> bool {
        self.killed.is_some_and(|(killed, _)| killed == node)
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrival(call) => self.on_arrival(call, now),
            Event::Finished { replica, run } => self.on_finished(replica, run, now),
            Event::Answer { run } => self.on_answer(run, now),
            Event::Tick(node) => self.on_tick(node, now),
            Event::Message { from, to, action } => self.on_message(from, to, action, now),
        }
    }

    fn on_arrival(&mut self, mut call: Call, now: Timestamp) {
        if call.tries == 0 {
            self.served(&call).asked += 1;
        }
        while self.is_killed(call.node) {
            call.node = self.rng.random_range(0..self.day.nodes);
        }
        let organisation: OrganisationId = self.day.loads[call.load].organisation.into();
        if self.day.shares {
            let admitted = self.nodes[call.node].on_call(&self.service, Some(&organisation), 1, now);
            if let Err(delay) = admitted {
                self.served(&call).over_share += 1;
                return self.on_refused(call, delay, now);
            }
        }
        self.last_run += 1;
        let run = self.last_run;
        let replica = self.choose(call.node);
        self.in_flight[call.node][replica] += 1;
        self.runs.insert(run, (call, replica));
        self.nodes[call.node].on_placed(run, &self.service, OBJECTIVE, now);
        let at = &mut self.replicas[replica];
        if at.busy < SLOTS {
            at.busy += 1;
            self.start(replica, run, now);
        } else if at.queue.len() < QUEUE {
            at.queue.push_back(run);
        } else {
            self.runs.remove(&run);
            self.in_flight[call.node][replica] -= 1;
            self.nodes[call.node].on_ended(run, true, now);
            self.on_refused(call, TURNED_AWAY_RETRY, now);
        }
    }

    fn choose(&mut self, node: usize) -> usize {
        let jitter: [f64; REPLICAS] = std::array::from_fn(|_| self.rng.random());
        let in_flight = &self.in_flight[node];
        let cost = |at: usize| in_flight[at] as f64 * 4.0 + jitter[at];
        (0..REPLICAS).min_by(|a, b| cost(*a).total_cmp(&cost(*b))).expect("replicas")
    }

    fn start(&mut self, replica: usize, run: RunId, now: Timestamp) {
        let factor = 1.0 + WORK_SPREAD * (2.0 * self.rng.random::<f64>() - 1.0);
        let slower = self.day.slower.filter(|(from, _)| *from <= now).map_or(1.0, |(_, slower)| slower);
        let work = MEAN_WORK.mul_f64(factor * slower);
        *self.outcome.busy.entry(now.as_secs()).or_default() += work;
        self.push(now + work, Event::Finished { replica, run });
    }

    fn on_finished(&mut self, replica: usize, run: RunId, now: Timestamp) {
        let at = &mut self.replicas[replica];
        match at.queue.pop_front() {
            Some(next) => self.start(replica, next, now),
            None => at.busy -= 1,
        }
        let node = self.runs[&run].0.node;
        let slow = self.day.slow_path.filter(|(slow, _)| *slow == node);
        self.push(now + slow.map_or(Duration::ZERO, |(_, extra)| extra), Event::Answer { run });
    }

    fn on_answer(&mut self, run: RunId, now: Timestamp) {
        let (call, replica) = self.runs.remove(&run).expect("a run");
        self.in_flight[call.node][replica] -= 1;
        self.nodes[call.node].on_ended(run, false, now);
        if now - call.first_at <= OBJECTIVE {
            self.served(&call).in_time += 1;
        }
    }

    fn on_refused(&mut self, call: Call, delay: Duration, now: Timestamp) {
        if call.tries > 0 {
            self.served(&call).refused += 1;
            return;
        }
        let delay = delay.mul_f64(1.0 + RETRY_JITTER * (2.0 * self.rng.random::<f64>() - 1.0));
        let node = self.rng.random_range(0..self.day.nodes);
        self.push(now + delay, Event::Arrival(Call { node, tries: call.tries + 1, ..call }));
    }

    fn view(&self, node: usize, now: Timestamp) -> View<'_> {
        let is_seen_dead = |at: usize| {
            self.killed.is_some_and(|(killed, since)| killed == at && since + DEATH_UNNOTICED <= now)
        };
        let others = (0..self.names.len()).filter(|at| *at != node && !is_seen_dead(*at));
        View(others.map(|at| &self.names[at]).collect())
    }

    fn on_tick(&mut self, node: usize, now: Timestamp) {
        if self.killed.is_none() && self.day.sharer_killed_at.is_some_and(|at| at <= now) {
            let sharer = rendezvous::pick(&self.service, &self.names).expect("nodes");
            let sharer = self.names.iter().position(|name| name == sharer).expect("a node");
            self.killed = Some((sharer, now));
        }
        if self.is_killed(node) {
            return;
        }
        self.push(now + TICK, Event::Tick(node));
        let mut shares = std::mem::replace(&mut self.nodes[node], PlainShares::new(self.names[node].clone()));
        let actions = shares.tick(&self.view(node, now), now);
        self.nodes[node] = shares;
        for action in actions {
            self.act(node, action, now);
        }
    }

    fn act(&mut self, node: usize, action: ShareAction, now: Timestamp) {
        let (to, size) = match &action {
            ShareAction::Report(to, service, report) => (to, postcard::to_stdvec(&(service, report))),
            ShareAction::Tell(to, service, shares) => (to, postcard::to_stdvec(&(service, shares))),
            ShareAction::Silent(..) | ShareAction::Changed(_) => return,
        };
        let size = size.expect("it can be encoded").len();
        self.outcome.messages += 1;
        self.outcome.bytes += size;
        *self.bytes_by_node.entry((node, now.as_secs())).or_default() += size;
        let to = self.names.iter().position(|name| name == to).expect("a node");
        if self.rng.random::<f64>() >= self.day.lost_messages && !self.is_killed(to) {
            self.push(now + MESSAGE_TIME, Event::Message { from: node, to, action });
        }
    }

    fn on_message(&mut self, from: usize, to: usize, action: ShareAction, now: Timestamp) {
        if self.is_killed(to) {
            return;
        }
        match action {
            ShareAction::Report(_, service, report) => {
                let from = self.names[from].clone();
                self.nodes[to].on_report(&from, service, report, now);
            }
            ShareAction::Tell(_, service, shares) => {
                self.nodes[to].on_shares(&service, shares, now);
            }
            ShareAction::Silent(..) | ShareAction::Changed(_) => unreachable!("not a message"),
        }
    }
}
