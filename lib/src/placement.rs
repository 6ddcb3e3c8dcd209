//! What it costs to place a request on an engine, and whether it may be placed there.

use crate::bundle::Objective;
use crate::engine_book::EngineBook;
use crate::engine_book::EngineState;
use crate::ids::Timestamp;
use crate::overflow::Margins;
use crate::overflow::Projection;
use crate::pool_event::PlaceRequest;

/// Prompt tokens that may wait for their first token on one engine.
const MAX_PREFILL_BACKLOG: f64 = 1.0;
/// Cost of a full batch, relative to that of a full memory.
const BATCH_WEIGHT: f64 = 3.0;
/// Cost of working on [`PROMPT_UNIT`] tokens of prompt beside a full batch, whose
/// streams all wait for it.
const PROMPT_WEIGHT: f64 = 3.0;
/// Tokens of prompt that [`PROMPT_WEIGHT`] is for.
const PROMPT_UNIT: f64 = 2_048.0;
/// Gain of a cached prefix, as a part of the memory.
const PREFIX_GAIN: f64 = 0.1;
/// Cost of a step of [`STEP_UNIT`], relative to that of a full memory.
const STEP_WEIGHT: f64 = 4.0;
/// Seconds of a step that [`STEP_WEIGHT`] is for.
const STEP_UNIT: f64 = 0.1;

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
/// there or costs `least` or more.
pub fn cost(book: &mut EngineBook, candidate: &Candidate<'_>, now: Timestamp, least: f64) -> Option<f64> {
    if book.state != EngineState::Up || !book.has_slot() {
        return None;
    }
    let memory = book.memory();
    let idle = book.is_idle();
    if !idle && book.prefill_backlog(now) > MAX_PREFILL_BACKLOG {
        return None;
    }
    let (crowding_weight, pressure_weight) = match candidate.objective {
        Objective::TokenGap => (1.0, 1.0),
        Objective::Stall => (0.5, 2.0),
    };
    let fixed = crowding_weight * crowding(book, candidate) + slowness(book) - preference(candidate);
    let projection = book.projection(now);
    let held = projection.held + candidate.added.held;
    let over = |tokens: f64| !idle && tokens > memory;
    if over(held) || fixed + pressure_weight * held / memory >= least {
        return None;
    }
    let bound = projection.bound_with(candidate.added, candidate.margins);
    let cost = fixed + pressure_weight * bound / memory;
    (!over(bound) && cost < least).then_some(cost)
}

/// What the streams of a batch and the candidate's prompt cost each other.
fn crowding(book: &EngineBook, candidate: &Candidate<'_>) -> f64 {
    let batch = book.runs.len() as f64 / f64::from(book.limits.max_batch);
    let prompt = f64::from(candidate.request.prompt_tokens) / PROMPT_UNIT;
    batch * (BATCH_WEIGHT + PROMPT_WEIGHT * prompt)
}

/// What the engine's observed step time costs; a throttled engine is a full one sooner.
fn slowness(book: &EngineBook) -> f64 {
    STEP_WEIGHT * book.step.as_secs_f64() / STEP_UNIT
}

fn preference(candidate: &Candidate<'_>) -> f64 {
    if candidate.has_prefix { PREFIX_GAIN } else { 0.0 }
}
