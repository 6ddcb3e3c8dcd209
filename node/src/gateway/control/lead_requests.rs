//! Placement requests to the leads of other nodes, with a timeout for the answers.
//!
//! A lead answers within some milliseconds, or reports that the generation is queued there. A lead that
//! does neither is skipped, and this node places the generation by itself.

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

/// A lead that does not answer within this time is skipped. This is ten times the round trip between halls
/// including a turn of a busy node, and short compared with the objectives.
const LEAD_TIMEOUT: Duration = Duration::from_millis(40);
/// Additional time that a lead may take when the waiting time of a generation ends: it checks its queues
/// every 100 ms, and may be delayed itself.
const WAIT_SLACK: Duration = Duration::from_millis(300);

/// An unanswered placement request.
pub struct LeadRequest {
    /// The request.
    pub pending: PendingPlacement,
    /// The lead that it was sent to.
    pub lead: VmId,
}

/// The unanswered placement requests, by generation.
pub struct LeadRequests {
    shared: Arc<Shared>,
    outbox: Outbox,
    pending: PendingQueries<RunId, LeadRequest>,
}

impl LeadRequests {
    /// Creates an empty set of requests.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        LeadRequests { shared, outbox, pending: PendingQueries::default() }
    }

    /// Sends a request to place a generation to a lead.
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
        self.shared.notify_after(LEAD_TIMEOUT, ToControl::LeadSilent(run));
    }

    /// Extends the timeout of a generation that is queued at its lead. Returns the lead.
    pub fn on_waits(&mut self, run: RunId) -> Option<&VmId> {
        let within = self.pending.get(run)?.pending.leaves_after + WAIT_SLACK;
        self.shared.notify_after(within, ToControl::LeadSilent(run));
        let request = self.pending.extend(run, self.shared.now() + within)?;
        Some(&request.lead)
    }

    /// Removes and returns a request that has been answered.
    pub fn take_answered(&mut self, run: RunId) -> Option<LeadRequest> {
        self.pending.take_answered(run)
    }

    /// Removes and returns a request if its timeout has passed.
    pub fn take_overdue(&mut self, run: RunId) -> Option<LeadRequest> {
        self.pending.take_overdue(run, self.shared.now())
    }

    /// Removes and returns the requests to a lead that is gone: a generation that is queued there would
    /// otherwise wait until its first event is due.
    pub fn take_for_lost_lead(&mut self, lead: &VmId) -> Vec<LeadRequest> {
        self.pending.take_matching(|request| request.lead == *lead)
    }

    /// The oldest generation whose request is unanswered.
    pub fn oldest(&self) -> Option<RunId> {
        self.pending.oldest()
    }
}
