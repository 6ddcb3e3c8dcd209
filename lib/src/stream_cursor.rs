//! Tracks which part of a stream its caller has received, and decides what to do with each event and each
//! broken link. The caller gets the events of one generation, each exactly once and in order.

use std::fmt;

use derive_more::Display;
use derive_more::Error;

use crate::ids::GenerationId;
use crate::ids::UpstreamId;

/// Number of links that may break in a row without a token before the engine is considered lost.
const MAX_RESUMES: u32 = 3;

/// A caller's position in a stream, which is sent as the `id` of each event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The generation.
    pub generation: GenerationId,
    /// The engine that runs the generation.
    pub engine: UpstreamId,
    /// Index of the latest token that was sent, counted from 0.
    pub index: u64,
}

/// A text is not a stream position.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not of the form GENERATION@ENGINE:INDEX")]
pub struct PositionError;

impl fmt::Display for StreamPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}@{}:{}", self.generation, self.engine, self.index)
    }
}

impl std::str::FromStr for StreamPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (generation, rest) = text.split_once('@').ok_or(PositionError)?;
        let (engine, index) = rest.rsplit_once(':').ok_or(PositionError)?;
        let generation = u64::from_str_radix(generation, 16).map_err(|_| PositionError)?;
        let index = index.parse().map_err(|_| PositionError)?;
        if engine.is_empty() {
            return Err(PositionError);
        }
        Ok(StreamPosition { generation, engine: engine.into(), index })
    }
}

/// What to do with an event from the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// The event is the next one: forward it.
    Deliver,
    /// The caller already has the event: drop it.
    Repeated,
    /// An earlier event is missing, or the event belongs to another generation: close the link and resume.
    BreakLink,
}

/// What to do after a link broke or stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// Resume the stream at the same engine.
    Resume {
        /// Index of the first token that the caller lacks.
        from: u64,
    },
    /// The engine is lost and the caller has no token: place the request again.
    Restart,
    /// The engine is lost and the caller has tokens: end the stream with an error code.
    End,
}

/// The state of one stream.
#[derive(Clone, Debug)]
pub struct StreamCursor {
    generation: GenerationId,
    next: u64,
    consecutive_breaks: u32,
}

impl StreamCursor {
    /// Creates the state of a stream whose caller lacks all tokens from index `next` on.
    pub fn new(generation: GenerationId, next: u64) -> Self {
        StreamCursor { generation, next, consecutive_breaks: 0 }
    }

    /// The generation whose events the caller gets.
    pub fn generation(&self) -> GenerationId {
        self.generation
    }

    /// Index of the first token that the caller lacks, which equals the number of tokens that it has.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Handles an event from the engine.
    pub fn on_event(&mut self, generation: GenerationId, index: u64) -> EventAction {
        if generation != self.generation || index > self.next {
            return EventAction::BreakLink;
        }
        if index < self.next {
            return EventAction::Repeated;
        }
        self.next += 1;
        self.consecutive_breaks = 0;
        EventAction::Deliver
    }

    /// Handles a link that broke, ended early or stalled, or a resume that failed.
    pub fn on_break(&mut self) -> AfterBreak {
        self.consecutive_breaks += 1;
        if self.consecutive_breaks <= MAX_RESUMES {
            return AfterBreak::Resume { from: self.next };
        }
        self.on_engine_lost()
    }

    /// Handles an engine that is gone or does not know the generation.
    pub fn on_engine_lost(&mut self) -> AfterBreak {
        if self.next == 0 { AfterBreak::Restart } else { AfterBreak::End }
    }
}

/// Parses the `id` of an engine's event, `GENERATION:INDEX`.
pub fn parse_engine_event_id(id: &str) -> Option<(GenerationId, u64)> {
    let (generation, index) = id.split_once(':')?;
    Some((u64::from_str_radix(generation, 16).ok()?, index.parse().ok()?))
}
