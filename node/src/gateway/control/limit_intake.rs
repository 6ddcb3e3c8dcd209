//! Receives the limits that replicas announce, from the answers to this node's calls and from other nodes,
//! and distributes changes.

use std::net::SocketAddr;
use std::sync::Arc;

use leadstage_lib::gateway::digest::FullSyncLimiter;
use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_record::Incarnation;
use log::info;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Maximum number of limits in a message: each takes about 40 bytes, and ids are at most a few times longer
/// than usual.
const MAX_LIMITS_PER_MESSAGE: usize = 100;

/// Receives limits and distributes them to other nodes.
pub struct LimitIntake {
    shared: Arc<Shared>,
    full_sync_limiter: FullSyncLimiter,
}

impl LimitIntake {
    /// Creates a state without any limits.
    pub fn new(shared: Arc<Shared>) -> Self {
        LimitIntake { shared, full_sync_limiter: FullSyncLimiter::default() }
    }

    /// Handles what an answer from a replica to this node says about its limit.
    pub fn on_answer(
        &mut self,
        state: &mut PlacementState,
        fleet: &Fleet,
        of: &Incarnation,
        report: LimitReport,
        times: ResponseTimes,
    ) {
        let now = self.shared.now();
        let limits = &mut state.limits.get_mut().limits;
        if !limits.on_answer(of, report, times) {
            return;
        }
        let limit = limits.limit(&of.id);
        let asked_ms_ago = now.saturating_sub(times.sent).as_millis() as u64;
        info!(event = "limit_named", upstream = &*of.id, limit:? = limit, asked_ms_ago; "replica announced a new limit, or none");
        fleet.notify(&PeerMessage::Limits(limits.announced(&of.id, now).into_iter().collect()));
        self.publish(state);
    }

    /// Handles limits that another node has announced.
    pub fn on_announced(
        &mut self,
        state: &mut PlacementState,
        fleet: &Fleet,
        announced: Vec<AnnouncedLimit>,
    ) {
        let updates = state.limits.get_mut().limits.on_announced(announced, self.shared.now());
        self.publish(state);
        for limit in &updates {
            info!(event = "limit_told", upstream = &*limit.replica.id, limit:? = limit.limit, said_ms_ago = limit.age.as_millis() as u64; "another node announced the limit of a replica");
        }
        if !updates.is_empty() {
            fleet.forward(&PeerMessage::Limits(updates));
        }
    }

    /// Sends all limits to another node if its digest shows that it knows different ones. The other node
    /// does the same.
    pub fn compare(&mut self, state: &PlacementState, fleet: &Fleet, from: SocketAddr, digest: u64) {
        let now = self.shared.now();
        if !self.full_sync_limiter.is_due(self.shared.limits_digest(), digest, now) {
            return;
        }
        let all = state.limits.borrow().limits.all(now);
        for part in all.chunks(MAX_LIMITS_PER_MESSAGE) {
            fleet.send(from, &PeerMessage::Limits(part.to_vec()));
        }
    }

    /// Publishes the limits if they have changed, also because replicas are gone or have restarted.
    pub fn publish(&self, state: &PlacementState) {
        let limits = &state.limits.borrow().limits;
        if limits.digest() != self.shared.limits_digest() {
            self.shared.set_limits(limits.in_force(), limits.digest());
        }
    }
}
