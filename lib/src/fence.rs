//! Fenced orders to the engines of a pool. An epoch is taken by conditional update only
//! when there is something to order; an engine that checks fences refuses an older one.
//!
//! An engine that does not check gets an order only within a lease that was checked just
//! before sending, after the predecessor's lease and the longest delay of an order have
//! passed, and with the intent recorded first. What that cannot cover: a holder that is
//! paused between the check and the send for longer than the lease's reserve.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim_writer::WriteResult;
use crate::ids::UnixMillis;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// Time for which a holder may send orders after it wrote its lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Longest time from the check of the lease until an order takes effect, with what the
/// VMs' clocks may differ by.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(3);

/// The object that holds a pool's fence.
pub fn object_key(model: &str, hall: &str) -> String {
    format!("fences/{model}/{hall}")
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Order {
    /// Which engine.
    pub engine: UpstreamId,
    /// What to do, as the engine's protocol names it, as in `load:ADAPTER`.
    pub action: String,
}

/// A pool's fence as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Fence {
    /// Rises with each holder; sent with each order.
    pub epoch: u64,
    /// The VM that may send orders.
    pub holder: Option<VmId>,
    /// Until when, by the holder's clock.
    pub lease_until: UnixMillis,
    /// The order that is about to be sent, or was.
    pub intent: Option<Order>,
}

/// What the driver is to do. It reports each exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum FenceAction {
    /// Read the fence and report with [`OrderSender::on_read`].
    Read,
    /// Write it if it still has this version, and report with [`OrderSender::on_write`].
    Write {
        /// The version; 0 for absent.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Send the order now, if [`OrderSender::may_send`] still says so, and report with
    /// [`OrderSender::on_sent`].
    Send {
        /// The fence to send with it.
        epoch: u64,
        /// The order.
        order: Order,
    },
}

#[derive(Debug, PartialEq)]
enum State {
    Idle,
    Reading,
    Writing,
    Sending,
}

/// Sends the orders of one pool for this VM, one at a time.
#[derive(Debug)]
pub struct OrderSender {
    own_vm: VmId,
    checks_fences: bool,
    state: State,
    known: Option<(u64, Fence)>,
    proposed: Fence,
}

impl OrderSender {
    /// A sender for a pool whose engines check fences, or do not.
    pub fn new(own_vm: VmId, checks_fences: bool) -> Self {
        OrderSender { own_vm, checks_fences, state: State::Idle, known: None, proposed: Fence::default() }
    }

    /// Goes on with `wanted`, the next order that is needed, if there is one.
    pub fn advance(&mut self, wanted: Option<&Order>, now: UnixMillis) -> Option<FenceAction> {
        let wanted = wanted?;
        if self.state != State::Idle {
            return None;
        }
        let Some((version, fence)) = &self.known else {
            self.state = State::Reading;
            return Some(FenceAction::Read);
        };
        let (version, fence) = (*version, fence.clone());
        let is_holder = fence.holder.as_ref() == Some(&self.own_vm);
        if is_holder && fence.intent.as_ref() == Some(wanted) && self.may_send(now) {
            self.state = State::Sending;
            return Some(FenceAction::Send { epoch: fence.epoch, order: wanted.clone() });
        }
        if !is_holder && !self.may_take_over(&fence, now) {
            self.known = None;
            return None;
        }
        self.proposed = Fence {
            epoch: if is_holder { fence.epoch } else { fence.epoch + 1 },
            holder: Some(self.own_vm.clone()),
            lease_until: now + LEASE_DURATION.as_millis() as u64,
            intent: Some(wanted.clone()),
        };
        self.state = State::Writing;
        let value = serde_json::to_vec(&self.proposed).expect("plain data serialises");
        Some(FenceAction::Write { expected: version, value })
    }

    /// Whether another VM's fence may be taken: at once where engines check, else only
    /// when none of its orders can still take effect.
    fn may_take_over(&self, fence: &Fence, now: UnixMillis) -> bool {
        let safe_after = fence.lease_until + MAX_ORDER_DELAY.as_millis() as u64;
        fence.holder.is_none() || self.checks_fences || now > safe_after
    }

    /// Whether this VM still holds the lease; to be asked again right before sending.
    pub fn may_send(&self, now: UnixMillis) -> bool {
        let held = self.known.as_ref().map(|(_, fence)| fence);
        held.is_some_and(|f| f.holder.as_ref() == Some(&self.own_vm) && now < f.lease_until)
    }

    /// The read is over: version and value, (0, empty) when absent, `None` on failure.
    pub fn on_read(&mut self, read: Option<(u64, Vec<u8>)>) {
        if self.state != State::Reading {
            return;
        }
        self.state = State::Idle;
        self.known = read.and_then(|(version, value)| {
            let fence =
                if value.is_empty() { Some(Fence::default()) } else { serde_json::from_slice(&value).ok() };
            Some((version, fence?))
        });
    }

    /// The write is over; unless it is known to have taken effect, the fence is read again.
    pub fn on_write(&mut self, result: WriteResult) {
        if self.state != State::Writing {
            return;
        }
        self.state = State::Idle;
        self.known = match result {
            WriteResult::Done { version } => Some((version, std::mem::take(&mut self.proposed))),
            WriteResult::Conflict | WriteResult::Unknown => None,
        };
    }

    /// The order was sent, refused, or not sent after all. A refusal means that another
    /// VM has a higher epoch.
    pub fn on_sent(&mut self, refused: bool) {
        self.state = State::Idle;
        if refused {
            self.known = None;
        }
    }
}
