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
use crate::engine_book::EngineBook;
use crate::engine_book::EngineState;
use crate::engine_book::Run;
use crate::fair_queue::FairQueue;
use crate::fair_queue::Waiting;
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
const TRIED_ORGANISATIONS: usize = 4;
/// Requests of each that are tried.
const TRIED_REQUESTS: usize = 8;
/// Part of the bounded wait after which an engine is kept free for a request.
const RESERVED_AFTER: f64 = 0.25;
/// Engines kept free for requests that do not fit, one in this many.
const RESERVED_DIVISOR: usize = 6;
/// Priority added to a generation that was pushed off its engine once.
const PROTECTED: i32 = 1_000;
/// A generation that no entry speaks of for this long has no caller any more.
const ABANDONED_AFTER: Duration = Duration::from_secs(20);
/// Least time to come back that a refusal tells.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time to come back that a refusal tells.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The lead's state.
#[derive(Debug)]
pub struct Pool {
    policy: PoolPolicy,
    margins: Margins,
    lengths: LengthModel,
    queue: FairQueue,
    engines: BTreeMap<UpstreamId, EngineBook>,
    places: HashMap<GenerationId, UpstreamId>,
    prefixes: PrefixMap,
    starts: StartRate,
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
            places: HashMap::new(),
            prefixes: PrefixMap::default(),
            starts: StartRate::default(),
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
                self.run(now, report, actions);
                Scope::Nothing
            }
            PoolEvent::Progress { generation, tokens } => {
                self.advance(now, generation, tokens, actions);
                Scope::Nothing
            }
            PoolEvent::Ended { generation, tokens, how } => self.end(generation, tokens, how),
            PoolEvent::Load { engine, report } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.correct(&report, now);
                }
                Scope::Engine(engine)
            }
            PoolEvent::EngineUp { engine, limits } => {
                let id = engine.clone();
                let book =
                    self.engines.entry(id).or_insert_with_key(|id| EngineBook::new(id.clone(), limits));
                book.limits = limits;
                book.state = EngineState::Up;
                Scope::Engine(engine)
            }
            PoolEvent::EngineLeaving(engine) => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.state = EngineState::Leaving;
                }
                Scope::Nothing
            }
            PoolEvent::EngineGone(engine) => {
                self.drop_engine(&engine);
                Scope::Nothing
            }
            PoolEvent::Prefix { engine, prefix, stored } => {
                self.prefixes.learn(&engine, prefix, stored);
                Scope::Nothing
            }
            PoolEvent::EntryGone(entry) => {
                for waiting in self.queue.remove_entry(&entry) {
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
                self.tick(now, actions);
                Scope::All
            }
        };
        self.place_waiting(now, &scope, actions);
    }

    /// Counts for status and tests.
    pub fn status(&self) -> PoolStatus {
        let up = self.engines.values().filter(|b| b.state == EngineState::Up).count();
        PoolStatus {
            engines_up: up,
            engines_leaving: self.engines.len() - up,
            running: self.places.len(),
            waiting: self.queue.len(),
        }
    }

    /// Whether the lead has this generation in its books.
    pub fn knows(&self, generation: GenerationId) -> bool {
        self.places.contains_key(&generation)
    }

    /// The books of all engines, by id.
    pub fn books(&self) -> impl Iterator<Item = &EngineBook> {
        self.engines.values()
    }

    fn apply_policy(&mut self) {
        self.margins = Margins::new(self.policy.overflow_chance);
        self.queue.set_shares(&self.policy.shares);
    }

    fn enqueue(&mut self, now: Timestamp, request: PlaceRequest, actions: &mut Vec<PoolAction>) {
        let up = self.engines.values().any(|b| b.state == EngineState::Up);
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
        let base = self.predicted_wait().clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        let jitter: f64 = self.rng.random_range(0.75..1.5);
        actions.push(PoolAction::Refuse { generation, code, retry_after: base.mul_f64(jitter) });
    }

    /// How long a request that came now would wait.
    fn predicted_wait(&self) -> Duration {
        self.starts.time_for(self.queue.len())
    }

    /// Takes a full report in: one of an unknown generation, or of one that its entry
    /// runs elsewhere than the books say, is adopted.
    fn run(&mut self, now: Timestamp, report: RunningReport, actions: &mut Vec<PoolAction>) {
        let generation = report.request.generation;
        match self.places.get(&generation) {
            Some(place) if *place == report.engine => self.advance(now, generation, report.tokens, actions),
            Some(place) => {
                let place = place.clone();
                self.engines.get_mut(&place).and_then(|book| book.remove(generation));
                self.places.remove(&generation);
                self.adopt(now, report);
            }
            None => self.adopt(now, report),
        }
    }

    fn advance(
        &mut self,
        now: Timestamp,
        generation: GenerationId,
        tokens: u32,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(book) = self.places.get(&generation).and_then(|place| self.engines.get_mut(place)) else {
            return;
        };
        let (step, engine) = (book.step, book.id.clone());
        let Some(run) = book.run_mut(generation) else {
            return;
        };
        if run.has_stalled(now, tokens, step) && run.priority < PROTECTED {
            run.priority += PROTECTED;
            actions.push(PoolAction::SetPriority { engine, generation, priority: run.priority });
        }
        let beyond = f64::from(tokens) - run.charged;
        if beyond > 0.0 {
            run.charged += beyond;
            self.queue.charge(&run.request.organisation, beyond);
        }
        book.advance(generation, tokens, now);
    }

    /// Takes a generation into the books that another lead, or an entry alone, placed.
    fn adopt(&mut self, now: Timestamp, report: RunningReport) {
        self.queue.remove(report.request.generation);
        let curve = self.curve(&report.request);
        let Some(book) = self.engines.get_mut(&report.engine) else {
            return;
        };
        self.places.insert(report.request.generation, report.engine);
        book.add(Run::new(report.request, report.tokens, now, curve, f64::from(report.tokens)));
    }

    /// Takes an end into the books; returns what may have room now.
    fn end(&mut self, generation: GenerationId, tokens: u32, how: EndKind) -> Scope {
        let Some(engine) = self.places.remove(&generation) else {
            self.queue.remove(generation);
            return Scope::Nothing;
        };
        let Some(run) = self.engines.get_mut(&engine).and_then(|b| b.remove(generation)) else {
            return Scope::Nothing;
        };
        let organisation = &run.request.organisation;
        let by_itself = how == EndKind::Finished && tokens < run.request.max_tokens;
        self.lengths.observe(organisation, tokens, by_itself);
        self.queue.charge(organisation, f64::from(tokens) - run.charged);
        if run.request.prefix != 0 {
            self.prefixes.learn(&engine, run.request.prefix, true);
        }
        Scope::Engine(engine)
    }

    fn drop_engine(&mut self, engine: &UpstreamId) {
        let Some(book) = self.engines.remove(engine) else {
            return;
        };
        self.prefixes.forget(engine);
        for run in book.runs {
            self.places.remove(&run.request.generation);
            self.lengths.observe(&run.request.organisation, run.tokens, false);
            self.queue.charge(&run.request.organisation, f64::from(run.tokens) - run.charged);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        if now > self.policy.max_wait {
            let late = self.queue.remove_older(now - self.policy.max_wait);
            for waiting in late {
                self.refuse(waiting.request.generation, Code::WaitTooLong, actions);
            }
        }
        self.starts.tick(now, self.queue.is_empty());
        self.cancel_abandoned(now, actions);
    }

    /// Cancels generations whose entry is gone and whose caller did not come back
    /// through another one in time.
    fn cancel_abandoned(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        let mut abandoned = Vec::new();
        for book in self.engines.values() {
            let silent = book.runs.iter().filter(|r| now.saturating_sub(r.heard) > ABANDONED_AFTER);
            abandoned.extend(silent.map(|r| (book.id.clone(), r.request.generation, r.tokens)));
        }
        for (engine, generation, tokens) in abandoned {
            self.end(generation, tokens, EndKind::Cancelled);
            actions.push(PoolAction::Cancel { engine, generation });
        }
    }

    fn place_waiting(&mut self, now: Timestamp, scope: &Scope, actions: &mut Vec<PoolAction>) {
        match scope {
            Scope::Nothing => {}
            Scope::Request(organisation, generation) => {
                let waiting = self.queue.get(organisation, *generation).map(|w| w.request.clone());
                let Some(request) = waiting else { return };
                if let Some(engine) = self.choose(now, &request, None) {
                    self.grant(now, &request, engine, actions);
                }
            }
            Scope::Engine(engine) => while self.place_next(now, Some(engine), actions) {},
            Scope::All => {
                self.reserve(now);
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
            if let Some(engine) = self.choose(now, &request, only) {
                self.grant(now, &request, engine, actions);
                return true;
            }
        }
        false
    }

    fn next_requests(&self) -> Vec<PlaceRequest> {
        let organisations = self.queue.order(TRIED_ORGANISATIONS);
        let next = organisations.iter().flat_map(|o| self.queue.next_of(o, TRIED_REQUESTS));
        next.map(|waiting| waiting.request.clone()).collect()
    }

    /// Keeps an engine free for each of the requests that have waited long because they
    /// fit nowhere: the one where the least is missing. Others may overtake them on
    /// the rest of the engines only.
    fn reserve(&mut self, now: Timestamp) {
        self.reserved.clear();
        let patience = self.policy.max_wait.mul_f64(RESERVED_AFTER);
        let most = self.engines.len().div_ceil(RESERVED_DIVISOR);
        for organisation in self.queue.order(TRIED_ORGANISATIONS) {
            let Some(waiting) = self.queue.next_of(&organisation, 1).next().cloned() else {
                continue;
            };
            if self.reserved.len() >= most || now.saturating_sub(waiting.since) <= patience {
                continue;
            }
            if let Some(engine) = self.least_missing(now, &waiting.request) {
                self.reserved.insert(engine, waiting.request.generation);
            }
        }
    }

    fn least_missing(&mut self, now: Timestamp, request: &PlaceRequest) -> Option<UpstreamId> {
        let margins = self.margins;
        let added = self.projection_of(request);
        let mut least: Option<(f64, UpstreamId)> = None;
        for book in self.engines.values_mut().filter(|b| b.state == EngineState::Up) {
            if self.reserved.contains_key(&book.id) {
                continue;
            }
            let missing = book.projection(now).bound_with(&added, &margins) - book.memory();
            if least.as_ref().is_none_or(|(value, _)| missing < *value) {
                least = Some((missing, book.id.clone()));
            }
        }
        least.map(|(_, engine)| engine)
    }

    /// The curve of a request's length.
    fn curve(&self, request: &PlaceRequest) -> Rc<SurvivalCurve> {
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
        Projection::of(&footprint, &self.curve(request))
    }

    /// The engine where the request costs least, among those that may take it.
    fn choose(
        &mut self,
        now: Timestamp,
        request: &PlaceRequest,
        only: Option<&UpstreamId>,
    ) -> Option<UpstreamId> {
        let added = self.projection_of(request);
        let mut best: Option<(f64, UpstreamId)> = None;
        let all = (Bound::Unbounded, Bound::Unbounded);
        let within = only.map_or(all, |id| (Bound::Included(id), Bound::Included(id)));
        for book in self.engines.range_mut::<UpstreamId, _>(within).map(|(_, book)| book) {
            if self.reserved.get(&book.id).is_some_and(|generation| *generation != request.generation) {
                continue;
            }
            let candidate = Candidate {
                request,
                added: &added,
                has_prefix: self.prefixes.has(&book.id, request.prefix),
                objective: self.policy.objective,
                margins: &self.margins,
            };
            let least = best.as_ref().map_or(f64::INFINITY, |(least, _)| *least);
            if let Some(cost) = placement::cost(book, &candidate, now, least) {
                best = Some((cost, book.id.clone()));
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
        let Some(Waiting { request, .. }) = self.queue.take(&request.organisation, generation) else {
            return;
        };
        let curve = self.curve(&request);
        let charged = curve.mean(f64::from(request.max_tokens));
        self.queue.charge(&request.organisation, charged);
        self.starts.count();
        self.reserved.retain(|_, reserved| *reserved != generation);
        let priority = request.priority;
        if let Some(book) = self.engines.get_mut(&engine) {
            book.add(Run::new(request, 0, now, curve, charged));
        }
        self.places.insert(generation, engine.clone());
        actions.push(PoolAction::Grant { generation, engine, priority });
    }
}
