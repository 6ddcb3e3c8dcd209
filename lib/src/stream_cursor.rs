//! What a caller has got of its stream, and what to do with each event and each
//! broken link: once, in order, from one generation.

use std::fmt;

use derive_more::Display;
use derive_more::Error;

use crate::ids::GenerationId;
use crate::ids::UpstreamId;

/// Links that may break in a row without a token before the engine counts as lost.
const MAX_RESUMES: u32 = 3;

/// Where a caller is in a stream; the `id` of each event that it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The generation.
    pub generation: GenerationId,
    /// The engine that it runs on.
    pub engine: UpstreamId,
    /// Index of the latest token that was sent, from 0.
    pub index: u64,
}

/// The text is not a stream position.
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
    /// It is the next one; pass it on.
    Deliver,
    /// The caller has it; drop it.
    Repeated,
    /// One before it is missing, or it is of another generation: drop the link and resume.
    BreakLink,
}

/// What to do after a link broke or stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// Resume at the engine from this index.
    Resume {
        /// Index of the first token that the caller lacks.
        from: u64,
    },
    /// The engine is lost and the caller has no token: place it anew.
    Restart,
    /// The engine is lost and the caller has tokens: end the stream with a code.
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
    /// A stream of which the caller lacks everything from index `next`.
    pub fn new(generation: GenerationId, next: u64) -> Self {
        StreamCursor { generation, next, consecutive_breaks: 0 }
    }

    /// The generation that it is bound to.
    pub fn generation(&self) -> GenerationId {
        self.generation
    }

    /// Index of the first token that the caller lacks; also how many it has.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// An event came from the engine.
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

    /// The link broke, ended early, or stalled, or a resume failed.
    pub fn on_break(&mut self) -> AfterBreak {
        self.consecutive_breaks += 1;
        if self.consecutive_breaks <= MAX_RESUMES {
            return AfterBreak::Resume { from: self.next };
        }
        self.on_engine_lost()
    }

    /// The engine does not know the generation, or is gone.
    pub fn on_engine_lost(&mut self) -> AfterBreak {
        if self.next == 0 { AfterBreak::Restart } else { AfterBreak::End }
    }
}

/// Reads the `id` of an engine's event, `GENERATION:INDEX`.
pub fn parse_engine_event_id(id: &str) -> Option<(GenerationId, u64)> {
    let (generation, index) = id.split_once(':')?;
    Some((u64::from_str_radix(generation, 16).ok()?, index.parse().ok()?))
}
