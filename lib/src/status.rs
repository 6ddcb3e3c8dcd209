//! What a node tells of itself on its admin port; `leadstage status` reads it.

use serde::Deserialize;
use serde::Serialize;

use crate::burn::BurnCounts;
use crate::ids::BundleNumber;

/// A node's status.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct NodeStatus {
    /// Its VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Whether the balancer may send it requests, or why not.
    pub readiness: String,
    /// The bundle in force, if any.
    pub bundle: Option<BundleNumber>,
    /// Hash of its text.
    pub bundle_hash: String,
    /// Requests open at its callers' port.
    pub open: u32,
    /// Whether the latest call to the object API worked.
    pub platform_reached: bool,
    /// The other entry VMs.
    pub peers: Vec<PeerSummary>,
    /// The pools that it leads.
    pub pools: Vec<PoolSummary>,
    /// Upstreams that it knows to be leaving.
    pub leaving: Vec<String>,
    /// Halls that it knows to be closed.
    #[serde(default)]
    pub closed_halls: Vec<String>,
    /// Fingerprints of the requests that it sends to no upstream, as upstreams ended under them.
    #[serde(default)]
    pub quarantined: Vec<String>,
    /// Upstreams that name a limit, with the requests a second that they take from all nodes together.
    #[serde(default)]
    pub limits: Vec<String>,
}

/// Another entry VM, as this node sees it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct PeerSummary {
    /// Its VM.
    pub vm: String,
    /// What is thought of it.
    pub liveness: String,
}

/// A pool that the node leads.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct PoolSummary {
    /// The model.
    pub model: String,
    /// The hall.
    pub hall: String,
    /// Requests that wait.
    pub waiting: usize,
    /// Generations placed and not ended.
    pub running: usize,
    /// Its engines that may get generations.
    #[serde(default)]
    pub all_engines: usize,
    /// Its engines; where there are hundreds, some of those with generations.
    pub engines: Vec<EngineSummary>,
}

/// An engine of a pool.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EngineSummary {
    /// Its id.
    pub id: String,
    /// Whether it gets new work.
    pub state: String,
    /// Generations placed there.
    pub running: usize,
    /// Tokens of memory that they hold, by the lead's book.
    pub held_tokens: u64,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Observed time of a step in milliseconds.
    pub step_ms: f64,
}

/// A step that was decided for a request, for `leadstage explain`.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Decision {
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// Which filter decided.
    pub filter: String,
    /// What and why.
    pub what: String,
}

/// A node's answer to `leadstage report burn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct BurnStatus {
    /// Its counts.
    pub counts: BurnCounts,
    /// The objectives of the bundle in force.
    pub levels: crate::bundle::ServiceLevels,
}
