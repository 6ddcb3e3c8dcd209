//! Names of requests in the fleet.

use crate::ids::VmId;

/// Names one request of one node; a node's ids rise.
pub type RunId = u64;

/// Names one request in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// The node that its caller is connected to.
    pub entry: VmId,
    /// The request.
    pub run: RunId,
}
