//! What replicas say of themselves in their answers: that they leave, want rest, or take no more than so much. And what
//! is still sent to them, for the log.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::response::Parts;
use leadstage_lib::gateway::replica::LeavingSign;
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

/// Resting replicas that whoever places a request is told of at most: a message has room for some hundreds, and one
/// that is chosen all the same is not sent to.
const MOST_RESTING_TOLD: usize = 100;

/// Names of headers that are remembered at most.
const MOST_HEADERS_SEEN: usize = 64;

impl Traffic {
    /// Replicas of a service that asked this node for rest, and for how much longer.
    fn resting(&self, service: &str) -> Vec<(UpstreamId, Duration)> {
        let rests = self.rests.borrow();
        let of_service = rests.of_service(service, self.shared.now()).take(MOST_RESTING_TOLD);
        of_service.map(|(id, left)| (id.clone(), left)).collect()
    }

    /// Asks for a replica that has not asked this node for rest.
    pub async fn place(&self, mut request: PlaceRequest) -> Result<RunGuard, NoRoom> {
        let (resting, left): (Vec<UpstreamId>, Vec<Duration>) =
            self.resting(&request.wanted.service).into_iter().unzip();
        request.wanted.resting = resting;
        let soonest = left.into_iter().min();
        let placed = self.shared.place(request).await;
        placed.map_err(|no_room| NoRoom { expected: no_room.expected.into_iter().chain(soonest).min() })
    }

    /// Whether a request may be sent to a replica, which may have asked for rest since it was chosen. `goes_on` is set
    /// for a generation whose memory is there.
    pub fn lets_rest(&self, replica: &ReplicaRecord, goes_on: bool) -> bool {
        let (of, now) = (replica.incarnation(), self.shared.now());
        let mut rests = self.rests.borrow_mut();
        if goes_on { !rests.may_resume(&of, now) } else { rests.remaining(&of, now).is_some() }
    }

    /// A request that was sent to `sent` replicas before is about to be sent to one more.
    pub fn on_sending(&self, req: &CallerRequest, replica: &ReplicaRecord, sent: u32) {
        if let Some(limit) = self.shared.limits().get(&replica.id) {
            self.shared.metrics.on_sent_to_limited();
            info!(event = "sent_to_limited", request = req.id(), upstream = &*replica.id, limit, sent; "a request is sent to a replica that names a limit");
        }
        if let Some(since) = self.leaving_announcements.borrow().since(&replica.incarnation()) {
            let said_ms_ago = self.shared.now().saturating_sub(since).as_millis() as u64;
            info!(event = "sent_to_leaving", request = req.id(), upstream = &*replica.id, said_ms_ago, sent; "a request is sent to a replica that said that it leaves");
        }
        let (of, now) = (replica.incarnation(), self.shared.now());
        let mut rests = self.rests.borrow_mut();
        if let Some(left) = rests.remaining(&of, now) {
            let left_ms = left.as_millis() as u64;
            info!(event = "sent_to_resting", request = req.id(), upstream = &*replica.id, left_ms, sent; "a request is sent to a replica that asked this node for rest");
        }
        rests.on_sending(&of, now);
    }

    /// The head of an answer came to a request that was sent at `sent`.
    pub fn on_head(&self, req: &CallerRequest, replica: &ReplicaRecord, head: &Parts, sent: Timestamp) {
        self.note_headers(&head.headers);
        if headers::announces_leaving(&head.headers) {
            self.on_said_leaving(req, replica);
        }
        self.on_rest_word(req, replica, head, sent);
        self.on_limit_word(replica, headers::limit_report(head.status, &head.headers), sent);
    }

    /// The replica asks for rest, or does not.
    fn on_rest_word(&self, req: &CallerRequest, replica: &ReplicaRecord, head: &Parts, sent: Timestamp) {
        let mut rests = self.rests.borrow_mut();
        match headers::requested_backoff(head.status, &head.headers) {
            Some(rest) => {
                rests.on_retry_after(replica, rest, self.shared.now());
                info!(event = "rest_asked", request = req.id(), upstream = &*replica.id, rest_ms = rest.as_millis() as u64; "a replica asks this node for rest");
            }
            None if head.status == StatusCode::SERVICE_UNAVAILABLE => {}
            None => rests.on_answer(&replica.incarnation(), sent),
        }
    }

    /// A replica said in an answer that it leaves.
    fn on_said_leaving(&self, req: &CallerRequest, replica: &ReplicaRecord) {
        if self.leaving_announcements.borrow_mut().on_announced(&replica.incarnation(), self.shared.now()) {
            info!(event = "leaving_said", request = req.id(), upstream = &*replica.id; "a replica says in an answer that it leaves");
            self.shared.tell(ToControl::Sign(replica.incarnation(), LeavingSign::Announced));
        }
    }

    /// Logs each header of replicas' answers once that nobody has decided on: a replica may ask for something
    /// that is not built.
    fn note_headers(&self, headers: &HeaderMap) {
        let mut seen = self.seen_headers.borrow_mut();
        for name in headers.keys() {
            if seen.len() >= MOST_HEADERS_SEEN || seen.contains(name) {
                continue;
            }
            seen.insert(name.clone());
            if !fields::is_known_header(name.as_str()) {
                warn!(event = "field_undecided", kind = "answer", field = name.as_str(); "an answer has a header that is not read, and nobody has said why");
            }
        }
    }

    /// What a replica's answer says of its limit. The control loop hears of those only that may change what
    /// is known.
    fn on_limit_word(&self, replica: &ReplicaRecord, word: LimitReport, sent: Timestamp) {
        let may_change = match word {
            LimitReport::Named(_) => true,
            LimitReport::NotNamed => self.shared.limits().contains_key(&replica.id),
            LimitReport::Silent => false,
        };
        if may_change {
            let times = ResponseTimes { sent, received: self.shared.now() };
            self.shared.tell(ToControl::LimitReport(replica.incarnation(), word, times));
        }
    }

    /// A replica turned a request away.
    pub fn on_not_run(&self, req: &CallerRequest, run: &RunGuard, status: StatusCode) {
        let replica = &run.placed.replica;
        info!(event = "turned_away", request = req.id(), upstream = &*replica.id, status = status.as_u16(); "a replica did not run a request");
        if status == StatusCode::MISDIRECTED_REQUEST {
            let sign = LeavingSign::Replaced;
            self.shared.tell(ToControl::Sign(replica.incarnation(), sign));
        }
    }
}
