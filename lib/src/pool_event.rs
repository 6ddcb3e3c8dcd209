//! The event interface of a pool's lead.
//!
//! A driver, such as the node or a benchmark, passes [`PoolEvent`]s with the current time and executes the
//! resulting [`PoolAction`]s.

use std::time::Duration;

use crate::bundle::Bounds;
use crate::bundle::Objective;
use crate::code::Code;
use crate::ids::GenerationId;
use crate::ids::OrganisationId;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// The settings of the bundle that a pool's lead uses.
#[derive(Clone, Debug)]
pub struct PoolPolicy {
    /// The objective that placement optimises for.
    pub objective: Objective,
    /// Accepted probability that an engine's memory overflows.
    pub overflow_chance: f64,
    /// Maximum number of waiting requests.
    pub max_queue: usize,
    /// Maximum time that a request waits.
    pub max_wait: Duration,
    /// Relative shares by organisation. An organisation that is not listed has a share of 1.
    pub shares: Vec<(OrganisationId, f64)>,
    /// Whether each request's `max_tokens` is its exact output length. Benchmarks set this as an oracle, to
    /// measure the benefit of known lengths; a bundle never does.
    pub lengths_known: bool,
}

impl PoolPolicy {
    /// Creates a policy with the bundle's bounds and equal shares.
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

/// An entry's request to place a generation on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// The new generation.
    pub generation: GenerationId,
    /// The organisation that the generation belongs to.
    pub organisation: OrganisationId,
    /// The entry that sends the request and reports the generation's progress.
    pub entry: VmId,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Priority within the organisation; higher starts first.
    pub priority: i32,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
}

/// Size limits of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Number of memory blocks.
    pub blocks: u64,
    /// Tokens per block.
    pub block_tokens: u32,
    /// Maximum number of sequences in a batch.
    pub max_batch: u32,
}

/// A load report of an engine. It may lag behind the engine's state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences in the engine's own queue.
    pub waiting: u32,
    /// Blocks in use.
    pub used_blocks: u64,
    /// Step time.
    pub step: Duration,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The generation finished by itself, so its length is known.
    Finished,
    /// The caller or a limit ended the generation; its length is at least the number of delivered tokens.
    Cancelled,
    /// The engine was lost.
    Lost,
}

/// A full report of a running generation, with all data that a lead needs to adopt it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningReport {
    /// The placement request of the generation.
    pub request: PlaceRequest,
    /// The engine that it runs on.
    pub engine: UpstreamId,
    /// Tokens delivered so far.
    pub tokens: u32,
}

/// An event that a pool's lead handles.
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// An entry requests an engine for a generation.
    Place(PlaceRequest),
    /// An entry withdraws its request for an engine.
    Withdraw(GenerationId),
    /// An entry sends a full report of a running generation.
    Running(RunningReport),
    /// An entry reports the progress of a generation that the lead tracks.
    Progress {
        /// The generation.
        generation: GenerationId,
        /// Tokens delivered so far.
        tokens: u32,
    },
    /// A generation has ended.
    Ended {
        /// The generation.
        generation: GenerationId,
        /// Tokens delivered.
        tokens: u32,
        /// How the generation ended.
        how: EndKind,
    },
    /// An engine reported its load.
    Load {
        /// The engine.
        engine: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// An engine is available, new or again.
    EngineUp {
        /// The engine.
        engine: UpstreamId,
        /// Size limits of the engine.
        limits: EngineLimits,
    },
    /// An engine accepts no new generations; running ones continue.
    EngineLeaving(UpstreamId),
    /// An engine is lost with all generations that ran there.
    EngineGone(UpstreamId),
    /// An engine reported that a prefix is cached, or no longer is. These reports are delayed and may be
    /// missing.
    Prefix {
        /// The engine.
        engine: UpstreamId,
        /// Hash of the prefix.
        prefix: u64,
        /// Whether the prefix is cached.
        stored: bool,
    },
    /// An entry VM is considered dead. Its waiting requests are refused, in case it is only partitioned and
    /// still waits for a response.
    EntryGone(VmId),
    /// A new bundle is in force.
    Policy(PoolPolicy),
    /// Time has passed. The driver sends this about every 100 ms.
    Tick,
}

/// An action that the driver executes.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// The generation may start at the engine.
    Grant {
        /// The generation.
        generation: GenerationId,
        /// The engine to start it on.
        engine: UpstreamId,
        /// The priority to send to the engine.
        priority: i32,
    },
    /// The generation does not start, and the caller is notified at once.
    Refuse {
        /// The generation.
        generation: GenerationId,
        /// The reason.
        code: Code,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Change a generation's priority on its engine.
    SetPriority {
        /// The engine.
        engine: UpstreamId,
        /// The generation.
        generation: GenerationId,
        /// The new priority; generations with a higher priority are preempted later.
        priority: i32,
    },
    /// Cancel a generation that has no caller any more on its engine.
    Cancel {
        /// The engine.
        engine: UpstreamId,
        /// The generation.
        generation: GenerationId,
    },
}
