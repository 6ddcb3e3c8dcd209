//! Parameters of a simulation, read from an experiment file.

use std::time::Duration;

use leadstage_lib::gateway::policy::Policy;
use serde::Deserialize;

use crate::engine_model::EngineConfig;
use crate::lengths::Lengths;

/// A fleet, its requests and its policy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seconds during which requests arrive.
    pub seconds: f64,
    /// The engines.
    pub engines: Engines,
    /// The kinds of requests, the most urgent first.
    pub kinds: Vec<Kind>,
    /// Reclaims of engines, in waves.
    #[serde(default)]
    pub reclaims: Option<Reclaims>,
    /// The organisations that send the requests, if there are any.
    #[serde(default)]
    pub organisations: Option<Organisations>,
    /// Seconds until another node takes over as the lead, if it does.
    #[serde(default)]
    pub lead_lost_at_s: Option<f64>,
    /// Variation of the arrival rate.
    #[serde(default)]
    pub wave: Option<Wave>,
    /// The lead's policy.
    #[serde(default)]
    pub policy: Policy,
}

/// The engines of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Maximum requests in a batch.
    pub batch: usize,
    /// Tokens that fit into the KV cache.
    pub memory_tokens: u32,
    /// Tokens per block of the KV cache.
    pub block_tokens: u32,
    /// Milliseconds of a step that decodes a single token.
    pub step_ms: f64,
    /// Milliseconds that each further request adds to a step.
    pub step_ms_per_run: f64,
    /// Maximum prompt tokens that are prefilled in one step.
    pub chunk: u32,
    /// Milliseconds that a full chunk of prompt tokens adds to a step.
    pub chunk_ms: f64,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Bytes of KV cache per token.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link, Mbit/s.
    pub link_mbps: f64,
    /// Factors on the engines' step times, assigned in turn.
    pub slowdowns: Vec<f64>,
    /// Moments in which an engine is slower than usual.
    #[serde(default)]
    pub slow_moments: Option<SlowMoments>,
}

/// Moments in which an engine is slower than usual, at random times.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowMoments {
    /// Share of the moments that are slow.
    pub share: f64,
    /// Factor on the engine's step times in a slow moment.
    pub factor: f64,
    /// Milliseconds of a moment.
    pub moment_ms: u64,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Requests per second.
    pub per_second: f64,
    /// Objective for the first event, in milliseconds since the caller's first attempt.
    pub objective_ms: u64,
    /// Milliseconds after which a caller that has received no event leaves.
    pub leaves_after_ms: u64,
    /// Longest acceptable gap between two events, in milliseconds.
    pub gap_ms: u64,
    /// Tokens of the prompt.
    pub prompt: Lengths,
    /// Maximum tokens of the prompt.
    pub most_prompt: u64,
    /// Tokens of the output.
    pub output: Lengths,
    /// Maximum tokens of the output.
    pub most_output: u64,
    /// Error of the length hint, as the standard deviation of its logarithm.
    pub hint_spread: f64,
    /// Value of a request that is served in time.
    pub worth: f64,
    /// Value of a request that is served late.
    pub late_worth: f64,
}

/// Engines that are reclaimed in waves, and replaced by new ones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaims {
    /// Seconds until the first wave.
    pub first_s: f64,
    /// Seconds between two waves.
    pub every_s: f64,
    /// Share of the engines in a wave.
    pub share: f64,
    /// Seconds from the notice until the engine ends.
    pub notice_s: f64,
    /// Seconds from the notice until a new engine replaces it.
    pub replaced_after_s: f64,
}

/// The organisations that send the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisations {
    /// Parts of the usual load, by organisation; their sum is 1.
    pub parts: Vec<f64>,
    /// An organisation that sends more than usual.
    #[serde(default)]
    pub flood: Option<Flood>,
}

/// An organisation that sends more than usual for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Index of the organisation.
    pub organisation: usize,
    /// Multiple of its usual load.
    pub factor: f64,
    /// Seconds until it begins.
    pub from_s: f64,
    /// Seconds until it ends.
    pub until_s: f64,
}

/// Sinusoidal variation of the arrival rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Amplitude, as a share of the mean rate.
    pub swing: f64,
    /// Period in seconds.
    pub period_s: f64,
}

impl Experiment {
    /// Parses an experiment file.
    pub fn parse(yaml: &str) -> Result<Experiment, serde_saphyr::Error> {
        serde_saphyr::from_str(yaml)
    }

    /// Returns the number of organisations.
    pub fn organisation_count(&self) -> usize {
        self.organisations.as_ref().map_or(0, |organisations| organisations.parts.len())
    }

    /// Returns the flood, if there is one.
    pub fn flood(&self) -> Option<&Flood> {
        self.organisations.as_ref()?.flood.as_ref()
    }

    /// Returns the factor on the mean arrival rate at a time.
    pub fn rate_factor(&self, since_start: Duration) -> f64 {
        let Some(wave) = &self.wave else { return 1.0 };
        let periods = since_start.as_secs_f64() / wave.period_s;
        1.0 + wave.swing * (periods * std::f64::consts::TAU).sin()
    }
}

impl Engines {
    /// Returns the configuration of the engine at a place in the fleet.
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
    /// Returns the objective for the time to the first event.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the time after which a caller that has received no event leaves.
    pub fn leaves_after(&self) -> Duration {
        Duration::from_millis(self.leaves_after_ms)
    }

    /// Returns the longest acceptable gap between two events.
    pub fn gap(&self) -> Duration {
        Duration::from_millis(self.gap_ms)
    }
}
