//! The pace of plain replicas that start or recover: passes on what this node's calls show, and what other
//! nodes tell.

use std::time::Duration;

use leadstage_lib::gateway::replica_ramp::CallEnd;
use leadstage_lib::gateway::replica_ramp::EndedRamp;
use leadstage_lib::gateway::replica_ramp::RampCause;
use leadstage_lib::gateway::replica_ramp::RampNews;
use leadstage_lib::gateway::replica_ramp::RampSign;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::ids::UpstreamId;
use log::info;
use log::warn;

use crate::gateway::control::placing::Placing;
use crate::gateway::messages::Outcome;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;

impl Placing {
    /// Replicas have started, or are cold again.
    pub fn on_started(&mut self, ids: &[UpstreamId]) {
        for id in ids {
            self.state.begin_ramp(id, RampCause::Start, self.shared.now());
        }
    }

    /// A replica asked this node for a back-off.
    pub fn on_backoff(&mut self, of: &Incarnation, backoff: Duration) {
        let begins = self.shared.now() + backoff;
        if self.state.replicas.get(&of.id).is_some_and(|replica| replica.record.born == of.born) {
            self.state.begin_ramp(&of.id, RampCause::Backoff, begins);
        }
    }

    /// A call of this node has left its replica.
    pub(super) fn update_ramp(&mut self, fleet: &Fleet, key: &RunKey, outcome: Outcome) {
        let end = match outcome {
            Outcome::Answered => CallEnd::Answered,
            Outcome::Failed | Outcome::Refused => CallEnd::Failed,
            // Some requests get an error from any replica; the cost of errors takes account of the others.
            Outcome::Errored | Outcome::Withdrawn => CallEnd::Withdrawn,
        };
        let news = self.state.ramps.on_end(key, end, self.shared.now());
        self.tell_ramps(fleet, news.into_iter().collect());
    }

    /// A request of another node or a health check failed at a replica; it is ignored if the known
    /// incarnation is a later one.
    pub fn on_incarnation_failure(&mut self, of: &Incarnation) {
        self.state.replicas.on_incarnation_failure(of, self.shared.now());
        if self.state.replicas.get(&of.id).is_some_and(|replica| replica.is_covered_by(of)) {
            self.ramp_after_failure(&of.id);
        }
    }

    /// A call failed at a replica, which backs off.
    pub(super) fn ramp_after_failure(&mut self, id: &UpstreamId) {
        if let Some(replica) = self.state.replicas.get(id) {
            let begins = replica.backoff_until();
            self.state.begin_ramp(id, RampCause::Failure, begins);
        }
    }

    /// Lowers the pace of replicas whose calls wait too long, and ends the ramps that are over.
    pub fn tick_ramps(&mut self, fleet: &Fleet) {
        let now = self.shared.now();
        let news = self.state.ramps.check_calls(now);
        self.tell_ramps(fleet, news);
        for EndedRamp { replica, cause, lasted } in self.state.ramps.take_ended(now) {
            info!(event = "ramp_ends", upstream = &*replica, cause:% = cause, lasted_ms = lasted.as_millis() as u64; "the replica gets its even share of calls");
        }
    }

    /// Another node tells what its calls to replicas show whose pace is limited.
    pub fn on_ramp_news(&mut self, fleet: &Fleet, mut news: Vec<RampNews>) {
        let now = self.shared.now();
        for RampNews { replica, sign, .. } in news.iter().filter(|news| !news.is_valid()) {
            warn!(event = "ramp_news_invalid", upstream = &*replica.id, sign:? = sign; "another node told a pace that is no number");
        }
        news.retain(|news| self.state.ramps.on_news(news, now));
        for recovered in news.iter().filter(|news| news.sign == RampSign::Answers) {
            self.state.replicas.on_recovered(&recovered.replica.id);
        }
        if !news.is_empty() {
            fleet.forward(&PeerMessage::Ramps(news));
        }
    }

    /// The failures of a service's replicas were not their own.
    pub fn on_path_lost(&mut self, service: &ServiceId) {
        self.state.replicas.forget_failures(service);
        self.state.ramps.forget_failures(service);
    }

    /// Tells other nodes what this node's calls show, unless it may have lost its path to the replicas.
    fn tell_ramps(&self, fleet: &Fleet, mut news: Vec<RampNews>) {
        news.retain(|news| {
            let replica = self.state.replicas.get(&news.replica.id);
            replica.is_some_and(|replica| {
                !self.shared.with_paths(&replica.record.service, |paths| paths.is_in_doubt())
            })
        });
        for RampNews { replica, sign, .. } in &news {
            info!(event = "ramp_news", upstream = &*replica.id, sign:? = sign; "calls of this node show how a replica bears its pace");
        }
        if !news.is_empty() {
            fleet.notify(&PeerMessage::Ramps(news));
        }
    }
}
