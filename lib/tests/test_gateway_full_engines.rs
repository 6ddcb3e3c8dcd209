//! What callers get if engines are sent more prompts than they can prefill: the lead's queue and its
//! choice of engines, on modelled engines that prefill one prompt after another.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::lead_queue::Engines;
use leadstage_lib::gateway::lead_queue::LeadQueue;
use leadstage_lib::gateway::lead_queue::QueueReply;
use leadstage_lib::gateway::lead_queue::QueueTerms;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::MAX_QUEUED_PREFILL;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_replicas::record;

const ENGINES: usize = 20;
/// Prompt tokens that an engine prefills in a millisecond beside some running streams.
const PREFILL_TOKENS_PER_MS: f64 = 7.2;
const TOKEN_INTERVAL: Duration = Duration::from_millis(14);
/// Until then more prompts arrive than the engines can prefill, after it a little fewer.
const PEAK_END: Duration = Duration::from_secs(15);
const AFTER_PEAK: f64 = 0.8;
const ARRIVALS_END: Duration = Duration::from_secs(30);
const START: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(100);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// Short answers to long prompts; more urgent.
    Verdict,
    /// Long streams.
    Chat,
}

impl Kind {
    fn objective(self) -> Duration {
        Duration::from_millis(if self == Kind::Chat { 1_800 } else { 1_500 })
    }

    /// A caller that has received no event leaves after this time.
    fn leaves_after(self) -> Duration {
        self.objective() * 4
    }

    fn size(self, rng: &mut SmallRng) -> GenerationSize {
        match self {
            Kind::Chat => GenerationSize { prompt: rng.random_range(1_500..4_600), expected: 468 },
            Kind::Verdict => GenerationSize { prompt: rng.random_range(900..4_200), expected: 6 },
        }
    }
}

/// Which requests wait at the lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lead {
    /// None: each prompt goes to the engine that will finish its prefill first.
    Never,
    /// Requests that no engine can prefill soon, ordered by urgency and arrival.
    ByArrival,
    /// As for `ByArrival`, but requests that can no longer begin in time go behind the others.
    ByTurn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Kind),
    PrefillDone { engine: usize, run: u64 },
    Ends { run: u64 },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    run: u64,
    kind: Kind,
    size: GenerationSize,
    arrived_at: Timestamp,
}

/// The outcomes of the callers of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    in_time: usize,
    late: usize,
    left: usize,
    longest: Duration,
}

impl Outcomes {
    fn all(&self) -> usize {
        self.in_time + self.late + self.left
    }
}

struct Model {
    lead: Lead,
    load: f64,
    table: ReplicaTable,
    tracker: LoadTracker,
    queue: LeadQueue<Caller>,
    /// The prompts that each engine was assigned and has not prefilled, in order.
    prompts: Vec<VecDeque<Caller>>,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    count: u64,
    outcomes: [Outcomes; 2],
    rng: SmallRng,
}

fn traits() -> EngineTraits {
    EngineTraits {
        batch: 24,
        memory_tokens: 200_000,
        bytes_per_token: 300_000,
        link_bits_per_second: 47e9,
        moves: true,
        backups: true,
        tokens_per_event: 4,
    }
}

fn key(run: u64) -> RunKey {
    RunKey { entry: "n".into(), run }
}

impl Model {
    fn new(lead: Lead, load: f64, seed: u64) -> Self {
        let mut table = ReplicaTable::default();
        let records = (0..ENGINES).map(|n| record(&format!("e{n:02}"), false));
        table.on_list(records.collect(), None, Duration::ZERO);
        let mut model = Model {
            lead,
            load,
            table,
            tracker: LoadTracker::default(),
            queue: LeadQueue::new(Policy::default()),
            prompts: vec![VecDeque::new(); ENGINES],
            now: START,
            events: BinaryHeap::new(),
            count: 0,
            outcomes: [Outcomes::default(); 2],
            rng: SmallRng::seed_from_u64(seed),
        };
        for event in [Event::Arrival(Kind::Chat), Event::Arrival(Kind::Verdict), Event::Tick] {
            model.push(START, event);
        }
        model
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(kind) => self.on_arrival(kind),
                Event::PrefillDone { engine, run } => self.on_prefill_done(engine, run),
                Event::Ends { run } => {
                    self.tracker.remove(&key(run));
                }
                Event::Tick if at < START + 2 * ARRIVALS_END => {
                    self.settle();
                    self.push(at + TICK, Event::Tick);
                }
                Event::Tick => {}
            }
        }
    }

    fn on_arrival(&mut self, kind: Kind) {
        let since = self.now - START;
        if since > ARRIVALS_END {
            return;
        }
        let load = if since < PEAK_END { self.load } else { AFTER_PEAK };
        // Chats make up six of ten prompt tokens.
        let (part, tokens) = if kind == Kind::Chat { (0.6, 3_050.0) } else { (0.4, 2_550.0) };
        let per_ms = load * ENGINES as f64 * PREFILL_TOKENS_PER_MS * part / tokens;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / per_ms;
        self.push(self.now + Duration::from_secs_f64(pause / 1_000.0), Event::Arrival(kind));
        let size = kind.size(&mut self.rng);
        let caller = Caller { run: self.count, kind, size, arrived_at: self.now };
        if self.lead == Lead::Never {
            assert!(self.grant(caller, false), "memory is never short");
            return;
        }
        let priority = kind as u8;
        let prefill = self.tracker.prefill.usual_prefill_time("m", size.prompt);
        let may_wait = kind.leaves_after() - prefill;
        let in_time = match self.lead {
            Lead::ByTurn => (kind.objective() - prefill).saturating_sub(MAX_QUEUED_PREFILL),
            _ => may_wait,
        };
        let terms = QueueTerms { priority, in_time, may_wait, tokens: 0.0, ..QueueTerms::default() };
        let mut queue = self.take_queue();
        let reply = queue.ask(caller, &terms, self, self.now);
        assert!(!matches!(reply, QueueReply::Refused(..)), "without a forecast of room nothing is refused");
        self.queue = queue;
    }

    /// Takes the queue out of the model, because calls of the queue borrow the model as their engines. The
    /// caller puts it back.
    fn take_queue(&mut self) -> LeadQueue<Caller> {
        std::mem::replace(&mut self.queue, LeadQueue::new(Policy::default()))
    }

    fn settle(&mut self) {
        let mut queue = self.take_queue();
        let settled = queue.settle(self, self.now);
        self.queue = queue;
        for caller in settled.into_iter().filter(|settled| settled.outcome.is_err()) {
            self.outcomes[caller.item.kind as usize].left += 1;
        }
    }

    /// Assigns a caller's prompt to the best engine, if there is one.
    fn grant(&mut self, caller: Caller, may_wait: bool) -> bool {
        let (traits, hall) = (traits(), HallId::from("a"));
        let request = EngineRequest {
            size: caller.size,
            engine: &traits,
            hall: &hall,
            produced: 0,
            moves: false,
            gap_objective: None,
        };
        let engines: Vec<&Replica> = self.table.of_service("m");
        let candidates = engines.iter().copied();
        let soon = candidates
            .filter(|engine| !may_wait || self.tracker.has_prefill_capacity(&engine.record.id, self.now));
        let Some(choice) = self.tracker.choose_engine(soon, &request, self.now, &mut self.rng) else {
            return false;
        };
        let replica = choice.replica.clone();
        let at = engines
            .iter()
            .position(|engine| engine.record.id == replica.record.id)
            .expect("the engine is listed");
        let id = replica.record.id.clone();
        let run =
            Run { replica: id, size: Some(caller.size), produced: 0, copied_from: None, ..Run::default() };
        self.tracker.add(key(caller.run), run, &replica, self.now);
        self.prompts[at].push_back(caller);
        if self.prompts[at].len() == 1 {
            self.start_prefill(at);
        }
        true
    }

    fn start_prefill(&mut self, engine: usize) {
        while let Some(next) = self.prompts[engine].front().copied() {
            if self.now <= next.arrived_at + next.kind.leaves_after() {
                let duration =
                    Duration::from_secs_f64(f64::from(next.size.prompt) / PREFILL_TOKENS_PER_MS / 1_000.0);
                self.push(self.now + duration, Event::PrefillDone { engine, run: next.run });
                return;
            }
            // Its caller has left.
            self.prompts[engine].pop_front();
            self.tracker.remove(&key(next.run));
            self.outcomes[next.kind as usize].left += 1;
        }
    }

    fn on_prefill_done(&mut self, engine: usize, run: u64) {
        let caller = self.prompts[engine].pop_front().expect("the prompt was in prefill");
        let id = format!("e{engine:02}").into();
        let id: leadstage_lib::ids::UpstreamId = id;
        self.tracker.prefill.on_first_event(&key(run), &id, self.now);
        let took = self.now - caller.arrived_at;
        let outcomes = &mut self.outcomes[caller.kind as usize];
        outcomes.longest = outcomes.longest.max(took);
        if took <= caller.kind.objective() {
            outcomes.in_time += 1;
        } else if took <= caller.kind.leaves_after() {
            outcomes.late += 1;
        } else {
            outcomes.left += 1;
        }
        self.push(self.now + TOKEN_INTERVAL * caller.size.expected, Event::Ends { run });
        self.start_prefill(engine);
        self.settle();
    }
}

impl Engines<Caller> for Model {
    type Place = ();

    /// Memory is never short in this model.
    fn choose(&mut self, caller: &Caller) -> Result<(), Shortage> {
        if self.grant(*caller, true) { Ok(()) } else { Err(Shortage::Prefill) }
    }

    fn time_until(&self, _tokens: f64) -> Option<Duration> {
        None
    }
}

fn simulate(lead: Lead, load: f64) -> [Outcomes; 2] {
    let mut sums = [Outcomes::default(); 2];
    for seed in 0..4 {
        let mut model = Model::new(lead, load, seed);
        model.run();
        for (sum, outcomes) in sums.iter_mut().zip(model.outcomes) {
            sum.in_time += outcomes.in_time;
            sum.late += outcomes.late;
            sum.left += outcomes.left;
            sum.longest = sum.longest.max(outcomes.longest);
        }
    }
    sums
}

#[test]
fn test_what_callers_get_at_full_engines() {
    let mut text = String::new();
    for load in [0.7, 0.95, 1.1, 1.3] {
        for lead in [Lead::Never, Lead::ByArrival, Lead::ByTurn] {
            let outcomes = simulate(lead, load);
            write!(text, "load {load}, {lead:?}:").unwrap();
            for kind in [Kind::Verdict, Kind::Chat] {
                let Outcomes { in_time, late, left, longest } = outcomes[kind as usize];
                write!(
                    text,
                    " {kind:?} {in_time} in time, {late} late, {left} left, {} ms at most;",
                    longest.as_millis()
                )
                .unwrap();
            }
            writeln!(text).unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// At a peak of 1.1 times what the engines can prefill, the queue by turns has fewer late callers than
/// both alternatives, no caller leaves, and the more urgent kind is served no worse.
#[test]
fn test_few_callers_are_late_in_a_peak() {
    let [never, by_arrival, by_turn] =
        [Lead::Never, Lead::ByArrival, Lead::ByTurn].map(|lead| simulate(lead, 1.1));
    let late = |kinds: &[Outcomes; 2]| kinds.iter().map(|kind| kind.late + kind.left).sum::<usize>();
    assert!(2 * late(&by_turn) < late(&never), "{by_turn:?} {never:?}");
    assert!(late(&by_turn) < late(&by_arrival), "{by_turn:?} {by_arrival:?}");
    assert_eq!(by_turn.map(|kind| kind.left), [0, 0]);
    let share = |kind: &Outcomes| kind.in_time as f64 / kind.all() as f64;
    assert!(share(&by_turn[0]) >= share(&by_turn[1]), "{by_turn:?}");
}
