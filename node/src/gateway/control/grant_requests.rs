//! Requests to other nodes for a grant to send a plain call to a replica that announces a limit, with a
//! timeout for the answers.

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

/// A node that does not answer within this time is skipped, as a lead is. This is ten times the round trip
/// between halls including a turn of a busy node. A call waits at most this long for an answer, and only
/// calls that request a grant wait.
const GRANT_TIMEOUT: Duration = Duration::from_millis(40);

/// A plain call that waits for a grant.
pub struct GrantRequest {
    /// The call.
    pub pending: PendingPlacement,
    /// The replica that the call would be sent to.
    pub replica: Arc<ReplicaRecord>,
    /// The node that the grant was requested from.
    pub granter: VmId,
    /// Number of replicas that grants were requested for, including this one.
    pub tries: u32,
}

impl GrantRequest {
    fn id(&self) -> GrantRequestId {
        GrantRequestId { run: self.pending.key.run, number: self.tries }
    }
}

/// The unanswered requests for grants.
pub struct GrantRequests {
    shared: Arc<Shared>,
    outbox: Outbox,
    pending: PendingQueries<GrantRequestId, GrantRequest>,
}

impl GrantRequests {
    /// Creates an empty set of requests.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        GrantRequests { shared, outbox, pending: PendingQueries::default() }
    }

    /// Requests a grant from the node at `address`.
    pub fn send(&mut self, request: GrantRequest, limit: AnnouncedLimit, address: SocketAddr) {
        let id = request.id();
        let message = AskGrant { question: id, limit, urgency: urgency(&request.pending) };
        self.outbox.send(address, &PeerMessage::AskGrant(message));
        self.pending.insert(id, request, self.shared.now() + GRANT_TIMEOUT);
        self.shared.notify_after(GRANT_TIMEOUT, ToControl::GrantSilent(id));
    }

    /// Removes and returns a request that has been answered.
    pub fn take_answered(&mut self, id: GrantRequestId) -> Option<GrantRequest> {
        self.pending.take_answered(id)
    }

    /// Removes and returns a request if its timeout has passed.
    pub fn take_overdue(&mut self, id: GrantRequestId) -> Option<GrantRequest> {
        self.pending.take_overdue(id, self.shared.now())
    }
}

/// The urgency of a call's request for a grant. A call that has been sent before is the least urgent: where
/// all replicas are rate-limited, retries would only increase the load.
pub fn urgency(pending: &PendingPlacement) -> u8 {
    if pending.wanted.exclude.is_empty() { pending.priority } else { LEAST_URGENT }
}
