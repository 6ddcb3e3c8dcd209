//! Placement of plain calls where replicas announce limits. Each node places its plain calls by itself, but
//! requests to a replica with a limit are granted by one node, the first of all nodes by a hash.
//!
//! A call that may go to a replica without a limit requests a grant for only one replica; where all are
//! rate-limited, for a few.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::limit_grants::GranterRole;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;
use log::info;

use crate::gateway::control::grant_requests;
use crate::gateway::control::grant_requests::GrantRequest;
use crate::gateway::control::lead_scheduler::Decision;
use crate::gateway::control::lead_scheduler::PendingPlacement;
use crate::gateway::control::placing::Placing;
use crate::gateway::observability::metrics::GrantOutcome;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::AskGrant;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Phase;

/// Maximum number of replicas that a call requests grants for.
const MAX_GRANT_REQUESTS: u32 = 3;
/// Delay after which a request for a grant may be repeated when the granting node is stopping: by then
/// other nodes know the node that grants instead.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Placing {
    /// Places a plain call that has requested grants for `tries` replicas.
    pub(super) fn place_plain(&mut self, fleet: &Fleet, pending: PendingPlacement, tries: u32) {
        let Some(replica) = self.state.choose_limited(&pending.key, &pending.wanted) else {
            return self.place_locally(pending);
        };
        let now = self.shared.now();
        let limits = self.state.limits.get_mut();
        limits.on_requested(&replica.id, now);
        let limit = limits.limits.announced(&replica.id, now);
        let key = self.granter_key(&replica.id);
        let granter = self.granters.lead_of(&key, &self.own, fleet.alive(), fleet.version(), now);
        let address = address_of(&granter).filter(|_| granter != self.own);
        let request = GrantRequest { pending, replica, granter, tries: tries + 1 };
        match (address, limit) {
            (Some(address), Some(limit)) => self.grant_requests.send(request, limit, address),
            _ => {
                let urgency = grant_requests::urgency(&request.pending);
                let grant = self.grant(fleet, &self.own.clone(), &request.replica.id, urgency);
                self.on_grant(fleet, request, grant);
            }
        }
    }

    /// Handles another node's request for a grant.
    pub fn on_grant_request(&mut self, fleet: &Fleet, from: SocketAddr, request: AskGrant) {
        let replica = request.limit.replica.id.clone();
        let grant = self.grant(fleet, &node_id(from), &replica, request.urgency);
        self.outbox.send(from, &PeerMessage::Granted(request.question, grant));
    }

    /// The key by which the granting node of a replica is selected: an engine's service, so that its lead
    /// grants, or the replica itself.
    fn granter_key(&self, replica: &UpstreamId) -> UpstreamId {
        let service = self.state.replicas.get(replica).map(|replica| &replica.record.service);
        let model_service = service.filter(|service| self.state.engine_traits(service).is_some());
        model_service.unwrap_or(replica).clone()
    }

    fn grant(&mut self, fleet: &Fleet, requester: &VmId, replica: &UpstreamId, urgency: u8) -> Grant {
        if self.shared.phase() > Phase::Serving {
            return Grant { granted: false, ask_again_after: STOPPING_RETRY_DELAY };
        }
        let key = self.granter_key(replica);
        let first = rendezvous::pick(&key, fleet.alive().chain(std::iter::once(&self.own)));
        let is_first = first.is_none_or(|first| *first == self.own);
        let role = if is_first { GranterRole::Primary } else { GranterRole::Substitute };
        let now = self.shared.now();
        let grant = self.state.limits.get_mut().grant(replica, role, urgency, now);
        if grant.granted {
            info!(event = "limit_grant", upstream = &**replica, to = &**requester, urgency, is_first, pause_ms = grant.ask_again_after.as_millis() as u64; "granted a request to a replica with a limit");
        }
        grant
    }

    /// Handles the answer to a request for a grant.
    pub fn on_granted(&mut self, fleet: &Fleet, id: GrantRequestId, grant: Grant) {
        if let Some(request) = self.grant_requests.take_answered(id) {
            self.granters.on_answer(&request.granter);
            self.on_grant(fleet, request, grant);
        }
    }

    /// Handles the timeout of a request for a grant.
    pub fn on_grant_silent(&mut self, fleet: &Fleet, id: GrantRequestId) {
        let Some(request) = self.grant_requests.take_overdue(id) else {
            return;
        };
        info!(event = "grant_silent", node = &*request.granter, upstream = &*request.replica.id, run = id.run; "the granting node did not answer");
        self.shared.metrics.on_grant(GrantOutcome::Unanswered);
        self.granters.on_silence(&request.granter, self.shared.now());
        self.place_without_grant(fleet, request);
    }

    fn on_grant(&mut self, fleet: &Fleet, request: GrantRequest, grant: Grant) {
        let replica = request.replica.clone();
        let limits = self.state.limits.get_mut();
        limits.on_answer(&replica.id, grant.ask_again_after, self.shared.now());
        self.shared.metrics.on_grant(GrantOutcome::of(&grant));
        let is_open = self.state.is_open(&replica.id);
        if !grant.granted || !is_open {
            return self.place_without_grant(fleet, request);
        }
        let pending = request.pending;
        self.state.add(pending.key.clone(), &pending.wanted, &replica.id);
        self.answer(Decision { pending, chosen: Ok(replica) });
    }

    /// Places a call that got no grant.
    fn place_without_grant(&mut self, fleet: &Fleet, request: GrantRequest) {
        let GrantRequest { pending, tries, .. } = request;
        if tries >= MAX_GRANT_REQUESTS || self.state.has_unlimited(&pending.wanted) {
            return self.place_locally(pending);
        }
        self.place_plain(fleet, pending, tries);
    }
}
