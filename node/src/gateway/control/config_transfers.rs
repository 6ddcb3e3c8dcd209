//! Transfers of configurations from other nodes to this one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::ids::Timestamp;
use tokio_util::task::AbortOnDropHandle;

/// Time after which a second transfer from another node is started beside one that is still in progress.
/// 5,000 routes take 51 ms on a link of 10 Mbit/s, and a slow sender must not delay a configuration that
/// other nodes have as well.
pub const NEXT_TRANSFER_DELAY: Duration = Duration::from_millis(500);
/// Limit on concurrent transfers.
const MAX_TRANSFERS: usize = 3;

struct Transfer {
    began: Timestamp,
    _task: AbortOnDropHandle<()>,
}

/// Transfers in progress, by the sending node. Removing a transfer cancels it.
#[derive(Default)]
pub struct Transfers(BTreeMap<SocketAddr, Transfer>);

impl Transfers {
    /// Whether a transfer from this node is in progress.
    pub fn is_from(&self, node: SocketAddr) -> bool {
        self.0.contains_key(&node)
    }

    /// Whether no transfer is in progress.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a transfer that begins.
    pub fn begin(&mut self, from: SocketAddr, task: AbortOnDropHandle<()>, now: Timestamp) {
        self.0.insert(from, Transfer { began: now, _task: task });
    }

    /// Removes the transfer from this node, which has ended or is no longer needed.
    pub fn end(&mut self, from: SocketAddr) {
        self.0.remove(&from);
    }

    /// Cancels all transfers.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The time until another transfer may begin; `None` if it may begin now.
    pub fn next_due(&self, now: Timestamp) -> Option<Duration> {
        let newest = self.0.values().map(|transfer| transfer.began).max()?;
        if self.0.len() >= MAX_TRANSFERS {
            return Some(NEXT_TRANSFER_DELAY);
        }
        let due = newest + NEXT_TRANSFER_DELAY;
        (due > now).then(|| due - now)
    }
}
