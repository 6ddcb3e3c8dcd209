//! One request to one replica, and the head of its answer.

use std::sync::Arc;

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
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::headers;
use leadstage_platform::headers::AddedHeaders;
use log::info;
use tokio::time::Instant;

use crate::gateway::held_bytes;
use crate::gateway::held_bytes::Held;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::messages::Outcome;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::connections::Choice;
use crate::gateway::upstream::connections::ConnectError;
use crate::gateway::upstream::connections::Connection;
use crate::gateway::upstream::connections::Connections;
use crate::gateway::upstream::silence;
use crate::gateway::upstream::stall;
use crate::gateway::upstream::traffic::Traffic;

/// Bytes of a plain answer at most, as it is held until it is whole.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a replica gave no usable answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// The replica's hall is closed: nothing was sent.
    #[display("its hall is closed")]
    HallClosed,
    /// The replica asked this node for rest: nothing was sent.
    #[display("it asked for rest")]
    Resting,
    /// The replica's version was given up: nothing was sent.
    #[display("its version was given up")]
    VersionReverted,
    /// Replicas end under the request: nothing was sent.
    #[display("it is quarantined")]
    Quarantined,
    /// It turned out that replicas end under the request, and the replica had not answered yet.
    #[display("it was quarantined meanwhile")]
    Withdrawn,
    /// Not a byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(ConnectError),
    /// The connection broke after the request may have been sent.
    #[display("connection broke: {_0}")]
    Broken(hyper::Error),
    /// No answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// The replica stayed silent for too long, and the request may go on elsewhere.
    #[display("silent for too long")]
    Stalled,
    /// A kept connection stayed silent for too long. That the request is sent again is taken from
    /// the retry budget.
    #[display("kept connection silent for too long")]
    ConnectionSilent,
    /// The answer belongs to another request.
    #[display("answer to another request")]
    Foreign,
    /// The answer ended early or was too large.
    #[display("answer cut short: {_0}")]
    Cut(#[error(not(source))] String),
}

/// Ends a request's place at a replica that failed it. Returns the code for its caller, unless
/// nothing was sent.
pub fn failed(req: &CallerRequest, run: RunGuard, err: &SendError) -> Option<Code> {
    info!(event = "attempt_failed", request = req.id(), upstream = &*run.placed.replica.id, reason:% = err; "attempt failed");
    let says_nothing = matches!(
        err,
        SendError::HallClosed
            | SendError::Resting
            | SendError::VersionReverted
            | SendError::Quarantined
            | SendError::Withdrawn
    );
    run.end(if says_nothing { Outcome::Withdrawn } else { Outcome::Failed });
    match err {
        SendError::HallClosed
        | SendError::Resting
        | SendError::VersionReverted
        | SendError::Quarantined
        | SendError::NotSent(_) => None,
        SendError::TimedOut | SendError::Stalled | SendError::ConnectionSilent => Some(Code::UpstreamTimeout),
        SendError::Broken(_) | SendError::Foreign | SendError::Cut(_) | SendError::Withdrawn => {
            Some(Code::UpstreamLost)
        }
    }
}

/// An answer whose body is still to come.
pub struct Exchange {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Incoming,
    /// When the head came: an engine begins its answer when it begins to run the request.
    pub head_came: Instant,
    connection: Connection,
}

/// An answer read to its end.
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What it takes of the node's memory.
    pub held: Held,
}

/// Sends a request that was sent to `sent` replicas before to one more, on a connection of
/// `choice`, and waits for the head of the answer as long as its caller does.
pub async fn send(
    traffic: &Traffic,
    replica: &ReplicaRecord,
    req: &CallerRequest,
    added: &AddedHeaders<'_>,
    choice: Choice,
    sent: u32,
) -> Result<Exchange, SendError> {
    // Whatever chose the replica, and however long ago: this is the last look before the send.
    if traffic.is_quarantined(req) {
        return Err(SendError::Quarantined);
    }
    if !traffic.shared.closed_halls().is_open(&replica.hall) {
        return Err(SendError::HallClosed);
    }
    if traffic.lets_rest(replica, added.resume.is_some_and(|resume| resume.copy.is_some())) {
        return Err(SendError::Resting);
    }
    if traffic.is_reverted(req, replica) {
        return Err(SendError::VersionReverted);
    }
    let mut connection = traffic.connections.take(replica, choice).await.map_err(SendError::NotSent)?;
    let sent_at = traffic.shared.now();
    traffic.on_sending(req, replica, sent);
    traffic.shared.metrics.on_connection(connection.rested.is_some());
    let sending = connection.sender.send_request(request(req, added));
    let sending = stall::head(traffic, req, replica, sending);
    let waiting = async {
        match connection.rested {
            Some(_) => silence::head(traffic, req, replica, sent, sending).await,
            None => Some(sending.await),
        }
    };
    let waiting = unless_quarantined(traffic, req, waiting);
    let answer = tokio::time::timeout_at(req.until(), waiting).await.map_err(|_| SendError::TimedOut)??;
    let answer = answer.ok_or(SendError::ConnectionSilent)?.ok_or(SendError::Stalled)?;
    if let (Err(_), Some(rested)) = (&answer, connection.rested) {
        traffic.connections.on_break(rested);
    }
    let (head, body) = answer
        .inspect_err(|_| traffic.on_broken_run(req, replica, None, 0))
        .map_err(SendError::Broken)?
        .into_parts();
    if head.headers.get(headers::REQUEST_ID) != req.headers.get(headers::REQUEST_ID) {
        return Err(SendError::Foreign);
    }
    traffic.on_head(req, replica, &head, sent_at);
    Ok(Exchange { status: head.status, headers: head.headers, body, head_came: Instant::now(), connection })
}

/// Waits no longer than until the request is quarantined: it may wait at the replica for its turn, and that
/// one does not begin it once it is hung up on.
async fn unless_quarantined<T>(
    traffic: &Traffic,
    req: &CallerRequest,
    waiting: impl Future<Output = T>,
) -> Result<T, SendError> {
    tokio::select! {
        biased;
        answer = waiting => Ok(answer),
        () = traffic.until_quarantined(req) => Err(SendError::Withdrawn),
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
    /// Whether the replica says that it did not run the request.
    pub fn says_not_run(&self) -> bool {
        headers::reports_not_run(self.status, &self.headers)
    }

    /// Whether the body's end can be told from a connection that just closes.
    pub fn is_framed(&self) -> bool {
        let framing = [header::TRANSFER_ENCODING, header::CONTENT_LENGTH];
        framing.iter().any(|name| self.headers.contains_key(name))
    }

    /// Reads the answer to a request to its end; one that is cut short is a run that broke.
    pub async fn whole(
        self,
        traffic: &Traffic,
        replica: &ReplicaRecord,
        req: &CallerRequest,
    ) -> Result<WholeAnswer, SendError> {
        let answer = self.read(&traffic.shared.held, &traffic.connections, replica, req.until()).await;
        if matches!(answer, Err(SendError::Cut(_))) {
            traffic.on_broken_run(req, replica, None, 0);
        }
        answer
    }

    /// Reads it until `until`, and keeps the connection if it can be used again.
    async fn read(
        self,
        node: &Arc<HeldBytes>,
        connections: &Connections,
        replica: &ReplicaRecord,
        until: Instant,
    ) -> Result<WholeAnswer, SendError> {
        let body = Limited::new(self.body, MAX_ANSWER_BYTES);
        let reading = held_bytes::collect(body, async |bytes| Some(node.take_when_free(bytes).await));
        let body = tokio::time::timeout_at(until, reading).await.map_err(|_| SendError::TimedOut)?;
        let (body, held) = match body {
            Ok(Some(whole)) => whole,
            Ok(None) => return Err(SendError::Cut("no room for it".to_owned())),
            Err(err) => return Err(SendError::Cut(err.to_string())),
        };
        let held = held.unwrap_or_else(|| node.nothing());
        if !headers::closes_connection(&self.headers) {
            connections.put(replica, self.connection, headers::keep_alive_timeout(&self.headers));
        }
        Ok(WholeAnswer { status: self.status, headers: self.headers, body, held })
    }
}

impl WholeAnswer {
    /// Whether its status tells a caller "not run": it is passed on only when the replica
    /// says the same.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}
