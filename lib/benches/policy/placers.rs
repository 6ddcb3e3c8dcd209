//! The policies under test: leadstage's pool, the same pool with known output lengths (the oracle), and the
//! baselines, which forward each request immediately.
//!
//! The baselines receive the same load reports and ends, track what they placed since the latest report,
//! and have the same limits on queue length and waiting time.

use std::collections::BTreeMap;
use std::time::Duration;

use leadstage_lib::bundle::Bounds;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::pool::Pool;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::EngineLimits;
use leadstage_lib::pool_event::LoadReport;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::pool_event::PoolAction;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::pool_event::PoolPolicy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Experiment;

/// A decision of a policy.
pub enum Decision {
    Start { generation: u64, engine: usize, priority: i32 },
    Refuse { generation: u64 },
    Priority { generation: u64, engine: usize, priority: i32 },
}

/// A placement policy.
pub enum Placer {
    Lead { pool: Box<Pool>, actions: Vec<PoolAction>, knows_lengths: bool },
    Baseline(Baseline),
}

#[derive(Clone, Copy, PartialEq)]
enum BaselineKind {
    RoundRobin,
    LeastLoaded,
    PowerOfTwo,
}

/// A baseline policy.
pub struct Baseline {
    kind: BaselineKind,
    up: Vec<bool>,
    reports: Vec<LoadReport>,
    blocks_since_report: Vec<u64>,
    block_tokens: u64,
    unstarted: BTreeMap<u64, Timestamp>,
    max_queue: usize,
    max_wait: Duration,
    next: usize,
    rng: SmallRng,
    decisions: Vec<Decision>,
}

fn engine_id(engine: usize) -> UpstreamId {
    format!("{engine:04}").into()
}

fn engine_index(id: &UpstreamId) -> usize {
    id.parse().expect("identifier was made by engine_id")
}

impl Placer {
    pub fn new(name: &str, experiment: &Experiment) -> Result<Placer, String> {
        let kind = match name {
            "round_robin" => BaselineKind::RoundRobin,
            "least_loaded" => BaselineKind::LeastLoaded,
            "power_of_two" => BaselineKind::PowerOfTwo,
            "leadstage" | "oracle" => return Ok(Placer::lead(name == "oracle", experiment)),
            other => return Err(format!("unknown policy {other}")),
        };
        Ok(Placer::Baseline(Baseline {
            kind,
            up: Vec::new(),
            reports: Vec::new(),
            blocks_since_report: Vec::new(),
            block_tokens: 1,
            unstarted: BTreeMap::new(),
            max_queue: experiment.max_queue,
            max_wait: experiment.max_wait,
            next: 0,
            rng: SmallRng::seed_from_u64(experiment.seed ^ 1),
            decisions: Vec::new(),
        }))
    }

    fn lead(lengths_known: bool, experiment: &Experiment) -> Placer {
        let mut policy = PoolPolicy::new(experiment.objective, &Bounds::default());
        policy.max_queue = experiment.max_queue;
        policy.max_wait = experiment.max_wait;
        policy.overflow_chance = experiment.overflow_chance.unwrap_or(policy.overflow_chance);
        policy.shares = experiment.organisations.iter().map(|o| (o.name.clone(), o.share)).collect();
        policy.lengths_known = lengths_known;
        Placer::Lead {
            pool: Box::new(Pool::new(policy, experiment.seed)),
            actions: Vec::new(),
            knows_lengths: lengths_known,
        }
    }

    fn handle(&mut self, now: Timestamp, event: PoolEvent) {
        if let Placer::Lead { pool, actions, .. } = self {
            pool.handle(now, event, actions);
        }
    }

    pub fn on_engine(&mut self, engine: usize, limits: EngineLimits) {
        match self {
            Placer::Lead { .. } => {
                self.handle(Duration::ZERO, PoolEvent::EngineUp { engine: engine_id(engine), limits });
            }
            Placer::Baseline(baseline) => {
                baseline.up.push(true);
                baseline.reports.push(LoadReport::default());
                baseline.blocks_since_report.push(0);
                baseline.block_tokens = u64::from(limits.block_tokens);
            }
        }
    }

    /// Offers a request. Only the oracle is given its output length.
    pub fn place(&mut self, now: Timestamp, mut request: PlaceRequest, output: u64) {
        match self {
            Placer::Lead { knows_lengths, .. } => {
                if *knows_lengths {
                    request.max_tokens = output as u32;
                }
                self.handle(now, PoolEvent::Place(request));
            }
            Placer::Baseline(baseline) => baseline.place(now, &request),
        }
    }

    /// Handles the first token of a generation, of which the baselines are notified immediately.
    pub fn on_first_token(&mut self, generation: u64) {
        if let Placer::Baseline(baseline) = self {
            baseline.unstarted.remove(&generation);
        }
    }

    pub fn on_progress(&mut self, now: Timestamp, generation: u64, tokens: u32) {
        match self {
            Placer::Lead { .. } => self.handle(now, PoolEvent::Progress { generation, tokens }),
            Placer::Baseline(_) => {}
        }
    }

    pub fn on_end(&mut self, now: Timestamp, generation: u64, tokens: u32, how: EndKind) {
        match self {
            Placer::Lead { .. } => self.handle(now, PoolEvent::Ended { generation, tokens, how }),
            Placer::Baseline(baseline) => _ = baseline.unstarted.remove(&generation),
        }
    }

    pub fn on_load(&mut self, now: Timestamp, engine: usize, report: LoadReport) {
        match self {
            Placer::Lead { .. } => self.handle(now, PoolEvent::Load { engine: engine_id(engine), report }),
            Placer::Baseline(baseline) => {
                baseline.reports[engine] = report;
                baseline.blocks_since_report[engine] = 0;
            }
        }
    }

    /// Handles a failed call to the engine.
    pub fn on_failing(&mut self, now: Timestamp, engine: usize) {
        match self {
            Placer::Lead { .. } => self.handle(now, PoolEvent::EngineLeaving(engine_id(engine))),
            Placer::Baseline(baseline) => baseline.up[engine] = false,
        }
    }

    pub fn on_gone(&mut self, now: Timestamp, engine: usize) {
        self.handle(now, PoolEvent::EngineGone(engine_id(engine)));
    }

    pub fn tick(&mut self, now: Timestamp) {
        match self {
            Placer::Lead { .. } => self.handle(now, PoolEvent::Tick),
            Placer::Baseline(baseline) => baseline.refuse_overdue(now),
        }
    }

    pub fn take_decisions(&mut self) -> Vec<Decision> {
        match self {
            Placer::Lead { actions, .. } => actions.drain(..).filter_map(decision).collect(),
            Placer::Baseline(baseline) => std::mem::take(&mut baseline.decisions),
        }
    }
}

fn decision(action: PoolAction) -> Option<Decision> {
    match action {
        PoolAction::Grant { generation, engine, priority } => {
            Some(Decision::Start { generation, engine: engine_index(&engine), priority })
        }
        PoolAction::Refuse { generation, .. } => Some(Decision::Refuse { generation }),
        PoolAction::SetPriority { engine, generation, priority } => {
            Some(Decision::Priority { generation, engine: engine_index(&engine), priority })
        }
        PoolAction::Cancel { .. } => None,
    }
}

impl Baseline {
    fn place(&mut self, now: Timestamp, request: &PlaceRequest) {
        let generation = request.generation;
        let up: Vec<usize> = (0..self.up.len()).filter(|e| self.up[*e]).collect();
        if up.is_empty() || self.unstarted.len() >= self.max_queue {
            return self.decisions.push(Decision::Refuse { generation });
        }
        let engine = match self.kind {
            BaselineKind::RoundRobin => {
                self.next += 1;
                up[self.next % up.len()]
            }
            BaselineKind::LeastLoaded => self.least_loaded(up.iter().copied()),
            BaselineKind::PowerOfTwo => {
                let candidates = [0; 2].map(|_| up[self.rng.random_range(0..up.len())]);
                self.least_loaded(candidates.into_iter())
            }
        };
        self.blocks_since_report[engine] += u64::from(request.prompt_tokens).div_ceil(self.block_tokens);
        self.unstarted.insert(generation, now);
        self.decisions.push(Decision::Start { generation, engine, priority: 0 });
    }

    /// Returns the engine with the fewest waiting requests; ties are broken by the fewest blocks used,
    /// counting the prompt blocks of requests placed since the latest report.
    fn least_loaded(&self, engines: impl Iterator<Item = usize>) -> usize {
        let load = |engine: &usize| {
            let report = &self.reports[*engine];
            (report.waiting, report.used_blocks + self.blocks_since_report[*engine])
        };
        engines.min_by_key(load).expect("at least one engine is up")
    }

    fn refuse_overdue(&mut self, now: Timestamp) {
        let max_wait = self.max_wait;
        let overdue = self.unstarted.iter().filter(|(_, since)| now.saturating_sub(**since) > max_wait);
        let overdue: Vec<u64> = overdue.map(|(generation, _)| *generation).collect();
        for generation in overdue {
            self.unstarted.remove(&generation);
            self.decisions.push(Decision::Refuse { generation });
        }
    }
}
