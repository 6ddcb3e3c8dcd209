//! Questions to other nodes for a grant to send a plain call to a replica that names a limit, and how long
//! their answers are waited for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::limit_grants::LEAST_URGENT;
use leadstage_lib::gateway::replica_limits::ToldLimit;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::run_key::RunId;
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

/// The questions without an answer.
pub struct GrantQuestions {
    shared: Arc<Shared>,
    outbox: Outbox,
    open: HashMap<RunId, GrantQuestion>,
}

impl GrantQuestions {
    /// None yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        GrantQuestions { shared, outbox, open: HashMap::new() }
    }

    /// Asks another node, at `address`.
    pub fn ask(&mut self, question: GrantQuestion, limit: ToldLimit, address: SocketAddr) {
        let run = question.ask.key.run;
        let ask = AskGrant { run, limit, urgency: urgency(&question.ask) };
        self.outbox.send(address, &PeerMessage::AskGrant(ask));
        self.open.insert(run, question);
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(GRANT_LIMIT).await;
            shared.tell(ToControl::GrantSilent(run));
        });
    }

    /// Takes a question out, as its answer came or did not come in time.
    pub fn take(&mut self, run: RunId) -> Option<GrantQuestion> {
        self.open.remove(&run)
    }
}

/// The urgency with which a call asks. One that was sent before goes last: where all replicas are in need,
/// repeats would only make it worse.
pub fn urgency(ask: &Ask) -> u8 {
    if ask.wanted.exclude.is_empty() { ask.priority } else { LEAST_URGENT }
}
