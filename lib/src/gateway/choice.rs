//! The choice of a replica by the load.
//!
//! For engines a request costs time until its first event (prompts are read one after
//! another), what it takes from the streams that run beside it, and the risk that the
//! engine's memory overflows. For plain services only the requests in flight count.

use rand::Rng;
use rand::RngExt;

use crate::gateway::load::EngineLoad;
use crate::gateway::load::GenerationSize;
use crate::gateway::load::LoadBook;
use crate::gateway::replica::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::shortage::Shortage;
use crate::ids::HallId;
use crate::ids::Timestamp;

/// A time to the first event that counts twice: it is close to the objectives, which are
/// 1.5 s and more.
const WAIT_TWICE_AS_BAD_MS: f64 = 1_000.0;
/// Milliseconds that one more running stream adds to the cost of an engine: each makes
/// every step a little longer, and is one more to move when the engine leaves.
const COST_PER_RUN_MS: f64 = 25.0;
/// Cost of a call in another hall: its bytes are priced.
const COST_OTHER_HALL_MS: f64 = 12.0;
/// Cost of a generation in another hall: where a link between halls loses 3 packets in 100, a
/// stream that crosses it stalls within a second or two. With more, halls fill unevenly and more
/// generations are lost when engines are taken away (docs/BENCHMARKS.md).
const COST_FAR_STREAM_MS: f64 = 150.0;
/// Part of an engine's memory that expected use may reach without a cost.
const MEMORY_AT_EASE: f64 = 0.7;
/// The same for generations that move: the links' time is scarcer than the memory.
const MEMORY_AT_EASE_FOR_MOVES: f64 = 0.85;
/// Part of an engine's memory that is expected to be used at the most after a new generation is admitted. The
/// rest is for what hints leave out and for those that move when other engines leave, which are worth more:
/// their callers have waited already. On modelled engines whose memory holds six long streams
/// (`test_fleet_model`), 20 days of each load: with 0.9 793 of 18,994 long streams are late at the usual load, 122 of
/// 18,997 with 0.95, 111 of 19,145 with 1.0; 0, 0 and 11 generations a day are preempted, and 32, 87 and 125 of all broken.
pub const PEAK_UP_TO: f64 = 0.95;
/// The same by what is in use and some seconds' growth, where the peak does not decide.
const ADMITS_UP_TO: f64 = 0.9;
/// Part of an engine's memory that moving generations may fill.
const MOVES_UP_TO: f64 = 1.0;
/// Cost of expecting to fill all of the memory beyond that, growing with the square.
const COST_FULL_MEMORY_MS: f64 = 4_000.0;
/// Cost of one request in flight at a plain replica, against [`COST_OTHER_HALL_MS`].
const COST_PER_CALL_MS: f64 = 30.0;
/// Cost of a move to another hall, in times that a copy takes within one: it takes twice as long,
/// on the links of both engines, and others wait for these.
const FAR_MOVE_COPIES: f64 = 3.0;
/// Random part of a cost, so that nodes which know the same don't all choose the same.
const SPREAD_MS: f64 = 8.0;
/// Cost of a plain replica all of whose answers are errors, growing with the square of their share:
/// some replicas fail one request in seven for reasons of the request.
const COST_ALL_ERRORS_MS: f64 = 600.0;
/// The same for an engine: a generation that it fails is lost, unlike a call that can be
/// repeated. One failure among its last answers outweighs five running streams.
const COST_ENGINE_ERRORS_MS: f64 = 8_000.0;
/// Cost for each failure in a row that a replica had lately.
const COST_PER_FAILURE_MS: f64 = 100.0;

/// What differs between engines and plain replicas, in milliseconds.
struct Costs {
    other_hall: f64,
    all_errors: f64,
}

const PLAIN_COSTS: Costs = Costs { other_hall: COST_OTHER_HALL_MS, all_errors: COST_ALL_ERRORS_MS };
const ENGINE_COSTS: Costs = Costs { other_hall: COST_FAR_STREAM_MS, all_errors: COST_ENGINE_ERRORS_MS };

/// An engine with what speaks for and against it.
#[derive(Clone, Copy, Debug)]
pub struct EngineChoice<'a> {
    /// The engine.
    pub replica: &'a Replica,
    /// Requests there.
    pub runs: usize,
    /// Part of its memory that is expected to be used soon, with the request.
    pub fill: f64,
    /// Whether its memory takes the request.
    pub fits: bool,
    /// Time until it has read the prompts that it was given.
    pub wait: Timestamp,
    /// The cost, in milliseconds; lower is better.
    pub cost: f64,
}

/// A generation that wants an engine, or another one.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest<'a> {
    /// Its size.
    pub size: GenerationSize,
    /// What the service's engines are.
    pub engine: &'a EngineTraits,
    /// The hall where it came in; for one that moves, where it runs.
    pub hall: &'a HallId,
    /// Tokens made so far.
    pub produced: u32,
    /// Whether it runs on another engine and moves.
    pub moves: bool,
}

impl LoadBook {
    /// The cheapest replica for a generation, among usable ones; `None` where it would
    /// overfill each.
    pub fn choose_engine<'a, R: Rng>(
        &self,
        candidates: impl Iterator<Item = &'a Replica>,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<EngineChoice<'a>> {
        let choices = candidates.map(|replica| self.consider(replica, request, now, rng));
        let fitting = choices.filter(|choice| choice.fits);
        fitting.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// The cheapest engine for a generation among those that read it soon, or what is short. The others are
    /// only asked whether they would have had memory.
    pub fn choose_engine_soon<'a, R: Rng>(
        &self,
        soon: Vec<&'a Replica>,
        later: Vec<&'a Replica>,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> Result<EngineChoice<'a>, Shortage> {
        if soon.is_empty() && later.is_empty() {
            return Err(Shortage::Engines);
        }
        if let Some(choice) = self.choose_engine(soon.into_iter(), request, now, rng) {
            return Ok(choice);
        }
        Err(if self.has_memory(later, request) { Shortage::Reading } else { Shortage::Memory })
    }

    fn has_memory(&self, engines: Vec<&Replica>, request: &EngineRequest<'_>) -> bool {
        engines.into_iter().any(|engine| self.fits(self.load_with(engine, request), request))
    }

    /// What runs at an engine, and the memory that it takes together with a generation.
    fn load_with(&self, replica: &Replica, request: &EngineRequest<'_>) -> EngineLoad {
        let mut load = self.engine_load(replica);
        load.add(request.size, request.produced);
        load
    }

    /// Whether the memory of an engine takes what it would have. One that runs nothing takes any generation.
    fn fits(&self, load: EngineLoad, request: &EngineRequest<'_>) -> bool {
        if load.runs == 0 {
            true
        } else if request.moves {
            load.fill(request.engine) <= MOVES_UP_TO
        } else if self.policy.admit_by_peak {
            load.peak(request.engine) <= PEAK_UP_TO
        } else {
            load.fill(request.engine) <= ADMITS_UP_TO
        }
    }

    /// The cheapest replica for a plain call, among usable ones.
    pub fn choose_plain<'a, R: Rng>(
        &self,
        candidates: impl Iterator<Item = &'a Replica>,
        hall: &HallId,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<&'a Replica> {
        let costs = candidates.map(|replica| {
            let calls = self.at(&replica.record.id).count() as f64;
            (calls * COST_PER_CALL_MS + self.general_cost(replica, hall, &PLAIN_COSTS, now, rng), replica)
        });
        costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, replica)| replica)
    }

    fn consider<'a, R: Rng>(
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
        let far = moves && replica.record.hall != *request.hall;
        let wait = self.reading.wait(id, now);
        // A copy goes ahead of the prompts that wait there.
        let way = if moves {
            let copy = millis(request.engine.copy_time(request.size.prompt + request.produced));
            let copies = arriving as f64 + if far { FAR_MOVE_COPIES } else { 0.0 };
            copies * copy
        } else {
            let own_time = self.reading.reading_time(replica, request.size.prompt, now);
            let first_event = millis(wait + own_time);
            first_event + first_event * first_event / WAIT_TWICE_AS_BAD_MS
        };
        let at_ease = if moves { MEMORY_AT_EASE_FOR_MOVES } else { MEMORY_AT_EASE };
        let beyond = (fill - at_ease).max(0.0) / (1.0 - at_ease);
        let cost = way
            + runs as f64 * COST_PER_RUN_MS
            + beyond * beyond * COST_FULL_MEMORY_MS
            + self.general_cost(replica, request.hall, &ENGINE_COSTS, now, rng);
        EngineChoice { replica, runs, fill, fits, wait, cost }
    }

    fn general_cost<R: Rng>(
        &self,
        replica: &Replica,
        hall: &HallId,
        costs: &Costs,
        now: Timestamp,
        rng: &mut R,
    ) -> f64 {
        let is_near = replica.record.hall == *hall || !self.policy.stay_in_hall;
        let elsewhere = if is_near { 0.0 } else { costs.other_hall };
        let failures = f64::from(replica.consecutive_failures()) * COST_PER_FAILURE_MS;
        let errors = if self.policy.avoid_errors { replica.error_share(now) } else { 0.0 };
        elsewhere + failures + errors * errors * costs.all_errors + rng.random::<f64>() * SPREAD_MS
    }
}

fn millis(duration: Timestamp) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
