//! A stand-in for a replica of the users' platform: answers calls, runs generations that can be copied to
//! another engine, and injects faults.

mod brittleness;
mod crash_trigger;
mod ending;
mod faults;
mod places;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use http::HeaderMap;
use http::Request;
use http::Response;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

pub use self::crash_trigger::CrashTrigger;
pub use self::ending::Framing;
pub use self::ending::JSON_DOCUMENT;
pub use self::ending::StreamEnding;
pub use self::faults::CopyFault;
pub use self::faults::PartialFault;
pub use self::faults::ReplicaFault;
pub use self::faults::StreamFault;
use crate::endless_server;
use crate::gateway_replica::brittleness::Brittleness;
use crate::gateway_replica::ending::event_text;
use crate::gateway_replica::ending::mark_end;
use crate::gateway_replica::places::Place;
use crate::gateway_replica::places::Places;
use crate::loopback;
use crate::loopback::Body;
use crate::loopback::RequestHandler;
use crate::loopback::RequestNumber;
use crate::loopback::Server;

/// Time from the start of a request that crashes the replica to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time within which the server closes its port after it is notified.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// The next step of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// Sends the event that follows this many.
    Event(u64),
    /// Closes the connection.
    Break,
    /// Ends the stream.
    End,
}

/// A request that reached the replica.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Time of arrival.
    pub at: Instant,
    /// `METHOD path?query`.
    pub line: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// State that the engines of one fleet share.
#[derive(Default)]
pub struct SharedEngineState {
    /// Copies of generations by `ADDRESS/HANDLE`, with the number of events produced so far.
    copies: Mutex<HashMap<String, u64>>,
    /// Faults of the next streams in order of arrival, at any engine.
    stream_faults: Mutex<VecDeque<StreamFault>>,
}

impl SharedEngineState {
    /// Sets the faults of the next streams in order of arrival; later streams have none.
    pub fn set_stream_faults(&self, faults: impl IntoIterator<Item = StreamFault>) {
        *self.stream_faults.lock().expect("no holder panics") = faults.into_iter().collect();
    }

    fn next_stream_fault(&self) -> StreamFault {
        self.stream_faults.lock().expect("no holder panics").pop_front().unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    fault: ReplicaFault,
    partial_fault: Option<PartialFault>,
    /// Requests so far whose path has the prefix of the partial fault.
    prefixed_requests: usize,
    copy_fault: CopyFault,
    received: Vec<ReceivedRequest>,
    /// Running generations and plain calls, with the number of events produced.
    runs: HashMap<String, u64>,
    stopped: Vec<String>,
    /// Generations for which a call to copy them is in progress.
    copying: HashSet<String>,
    /// Bytes of padding added to the token of each event.
    padding: usize,
    /// Requests for the report.
    report_calls: usize,
    /// Time until the report is made and sent.
    report_delay: Duration,
    /// Time until a health check is answered.
    health_delay: Duration,
    /// Instance id in answers to health checks, if it is not the replica's own.
    health_id: Option<String>,
    /// Requests to copy a generation.
    copy_calls: usize,
    /// Ids of requests whose caller closed the connection before the end of the response.
    abandoned: Vec<String>,
    address: Option<SocketAddr>,
    /// Closes the port of the server.
    close_port: Option<Arc<Notify>>,
    /// Shuts the server down.
    shutdown: Option<Arc<Notify>>,
    /// What crashes the replica.
    crash_on: Option<CrashTrigger>,
    has_crashed: bool,
    /// How long the replica worked on each call.
    work_times: Vec<Duration>,
    /// Value of the `server-limit` response header.
    limit: Option<String>,
    brittleness: Option<Brittleness>,
    /// Bounds the number of calls that it works on at once; others wait.
    workers: Option<Arc<Semaphore>>,
    /// Bounds the calls that run at once.
    places: Option<Arc<Places>>,
    /// Value of the `server-leaving` response header.
    leaving: Option<String>,
    /// Ids of the requests rejected because of `ReplicaFault::NotExecuted`.
    rejected: Vec<String>,
    /// Value of the `retry-after` header of responses that reject a request.
    retry_after: Option<String>,
}

/// A stand-in for a replica.
pub struct GatewayReplica {
    /// Instance id.
    pub id: String,
    /// Number of events of a generation.
    pub events: u64,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    engines: Arc<SharedEngineState>,
    state: Mutex<State>,
}

/// Removes a generation or call from the running ones when dropped, and records an early disconnect of the
/// caller.
struct RunGuard {
    replica: Arc<GatewayReplica>,
    id: String,
    done: bool,
}

impl RunGuard {
    /// Marks the response as complete.
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

/// Marks a generation as being copied until dropped.
struct CopyGuard<'a> {
    replica: &'a GatewayReplica,
    id: String,
}

impl CopyGuard<'_> {
    /// Returns `None` if another call to copy the generation is in progress.
    fn begin<'a>(replica: &'a GatewayReplica, id: &str) -> Option<CopyGuard<'a>> {
        let is_first = replica.state().copying.insert(id.to_owned());
        is_first.then(|| CopyGuard { replica, id: id.to_owned() })
    }

    /// Ends the call without an answer.
    async fn lose_answer(self) -> Response<Body> {
        drop(self);
        std::future::pending().await
    }
}

impl Drop for CopyGuard<'_> {
    fn drop(&mut self) {
        self.replica.state().copying.remove(&self.id);
    }
}

impl GatewayReplica {
    /// Starts a replica that serves on a free port of `ip`.
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

    /// Sets the address at which nodes reach the replica; it is part of the names of its copies.
    pub fn set_address(&self, address: SocketAddr) {
        self.state().address = Some(address);
    }

    /// Sets how requests are handled.
    pub fn set_fault(&self, fault: ReplicaFault) {
        self.state().fault = fault;
    }

    /// Sets a fault for a part of the requests.
    pub fn set_partial_fault(&self, fault: PartialFault) {
        self.state().partial_fault = Some(fault);
    }

    /// Returns the fault to apply to a request.
    fn fault_for(&self, req: &Request<Bytes>) -> ReplicaFault {
        let mut state = self.state();
        let partial = state.partial_fault.clone();
        let Some(partial) = partial.filter(|partial| req.uri().path().starts_with(&partial.prefix)) else {
            return state.fault;
        };
        state.prefixed_requests += 1;
        if state.prefixed_requests.is_multiple_of(partial.every_nth) { partial.fault } else { state.fault }
    }

    /// Sets how calls to copy a generation are handled.
    pub fn set_copy_fault(&self, fault: CopyFault) {
        self.state().copy_fault = fault;
    }

    /// Sets the bytes of padding added to the token of each event.
    pub fn set_padding(&self, bytes: usize) {
        self.state().padding = bytes;
    }

    /// Sets the time until a requested report is made and sent.
    pub fn set_report_delay(&self, delay: Duration) {
        self.state().report_delay = delay;
    }

    /// Sets the time until a health check is answered.
    pub fn set_health_delay(&self, delay: Duration) {
        self.state().health_delay = delay;
    }

    /// Makes health checks find another replica at this address.
    pub fn set_health_id(&self, id: &str) {
        self.state().health_id = Some(id.to_owned());
    }

    /// Makes the replica crash soon after it starts to run such a request.
    pub fn set_crash_on(&self, trigger: Option<CrashTrigger>) {
        self.state().crash_on = trigger;
    }

    /// Sets or removes the `server-limit` header of responses.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state().limit = limit.map(str::to_owned);
    }

    /// Sets or removes the `server-brittle` header of all responses. After `notice` the replica works on `room`
    /// calls at once, and falls over when it turns away more than `limit` in a second.
    pub fn set_brittle(&self, limit: Option<usize>, room: usize, notice: Duration) {
        let since = Instant::now() + notice;
        self.state().brittleness = limit.map(|limit| Brittleness::new(limit, room, since));
    }

    /// Has the replica work on so many calls at once; others wait for their turn.
    pub fn set_workers(&self, count: usize) {
        self.state().workers = Some(Arc::new(Semaphore::new(count)));
    }

    /// Makes the replica run `slots` plain calls at once, each for `work`, queue `queue` more and turn the others
    /// away.
    pub fn set_places(&self, slots: usize, queue: usize, work: Duration) {
        self.state().places = Some(Arc::new(Places::new(slots, queue, work)));
    }

    /// How often the replica has fallen over since it became brittle.
    pub fn falls(&self) -> usize {
        self.state().brittleness.as_ref().map_or(0, |brittleness| brittleness.falls)
    }

    /// Sets or removes the `server-leaving` header of all responses.
    pub fn set_leaving(&self, leaving: Option<&str>) {
        self.state().leaving = leaving.map(str::to_owned);
    }

    /// Sets or removes the `retry-after` header of responses that reject a request.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.state().retry_after = retry_after.map(str::to_owned);
    }

    /// Returns the ids of the requests rejected because of `ReplicaFault::NotExecuted`.
    pub fn rejected_requests(&self) -> Vec<String> {
        self.state().rejected.clone()
    }

    /// Stops the replica and closes its port and all connections at once.
    pub fn crash(&self) {
        let mut state = self.state();
        state.has_crashed = true;
        state.shutdown.as_ref().expect("the server was started").notify_one();
    }

    /// Returns whether the replica has crashed.
    pub fn has_crashed(&self) -> bool {
        self.state().has_crashed
    }

    /// Returns the requests that reached the replica, without copies, reports and health checks.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state().received.clone()
    }

    /// Returns how long the replica worked on each call, without the transfer of requests and responses.
    pub fn work_times(&self) -> Vec<Duration> {
        self.state().work_times.clone()
    }

    /// Returns the number of running generations and calls.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// Returns the number of requests for the report.
    pub fn report_calls(&self) -> usize {
        self.state().report_calls
    }

    /// Returns the number of requests to copy a generation.
    pub fn copy_calls(&self) -> usize {
        self.state().copy_calls
    }

    /// Returns the ids of requests whose caller closed the connection before the end of the response.
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
        if let Some(brittleness) = &self.state().brittleness {
            headers.insert("server-brittle", brittleness.limit.into());
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

    /// Returns whether this request crashes the replica; if so, schedules the crash.
    fn crashes_on(self: &Arc<Self>, req: &Request<Bytes>) -> bool {
        let crashes = self.state().crash_on.as_ref().is_some_and(|on| on.matches(req.headers(), req.body()));
        if crashes {
            tokio::spawn(self.clone().crash_soon());
        }
        crashes
    }

    async fn crash_soon(self: Arc<Self>) {
        tokio::time::sleep(CRASH_DELAY).await;
        self.crash();
    }

    /// Handles a request that crashes the replica: a stream gets its response headers before the crash, a
    /// plain call gets nothing.
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
        let workers = self.state().workers.clone();
        let _worker = match &workers {
            Some(workers) => workers.acquire().await.ok(),
            None => None,
        };
        let began = Instant::now();
        if let ReplicaFault::Late(after) = fault {
            tokio::time::sleep(after).await;
        }
        guard.finish();
        self.state().work_times.push(began.elapsed());
        if fault == ReplicaFault::EndlessHeads {
            return endless_heads();
        }
        let cut = futures::stream::iter([Ok(Bytes::from("cut")), Err(std::io::Error::other("cut"))]);
        let body = match fault {
            ReplicaFault::Breaks => {
                loopback::stream_body(futures::stream::iter([Err(std::io::Error::other("cut"))]))
            }
            ReplicaFault::TruncatesBody => loopback::stream_body(cut),
            ReplicaFault::Long(bytes) => loopback::full_body("x".repeat(bytes)),
            ReplicaFault::UnframedEmpty => loopback::stream_body(futures::stream::empty()),
            ReplicaFault::UnframedCrash => {
                let replica = self.clone();
                let crash = async move {
                    replica.crash_soon().await;
                    std::future::pending().await
                };
                let part = futures::stream::iter([Ok(Bytes::from("cut"))]);
                loopback::stream_body(part.chain(futures::stream::once(crash)))
            }
            _ => loopback::full_body(format!("{} answers {}", self.id, req.uri())),
        };
        let mut res = Response::new(body);
        *res.headers_mut() = self.response_headers(req.headers(), fault);
        let is_unframed = matches!(
            fault,
            ReplicaFault::Unframed | ReplicaFault::UnframedEmpty | ReplicaFault::UnframedCrash
        );
        if is_unframed {
            mark_end(&mut res, Framing::Unframed, 0);
        }
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
                unreachable!("the pending future never completes");
            }
            StreamFault::Fails => {
                let mut res = status_response(500);
                *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
                return res;
            }
            StreamFault::EndlessHeads => return endless_heads(),
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
        if let StreamFault::Json(framing) = fault {
            let body = futures::stream::iter([Ok(Bytes::from(JSON_DOCUMENT))]);
            let mut res = Response::new(loopback::stream_body(body));
            *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
            res.headers_mut().insert("content-type", "application/json".parse().expect("valid"));
            mark_end(&mut res, framing, JSON_DOCUMENT.len());
            return res;
        }
        let mut res = Response::new(loopback::stream_body(self.clone().generate(id, from, fault)));
        *res.headers_mut() = self.response_headers(req.headers(), ReplicaFault::None);
        res.headers_mut().insert("content-type", "text/event-stream".parse().expect("valid"));
        match fault {
            StreamFault::Unframed => mark_end(&mut res, Framing::Unframed, 0),
            StreamFault::Ends(ending) => {
                let padding = self.state().padding;
                mark_end(&mut res, ending.framing, ending.body_length(from, padding));
            }
            _ => {}
        }
        res
    }

    /// Returns the events after `from`. The stream breaks in the middle of an event when the generation was
    /// stopped to be moved.
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
                    // Wait until the events so far are sent before the connection breaks.
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
            if let StreamFault::Ends(ending) = fault
                && ending.events == made
            {
                guard.finish();
                return Some((Ok(Bytes::from(ending.rest)), (guard, NextStep::End)));
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
            let event = event_text(made + 1, state.padding);
            drop(state);
            Some((Ok(Bytes::from(event)), (guard, NextStep::Event(made + 1))))
        })
    }

    async fn handle_copy(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let call: serde_json::Value = serde_json::from_slice(req.body()).unwrap_or_default();
        let fault = self.state().copy_fault;
        if let (CopyFault::StopArrivesLate(after), true) = (fault, call["last"] == true) {
            let late = tokio::spawn(async move {
                tokio::time::sleep(after).await;
                self.copy(&call).await
            });
            return late.await.unwrap_or_else(|_| status_response(500));
        }
        self.copy(&call).await
    }

    async fn copy(&self, call: &serde_json::Value) -> Response<Body> {
        let (id, last) = (call["id"].as_str().unwrap_or("").to_owned(), call["last"] == true);
        self.state().copy_calls += 1;
        let Some((made, was_stopped)) = self.copied_events(&id) else {
            return status_response(404);
        };
        let Some(copying) = CopyGuard::begin(self, &id) else {
            return status_response(409);
        };
        let (fault, address) = {
            let state = self.state();
            (state.copy_fault, state.address.expect("the server was started"))
        };
        match fault {
            CopyFault::NoRoom => return status_response(503),
            CopyFault::NoRoomLate(after) => {
                tokio::time::sleep(after).await;
                return status_response(503);
            }
            CopyFault::CopyHangs if !last => return copying.lose_answer().await,
            _ => {}
        }
        if !was_stopped {
            let copy = format!("{address}/h-{id}");
            self.engines.copies.lock().expect("no holder panics").insert(copy, made);
        }
        if last && !was_stopped {
            self.state().stopped.push(id.clone());
            match fault {
                CopyFault::StopHangs => return copying.lose_answer().await,
                CopyFault::StopLate(after) => tokio::time::sleep(after).await,
                _ => {}
            }
        }
        if fault == CopyFault::ClosesPort || (fault == CopyFault::StopClosesPort && last) {
            self.close_port().await;
        }
        Response::new(loopback::full_body(json!({"handle": format!("h-{id}"), "made": made}).to_string()))
    }

    /// Returns the number of events of a generation that can be copied, and whether it was stopped: the
    /// replica keeps the memory of a stopped generation until its copy is used.
    fn copied_events(&self, id: &str) -> Option<(u64, bool)> {
        let state = self.state();
        if !state.stopped.iter().any(|stopped| stopped == id) {
            return Some((*state.runs.get(id)?, false));
        }
        let copy = format!("{}/h-{id}", state.address?);
        let copies = self.engines.copies.lock().expect("no holder panics");
        Some((*copies.get(&copy)?, true))
    }

    /// Returns the report of running generations: id, tokens in memory, events and priority of each.
    async fn report(&self) -> Response<Body> {
        let delay = self.state().report_delay;
        tokio::time::sleep(delay).await;
        let mut state = self.state();
        state.report_calls += 1;
        let runs: Vec<_> = state.runs.iter().map(|(id, made)| json!([id, made, made, 5])).collect();
        Response::new(loopback::full_body(json!({"stage": "both", "runs": runs}).to_string()))
    }

    async fn health(&self) -> Response<Body> {
        let delay = self.state().health_delay;
        tokio::time::sleep(delay).await;
        let state = self.state();
        let mut res = status_response(if state.leaving.is_some() { 503 } else { 200 });
        let id = state.health_id.as_ref().unwrap_or(&self.id);
        res.headers_mut().insert("leadstage-instance-id", id.parse().expect("valid"));
        res
    }

    fn is_fallen(&self) -> bool {
        self.state().brittleness.as_ref().is_some_and(Brittleness::is_fallen)
    }

    fn turns_away(&self) -> bool {
        let mut state = self.state();
        let running = state.runs.len();
        state.brittleness.as_mut().is_some_and(|brittleness| brittleness.turns_away(running))
    }

    /// Takes a place for a plain call: `Ok(None)` if calls need none, `Err` if none is free.
    fn take_place(&self) -> Result<Option<Place>, ()> {
        let places = self.state().places.clone();
        places.map(|places| places.take().ok_or(())).transpose()
    }

    async fn close_port(&self) {
        let close_port = self.state().close_port.clone().expect("the server was started");
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

/// Stands for informational heads without end.
fn endless_heads() -> Response<Body> {
    let mut res = Response::new(loopback::full_body(""));
    res.extensions_mut().insert(endless_server::INFORMATIONAL_HEADS);
    res
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
            "/v1/report" => return self.report().await,
            "/healthz" => return self.health().await,
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
        if self.is_fallen() {
            let broken = futures::stream::iter([Err(std::io::Error::other("fallen"))]);
            return Response::new(loopback::stream_body(broken));
        }
        if fault == ReplicaFault::NotExecuted || self.turns_away() {
            self.state().rejected.push(header_text(req.headers(), "leadstage-request-id"));
            return self.not_executed(req.headers());
        }
        if self.crashes_on(&req) {
            return self.crash_response(&req).await;
        }
        if req.headers().contains_key("leadstage-model") {
            if fault == ReplicaFault::Breaks {
                let broken = futures::stream::iter([Err(std::io::Error::other("cut"))]);
                return Response::new(loopback::stream_body(broken));
            }
            return self.handle_stream(&req).await;
        }
        let Ok(place) = self.take_place() else {
            self.state().rejected.push(header_text(req.headers(), "leadstage-request-id"));
            return self.not_executed(req.headers());
        };
        if let Some(place) = &place {
            place.work().await;
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
