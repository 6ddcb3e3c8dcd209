//! A stand-in for a replica of the users' platform: answers calls, runs generations that
//! can be copied away, and has switches for its faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::Version;
use serde_json::json;
use tokio::sync::Notify;

use crate::loopback;
use crate::loopback::Body;
use crate::loopback::RequestHandler;
use crate::loopback::RequestNumber;
use crate::loopback::Server;

/// A replica that ends because of a request does so this long after it has begun to run it.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// A port that is to close has closed after this.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// Answers them.
    #[default]
    None,
    /// Says that it did not run them.
    NotExecuted,
    /// Runs them and fails.
    Fails,
    /// Runs them and never answers.
    Hangs,
    /// Runs them and closes the connection.
    Breaks,
    /// Answers with another request's id.
    WrongRequestId,
    /// Cuts the body short.
    TruncatesBody,
    /// Breaks the connection at its second request, as if it had forgotten it.
    ClosesReusedConnections,
    /// Answers after this time.
    Late(Duration),
    /// Answers with so many bytes.
    Long(usize),
}

/// How an engine treats calls to copy a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyFault {
    /// Copies.
    #[default]
    None,
    /// Says that there is no room.
    NoRoom,
    /// Never answers the first call.
    CopyHangs,
    /// Stops the generation and never answers.
    StopHangs,
    /// Takes no more connections once it has made a copy; those that are open stay.
    ClosesPort,
    /// Takes no more connections once it has stopped a generation.
    StopClosesPort,
    /// Stops the generation and answers so much later.
    StopLate(Duration),
    /// Fails whoever wants to go on with a copy there; the copy stays.
    ResumeFails,
}

/// How an engine treats a stream that it makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamFault {
    /// Makes it.
    #[default]
    None,
    /// Closes the connection instead of answering.
    NoHead,
    /// Never answers.
    Hangs,
    /// Answers, but later than callers should wait.
    Late(Duration),
    /// Answers with an error of its own.
    Fails,
    /// Says that it did not run it.
    NotExecuted,
    /// Breaks off after so many events.
    BreaksAfter(u64),
    /// Breaks off in the middle of the event after so many.
    BreaksInside(u64),
    /// Falls silent after so many events.
    StallsAfter(u64),
    /// Begins at the first event, whatever event it is to go on after.
    StartsOver,
    /// Makes it without a length or chunks: it ends with its connection.
    Unframed,
}

/// What a stand-in's generation does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// Makes the event after so many.
    Event(u64),
    /// Breaks off.
    Break,
    /// Is over.
    End,
}

/// A request that a replica saw.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// When it came.
    pub at: Instant,
    /// `METHOD path?query`.
    pub line: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What the engines of one fleet share.
#[derive(Default)]
pub struct SharedEngineState {
    /// Copies of generations, by the engine that made them and their handle.
    copies: Mutex<HashMap<String, u64>>,
    /// How the next streams are treated, one after the other, at whichever engine they arrive.
    stream_faults: Mutex<VecDeque<StreamFault>>,
}

impl SharedEngineState {
    /// Sets how the next streams are treated, one after the other; all that follow are made.
    pub fn set_stream_faults(&self, faults: impl IntoIterator<Item = StreamFault>) {
        *self.stream_faults.lock().expect("no holder panics") = faults.into_iter().collect();
    }

    fn next_stream_fault(&self) -> StreamFault {
        self.stream_faults.lock().expect("no holder panics").pop_front().unwrap_or_default()
    }
}

/// A fault that some of a replica's requests meet.
#[derive(Clone, Debug)]
pub struct PartialFault {
    /// The fault.
    pub fault: ReplicaFault,
    /// One of so many requests meets it,
    pub every_nth: usize,
    /// of those whose path begins so.
    pub prefix: String,
}

#[derive(Default)]
struct State {
    fault: ReplicaFault,
    partial_fault: Option<PartialFault>,
    /// Requests that the partial fault is for.
    prefixed_requests: usize,
    copy_fault: CopyFault,
    received: Vec<ReceivedRequest>,
    /// Running generations and the events that they made.
    runs: HashMap<String, u64>,
    stopped: Vec<String>,
    /// Bytes that each event has beyond its token.
    padding: usize,
    /// Calls for its report.
    report_calls: usize,
    /// Calls to copy a generation.
    copy_calls: usize,
    /// Callers that closed their connection before the answer's end.
    abandoned: Vec<String>,
    address: Option<SocketAddr>,
    /// Closes its port.
    close_port: Option<Arc<Notify>>,
    /// Ends its server.
    shutdown: Option<Arc<Notify>>,
    /// It ends when it runs a request with this body.
    crash_on: Option<Bytes>,
    has_crashed: bool,
    /// The limit that it names in its answers, as it stands there.
    limit: Option<String>,
    /// What its answers say of its leaving, as it stands there.
    leaving: Option<String>,
    /// Requests that it turned away.
    rejected: Vec<String>,
    /// The rest that it asks for when it turns a request away, as it stands there.
    retry_after: Option<String>,
}

/// A replica.
pub struct GatewayReplica {
    /// Its id.
    pub id: String,
    /// Events of a generation.
    pub events: u64,
    /// Time between two events.
    pub event_interval: Duration,
    engines: Arc<SharedEngineState>,
    state: Mutex<State>,
}

/// Notes that a generation or an answer is over, however it ends.
struct RunGuard {
    replica: Arc<GatewayReplica>,
    id: String,
    done: bool,
}

impl RunGuard {
    /// The answer ended as it should.
    fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.replica.state();
        state.runs.remove(&self.id);
        if !self.done {
            state.abandoned.push(self.id.clone());
        }
    }
}

impl GatewayReplica {
    /// A replica that serves on a free port of `ip`.
    pub async fn start(
        ip: &str,
        id: &str,
        events: u64,
        engines: Arc<SharedEngineState>,
    ) -> (Arc<Self>, Server) {
        let replica = Arc::new(GatewayReplica {
            id: id.to_owned(),
            events,
            event_interval: Duration::from_millis(15),
            engines,
            state: Mutex::default(),
        });
        let server = loopback::serve(ip, replica.clone()).await;
        replica.state().address = Some(server.address);
        replica.state().close_port = Some(server.close_port.clone());
        replica.state().shutdown = Some(server.shutdown.clone());
        (replica, server)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Sets where nodes reach it, which names its copies.
    pub fn set_address(&self, address: SocketAddr) {
        self.state().address = Some(address);
    }

    /// Sets how it treats requests.
    pub fn set_fault(&self, fault: ReplicaFault) {
        self.state().fault = fault;
    }

    /// Sets a fault that some of its requests meet.
    pub fn set_partial_fault(&self, fault: PartialFault) {
        self.state().partial_fault = Some(fault);
    }

    /// The fault that a request meets.
    fn fault_for(&self, req: &Request<Bytes>) -> ReplicaFault {
        let mut state = self.state();
        let partial = state.partial_fault.clone();
        let Some(partial) = partial.filter(|partial| req.uri().path().starts_with(&partial.prefix)) else {
            return state.fault;
        };
        state.prefixed_requests += 1;
        if state.prefixed_requests.is_multiple_of(partial.every_nth) { partial.fault } else { state.fault }
    }

    /// Sets how it treats calls to copy.
    pub fn set_copy_fault(&self, fault: CopyFault) {
        self.state().copy_fault = fault;
    }

    /// Sets how many bytes each event has beyond its token.
    pub fn set_padding(&self, bytes: usize) {
        self.state().padding = bytes;
    }

    /// Has it end with all its connections soon after it begins to run a request with this body.
    pub fn set_crash_on(&self, body: &str) {
        self.state().crash_on = Some(Bytes::copy_from_slice(body.as_bytes()));
    }

    /// Has it name a limit in its answers from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state().limit = limit.map(str::to_owned);
    }

    /// Has all its answers say from now on that it leaves, or no more.
    pub fn set_leaving(&self, leaving: Option<&str>) {
        self.state().leaving = leaving.map(str::to_owned);
    }

    /// Has it ask for rest when it turns a request away from now on, or no more.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.state().retry_after = retry_after.map(str::to_owned);
    }

    /// The requests that it turned away as its fault says.
    pub fn rejected_requests(&self) -> Vec<String> {
        self.state().rejected.clone()
    }

    /// Ends it with all its connections at once.
    pub fn crash(&self) {
        let mut state = self.state();
        state.has_crashed = true;
        state.shutdown.as_ref().expect("it serves").notify_one();
    }

    /// Whether it has ended.
    pub fn has_crashed(&self) -> bool {
        self.state().has_crashed
    }

    /// What it saw.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state().received.clone()
    }

    /// Generations and calls that it works on.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// How often it was asked for its report.
    pub fn report_calls(&self) -> usize {
        self.state().report_calls
    }

    /// How often it was asked to copy a generation.
    pub fn copy_calls(&self) -> usize {
        self.state().copy_calls
    }

    /// Requests whose caller closed the connection.
    pub fn abandoned_requests(&self) -> Vec<String> {
        self.state().abandoned.clone()
    }

    fn response_headers(&self, req: &HeaderMap, fault: ReplicaFault) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let id = req.get("leadstage-request-id").cloned();
        if fault == ReplicaFault::WrongRequestId {
            headers.insert("leadstage-request-id", "another".parse().expect("valid"));
        } else if let Some(id) = id {
            headers.insert("leadstage-request-id", id);
        }
        headers.insert("leadstage-server-signature", format!("sig-{}", self.id).parse().expect("valid"));
        if let Some(limit) = &self.state().limit {
            headers.insert("server-limit", limit.parse().expect("valid"));
        }
        headers
    }

    fn not_executed(&self, req: &HeaderMap) -> Response<Body> {
        let mut res = Response::new(loopback::full_body(""));
        *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        *res.headers_mut() = self.response_headers(req, ReplicaFault::None);
        res.headers_mut().insert("leadstage-not-executed", "1".parse().expect("valid"));
        if let Some(retry_after) = &self.state().retry_after {
            res.headers_mut().insert("retry-after", retry_after.parse().expect("valid"));
        }
        res
    }

    /// Whether this request ends it; if so, that comes about soon.
    fn crashes_on(self: &Arc<Self>, req: &Request<Bytes>) -> bool {
        let crashes = self.state().crash_on.as_ref() == Some(req.body());
        if crashes {
            let replica = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_DELAY).await;
                replica.crash();
            });
        }
        crashes
    }

    /// The answer to a request that ends it: a stream's has begun by then, a plain call's has not.
    async fn crash_response(&self, req: &Request<Bytes>) -> Response<Body> {
        if !req.headers().contains_key("leadstage-model") {
            std::future::pending::<()>().await;
        }
        let mut res = Response::new(loopback::stream_body(futures::stream::pending()));
        *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
        res
    }

    async fn handle_call(self: Arc<Self>, req: Request<Bytes>, fault: ReplicaFault) -> Response<Body> {
        let id = header_text(req.headers(), "leadstage-request-id");
        self.state().runs.insert(id.clone(), 0);
        let mut guard = RunGuard { replica: self.clone(), id, done: false };
        if fault == ReplicaFault::Hangs {
            std::future::pending::<()>().await;
        }
        if let ReplicaFault::Late(after) = fault {
            tokio::time::sleep(after).await;
        }
        guard.finish();
        let cut = futures::stream::iter([Ok(Bytes::from("cut")), Err(std::io::Error::other("cut"))]);
        let body = match fault {
            ReplicaFault::Breaks => {
                loopback::stream_body(futures::stream::iter([Err(std::io::Error::other("cut"))]))
            }
            ReplicaFault::TruncatesBody => loopback::stream_body(cut),
            ReplicaFault::Long(bytes) => loopback::full_body("x".repeat(bytes)),
            _ => loopback::full_body(format!("{} answers {}", self.id, req.uri())),
        };
        let mut res = Response::new(body);
        *res.headers_mut() = self.response_headers(req.headers(), fault);
        if fault == ReplicaFault::Fails {
            *res.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        res
    }

    async fn handle_stream(self: Arc<Self>, req: &Request<Bytes>) -> Response<Body> {
        let id = header_text(req.headers(), "leadstage-request-id");
        let fault = self.engines.next_stream_fault();
        match fault {
            StreamFault::NoHead => {
                let broken = futures::stream::iter([Err(std::io::Error::other("no head"))]);
                return Response::new(loopback::stream_body(broken));
            }
            StreamFault::Hangs => {
                self.state().runs.insert(id.clone(), 0);
                let _guard = RunGuard { replica: self.clone(), id, done: false };
                std::future::pending::<()>().await;
                unreachable!("nothing ends it");
            }
            StreamFault::Fails => {
                let mut res = status_response(500);
                *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
                return res;
            }
            StreamFault::NotExecuted => return self.not_executed(req.headers()),
            StreamFault::Late(after) => tokio::time::sleep(after).await,
            _ => {}
        }
        let from = match req.headers().get("kv-from") {
            Some(_) if self.state().copy_fault == CopyFault::ResumeFails => {
                let mut res = status_response(500);
                *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
                return res;
            }
            Some(copy) => {
                let copy = copy.to_str().unwrap_or("").to_owned();
                let used = self.engines.copies.lock().expect("no holder panics").remove(&copy);
                if used.is_none() {
                    return self.not_executed(req.headers());
                }
                self.state().stopped.retain(|stopped| *stopped != id);
                header_text(req.headers(), "last-event-id").parse().unwrap_or(0)
            }
            None if fault == StreamFault::StartsOver => 0,
            None => header_text(req.headers(), "last-event-id").parse().unwrap_or(0),
        };
        let mut res = Response::new(loopback::stream_body(self.clone().generate(id, from, fault)));
        *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
        res.headers_mut().insert("content-type", "text/event-stream".parse().expect("valid"));
        if fault == StreamFault::Unframed {
            *res.version_mut() = Version::HTTP_10;
        }
        res
    }

    /// The events after `from`; stops in the middle of one, without an end, when the generation
    /// was copied away.
    fn generate(
        self: Arc<Self>,
        id: String,
        from: u64,
        fault: StreamFault,
    ) -> impl futures::Stream<Item = std::io::Result<Bytes>> + Send {
        self.state().runs.insert(id.clone(), from);
        let guard = RunGuard { replica: self.clone(), id, done: false };
        futures::stream::unfold((guard, NextStep::Event(from)), move |(mut guard, next)| async move {
            let replica = guard.replica.clone();
            let made = match next {
                NextStep::Event(made) => made,
                NextStep::Break => {
                    // What was made is sent before the connection breaks.
                    tokio::time::sleep(replica.event_interval).await;
                    guard.finish();
                    return Some((Err(std::io::Error::other("stopped")), (guard, NextStep::End)));
                }
                NextStep::End => return None,
            };
            if fault == StreamFault::StallsAfter(made) {
                std::future::pending::<()>().await;
            }
            if fault == StreamFault::BreaksAfter(made) {
                return Some((Ok(Bytes::new()), (guard, NextStep::Break)));
            }
            if made == replica.events {
                guard.finish();
                return None;
            }
            tokio::time::sleep(replica.event_interval).await;
            let mut state = replica.state();
            if state.stopped.contains(&guard.id) || fault == StreamFault::BreaksInside(made) {
                drop(state);
                let part = format!("id: {}\ndata: tok", made + 1);
                return Some((Ok(Bytes::from(part)), (guard, NextStep::Break)));
            }
            state.runs.insert(guard.id.clone(), made + 1);
            let padding = "x".repeat(state.padding);
            drop(state);
            let event = format!("id: {}\ndata: token {}{padding}\n\n", made + 1, made + 1);
            Some((Ok(Bytes::from(event)), (guard, NextStep::Event(made + 1))))
        })
    }

    async fn handle_copy(&self, req: Request<Bytes>) -> Response<Body> {
        let call: serde_json::Value = serde_json::from_slice(req.body()).unwrap_or_default();
        let (id, last) = (call["id"].as_str().unwrap_or("").to_owned(), call["last"] == true);
        let (fault, made, address) = {
            let mut state = self.state();
            state.copy_calls += 1;
            (state.copy_fault, state.runs.get(&id).copied(), state.address)
        };
        let Some(made) = made else {
            return status_response(404);
        };
        match fault {
            CopyFault::NoRoom => return status_response(503),
            CopyFault::CopyHangs if !last => std::future::pending::<()>().await,
            _ => {}
        }
        let address = address.expect("it serves");
        self.engines.copies.lock().expect("no holder panics").insert(format!("{address}/h-{id}"), made);
        if last {
            self.state().stopped.push(id.clone());
            match fault {
                CopyFault::StopHangs => std::future::pending::<()>().await,
                CopyFault::StopLate(after) => tokio::time::sleep(after).await,
                _ => {}
            }
        }
        if fault == CopyFault::ClosesPort || (fault == CopyFault::StopClosesPort && last) {
            self.close_port().await;
        }
        Response::new(loopback::full_body(json!({"handle": format!("h-{id}"), "made": made}).to_string()))
    }

    /// Tells of the generations that run: their ids, tokens in memory, events and priorities.
    fn report(&self) -> Response<Body> {
        let mut state = self.state();
        state.report_calls += 1;
        let runs: Vec<_> = state.runs.iter().map(|(id, made)| json!([id, made, made, 5])).collect();
        Response::new(loopback::full_body(json!({"stage": "both", "runs": runs}).to_string()))
    }

    async fn close_port(&self) {
        let close_port = self.state().close_port.clone().expect("it serves");
        close_port.notify_one();
        tokio::time::sleep(PORT_CLOSE_DELAY).await;
    }
}

fn fault_of_reused_connection(req: &Request<Bytes>) -> ReplicaFault {
    let number = req.extensions().get::<RequestNumber>().map_or(1, |number| number.0);
    if number > 1 { ReplicaFault::Breaks } else { ReplicaFault::None }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
}

fn status_response(status: u16) -> Response<Body> {
    let mut res = Response::new(loopback::full_body("{}"));
    *res.status_mut() = status.try_into().expect("a valid status");
    res
}

impl GatewayReplica {
    async fn route(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        match req.uri().path() {
            "/v1/kv-move" => return self.handle_copy(req).await,
            "/v1/report" => return self.report(),
            "/healthz" => {
                let mut res = status_response(if self.state().leaving.is_some() { 503 } else { 200 });
                res.headers_mut().insert("leadstage-instance-id", self.id.parse().expect("valid"));
                return res;
            }
            _ => {}
        }
        let line = format!("{} {}", req.method(), req.uri());
        let received = ReceivedRequest {
            at: Instant::now(),
            line,
            headers: req.headers().clone(),
            body: req.body().clone(),
        };
        self.state().received.push(received);
        let fault = match self.fault_for(&req) {
            ReplicaFault::ClosesReusedConnections => fault_of_reused_connection(&req),
            fault => fault,
        };
        if fault == ReplicaFault::NotExecuted {
            self.state().rejected.push(header_text(req.headers(), "leadstage-request-id"));
            return self.not_executed(req.headers());
        }
        if self.crashes_on(&req) {
            return self.crash_response(&req).await;
        }
        if req.headers().contains_key("leadstage-model") {
            return self.handle_stream(&req).await;
        }
        self.handle_call(req, fault).await
    }
}

impl RequestHandler for GatewayReplica {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let mut res = self.clone().route(req).await;
        if let Some(leaving) = &self.state().leaving {
            res.headers_mut().insert("server-leaving", leaving.parse().expect("valid"));
        }
        res
    }
}
