//! The configurations that are on their way here from other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::ids::Timestamp;
use tokio_util::task::AbortOnDropHandle;

/// A transfer that lasts longer gets another one beside it, from another node: 5,000 routes take
/// 51 ms on a link of 10 Mbit/s, and a node that sends them slowly must not keep them from one that
/// others have.
pub const NEXT_TRANSFER_DELAY: Duration = Duration::from_millis(500);
/// Transfers beside each other at most.
const MAX_TRANSFERS: usize = 3;

struct Transfer {
    began: Timestamp,
    _task: AbortOnDropHandle<()>,
}

/// Transfers that are under way, by the node that hands out. One that is taken out is broken off.
#[derive(Default)]
pub struct Transfers(BTreeMap<SocketAddr, Transfer>);

impl Transfers {
    /// Whether one comes from this node.
    pub fn is_from(&self, node: SocketAddr) -> bool {
        self.0.contains_key(&node)
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// One begins.
    pub fn begin(&mut self, from: SocketAddr, task: AbortOnDropHandle<()>, now: Timestamp) {
        self.0.insert(from, Transfer { began: now, _task: task });
    }

    /// The one from this node has ended, or is not wanted any more.
    pub fn end(&mut self, from: SocketAddr) {
        self.0.remove(&from);
    }

    /// None is wanted any more.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The time until one more may begin; `None` if it may now.
    pub fn next_due(&self, now: Timestamp) -> Option<Duration> {
        let newest = self.0.values().map(|transfer| transfer.began).max()?;
        if self.0.len() >= MAX_TRANSFERS {
            return Some(NEXT_TRANSFER_DELAY);
        }
        let due = newest + NEXT_TRANSFER_DELAY;
        (due > now).then(|| due - now)
    }
}
