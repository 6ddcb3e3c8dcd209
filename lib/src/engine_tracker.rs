//! What a pool's lead knows of one engine: the generations that it placed there,
//! their projected memory, and the engine's own reports as a correction.

use std::rc::Rc;
use std::time::Duration;

use crate::ids::GenerationId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::overflow::Footprint;
use crate::overflow::Projection;
use crate::pool_event::EngineLimits;
use crate::pool_event::LoadReport;
use crate::pool_event::PlaceRequest;
use crate::survival::SurvivalCurve;

/// A projection is made anew after this, even without an event.
const MAX_PROJECTION_AGE: Duration = Duration::from_millis(250);
/// Step time assumed until the engine reports one.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(25);
/// Tokens that a generation is taken to have produced since its last report, at most.
const MAX_EXTRAPOLATED_TOKENS: f64 = 120.0;
/// Part of the old value kept when a step time is reported.
const STEP_TIME_SMOOTHING: f64 = 0.8;
/// Part of an engine's memory that is filled: engines keep a part free when they take
/// a generation up, and the books are never exact.
const USABLE_MEMORY_FRACTION: f64 = 0.98;
/// A generation that made less than this part of the steps since its last report is
/// taken to have been pushed off its engine.
const STALL_PROGRESS_FRACTION: f64 = 0.4;
/// Least time between two reports for that, as a step may be long.
const MIN_STALL_INTERVAL: Duration = Duration::from_millis(800);
/// Prompt tokens that an engine is assumed to work on in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 2_048.0;

/// Steps until a request's first token is due on an engine that takes it up at once.
fn prefill_steps(request: &PlaceRequest) -> f64 {
    f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_STEP + 1.0
}

/// Whether an engine gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    Up,
    /// It does not; what runs there goes on.
    Leaving,
}

/// A generation on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was asked for.
    pub request: PlaceRequest,
    /// Tokens delivered, by the latest report.
    pub tokens: u32,
    /// When `tokens` last rose, or the grant.
    pub advanced_at: Timestamp,
    /// When its entry last spoke of it, or the grant.
    pub reported_at: Timestamp,
    /// When it was granted, or first heard of.
    pub placed_at: Timestamp,
    /// Its organisation's curve at that time.
    pub curve: Rc<SurvivalCurve>,
    /// Output tokens that its organisation has been charged.
    pub charged: f64,
    /// The priority that the engine was given.
    pub priority: i32,
    /// What it adds to the book's projection.
    pub projection: Projection,
}

impl Run {
    /// A generation that is placed, or first heard of, now.
    pub fn new(
        request: PlaceRequest,
        tokens: u32,
        now: Timestamp,
        curve: Rc<SurvivalCurve>,
        charged: f64,
    ) -> Self {
        Run {
            tokens,
            advanced_at: now,
            reported_at: now,
            placed_at: now,
            curve,
            charged,
            priority: request.priority,
            projection: Projection::default(),
            request,
        }
    }

    /// No token has been seen of it.
    pub fn is_unstarted(&self) -> bool {
        self.tokens == 0
    }

    /// Whether a report of `tokens` now shows that it stood still since the last one.
    pub fn has_stalled(&self, now: Timestamp, tokens: u32, step: Duration) -> bool {
        let elapsed = now.saturating_sub(self.reported_at);
        if self.is_unstarted() || elapsed < MIN_STALL_INTERVAL {
            return false;
        }
        let expected = elapsed.as_secs_f64() / step.as_secs_f64();
        f64::from(tokens.saturating_sub(self.tokens)) < expected * STALL_PROGRESS_FRACTION
    }

    fn project(&mut self, now: Timestamp, step: Duration) {
        self.projection = Projection::of(&self.footprint(now, step), &self.curve);
    }

    fn footprint(&self, now: Timestamp, step: Duration) -> Footprint {
        let produced = f64::from(self.tokens);
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        let prefill = if self.is_unstarted() { prefill_steps(&self.request) } else { 0.0 };
        let extrapolated = (elapsed / step.as_secs_f64() - prefill).max(0.0);
        Footprint {
            prompt: f64::from(self.request.prompt_tokens),
            produced: produced + extrapolated.min(MAX_EXTRAPOLATED_TOKENS),
            cap: f64::from(self.request.max_tokens),
        }
    }
}

/// One engine's book.
#[derive(Debug)]
pub struct EngineTracker {
    /// Its id.
    pub id: UpstreamId,
    /// Its sizes.
    pub limits: EngineLimits,
    /// Whether it gets new work.
    pub state: EngineState,
    /// What runs there.
    pub runs: Vec<Run>,
    /// Smoothed time of a step.
    pub step: Duration,
    unstarted_count: usize,
    unaccounted_tokens: f64,
    recent_excess: Option<[f64; 3]>,
    projection: Projection,
    projected_at: Option<Timestamp>,
}

impl EngineTracker {
    /// An empty book.
    pub fn new(id: UpstreamId, limits: EngineLimits) -> Self {
        EngineTracker {
            id,
            limits,
            state: EngineState::Up,
            runs: Vec::new(),
            step: DEFAULT_STEP_TIME,
            unstarted_count: 0,
            unaccounted_tokens: 0.0,
            recent_excess: None,
            projection: Projection::default(),
            projected_at: None,
        }
    }

    /// Tokens that its memory holds, less the half block that each generation wastes
    /// on average.
    pub fn usable_tokens(&self) -> f64 {
        let block_tokens = f64::from(self.limits.block_tokens);
        let wasted = block_tokens * 0.5 * (self.runs.len() + 1) as f64;
        (self.limits.blocks as f64 * block_tokens * USABLE_MEMORY_FRACTION - wasted - self.unaccounted_tokens)
            .max(1.0)
    }

    /// Nothing runs here, as far as this lead and the engine's reports know; a generation
    /// may then start even if it could fill the whole memory.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.unaccounted_tokens < f64::from(self.limits.block_tokens)
    }

    /// Tokens that its generations hold by their latest reports.
    pub fn held_tokens(&self) -> u64 {
        self.runs.iter().map(|r| u64::from(r.request.prompt_tokens) + u64::from(r.tokens)).sum()
    }

    /// Whether its batch has room for one more.
    pub fn has_slot(&self) -> bool {
        self.runs.len() < self.limits.max_batch as usize
    }

    /// Adds a generation.
    pub fn add(&mut self, mut run: Run) {
        run.project(run.placed_at, self.step);
        self.projection.add(&run.projection);
        self.unstarted_count += usize::from(run.is_unstarted());
        self.runs.push(run);
    }

    /// Takes a generation out.
    pub fn remove(&mut self, generation: GenerationId) -> Option<Run> {
        let index = self.runs.iter().position(|r| r.request.generation == generation)?;
        let run = self.runs.swap_remove(index);
        self.projection.subtract(&run.projection);
        self.unstarted_count -= usize::from(run.is_unstarted());
        Some(run)
    }

    /// Notes a generation's tokens, which only rise.
    pub fn record_progress(&mut self, generation: GenerationId, tokens: u32, now: Timestamp) {
        let Some(run) = self.run_mut(generation) else {
            return;
        };
        run.reported_at = now;
        if tokens <= run.tokens {
            return;
        }
        let first = run.is_unstarted();
        run.tokens = tokens;
        run.advanced_at = now;
        self.unstarted_count -= usize::from(first);
    }

    /// A generation by id.
    pub fn run_mut(&mut self, generation: GenerationId) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.request.generation == generation)
    }

    /// The projection of all that runs here.
    pub fn projection(&mut self, now: Timestamp) -> &Projection {
        let fresh = self.projected_at.is_some_and(|at| now.saturating_sub(at) < MAX_PROJECTION_AGE);
        if !fresh {
            self.project(now);
        }
        &self.projection
    }

    fn project(&mut self, now: Timestamp) {
        let step = self.step;
        let mut sum = Projection::default();
        for run in &mut self.runs {
            run.project(now, step);
            sum.add(&run.projection);
        }
        self.projection = sum;
        self.projected_at = Some(now);
    }

    /// Prompt tokens placed here whose first token should not be there yet.
    pub fn prefill_backlog(&self, now: Timestamp) -> f64 {
        if self.unstarted_count == 0 {
            return 0.0;
        }
        let unstarted = self.runs.iter().filter(|r| r.is_unstarted());
        let backlog: f64 = unstarted
            .map(|run| {
                let done = now.saturating_sub(run.placed_at).as_secs_f64() / self.step.as_secs_f64();
                (f64::from(run.request.prompt_tokens) - done * PREFILL_TOKENS_PER_STEP).max(0.0)
            })
            .sum();
        backlog
    }

    /// Takes the engine's own report in: its step time, and memory that is used by
    /// generations that this lead does not know. As the report lags, only an excess
    /// that three reports in a row show is believed; the first report is believed at
    /// once, so that a new lead does not overload what an earlier one filled.
    pub fn apply_load_report(&mut self, report: &LoadReport, now: Timestamp) {
        if !report.step.is_zero() {
            let kept = self.step.as_secs_f64() * STEP_TIME_SMOOTHING;
            let added = report.step.as_secs_f64() * (1.0 - STEP_TIME_SMOOTHING);
            self.step = Duration::from_secs_f64(kept + added);
        }
        let block_tokens = f64::from(self.limits.block_tokens);
        let wasted = block_tokens * self.runs.len() as f64;
        let held = self.projection(now).held;
        let reported = report.used_blocks as f64 * block_tokens;
        let latest = (reported - held - wasted).max(0.0);
        let recent_excess = self.recent_excess.get_or_insert([latest; 3]);
        recent_excess.rotate_left(1);
        recent_excess[2] = latest;
        self.unaccounted_tokens = recent_excess.iter().copied().fold(f64::INFINITY, f64::min);
    }
}
