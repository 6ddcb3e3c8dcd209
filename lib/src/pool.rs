//! The lead of a pool: which engine takes a request, which requests wait, and which
//! stream gives way when an engine fills up. Sans-I/O and seeded.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::code::Code;
use crate::engine_tracker::EngineState;
use crate::engine_tracker::EngineTracker;
use crate::engine_tracker::Run;
use crate::fair_queue::FairQueue;
use crate::fair_queue::QueuedRequest;
use crate::ids::GenerationId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::length_model::LengthModel;
use crate::overflow::Footprint;
use crate::overflow::Margins;
use crate::overflow::Projection;
use crate::placement;
use crate::placement::Candidate;
use crate::pool_event::EndKind;
use crate::pool_event::PlaceRequest;
use crate::pool_event::PoolAction;
use crate::pool_event::PoolEvent;
use crate::pool_event::PoolPolicy;
use crate::pool_event::RunningReport;
use crate::prefix_map::PrefixMap;
use crate::start_rate::StartRate;
use crate::survival::SurvivalCurve;

/// Organisations whose requests are tried when the first one's do not fit.
const MAX_TRIED_ORGANISATIONS: usize = 4;
/// Requests of each that are tried.
const MAX_TRIED_REQUESTS: usize = 8;
/// Part of the bounded wait after which an engine is kept free for a request.
const RESERVATION_WAIT_FRACTION: f64 = 0.25;
/// Engines kept free for requests that do not fit, one in this many.
const ENGINES_PER_RESERVATION: usize = 6;
/// Priority added to a generation that was pushed off its engine once.
const STALL_PRIORITY_BONUS: i32 = 1_000;
/// A generation that no entry speaks of for this long has no caller any more.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(20);
/// Least time to come back that a refusal tells.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time to come back that a refusal tells.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The lead's state.
#[derive(Debug)]
pub struct Pool {
    policy: PoolPolicy,
    margins: Margins,
    lengths: LengthModel,
    queue: FairQueue,
    engines: BTreeMap<UpstreamId, EngineTracker>,
    placements: HashMap<GenerationId, UpstreamId>,
    prefixes: PrefixMap,
    start_rate: StartRate,
    reserved: BTreeMap<UpstreamId, GenerationId>,
    rng: SmallRng,
}

/// What has changed, so that only that is tried again.
#[derive(Clone, Debug)]
enum Scope {
    /// Time has passed: everything.
    All,
    /// This engine may have room again.
    Engine(UpstreamId),
    /// This request is new.
    Request(OrganisationId, GenerationId),
    /// Nothing.
    Nothing,
}

/// Counts for status and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Engines that get new work.
    pub engines_up: usize,
    /// Engines that do not.
    pub engines_leaving: usize,
    /// Generations placed and not ended.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl Pool {
    /// An empty pool; the same seed and events give the same actions.
    pub fn new(policy: PoolPolicy, seed: u64) -> Self {
        let mut pool = Pool {
            margins: Margins::default(),
            lengths: LengthModel::default(),
            queue: FairQueue::default(),
            engines: BTreeMap::new(),
            placements: HashMap::new(),
            prefixes: PrefixMap::default(),
            start_rate: StartRate::default(),
            reserved: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            policy,
        };
        pool.apply_policy();
        pool
    }

    /// Takes an event in and adds what follows from it to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        let scope = match event {
            PoolEvent::Place(request) => {
                let (organisation, generation) = (request.organisation.clone(), request.generation);
                self.enqueue(now, request, actions);
                Scope::Request(organisation, generation)
            }
            PoolEvent::Withdraw(generation) => {
                self.queue.remove(generation);
                Scope::Nothing
            }
            PoolEvent::Running(report) => {
                self.on_running_report(now, report, actions);
                Scope::Nothing
            }
            PoolEvent::Progress { generation, tokens } => {
                self.on_progress(now, generation, tokens, actions);
                Scope::Nothing
            }
            PoolEvent::Ended { generation, tokens, how } => self.on_ended(generation, tokens, how),
            PoolEvent::Load { engine, report } => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.apply_load_report(&report, now);
                }
                Scope::Engine(engine)
            }
            PoolEvent::EngineUp { engine, limits } => {
                let id = engine.clone();
                let tracker =
                    self.engines.entry(id).or_insert_with_key(|id| EngineTracker::new(id.clone(), limits));
                tracker.limits = limits;
                tracker.state = EngineState::Up;
                Scope::Engine(engine)
            }
            PoolEvent::EngineLeaving(engine) => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.state = EngineState::Leaving;
                }
                Scope::Nothing
            }
            PoolEvent::EngineGone(engine) => {
                self.remove_engine(&engine);
                Scope::Nothing
            }
            PoolEvent::Prefix { engine, prefix, stored } => {
                self.prefixes.record(&engine, prefix, stored);
                Scope::Nothing
            }
            PoolEvent::EntryGone(entry) => {
                for waiting in self.queue.remove_by_entry(&entry) {
                    self.refuse(waiting.request.generation, Code::NotReady, actions);
                }
                Scope::Nothing
            }
            PoolEvent::Policy(policy) => {
                self.policy = policy;
                self.apply_policy();
                Scope::All
            }
            PoolEvent::Tick => {
                self.on_tick(now, actions);
                Scope::All
            }
        };
        self.place_waiting(now, &scope, actions);
    }

    /// Counts for status and tests.
    pub fn status(&self) -> PoolStatus {
        let up = self.engines.values().filter(|t| t.state == EngineState::Up).count();
        PoolStatus {
            engines_up: up,
            engines_leaving: self.engines.len() - up,
            running: self.placements.len(),
            waiting: self.queue.len(),
        }
    }

    /// Whether the lead has this generation in its books.
    pub fn contains(&self, generation: GenerationId) -> bool {
        self.placements.contains_key(&generation)
    }

    /// The books of all engines, by id.
    pub fn engines(&self) -> impl Iterator<Item = &EngineTracker> {
        self.engines.values()
    }

    fn apply_policy(&mut self) {
        self.margins = Margins::new(self.policy.overflow_chance);
        self.queue.set_shares(&self.policy.shares);
    }

    fn enqueue(&mut self, now: Timestamp, request: PlaceRequest, actions: &mut Vec<PoolAction>) {
        let up = self.engines.values().any(|t| t.state == EngineState::Up);
        if !up {
            return self.refuse(request.generation, Code::NoUpstream, actions);
        }
        if self.predicted_wait() > self.policy.max_wait {
            return self.refuse_longest(now, request, Code::WaitTooLong, actions);
        }
        if self.queue.len() >= self.policy.max_queue.max(1) {
            return self.refuse_longest(now, request, Code::QueueFull, actions);
        }
        self.queue.push(request, now);
    }

    /// Refuses the newest request of the organisation that fills the queue beyond its
    /// share, or else the one that came.
    fn refuse_longest(
        &mut self,
        now: Timestamp,
        request: PlaceRequest,
        code: Code,
        actions: &mut Vec<PoolAction>,
    ) {
        match self.queue.displace_for(&request.organisation) {
            Some(displaced) => {
                self.queue.push(request, now);
                self.refuse(displaced.request.generation, code, actions);
            }
            None => self.refuse(request.generation, code, actions),
        }
    }

    fn refuse(&mut self, generation: GenerationId, code: Code, actions: &mut Vec<PoolAction>) {
        let base = self.predicted_wait().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter: f64 = self.rng.random_range(0.75..1.5);
        actions.push(PoolAction::Refuse { generation, code, retry_after: base.mul_f64(jitter) });
    }

    /// How long a request that came now would wait.
    fn predicted_wait(&self) -> Duration {
        self.start_rate.time_for(self.queue.len())
    }

    /// Takes a full report in: one of an unknown generation, or of one that its entry
    /// runs elsewhere than the books say, is adopted.
    fn on_running_report(&mut self, now: Timestamp, report: RunningReport, actions: &mut Vec<PoolAction>) {
        let generation = report.request.generation;
        match self.placements.get(&generation) {
            Some(engine_id) if *engine_id == report.engine => {
                self.on_progress(now, generation, report.tokens, actions)
            }
            Some(engine_id) => {
                let engine_id = engine_id.clone();
                self.engines.get_mut(&engine_id).and_then(|tracker| tracker.remove(generation));
                self.placements.remove(&generation);
                self.adopt(now, report);
            }
            None => self.adopt(now, report),
        }
    }

    fn on_progress(
        &mut self,
        now: Timestamp,
        generation: GenerationId,
        tokens: u32,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(tracker) =
            self.placements.get(&generation).and_then(|engine_id| self.engines.get_mut(engine_id))
        else {
            return;
        };
        let (step, engine) = (tracker.step, tracker.id.clone());
        let Some(run) = tracker.run_mut(generation) else {
            return;
        };
        if run.has_stalled(now, tokens, step) && run.priority < STALL_PRIORITY_BONUS {
            run.priority += STALL_PRIORITY_BONUS;
            actions.push(PoolAction::SetPriority { engine, generation, priority: run.priority });
        }
        let uncharged = f64::from(tokens) - run.charged;
        if uncharged > 0.0 {
            run.charged += uncharged;
            self.queue.charge(&run.request.organisation, uncharged);
        }
        tracker.record_progress(generation, tokens, now);
    }

    /// Takes a generation into the books that another lead, or an entry alone, placed.
    fn adopt(&mut self, now: Timestamp, report: RunningReport) {
        self.queue.remove(report.request.generation);
        let curve = self.length_curve(&report.request);
        let Some(tracker) = self.engines.get_mut(&report.engine) else {
            return;
        };
        self.placements.insert(report.request.generation, report.engine);
        tracker.add(Run::new(report.request, report.tokens, now, curve, f64::from(report.tokens)));
    }

    /// Takes an end into the books; returns what may have room now.
    fn on_ended(&mut self, generation: GenerationId, tokens: u32, how: EndKind) -> Scope {
        let Some(engine) = self.placements.remove(&generation) else {
            self.queue.remove(generation);
            return Scope::Nothing;
        };
        let Some(run) = self.engines.get_mut(&engine).and_then(|t| t.remove(generation)) else {
            return Scope::Nothing;
        };
        let organisation = &run.request.organisation;
        let is_complete = how == EndKind::Finished && tokens < run.request.max_tokens;
        self.lengths.observe(organisation, tokens, is_complete);
        self.queue.charge(organisation, f64::from(tokens) - run.charged);
        if run.request.prefix != 0 {
            self.prefixes.record(&engine, run.request.prefix, true);
        }
        Scope::Engine(engine)
    }

    fn remove_engine(&mut self, engine: &UpstreamId) {
        let Some(tracker) = self.engines.remove(engine) else {
            return;
        };
        self.prefixes.remove_engine(engine);
        for run in tracker.runs {
            self.placements.remove(&run.request.generation);
            self.lengths.observe(&run.request.organisation, run.tokens, false);
            self.queue.charge(&run.request.organisation, f64::from(run.tokens) - run.charged);
        }
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        if now > self.policy.max_wait {
            let expired = self.queue.remove_older(now - self.policy.max_wait);
            for waiting in expired {
                self.refuse(waiting.request.generation, Code::WaitTooLong, actions);
            }
        }
        self.start_rate.tick(now, self.queue.is_empty());
        self.cancel_abandoned(now, actions);
    }

    /// Cancels generations whose entry is gone and whose caller did not come back
    /// through another one in time.
    fn cancel_abandoned(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        let mut abandoned = Vec::new();
        for tracker in self.engines.values() {
            let unreported =
                tracker.runs.iter().filter(|r| now.saturating_sub(r.reported_at) > ABANDONED_TIMEOUT);
            abandoned.extend(unreported.map(|r| (tracker.id.clone(), r.request.generation, r.tokens)));
        }
        for (engine, generation, tokens) in abandoned {
            self.on_ended(generation, tokens, EndKind::Cancelled);
            actions.push(PoolAction::Cancel { engine, generation });
        }
    }

    fn place_waiting(&mut self, now: Timestamp, scope: &Scope, actions: &mut Vec<PoolAction>) {
        match scope {
            Scope::Nothing => {}
            Scope::Request(organisation, generation) => {
                let waiting = self.queue.get(organisation, *generation).map(|w| w.request.clone());
                let Some(request) = waiting else { return };
                if let Some(engine) = self.choose_engine(now, &request, None) {
                    self.grant(now, &request, engine, actions);
                }
            }
            Scope::Engine(engine) => while self.place_next(now, Some(engine), actions) {},
            Scope::All => {
                self.reserve_engines(now);
                while self.place_next(now, None, actions) {}
            }
        }
    }

    /// Places the first request, in the order of fairness, that fits; on `only` this
    /// engine, if one is given. Returns whether one did.
    fn place_next(
        &mut self,
        now: Timestamp,
        only: Option<&UpstreamId>,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        for request in self.next_requests() {
            if let Some(engine) = self.choose_engine(now, &request, only) {
                self.grant(now, &request, engine, actions);
                return true;
            }
        }
        false
    }

    fn next_requests(&self) -> Vec<PlaceRequest> {
        let organisations = self.queue.next_organisations(MAX_TRIED_ORGANISATIONS);
        let next = organisations.iter().flat_map(|o| self.queue.first_requests(o, MAX_TRIED_REQUESTS));
        next.map(|waiting| waiting.request.clone()).collect()
    }

    /// Keeps an engine free for each of the requests that have waited long because they
    /// fit nowhere: the one where the least is missing. Others may overtake them on
    /// the rest of the engines only.
    fn reserve_engines(&mut self, now: Timestamp) {
        self.reserved.clear();
        let reserve_after = self.policy.max_wait.mul_f64(RESERVATION_WAIT_FRACTION);
        let max_reserved = self.engines.len().div_ceil(ENGINES_PER_RESERVATION);
        for organisation in self.queue.next_organisations(MAX_TRIED_ORGANISATIONS) {
            let Some(waiting) = self.queue.first_requests(&organisation, 1).next().cloned() else {
                continue;
            };
            if self.reserved.len() >= max_reserved || now.saturating_sub(waiting.queued_at) <= reserve_after {
                continue;
            }
            if let Some(engine) = self.engine_with_least_shortfall(now, &waiting.request) {
                self.reserved.insert(engine, waiting.request.generation);
            }
        }
    }

    fn engine_with_least_shortfall(&mut self, now: Timestamp, request: &PlaceRequest) -> Option<UpstreamId> {
        let margins = self.margins;
        let added = self.projection_of(request);
        let mut best: Option<(f64, UpstreamId)> = None;
        for tracker in self.engines.values_mut().filter(|t| t.state == EngineState::Up) {
            if self.reserved.contains_key(&tracker.id) {
                continue;
            }
            let shortfall = tracker.projection(now).bound_with(&added, &margins) - tracker.usable_tokens();
            if best.as_ref().is_none_or(|(least, _)| shortfall < *least) {
                best = Some((shortfall, tracker.id.clone()));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// The curve of a request's length.
    fn length_curve(&self, request: &PlaceRequest) -> Rc<SurvivalCurve> {
        if self.policy.lengths_known {
            return Rc::new(SurvivalCurve::never_ending());
        }
        self.lengths.curve(&request.organisation)
    }

    fn projection_of(&self, request: &PlaceRequest) -> Projection {
        let footprint = Footprint {
            prompt: f64::from(request.prompt_tokens),
            produced: 0.0,
            cap: f64::from(request.max_tokens),
        };
        Projection::of(&footprint, &self.length_curve(request))
    }

    /// The engine where the request costs least, among those that may take it.
    fn choose_engine(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        only: Option<&UpstreamId>,
    ) -> Option<UpstreamId> {
        let added = self.projection_of(request);
        let mut best: Option<(f64, UpstreamId)> = None;
        let all = (Bound::Unbounded, Bound::Unbounded);
        let range = only.map_or(all, |id| (Bound::Included(id), Bound::Included(id)));
        for tracker in self.engines.range_mut::<UpstreamId, _>(range).map(|(_, tracker)| tracker) {
            if self.reserved.get(&tracker.id).is_some_and(|generation| *generation != request.generation) {
                continue;
            }
            let candidate = Candidate {
                request,
                added: &added,
                has_prefix: self.prefixes.is_cached(&tracker.id, request.prefix),
                objective: self.policy.objective,
                margins: &self.margins,
            };
            let cost_limit = best.as_ref().map_or(f64::INFINITY, |(cost, _)| *cost);
            if let Some(cost) = placement::cost(tracker, &candidate, now, cost_limit) {
                best = Some((cost, tracker.id.clone()));
            }
        }
        best.map(|(_, engine)| engine)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        engine: UpstreamId,
        actions: &mut Vec<PoolAction>,
    ) {
        let generation = request.generation;
        let Some(QueuedRequest { request, .. }) = self.queue.dequeue(&request.organisation, generation)
        else {
            return;
        };
        let curve = self.length_curve(&request);
        let charged = curve.mean(f64::from(request.max_tokens));
        self.queue.charge(&request.organisation, charged);
        self.start_rate.count();
        self.reserved.retain(|_, reserved| *reserved != generation);
        let priority = request.priority;
        if let Some(tracker) = self.engines.get_mut(&engine) {
            tracker.add(Run::new(request, 0, now, curve, charged));
        }
        self.placements.insert(generation, engine.clone());
        actions.push(PoolAction::Grant { generation, engine, priority });
    }
}
