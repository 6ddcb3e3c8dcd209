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
const STALL: Duration = Duration::from_millis(250);
/// Delay until the placer is notified of an end, as the gateway sends ends in batches.
const END_DELAY: Duration = Duration::from_millis(100);
/// Time between two reports of running generations, as in the product.
const PROGRESS: Duration = Duration::from_millis(3000);
/// Time between two ticks and between two reads of an engine's load, as in the product.
const TICK: Duration = Duration::from_millis(100);
const LOAD_READ: Duration = Duration::from_millis(1_000);
/// After the last arrival, streams may end for this long.
const DRAIN: Duration = Duration::from_secs(900);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
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
    last: Timestamp,
    in_time: u64,
}

struct Run<'a> {
    x: &'a Experiment,
    placer: Placer,
    engines: Vec<EngineModel>,
    stepping: Vec<bool>,
    dead: Vec<bool>,
    open: BTreeMap<u64, Generation>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, What)>>,
    ordinal: u64,
    rng: SmallRng,
    out: Totals,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Some(x) = Experiment::from_args()? else {
        return Ok(());
    };
    println!("{}", totals::HEADER);
    for policy in &x.policies {
        let mut run = Run::new(&x, Placer::new(policy, &x)?);
        run.run();
        println!("{policy},{}", run.out.row(&x));
    }
    Ok(())
}

impl<'a> Run<'a> {
    fn new(x: &'a Experiment, placer: Placer) -> Self {
        let engines: Vec<EngineModel> =
            (0..x.engines).map(|e| EngineModel::new(x.engine_config(e))).collect();
        let count = engines.len();
        let mut run = Run {
            x,
            placer,
            engines,
            stepping: vec![false; count],
            dead: vec![false; count],
            open: BTreeMap::new(),
            queue: BinaryHeap::new(),
            ordinal: 0,
            rng: SmallRng::seed_from_u64(x.seed),
            out: Totals::new(x.organisations.len()),
        };
        for engine in 0..count {
            run.placer.on_engine(engine, x.limits());
            run.at(LOAD_READ.mul_f64(engine as f64 / count as f64), What::ReadLoad(engine));
        }
        run.at(Duration::ZERO, What::Tick);
        run.at(PROGRESS, What::Progress);
        run.at(Duration::ZERO, What::Arrive);
        x.kill_engine_at.iter().for_each(|at| run.at(*at, What::Kill));
        run
    }

    fn at(&mut self, time: Timestamp, what: What) {
        self.ordinal += 1;
        self.queue.push(Reverse((time, self.ordinal, what)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, what))) = self.queue.pop() {
            let over = now > self.x.duration && (self.open.is_empty() || now > self.x.duration + DRAIN);
            if over {
                return;
            }
            match what {
                What::Step(engine) => self.step(now, engine),
                What::Arrive => self.arrive(now),
                What::Tick => {
                    self.placer.tick(now);
                    self.at(now + TICK, What::Tick);
                }
                What::Progress => {
                    let running = self.open.values().filter(|g| g.engine.is_some());
                    running.for_each(|g| self.placer.on_progress(now, g.request.generation, g.tokens));
                    self.at(now + PROGRESS, What::Progress);
                }
                What::ReadLoad(engine) if self.dead[engine] => self.placer.on_gone(now, engine),
                What::ReadLoad(engine) => {
                    let load = self.engines[engine].load();
                    let step = load.step.as_micros() as u64;
                    let values = [load.running as u64, load.waiting as u64, load.used_blocks, step];
                    self.at(now + self.x.load_report_lag, What::Load(engine, values));
                    self.at(now + LOAD_READ, What::ReadLoad(engine));
                }
                What::Load(engine, [running, waiting, used_blocks, step]) => {
                    let (running, waiting) = (running as u32, waiting as u32);
                    let report =
                        LoadReport { running, waiting, used_blocks, step: Duration::from_micros(step) };
                    self.placer.on_load(now, engine, report);
                }
                What::Ended(generation, tokens, finished) => {
                    let how = if finished { EndKind::Finished } else { EndKind::Lost };
                    self.placer.on_end(now, generation, tokens, how);
                }
                What::Kill => self.kill(now),
            }
            self.carry_out(now);
        }
    }

    fn arrive(&mut self, now: Timestamp) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.x.rate;
        let next = now + Duration::from_secs_f64(gap);
        if next <= self.x.duration {
            self.at(next, What::Arrive);
        }
        let (request, output) = self.x.draw(&mut self.rng);
        self.out.offered += 1;
        self.out.asked[self.x.organisation_index(&request)] += output;
        let generation = request.generation;
        let state = Generation {
            request: request.clone(),
            output,
            arrived: now,
            engine: None,
            tokens: 0,
            last: now,
            in_time: 0,
        };
        self.open.insert(generation, state);
        self.placer.place(now, request, output);
    }

    fn carry_out(&mut self, now: Timestamp) {
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
                    self.out.refused += 1;
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
            self.at(now, What::Step(engine));
        }
    }

    /// Runs one engine step. Its tokens are produced when the step ends.
    fn step(&mut self, now: Timestamp, engine: usize) {
        if self.dead[engine] || self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let outcome = self.engines[engine].step();
        let done = now + outcome.duration;
        for event in outcome.events {
            match event {
                EngineEvent::Token { generation, index } => self.token(done, generation, index),
                EngineEvent::Preempted { .. } => self.out.preemptions += 1,
                EngineEvent::Finished { generation, .. } => {
                    let Some(state) = self.open.remove(&generation) else { continue };
                    self.out.completed += 1;
                    self.out.goodput += state.in_time;
                    self.out.served[self.x.organisation_index(&state.request)] += state.in_time;
                    self.at(done + END_DELAY, What::Ended(generation, state.tokens, true));
                }
                EngineEvent::PrefixStored { .. } | EngineEvent::PrefixEvicted { .. } => {}
            }
        }
        self.at(done, What::Step(engine));
    }

    fn token(&mut self, at: Timestamp, generation: u64, index: u64) {
        let Some(state) = self.open.get_mut(&generation) else { return };
        if index == 0 {
            let _ = self.out.first.record((at - state.arrived).as_micros() as u64);
            self.placer.on_first_token(generation);
        } else {
            let gap = at - state.last;
            let _ = self.out.gaps.record(gap.as_micros() as u64);
            if gap > STALL {
                self.out.stall += gap;
            }
        }
        state.tokens += 1;
        state.last = at;
        state.in_time += u64::from(at <= self.x.duration);
    }

    /// Kills the first live engine. Its generations without a token are placed again; the others are lost.
    fn kill(&mut self, now: Timestamp) {
        let Some(engine) = self.dead.iter().position(|dead| !dead) else { return };
        self.dead[engine] = true;
        let on_it: Vec<u64> =
            self.open.iter().filter(|(_, g)| g.engine == Some(engine)).map(|(id, _)| *id).collect();
        for generation in on_it {
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
