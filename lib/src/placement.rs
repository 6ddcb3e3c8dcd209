//! The cost of placing a request on an engine, and whether it may be placed there at all.

use crate::bundle::Objective;
use crate::engine_tracker::EngineState;
use crate::engine_tracker::EngineTracker;
use crate::ids::Timestamp;
use crate::overflow::Margins;
use crate::overflow::Projection;
use crate::pool_event::PlaceRequest;

/// An engine that is not idle gets no new request while more prompt tokens than this wait for prefill.
const MAX_PREFILL_BACKLOG_TOKENS: f64 = 1.0;
/// Cost of a full batch, relative to that of a full memory.
const BATCH_WEIGHT: f64 = 3.0;
/// Cost of the prefill of [`PROMPT_UNIT_TOKENS`] beside a full batch, as all streams of the batch wait for
/// it.
const PROMPT_WEIGHT: f64 = 3.0;
/// Prompt tokens that [`PROMPT_WEIGHT`] refers to.
const PROMPT_UNIT_TOKENS: f64 = 2_048.0;
/// Cost reduction for a cached prefix, relative to the cost of a full memory.
const PREFIX_GAIN: f64 = 0.1;
/// Cost of a step time of [`STEP_UNIT_SECONDS`], relative to that of a full memory.
const STEP_WEIGHT: f64 = 4.0;
/// Step time in seconds that [`STEP_WEIGHT`] refers to.
const STEP_UNIT_SECONDS: f64 = 0.1;

/// A request with the data that is needed to compute its cost on an engine.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// The request.
    pub request: &'a PlaceRequest,
    /// Projected memory that the request adds.
    pub added: &'a Projection,
    /// Whether the engine is assumed to have the request's prefix cached.
    pub has_prefix: bool,
    /// The objective that the costs are weighted for.
    pub objective: Objective,
    /// Memory margins that must stay free.
    pub margins: &'a Margins,
}

/// Returns the cost of placing the candidate on this engine, or `None` if it may not be placed there or its
/// cost is not below `cost_limit`.
pub fn cost(
    tracker: &mut EngineTracker,
    candidate: &Candidate<'_>,
    now: Timestamp,
    cost_limit: f64,
) -> Option<f64> {
    if tracker.state != EngineState::Up || !tracker.has_slot() {
        return None;
    }
    let memory = tracker.usable_tokens();
    let idle = tracker.is_idle();
    if !idle && tracker.prefill_backlog(now) > MAX_PREFILL_BACKLOG_TOKENS {
        return None;
    }
    let (interference_weight, memory_weight) = match candidate.objective {
        Objective::TokenGap => (1.0, 1.0),
        Objective::Stall => (0.5, 2.0),
    };
    let fixed = interference_weight * interference_cost(tracker, candidate) + step_time_cost(tracker)
        - prefix_gain(candidate);
    let projection = tracker.projection(now);
    let held = projection.held + candidate.added.held;
    let exceeds_memory = |tokens: f64| !idle && tokens > memory;
    if exceeds_memory(held) || fixed + memory_weight * held / memory >= cost_limit {
        return None;
    }
    let bound = projection.bound_with(candidate.added, candidate.margins);
    let cost = fixed + memory_weight * bound / memory;
    (!exceeds_memory(bound) && cost < cost_limit).then_some(cost)
}

/// The cost of the delays that the running batch and the candidate's prefill cause each other.
fn interference_cost(tracker: &EngineTracker, candidate: &Candidate<'_>) -> f64 {
    let batch = tracker.runs.len() as f64 / f64::from(tracker.limits.max_batch);
    let prompt = f64::from(candidate.request.prompt_tokens) / PROMPT_UNIT_TOKENS;
    batch * (BATCH_WEIGHT + PROMPT_WEIGHT * prompt)
}

/// The cost of the engine's observed step time, so that a throttled engine counts as full sooner.
fn step_time_cost(tracker: &EngineTracker) -> f64 {
    STEP_WEIGHT * tracker.step.as_secs_f64() / STEP_UNIT_SECONDS
}

fn prefix_gain(candidate: &Candidate<'_>) -> f64 {
    if candidate.has_prefix { PREFIX_GAIN } else { 0.0 }
}
