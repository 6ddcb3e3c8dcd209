//! Starts a generation at its engine, or resumes it there, and reads the engine's events; sends a plain call
//! to a replica.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::OrganisationId;
use leadstage_platform::arrival;
use log::info;

use crate::filters::place::GenerationRequest;
use crate::filters::route::GenerationKind;
use crate::framing;
use crate::upstream_client;
use crate::upstream_client::SendError;

/// Timeout for the head of an engine's response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link to a generation could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The connection to the engine failed, so the request was not sent.
    NotSent,
    /// The connection broke or the response timed out.
    Broken,
    /// The engine does not know the generation, or cannot accept it now.
    Refused,
    /// The engine considers the request itself invalid.
    Rejected,
}

impl From<SendError> for LinkError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent => LinkError::NotSent,
            SendError::MayHaveRun | SendError::TimedOut => LinkError::Broken,
        }
    }
}

/// An open stream of a generation's events.
pub struct Link {
    events: std::pin::Pin<Box<EngineEvents>>,
    /// The organisation that the generation was started for, as the engine returns it.
    pub organisation: Option<String>,
}

type EngineEvents = eventsource_stream::EventStream<http_body_util::BodyDataStream<Incoming>>;

impl Link {
    fn new(res: http::Response<Incoming>) -> Result<Link, LinkError> {
        match res.status().as_u16() {
            200 => {}
            400 | 413 | 422 => return Err(LinkError::Rejected),
            _ => return Err(LinkError::Refused),
        }
        let organisation =
            res.headers().get("x-organisation").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let events = Box::pin(res.into_body().into_data_stream().eventsource());
        Ok(Link { events, organisation })
    }

    /// Returns the next event, or `None` when the link ended, broke or was silent for `max_silence`.
    pub async fn next(&mut self, max_silence: Duration) -> Option<Event> {
        let next = tokio::time::timeout(max_silence, self.events.next()).await;
        next.ok().flatten().and_then(Result::ok)
    }
}

/// Starts a generation at its engine. Engines treat a second start with the same id as the first one, so
/// this may be sent again.
pub async fn start(
    address: SocketAddr,
    generation: GenerationId,
    organisation: &OrganisationId,
    priority: i32,
    req: &GenerationRequest,
) -> Result<Link, LinkError> {
    let uri = format!("http://{address}{}", req.kind.path());
    let request = Request::post(uri)
        .header("content-type", "application/json")
        .header("x-generation-id", format!("{generation:016x}"))
        .header("x-organisation", &**organisation)
        .header("x-priority", priority)
        .body(Full::from(req.body.clone()))
        .map_err(|_| LinkError::Refused)?;
    Link::new(upstream_client::send(request, RESPONSE_HEAD_TIMEOUT).await?)
}

/// Resumes a generation at its engine from the token with index `from`.
pub async fn resume(
    address: SocketAddr,
    generation: GenerationId,
    from: u64,
    kind: GenerationKind,
    model: &str,
) -> Result<Link, LinkError> {
    let chat = u8::from(kind == GenerationKind::Chat);
    let uri =
        format!("http://{address}/v1/generations/{generation:016x}?from={from}&chat={chat}&model={model}");
    let request = Request::get(uri).body(Full::default()).map_err(|_| LinkError::Refused)?;
    Link::new(upstream_client::send(request, RESPONSE_HEAD_TIMEOUT).await?)
}

/// The response to a plain call.
#[derive(Debug)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: String,
    /// The response body.
    pub body: Bytes,
}

/// Size limit of the response to a plain call.
const MAX_CALL_RESPONSE_BYTES: usize = 8 << 20;

/// Sends a plain call to the replica at `address` and reads its complete response. One that ended with its
/// connection is complete if the replica runs on: the kernel closes the connections of a process that ends too.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<CallResponse, SendError> {
    let exchange = async {
        let res = upstream_client::send(request, limit).await?;
        let is_framed = framing::is_framed(res.headers(), res.body());
        let status = res.status();
        let header = res.headers().get("content-type").and_then(|v| v.to_str().ok());
        let content_type = header.unwrap_or("application/octet-stream").to_owned();
        let body = http_body_util::Limited::new(res.into_body(), MAX_CALL_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| SendError::MayHaveRun)?.to_bytes();
        if framing::lacks_body(status, is_framed, &body) {
            info!(event = "answer_lacks_body", upstream:% = address; "a success without a length or a body is not passed on");
            return Err(SendError::MayHaveRun);
        }
        if !is_framed && !upstream_client::accepts_connections(address).await {
            return Err(SendError::MayHaveRun);
        }
        Ok(CallResponse { status: status.as_u16(), content_type, body })
    };
    arrival::timeout(limit, exchange).await.unwrap_or(Err(SendError::TimedOut))
}
