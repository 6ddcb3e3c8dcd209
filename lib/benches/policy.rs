//! Simulates the placement policy in virtual time: one pool of step-by-step engine models, driven through the
//! pool's event interface.
//!
//! `cargo bench -p leadstage-lib --bench policy -- --experiment FILE`; docs/BENCHMARKS.md
//! describes the file and the columns. The output is deterministic: the same file gives the same bytes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use leadstage_lib::ids::Timestamp;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::LoadReport;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_testutils::engine_model::EngineEvent;
use leadstage_testutils::engine_model::EngineModel;
use leadstage_testutils::engine_model::Submission;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[path = "policy/experiment.rs"]
mod experiment;
#[path = "policy/placers.rs"]
mod placers;
#[path = "policy/totals.rs"]
mod totals;

use experiment::Experiment;
use placers::Decision;
use placers::Placer;
use totals::Totals;

/// A longer gap between two tokens of a stream counts as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Delay until the placer is notified of an end, as the gateway sends ends in batches.
const END_DELAY: Duration = Duration::from_millis(100);
/// Interval between progress reports of running generations, as in `leadstaged`.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(3000);
/// Interval between ticks, as in `leadstaged`.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of an engine's load, as in `leadstaged`.
const LOAD_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time limit for open streams to end after the last arrival.
const MAX_DRAIN: Duration = Duration::from_secs(900);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Arrive,
    Tick,
    Progress,
    ReadLoad(usize),
    Load(usize, [u64; 4]),
    Ended(u64, u32, bool),
    Kill,
}

struct Generation {
    request: PlaceRequest,
    output: u64,
    arrived: Timestamp,
    engine: Option<usize>,
    tokens: u32,
    last_token: Timestamp,
    tokens_in_time: u64,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    placer: Placer,
    engines: Vec<EngineModel>,
    stepping: Vec<bool>,
    dead: Vec<bool>,
    open: BTreeMap<u64, Generation>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    totals: Totals,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Some(experiment) = Experiment::from_args()? else {
        return Ok(());
    };
    println!("{}", totals::HEADER);
    for policy in &experiment.policies {
        let mut simulation = Simulation::new(&experiment, Placer::new(policy, &experiment)?);
        simulation.run();
        println!("{policy},{}", simulation.totals.row(&experiment));
    }
    Ok(())
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, placer: Placer) -> Self {
        let engines: Vec<EngineModel> =
            (0..experiment.engines).map(|e| EngineModel::new(experiment.engine_config(e))).collect();
        let count = engines.len();
        let mut simulation = Simulation {
            experiment,
            placer,
            engines,
            stepping: vec![false; count],
            dead: vec![false; count],
            open: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(experiment.seed),
            totals: Totals::new(experiment.organisations.len()),
        };
        for engine in 0..count {
            simulation.placer.on_engine(engine, experiment.limits());
            simulation
                .schedule(LOAD_READ_INTERVAL.mul_f64(engine as f64 / count as f64), Event::ReadLoad(engine));
        }
        simulation.schedule(Duration::ZERO, Event::Tick);
        simulation.schedule(PROGRESS_INTERVAL, Event::Progress);
        simulation.schedule(Duration::ZERO, Event::Arrive);
        experiment.kill_engine_at.iter().for_each(|at| simulation.schedule(*at, Event::Kill));
        simulation
    }

    fn schedule(&mut self, time: Timestamp, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            let is_over = now > self.experiment.duration
                && (self.open.is_empty() || now > self.experiment.duration + MAX_DRAIN);
            if is_over {
                return;
            }
            match event {
                Event::Step(engine) => self.step(now, engine),
                Event::Arrive => self.on_arrival(now),
                Event::Tick => {
                    self.placer.tick(now);
                    self.schedule(now + TICK_INTERVAL, Event::Tick);
                }
                Event::Progress => {
                    let running = self.open.values().filter(|g| g.engine.is_some());
                    running.for_each(|g| self.placer.on_progress(now, g.request.generation, g.tokens));
                    self.schedule(now + PROGRESS_INTERVAL, Event::Progress);
                }
                Event::ReadLoad(engine) if self.dead[engine] => self.placer.on_gone(now, engine),
                Event::ReadLoad(engine) => {
                    let load = self.engines[engine].load();
                    let step = load.step.as_micros() as u64;
                    let values = [load.running as u64, load.waiting as u64, load.used_blocks, step];
                    self.schedule(now + self.experiment.load_report_lag, Event::Load(engine, values));
                    self.schedule(now + LOAD_READ_INTERVAL, Event::ReadLoad(engine));
                }
                Event::Load(engine, [running, waiting, used_blocks, step]) => {
                    let (running, waiting) = (running as u32, waiting as u32);
                    let report =
                        LoadReport { running, waiting, used_blocks, step: Duration::from_micros(step) };
                    self.placer.on_load(now, engine, report);
                }
                Event::Ended(generation, tokens, finished) => {
                    let how = if finished { EndKind::Finished } else { EndKind::Lost };
                    self.placer.on_end(now, generation, tokens, how);
                }
                Event::Kill => self.kill_engine(now),
            }
            self.apply_decisions(now);
        }
    }

    fn on_arrival(&mut self, now: Timestamp) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.experiment.rate;
        let next = now + Duration::from_secs_f64(gap);
        if next <= self.experiment.duration {
            self.schedule(next, Event::Arrive);
        }
        let (request, output) = self.experiment.draw(&mut self.rng);
        self.totals.offered += 1;
        self.totals.requested[self.experiment.organisation_index(&request)] += output;
        let generation = request.generation;
        let state = Generation {
            request: request.clone(),
            output,
            arrived: now,
            engine: None,
            tokens: 0,
            last_token: now,
            tokens_in_time: 0,
        };
        self.open.insert(generation, state);
        self.placer.place(now, request, output);
    }

    fn apply_decisions(&mut self, now: Timestamp) {
        for decision in self.placer.take_decisions() {
            match decision {
                Decision::Start { generation, engine, priority } => {
                    self.start(now, generation, engine, priority)
                }
                Decision::Refuse { generation } => {
                    let unstarted = self.open.get(&generation).is_some_and(|g| g.tokens == 0);
                    let Some(refused) = unstarted.then(|| self.open.remove(&generation)).flatten() else {
                        continue;
                    };
                    if let Some(engine) = refused.engine {
                        self.engines[engine].cancel(generation);
                    }
                    self.totals.refused += 1;
                }
                Decision::Priority { generation, engine, priority } => {
                    self.engines[engine].set_priority(generation, priority);
                }
            }
        }
    }

    fn start(&mut self, now: Timestamp, generation: u64, engine: usize, priority: i32) {
        let Some(state) = self.open.get_mut(&generation) else { return };
        if self.dead[engine] {
            let (request, output) = (state.request.clone(), state.output);
            self.placer.on_end(now, generation, 0, EndKind::Lost);
            return self.placer.place(now, request, output);
        }
        state.engine = Some(engine);
        self.engines[engine].submit(Submission {
            generation,
            prompt_tokens: u64::from(state.request.prompt_tokens),
            output_tokens: state.output,
            priority,
            prefix: 0,
            prefix_tokens: 0,
        });
        if !self.stepping[engine] {
            self.stepping[engine] = true;
            self.schedule(now, Event::Step(engine));
        }
    }

    /// Runs one engine step. Its tokens are produced when the step ends.
    fn step(&mut self, now: Timestamp, engine: usize) {
        if self.dead[engine] || self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let outcome = self.engines[engine].step();
        let step_end = now + outcome.duration;
        for engine_event in outcome.events {
            match engine_event {
                EngineEvent::Token { generation, index } => self.on_token(step_end, generation, index),
                EngineEvent::Preempted { .. } => self.totals.preemptions += 1,
                EngineEvent::Finished { generation, .. } => {
                    let Some(state) = self.open.remove(&generation) else { continue };
                    self.totals.completed += 1;
                    self.totals.goodput += state.tokens_in_time;
                    self.totals.served[self.experiment.organisation_index(&state.request)] +=
                        state.tokens_in_time;
                    self.schedule(step_end + END_DELAY, Event::Ended(generation, state.tokens, true));
                }
                EngineEvent::PrefixStored { .. } | EngineEvent::PrefixEvicted { .. } => {}
            }
        }
        self.schedule(step_end, Event::Step(engine));
    }

    fn on_token(&mut self, at: Timestamp, generation: u64, index: u64) {
        let Some(state) = self.open.get_mut(&generation) else { return };
        if index == 0 {
            let _ = self.totals.first_token.record((at - state.arrived).as_micros() as u64);
            self.placer.on_first_token(generation);
        } else {
            let gap = at - state.last_token;
            let _ = self.totals.token_gaps.record(gap.as_micros() as u64);
            if gap > STALL_THRESHOLD {
                self.totals.stall += gap;
            }
        }
        state.tokens += 1;
        state.last_token = at;
        state.tokens_in_time += u64::from(at <= self.experiment.duration);
    }

    /// Kills the first live engine. Its generations without a token are placed again; the others are lost.
    fn kill_engine(&mut self, now: Timestamp) {
        let Some(engine) = self.dead.iter().position(|dead| !dead) else { return };
        self.dead[engine] = true;
        let affected: Vec<u64> =
            self.open.iter().filter(|(_, g)| g.engine == Some(engine)).map(|(id, _)| *id).collect();
        for generation in affected {
            let Some(mut state) = self.open.remove(&generation) else { continue };
            self.placer.on_end(now, generation, state.tokens, EndKind::Lost);
            if state.tokens == 0 {
                state.engine = None;
                let (request, output) = (state.request.clone(), state.output);
                self.open.insert(generation, state);
                self.placer.place(now, request, output);
            }
        }
        self.placer.on_failing(now, engine);
    }
}
