//! The callers' port: accepts connections and serves the requests on them.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use leadstage_lib::code::Ran;
use leadstage_lib::gateway::routing::CallerLimits;
use leadstage_lib::gateway::routing::Organisation;
use leadstage_lib::gateway::routing::Repeat;
use leadstage_lib::gateway::routing::Route;
use log::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;

use crate::gateway::http_port;
use crate::gateway::ingress::io_watch::Activity;
use crate::gateway::ingress::io_watch::EndsResponse;
use crate::gateway::ingress::io_watch::ServingGuard;
use crate::gateway::ingress::io_watch::WatchedIo;
use crate::gateway::ingress::plain;
use crate::gateway::ingress::responding_body::RespondingBody;
use crate::gateway::ingress::streams;
use crate::gateway::observability::metrics::RequestOutcome;
use crate::gateway::reply::Refusal;
use crate::gateway::reply::Reply;
use crate::gateway::request;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::OpenGuard;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;
use crate::gateway::stop;
use crate::gateway::upstream::traffic::Traffic;

/// Limits until a configuration is available.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_within: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// Smallest buffer that the HTTP server allows.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time for a connection that exceeded a limit to close by itself.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between two sweeps of unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves callers until the node accepts no more requests, then until the responses to the requests read
/// before are written and all connections are closed.
///
/// Only the port itself knows when no request is left: while it accepts connections and reads from them, a
/// count of open requests that is zero may rise a moment later. A node that ended 50 ms after it had found
/// no open request lost calls on kept connections, in one of six runs of a fleet with frequent planned
/// stops.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let traffic = Traffic::new(shared.clone());
    tokio::task::spawn_local(sweep(traffic.clone()));
    let connections = TaskTracker::new();
    let mut closing = std::pin::pin!(shared.wait_for_phase(Phase::Closing));
    loop {
        tokio::select! {
            biased;
            () = &mut closing => break,
            stream = http_port::accept(&listener, "callers") => {
                connections.spawn_local(serve_connection(traffic.clone(), stream));
            }
        }
    }
    // Connections that have not been accepted yet are reset: nothing was read from them.
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn sweep(traffic: Traffic) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        traffic.connections.sweep();
    }
}

fn limits(shared: &Shared) -> CallerLimits {
    shared.table().map_or(DEFAULT_LIMITS, |table| table.limits)
}

async fn serve_connection(traffic: Traffic, stream: TcpStream) {
    let (shared, activity) = (traffic.shared.clone(), Activity::new());
    drive_connection(traffic, stream, &activity).await;
    if let Some(request) = activity.cut_response() {
        info!(event = "response_cut", request = &*request; "the connection ended before its caller had the whole response");
        shared.metrics.on_response_cut();
    }
}

/// Serves one connection until either side closes it or it exceeds a limit.
async fn drive_connection(traffic: Traffic, stream: TcpStream, activity: &Activity) {
    let ends_response = EndsResponse::default();
    let io = TokioIo::new(WatchedIo::new(stream, activity.clone(), ends_response.clone()));
    let shared = traffic.shared.clone();
    let service_activity = activity.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let (traffic, activity) = (traffic.clone(), service_activity.clone());
        let ends_response = ends_response.clone();
        async move {
            let knows_chunks = req.version() >= Version::HTTP_11;
            let reply = handle(&traffic, req, &activity).await;
            if !knows_chunks && reply.body().size_hint().exact().is_none() {
                ends_response.mark();
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits(&shared).head_bytes.max(MIN_BUFFER_BYTES)).half_close(false);
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let mut closing = std::pin::pin!(async {
        stop::wait_to_close_idle(&shared).await;
        // If the connection closed while the head of a request is partly read, the caller could not tell
        // whether the request was run.
        activity.wait_while_reading_head().await;
    });
    let mut limit_exceeded = std::pin::pin!(activity.limit_exceeded(|| limits(&shared)));
    let mut versions = shared.config_versions();
    let (mut close_requested, mut exceeded_limit) = (false, false);
    while !exceeded_limit {
        tokio::select! {
            biased;
            // A connection error concerns only the caller, and requests log their own outcome.
            _ = connection.as_mut() => return,
            () = &mut limit_exceeded => {
                connection.as_mut().graceful_shutdown();
                exceeded_limit = true;
            }
            () = &mut closing, if !close_requested => {
                connection.as_mut().graceful_shutdown();
                close_requested = true;
            }
            // Polls the limits again, as new ones may be shorter.
            Ok(()) = versions.changed() => {}
        }
    }
    // A response that is being written is still sent. A connection that stalls is dropped, but not with a
    // request whose head arrived just after the limit: that request was accepted and is served.
    while tokio::time::timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_err()
        && activity.is_serving(&limits(&shared))
    {}
}

async fn handle(traffic: &Traffic, req: Request<Incoming>, activity: &Activity) -> Response<RespondingBody> {
    let id = leadstage_platform::headers::REQUEST_ID;
    let id = req.headers().get(id).and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let serving = activity.begin_serving(&id);
    let open = traffic.shared.open();
    let mut reply = match admit_and_serve(traffic, req, id, serving.clone(), open).await {
        Ok(reply) => reply,
        Err(refused) => refused,
    };
    if traffic.shared.phase() >= Phase::Stopping {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply.map(|body| RespondingBody::new(body, serving))
}

async fn admit_and_serve(
    traffic: &Traffic,
    req: Request<Incoming>,
    id: String,
    serving: ServingGuard,
    open: OpenGuard,
) -> Result<Reply, Reply> {
    let shared = &traffic.shared;
    let admitted = tokio::select! {
        biased;
        admitted = request::admit(shared, req) => admitted,
        () = shared.wait_for_end_of_serving() => Err(stop::refusal(shared)),
    };
    let req = admitted.map_err(|refusal| {
        info!(event = "refused", request = id, code:% = refusal.code; "request refused");
        shared.metrics.on_refusal(refusal.code);
        refusal.reply()
    })?;
    if !stop::accepts(shared, &req) {
        return Err(refuse(shared, &Subject::of(&req), stop::refusal(shared)));
    }
    traffic.on_request(&req.service);
    serving.set_deadline(req.deadline());
    if req.route.repeat == Repeat::Stream {
        let subject = Subject::of(&req);
        return streams::serve(traffic, req, serving, open)
            .await
            .map_err(|refusal| refuse(shared, &subject, refusal));
    }
    let answer = plain::serve(traffic, &req).await;
    drop((serving, open));
    let outcome = answer.as_ref().ok().map(|reply| req.outcome_of_answer(reply.status()));
    let reply = answer.map_err(|refusal| refuse(shared, &Subject::of(&req), refusal));
    let status = reply.as_ref().map_or_else(|refused| refused.status(), |reply| reply.status());
    let took = req.received_at.elapsed();
    info!(event = "call_end", request = req.id(), route = &*req.route.name, organisation = req.organisation_label(), status = status.as_u16(), took_ms = took.as_millis() as u64, due_ms = req.route.objective.as_millis() as u64; "call ended");
    shared.metrics.on_call(took);
    shared.metrics.on_answer(&req.route.name, status.as_u16());
    if let Some(outcome) = outcome {
        shared.metrics.on_organisation_request(req.organisation.as_deref(), outcome);
    }
    reply
}

/// What is said of an admitted request that is refused.
struct Subject {
    id: String,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

impl Subject {
    fn of(req: &CallerRequest) -> Self {
        Subject { id: req.id().to_owned(), route: req.route.clone(), organisation: req.organisation.clone() }
    }
}

/// Logs and counts the refusal of an admitted request, and builds its reply.
fn refuse(shared: &Shared, subject: &Subject, refusal: Refusal) -> Reply {
    let organisation = subject.organisation.as_deref();
    let name = organisation.map_or("", |organisation| &*organisation.name);
    info!(event = "refused", request = subject.id, code:% = refusal.code, route = &*subject.route.name, organisation = name; "request refused");
    shared.metrics.on_refusal(refusal.code);
    let outcome =
        if refusal.code.ran() == Ran::No { RequestOutcome::Refused } else { RequestOutcome::Failed };
    shared.metrics.on_organisation_request(organisation, outcome);
    refusal.reply()
}
