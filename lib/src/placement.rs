//! What it costs to place a request on an engine, and whether it may be placed there.

use crate::bundle::Objective;
use crate::engine_tracker::EngineState;
use crate::engine_tracker::EngineTracker;
use crate::ids::Timestamp;
use crate::overflow::Margins;
use crate::overflow::Projection;
use crate::pool_event::PlaceRequest;

/// Prompt tokens that may wait for their first token on one engine.
const MAX_PREFILL_BACKLOG_TOKENS: f64 = 1.0;
/// Cost of a full batch, relative to that of a full memory.
const BATCH_WEIGHT: f64 = 3.0;
/// Cost of working on [`PROMPT_UNIT_TOKENS`] tokens of prompt beside a full batch, whose
/// streams all wait for it.
const PROMPT_WEIGHT: f64 = 3.0;
/// Tokens of prompt that [`PROMPT_WEIGHT`] is for.
const PROMPT_UNIT_TOKENS: f64 = 2_048.0;
/// Gain of a cached prefix, as a part of the memory.
const PREFIX_GAIN: f64 = 0.1;
/// Cost of a step of [`STEP_UNIT_SECONDS`], relative to that of a full memory.
const STEP_WEIGHT: f64 = 4.0;
/// Seconds of a step that [`STEP_WEIGHT`] is for.
const STEP_UNIT_SECONDS: f64 = 0.1;

/// A request with what is needed to weigh it on an engine.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// What was asked for.
    pub request: &'a PlaceRequest,
    /// The memory that it adds.
    pub added: &'a Projection,
    /// Whether the engine is thought to have its prefix cached.
    pub has_prefix: bool,
    /// What is put first.
    pub objective: Objective,
    /// Room that must be left.
    pub margins: &'a Margins,
}

/// The cost of placing the candidate on this engine, or `None` when it may not be placed
/// there or costs `cost_limit` or more.
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

/// What the streams of a batch and the candidate's prompt cost each other.
fn interference_cost(tracker: &EngineTracker, candidate: &Candidate<'_>) -> f64 {
    let batch = tracker.runs.len() as f64 / f64::from(tracker.limits.max_batch);
    let prompt = f64::from(candidate.request.prompt_tokens) / PROMPT_UNIT_TOKENS;
    batch * (BATCH_WEIGHT + PROMPT_WEIGHT * prompt)
}

/// What the engine's observed step time costs; a throttled engine is a full one sooner.
fn step_time_cost(tracker: &EngineTracker) -> f64 {
    STEP_WEIGHT * tracker.step.as_secs_f64() / STEP_UNIT_SECONDS
}

fn prefix_gain(candidate: &Candidate<'_>) -> f64 {
    if candidate.has_prefix { PREFIX_GAIN } else { 0.0 }
}
