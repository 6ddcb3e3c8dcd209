//! What it costs to place a request on an engine, and whether it may be placed there.

use crate::bundle::Objective;
use crate::engine_book::EngineBook;
use crate::engine_book::EngineState;
use crate::ids::Timestamp;
use crate::overflow::Projection;
use crate::pool_event::PlaceRequest;

/// Prompt tokens that may wait for their first token on one engine.
const MAX_PREFILL_BACKLOG: f64 = 1.0;
/// Headroom beyond this many deviations is not worth more.
const ENOUGH_HEADROOM: f64 = 8.0;
/// Cost of a full batch, in deviations of headroom.
const BATCH_WEIGHT: f64 = 12.0;
/// Gain of a cached prefix, in deviations of headroom.
const PREFIX_GAIN: f64 = 1.0;
/// A step this much slower costs one deviation of headroom, in seconds.
const STEP_UNIT: f64 = 0.005;

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
    /// Deviations of headroom that must be left.
    pub deviations: f64,
}

/// The cost of placing the candidate on this engine, or `None` when it may not be.
pub fn cost(book: &mut EngineBook, candidate: &Candidate<'_>, now: Timestamp) -> Option<f64> {
    if book.state != EngineState::Up || !book.has_slot() {
        return None;
    }
    let memory = book.memory();
    let idle = book.runs.is_empty();
    if !idle && book.prefill_backlog(now) > MAX_PREFILL_BACKLOG {
        return None;
    }
    let step = book.step.as_secs_f64();
    let batch = book.runs.len() as f64 / f64::from(book.limits.max_batch);
    let projection = book.projection(now);
    let fits = projection.held + candidate.added.held < memory;
    let headroom = projection.headroom_with(candidate.added, memory);
    if !idle && (!fits || headroom < candidate.deviations) {
        return None;
    }
    let speed = step / STEP_UNIT;
    let pressure = -headroom.min(ENOUGH_HEADROOM);
    let prefix = if candidate.has_prefix { PREFIX_GAIN } else { 0.0 };
    let cost = match candidate.objective {
        Objective::TokenGap => speed + BATCH_WEIGHT * batch + pressure,
        Objective::Stall => speed + BATCH_WEIGHT * batch * 0.5 + 2.0 * pressure,
    };
    Some(cost - prefix)
}
