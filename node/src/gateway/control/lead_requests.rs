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

use crate::gateway::control::lead_scheduler::PendingPlacement;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::RemotePlace;
use crate::gateway::shared::Shared;

/// A lead that does not answer within this is passed over: ten times the round trip between
/// halls with a turn of a busy node in it, and little against the objectives.
const LEAD_TIMEOUT: Duration = Duration::from_millis(40);
/// What a lead may take beyond the time that a generation waits: it looks at those that
/// wait each 100 ms, and may be late itself.
const WAIT_SLACK: Duration = Duration::from_millis(300);

/// A question without an answer.
pub struct LeadRequest {
    /// What was asked.
    pub pending: PendingPlacement,
    /// The lead that was asked.
    pub lead: VmId,
}

/// The questions without an answer, by the generation that they are about.
pub struct LeadRequests {
    shared: Arc<Shared>,
    outbox: Outbox,
    pending: PendingQueries<RunId, LeadRequest>,
}

impl LeadRequests {
    /// None yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        LeadRequests { shared, outbox, pending: PendingQueries::default() }
    }

    /// Asks a lead to place a generation.
    pub fn send(&mut self, pending: PendingPlacement, lead: VmId, address: SocketAddr) {
        let run = pending.key.run;
        let remote = RemotePlace {
            run,
            wanted: pending.wanted.clone(),
            priority: pending.priority,
            patience: pending.patience,
            leaves_after: pending.leaves_after,
        };
        self.outbox.send(address, &PeerMessage::Place(remote));
        self.pending.insert(run, LeadRequest { pending, lead }, self.shared.now() + LEAD_TIMEOUT);
        self.shared.tell_after(LEAD_TIMEOUT, ToControl::LeadSilent(run));
    }

    /// The lead lets the generation wait; returns the lead.
    pub fn on_waits(&mut self, run: RunId) -> Option<&VmId> {
        let within = self.pending.get(run)?.pending.leaves_after + WAIT_SLACK;
        self.shared.tell_after(within, ToControl::LeadSilent(run));
        let request = self.pending.extend(run, self.shared.now() + within)?;
        Some(&request.lead)
    }

    /// Takes a question out, as its answer came.
    pub fn take_answered(&mut self, run: RunId) -> Option<LeadRequest> {
        self.pending.take_answered(run)
    }

    /// Takes a question out if its lead is to be passed over.
    pub fn take_overdue(&mut self, run: RunId) -> Option<LeadRequest> {
        self.pending.take_overdue(run, self.shared.now())
    }

    /// Takes the questions out whose lead is gone: a generation may wait there for the whole time
    /// until its first event is due.
    pub fn take_for_lost_lead(&mut self, lead: &VmId) -> Vec<LeadRequest> {
        self.pending.take_matching(|request| request.lead == *lead)
    }

    /// The oldest generation without an answer.
    pub fn oldest(&self) -> Option<RunId> {
        self.pending.oldest()
    }
}
