//! The status that a node serves on its admin port and `leadstage status` reads.

use serde::Deserialize;
use serde::Serialize;

use crate::burn::BurnCounts;
use crate::ids::BundleNumber;

/// A node's status.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct NodeStatus {
    /// The node's VM.
    pub vm: String,
    /// The node's hall.
    pub hall: String,
    /// Whether the load balancer may send requests to the node, or why not.
    pub readiness: String,
    /// The bundle in force, if any.
    pub bundle: Option<BundleNumber>,
    /// Hash of the bundle's text.
    pub bundle_hash: String,
    /// Open requests on the node's port for callers.
    pub open: u32,
    /// Whether the latest call to the object API succeeded.
    pub platform_reached: bool,
    /// The other entry VMs.
    pub peers: Vec<PeerSummary>,
    /// The pools that the node leads.
    pub pools: Vec<PoolSummary>,
    /// Upstreams that are known to be leaving.
    pub leaving: Vec<String>,
    /// Halls that are known to be closed.
    #[serde(default)]
    pub closed_halls: Vec<String>,
    /// The quarantined requests, which are sent to no upstream because upstreams ended under them: each a
    /// fingerprint, or those of the parts of prompts that requests are quarantined for.
    #[serde(default)]
    pub quarantined: Vec<String>,
    /// Upstreams that announce a limit, each with the requests per second that it accepts from all nodes
    /// together.
    #[serde(default)]
    pub limits: Vec<String>,
}

/// Another entry VM, as seen by this node.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct PeerSummary {
    /// The id of the VM.
    pub vm: String,
    /// The liveness that this node assigns to the VM.
    pub liveness: String,
}

/// A pool that the node leads.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct PoolSummary {
    /// The model.
    pub model: String,
    /// The hall.
    pub hall: String,
    /// Waiting requests.
    pub waiting: usize,
    /// Generations that are placed and have not ended.
    pub running: usize,
    /// Number of engines that may get generations.
    #[serde(default)]
    pub all_engines: usize,
    /// The pool's engines. In a pool of hundreds, only some of those with generations.
    pub engines: Vec<EngineSummary>,
}

/// An engine of a pool.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EngineSummary {
    /// The engine's id.
    pub id: String,
    /// Whether the engine gets new work.
    pub state: String,
    /// Generations placed on the engine.
    pub running: usize,
    /// KV cache memory that these generations hold by the lead's accounting, in tokens.
    pub held_tokens: u64,
    /// Size of the engine's KV cache memory, in tokens.
    pub memory_tokens: u64,
    /// Observed time of an engine step, in milliseconds.
    pub step_ms: f64,
}

/// A decision that was made for a request, for `leadstage explain`.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Decision {
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// The filter that decided.
    pub filter: String,
    /// What was decided and why.
    pub what: String,
}

/// A node's response to `leadstage report burn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct BurnStatus {
    /// The node's counts.
    pub counts: BurnCounts,
    /// The objectives of the bundle in force.
    pub levels: crate::bundle::ServiceLevels,
}
