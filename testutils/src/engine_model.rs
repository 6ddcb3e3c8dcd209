//! A model of an inference engine that is stepped without a clock: continuous batching, KV cache memory
//! limited in blocks, preemption by priority and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

/// Id of a generation on an engine.
pub type GenerationId = u64;

/// One in this many blocks is kept free when a sequence is admitted.
const WATERMARK_DIVISOR: u64 = 100;
/// Maximum number of cached prefixes.
const MAX_CACHED_PREFIXES: usize = 64;

/// Capacity and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Blocks of KV cache memory.
    pub blocks: u64,
    /// Tokens per block.
    pub block_tokens: u64,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Duration of a decode step, without the costs of the batch and of prefill.
    pub step: Duration,
    /// Additional duration of a step with a full batch, as a multiple of `step`.
    pub batch_cost: f64,
    /// Maximum number of tokens of prefill in one step.
    pub prefill_tokens_per_step: u64,
    /// Additional duration of a step with that maximum of prefill, as a multiple of `step`.
    pub prefill_cost: f64,
    /// Factor on the duration of each step; 2.0 is half speed.
    pub slowdown: f64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            blocks: 2048,
            block_tokens: 16,
            max_batch: 64,
            step: Duration::from_millis(25),
            batch_cost: 0.5,
            prefill_tokens_per_step: 2048,
            prefill_cost: 1.0,
            slowdown: 1.0,
        }
    }
}

/// A generation that is submitted to the engine.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Id chosen by the caller; a submission with a known id is ignored.
    pub generation: GenerationId,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens that the generation will produce; scheduling does not depend on it.
    pub output_tokens: u64,
    /// Higher priorities are admitted first and preempted last.
    pub priority: i32,
    /// Hash of the prompt's shared prefix; 0 if there is none.
    pub prefix: u64,
    /// Number of tokens of that prefix.
    pub prefix_tokens: u64,
}

/// Reason why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// All tokens were produced.
    Stop,
    /// The engine's whole memory does not hold the sequence.
    Length,
}

/// An event of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was produced; `index` counts from 0.
    Token {
        /// The generation that the token belongs to.
        generation: GenerationId,
        /// Index of the token in the output.
        index: u64,
    },
    /// A generation lost its memory and waits to be recomputed.
    Preempted {
        /// The generation.
        generation: GenerationId,
    },
    /// A generation ended.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// Reason of the end.
        reason: FinishReason,
    },
    /// A prefix is now cached.
    PrefixStored {
        /// Hash of the prefix.
        prefix: u64,
    },
    /// A prefix is no longer cached.
    PrefixEvicted {
        /// Hash of the prefix.
        prefix: u64,
    },
}

/// The result of one step.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Duration of the step.
    pub duration: Duration,
    /// Events in order.
    pub events: Vec<EngineEvent>,
}

/// The load that the engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences in the engine's queue.
    pub waiting: usize,
    /// Blocks in use.
    pub used_blocks: u64,
    /// Total blocks.
    pub total_blocks: u64,
    /// Duration of the latest step.
    pub step: Duration,
}

#[derive(Clone, Debug)]
struct Sequence {
    submission: Submission,
    arrival: u64,
    produced: u64,
    prefilled: u64,
    blocks: u64,
    /// The KV cache memory was copied to this engine, so no prefill is needed on admission.
    copied: bool,
}

impl Sequence {
    fn context(&self) -> u64 {
        self.submission.prompt_tokens + self.produced
    }

    fn rank(&self) -> (i32, std::cmp::Reverse<u64>) {
        (self.submission.priority, std::cmp::Reverse(self.arrival))
    }
}

/// A model of an engine; `step` advances it.
#[derive(Debug)]
pub struct EngineModel {
    config: EngineConfig,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    cache: VecDeque<u64>,
    free_blocks: u64,
    disabled_blocks: u64,
    arrivals: u64,
    last_step: Duration,
}

impl EngineModel {
    /// Returns an idle engine.
    pub fn new(config: EngineConfig) -> Self {
        EngineModel {
            config,
            running: Vec::new(),
            waiting: Vec::new(),
            cache: VecDeque::new(),
            free_blocks: config.blocks,
            disabled_blocks: 0,
            arrivals: 0,
            last_step: config.step.mul_f64(config.slowdown),
        }
    }

    /// Returns the capacity and speed.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Sets the factor on the duration of each step; 1.0 is full speed.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.config.slowdown = slowdown;
    }

    /// Injects a fault: makes up to `blocks` free blocks unusable.
    pub fn disable_blocks(&mut self, blocks: u64) {
        let taken = blocks.min(self.free_blocks);
        self.free_blocks -= taken;
        self.disabled_blocks += taken;
    }

    /// Adds a generation to the queue; a known id is ignored.
    pub fn submit(&mut self, submission: Submission) {
        if self.contains(submission.generation) {
            return;
        }
        self.enqueue(submission, 0, false);
    }

    /// Adds a generation that has produced `produced` tokens on another engine and whose KV cache memory was
    /// copied to this one; a known id is ignored.
    pub fn submit_copied(&mut self, submission: Submission, produced: u64) {
        if !self.contains(submission.generation) {
            self.enqueue(submission, produced, true);
        }
    }

    fn enqueue(&mut self, submission: Submission, produced: u64, copied: bool) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.waiting.push(Sequence { submission, arrival, produced, prefilled: 0, blocks: 0, copied });
    }

    /// Removes a generation and frees its memory; returns false if it is unknown.
    pub fn cancel(&mut self, generation: GenerationId) -> bool {
        let has_id = |s: &Sequence| s.submission.generation == generation;
        if let Some(at) = self.running.iter().position(has_id) {
            let sequence = self.running.remove(at);
            self.free_blocks += sequence.blocks;
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|s| !has_id(s));
        before != self.waiting.len()
    }

    /// Sets the priority of a generation.
    pub fn set_priority(&mut self, generation: GenerationId, priority: i32) {
        self.running
            .iter_mut()
            .chain(self.waiting.iter_mut())
            .filter(|s| s.submission.generation == generation)
            .for_each(|s| s.submission.priority = priority);
    }

    /// Returns whether a generation waits or runs on this engine.
    pub fn contains(&self, generation: GenerationId) -> bool {
        self.running.iter().chain(self.waiting.iter()).any(|s| s.submission.generation == generation)
    }

    /// Returns whether no sequence runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            used_blocks: self.config.blocks - self.free_blocks,
            total_blocks: self.config.blocks,
            step: self.last_step,
        }
    }

    /// Runs one step of the batch; a step of an idle engine has a duration of zero.
    pub fn step(&mut self) -> StepOutcome {
        if self.is_idle() {
            return StepOutcome::default();
        }
        let mut events = Vec::new();
        self.admit();
        let prefilled = self.prefill(&mut events);
        let decoded = self.decode(&mut events);
        self.evict_prefixes(&mut events);
        let duration = self.step_duration(prefilled, decoded);
        self.last_step = duration;
        StepOutcome { duration, events }
    }

    fn step_duration(&self, prefilled: u64, decoded: usize) -> Duration {
        let batch = decoded as f64 / self.config.max_batch as f64;
        let prefill = prefilled as f64 / self.config.prefill_tokens_per_step as f64;
        let factor = 1.0 + self.config.batch_cost * batch + self.config.prefill_cost * prefill;
        self.config.step.mul_f64(factor * self.config.slowdown)
    }

    fn blocks_for(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.config.block_tokens)
    }

    fn admit(&mut self) {
        let watermark = self.config.blocks / WATERMARK_DIVISOR;
        self.waiting.sort_by_key(|s| std::cmp::Reverse(s.rank()));
        while self.running.len() < self.config.max_batch && !self.waiting.is_empty() {
            let needed = self.blocks_for(self.waiting[0].context() + 1);
            let reserve = if self.running.is_empty() { 0 } else { watermark };
            if needed + reserve > self.free_blocks && !self.exceeds_capacity(needed) {
                break;
            }
            let mut sequence = self.waiting.remove(0);
            let blocks = needed.min(self.free_blocks);
            sequence.blocks = blocks;
            sequence.prefilled =
                if sequence.copied { sequence.context() } else { self.cached_tokens(&sequence) };
            sequence.copied = false;
            self.free_blocks -= blocks;
            self.running.push(sequence);
        }
    }

    fn exceeds_capacity(&self, blocks: u64) -> bool {
        self.running.is_empty() && blocks > self.config.blocks - self.disabled_blocks
    }

    fn cached_tokens(&self, sequence: &Sequence) -> u64 {
        let submission = &sequence.submission;
        let hit = submission.prefix != 0 && self.cache.contains(&submission.prefix);
        if hit { submission.prefix_tokens.min(submission.prompt_tokens) } else { 0 }
    }

    fn prefill(&mut self, events: &mut Vec<EngineEvent>) -> u64 {
        let mut budget = self.config.prefill_tokens_per_step;
        let mut stored = Vec::new();
        for sequence in &mut self.running {
            let count = (sequence.context() - sequence.prefilled).min(budget);
            if sequence.prefilled < sequence.submission.prompt_tokens
                && sequence.prefilled + count >= sequence.submission.prompt_tokens
                && sequence.submission.prefix != 0
            {
                stored.push(sequence.submission.prefix);
            }
            sequence.prefilled += count;
            budget -= count;
        }
        for prefix in stored {
            if !self.cache.contains(&prefix) {
                self.cache.push_back(prefix);
                events.push(EngineEvent::PrefixStored { prefix });
            }
        }
        self.config.prefill_tokens_per_step - budget
    }

    fn decode(&mut self, events: &mut Vec<EngineEvent>) -> usize {
        let mut order: Vec<GenerationId> = self
            .running
            .iter()
            .filter(|s| s.prefilled >= s.context())
            .map(|s| s.submission.generation)
            .collect();
        order.reverse();
        let mut decoded = 0;
        while let Some(generation) = order.pop() {
            let Some(at) = self.running_index(generation) else {
                continue;
            };
            if !self.allocate_next_token(generation, events) {
                continue;
            }
            let at = self.running_index(generation).unwrap_or(at);
            decoded += 1;
            self.produce_token(at, events);
        }
        decoded
    }

    fn running_index(&self, generation: GenerationId) -> Option<usize> {
        self.running.iter().position(|s| s.submission.generation == generation)
    }

    /// Allocates memory for the next token of a sequence; returns false if the sequence itself was preempted.
    fn allocate_next_token(&mut self, generation: GenerationId, events: &mut Vec<EngineEvent>) -> bool {
        loop {
            let Some(at) = self.running_index(generation) else {
                return false;
            };
            let needed = self.blocks_for(self.running[at].context() + 1);
            if needed <= self.running[at].blocks {
                return true;
            }
            if self.free_blocks > 0 {
                self.free_blocks -= 1;
                self.running[at].blocks += 1;
                continue;
            }
            if self.running.len() == 1 {
                return true;
            }
            self.preempt_one(events);
        }
    }

    fn preempt_one(&mut self, events: &mut Vec<EngineEvent>) {
        let victim = (0..self.running.len()).min_by_key(|&at| self.running[at].rank());
        let Some(at) = victim else { return };
        let mut sequence = self.running.remove(at);
        self.free_blocks += sequence.blocks;
        sequence.blocks = 0;
        sequence.prefilled = 0;
        events.push(EngineEvent::Preempted { generation: sequence.submission.generation });
        self.waiting.push(sequence);
    }

    fn produce_token(&mut self, at: usize, events: &mut Vec<EngineEvent>) {
        let sequence = &mut self.running[at];
        let generation = sequence.submission.generation;
        events.push(EngineEvent::Token { generation, index: sequence.produced });
        sequence.produced += 1;
        sequence.prefilled += 1;
        let is_full =
            sequence.context() >= (self.config.blocks - self.disabled_blocks) * self.config.block_tokens;
        let is_done = sequence.produced >= sequence.submission.output_tokens;
        if is_done || is_full {
            let reason = if is_done { FinishReason::Stop } else { FinishReason::Length };
            let sequence = self.running.remove(at);
            self.free_blocks += sequence.blocks;
            events.push(EngineEvent::Finished { generation, reason });
        }
    }

    fn evict_prefixes(&mut self, events: &mut Vec<EngineEvent>) {
        let keep = MAX_CACHED_PREFIXES.min(self.free_blocks as usize);
        while self.cache.len() > keep {
            let Some(prefix) = self.cache.pop_front() else { break };
            events.push(EngineEvent::PrefixEvicted { prefix });
        }
    }
}
