//! Plain calls, which each node places by itself, where replicas name limits: one node grants what goes to
//! such a replica, the first of all nodes by a hash.
//!
//! A call that may go elsewhere asks for no more than one replica; where all are in need, it asks for a few.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::limit_grants::GranterRole;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;
use log::info;

use crate::gateway::control::grant_questions;
use crate::gateway::control::grant_questions::GrantQuestion;
use crate::gateway::control::lead_desk::Ask;
use crate::gateway::control::lead_desk::Decision;
use crate::gateway::control::placing::Placing;
use crate::gateway::observability::metrics::GrantOutcome;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::AskGrant;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Phase;

/// Replicas that a call asks for at most.
const MOST_TRIES: u32 = 3;
/// A node that stops sends those that ask away: by then they know who grants instead.
const ASK_ANOTHER_AFTER: Duration = Duration::from_millis(300);

impl Placing {
    /// Places a plain call that has asked for `tries` replicas which name limits.
    pub(super) fn place_plain(&mut self, fleet: &Fleet, ask: Ask, tries: u32) {
        let Some(replica) = self.knowledge.limited_to_ask(&ask.key, &ask.wanted) else {
            return self.decide_here(ask);
        };
        let now = self.shared.now();
        let limits = self.knowledge.limits.get_mut();
        limits.on_requested(&replica.id, now);
        let limit = limits.limits.announced(&replica.id, now);
        let hashed = self.hashed_for(&replica.id);
        let granter = self.granters.lead_of(&hashed, &self.own, fleet.alive(), fleet.version(), now);
        let address = address_of(&granter).filter(|_| granter != self.own);
        let question = GrantQuestion { ask, replica, granter, tries: tries + 1 };
        match (address, limit) {
            (Some(address), Some(limit)) => self.grants.ask(question, limit, address),
            _ => {
                let urgency = grant_questions::urgency(&question.ask);
                let grant = self.grant(fleet, &self.own.clone(), &question.replica.id, urgency);
                self.on_grant(fleet, question, grant);
            }
        }
    }

    /// Another node asks for a grant.
    pub fn on_ask_grant(&mut self, fleet: &Fleet, from: SocketAddr, ask: AskGrant) {
        let replica = ask.limit.replica.id.clone();
        let grant = self.grant(fleet, &node_id(from), &replica, ask.urgency);
        self.outbox.send(from, &PeerMessage::Granted(ask.question, grant));
    }

    /// What the node that grants for a replica is the first for: an engine's service, whose lead it is, or the
    /// replica itself.
    fn hashed_for(&self, replica: &UpstreamId) -> UpstreamId {
        let service = self.knowledge.replicas.get(replica).map(|known| &known.record.service);
        let of_model = service.filter(|service| self.knowledge.engine_traits(service).is_some());
        of_model.unwrap_or(replica).clone()
    }

    fn grant(&mut self, fleet: &Fleet, asker: &VmId, replica: &UpstreamId, urgency: u8) -> Grant {
        if self.shared.phase() > Phase::Serving {
            return Grant { granted: false, ask_again_after: ASK_ANOTHER_AFTER };
        }
        let hashed = self.hashed_for(replica);
        let first = rendezvous::pick(&hashed, fleet.alive().chain(std::iter::once(&self.own)));
        let is_first = first.is_none_or(|first| *first == self.own);
        let role = if is_first { GranterRole::Primary } else { GranterRole::Substitute };
        let now = self.shared.now();
        let grant = self.knowledge.limits.get_mut().grant(replica, role, urgency, now);
        if grant.granted {
            info!(event = "limit_grant", upstream = &**replica, to = &**asker, urgency, is_first, pause_ms = grant.ask_again_after.as_millis() as u64; "a request to a replica that names a limit is granted");
        }
        grant
    }

    /// A node that was asked for a grant answered.
    pub fn on_granted(&mut self, fleet: &Fleet, id: GrantRequestId, grant: Grant) {
        if let Some(question) = self.grants.answered(id) {
            self.granters.on_answer(&question.granter);
            self.on_grant(fleet, question, grant);
        }
    }

    /// A node that was asked for a grant did not answer in time.
    pub fn on_grant_silent(&mut self, fleet: &Fleet, id: GrantRequestId) {
        let Some(question) = self.grants.overdue(id) else {
            return;
        };
        info!(event = "grant_silent", node = &*question.granter, upstream = &*question.replica.id, run = id.run; "a node that grants did not answer");
        self.shared.metrics.on_grant(GrantOutcome::Unanswered);
        self.granters.on_silence(&question.granter, self.shared.now());
        self.place_without(fleet, question);
    }

    fn on_grant(&mut self, fleet: &Fleet, question: GrantQuestion, grant: Grant) {
        let replica = question.replica.clone();
        let limits = self.knowledge.limits.get_mut();
        limits.on_answer(&replica.id, grant.ask_again_after, self.shared.now());
        self.shared.metrics.on_grant(GrantOutcome::of(&grant));
        let stays = self.knowledge.is_open(&replica.id);
        if !grant.granted || !stays {
            return self.place_without(fleet, question);
        }
        let ask = question.ask;
        self.knowledge.add(ask.key.clone(), &ask.wanted, &replica.id);
        self.answer(Decision { ask, chosen: Ok(replica) });
    }

    /// Places a call that got no grant.
    fn place_without(&mut self, fleet: &Fleet, question: GrantQuestion) {
        let GrantQuestion { ask, tries, .. } = question;
        if tries >= MOST_TRIES || self.knowledge.has_unlimited(&ask.wanted) {
            return self.decide_here(ask);
        }
        self.place_plain(fleet, ask, tries);
    }
}
