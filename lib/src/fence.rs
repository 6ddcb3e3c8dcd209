//! Fenced orders to the engines of a pool. A sender acquires a new epoch by a conditional update of the
//! stored fence, and only when there is an order to send. An engine that checks fences refuses an order of an
//! older epoch.
//!
//! An engine that does not check fences gets an order only under these conditions: the sender holds a lease
//! that it checks just before sending, the predecessor's lease and the maximum delay of an order have passed,
//! and the intent has been recorded. This does not cover a holder that is paused between the check and the
//! send for longer than [`MAX_ORDER_DELAY`] allows for.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim_writer::WriteResult;
use crate::ids::UnixMillis;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// Time for which a holder may send orders after writing its lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Maximum time from the check of the lease until an order takes effect, including the clock skew between
/// VMs.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(3);

/// Returns the key of the object that stores a pool's fence.
pub fn object_key(model: &str, hall: &str) -> String {
    format!("fences/{model}/{hall}")
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Order {
    /// The engine that the order is for.
    pub engine: UpstreamId,
    /// The action in the terms of the engine's protocol, such as `load:ADAPTER`.
    pub action: String,
}

/// The fence of a pool as stored in the object API.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Fence {
    /// The epoch, which increases with each new holder and is sent with each order.
    pub epoch: u64,
    /// The VM that may send orders.
    pub holder: Option<VmId>,
    /// End of the lease by the holder's clock.
    pub lease_until: UnixMillis,
    /// The order that the holder is about to send or has sent.
    pub intent: Option<Order>,
}

/// An action for the driver, which reports the result of each action exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum FenceAction {
    /// Read the fence and report the result to [`OrderSender::on_read`].
    Read,
    /// Write the fence if it still has the expected version, and report the result to
    /// [`OrderSender::on_write`].
    Write {
        /// The expected version; 0 if the fence must be absent.
        expected: u64,
        /// The serialised new fence.
        value: Vec<u8>,
    },
    /// Send the order now if [`OrderSender::may_send`] still returns true, and report the result to
    /// [`OrderSender::on_sent`].
    Send {
        /// The epoch to send with the order.
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

/// The state machine that sends this VM's orders to the engines of one pool, one order at a time.
#[derive(Debug)]
pub struct OrderSender {
    own_vm: VmId,
    checks_fences: bool,
    state: State,
    known: Option<(u64, Fence)>,
    proposed: Fence,
}

impl OrderSender {
    /// Creates a sender. `checks_fences` says whether the engines of the pool check fences.
    pub fn new(own_vm: VmId, checks_fences: bool) -> Self {
        OrderSender { own_vm, checks_fences, state: State::Idle, known: None, proposed: Fence::default() }
    }

    /// Returns the next action towards sending `wanted`, or `None` if there is no order to send, an action is
    /// still in progress or another VM's fence is in force.
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

    /// Whether this VM may take over a fence that it does not hold: at once if the engines check fences,
    /// otherwise only when no order of the holder can take effect any more.
    fn may_take_over(&self, fence: &Fence, now: UnixMillis) -> bool {
        let safe_after = fence.lease_until + MAX_ORDER_DELAY.as_millis() as u64;
        fence.holder.is_none() || self.checks_fences || now > safe_after
    }

    /// Whether this VM still holds the lease. The driver must check this again right before sending.
    pub fn may_send(&self, now: UnixMillis) -> bool {
        let held = self.known.as_ref().map(|(_, fence)| fence);
        held.is_some_and(|f| f.holder.as_ref() == Some(&self.own_vm) && now < f.lease_until)
    }

    /// Handles the result of a read: version and value, (0, empty) if the fence is absent, `None` on failure.
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

    /// Handles the result of a write. Unless the write is known to have taken effect, the fence is read
    /// again.
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

    /// Handles the end of a send: the order was sent, was refused, or was not sent after all. A refusal means
    /// that another VM has a higher epoch, so the fence is read again.
    pub fn on_sent(&mut self, refused: bool) {
        self.state = State::Idle;
        if refused {
            self.known = None;
        }
    }
}
