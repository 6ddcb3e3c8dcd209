//! Plays a modelled day.

mod callers;
mod engines;
mod moves;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::engine_model::EngineEvent;
use crate::engine_model::EngineModel;
use crate::fleet_model::experiment::Experiment;
use crate::fleet_model::lead::Lead;
use crate::fleet_model::lead::key;
use crate::fleet_model::tally::Got;
use crate::fleet_model::tally::Tally;

/// When the day begins: clocks of a fleet don't start at 0.
const START: Duration = Duration::from_secs(100);
/// Time between two looks of the lead.
const TICK: Duration = Duration::from_millis(100);
/// The lead hears how far generations are once in so many ticks.
const TICKS_PER_INVENTORY: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Callers of a kind.
    Arrives(usize),
    /// A caller that was refused.
    Returns(RunId),
    /// A caller that has had no event goes.
    Leaves(RunId),
    /// A step of an engine is over.
    Stepped(usize),
    /// A generation's memory is at another engine.
    Copied {
        run: RunId,
        to: usize,
    },
    /// Engines are told that they end.
    Notice,
    /// An engine ends.
    Ends(usize),
    /// A new engine takes a place.
    Starts {
        place: usize,
    },
    Tick,
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Caller {
    kind: usize,
    size: GenerationSize,
    output: u32,
    came: Timestamp,
    attempts_left: u32,
    /// Where it runs.
    engine: Option<usize>,
    is_copied: bool,
    produced: u32,
    last_event: Option<Timestamp>,
    is_late: bool,
    has_paused: bool,
}

struct Engine {
    id: UpstreamId,
    place: usize,
    model: EngineModel,
    /// What the step brings that is under way.
    stepping: Option<Vec<EngineEvent>>,
    is_leaving: bool,
    is_gone: bool,
    link_free_at: Timestamp,
}

struct Play<'a> {
    experiment: &'a Experiment,
    lead: Lead,
    engines: Vec<Engine>,
    callers: BTreeMap<RunId, Caller>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    count: u64,
    now: Timestamp,
    ticks: u64,
    last_run: RunId,
    tally: Tally,
    rng: SmallRng,
}

/// Plays one day with a seed.
pub fn play(experiment: &Experiment, seed: u64) -> Tally {
    let mut play = Play {
        experiment,
        lead: Lead::new(&experiment.engines, experiment.policy),
        engines: Vec::new(),
        callers: BTreeMap::new(),
        events: BinaryHeap::new(),
        count: 0,
        now: START,
        ticks: 0,
        last_run: 0,
        tally: Tally { kinds: vec![Got::default(); experiment.kinds.len()], ..Tally::default() },
        rng: SmallRng::seed_from_u64(seed),
    };
    play.begin();
    while let Some(Reverse((at, _, event))) = play.events.pop() {
        play.now = at;
        play.handle(event);
    }
    play.tally
}

impl Play<'_> {
    fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn begin(&mut self) {
        for place in 0..self.experiment.engines.count {
            self.start_engine(place);
        }
        for kind in 0..self.experiment.kinds.len() {
            self.push(START, Event::Arrives(kind));
        }
        if let Some(reclaims) = &self.experiment.reclaims {
            self.push(START + Duration::from_secs_f64(reclaims.first_s), Event::Notice);
        }
        self.push(START, Event::Tick);
    }

    fn is_over(&self) -> bool {
        self.now >= START + Duration::from_secs_f64(self.experiment.seconds)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(kind) => self.arrives(kind),
            Event::Returns(run) => self.ask(run),
            Event::Leaves(run) => self.leaves(run),
            Event::Stepped(engine) => self.stepped(engine),
            Event::Copied { run, to } => self.copied(run, to),
            Event::Notice => self.notice(),
            Event::Ends(engine) => self.ends(engine),
            Event::Starts { place } => self.start_engine(place),
            Event::Tick => self.tick(),
        }
    }

    fn settle(&mut self) {
        for answer in self.lead.settle(self.now, &mut self.rng) {
            self.answered(answer);
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_INVENTORY) {
            for (run, caller) in &self.callers {
                self.lead.fleet.book.on_progress(&key(*run), caller.produced, self.now);
            }
        }
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_leaving && !self.engines[engine].is_gone {
                self.empty(engine);
            }
        }
        self.settle();
        for relief in self.lead.due_moves(self.now) {
            let from = self.engine_at(&relief.from);
            self.copy(relief.key.run, from);
        }
        self.note_fills();
        if !self.is_over() || !self.callers.is_empty() {
            self.push(self.now + TICK, Event::Tick);
        }
    }

    fn note_fills(&mut self) {
        for engine in self.engines.iter().filter(|engine| !engine.is_leaving) {
            let load = engine.model.load();
            self.tally.fills.0 += load.used_blocks as f64 / load.total_blocks as f64;
            self.tally.fills.1 += 1;
        }
    }
}
