//! The experiment file of the placement policy simulation.

use std::time::Duration;

use leadstage_lib::bundle::Objective;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::pool_event::EngineLimits;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_testutils::engine_model::EngineConfig;
use leadstage_testutils::lengths::Lengths;
use lexopt::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde::Deserialize;

/// An organisation that offers requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Identifier of the organisation.
    pub name: OrganisationId,
    /// Weight of its fair share of the engines.
    pub share: f64,
    /// Weight of its part of the offered requests; defaults to `share`.
    pub offered: Option<f64>,
}

/// Capacity and step timing of the engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSizes {
    blocks: u64,
    block_tokens: u64,
    max_batch: usize,
    #[serde(with = "humantime_serde")]
    step: Duration,
    prefill_tokens_per_step: u64,
}

impl Default for EngineSizes {
    fn default() -> Self {
        let config = EngineConfig::default();
        EngineSizes {
            blocks: config.blocks,
            block_tokens: config.block_tokens,
            max_batch: config.max_batch,
            step: config.step,
            prefill_tokens_per_step: config.prefill_tokens_per_step,
        }
    }
}

/// Contents of the experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    #[serde(default)]
    pub seed: u64,
    #[serde(default = "two_minutes", with = "humantime_serde")]
    pub duration: Duration,
    pub engines: usize,
    #[serde(default)]
    engine: EngineSizes,
    #[serde(default)]
    slow_engines: usize,
    #[serde(default = "one_second", with = "humantime_serde")]
    pub load_report_lag: Duration,
    pub rate: f64,
    #[serde(default = "default_prompts")]
    prompts: Lengths,
    #[serde(default = "default_outputs")]
    outputs: Lengths,
    #[serde(default = "default_max_output")]
    max_output: u64,
    #[serde(default = "one_organisation")]
    pub organisations: Vec<Organisation>,
    #[serde(default)]
    pub objective: Objective,
    #[serde(default = "all_policies")]
    pub policies: Vec<String>,
    #[serde(default, deserialize_with = "durations")]
    pub kill_engine_at: Vec<Duration>,
    /// Maximum number of waiting requests, for every policy.
    #[serde(default = "default_max_queue")]
    pub max_queue: usize,
    /// Maximum time that a request waits for its start, for every policy.
    #[serde(default = "default_max_wait", with = "humantime_serde")]
    pub max_wait: Duration,
    /// Accepted probability of overflow; defaults to the bundle's default.
    pub overflow_chance: Option<f64>,
}

fn two_minutes() -> Duration {
    Duration::from_secs(120)
}

fn one_second() -> Duration {
    Duration::from_secs(1)
}

fn default_prompts() -> Lengths {
    Lengths::Lognormal { median: 400.0, p99: 8_000.0 }
}

fn default_outputs() -> Lengths {
    Lengths::Lognormal { median: 200.0, p99: 4_000.0 }
}

fn default_max_output() -> u64 {
    30_000
}

fn default_max_queue() -> usize {
    200
}

fn default_max_wait() -> Duration {
    Duration::from_secs(10)
}

fn one_organisation() -> Vec<Organisation> {
    vec![Organisation { name: "a".into(), share: 1.0, offered: None }]
}

fn all_policies() -> Vec<String> {
    ["round_robin", "least_loaded", "power_of_two", "leadstage"].map(str::to_owned).into()
}

fn durations<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<Duration>, D::Error> {
    let texts = Vec::<String>::deserialize(deserializer)?;
    texts.iter().map(|text| humantime::parse_duration(text).map_err(serde::de::Error::custom)).collect()
}

impl Experiment {
    /// Reads the file named on the command line. Returns `None` if there is none, as when `cargo test` or
    /// `cargo bench` runs all targets.
    pub fn from_args() -> Result<Option<Experiment>, Box<dyn std::error::Error>> {
        let mut path = None;
        let mut args = lexopt::Parser::from_env();
        while let Some(arg) = args.next()? {
            match arg {
                Long("experiment") => path = Some(args.value()?),
                Long("bench") | Long("test") => {}
                _ => return Err(arg.unexpected().into()),
            }
        }
        let Some(path) = path else {
            eprintln!("policy: nothing to do without --experiment FILE");
            return Ok(None);
        };
        Ok(Some(serde_saphyr::from_str(&std::fs::read_to_string(path)?)?))
    }

    /// Configuration of an engine, including its slowdown.
    pub fn engine_config(&self, engine: usize) -> EngineConfig {
        let sizes = self.engine;
        EngineConfig {
            blocks: sizes.blocks,
            block_tokens: sizes.block_tokens,
            max_batch: sizes.max_batch,
            step: sizes.step,
            prefill_tokens_per_step: sizes.prefill_tokens_per_step,
            slowdown: if engine < self.slow_engines { 2.0 } else { 1.0 },
            ..EngineConfig::default()
        }
    }

    /// Limits as reported by the engines.
    pub fn limits(&self) -> EngineLimits {
        EngineLimits {
            blocks: self.engine.blocks,
            block_tokens: self.engine.block_tokens as u32,
            max_batch: self.engine.max_batch as u32,
        }
    }

    /// Draws a request and its output length.
    pub fn draw(&self, rng: &mut SmallRng) -> (PlaceRequest, u64) {
        let memory = self.engine.blocks * self.engine.block_tokens;
        let generation = rng.random();
        let organisation = self.draw_organisation(rng);
        let prompt_tokens = self.prompts.draw(rng, memory / 2) as u32;
        let output = self.outputs.draw(rng, self.max_output);
        let request = PlaceRequest {
            generation,
            organisation,
            entry: "entry".into(),
            prompt_tokens,
            max_tokens: self.max_output as u32,
            priority: 0,
            prefix: 0,
        };
        (request, output)
    }

    fn draw_organisation(&self, rng: &mut SmallRng) -> OrganisationId {
        let offered = |o: &Organisation| o.offered.unwrap_or(o.share);
        let total_offered: f64 = self.organisations.iter().map(offered).sum();
        let mut remaining = rng.random::<f64>() * total_offered;
        for organisation in &self.organisations {
            remaining -= offered(organisation);
            if remaining <= 0.0 {
                return organisation.name.clone();
            }
        }
        self.organisations[0].name.clone()
    }

    /// Returns the index of a request's organisation.
    pub fn organisation_index(&self, request: &PlaceRequest) -> usize {
        self.organisations.iter().position(|o| o.name == request.organisation).unwrap_or(0)
    }

    /// Returns the largest relative deviation of an organisation's served tokens from its fair share of all
    /// served tokens, where shares are weighted and no organisation is allotted more than it requested.
    pub fn share_error(&self, served: &[u64], requested: &[u64]) -> f64 {
        let fair = self.fair_allocation(served.iter().sum::<u64>() as f64, requested);
        let errors = served.iter().zip(&fair).filter(|(_, fair)| **fair > 0.0);
        errors.map(|(served, fair)| (*served as f64 / fair - 1.0).abs()).fold(0.0, f64::max)
    }

    /// Max-min fair allocation of `remaining` tokens, weighted by share.
    fn fair_allocation(&self, mut remaining: f64, requested: &[u64]) -> Vec<f64> {
        let mut allocation = vec![0.0; requested.len()];
        let mut open: Vec<usize> = (0..requested.len()).collect();
        while !open.is_empty() {
            let shares: f64 = open.iter().map(|at| self.organisations[*at].share).sum();
            let fair_share = |at: usize| remaining * self.organisations[at].share / shares;
            let satisfied: Vec<usize> =
                open.iter().copied().filter(|at| requested[*at] as f64 <= fair_share(*at)).collect();
            if satisfied.is_empty() {
                open.iter().for_each(|at| allocation[*at] = fair_share(*at));
                return allocation;
            }
            for at in &satisfied {
                allocation[*at] = requested[*at] as f64;
            }
            remaining -= satisfied.iter().map(|at| requested[*at] as f64).sum::<f64>();
            open.retain(|at| !satisfied.contains(at));
        }
        allocation
    }
}
