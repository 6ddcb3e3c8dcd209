//! The event interface of a pool's lead: what goes in and what comes out.
//!
//! A driver (the node, the measuring loop, or any other bench) feeds
//! [`PoolEvent`]s with the time and carries out the [`PoolAction`]s.

use std::time::Duration;

use crate::bundle::Bounds;
use crate::bundle::Objective;
use crate::code::Code;
use crate::ids::GenerationId;
use crate::ids::OrganisationId;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// What a pool's lead needs to know of the bundle.
#[derive(Clone, Debug)]
pub struct PoolPolicy {
    /// What is put first.
    pub objective: Objective,
    /// Accepted chance that an engine's memory overflows.
    pub overflow_chance: f64,
    /// Requests that wait at most.
    pub max_queue: usize,
    /// Time that a request waits at most.
    pub max_wait: Duration,
    /// Relative shares by organisation; 1 for one that is not listed.
    pub shares: Vec<(OrganisationId, f64)>,
    /// Each request's `max_tokens` is its exact length: an oracle, to measure what
    /// knowing the lengths would be worth. Never set by a bundle.
    pub lengths_known: bool,
}

impl PoolPolicy {
    /// The policy with the bundle's bounds and default shares.
    pub fn new(objective: Objective, bounds: &Bounds) -> Self {
        PoolPolicy {
            objective,
            overflow_chance: bounds.overflow_chance,
            max_queue: bounds.max_queue as usize,
            max_wait: bounds.max_wait,
            shares: Vec::new(),
            lengths_known: false,
        }
    }
}

/// An entry asks for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// The new generation.
    pub generation: GenerationId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The entry that asks and will report.
    pub entry: VmId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens at most.
    pub max_tokens: u32,
    /// Higher starts first within its organisation.
    pub priority: i32,
    /// Hash of the prompt's start, 0 for none.
    pub prefix: u64,
}

/// Sizes of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Blocks of memory.
    pub blocks: u64,
    /// Tokens that fit one block.
    pub block_tokens: u32,
    /// Sequences that run at once at most.
    pub max_batch: u32,
}

/// An engine's own report; as old as its lag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait at the engine.
    pub waiting: u32,
    /// Blocks in use.
    pub used_blocks: u64,
    /// Time of a step.
    pub step: Duration,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// By itself: its length is known.
    Finished,
    /// By its caller or a limit: its length is at least what was seen.
    Cancelled,
    /// Its engine was lost.
    Lost,
}

/// A running generation, with all that a lead that does not know it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningReport {
    /// What was asked for.
    pub request: PlaceRequest,
    /// Where it runs.
    pub engine: UpstreamId,
    /// Tokens delivered so far.
    pub tokens: u32,
}

/// What goes in.
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// An entry asks for an engine.
    Place(PlaceRequest),
    /// An entry no longer wants the engine it asked for.
    Withdraw(GenerationId),
    /// An entry reports a running generation.
    Running(RunningReport),
    /// An entry reports a running generation that the lead knows.
    Progress {
        /// Which one.
        generation: GenerationId,
        /// Tokens delivered so far.
        tokens: u32,
    },
    /// A generation is over.
    Ended {
        /// Which one.
        generation: GenerationId,
        /// Tokens delivered.
        tokens: u32,
        /// How.
        how: EndKind,
    },
    /// An engine reported its load.
    Load {
        /// Which engine.
        engine: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// An engine can be used.
    EngineUp {
        /// Which engine.
        engine: UpstreamId,
        /// Its sizes.
        limits: EngineLimits,
    },
    /// An engine gets no new work; what runs there goes on.
    EngineLeaving(UpstreamId),
    /// An engine is gone with all that ran there.
    EngineGone(UpstreamId),
    /// An engine said that a prefix is cached, or no longer is; late and with gaps.
    Prefix {
        /// Which engine.
        engine: UpstreamId,
        /// Hash of the prefix.
        prefix: u64,
        /// Cached or not.
        stored: bool,
    },
    /// An entry VM is dead; what it waits for is refused, in case it is only cut off.
    EntryGone(VmId),
    /// Another bundle is in force.
    Policy(PoolPolicy),
    /// Time has passed; wanted every 100 ms or so.
    Tick,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// The generation may start at the engine.
    Grant {
        /// Which one.
        generation: GenerationId,
        /// Where.
        engine: UpstreamId,
        /// The priority to give to the engine.
        priority: i32,
    },
    /// The generation does not start; the caller is told at once.
    Refuse {
        /// Which one.
        generation: GenerationId,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Duration,
    },
    /// The engine is to change a generation's priority.
    SetPriority {
        /// Which engine.
        engine: UpstreamId,
        /// Which generation.
        generation: GenerationId,
        /// Higher is preempted later.
        priority: i32,
    },
    /// The engine is to cancel a generation that nobody waits for any more.
    Cancel {
        /// Which engine.
        engine: UpstreamId,
        /// Which generation.
        generation: GenerationId,
    },
}
