//! A node's view of the load of the replicas: the requests there, how fast prompts are prefilled, and
//! how fast generations produce tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::engine_pace;
use crate::gateway::engine_pace::EnginePaces;
use crate::gateway::engine_pace::GapRisk;
use crate::gateway::engine_pace::StreamProgress;
use crate::gateway::policy::Policy;
use crate::gateway::prefill::PrefillClocks;
use crate::gateway::replica::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunId;
use crate::gateway::run_key::RunKey;
use crate::gateway::token_pace::DEFAULT_TOKENS_PER_SECOND;
use crate::gateway::token_pace::TokenPaces;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// Longest time, in seconds, for which the growth of a generation is counted. Beyond it, others will
/// have ended.
const MAX_GROWTH_S: f64 = 3.0;
/// Shortest time, in seconds, for which growth is counted, also for a generation that should have ended
/// already.
const MIN_GROWTH_S: f64 = 0.7;
/// Tokens that a long generation has still to produce, of which others count as a part.
pub const USUAL_REMAINING_TOKENS: u32 = 500;
/// Longest prefill that may be queued at an engine when a generation that can wait is assigned to it.
/// This much keeps the engine busy until the next generation arrives, some tens of milliseconds after a
/// prefill has ended. A generation that would wait longer there waits at the lead, which can still let
/// others go first and choose another engine.
pub const MAX_QUEUED_PREFILL: Duration = Duration::from_millis(300);

/// The size of a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct GenerationSize {
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Expected number of output tokens.
    pub expected: u32,
}

/// A request at a replica.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Run {
    /// The replica.
    pub replica: UpstreamId,
    /// Set for generations.
    pub size: Option<GenerationSize>,
    /// Number of tokens produced so far.
    pub produced: u32,
    /// While its memory is being copied to the replica: the engine on which it still runs.
    pub copied_from: Option<UpstreamId>,
    /// The organisation that it is accounted to; `None` if the configuration has no organisations.
    pub organisation: Option<OrganisationId>,
    /// For generations, the longest gap between two events that still counts as in time; `None` once a
    /// gap was longer, as the generation has nothing more to lose.
    #[serde(deserialize_with = "bounded_duration::optional")]
    pub gap_objective: Option<Duration>,
    /// Longest gap between two events in about the last second, other than that of a move; zero if there
    /// was none.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub longest_gap: Duration,
}

impl Run {
    /// Number of tokens that it is still expected to produce.
    pub fn remaining(&self) -> u32 {
        self.size.unwrap_or_default().expected.saturating_sub(self.produced)
    }
}

/// Tracks the requests at the replicas, as far as a node knows them.
#[derive(Debug, Default)]
pub struct LoadTracker {
    /// The mechanisms that are enabled.
    pub policy: Policy,
    /// The requests of each replica, stored together: a choice examines all requests of some tens
    /// of engines.
    by_replica: BTreeMap<UpstreamId, Vec<(RunKey, Run)>>,
    /// The replica of each request, by entry node. Each of hundreds of nodes reports its own requests
    /// to a lead several times a second.
    placements: HashMap<VmId, BTreeMap<RunId, UpstreamId>>,
    /// The services of the replicas that requests were assigned to.
    services: HashMap<UpstreamId, ServiceId>,
    /// When engines will have prefilled the prompts assigned to them.
    pub prefill: PrefillClocks,
    paces: TokenPaces,
    engine_paces: EnginePaces,
}

impl LoadTracker {
    /// Creates a tracker without requests.
    pub fn new(policy: Policy) -> Self {
        LoadTracker { policy, prefill: PrefillClocks::new(policy), ..LoadTracker::default() }
    }

    /// Records that a request was assigned to a replica.
    pub fn add(&mut self, key: RunKey, run: Run, replica: &Replica, now: Timestamp) {
        if let Some(size) = run.size {
            self.services.insert(run.replica.clone(), replica.record.service.clone());
            if run.produced == 0 {
                self.prefill.on_assigned(&key, replica, size.prompt, now);
            }
        }
        self.insert(key, run);
    }

    fn insert(&mut self, key: RunKey, run: Run) {
        self.remove_run(&key);
        self.placements.entry(key.entry.clone()).or_default().insert(key.run, run.replica.clone());
        self.by_replica.entry(run.replica.clone()).or_default().push((key, run));
    }

    /// Handles the first event of a generation.
    pub fn on_first_event(&mut self, key: &RunKey, now: Timestamp) {
        let replica = self.placements.get(&key.entry).and_then(|placements| placements.get(&key.run));
        if let Some(replica) = replica {
            self.prefill.on_first_event(key, replica, now);
        }
    }

    /// Drops what is known of replicas that are gone.
    pub fn retain_replicas(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|replica, _| is_known(replica));
        self.engine_paces.retain(&is_known);
        self.prefill.retain(is_known);
    }

    /// Handles the restart of a replica: the requests assigned to it are gone, and so are copies from
    /// it that had not finished.
    pub fn on_restarted(&mut self, replica: &str) {
        let runs: Vec<RunKey> = self.runs_at(replica).map(|(key, _)| key.clone()).collect();
        runs.iter().for_each(|key| {
            self.remove(key);
        });
        self.prefill.retain(|engine| engine != replica);
        self.engine_paces.retain(|engine| engine != replica);
        let runs = self.by_replica.values_mut().flatten().map(|(_, run)| run);
        for copy in runs.filter(|run| run.copied_from.as_deref() == Some(replica)) {
            copy.copied_from = None;
        }
    }

    /// Removes a request that has ended or was never sent.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        self.prefill.forget(key);
        self.paces.forget(key);
        self.engine_paces.forget(key);
        self.remove_run(key)
    }

    fn remove_run(&mut self, key: &RunKey) -> Option<Run> {
        let placements = self.placements.get_mut(&key.entry)?;
        let replica = placements.remove(&key.run)?;
        if placements.is_empty() {
            self.placements.remove(&key.entry);
        }
        let runs = self.by_replica.get_mut(&replica)?;
        let at = runs.iter().position(|(other, _)| other == key)?;
        let (_, run) = runs.remove(at);
        if runs.is_empty() {
            self.by_replica.remove(&replica);
        }
        Some(run)
    }

    /// Records how many tokens a generation has produced.
    pub fn on_progress(&mut self, key: &RunKey, produced: u32, now: Timestamp) {
        let Some(run) = self.get_mut(key) else {
            return;
        };
        run.produced = produced;
        let run = run.clone();
        if let Some(longest_gap) = self.record_pace(key, &run, None, now)
            && let Some(run) = self.get_mut(key)
        {
            run.longest_gap = longest_gap;
        }
    }

    /// Records gaps between the events of a stream of this node since the last call: the longest one, and
    /// the longest one other than that of a move.
    pub fn on_gaps(&mut self, key: &RunKey, longest: Duration, longest_at_engine: Duration) {
        if let Some(run) = self.get_mut(key) {
            run.gap_objective = run.gap_objective.filter(|objective| longest <= *objective);
        }
        self.engine_paces.on_gap(key, longest_at_engine);
    }

    /// Learns from the progress of a generation; returns its longest gap if that is complete.
    fn record_pace(
        &mut self,
        key: &RunKey,
        run: &Run,
        reported_gap: Option<Duration>,
        now: Timestamp,
    ) -> Option<Duration> {
        let service = self.services.get(&run.replica).filter(|_| self.policy.learn)?;
        self.paces.on_progress(key, service, run.produced, now);
        let is_reading = self.prefill.has_read_since(&run.replica, now.saturating_sub(engine_pace::SPAN));
        let progress = StreamProgress {
            engine: &run.replica,
            produced: run.produced,
            is_copied: run.copied_from.is_some(),
            reported_gap,
            is_reading,
        };
        self.engine_paces.on_progress(key, service, &progress, now)
    }

    /// The risk of streams at an engine to exceed a gap objective. An engine whose streams were not observed
    /// yet is assumed to produce tokens as much slower than others as it prefills.
    pub fn gap_risk(&self, replica: &Replica, objective: Duration) -> GapRisk {
        let record = &replica.record;
        let prefill_factor = self.prefill.relative_time(&record.id);
        self.engine_paces.risk(&record.service, &record.id, objective, prefill_factor)
    }

    /// How many generations at an engine have a gap objective to keep, other than `except`. One that is about
    /// to end counts in part.
    pub fn endangered_at(&self, engine: &str, except: Option<&RunKey>) -> f64 {
        let runs =
            self.runs_at(engine).filter(|(key, run)| run.gap_objective.is_some() && Some(*key) != except);
        runs.map(|(_, run)| (f64::from(run.remaining()) / f64::from(USUAL_REMAINING_TOKENS)).min(1.0)).sum()
    }

    /// Forgets how fast the engines of a service produce tokens. A node that begins to lead it knows only the
    /// prompts that it sent there itself, so it took seconds beside others' prompts for quiet ones.
    pub fn on_lead(&mut self, service: &ServiceId) {
        let services = &self.services;
        self.engine_paces.forget_service(service, |engine| services.get(engine) == Some(service));
    }

    /// How fast each engine produces tokens.
    pub fn engine_paces(&self) -> &EnginePaces {
        &self.engine_paces
    }

    /// How fast the generations of each service produce tokens.
    pub fn paces(&self) -> &TokenPaces {
        &self.paces
    }

    /// Tokens of memory that a generation of a service is expected to use soon.
    pub fn memory_of(&self, service: &str, size: GenerationSize, produced: u32) -> f64 {
        near_term_memory(size, produced, self.paces.tokens_per_second(service))
    }

    /// Tokens of memory that a request is expected to use soon.
    pub fn memory(&self, run: &Run) -> f64 {
        let service = self.services.get(&run.replica);
        let pace = service.map_or(DEFAULT_TOKENS_PER_SECOND, |service| self.paces.tokens_per_second(service));
        run.size.map_or(0.0, |size| near_term_memory(size, run.produced, pace))
    }

    /// Records that the copy of a generation's memory is complete.
    pub fn on_copied(&mut self, key: &RunKey) {
        if let Some(run) = self.get_mut(key) {
            run.copied_from = None;
        }
    }

    /// Number of copies that are under way from an engine.
    pub fn copies_from(&self, engine: &str) -> usize {
        self.iter().map(|(_, run)| run).filter(|run| run.copied_from.as_deref() == Some(engine)).count()
    }

    /// Takes in a node's report of its requests with the given ids. Known requests in this range that
    /// the report omits have ended. It may also contain requests with ids outside the range.
    pub fn on_inventory(
        &mut self,
        entry: &VmId,
        ids: RangeInclusive<RunId>,
        runs: Vec<(RunId, Run)>,
        now: Timestamp,
    ) {
        let reported: HashSet<RunId> = runs.iter().map(|(run, _)| *run).collect();
        let known =
            self.placements.get(entry).into_iter().flat_map(|placements| placements.range(*ids.start()..));
        let known = known.map(|(run, _)| *run).take_while(|run| ids.contains(run));
        let ended: Vec<RunId> = known.filter(|run| !reported.contains(run)).collect();
        for run in ended {
            self.remove(&RunKey { entry: entry.clone(), run });
        }
        for (run, report) in runs {
            let key = RunKey { entry: entry.clone(), run };
            self.record_pace(&key, &report, Some(report.longest_gap), now);
            self.insert(key, report);
        }
    }

    /// Drops a node that is gone, and its requests.
    pub fn on_entry_gone(&mut self, entry: &VmId) {
        self.on_inventory(entry, 0..=RunId::MAX, Vec::new(), Timestamp::ZERO);
    }

    /// The request with this key.
    pub fn get(&self, key: &RunKey) -> Option<&Run> {
        let replica = self.placements.get(&key.entry)?.get(&key.run)?;
        self.runs_at(replica).find(|(other, _)| *other == key).map(|(_, run)| run)
    }

    fn get_mut(&mut self, key: &RunKey) -> Option<&mut Run> {
        let replica = self.placements.get(&key.entry)?.get(&key.run)?;
        let runs = self.by_replica.get_mut(replica)?;
        runs.iter_mut().find(|(other, _)| other == key).map(|(_, run)| run)
    }

    /// The requests that arrived at a node.
    pub fn runs_of_entry(&self, entry: &VmId) -> impl Iterator<Item = (RunId, &Run)> {
        let keys = self.placements.get(entry).into_iter().flat_map(BTreeMap::keys);
        keys.filter_map(|run| {
            let key = RunKey { entry: entry.clone(), run: *run };
            Some((*run, self.get(&key)?))
        })
    }

    /// All requests, each with its entry node.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Run)> {
        self.by_replica.values().flatten().map(|(key, run)| (&key.entry, run))
    }

    /// The replicas that have requests.
    pub fn busy_replicas(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_replica.keys()
    }

    /// The requests at a replica.
    pub fn runs_at<'a>(&'a self, replica: &str) -> impl Iterator<Item = (&'a RunKey, &'a Run)> {
        self.by_replica.get(replica).into_iter().flatten().map(|(key, run)| (key, run))
    }

    /// Whether a generation that can wait may be assigned to an engine: the engine is idle, or will
    /// have finished its prefills within [`MAX_QUEUED_PREFILL`].
    pub fn has_prefill_capacity(&self, replica: &str, now: Timestamp) -> bool {
        self.prefill.wait(replica, now) <= MAX_QUEUED_PREFILL || self.runs_at(replica).next().is_none()
    }

    /// Computes the load of an engine in one pass over its requests. A lead compares up to 64 engines
    /// for each generation; with 8 generations at each engine this takes 16 to 23 us, compared with 50
    /// to 62 us if each generation is looked up by its key, and 161 to 225 us with one pass for each
    /// figure.
    pub fn engine_load(&self, replica: &Replica) -> EngineLoad {
        let pace = self.paces.tokens_per_second(&replica.record.service);
        let runs = self.by_replica.get(&replica.record.id).map_or(&[][..], Vec::as_slice);
        // Leaves room for the generation that is considered for this engine.
        let growths = Vec::with_capacity(runs.len() + 1);
        let mut load = EngineLoad { pace, growths, ..EngineLoad::default() };
        for (_, run) in runs {
            load.runs += 1;
            load.arriving += usize::from(run.copied_from.is_some());
            if let Some(size) = run.size {
                load.add(size, run.produced);
            }
        }
        load
    }
}

/// The load of an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    /// Number of requests there.
    pub runs: usize,
    /// Number of generations among them whose memory is being copied to the engine.
    pub arriving: usize,
    /// Tokens that a generation produces in a second.
    pace: f64,
    near_term_memory: f64,
    growths: Vec<Growth>,
}

impl EngineLoad {
    /// Adds a further generation, which runs there or is considered for it.
    pub fn add(&mut self, size: GenerationSize, produced: u32) {
        self.near_term_memory += near_term_memory(size, produced, self.pace);
        self.growths.push(growth(size, produced, self.pace));
    }

    /// Part of the engine's memory that is expected to be used soon.
    pub fn fill(&self, engine: &EngineTraits) -> f64 {
        self.near_term_memory / f64::from(engine.memory_tokens.max(1))
    }

    /// Largest part of the engine's memory that is expected to be used at any time until its
    /// generations have ended.
    pub fn peak(self, engine: &EngineTraits) -> f64 {
        expected_peak(self.growths) / f64::from(engine.memory_tokens.max(1))
    }
}

/// Memory use of a generation at an engine: the tokens that it holds, and those that it has still to
/// produce.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    /// Number of tokens that it holds there.
    pub held: f64,
    /// Number of tokens that it is expected to add before it ends.
    pub remaining: f64,
}

/// Largest number of tokens that generations are expected to hold together at any time. All of them
/// produce tokens equally fast, so when one ends, each generation that still runs has grown by that one's
/// remaining tokens.
pub fn expected_peak(mut growths: Vec<Growth>) -> f64 {
    growths.sort_by(|a, b| b.remaining.total_cmp(&a.remaining));
    let mut held = 0.0;
    let peaks = growths.iter().enumerate().map(|(before, growth)| {
        held += growth.held;
        held + (before + 1) as f64 * growth.remaining
    });
    peaks.fold(0.0, f64::max)
}

/// Growth of a generation. One that should have ended already is expected to continue for a while.
fn growth(size: GenerationSize, produced: u32, tokens_per_second: f64) -> Growth {
    let remaining = f64::from(size.expected.saturating_sub(produced)).max(MIN_GROWTH_S * tokens_per_second);
    Growth { held: f64::from(size.prompt) + f64::from(produced), remaining }
}

/// Tokens of memory that a generation is expected to use within [`MAX_GROWTH_S`].
fn near_term_memory(size: GenerationSize, produced: u32, tokens_per_second: f64) -> f64 {
    let remaining = f64::from(size.expected.saturating_sub(produced));
    let growth = remaining.clamp(MIN_GROWTH_S * tokens_per_second, MAX_GROWTH_S * tokens_per_second);
    f64::from(size.prompt) + f64::from(produced) + growth
}
