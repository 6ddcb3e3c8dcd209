//! The load of the replicas as a node knows it: the requests there, how fast prompts are read, and
//! how fast generations make tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::policy::Policy;
use crate::gateway::reading::ReadingClocks;
use crate::gateway::replica::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunId;
use crate::gateway::run_key::RunKey;
use crate::gateway::token_pace::GUESSED_TOKENS_PER_SECOND;
use crate::gateway::token_pace::TokenPaces;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// Seconds for which a generation is taken to grow, at most: beyond them others have ended.
const MOST_GROWTH_S: f64 = 3.0;
/// Seconds for which one is taken to grow that should have ended already.
const LEAST_GROWTH_S: f64 = 0.7;
/// Reading that an engine may have ahead when a generation that can wait is given to it. So much keeps
/// it at work until the next one comes, some tens of milliseconds after one was read. What would wait
/// there longer waits at the lead, which can still let others go first and choose another engine.
pub const READS_AHEAD: Duration = Duration::from_millis(300);
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
    /// What is switched on.
    pub policy: Policy,
    /// The requests at each replica, together: a choice looks at all of some tens of engines.
    by_replica: BTreeMap<UpstreamId, Vec<(RunKey, Run)>>,
    /// Where each one is, by node: each of hundreds tells a lead of its own some times a second.
    places: HashMap<VmId, BTreeMap<RunId, UpstreamId>>,
    /// The services of the replicas that were given requests.
    services: HashMap<UpstreamId, ServiceId>,
    /// When engines will have read what they were given.
    pub reading: ReadingClocks,
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
                self.reading.on_assigned(&key, replica, size.prompt, now);
            }
        }
        self.insert(key, run);
    }

    fn insert(&mut self, key: RunKey, run: Run) {
        self.take_out(&key);
        self.places.entry(key.entry.clone()).or_default().insert(key.run, run.replica.clone());
        self.by_replica.entry(run.replica.clone()).or_default().push((key, run));
    }

    /// A generation's first event came.
    pub fn on_first_event(&mut self, key: &RunKey, now: Timestamp) {
        let replica = self.places.get(&key.entry).and_then(|places| places.get(&key.run));
        if let Some(replica) = replica {
            self.reading.on_first_event(key, replica, now);
        }
    }

    /// Forgets what it learnt of replicas that are gone.
    pub fn retain_replicas(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|replica, _| is_known(replica));
        self.reading.retain(is_known);
    }

    /// A replica has started again: nothing of what it was given is there, nor of what was copied from it.
    pub fn on_restarted(&mut self, replica: &str) {
        let there: Vec<RunKey> = self.at(replica).map(|(key, _)| key.clone()).collect();
        there.iter().for_each(|key| {
            self.remove(key);
        });
        self.reading.retain(|engine| engine != replica);
        let runs = self.by_replica.values_mut().flatten().map(|(_, run)| run);
        for copy in runs.filter(|run| run.copied_from.as_deref() == Some(replica)) {
            copy.copied_from = None;
        }
    }

    /// A request has ended, or was never sent.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        self.reading.forget(key);
        self.paces.forget(key);
        self.take_out(key)
    }

    fn take_out(&mut self, key: &RunKey) -> Option<Run> {
        let places = self.places.get_mut(&key.entry)?;
        let replica = places.remove(&key.run)?;
        if places.is_empty() {
            self.places.remove(&key.entry);
        }
        let there = self.by_replica.get_mut(&replica)?;
        let at = there.iter().position(|(other, _)| other == key)?;
        let (_, run) = there.remove(at);
        if there.is_empty() {
            self.by_replica.remove(&replica);
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

    /// Tokens of memory that a generation of a service is expected to take soon.
    pub fn memory_of(&self, service: &str, size: GenerationSize, produced: u32) -> f64 {
        soon(size, produced, self.paces.tokens_per_second(service))
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

    /// All requests of a node with the given ids, as it reports them: those that it does not name
    /// have ended. It may name some with other ids beside them.
    pub fn on_inventory(
        &mut self,
        entry: &VmId,
        ids: RangeInclusive<RunId>,
        runs: Vec<(RunId, Run)>,
        now: Timestamp,
    ) {
        let named: HashSet<RunId> = runs.iter().map(|(run, _)| *run).collect();
        let known = self.places.get(entry).into_iter().flat_map(|places| places.range(*ids.start()..));
        let known = known.map(|(run, _)| *run).take_while(|run| ids.contains(run));
        let ended: Vec<RunId> = known.filter(|run| !named.contains(run)).collect();
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
        self.on_inventory(entry, 0..=RunId::MAX, Vec::new(), Timestamp::ZERO);
    }

    /// A request.
    pub fn get(&self, key: &RunKey) -> Option<&Run> {
        let replica = self.places.get(&key.entry)?.get(&key.run)?;
        self.at(replica).find(|(other, _)| *other == key).map(|(_, run)| run)
    }

    fn get_mut(&mut self, key: &RunKey) -> Option<&mut Run> {
        let replica = self.places.get(&key.entry)?.get(&key.run)?;
        let there = self.by_replica.get_mut(replica)?;
        there.iter_mut().find(|(other, _)| other == key).map(|(_, run)| run)
    }

    /// The requests of a node.
    pub fn of_entry(&self, entry: &VmId) -> impl Iterator<Item = (RunId, &Run)> {
        let keys = self.places.get(entry).into_iter().flat_map(BTreeMap::keys);
        keys.filter_map(|run| {
            let key = RunKey { entry: entry.clone(), run: *run };
            Some((*run, self.get(&key)?))
        })
    }

    /// All requests, with the node that each came to.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Run)> {
        self.by_replica.values().flatten().map(|(key, run)| (&key.entry, run))
    }

    /// The replicas that have requests.
    pub fn busy(&self) -> impl Iterator<Item = &UpstreamId> {
        self.by_replica.keys()
    }

    /// The requests at a replica.
    pub fn at<'a>(&'a self, replica: &str) -> impl Iterator<Item = (&'a RunKey, &'a Run)> {
        self.by_replica.get(replica).into_iter().flatten().map(|(key, run)| (key, run))
    }

    /// Whether a generation that can wait may be given to an engine: it will have read what it was given
    /// within [`READS_AHEAD`], or has nothing to do.
    pub fn reads_soon(&self, replica: &str, now: Timestamp) -> bool {
        self.reading.wait(replica, now) <= READS_AHEAD || self.at(replica).next().is_none()
    }

    /// What runs at an engine, in one pass over what is kept together: a lead weighs up to 64 engines for each
    /// generation, which takes 16 to 23 us so with 8 generations at each, 50 to 62 us where each generation is looked
    /// up by its name, and 161 to 225 us with a pass for each figure (decision bench, beside other load).
    pub fn engine_load(&self, replica: &Replica) -> EngineLoad {
        let pace = self.paces.tokens_per_second(&replica.record.service);
        let there = self.by_replica.get(&replica.record.id).map_or(&[][..], Vec::as_slice);
        // One more is weighed with those that are there.
        let growths = Vec::with_capacity(there.len() + 1);
        let mut load = EngineLoad { pace, growths, ..EngineLoad::default() };
        for (_, run) in there {
            load.runs += 1;
            load.arriving += usize::from(run.copied_from.is_some());
            if let Some(size) = run.size {
                load.add(size, run.produced);
            }
        }
        load
    }
}

/// What runs at an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    /// Requests there.
    pub runs: usize,
    /// Of these, generations whose memory is being copied here.
    pub arriving: usize,
    /// Tokens that a generation makes in a second.
    pace: f64,
    soon: f64,
    growths: Vec<Growth>,
}

impl EngineLoad {
    /// A further generation, which runs there or would.
    pub fn add(&mut self, size: GenerationSize, produced: u32) {
        self.soon += soon(size, produced, self.pace);
        self.growths.push(growth(size, produced, self.pace));
    }

    /// The part of the engine's memory that is expected to be used soon.
    pub fn fill(&self, engine: &EngineTraits) -> f64 {
        self.soon / f64::from(engine.memory_tokens.max(1))
    }

    /// The part that is expected to be used at the most until what is there has ended.
    pub fn peak(self, engine: &EngineTraits) -> f64 {
        expected_peak(self.growths) / f64::from(engine.memory_tokens.max(1))
    }
}

/// What a generation takes of an engine's memory: tokens now, and tokens that it is still to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    /// Tokens that it has there.
    pub now: f64,
    /// Tokens that it is expected to add before it ends.
    pub to_come: f64,
}

/// The most tokens that generations are expected to hold together at any time. All make tokens equally fast, so
/// each time one ends, those that go on have grown by what it had to come.
pub fn expected_peak(mut growths: Vec<Growth>) -> f64 {
    growths.sort_by(|a, b| b.to_come.total_cmp(&a.to_come));
    let mut held = 0.0;
    let peaks = growths.iter().enumerate().map(|(before, growth)| {
        held += growth.now;
        held + (before + 1) as f64 * growth.to_come
    });
    peaks.fold(0.0, f64::max)
}

/// A generation's growth. One that should have ended already goes on for a while.
fn growth(size: GenerationSize, produced: u32, tokens_per_second: f64) -> Growth {
    let to_come = f64::from(size.expected.saturating_sub(produced)).max(LEAST_GROWTH_S * tokens_per_second);
    Growth { now: f64::from(size.prompt) + f64::from(produced), to_come }
}

/// Tokens of memory that a generation takes within the horizon.
fn soon(size: GenerationSize, produced: u32, tokens_per_second: f64) -> f64 {
    let remaining = f64::from(size.expected.saturating_sub(produced));
    let growth = remaining.clamp(LEAST_GROWTH_S * tokens_per_second, MOST_GROWTH_S * tokens_per_second);
    f64::from(size.prompt) + f64::from(produced) + growth
}
