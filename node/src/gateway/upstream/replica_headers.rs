//! Reads what replicas report in their responses: that they are leaving, request a back-off, or have a
//! limit. Logs requests that are sent to such replicas all the same.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::response::Parts;
use leadstage_lib::gateway::brittle_replicas::BrittleReport;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_backoffs::MAX_BACKOFF;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::fields;
use leadstage_platform::headers;
use log::info;
use log::warn;

use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::ToControl;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::traffic::Traffic;

/// Maximum number of backing-off replicas that are listed in a placement request: a message has room for
/// some hundreds, and if another one is chosen all the same, the request is not sent to it.
const MAX_LISTED_BACKOFFS: usize = 100;

/// Maximum number of header names that are remembered.
const MAX_SEEN_HEADERS: usize = 64;

impl Traffic {
    /// Returns the replicas of a service that requested a back-off from this node, and the time left of
    /// each.
    fn backing_off_replicas(&self, service: &str) -> Vec<(UpstreamId, Duration)> {
        let backoffs = self.backoffs.borrow();
        let of_service = backoffs.of_service(service, self.shared.now()).take(MAX_LISTED_BACKOFFS);
        of_service.map(|(id, left)| (id.clone(), left)).collect()
    }

    /// Requests a placement at a replica that has not requested a back-off from this node.
    pub async fn place(&self, mut request: PlaceRequest) -> Result<RunGuard, NoRoom> {
        let (backing_off, left): (Vec<UpstreamId>, Vec<Duration>) =
            self.backing_off_replicas(&request.wanted.service).into_iter().unzip();
        request.wanted.resting = backing_off;
        let soonest = left.into_iter().min();
        let placed = self.shared.place(request).await;
        placed.map_err(|no_room| match no_room {
            NoRoom { over_share: true, .. } => no_room,
            NoRoom { expected, .. } => {
                NoRoom { expected: expected.into_iter().chain(soonest).min(), over_share: false }
            }
        })
    }

    /// Whether a request must not be sent to a replica because of a back-off, which the replica may have
    /// requested after it was chosen. `has_copy` is set for a generation whose KV cache memory is at that
    /// replica.
    pub fn is_backing_off(&self, replica: &ReplicaRecord, has_copy: bool) -> bool {
        let (of, now) = (replica.incarnation(), self.shared.now());
        let mut backoffs = self.backoffs.borrow_mut();
        if has_copy { !backoffs.may_resume(&of, now) } else { backoffs.remaining(&of, now).is_some() }
    }

    /// Called before a request that was sent to `sent` replicas before is sent to one more.
    pub fn on_sending(&self, req: &CallerRequest, replica: &ReplicaRecord, sent: u32) {
        req.on_sending();
        if let Some(limit) = self.shared.limits().get(&replica.id) {
            self.shared.metrics.on_sent_to_limited();
            info!(event = "sent_to_limited", request = req.id(), upstream = &*replica.id, limit, sent; "sending a request to a replica that has a limit");
        }
        if let Some(since) = self.leaving_announcements.borrow().since(&replica.incarnation()) {
            let said_ms_ago = self.shared.now().saturating_sub(since).as_millis() as u64;
            info!(event = "sent_to_leaving", request = req.id(), upstream = &*replica.id, said_ms_ago, sent; "sending a request to a replica that announced that it is leaving");
        }
        let (of, now) = (replica.incarnation(), self.shared.now());
        let mut backoffs = self.backoffs.borrow_mut();
        if let Some(left) = backoffs.remaining(&of, now) {
            let left_ms = left.as_millis() as u64;
            info!(event = "sent_to_resting", request = req.id(), upstream = &*replica.id, left_ms, sent; "sending a request to a replica that requested a back-off");
        }
        backoffs.on_sending(&of, now);
    }

    /// Handles the head of a response to a request that was sent at `sent`.
    pub fn on_response_head(
        &self,
        req: &CallerRequest,
        replica: &ReplicaRecord,
        head: &Parts,
        sent: Timestamp,
    ) {
        self.record_headers(&head.headers);
        if headers::announces_leaving(&head.headers) {
            self.on_leaving_announced(req, replica);
        }
        self.record_backoff(req, replica, head, sent);
        self.record_limit(replica, headers::limit_report(head.status, &head.headers), sent);
        self.record_brittleness(replica, headers::brittle_report(head.status, &head.headers));
    }

    /// Reports to the control loop whether a replica is brittle, if that has changed.
    fn record_brittleness(&self, replica: &ReplicaRecord, report: BrittleReport) {
        let mut brittle = self.brittle.borrow_mut();
        let (has_changed, limit) = match report {
            BrittleReport::Brittle(limit) => (brittle.insert(replica.incarnation()), Some(limit)),
            BrittleReport::Sound => (brittle.remove(&replica.incarnation()), None),
            BrittleReport::Silent => (false, None),
        };
        if has_changed {
            info!(event = "brittle", upstream = &*replica.id, service = &*replica.service, limit:? = limit; "the replica says that it is brittle, or no longer so");
            self.shared.notify(ToControl::Brittle(replica.incarnation(), limit.is_some()));
        }
    }

    /// Records whether the replica requests a back-off.
    fn record_backoff(&self, req: &CallerRequest, replica: &ReplicaRecord, head: &Parts, sent: Timestamp) {
        let mut backoffs = self.backoffs.borrow_mut();
        match headers::requested_backoff(head.status, &head.headers) {
            Some(backoff) => {
                backoffs.on_retry_after(replica, backoff, self.shared.now());
                self.shared.notify(ToControl::Backoff(replica.incarnation(), backoff.min(MAX_BACKOFF)));
                info!(event = "rest_asked", request = req.id(), upstream = &*replica.id, rest_ms = backoff.as_millis() as u64; "the replica requests a back-off");
            }
            None if head.status == StatusCode::SERVICE_UNAVAILABLE => {}
            None => backoffs.on_answer(&replica.incarnation(), sent),
        }
    }

    /// Handles a replica's announcement in a response that it is leaving.
    fn on_leaving_announced(&self, req: &CallerRequest, replica: &ReplicaRecord) {
        if self.leaving_announcements.borrow_mut().on_announced(&replica.incarnation(), self.shared.now()) {
            info!(event = "leaving_said", request = req.id(), upstream = &*replica.id; "the replica announced in a response that it is leaving");
            self.shared.notify(ToControl::LeavingSign(replica.incarnation(), LeavingSign::Announced));
        }
    }

    /// Logs once each response header of replicas whose handling is undecided: a replica may request
    /// something that this node does not support.
    fn record_headers(&self, headers: &HeaderMap) {
        let mut seen = self.seen_headers.borrow_mut();
        for name in headers.keys() {
            if seen.len() >= MAX_SEEN_HEADERS || seen.contains(name) {
                continue;
            }
            seen.insert(name.clone());
            if !fields::is_known_header(name.as_str()) {
                warn!(event = "field_undecided", kind = "answer", field = name.as_str(); "a response has a header that is neither read nor listed as ignored");
            }
        }
    }

    /// Reports a replica's limit to the control loop, if the response may change what is known of it.
    fn record_limit(&self, replica: &ReplicaRecord, report: LimitReport, sent: Timestamp) {
        let may_change = match report {
            LimitReport::Named(_) => true,
            LimitReport::NotNamed => self.shared.limits().contains_key(&replica.id),
            LimitReport::Silent => false,
        };
        if may_change {
            let times = ResponseTimes { sent, received: self.shared.now() };
            self.shared.notify(ToControl::LimitReport(replica.incarnation(), report, times));
        }
    }

    /// Handles a replica that did not run a request.
    pub fn on_not_run(&self, req: &CallerRequest, run: &RunGuard, status: StatusCode) {
        req.on_not_run();
        let replica = &run.placed.replica;
        info!(event = "turned_away", request = req.id(), upstream = &*replica.id, status = status.as_u16(); "the replica did not run the request");
        if status == StatusCode::MISDIRECTED_REQUEST {
            let sign = LeavingSign::Replaced;
            self.shared.notify(ToControl::LeavingSign(replica.incarnation(), sign));
        }
    }
}
