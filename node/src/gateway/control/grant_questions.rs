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

use crate::gateway::control::lead_desk::Ask;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::peer_message::AskGrant;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Whoever does not answer within this is passed over, as a lead is: ten times the round trip between halls
/// with a turn of a busy node in it. So much a call waits at most, and only those that ask.
const GRANT_LIMIT: Duration = Duration::from_millis(40);

/// A plain call that waits for a grant.
pub struct GrantQuestion {
    /// The call.
    pub ask: Ask,
    /// The replica that it would be sent to.
    pub replica: Arc<ReplicaRecord>,
    /// The node that was asked.
    pub granter: VmId,
    /// Replicas that it has asked for, this one included.
    pub tries: u32,
}

impl GrantQuestion {
    fn id(&self) -> GrantRequestId {
        GrantRequestId { run: self.ask.key.run, number: self.tries }
    }
}

/// The questions without an answer.
pub struct GrantQuestions {
    shared: Arc<Shared>,
    outbox: Outbox,
    open: PendingQueries<GrantRequestId, GrantQuestion>,
}

impl GrantQuestions {
    /// None yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        GrantQuestions { shared, outbox, open: PendingQueries::default() }
    }

    /// Asks another node, at `address`.
    pub fn ask(&mut self, question: GrantQuestion, limit: AnnouncedLimit, address: SocketAddr) {
        let id = question.id();
        let ask = AskGrant { question: id, limit, urgency: urgency(&question.ask) };
        self.outbox.send(address, &PeerMessage::AskGrant(ask));
        self.open.insert(id, question, self.shared.now() + GRANT_LIMIT);
        self.shared.notify_after(GRANT_LIMIT, ToControl::GrantSilent(id));
    }

    /// Takes a question out, as its answer came.
    pub fn answered(&mut self, id: GrantRequestId) -> Option<GrantQuestion> {
        self.open.take_answered(id)
    }

    /// Takes a question out if who was asked is to be passed over.
    pub fn overdue(&mut self, id: GrantRequestId) -> Option<GrantQuestion> {
        self.open.take_overdue(id, self.shared.now())
    }
}

/// The urgency with which a call asks. One that was sent before goes last: where all replicas are in need,
/// repeats would only make it worse.
pub fn urgency(ask: &Ask) -> u8 {
    if ask.wanted.exclude.is_empty() { ask.priority } else { LEAST_URGENT }
}
