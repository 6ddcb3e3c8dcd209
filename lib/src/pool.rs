//! The lead of a pool: which engine takes a request, which requests wait, and which
//! stream gives way when an engine fills up. Sans-I/O and seeded.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use crate::overflow::Projection;
use crate::overflow::deviations_for;
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

/// Organisations whose next request is tried when the first one's does not fit.
const LOOK_AHEAD: usize = 4;
/// Part of the bounded wait after which a request is no longer overtaken.
const OVERTAKEN_UNTIL: f64 = 0.25;
/// Priority added to a generation that was pushed off its engine once.
const PROTECTED: i32 = 1_000;
/// A generation without a token for this many steps is taken to be pushed off.
const STALLED_STEPS: f64 = 12.0;
/// Least time without a token for that, as reports come in batches.
const STALLED_LEAST: Duration = Duration::from_millis(2_500);
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
    deviations: f64,
    lengths: LengthModel,
    queue: FairQueue,
    engines: BTreeMap<UpstreamId, EngineBook>,
    places: HashMap<GenerationId, UpstreamId>,
    prefixes: PrefixMap,
    starts: StartRate,
    rng: SmallRng,
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
            deviations: 0.0,
            lengths: LengthModel::default(),
            queue: FairQueue::default(),
            engines: BTreeMap::new(),
            places: HashMap::new(),
            prefixes: PrefixMap::default(),
            starts: StartRate::default(),
            rng: SmallRng::seed_from_u64(seed),
            policy,
        };
        pool.apply_policy();
        pool
    }

    /// Takes an event in and adds what follows from it to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        match event {
            PoolEvent::Place(request) => self.enqueue(now, request, actions),
            PoolEvent::Withdraw(generation) => _ = self.queue.remove(generation),
            PoolEvent::Running(report) => return self.run(now, report),
            PoolEvent::Progress { generation, tokens } => return self.advance(now, generation, tokens),
            PoolEvent::Ended { generation, tokens, how } => self.end(generation, tokens, how),
            PoolEvent::Load { engine, report } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.correct(&report, now);
                }
            }
            PoolEvent::EngineUp { engine, limits } => {
                let book =
                    self.engines.entry(engine.clone()).or_insert_with(|| EngineBook::new(engine, limits));
                book.limits = limits;
                book.state = EngineState::Up;
            }
            PoolEvent::EngineLeaving(engine) => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.state = EngineState::Leaving;
                }
            }
            PoolEvent::EngineGone(engine) => self.drop_engine(&engine),
            PoolEvent::Prefix { engine, prefix, stored } => {
                return self.prefixes.learn(&engine, prefix, stored);
            }
            PoolEvent::EntryGone(entry) => _ = self.queue.remove_entry(&entry),
            PoolEvent::Policy(policy) => {
                self.policy = policy;
                self.apply_policy();
            }
            PoolEvent::Tick => self.tick(now, actions),
        }
        self.place_waiting(now, actions);
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
        self.deviations = deviations_for(self.policy.overflow_chance);
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
    fn run(&mut self, now: Timestamp, report: RunningReport) {
        let generation = report.request.generation;
        match self.places.get(&generation) {
            Some(place) if *place == report.engine => self.advance(now, generation, report.tokens),
            Some(place) => {
                let place = place.clone();
                self.engines.get_mut(&place).and_then(|book| book.remove(generation));
                self.places.remove(&generation);
                self.adopt(now, report);
            }
            None => self.adopt(now, report),
        }
    }

    fn advance(&mut self, now: Timestamp, generation: GenerationId, tokens: u32) {
        let Some(book) = self.places.get(&generation).and_then(|place| self.engines.get_mut(place)) else {
            return;
        };
        let Some(run) = book.run_mut(generation) else {
            return;
        };
        run.heard = now;
        if tokens <= run.tokens {
            return;
        }
        run.tokens = tokens;
        run.advanced = now;
        let beyond = f64::from(tokens) - run.charged;
        if beyond > 0.0 {
            run.charged += beyond;
            self.queue.charge(&run.request.organisation, beyond);
        }
    }

    /// Takes a generation into the books that another lead, or an entry alone, placed.
    fn adopt(&mut self, now: Timestamp, report: RunningReport) {
        self.queue.remove(report.request.generation);
        let curve = self.lengths.curve(&report.request.organisation);
        let Some(book) = self.engines.get_mut(&report.engine) else {
            return;
        };
        self.places.insert(report.request.generation, report.engine);
        book.add(Run {
            tokens: report.tokens,
            advanced: now,
            heard: now,
            placed: now,
            curve,
            charged: f64::from(report.tokens),
            priority: report.request.priority,
            request: report.request,
        });
    }

    fn end(&mut self, generation: GenerationId, tokens: u32, how: EndKind) {
        self.queue.remove(generation);
        let Some(engine) = self.places.remove(&generation) else {
            return;
        };
        let Some(run) = self.engines.get_mut(&engine).and_then(|b| b.remove(generation)) else {
            return;
        };
        let organisation = &run.request.organisation;
        let by_itself = how == EndKind::Finished && tokens < run.request.max_tokens;
        self.lengths.observe(organisation, tokens, by_itself);
        self.queue.charge(organisation, f64::from(tokens) - run.charged);
        if run.request.prefix != 0 {
            self.prefixes.learn(&engine, run.request.prefix, true);
        }
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
        self.protect_stalled(now, actions);
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

    /// Raises the priority of generations that seem to have been pushed off, so that
    /// no one is pushed off again and again.
    fn protect_stalled(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        for book in self.engines.values_mut() {
            let patience = book.step.mul_f64(STALLED_STEPS).max(STALLED_LEAST);
            for run in &mut book.runs {
                let stalled = !run.is_unstarted() && now.saturating_sub(run.advanced) > patience;
                if stalled && run.priority < PROTECTED {
                    run.priority += PROTECTED;
                    actions.push(PoolAction::SetPriority {
                        engine: book.id.clone(),
                        generation: run.request.generation,
                        priority: run.priority,
                    });
                }
            }
        }
    }

    fn place_waiting(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) {
        while self.place_one(now, actions) {}
    }

    fn place_one(&mut self, now: Timestamp, actions: &mut Vec<PoolAction>) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let patience = self.policy.max_wait.mul_f64(OVERTAKEN_UNTIL);
        for organisation in self.queue.order(LOOK_AHEAD) {
            let Some(waiting) = self.queue.head(&organisation) else {
                continue;
            };
            let has_waited = now.saturating_sub(waiting.since) > patience;
            let request = waiting.request.clone();
            if let Some(engine) = self.choose(now, &request) {
                self.grant(now, &organisation, engine, actions);
                return true;
            }
            if has_waited {
                return false;
            }
        }
        false
    }

    fn choose(&mut self, now: Timestamp, request: &PlaceRequest) -> Option<UpstreamId> {
        let curve = self.lengths.curve(&request.organisation);
        let footprint = Footprint {
            prompt: f64::from(request.prompt_tokens),
            produced: 0.0,
            cap: f64::from(request.max_tokens),
        };
        let added = Projection::of(&footprint, &curve);
        let mut best: Option<(f64, UpstreamId)> = None;
        for book in self.engines.values_mut() {
            let candidate = Candidate {
                request,
                added: &added,
                has_prefix: self.prefixes.has(&book.id, request.prefix),
                objective: self.policy.objective,
                deviations: self.deviations,
            };
            let Some(cost) = placement::cost(book, &candidate, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, book.id.clone()));
            }
        }
        best.map(|(_, engine)| engine)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        engine: UpstreamId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(Waiting { request, .. }) = self.queue.pop(organisation) else {
            return;
        };
        let curve = self.lengths.curve(organisation);
        let charged = curve.mean_remaining(0.0, f64::from(request.max_tokens));
        self.queue.charge(organisation, charged);
        self.starts.count();
        let (generation, priority) = (request.generation, request.priority);
        if let Some(book) = self.engines.get_mut(&engine) {
            book.add(Run {
                request,
                tokens: 0,
                advanced: now,
                heard: now,
                placed: now,
                curve,
                charged,
                priority,
            });
        }
        self.places.insert(generation, engine.clone());
        actions.push(PoolAction::Grant { generation, engine, priority });
    }
}
