//! The load of the replicas as a node knows it, and the choice of a replica by it.
//!
//! For engines a request costs time until its first event (prompts are read one after
//! another), what it takes from the streams that run beside it, and the risk that the
//! engine's memory overflows. For plain services only the requests in flight count.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::policy::Policy;
use crate::gateway::reading::ReadingClocks;
use crate::gateway::replicas::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::routing::ServiceId;
use crate::gateway::token_pace::GUESSED_TOKENS_PER_SECOND;
use crate::gateway::token_pace::TokenPaces;
use crate::ids::HallId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// Names one request of one node; a node's ids rise.
pub type RunId = u64;

/// Names one request in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// The node that its caller is connected to.
    pub entry: VmId,
    /// The request.
    pub run: RunId,
}

/// A time to the first event that counts twice: it is close to the objectives, which are
/// 1.5 s and more.
const WAIT_TWICE_AS_BAD_MS: f64 = 1_000.0;
/// Milliseconds that one more running stream adds to the cost of an engine: each makes
/// every step a little longer, and is one more to move when the engine leaves.
const COST_PER_RUN_MS: f64 = 25.0;
/// Seconds for which a generation is taken to grow, at most: beyond them others have ended.
const MOST_GROWTH_S: f64 = 3.0;
/// Seconds for which one is taken to grow that should have ended already.
const LEAST_GROWTH_S: f64 = 0.7;
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
/// Part of an engine's memory that new generations may fill. The rest is for those that
/// move when other engines leave, which are worth more: their callers have waited already.
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

/// The size of a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens that are expected out.
    pub expected: u32,
}

/// A request at a replica.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Run {
    /// The replica.
    pub replica: UpstreamId,
    /// Set for generations.
    pub size: Option<GenerationSize>,
    /// Tokens made so far.
    pub produced: u32,
    /// The engine that it runs on while its memory is being copied here.
    pub copied_from: Option<UpstreamId>,
}

impl Run {
    /// Tokens that it is still expected to make.
    pub fn remaining(&self) -> u32 {
        self.size.unwrap_or_default().expected.saturating_sub(self.produced)
    }
}

/// What a node knows of the requests at the replicas.
#[derive(Debug, Default)]
pub struct LoadBook {
    policy: Policy,
    /// By node: each of hundreds tells a lead of its own some times a second.
    runs: HashMap<VmId, BTreeMap<RunId, Run>>,
    by_replica: BTreeMap<UpstreamId, Vec<RunKey>>,
    /// The services of the replicas that were given requests.
    services: HashMap<UpstreamId, ServiceId>,
    reading: ReadingClocks,
    paces: TokenPaces,
}

impl LoadBook {
    /// A book without requests.
    pub fn new(policy: Policy) -> Self {
        LoadBook { policy, reading: ReadingClocks::new(policy), ..LoadBook::default() }
    }

    /// A request was given to a replica.
    pub fn add(&mut self, key: RunKey, run: Run, replica: &Replica, now: Timestamp) {
        if let Some(size) = run.size {
            self.services.insert(run.replica.clone(), replica.record.service.clone());
            if run.produced == 0 {
                self.reading.on_given(&key, replica, size.prompt, now);
            }
        }
        self.insert(key, run);
    }

    fn insert(&mut self, key: RunKey, run: Run) {
        self.take_out(&key);
        self.by_replica.entry(run.replica.clone()).or_default().push(key.clone());
        self.runs.entry(key.entry).or_default().insert(key.run, run);
    }

    /// A generation's first event came.
    pub fn on_first_event(&mut self, key: &RunKey, now: Timestamp) {
        let run = self.runs.get(&key.entry).and_then(|runs| runs.get(&key.run));
        if let Some(run) = run {
            self.reading.on_first_event(key, &run.replica, now);
        }
    }

    /// Forgets what it learnt of replicas that are gone.
    pub fn retain_replicas(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|replica, _| is_known(replica));
        self.reading.retain(is_known);
    }

    /// A request has ended, or was never sent.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        self.reading.forget(key);
        self.paces.forget(key);
        self.take_out(key)
    }

    fn take_out(&mut self, key: &RunKey) -> Option<Run> {
        let runs = self.runs.get_mut(&key.entry)?;
        let run = runs.remove(&key.run)?;
        if runs.is_empty() {
            self.runs.remove(&key.entry);
        }
        if let Some(keys) = self.by_replica.get_mut(&run.replica) {
            keys.retain(|other| other != key);
            if keys.is_empty() {
                self.by_replica.remove(&run.replica);
            }
        }
        Some(run)
    }

    /// A generation made tokens.
    pub fn on_progress(&mut self, key: &RunKey, produced: u32, now: Timestamp) {
        let Some(run) = self.get_mut(key) else {
            return;
        };
        run.produced = produced;
        let replica = run.replica.clone();
        self.note_pace(key, &replica, produced, now);
    }

    fn note_pace(&mut self, key: &RunKey, replica: &str, produced: u32, now: Timestamp) {
        if let Some(service) = self.services.get(replica).filter(|_| self.policy.learn) {
            self.paces.on_progress(key, service, produced, now);
        }
    }

    /// How fast the generations of each service make tokens.
    pub fn paces(&self) -> &TokenPaces {
        &self.paces
    }

    /// Tokens of memory that a new generation is expected to take soon.
    pub fn memory_of_new(&self, service: &str, size: GenerationSize) -> f64 {
        soon(size, 0, self.paces.tokens_per_second(service))
    }

    /// Time that a usual engine of a service needs for a prompt.
    pub fn usual_reading_time(&self, service: &str, size: GenerationSize) -> Duration {
        self.reading.usual_time(service, size.prompt)
    }

    /// Tokens of memory that a request is expected to take soon.
    pub fn memory(&self, run: &Run) -> f64 {
        let service = self.services.get(&run.replica);
        let pace = service.map_or(GUESSED_TOKENS_PER_SECOND, |service| self.paces.tokens_per_second(service));
        run.size.map_or(0.0, |size| soon(size, run.produced, pace))
    }

    /// A copy is complete.
    pub fn on_copied(&mut self, key: &RunKey) {
        if let Some(run) = self.get_mut(key) {
            run.copied_from = None;
        }
    }

    /// Copies that are under way from an engine.
    pub fn copies_from(&self, engine: &str) -> usize {
        self.iter().map(|(_, run)| run).filter(|run| run.copied_from.as_deref() == Some(engine)).count()
    }

    /// All generations of a node, as it reports them. Those that it had started by then
    /// and does not name have ended; `last` is the newest that it had started.
    pub fn on_inventory(&mut self, entry: &VmId, runs: Vec<(RunId, Run)>, last: RunId, now: Timestamp) {
        let named: HashSet<RunId> = runs.iter().map(|(run, _)| *run).collect();
        let known = self.runs.get(entry).into_iter().flat_map(|runs| runs.range(..=last));
        let ended: Vec<RunId> = known.map(|(run, _)| *run).filter(|run| !named.contains(run)).collect();
        for run in ended {
            self.remove(&RunKey { entry: entry.clone(), run });
        }
        for (run, report) in runs {
            let key = RunKey { entry: entry.clone(), run };
            self.note_pace(&key, &report.replica, report.produced, now);
            self.insert(key, report);
        }
    }

    /// A node is gone, and its requests with it.
    pub fn on_entry_gone(&mut self, entry: &VmId) {
        self.on_inventory(entry, Vec::new(), RunId::MAX, Timestamp::ZERO);
    }

    /// A request.
    pub fn get(&self, key: &RunKey) -> Option<&Run> {
        self.runs.get(&key.entry)?.get(&key.run)
    }

    fn get_mut(&mut self, key: &RunKey) -> Option<&mut Run> {
        self.runs.get_mut(&key.entry)?.get_mut(&key.run)
    }

    /// The requests of a node.
    pub fn of_entry(&self, entry: &VmId) -> impl Iterator<Item = (RunId, &Run)> {
        self.runs.get(entry).into_iter().flatten().map(|(run, it)| (*run, it))
    }

    /// All requests, with the node that each came to.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Run)> {
        self.runs.iter().flat_map(|(entry, runs)| runs.values().map(move |run| (entry, run)))
    }

    /// The requests at a replica.
    pub fn at<'a>(&'a self, replica: &str) -> impl Iterator<Item = (&'a RunKey, &'a Run)> {
        let keys = self.by_replica.get(replica).into_iter().flatten();
        keys.filter_map(|key| self.get(key).map(|run| (key, run)))
    }

    /// The part of an engine's memory that is expected to be used soon.
    pub fn fill(&self, replica: &str, engine: &EngineTraits) -> f64 {
        let expected: f64 = self.at(replica).map(|(_, run)| self.memory(run)).sum();
        expected / f64::from(engine.memory_tokens.max(1))
    }

    /// The cheapest replica for a generation, among usable ones; `None` where it would
    /// overfill each.
    pub fn choose_engine<'a, R: Rng>(
        &self,
        candidates: impl Iterator<Item = &'a Replica>,
        request: &EngineRequest<'_>,
        now: Timestamp,
        rng: &mut R,
    ) -> Option<EngineChoice<'a>> {
        let most = if request.moves { MOVES_UP_TO } else { ADMITS_UP_TO };
        let choices = candidates.map(|replica| self.consider(replica, request, now, rng));
        let fitting = choices.filter(|choice| choice.fill <= most || choice.runs == 0);
        fitting.min_by(|a, b| a.cost.total_cmp(&b.cost))
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
        let arriving = self.at(id).filter(|(_, run)| run.copied_from.is_some()).count();
        let far = moves && replica.record.hall != *request.hall;
        let wait = self.reading.wait(id, now);
        let runs = self.at(id).count();
        let pace = self.paces.tokens_per_second(&replica.record.service);
        let own = soon(request.size, request.produced, pace);
        let fill = self.fill(id, request.engine) + own / f64::from(request.engine.memory_tokens.max(1));
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
        EngineChoice { replica, runs, fill, wait, cost }
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
        let failures = f64::from(replica.failures()) * COST_PER_FAILURE_MS;
        let errors = if self.policy.avoid_errors { replica.errors(now) } else { 0.0 };
        elsewhere + failures + errors * errors * costs.all_errors + rng.random::<f64>() * SPREAD_MS
    }
}

/// An engine with what speaks for and against it.
#[derive(Clone, Copy, Debug)]
pub struct EngineChoice<'a> {
    /// The engine.
    pub replica: &'a Replica,
    /// Requests there.
    pub runs: usize,
    /// Part of its memory that is expected to be used, with the request.
    pub fill: f64,
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

/// Tokens of memory that a generation takes within the horizon.
fn soon(size: GenerationSize, produced: u32, tokens_per_second: f64) -> f64 {
    let remaining = f64::from(size.expected.saturating_sub(produced));
    let growth = remaining.clamp(LEAST_GROWTH_S * tokens_per_second, MOST_GROWTH_S * tokens_per_second);
    f64::from(size.prompt) + f64::from(produced) + growth
}

fn millis(duration: Timestamp) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
