//! Questions to the leads of other nodes, and how long their answers are waited for.
//!
//! A lead answers within some milliseconds, or says that the generation waits there. One that
//! does neither is passed over, and this node decides alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::pending_queries::PendingQueries;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::VmId;

use crate::gateway::control::lead_desk::Ask;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::RemotePlace;
use crate::gateway::shared::Shared;

/// A lead that does not answer within this is passed over: ten times the round trip between
/// halls with a turn of a busy node in it, and little against the objectives.
const LEAD_LIMIT: Duration = Duration::from_millis(40);
/// What a lead may take beyond the time that a generation waits: it looks at those that
/// wait each 100 ms, and may be late itself.
const WAIT_SLACK: Duration = Duration::from_millis(300);

/// A question without an answer.
pub struct Question {
    /// What was asked.
    pub ask: Ask,
    /// The lead that was asked.
    pub lead: VmId,
}

/// The questions without an answer, by the generation that they are about.
pub struct LeadQuestions {
    shared: Arc<Shared>,
    outbox: Outbox,
    open: PendingQueries<RunId, Question>,
}

impl LeadQuestions {
    /// None yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        LeadQuestions { shared, outbox, open: PendingQueries::default() }
    }

    /// Asks a lead to place a generation.
    pub fn ask(&mut self, ask: Ask, lead: VmId, address: SocketAddr) {
        let run = ask.key.run;
        let remote = RemotePlace {
            run,
            wanted: ask.wanted.clone(),
            priority: ask.priority,
            patience: ask.patience,
            leaves_after: ask.leaves_after,
        };
        self.outbox.send(address, &PeerMessage::Place(remote));
        self.open.insert(run, Question { ask, lead }, self.shared.now() + LEAD_LIMIT);
        self.shared.notify_after(LEAD_LIMIT, ToControl::LeadSilent(run));
    }

    /// The lead lets the generation wait; returns the lead.
    pub fn on_waits(&mut self, run: RunId) -> Option<&VmId> {
        let within = self.open.get(run)?.ask.leaves_after + WAIT_SLACK;
        self.shared.notify_after(within, ToControl::LeadSilent(run));
        let question = self.open.extend(run, self.shared.now() + within)?;
        Some(&question.lead)
    }

    /// Takes a question out, as its answer came.
    pub fn answered(&mut self, run: RunId) -> Option<Question> {
        self.open.take_answered(run)
    }

    /// Takes a question out if its lead is to be passed over.
    pub fn overdue(&mut self, run: RunId) -> Option<Question> {
        self.open.take_overdue(run, self.shared.now())
    }

    /// Takes the questions out whose lead is gone: a generation may wait there for the whole time
    /// until its first event is due.
    pub fn of_lost_lead(&mut self, lead: &VmId) -> Vec<Question> {
        self.open.take_matching(|question| question.lead == *lead)
    }

    /// The oldest generation without an answer.
    pub fn oldest(&self) -> Option<RunId> {
        self.open.oldest()
    }
}
