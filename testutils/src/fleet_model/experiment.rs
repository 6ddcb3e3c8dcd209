//! What a modelled day is made of, as an experiment file tells it.

use std::time::Duration;

use leadstage_lib::gateway::policy::Policy;
use serde::Deserialize;

use crate::engine_model::EngineConfig;
use crate::lengths::Lengths;

/// A day of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seconds during which callers come.
    pub seconds: f64,
    /// The engines.
    pub engines: Engines,
    /// The kinds of requests, the most urgent first.
    pub kinds: Vec<Kind>,
    /// Engines that are taken away, wave after wave.
    #[serde(default)]
    pub reclaims: Option<Reclaims>,
    /// How arrivals swing.
    #[serde(default)]
    pub wave: Option<Wave>,
    /// What the lead decides by.
    #[serde(default)]
    pub policy: Policy,
}

/// The engines of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Requests in a batch.
    pub batch: usize,
    /// Tokens that fit into the memory.
    pub memory_tokens: u32,
    /// Tokens in a block of memory.
    pub block_tokens: u32,
    /// Milliseconds of a step with nothing but one token.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_run: f64,
    /// Prompt tokens that are read in one step at most.
    pub chunk: u32,
    /// Milliseconds that so many add to it.
    pub chunk_ms: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Bytes of memory for one token.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link, Mbit/s.
    pub link_mbps: f64,
    /// Times that the engines' steps take, in turn.
    pub slowdowns: Vec<f64>,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_second: f64,
    /// Milliseconds to the first event, from the caller's first attempt on.
    pub objective_ms: u64,
    /// Milliseconds after which the caller leaves that has had no event.
    pub leaves_after_ms: u64,
    /// The longest pause between two events, in milliseconds.
    pub gap_ms: u64,
    /// Tokens of the prompt.
    pub prompt: Lengths,
    /// The most of them.
    pub most_prompt: u64,
    /// Tokens out.
    pub output: Lengths,
    /// The most of them.
    pub most_output: u64,
    /// How far the hint is off, as the standard deviation of its logarithm.
    pub hint_spread: f64,
    /// What a request is worth that is served in time.
    pub worth: f64,
    /// What one is worth that is served late.
    pub late_worth: f64,
}

/// Engines that are taken away, and come back as others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaims {
    /// Seconds until the first wave.
    pub first_s: f64,
    /// Seconds between two waves.
    pub every_s: f64,
    /// Part of the engines.
    pub share: f64,
    /// Seconds between the notice and the end.
    pub notice_s: f64,
    /// Seconds from the notice until a new engine takes the place.
    pub replaced_after_s: f64,
}

/// Arrivals swing as a sine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Part by which they rise and fall.
    pub swing: f64,
    /// Seconds.
    pub period_s: f64,
}

impl Experiment {
    /// Reads an experiment file.
    pub fn parse(yaml: &str) -> Result<Experiment, serde_saphyr::Error> {
        serde_saphyr::from_str(yaml)
    }

    /// By what the usual arrivals are multiplied at some time.
    pub fn rate_factor(&self, since_start: Duration) -> f64 {
        let Some(wave) = &self.wave else { return 1.0 };
        let periods = since_start.as_secs_f64() / wave.period_s;
        1.0 + wave.swing * (periods * std::f64::consts::TAU).sin()
    }
}

impl Engines {
    /// One engine of the fleet, by its place.
    pub fn config(&self, place: usize) -> EngineConfig {
        EngineConfig {
            blocks: u64::from(self.memory_tokens / self.block_tokens),
            block_tokens: u64::from(self.block_tokens),
            max_batch: self.batch,
            step: Duration::from_secs_f64(self.step_ms / 1_000.0),
            batch_cost: self.step_ms_per_run * self.batch as f64 / self.step_ms,
            prefill_tokens_per_step: u64::from(self.chunk),
            prefill_cost: self.chunk_ms / self.step_ms,
            slowdown: self.slowdowns[place % self.slowdowns.len()],
        }
    }
}

impl Kind {
    /// Time to the first event.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// When the caller leaves that has had no event.
    pub fn leaves_after(&self) -> Duration {
        Duration::from_millis(self.leaves_after_ms)
    }

    /// The longest pause between two events.
    pub fn gap(&self) -> Duration {
        Duration::from_millis(self.gap_ms)
    }
}
