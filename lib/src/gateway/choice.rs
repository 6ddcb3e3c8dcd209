//! Chooses a replica by its load.
//!
//! An engine's cost consists of the time until the first event (an engine prefills one prompt after
//! another), the slowdown of the streams that run beside the new one, and the risk that the engine's
//! memory overflows. For plain services only the requests in flight count.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::load::EngineLoad;
use crate::gateway::load::GenerationSize;
use crate::gateway::load::LoadTracker;
use crate::gateway::replica::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::shortage::Shortage;
use crate::ids::HallId;
use crate::ids::Timestamp;

/// Time to the first event at which its cost is doubled. It is close to the objectives, which are 1.5 s
/// and more.
const FIRST_EVENT_DOUBLING_MS: f64 = 1_000.0;
/// Cost of each running stream, in milliseconds: every stream makes each step of the engine a little
/// longer, and is one more to move when the engine leaves.
const COST_PER_RUN_MS: f64 = 25.0;
/// Cost of a plain call to another hall: traffic between halls is charged for.
const COST_CROSS_HALL_CALL_MS: f64 = 12.0;
/// Cost of a generation in another hall. Where a link between halls loses 3 packets in 100, a stream
/// that crosses it stalls within a second or two. With a higher cost, halls fill unevenly and more
/// generations are lost when engines are taken away (docs/BENCHMARKS.md).
const COST_CROSS_HALL_STREAM_MS: f64 = 150.0;
/// Part of an engine's memory that expected use may reach without a cost.
const MAX_FILL_WITHOUT_COST: f64 = 0.7;
/// The same for generations that move: bandwidth of the links is scarcer than memory.
const MAX_FILL_WITHOUT_COST_FOR_MOVES: f64 = 0.85;
/// Largest expected peak of an engine's memory, as a part of it, up to which a new generation is
/// admitted. The rest is a reserve for requests whose length hints are too low and for generations that
/// move when other engines leave; these matter more, as their callers have waited already. In the fleet
/// model (`test_fleet_model`), with engines whose memory holds six long streams and 20 days of each
/// load: at the usual load 793 of 18,994 long streams are late with 0.9, 122 of 18,997 with 0.95, and
/// 111 of 19,145 with 1.0. In the same order, 0, 0 and 11 generations a day are preempted, and 32, 87
/// and 125 of all generations are broken.
pub const MAX_EXPECTED_PEAK: f64 = 0.95;
/// Largest near-term fill of an engine's memory up to which a new generation is admitted, if the
/// expected peak does not decide.
const MAX_ADMISSION_FILL: f64 = 0.9;
/// Largest near-term fill of an engine's memory up to which a moving generation is admitted.
const MAX_MOVE_FILL: f64 = 1.0;
/// Cost of an engine whose memory is expected to be full. Beyond the fill without a cost, it grows with
/// the square.
const COST_FULL_MEMORY_MS: f64 = 4_000.0;
/// Cost of one request in flight at a plain replica, to be compared with [`COST_CROSS_HALL_CALL_MS`].
const COST_PER_CALL_MS: f64 = 30.0;
/// Cost of a move to another hall, in multiples of the time of a copy within a hall: the copy takes
/// twice as long, occupies the links of both engines, and delays other copies on them.
const CROSS_HALL_MOVE_COPIES: f64 = 3.0;
/// Random part of a cost. Without it, nodes with the same knowledge would all choose the same replica.
const COST_JITTER_MS: f64 = 8.0;
/// Cost of a plain replica whose answers are all errors; it grows with the square of their share. Some
/// replicas fail one request in seven because of the request itself.
const COST_ALL_ERRORS_MS: f64 = 600.0;
/// The same for an engine. A generation that fails there is lost, unlike a call, which can be repeated.
/// One failure among its last answers outweighs five running streams.
const COST_ENGINE_ERRORS_MS: f64 = 8_000.0;
/// Cost of each recent consecutive failure of a replica.
const COST_PER_FAILURE_MS: f64 = 100.0;

/// Largest cost of a new generation's own gaps: that of a move to an engine where they are short.
const MAX_OWN_GAP_COST_MS: f64 = 1_500.0;

/// Costs that differ between engines and plain replicas, in milliseconds.
struct Costs {
    other_hall: f64,
    all_errors: f64,
    each_failure: f64,
}

const PLAIN_COSTS: Costs = Costs {
    other_hall: COST_CROSS_HALL_CALL_MS,
    all_errors: COST_ALL_ERRORS_MS,
    each_failure: COST_PER_FAILURE_MS,
};
/// Where the pace of replicas that failed is limited, a cost of failures would keep them idle: only an answer
/// takes it away, and calls go elsewhere as long as other replicas have room.
const PACED_PLAIN_COSTS: Costs = Costs { each_failure: 0.0, ..PLAIN_COSTS };
const ENGINE_COSTS: Costs = Costs {
    other_hall: COST_CROSS_HALL_STREAM_MS,
    all_errors: COST_ENGINE_ERRORS_MS,
    each_failure: COST_PER_FAILURE_MS,
};

/// An engine with the figures that decide whether it is chosen.
#[derive(Clone, Copy, Debug)]
pub struct EngineChoice<'a> {
    /// The engine.
    pub replica: &'a Replica,
    /// Number of requests at the engine.
    pub runs: usize,
    /// Part of its memory that is expected to be used soon, including the request.
    pub fill: f64,
    /// Whether its memory admits the request.
    pub fits: bool,
    /// Time until it has prefilled the prompts that were assigned to it.
    pub wait: Timestamp,
    /// Cost of gaps that are expected to exceed their objective there, in milliseconds.
    pub gap_cost: f64,
    /// Its cost in milliseconds, with that of gaps; lower is better.
    pub cost: f64,
}

/// A generation that needs an engine, or a different one.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest<'a> {
    /// Its size.
    pub size: GenerationSize,
    /// The traits of the service's engines.
    pub engine: &'a EngineTraits,
    /// The hall where it arrived; for a generation that moves, the hall where it runs.
    pub hall: &'a HallId,
    /// Number of tokens produced so far.
    pub produced: u32,
    /// Whether it runs on another engine and moves.
    pub moves: bool,
    /// The longest gap between two events that still counts as in time, if it has kept it so far; `None` also
    /// if its engine is leaving, as a late copy breaks it, which is worse than long gaps.
    pub gap_objective: Option<Duration>,
}

impl LoadTracker {
    /// Returns the cheapest of the given usable engines for a generation, or `None` if none of them
    /// admits it.
    pub fn choose_engine<'a, R: Rng>(
        &self,
        candidates: impl Iterator<Item = &'a Replica>,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<EngineChoice<'a>> {
        let choices = candidates.map(|replica| self.evaluate(replica, request, now, rng));
        let fitting = choices.filter(|choice| choice.fits);
        fitting.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the cheapest engine for a generation among `available` ones, which can start its prefill
    /// soon, or what is short. Engines in `backlogged` are only checked for whether their memory would
    /// admit it.
    pub fn choose_engine_or_shortage<'a, R: Rng>(
        &self,
        available: Vec<&'a Replica>,
        backlogged: Vec<&'a Replica>,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> Result<EngineChoice<'a>, Shortage> {
        if available.is_empty() && backlogged.is_empty() {
            return Err(Shortage::Engines);
        }
        if let Some(choice) = self.choose_engine(available.into_iter(), request, now, rng) {
            return Ok(choice);
        }
        Err(if self.has_memory(backlogged, request) { Shortage::Prefill } else { Shortage::Memory })
    }

    fn has_memory(&self, engines: Vec<&Replica>, request: &EngineRequest<'_>) -> bool {
        engines.into_iter().any(|engine| self.fits(self.load_with(engine, request), request))
    }

    /// Load of an engine with a further generation.
    fn load_with(&self, replica: &Replica, request: &EngineRequest<'_>) -> EngineLoad {
        let mut load = self.engine_load(replica);
        load.add(request.size, request.produced);
        load
    }

    /// Whether the memory of an engine admits this load. An engine that runs nothing admits any
    /// generation.
    fn fits(&self, load: EngineLoad, request: &EngineRequest<'_>) -> bool {
        if load.runs == 0 {
            true
        } else if request.moves {
            load.fill(request.engine) <= MAX_MOVE_FILL
        } else if self.policy.admit_by_peak {
            load.peak(request.engine) <= MAX_EXPECTED_PEAK
        } else {
            load.fill(request.engine) <= MAX_ADMISSION_FILL
        }
    }

    /// Returns the cheapest of the given usable replicas for a plain call. If `is_paced`, the pace of those
    /// that failed is limited in place of a cost of their failures.
    pub fn choose_plain<'a, R: Rng>(
        &self,
        candidates: impl Iterator<Item = &'a Replica>,
        hall: &HallId,
        is_paced: bool,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<&'a Replica> {
        let general_costs = if is_paced && self.policy.ramp_up { &PACED_PLAIN_COSTS } else { &PLAIN_COSTS };
        let costs = candidates.map(|replica| {
            let calls = self.runs_at(&replica.record.id).count() as f64;
            (calls * COST_PER_CALL_MS + self.general_cost(replica, hall, general_costs, now, rng), replica)
        });
        costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, replica)| replica)
    }

    fn evaluate<'a, R: Rng>(
        &self,
        replica: &'a Replica,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> EngineChoice<'a> {
        let id = &replica.record.id;
        let moves = request.moves;
        let load = self.load_with(replica, request);
        let (runs, arriving, fill) = (load.runs, load.arriving, load.fill(request.engine));
        let fits = self.fits(load, request);
        let crosses_halls = moves && replica.record.hall != *request.hall;
        let wait = self.prefill.wait(id, now);
        // A copy does not wait for the prompts that are queued there.
        let delay_cost = if moves {
            let copy = millis(request.engine.copy_time(request.size.prompt + request.produced));
            let copies = arriving as f64 + if crosses_halls { CROSS_HALL_MOVE_COPIES } else { 0.0 };
            copies * copy
        } else {
            let prefill = self.prefill.prefill_time(replica, request.size.prompt, now);
            let first_event = millis(wait + prefill);
            first_event + first_event * first_event / FIRST_EVENT_DOUBLING_MS
        };
        let max_free_fill = if moves { MAX_FILL_WITHOUT_COST_FOR_MOVES } else { MAX_FILL_WITHOUT_COST };
        let excess = (fill - max_free_fill).max(0.0) / (1.0 - max_free_fill);
        let gap_cost = self.gap_cost(replica, request);
        let cost = delay_cost
            + runs as f64 * COST_PER_RUN_MS
            + excess * excess * COST_FULL_MEMORY_MS
            + gap_cost
            + self.general_cost(replica, request.hall, &ENGINE_COSTS, now, rng);
        EngineChoice { replica, runs, fill, fits, wait, gap_cost, cost }
    }

    /// Cost of the gaps that are expected to exceed their objective: those of the generation itself and, if
    /// its prompt is to be prefilled, those of the generations that run there.
    fn gap_cost(&self, replica: &Replica, request: &EngineRequest<'_>) -> f64 {
        if !self.policy.protect_gaps {
            return 0.0;
        }
        let service = &replica.record.service;
        let own = request.gap_objective.map_or(0.0, |objective| {
            let remaining = request.size.expected.saturating_sub(request.produced);
            let others = self.endangered_at(&replica.record.id, None);
            let risk = self.gap_risk(replica, objective).beside(others);
            risk.over(remaining) * self.loss_by_gap(service, request.size)
        });
        // A new generation that is in danger moves on once its prompt is prefilled.
        if request.moves { own } else { own.min(MAX_OWN_GAP_COST_MS) + self.gap_cost_of_prompt(replica) }
    }

    /// Cost of a prompt for the generations at an engine whose gaps have kept their objective so far.
    fn gap_cost_of_prompt(&self, replica: &Replica) -> f64 {
        let tokens_per_second = self.paces().tokens_per_second(&replica.record.service);
        let risk = |objective| self.gap_risk(replica, objective).reading;
        // The generations of a service have few different objectives.
        let mut last = None;
        let costs = self.runs_at(&replica.record.id).filter_map(|(_, run)| {
            let (objective, remaining) = (run.gap_objective?, run.remaining());
            if remaining == 0 {
                return None;
            }
            let chance = match last {
                Some((known, chance)) if known == objective => chance,
                _ => risk(objective),
            };
            last = Some((objective, chance));
            if chance == 0.0 {
                return None;
            }
            // All of its output is lost, but weighing by what remains leaves one alone that is about to end: it
            // is unlikely to still run when the prompt is prefilled.
            Some(chance * f64::from(remaining) * 1_000.0 / tokens_per_second)
        });
        costs.sum()
    }

    /// Loss if a generation's gap exceeds its objective, in milliseconds: the time that an engine spends on
    /// its output, as its caller would not be served in time after all. A short one loses little.
    pub fn loss_by_gap(&self, service: &str, size: GenerationSize) -> f64 {
        f64::from(size.expected) * 1_000.0 / self.paces().tokens_per_second(service)
    }

    fn general_cost<R: Rng>(
        &self,
        replica: &Replica,
        hall: &HallId,
        costs: &Costs,
        now: Timestamp,
        rng: &mut R,
    ) -> f64 {
        let is_local = replica.record.hall == *hall || !self.policy.stay_in_hall;
        let hall_cost = if is_local { 0.0 } else { costs.other_hall };
        let failures = f64::from(replica.consecutive_failures()) * costs.each_failure;
        let errors = if self.policy.avoid_errors { replica.error_share(now) } else { 0.0 };
        hall_cost + failures + errors * errors * costs.all_errors + rng.random::<f64>() * COST_JITTER_MS
    }
}

fn millis(duration: Timestamp) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
