//! Takes in the limits that replicas name, from this node's own calls and from other nodes, and tells
//! what is new.

use std::net::SocketAddr;
use std::sync::Arc;

use leadstage_lib::gateway::digest::TellingAll;
use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_record::Incarnation;
use log::info;

use crate::gateway::control::knowledge::Knowledge;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Limits in one message: each takes some 40 bytes, and ids are at most a few times as long as usual.
const TOLD_AT_ONCE: usize = 100;

/// The way of limits into this node, and on to others.
pub struct LimitIntake {
    shared: Arc<Shared>,
    telling_all: TellingAll,
}

impl LimitIntake {
    /// None has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        LimitIntake { shared, telling_all: TellingAll::default() }
    }

    /// An answer of a replica came to this node.
    pub fn on_answer(
        &mut self,
        knowledge: &mut Knowledge,
        fleet: &Fleet,
        of: &Incarnation,
        word: LimitReport,
        times: ResponseTimes,
    ) {
        let now = self.shared.now();
        let limits = &mut knowledge.limits.get_mut().limits;
        if !limits.on_answer(of, word, times) {
            return;
        }
        let limit = limits.limit(&of.id);
        let asked_ms_ago = now.saturating_sub(times.sent).as_millis() as u64;
        info!(event = "limit_named", upstream = &*of.id, limit:? = limit, asked_ms_ago; "a replica named another limit, or none");
        fleet.notify(&PeerMessage::Limits(limits.announced(&of.id, now).into_iter().collect()));
        self.publish(knowledge);
    }

    /// Another node told some.
    pub fn on_told(&mut self, knowledge: &mut Knowledge, fleet: &Fleet, told: Vec<AnnouncedLimit>) {
        let news = knowledge.limits.get_mut().limits.on_announced(told, self.shared.now());
        self.publish(knowledge);
        for told in &news {
            info!(event = "limit_told", upstream = &*told.replica.id, limit:? = told.limit, said_ms_ago = told.age.as_millis() as u64; "another node told a replica's limit");
        }
        if !news.is_empty() {
            fleet.forward(&PeerMessage::Limits(news));
        }
    }

    /// Another node knows other limits if its digest is another one: it is told all, and does the same.
    pub fn compare(&mut self, knowledge: &Knowledge, fleet: &Fleet, from: SocketAddr, digest: u64) {
        let now = self.shared.now();
        if !self.telling_all.is_due(self.shared.limits_digest(), digest, now) {
            return;
        }
        let all = knowledge.limits.borrow().limits.all(now);
        for part in all.chunks(TOLD_AT_ONCE) {
            fleet.send(from, &PeerMessage::Limits(part.to_vec()));
        }
    }

    /// Publishes what has changed since, as replicas are gone or have started again.
    pub fn publish(&self, knowledge: &Knowledge) {
        let limits = &knowledge.limits.borrow().limits;
        if limits.digest() != self.shared.limits_digest() {
            self.shared.set_limits(limits.in_force(), limits.digest());
        }
    }
}
