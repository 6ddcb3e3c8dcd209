//! The bundle: the versioned configuration that operators roll out.
//!
//! docs/CONFIG.md describes each field for operators. [`crate::bundle_check`] parses and validates it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BundleNumber;
use crate::ids::HallId;
use crate::ids::ModelId;
use crate::ids::OrganisationId;
use crate::ids::UpstreamId;

/// The measure that the placement policy optimises first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Tail of the time between two tokens of a stream.
    #[default]
    TokenGap,
    /// Time that streams are stalled, and preemptions.
    Stall,
}

/// The contents of a bundle.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Version number, 1 or more; each roll-out must have a higher one.
    pub number: BundleNumber,
    /// Name of the fleet; used in status output only.
    pub fleet: String,
    /// The measure that the placement policy optimises first.
    pub objective: Objective,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Models that are served.
    pub models: Vec<Model>,
    /// Plain services that requests are routed to.
    pub services: Vec<Service>,
    /// Path prefixes and the services that serve them.
    pub routes: Vec<Route>,
    /// Limits on sizes, times and retries.
    pub bounds: Bounds,
    /// Service-level objectives of the burn report.
    pub service_levels: ServiceLevels,
}

/// An organisation that may send requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Organisation {
    /// Its id in limits, logs and metrics.
    pub id: OrganisationId,
    /// Its weight relative to the other organisations when engines are short of capacity.
    pub share: f64,
    /// SHA-256 hash of each bearer token in hex; the tokens themselves are not stored.
    pub token_hashes: Vec<String>,
    /// Maximum number of requests open at once on one node.
    pub max_open: u32,
    /// Requests with a higher priority start first within the organisation's own queue; -100 to 100.
    pub priority: i32,
}

impl Default for Organisation {
    fn default() -> Self {
        Organisation { id: "".into(), share: 1.0, token_hashes: Vec::new(), max_open: 1_000, priority: 0 }
    }
}

/// A model and the properties of its engines.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Model {
    /// Its id, as callers give it in requests.
    pub id: ModelId,
    /// Maximum number of prompt tokens.
    pub max_prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Whether its engines reject orders with an outdated fence.
    pub checks_fences: bool,
    /// Adapters that each of its engines must have loaded.
    pub adapters: Vec<String>,
    /// Halls that may serve it; all halls if empty.
    pub halls: Vec<HallId>,
    /// Upstreams that get no new work even if the VM list says that they are available.
    pub drained: Vec<UpstreamId>,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            id: "".into(),
            max_prompt_tokens: 16_000,
            max_output_tokens: 30_000,
            checks_fences: false,
            adapters: Vec::new(),
            halls: Vec::new(),
            drained: Vec::new(),
        }
    }
}

/// A service that is called with plain requests instead of generations.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Its id, as given by `serves` in the VM list.
    pub id: ModelId,
}

/// A path prefix whose requests are routed to a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The prefix of the path; the longest matching prefix wins.
    pub prefix: String,
    /// The id of the service.
    pub service: ModelId,
    /// Methods whose requests may be retried; requests with any other method run at most once.
    pub repeatable: Vec<String>,
}

/// Limits on sizes, times and retries.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for the arrival of a request body.
    #[serde(with = "humantime_serde")]
    pub body_within: Duration,
    /// Maximum number of requests open at once on a node.
    pub max_open_per_node: u32,
    /// Maximum number of requests that wait in the queue of a pool.
    pub max_queue: u32,
    /// Maximum time that a request waits for an engine.
    #[serde(with = "humantime_serde")]
    pub max_wait: Duration,
    /// Accepted probability, 0.0001 to 0.5, that the KV cache memory of an engine overflows within 1,024
    /// steps if no further generation is placed there.
    pub overflow_chance: f64,
    /// Time after which a leaving upstream gets no new work.
    #[serde(with = "humantime_serde")]
    pub leaving_within: Duration,
    /// Time without progress after which a stream is resumed at its engine.
    #[serde(with = "humantime_serde")]
    pub stall_within: Duration,
    /// Timeout for the response of a plain service.
    #[serde(with = "humantime_serde")]
    pub call_within: Duration,
    /// Maximum ratio of retries to requests, 0 to 1.
    pub retry_ratio: f64,
    /// Time that open streams have to end in a planned stop of the node.
    #[serde(with = "humantime_serde")]
    pub stop_within: Duration,
    /// Time after which a node that reaches neither the object API nor a peer reports that it is not ready.
    #[serde(with = "humantime_serde")]
    pub alone_within: Duration,
    /// Number of claim shards that `Idempotency-Key`s are distributed over, 1 to 64.
    pub claim_shards: u32,
    /// Minimum time between two writes of a claim shard by one writer.
    #[serde(with = "humantime_serde")]
    pub claim_commit: Duration,
    /// Retention time of the claim of a key and its outcome.
    #[serde(with = "humantime_serde")]
    pub claims_kept: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_body_bytes: 1 << 20,
            body_within: Duration::from_secs(10),
            max_open_per_node: 4_000,
            max_queue: 200,
            max_wait: Duration::from_secs(10),
            overflow_chance: 0.2,
            leaving_within: Duration::from_secs(3),
            stall_within: Duration::from_secs(2),
            call_within: Duration::from_secs(10),
            retry_ratio: 0.1,
            stop_within: Duration::from_secs(1_800),
            alone_within: Duration::from_secs(10),
            claim_shards: 8,
            claim_commit: Duration::from_millis(200),
            claims_kept: Duration::from_secs(600),
        }
    }
}

/// A service-level objective of the burn report: the share of events that must end within a time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// Time limit of a good event, inclusive.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
    /// Share of the events that must be good, 0 to 1.
    pub share: f64,
}

impl ServiceLevel {
    fn new(within_ms: u64, share: f64) -> Self {
        ServiceLevel { within: Duration::from_millis(within_ms), share }
    }
}

/// Service-level objectives of the burn report.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevels {
    /// Time from the request to its first token.
    pub first_token: ServiceLevel,
    /// Time between two tokens of a stream.
    pub token_gap: ServiceLevel,
    /// Total time that a stream is stalled; one event per stream.
    pub stall: ServiceLevel,
    /// Time from a request to the response of a plain service.
    pub calls: ServiceLevel,
}

impl Default for ServiceLevels {
    fn default() -> Self {
        ServiceLevels {
            first_token: ServiceLevel::new(340, 0.95),
            token_gap: ServiceLevel::new(33, 0.95),
            stall: ServiceLevel::new(1_000, 0.99),
            calls: ServiceLevel::new(500, 0.99),
        }
    }
}

impl Bundle {
    /// Returns the model with this id.
    pub fn model(&self, id: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.id == id)
    }

    /// Returns the organisation with this id.
    pub fn organisation(&self, id: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|o| &*o.id == id)
    }

    /// Returns the route with the longest prefix of `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }
}

impl Route {
    /// Whether a request with this method may be retried.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.iter().any(|m| m == method)
    }
}
