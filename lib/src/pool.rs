//! The state machine of a pool's lead. It decides which engine a request is placed on, which requests wait
//! or are refused, and which generations an engine should preempt last when its memory fills up.
//!
//! Performs no I/O and is deterministic for a given seed.

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

/// Organisations, in fairness order, whose requests are tried in one placement pass.
const MAX_TRIED_ORGANISATIONS: usize = 4;
/// Requests of each organisation that are tried in one placement pass.
const MAX_TRIED_REQUESTS: usize = 8;
/// Fraction of the maximum wait after which an engine is reserved for a request.
const RESERVATION_WAIT_FRACTION: f64 = 0.25;
/// At most one engine in this many (rounded up) is reserved for requests that do not fit anywhere.
const ENGINES_PER_RESERVATION: usize = 6;
/// Priority added once to a generation that has stalled, so that its engine does not preempt it again.
const STALL_PRIORITY_BONUS: i32 = 1_000;
/// Time without a report from any entry after which a generation is assumed to have no caller.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum `retry_after` of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum `retry_after` of a refusal, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The state of a pool's lead: its engines, placements and wait queue.
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

/// Which waiting requests and engines an event makes worth trying again.
#[derive(Clone, Debug)]
enum Scope {
    /// Waiting requests on all engines.
    All,
    /// Waiting requests on this engine, which may have room again.
    Engine(UpstreamId),
    /// This new request on all engines.
    Request(OrganisationId, GenerationId),
    /// No placement is tried.
    Nothing,
}

/// Counts of a pool's engines and requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Engines that accept new generations.
    pub engines_up: usize,
    /// Engines that accept no new generations.
    pub engines_leaving: usize,
    /// Generations that are placed and have not ended.
    pub running: usize,
    /// Requests in the wait queue.
    pub waiting: usize,
}

impl Pool {
    /// Creates an empty pool. The same seed and events produce the same actions.
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

    /// Processes an event and appends the resulting actions to `actions`.
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

    /// Returns the current counts of engines and requests.
    pub fn status(&self) -> PoolStatus {
        let up = self.engines.values().filter(|t| t.state == EngineState::Up).count();
        PoolStatus {
            engines_up: up,
            engines_leaving: self.engines.len() - up,
            running: self.placements.len(),
            waiting: self.queue.len(),
        }
    }

    /// Whether the generation is placed on one of the pool's engines.
    pub fn contains(&self, generation: GenerationId) -> bool {
        self.placements.contains_key(&generation)
    }

    /// Returns the trackers of all engines, ordered by engine id.
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

    /// Refuses the last request of the organisation whose queue is longest relative to its share, to make
    /// room for `request`. Refuses `request` itself if its own organisation's queue would be at least as
    /// long.
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

    /// Predicts how long a request that arrives now would wait.
    fn predicted_wait(&self) -> Duration {
        self.start_rate.time_for(self.queue.len())
    }

    /// Processes a full report. Adopts the generation if it is unknown, or moves it if its entry runs it on
    /// another engine than the one recorded here.
    fn on_running_report(&mut self, now: Timestamp, report: RunningReport, actions: &mut Vec<PoolAction>) {
        let generation = report.request.generation;
        match self.placements.get(&generation) {
            Some(id) if *id == report.engine => self.on_progress(now, generation, report.tokens, actions),
            Some(id) => {
                let id = id.clone();
                self.engines.get_mut(&id).and_then(|tracker| tracker.remove(generation));
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

    /// Records a generation that was placed by another lead, or by an entry without a lead.
    fn adopt(&mut self, now: Timestamp, report: RunningReport) {
        self.queue.remove(report.request.generation);
        let curve = self.length_curve(&report.request);
        let Some(tracker) = self.engines.get_mut(&report.engine) else {
            return;
        };
        self.placements.insert(report.request.generation, report.engine);
        tracker.add(Run::new(report.request, report.tokens, now, curve, f64::from(report.tokens)));
    }

    /// Removes an ended generation. Returns the engine that may have room now.
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

    /// Cancels generations that no entry has reported for [`ABANDONED_TIMEOUT`]: their entry is gone and
    /// their caller has not reconnected through another entry.
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

    /// Places the first request in fairness order that fits on an engine, or on `only` if that is given.
    /// Returns whether a request was placed.
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

    /// Reserves an engine for each request that has waited long because it fits nowhere: the engine with the
    /// smallest memory shortfall. Other requests can overtake it only on engines that are not reserved.
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

    /// Returns the survival curve of a request's output length.
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

    /// Returns the engine with the lowest placement cost among those that the request may be placed on.
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
