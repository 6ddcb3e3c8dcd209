//! The bundle: the versioned configuration that operators roll out.
//!
//! docs/CONFIG.md describes each field for operators. It is read and checked in
//! [`crate::bundle_check`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BundleNumber;
use crate::ids::HallId;
use crate::ids::ModelId;
use crate::ids::OrganisationId;
use crate::ids::UpstreamId;

/// What the policy puts first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Tail time between tokens.
    #[default]
    TokenGap,
    /// Stall time and preemptions.
    Stall,
}

/// A whole bundle.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Rises with each roll-out; from 1.
    pub number: BundleNumber,
    /// Name of the fleet, for status only.
    pub fleet: String,
    /// What the placement policy puts first.
    pub objective: Objective,
    /// Who may call.
    pub organisations: Vec<Organisation>,
    /// Which models are served.
    pub models: Vec<Model>,
    /// Which plain services are routed to.
    pub services: Vec<Service>,
    /// Which paths lead to which service.
    pub routes: Vec<Route>,
    /// Bounds on sizes, waits and retries.
    pub bounds: Bounds,
    /// What the burn report measures against.
    pub service_levels: ServiceLevels,
}

/// An organisation that may call.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Organisation {
    /// Its id, for limits, logs and metrics.
    pub id: OrganisationId,
    /// Its part of crowded engines relative to the others.
    pub share: f64,
    /// SHA-256 of each bearer token, in hex; never the token.
    pub token_hashes: Vec<String>,
    /// Requests open at once on one node.
    pub max_open: u32,
    /// Higher starts first within the organisation's own queue, -100 to 100.
    pub priority: i32,
}

impl Default for Organisation {
    fn default() -> Self {
        Organisation { id: "".into(), share: 1.0, token_hashes: Vec::new(), max_open: 1_000, priority: 0 }
    }
}

/// A model and how its engines behave.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Model {
    /// Its id, as callers name it.
    pub id: ModelId,
    /// Prompt tokens at most.
    pub max_prompt_tokens: u32,
    /// Output tokens at most.
    pub max_output_tokens: u32,
    /// Whether its engines refuse orders with an old fence.
    pub checks_fences: bool,
    /// Adapters that each of its engines is to have loaded.
    pub adapters: Vec<String>,
    /// Halls that may serve it; empty for all.
    pub halls: Vec<HallId>,
    /// Upstreams that get no new work, whatever the VM list says.
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

/// A plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Its id, as the VM list's `serves` names it.
    pub id: ModelId,
}

/// A path prefix that leads to a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// Paths that start with this; the longest that matches counts.
    pub prefix: String,
    /// The service's id.
    pub service: ModelId,
    /// Methods whose requests may be sent again; all others run at most once.
    pub repeatable: Vec<String>,
}

/// Bounds on sizes, waits and retries.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's body to arrive.
    #[serde(with = "humantime_serde")]
    pub body_within: Duration,
    /// Requests open at once on a node.
    pub max_open_per_node: u32,
    /// Requests that wait in a pool's queue.
    pub max_queue: u32,
    /// Time a request waits for an engine.
    #[serde(with = "humantime_serde")]
    pub max_wait: Duration,
    /// Accepted chance that an engine's memory overflows within 1,024 steps if nothing
    /// more is placed there, 0.0001 to 0.5.
    pub overflow_chance: f64,
    /// A leaving upstream gets no new work after this.
    #[serde(with = "humantime_serde")]
    pub leaving_within: Duration,
    /// A stream without progress for this long is resumed at its engine.
    #[serde(with = "humantime_serde")]
    pub stall_within: Duration,
    /// Time for a plain service's answer.
    #[serde(with = "humantime_serde")]
    pub call_within: Duration,
    /// Retries as a part of requests, 0 to 1.
    pub retry_ratio: f64,
    /// Time for streams to end in a planned stop.
    #[serde(with = "humantime_serde")]
    pub stop_within: Duration,
    /// A node that reaches neither the object API nor a peer for this long is not ready.
    #[serde(with = "humantime_serde")]
    pub alone_within: Duration,
    /// Claim objects that `Idempotency-Key`s are spread over, 1 to 64.
    pub claim_shards: u32,
    /// Least time between two writes of a claim shard by one writer.
    #[serde(with = "humantime_serde")]
    pub claim_commit: Duration,
    /// How long a key's outcome is kept.
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

/// One objective of the burn report: a part of events within a time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// An event that takes no longer is good.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
    /// Part of the events that must be good, 0 to 1.
    pub share: f64,
}

impl ServiceLevel {
    fn new(within_ms: u64, share: f64) -> Self {
        ServiceLevel { within: Duration::from_millis(within_ms), share }
    }
}

/// What the burn report measures against.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevels {
    /// From the request to its first token.
    pub first_token: ServiceLevel,
    /// Between two tokens of a stream.
    pub token_gap: ServiceLevel,
    /// Time a stream sits without progress, for each stream.
    pub stall: ServiceLevel,
    /// A plain service's answer.
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
    /// A model by id.
    pub fn model(&self, id: &str) -> Option<&Model> {
        self.models.iter().find(|m| &*m.id == id)
    }

    /// An organisation by id.
    pub fn organisation(&self, id: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|o| &*o.id == id)
    }

    /// The route with the longest prefix of `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }
}

impl Route {
    /// Whether a request with this method may be sent again.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.iter().any(|m| m == method)
    }
}
