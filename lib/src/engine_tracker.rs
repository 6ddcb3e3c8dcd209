//! Tracks the load of one engine for a pool's lead: the generations placed there and their projected memory,
//! corrected by the engine's own load reports.

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

/// Age at which a projection is recomputed, even without an event.
const MAX_PROJECTION_AGE: Duration = Duration::from_millis(250);
/// Initial step time, until the engine reports its own.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(25);
/// Maximum number of tokens that a generation is assumed to have produced since its last report.
const MAX_EXTRAPOLATED_TOKENS: f64 = 120.0;
/// Weight of the old step time when a new one is reported.
const STEP_TIME_SMOOTHING: f64 = 0.8;
/// Fraction of an engine's memory that is filled. Engines keep some memory free when they admit a generation,
/// and the tracked usage is never exact.
const USABLE_MEMORY_FRACTION: f64 = 0.98;
/// A generation that produced less than this fraction of the tokens expected since its last report is assumed
/// to have been preempted by its engine.
const STALL_PROGRESS_FRACTION: f64 = 0.4;
/// Minimum time between two reports for detecting a stall, as a step may be long.
const MIN_STALL_INTERVAL: Duration = Duration::from_millis(800);
/// Prompt tokens that an engine is assumed to prefill in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 2_048.0;

/// Returns the number of steps until a request's first token is due on an engine that starts it at once.
fn prefill_steps(request: &PlaceRequest) -> f64 {
    f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_STEP + 1.0
}

/// Whether an engine accepts new generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts new generations.
    Up,
    /// The engine accepts no new generations; running ones continue.
    Leaving,
}

/// A generation on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The placement request.
    pub request: PlaceRequest,
    /// Output tokens delivered according to the latest report.
    pub tokens: u32,
    /// Time when `tokens` last increased, initially `placed_at`.
    pub advanced_at: Timestamp,
    /// Time of the entry's latest report, initially `placed_at`.
    pub reported_at: Timestamp,
    /// Time when the generation was granted, or first reported to this lead.
    pub placed_at: Timestamp,
    /// Survival curve of the organisation's output lengths at `placed_at`.
    pub curve: Rc<SurvivalCurve>,
    /// Output tokens that the organisation has been charged for.
    pub charged: f64,
    /// The priority that was sent to the engine.
    pub priority: i32,
    /// The generation's part of the engine's projection.
    pub projection: Projection,
}

impl Run {
    /// Creates a generation that is placed, or first reported, at `now`.
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

    /// Whether no token has been reported yet.
    pub fn is_unstarted(&self) -> bool {
        self.tokens == 0
    }

    /// Whether a report of `tokens` at `now` shows that the generation has stalled since the last report.
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

/// The tracked state of one engine.
#[derive(Debug)]
pub struct EngineTracker {
    /// The engine's id.
    pub id: UpstreamId,
    /// Size limits of the engine.
    pub limits: EngineLimits,
    /// Whether the engine accepts new generations.
    pub state: EngineState,
    /// Generations that run on the engine.
    pub runs: Vec<Run>,
    /// Smoothed step time.
    pub step: Duration,
    unstarted_count: usize,
    unaccounted_tokens: f64,
    recent_excess: Option<[f64; 3]>,
    projection: Projection,
    projected_at: Option<Timestamp>,
}

impl EngineTracker {
    /// Creates a tracker without generations.
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

    /// Returns the tokens that the engine's memory holds, less the half block that each generation wastes on
    /// average and the tokens held by generations that this lead does not track.
    pub fn usable_tokens(&self) -> f64 {
        let block_tokens = f64::from(self.limits.block_tokens);
        let wasted = block_tokens * 0.5 * (self.runs.len() + 1) as f64;
        (self.limits.blocks as f64 * block_tokens * USABLE_MEMORY_FRACTION - wasted - self.unaccounted_tokens)
            .max(1.0)
    }

    /// Whether nothing runs on the engine according to this lead and the engine's reports. A generation may
    /// then start even if it could fill the whole memory.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.unaccounted_tokens < f64::from(self.limits.block_tokens)
    }

    /// Returns the tokens that the generations hold according to their latest reports.
    pub fn held_tokens(&self) -> u64 {
        self.runs.iter().map(|r| u64::from(r.request.prompt_tokens) + u64::from(r.tokens)).sum()
    }

    /// Whether the batch has room for another generation.
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

    /// Removes a generation.
    pub fn remove(&mut self, generation: GenerationId) -> Option<Run> {
        let index = self.runs.iter().position(|r| r.request.generation == generation)?;
        let run = self.runs.swap_remove(index);
        self.projection.subtract(&run.projection);
        self.unstarted_count -= usize::from(run.is_unstarted());
        Some(run)
    }

    /// Records a report of a generation's tokens. The recorded number of tokens never decreases.
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

    /// Returns the run of a generation.
    pub fn run_mut(&mut self, generation: GenerationId) -> Option<&mut Run> {
        self.runs.iter_mut().find(|r| r.request.generation == generation)
    }

    /// Returns the projection of all generations on the engine.
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

    /// Returns the prompt tokens of unstarted generations whose prefill should not be finished yet.
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

    /// Applies the engine's own report: its step time, and the memory used by generations that this lead does
    /// not track. As the report lags, only the excess that three consecutive reports show is counted. The
    /// first report counts at once, so that a new lead does not overload an engine that an earlier lead has
    /// filled.
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
