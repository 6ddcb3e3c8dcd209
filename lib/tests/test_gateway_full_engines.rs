//! What callers get where engines are given more prompts than they read: the lead's queue and its choice
//! of engines, on modelled engines that read one prompt after another.

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
use leadstage_lib::gateway::load::LoadBook;
use leadstage_lib::gateway::load::READS_AHEAD;
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
/// Prompt tokens that an engine reads in a millisecond beside some streams.
const READS_PER_MS: f64 = 7.2;
const TOKEN_EVERY: Duration = Duration::from_millis(14);
/// Too many prompts come for so long, then a little fewer than engines read.
const PEAK: Duration = Duration::from_secs(15);
const AFTER_PEAK: f64 = 0.8;
const ENDS: Duration = Duration::from_secs(30);
const START: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(100);

/// A kind of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// Short answers to long prompts, more urgent.
    Verdict,
    /// Long streams.
    Chat,
}

impl Kind {
    fn objective(self) -> Duration {
        Duration::from_millis(if self == Kind::Chat { 1_800 } else { 1_500 })
    }

    /// A caller that has had no event leaves after this.
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

/// How the lead lets wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lead {
    /// Nobody: each prompt goes to the engine that will have read it first.
    Never,
    /// Whoever no engine reads soon, by urgency and arrival.
    ByArrival,
    /// The same, and those that can't begin in time any more behind the others.
    ByTurn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Kind),
    Read { engine: usize, run: u64 },
    Ends { run: u64 },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    run: u64,
    kind: Kind,
    size: GenerationSize,
    came: Timestamp,
}

/// What became of the callers of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    in_time: usize,
    late: usize,
    left: usize,
    longest: Duration,
}

impl Got {
    fn all(&self) -> usize {
        self.in_time + self.late + self.left
    }
}

struct Model {
    lead: Lead,
    load: f64,
    table: ReplicaTable,
    book: LoadBook,
    queue: LeadQueue<Caller>,
    /// What each engine was given and has not read, in order.
    given: Vec<VecDeque<Caller>>,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    count: u64,
    got: [Got; 2],
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
        table.on_list(records.collect(), false, Duration::ZERO);
        let mut model = Model {
            lead,
            load,
            table,
            book: LoadBook::default(),
            queue: LeadQueue::new(Policy::default()),
            given: vec![VecDeque::new(); ENGINES],
            now: START,
            events: BinaryHeap::new(),
            count: 0,
            got: [Got::default(); 2],
            rng: SmallRng::seed_from_u64(seed),
        };
        for event in [Event::Arrives(Kind::Chat), Event::Arrives(Kind::Verdict), Event::Tick] {
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
                Event::Arrives(kind) => self.arrives(kind),
                Event::Read { engine, run } => self.read(engine, run),
                Event::Ends { run } => {
                    self.book.remove(&key(run));
                }
                Event::Tick if at < START + 2 * ENDS => {
                    self.settle();
                    self.push(at + TICK, Event::Tick);
                }
                Event::Tick => {}
            }
        }
    }

    fn arrives(&mut self, kind: Kind) {
        let since = self.now - START;
        if since > ENDS {
            return;
        }
        let load = if since < PEAK { self.load } else { AFTER_PEAK };
        // Chats are six of ten prompt tokens.
        let (part, tokens) = if kind == Kind::Chat { (0.6, 3_050.0) } else { (0.4, 2_550.0) };
        let per_ms = load * ENGINES as f64 * READS_PER_MS * part / tokens;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / per_ms;
        self.push(self.now + Duration::from_secs_f64(pause / 1_000.0), Event::Arrives(kind));
        let size = kind.size(&mut self.rng);
        let caller = Caller { run: self.count, kind, size, came: self.now };
        if self.lead == Lead::Never {
            assert!(self.grant(caller, false), "memory is ample");
            return;
        }
        let priority = kind as u8;
        let reading = self.book.reading.usual_time("m", size.prompt);
        let may_wait = kind.leaves_after() - reading;
        let in_time = match self.lead {
            Lead::ByTurn => (kind.objective() - reading).saturating_sub(READS_AHEAD),
            _ => may_wait,
        };
        let terms = QueueTerms { priority, in_time, may_wait, tokens: 0.0 };
        let mut queue = self.take_queue();
        let asked = queue.ask(caller, &terms, self, self.now);
        assert!(!matches!(asked, QueueReply::Refused(..)), "nothing is known of when there is room");
        self.queue = queue;
    }

    /// The queue, which is put back when it has settled with the engines here.
    fn take_queue(&mut self) -> LeadQueue<Caller> {
        std::mem::replace(&mut self.queue, LeadQueue::new(Policy::default()))
    }

    fn settle(&mut self) {
        let mut queue = self.take_queue();
        let settled = queue.settle(self, self.now);
        self.queue = queue;
        for caller in settled.into_iter().filter(|settled| settled.outcome.is_err()) {
            self.got[caller.item.kind as usize].left += 1;
        }
    }

    /// Gives a caller's prompt to the best engine, if there is one.
    fn grant(&mut self, caller: Caller, may_wait: bool) -> bool {
        let (traits, hall) = (traits(), HallId::from("a"));
        let request =
            EngineRequest { size: caller.size, engine: &traits, hall: &hall, produced: 0, moves: false };
        let engines: Vec<&Replica> = self.table.of_service("m");
        let candidates = engines.iter().copied();
        let soon = candidates.filter(|engine| !may_wait || self.book.reads_soon(&engine.record.id, self.now));
        let Some(choice) = self.book.choose_engine(soon, &request, self.now, &mut self.rng) else {
            return false;
        };
        let replica = choice.replica.clone();
        let at =
            engines.iter().position(|engine| engine.record.id == replica.record.id).expect("it is listed");
        let id = replica.record.id.clone();
        let run = Run { replica: id, size: Some(caller.size), produced: 0, copied_from: None };
        self.book.add(key(caller.run), run, &replica, self.now);
        self.given[at].push_back(caller);
        if self.given[at].len() == 1 {
            self.begin_reading(at);
        }
        true
    }

    fn begin_reading(&mut self, engine: usize) {
        while let Some(next) = self.given[engine].front().copied() {
            if self.now <= next.came + next.kind.leaves_after() {
                let takes = Duration::from_secs_f64(f64::from(next.size.prompt) / READS_PER_MS / 1_000.0);
                self.push(self.now + takes, Event::Read { engine, run: next.run });
                return;
            }
            // Its caller has left.
            self.given[engine].pop_front();
            self.book.remove(&key(next.run));
            self.got[next.kind as usize].left += 1;
        }
    }

    fn read(&mut self, engine: usize, run: u64) {
        let caller = self.given[engine].pop_front().expect("it was being read");
        let id = format!("e{engine:02}").into();
        let id: leadstage_lib::ids::UpstreamId = id;
        self.book.reading.on_first_event(&key(run), &id, self.now);
        let took = self.now - caller.came;
        let got = &mut self.got[caller.kind as usize];
        got.longest = got.longest.max(took);
        if took <= caller.kind.objective() {
            got.in_time += 1;
        } else if took <= caller.kind.leaves_after() {
            got.late += 1;
        } else {
            got.left += 1;
        }
        self.push(self.now + TOKEN_EVERY * caller.size.expected, Event::Ends { run });
        self.begin_reading(engine);
        self.settle();
    }
}

impl Engines<Caller> for Model {
    type Place = ();

    /// Memory is ample here.
    fn choose(&mut self, caller: &Caller) -> Result<(), Shortage> {
        if self.grant(*caller, true) { Ok(()) } else { Err(Shortage::Reading) }
    }

    fn time_until(&self, _tokens: f64) -> Option<Duration> {
        None
    }
}

fn play(lead: Lead, load: f64) -> [Got; 2] {
    let mut sums = [Got::default(); 2];
    for seed in 0..4 {
        let mut model = Model::new(lead, load, seed);
        model.run();
        for (sum, got) in sums.iter_mut().zip(model.got) {
            sum.in_time += got.in_time;
            sum.late += got.late;
            sum.left += got.left;
            sum.longest = sum.longest.max(got.longest);
        }
    }
    sums
}

#[test]
fn test_what_callers_get_at_full_engines() {
    let mut text = String::new();
    for load in [0.7, 0.95, 1.1, 1.3] {
        for lead in [Lead::Never, Lead::ByArrival, Lead::ByTurn] {
            let got = play(lead, load);
            write!(text, "load {load}, {lead:?}:").unwrap();
            for kind in [Kind::Verdict, Kind::Chat] {
                let Got { in_time, late, left, longest } = got[kind as usize];
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

/// A peak of 1.1 times what engines read: the queue by turns has fewer begin late than both others, has
/// nobody leave, and the more urgent kind is served no less.
#[test]
fn test_a_peak_makes_few_late() {
    let [never, by_arrival, by_turn] =
        [Lead::Never, Lead::ByArrival, Lead::ByTurn].map(|lead| play(lead, 1.1));
    let late = |got: &[Got; 2]| got.iter().map(|got| got.late + got.left).sum::<usize>();
    assert!(2 * late(&by_turn) < late(&never), "{by_turn:?} {never:?}");
    assert!(late(&by_turn) < late(&by_arrival), "{by_turn:?} {by_arrival:?}");
    assert_eq!(by_turn.map(|got| got.left), [0, 0]);
    let share = |got: &Got| got.in_time as f64 / got.all() as f64;
    assert!(share(&by_turn[0]) >= share(&by_turn[1]), "{by_turn:?}");
}
