//! The discrete-event simulation of an experiment.

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
use crate::fleet_model::report::DayReport;
use crate::fleet_model::report::KindReport;

/// Time at which the simulation starts: clocks of a fleet don't start at 0.
const START: Duration = Duration::from_secs(100);
/// Time between two passes of the lead.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two inventories, by which the lead is notified of the progress of generations.
const TICKS_PER_INVENTORY: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a kind arrives.
    Arrival(usize),
    /// A request of a kind arrives beyond its organisation's usual load.
    FloodArrival(usize),
    /// Another node takes over as the lead.
    TakeOver,
    /// A caller that was refused retries.
    Retry(RunId),
    /// A caller leaves if it has received no event.
    Departure(RunId),
    /// A step of an engine is complete.
    StepDone(usize),
    /// The KV cache memory of a generation has been copied to another engine.
    Copied {
        run: RunId,
        to: usize,
    },
    /// Engines receive notice that they are reclaimed.
    Notice,
    /// An engine ends.
    EngineEnd(usize),
    /// A new engine starts at a place.
    EngineStart {
        place: usize,
    },
    Tick,
    /// A new moment begins, in which an engine may be slow.
    Moment(usize),
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Caller {
    kind: usize,
    /// Index of its organisation, if there are organisations.
    organisation: Option<usize>,
    /// Whether it arrived beyond its organisation's usual load.
    is_flood: bool,
    /// Whether it waits at the lead.
    is_queued: bool,
    size: GenerationSize,
    output: u32,
    arrived: Timestamp,
    attempts_left: u32,
    /// The engine that it runs at.
    engine: Option<usize>,
    is_copying: bool,
    produced: u32,
    last_event: Option<Timestamp>,
    is_late: bool,
    longest_gap: Duration,
    /// Longest gap since the last inventory, other than those of moves.
    longest_gap_at_engine: Duration,
    /// It has moved since its last event.
    is_moved: bool,
}

struct Engine {
    id: UpstreamId,
    place: usize,
    model: EngineModel,
    /// Events of the current step.
    current_step: Option<Vec<EngineEvent>>,
    is_leaving: bool,
    is_gone: bool,
    link_free_at: Timestamp,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    lead: Lead,
    engines: Vec<Engine>,
    callers: BTreeMap<RunId, Caller>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    event_count: u64,
    now: Timestamp,
    ticks: u64,
    last_run: RunId,
    report: DayReport,
    rng: SmallRng,
}

/// Simulates an experiment; the seed determines all random values.
pub fn simulate(experiment: &Experiment, seed: u64) -> DayReport {
    let mut simulation = Simulation {
        experiment,
        lead: Lead::new(&experiment.engines, experiment.policy),
        engines: Vec::new(),
        callers: BTreeMap::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        now: START,
        ticks: 0,
        last_run: 0,
        report: DayReport {
            kinds: vec![KindReport::default(); experiment.kinds.len()],
            organisations: vec![KindReport::default(); experiment.organisation_count()],
            ..DayReport::default()
        },
        rng: SmallRng::seed_from_u64(seed),
    };
    simulation.start();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.report
}

impl Simulation<'_> {
    fn push(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn start(&mut self) {
        for place in 0..self.experiment.engines.count {
            self.start_engine(place);
        }
        for kind in 0..self.experiment.kinds.len() {
            self.push(START, Event::Arrival(kind));
        }
        if let Some(flood) = self.experiment.flood() {
            for kind in 0..self.experiment.kinds.len() {
                self.push(START + Duration::from_secs_f64(flood.from_s), Event::FloodArrival(kind));
            }
        }
        if let Some(at) = self.experiment.lead_lost_at_s {
            self.push(START + Duration::from_secs_f64(at), Event::TakeOver);
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
            Event::Arrival(kind) => self.on_arrival(kind),
            Event::FloodArrival(kind) => self.on_flood_arrival(kind),
            Event::TakeOver => self.on_take_over(),
            Event::Retry(run) => self.place(run),
            Event::Departure(run) => self.on_departure(run),
            Event::StepDone(engine) => self.on_step_done(engine),
            Event::Copied { run, to } => self.on_copied(run, to),
            Event::Notice => self.on_notice(),
            Event::EngineEnd(engine) => self.on_engine_end(engine),
            Event::EngineStart { place } => self.start_engine(place),
            Event::Tick => self.on_tick(),
            Event::Moment(engine) => self.on_moment(engine),
        }
    }

    fn settle(&mut self) {
        for reply in self.lead.settle(self.now, &mut self.rng) {
            self.on_reply(reply);
        }
    }

    fn on_tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_INVENTORY) {
            for (run, caller) in &mut self.callers {
                let gap = std::mem::take(&mut caller.longest_gap_at_engine);
                self.lead.fleet.load.on_gaps(&key(*run), caller.longest_gap, gap);
                self.lead.fleet.load.on_progress(&key(*run), caller.produced, self.now);
            }
        }
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_leaving && !self.engines[engine].is_gone {
                self.evacuate(engine);
            }
        }
        self.settle();
        for rebalance in self.lead.due_moves(self.now) {
            let from = self.engine_index(&rebalance.from);
            self.start_copy(rebalance.key.run, from);
        }
        self.record_memory_use();
        if !self.is_over() || !self.callers.is_empty() {
            self.push(self.now + TICK_INTERVAL, Event::Tick);
        }
    }

    fn record_memory_use(&mut self) {
        for engine in self.engines.iter().filter(|engine| !engine.is_leaving) {
            let load = engine.model.load();
            self.report.memory_use.0 += load.used_blocks as f64 / load.total_blocks as f64;
            self.report.memory_use.1 += 1;
        }
    }
}
