//! Identifiers of requests, within a node and across all nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::VmId;

/// Identifies a request of one node. A node's ids are assigned in increasing order.
pub type RunId = u64;

/// Identifies a request across all nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// The node that the request's caller is connected to.
    pub entry: VmId,
    /// The id of the request on that node.
    pub run: RunId,
}
