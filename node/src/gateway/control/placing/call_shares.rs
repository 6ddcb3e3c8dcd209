//! Keeps organisations to their shares of plain services: counts this node's calls, refuses the surplus, and
//! exchanges counts and shares with other nodes.

use std::net::SocketAddr;

use leadstage_lib::gateway::call_admission::ShareChange;
use leadstage_lib::gateway::call_sharing::CallShares;
use leadstage_lib::gateway::call_window::CallReport;
use leadstage_lib::gateway::plain_shares::ShareAction;
use leadstage_lib::gateway::plain_shares::SharingFleet;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::VmId;
use log::info;

use crate::gateway::control::lead_scheduler::PendingPlacement;
use crate::gateway::control::placing::Placing;
use crate::gateway::messages::Outcome;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::PeerMessage;

impl SharingFleet for Fleet {
    fn others(&self) -> impl Iterator<Item = &VmId> {
        self.alive()
    }
}

impl Placing {
    /// Counts a plain call that is placed for the first time, and refuses it if its organisation is over its
    /// share. Later attempts of the same call were admitted before.
    pub(super) fn admit_plain(&mut self, pending: &PendingPlacement) -> Result<(), NoRoom> {
        if !self.is_shared(pending) || !pending.wanted.exclude.is_empty() {
            return Ok(());
        }
        let (service, organisation) = (&pending.wanted.service, pending.wanted.organisation.as_ref());
        let now = self.shared.now();
        let admitted = self.plain_shares.on_call(service, organisation, pending.priority, now);
        admitted.map_err(|delay| NoRoom { expected: Some(delay), over_share: true })
    }

    /// Whether a request counts for the shares of its service: it is a plain call of an organisation.
    fn is_shared(&self, pending: &PendingPlacement) -> bool {
        let wanted = &pending.wanted;
        self.shared.settings.policy.share_calls && wanted.size.is_none() && wanted.organisation.is_some()
    }

    /// Handles the placement of a request of this node.
    pub(super) fn on_plain_decided(&mut self, pending: &PendingPlacement, is_placed: bool) {
        if is_placed && pending.key.entry == self.own && self.is_shared(pending) {
            let (run, service) = (pending.key.run, &pending.wanted.service);
            // For a plain call, that is the objective of its route.
            let objective = pending.leaves_after;
            self.plain_shares.on_placed(run, service, objective, self.shared.now());
        }
    }

    /// Handles the end of a request of this node at its replica.
    pub(super) fn on_plain_ended(&mut self, run: RunId, outcome: Outcome) {
        let now = self.shared.now();
        match outcome {
            Outcome::Answered | Outcome::Errored => self.plain_shares.on_ended(run, false, now),
            Outcome::Refused => self.plain_shares.on_ended(run, true, now),
            Outcome::Failed | Outcome::Withdrawn => self.plain_shares.on_withdrawn(run),
        }
    }

    /// Handles another node's counts of its calls to a service that this node shares out.
    pub fn on_call_counts(&mut self, from: SocketAddr, service: ServiceId, report: CallReport) {
        if self.shared.settings.policy.share_calls {
            self.plain_shares.on_report(&node_id(from), service, report, self.shared.now());
        }
    }

    /// Handles the shares of a service that another node shares out.
    pub fn on_call_shares(&mut self, service: &ServiceId, shares: CallShares) {
        let changes = self.plain_shares.on_shares(service, shares, self.shared.now());
        changes.iter().for_each(log_change);
    }

    /// Does the periodic work of sharing plain services.
    pub fn share_plain_calls(&mut self, fleet: &Fleet) {
        for action in self.plain_shares.tick(fleet, self.shared.now()) {
            match action {
                ShareAction::Report(to, service, report) => {
                    self.send_to(&to, &PeerMessage::CallCounts(service, report))
                }
                ShareAction::Tell(to, service, shares) => {
                    self.send_to(&to, &PeerMessage::CallShares(service, shares))
                }
                ShareAction::Silent(node, service) => {
                    info!(event = "sharer_silent", node = &*node, service = &*service; "the node that shares a plain service did not answer; reporting to another");
                }
                ShareAction::Changed(change) => log_change(&change),
            }
        }
    }

    fn send_to(&self, node: &VmId, message: &PeerMessage) {
        if let Some(address) = address_of(node) {
            self.outbox.send(address, message);
        }
    }
}

fn log_change(ShareChange { service, organisation, step, admitted }: &ShareChange) {
    info!(event = "plain_share", service = &**service, organisation = &**organisation, step = step.label(), admitted:% = format_args!("{admitted:.2}"); "the admitted part of an organisation's calls to a full service has changed");
}
