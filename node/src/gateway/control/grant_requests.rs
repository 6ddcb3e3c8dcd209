//! Questions to other nodes for a grant to send a plain call to a replica that names a limit, and how long
//! their answers are waited for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::limit_grants::LEAST_URGENT;
use leadstage_lib::gateway::pending_queries::PendingQueries;
use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::VmId;

use crate::gateway::control::lead_scheduler::PendingPlacement;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::peer_message::AskGrant;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Whoever does not answer within this is passed over, as a lead is: ten times the round trip between halls
/// with a turn of a busy node in it. So much a call waits at most, and only those that ask.
const GRANT_TIMEOUT: Duration = Duration::from_millis(40);

/// A plain call that waits for a grant.
pub struct GrantRequest {
    /// The call.
    pub pending: PendingPlacement,
    /// The replica that it would be sent to.
    pub replica: Arc<ReplicaRecord>,
    /// The node that was asked.
    pub granter: VmId,
    /// Replicas that it has asked for, this one included.
    pub tries: u32,
}

impl GrantRequest {
    fn id(&self) -> GrantRequestId {
        GrantRequestId { run: self.pending.key.run, number: self.tries }
    }
}

/// The questions without an answer.
pub struct GrantRequests {
    shared: Arc<Shared>,
    outbox: Outbox,
    pending: PendingQueries<GrantRequestId, GrantRequest>,
}

impl GrantRequests {
    /// None yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        GrantRequests { shared, outbox, pending: PendingQueries::default() }
    }

    /// Asks another node, at `address`.
    pub fn send(&mut self, request: GrantRequest, limit: AnnouncedLimit, address: SocketAddr) {
        let id = request.id();
        let message = AskGrant { question: id, limit, urgency: urgency(&request.pending) };
        self.outbox.send(address, &PeerMessage::AskGrant(message));
        self.pending.insert(id, request, self.shared.now() + GRANT_TIMEOUT);
        self.shared.tell_after(GRANT_TIMEOUT, ToControl::GrantSilent(id));
    }

    /// Takes a question out, as its answer came.
    pub fn take_answered(&mut self, id: GrantRequestId) -> Option<GrantRequest> {
        self.pending.take_answered(id)
    }

    /// Takes a question out if who was asked is to be passed over.
    pub fn take_overdue(&mut self, id: GrantRequestId) -> Option<GrantRequest> {
        self.pending.take_overdue(id, self.shared.now())
    }
}

/// The urgency with which a call asks. One that was sent before goes last: where all replicas are in need,
/// repeats would only make it worse.
pub fn urgency(pending: &PendingPlacement) -> u8 {
    if pending.wanted.exclude.is_empty() { pending.priority } else { LEAST_URGENT }
}
