//! Sends one request to one replica and receives the head of its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::head_meter::EndlessHead;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::arrival;
use leadstage_platform::head_bound;
use leadstage_platform::head_bound::HeadBound;
use leadstage_platform::headers;
use leadstage_platform::headers::AddedHeaders;
use log::info;
use tokio::time::Instant;

use crate::framing;
use crate::gateway::held_bytes;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::held_bytes::HeldGuard;
use crate::gateway::messages::Outcome;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::connections::ConnectError;
use crate::gateway::upstream::connections::Connection;
use crate::gateway::upstream::connections::ConnectionChoice;
use crate::gateway::upstream::connections::IdleConnections;
use crate::gateway::upstream::silence;
use crate::gateway::upstream::stall;
use crate::gateway::upstream::suspicion::RunProgress;
use crate::gateway::upstream::traffic::Traffic;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Maximum size of the body of a response that is not streamed, as all of it is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a replica gave no usable response.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// The replica's hall is closed: nothing was sent.
    #[display("its hall is closed")]
    HallClosed,
    /// The replica requested a back-off from this node: nothing was sent.
    #[display("it asked for rest")]
    BackingOff,
    /// The replica's version was rolled back: nothing was sent.
    #[display("its version was given up")]
    VersionReverted,
    /// The request is quarantined because replicas end while they run it: nothing was sent.
    #[display("it is quarantined")]
    Quarantined,
    /// The request was quarantined while it waited for the replica's response.
    #[display("it was quarantined meanwhile")]
    QuarantinedMeanwhile,
    /// The deadline passed before the request was sent: nothing was sent.
    #[display("its deadline has passed")]
    Expired,
    /// The request could not be sent: not a byte of it left this node.
    #[display("not sent: {_0}")]
    NotSent(ConnectError),
    /// The connection broke after the request may have been sent.
    #[display("connection broke: {_0}")]
    Broken(hyper::Error),
    /// The head of the response did not end.
    #[display("{_0}")]
    EndlessHead(EndlessHead),
    /// The deadline passed without a response.
    #[display("no answer in time")]
    TimedOut,
    /// The replica was silent for too long, and the request may be sent to another replica.
    #[display("silent for too long")]
    Stalled,
    /// A reused connection was silent for too long. The retry was taken from the retry budget already.
    #[display("kept connection silent for too long")]
    ConnectionSilent,
    /// The response belongs to another request.
    #[display("answer to another request")]
    WrongRequest,
    /// The status is not that of a final response.
    #[display("answer with status {_0}")]
    InvalidStatus(#[error(not(source))] u16),
    /// The body ended early or was too large.
    #[display("answer cut short: {_0}")]
    Truncated(#[error(not(source))] String),
}

/// Ends the run of a request that failed at a replica. Returns the code for the caller, or `None` if
/// nothing was sent.
pub fn end_failed_run(
    traffic: &Traffic,
    req: &CallerRequest,
    run: RunGuard,
    err: &SendError,
) -> Option<Code> {
    info!(event = "attempt_failed", request = req.id(), upstream = &*run.placed.replica.id, reason:% = err; "request to the replica failed");
    let is_replica_blameless = match err {
        SendError::HallClosed
        | SendError::BackingOff
        | SendError::VersionReverted
        | SendError::Quarantined
        | SendError::QuarantinedMeanwhile
        | SendError::Expired => true,
        SendError::NotSent(err) => err.is_path_lost(),
        SendError::Broken(_)
        | SendError::EndlessHead(EndlessHead::TooSlow)
        | SendError::TimedOut
        | SendError::Stalled
        | SendError::ConnectionSilent => {
            let replica = &run.placed.replica;
            traffic.dialer(&replica.service).lacks_path(replica.address)
        }
        SendError::EndlessHead(_)
        | SendError::WrongRequest
        | SendError::InvalidStatus(_)
        | SendError::Truncated(_) => false,
    };
    run.end(if is_replica_blameless { Outcome::Withdrawn } else { Outcome::Failed });
    match err {
        SendError::HallClosed
        | SendError::BackingOff
        | SendError::VersionReverted
        | SendError::Quarantined
        | SendError::NotSent(_) => None,
        SendError::Expired | SendError::TimedOut | SendError::Stalled | SendError::ConnectionSilent => {
            Some(Code::UpstreamTimeout)
        }
        SendError::Broken(_)
        | SendError::EndlessHead(_)
        | SendError::WrongRequest
        | SendError::InvalidStatus(_)
        | SendError::Truncated(_)
        | SendError::QuarantinedMeanwhile => Some(Code::UpstreamLost),
    }
}

/// A response whose body has not been read yet.
pub struct Exchange {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Incoming,
    /// When the head was received: an engine sends the head when it starts to run the request.
    pub head_received: Instant,
    /// Whether the end of the body can be told apart from a connection that just closes.
    pub is_framed: bool,
    connection: Connection,
}

/// A response whose body was read to its end.
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The node memory that the body is accounted for with.
    pub held: HeldGuard,
}

/// Sends a request that was sent to `sent` replicas before to one more, on a connection of `choice`, and
/// waits for the head of the response until the request's deadline.
pub async fn send(
    traffic: &Traffic,
    replica: &ReplicaRecord,
    req: &CallerRequest,
    added: &AddedHeaders<'_>,
    choice: ConnectionChoice,
    sent: u32,
) -> Result<Exchange, SendError> {
    // Checked again immediately before sending, as the replica may have been chosen some time ago.
    if traffic.is_quarantined(req) {
        return Err(SendError::Quarantined);
    }
    if !traffic.shared.closed_halls().is_open(&replica.hall) {
        return Err(SendError::HallClosed);
    }
    if traffic.is_backing_off(replica, added.resume.is_some_and(|resume| resume.copy.is_some())) {
        return Err(SendError::BackingOff);
    }
    if traffic.is_reverted(req, replica) {
        return Err(SendError::VersionReverted);
    }
    let taken = traffic.connections.take(&traffic.dialer(&replica.service), replica, choice).await;
    let mut connection = taken.map_err(SendError::NotSent)?;
    if req.time_left().is_zero() {
        return Err(SendError::Expired);
    }
    let sent_at = traffic.shared.now();
    traffic.on_sending(req, replica, sent);
    traffic.shared.metrics.on_connection(connection.idle_time.is_some());
    connection.sender.set_bound(head_bound(traffic, req));
    let sending = connection.sender.send_request(request(req, added));
    let sending = stall::await_head(traffic, req, replica, sending);
    // Boxed, as each of the futures around this one would hold it more than once.
    let waiting = Box::pin(async {
        match connection.idle_time {
            Some(_) => silence::await_head(traffic, req, replica, sent, sending).await,
            None => Some(sending.await),
        }
    });
    let waiting = unless_quarantined(traffic, req, waiting);
    let answer = arrival::timeout_at(req.deadline(), waiting).await.map_err(|_| SendError::TimedOut)??;
    let answer = answer.ok_or(SendError::ConnectionSilent)?.ok_or(SendError::Stalled)?;
    let answer = answer.map_err(|err| on_failure(traffic, replica, req, connection.idle_time, err));
    let (head, body) = answer?.into_parts();
    if !framing::is_final(head.status) {
        return Err(SendError::InvalidStatus(head.status.as_u16()));
    }
    if head.headers.get(headers::REQUEST_ID) != req.headers.get(headers::REQUEST_ID) {
        return Err(SendError::WrongRequest);
    }
    traffic.on_response_head(req, replica, &head, sent_at);
    Ok(Exchange {
        is_framed: framing::is_framed(&head.headers, &body),
        status: head.status,
        headers: head.headers,
        body,
        head_received: Instant::now(),
        connection,
    })
}

/// How the head of the response to a request is bounded. What may not be repeated waits until its deadline for
/// a slow head, as the request has probably run.
fn head_bound(traffic: &Traffic, req: &CallerRequest) -> HeadBound {
    if !traffic.shared.settings.policy.bound_heads {
        HeadBound::Unbounded
    } else if req.route.is_repeatable() {
        HeadBound::BytesAndTime
    } else {
        HeadBound::Bytes
    }
}

/// Records a connection that ended before the head of the response was complete, after it had been idle for
/// `idle_time` if it was reused. A replica whose head does not end has not ended itself, and has not forgotten
/// the connection.
fn on_failure(
    traffic: &Traffic,
    replica: &ReplicaRecord,
    req: &CallerRequest,
    idle_time: Option<Duration>,
    err: hyper::Error,
) -> SendError {
    let endless = head_bound::endless_head(&err).filter(|_| traffic.shared.settings.policy.bound_heads);
    if let Some(reason) = endless {
        traffic.shared.metrics.on_endless_head();
        return SendError::EndlessHead(reason);
    }
    if let Some(idle_time) = idle_time {
        traffic.connections.on_break(idle_time);
    }
    traffic.on_broken_run(req, replica, RunProgress::default());
    SendError::Broken(err)
}

/// Stops waiting when the request is quarantined: it may still be queued at the replica, which does not
/// start it once the connection is closed.
async fn unless_quarantined<T>(
    traffic: &Traffic,
    req: &CallerRequest,
    waiting: impl Future<Output = T>,
) -> Result<T, SendError> {
    tokio::select! {
        biased;
        answer = waiting => Ok(answer),
        () = traffic.until_quarantined(req) => Err(SendError::QuarantinedMeanwhile),
    }
}

fn request(req: &CallerRequest, added: &AddedHeaders<'_>) -> Request<Full<Bytes>> {
    let mut out = Request::new(Full::new(req.body.clone()));
    *out.method_mut() = req.method.clone();
    *out.uri_mut() = req.uri.clone();
    *out.headers_mut() = headers::for_replica(&req.headers, added);
    out
}

impl Exchange {
    /// Whether the replica reports that it did not run the request.
    pub fn says_not_run(&self) -> bool {
        headers::reports_not_run(self.status, &self.headers)
    }

    /// Whether the body is an event stream. An engine that names no type sends one.
    pub fn is_event_stream(&self) -> bool {
        let Some(content_type) = headers::text(&self.headers, &header::CONTENT_TYPE) else {
            return true;
        };
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        media_type.eq_ignore_ascii_case(EVENT_STREAM)
    }

    /// Whether the connection leads to the replica directly, not through another node.
    pub fn is_direct(&self) -> bool {
        self.connection.is_direct
    }

    /// Reads the response to its end. A truncated response counts as a broken run.
    pub async fn read_response(
        self,
        traffic: &Traffic,
        replica: &ReplicaRecord,
        req: &CallerRequest,
    ) -> Result<BufferedResponse, SendError> {
        let is_framed = self.is_framed;
        let mut answer = self.read(&traffic.shared.held, &traffic.connections, replica, req.deadline()).await;
        if let Ok(response) = &answer
            && !is_framed
        {
            if framing::lacks_body(response.status, is_framed, &response.body) {
                answer = Err(SendError::Truncated("a success without a length or a body".to_owned()));
            } else if !traffic.outlives_response(req, replica).await {
                answer = Err(SendError::Truncated("the replica has ended".to_owned()));
            }
        }
        if matches!(answer, Err(SendError::Truncated(_))) {
            traffic.on_broken_run(req, replica, RunProgress::default());
        }
        answer
    }

    /// Reads the body until `deadline`, and keeps the connection if it can be reused.
    async fn read(
        self,
        node: &Arc<HeldBytes>,
        connections: &IdleConnections,
        replica: &ReplicaRecord,
        deadline: Instant,
    ) -> Result<BufferedResponse, SendError> {
        let body = Limited::new(self.body, MAX_ANSWER_BYTES);
        let reading = held_bytes::collect(body, async |bytes| Some(node.acquire(bytes).await));
        let body = arrival::timeout_at(deadline, reading).await.map_err(|_| SendError::TimedOut)?;
        let (body, held) = match body {
            Ok(Some(collected)) => collected,
            Ok(None) => return Err(SendError::Truncated("not enough memory to buffer the body".to_owned())),
            Err(err) => return Err(SendError::Truncated(err.to_string())),
        };
        let held = held.unwrap_or_else(|| node.empty_guard());
        if !headers::closes_connection(&self.headers) {
            connections.put(replica, self.connection, headers::keep_alive_timeout(&self.headers));
        }
        Ok(BufferedResponse { status: self.status, headers: self.headers, body, held })
    }
}

impl BufferedResponse {
    /// Whether the status tells a caller that the request was not run. Such a response is passed on only
    /// if the replica itself reports that.
    pub fn has_not_run_status(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}
