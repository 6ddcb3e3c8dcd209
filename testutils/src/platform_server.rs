//! A stand-in for the platform as an HTTP server: object API, VM list and weight store.
//!
//! `GET|PUT /v1/objects/KEY` with `ETag` and `If-Match` (0 for an absent object), a watch with
//! `?after=VERSION&wait_ms=N`; `GET /v1/list/PREFIX`; `GET /v1/vms`, which lags, with `ETag` and
//! `If-None-Match`; `GET /v1/weights/NAME`, rate-limited. `PUT /stand-in/vms` sets the VM list, `POST
//! /fault/down|up|slow|lose` sets or clears faults, `GET /stand-in/calls` returns the numbers of reads and
//! writes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde_json::json;
use tokio::sync::watch;
use xitca_web::http::WebResponse;

use crate::http_server::Handler;
use crate::http_server::Request;
use crate::http_server::respond;
use crate::http_server::respond_json;
use crate::object_store::CallBudget;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::READS_PER_SECOND;
use crate::object_store::StoreFaults;
use crate::object_store::WRITES_PER_SECOND;
use crate::object_store::WriteError;

/// Maximum duration of a watch.
const MAX_WATCH: Duration = Duration::from_secs(30);
/// Budget of downloads of weights.
const WEIGHTS_PER_SECOND: f64 = 2.0;
/// Time that a call hangs whose response is lost.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(20);

struct State {
    store: ObjectStore,
    faults: StoreFaults,
    reads: CallBudget,
    writes: CallBudget,
    weights: CallBudget,
    read_calls: u64,
    write_calls: u64,
    vm_lists: VecDeque<(Instant, Bytes)>,
    dropped_vm_lists: u64,
}

/// The platform's stand-in; clones share their state.
#[derive(Clone)]
pub struct PlatformServer {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    vm_lag: Duration,
}

impl PlatformServer {
    /// Returns a stand-in whose VM list lags by `vm_lag`.
    pub fn new(vm_lag: Duration) -> Self {
        let now = Instant::now();
        let state = State {
            store: ObjectStore::default(),
            faults: StoreFaults::default(),
            reads: CallBudget::new(READS_PER_SECOND, now),
            writes: CallBudget::new(WRITES_PER_SECOND, now),
            weights: CallBudget::new(WEIGHTS_PER_SECOND, now),
            read_calls: 0,
            write_calls: 0,
            vm_lists: VecDeque::new(),
            dropped_vm_lists: 0,
        };
        PlatformServer { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(0), vm_lag }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn handle_object(&self, req: &Request, key: &str) -> WebResponse {
        let faults = self.lock().faults;
        tokio::time::sleep(faults.slow).await;
        if faults.down {
            return respond(503, "down");
        }
        match req.method.as_str() {
            "GET" => self.handle_read(req, key).await,
            "PUT" => self.handle_write(req, key).await,
            _ => respond(405, "method"),
        }
    }

    async fn handle_read(&self, req: &Request, key: &str) -> WebResponse {
        if !self.lock().take_read() {
            return respond(429, "read budget");
        }
        let after = req.query_value("after").and_then(|v| v.parse::<u64>().ok());
        let wait = req.query_value("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait).min(MAX_WATCH);
        let mut rx = self.changed.subscribe();
        loop {
            let object = self.lock().store.get(key).cloned();
            let is_new = |o: &Object| after.is_none_or(|after| o.version > after);
            match object {
                Some(object) if is_new(&object) => return object_response(object),
                None if after.is_none() => return respond(404, "absent"),
                _ => {}
            }
            let changed = tokio::time::timeout_at(deadline, rx.changed()).await;
            if self.lock().faults.down {
                return respond(503, "down");
            }
            if changed.is_err() {
                return respond(304, "");
            }
        }
    }

    async fn handle_write(&self, req: &Request, key: &str) -> WebResponse {
        let Some(expected) = req.header("if-match").and_then(|v| v.parse().ok()) else {
            return respond(428, "if-match missing");
        };
        let (outcome, is_lost) = {
            let mut state = self.lock();
            if !state.take_write() {
                return respond(429, "write budget");
            }
            let outcome = state.store.put(key, expected, req.body.to_vec());
            let is_lost = outcome.is_ok() && state.faults.lost_responses > 0;
            state.faults.lost_responses -= u32::from(is_lost);
            (outcome, is_lost)
        };
        match outcome {
            Ok(version) => {
                self.changed.send_replace(version);
                if is_lost {
                    tokio::time::sleep(LOST_RESPONSE_DELAY).await;
                    return respond(504, "lost");
                }
                with_etag(respond(200, ""), version)
            }
            Err(WriteError::Conflict { current }) => with_etag(respond(412, "version"), current),
            Err(WriteError::TooLarge) => respond(413, "value too large"),
        }
    }

    fn set_fault(&self, kind: &str, req: &Request) -> WebResponse {
        let query_number = |name| req.query_value(name).and_then(|v| v.parse::<u64>().ok());
        let mut state = self.lock();
        match kind {
            "down" => state.faults.down = true,
            "up" => state.faults = StoreFaults::default(),
            "slow" => state.faults.slow = Duration::from_millis(query_number("ms").unwrap_or(500)),
            "lose" => state.faults.lost_responses = query_number("count").unwrap_or(1) as u32,
            _ => return respond(404, "unknown fault"),
        }
        drop(state);
        self.changed.send_modify(|_| {});
        respond(200, "ok")
    }

    fn vm_list_response(&self, req: &Request) -> WebResponse {
        let now = Instant::now();
        let state = self.lock();
        let visible_index = state.vm_lists.iter().rposition(|(at, _)| now - *at >= self.vm_lag);
        let Some(index) = visible_index else {
            return respond(200, "[]");
        };
        let version = state.dropped_vm_lists + index as u64 + 1;
        if req.header("if-none-match").and_then(|v| v.parse().ok()) == Some(version) {
            return respond(304, "");
        }
        with_etag(respond(200, state.vm_lists[index].1.clone()), version)
    }

    fn weights_response(&self) -> WebResponse {
        if self.lock().weights.try_take(Instant::now()) {
            respond(200, "weights")
        } else {
            respond(429, "rate")
        }
    }
}

impl State {
    fn take_read(&mut self) -> bool {
        self.read_calls += 1;
        self.reads.try_take(Instant::now())
    }

    fn take_write(&mut self) -> bool {
        self.write_calls += 1;
        self.writes.try_take(Instant::now())
    }
}

impl Handler for PlatformServer {
    async fn handle(&self, req: Request) -> WebResponse {
        if let Some(key) = req.path.strip_prefix("/v1/objects/") {
            return self.handle_object(&req, key).await;
        }
        if let Some(prefix) = req.path.strip_prefix("/v1/list/") {
            let mut state = self.lock();
            if state.faults.down {
                return respond(503, "down");
            }
            if !state.take_read() {
                return respond(429, "read budget");
            }
            return respond_json(200, &state.store.list(prefix));
        }
        if let Some(kind) = req.path.strip_prefix("/fault/") {
            return self.set_fault(kind, &req);
        }
        if req.path.starts_with("/v1/weights/") {
            return self.weights_response();
        }
        match req.path.as_str() {
            "/v1/vms" => self.vm_list_response(&req),
            "/stand-in/vms" => {
                let mut state = self.lock();
                state.vm_lists.push_back((Instant::now(), req.body.clone()));
                if state.vm_lists.len() > 100 {
                    state.vm_lists.pop_front();
                    state.dropped_vm_lists += 1;
                }
                respond(200, "ok")
            }
            "/stand-in/calls" => {
                let state = self.lock();
                respond_json(200, &json!({"reads": state.read_calls, "writes": state.write_calls}))
            }
            _ => respond(404, "no such path"),
        }
    }
}

fn object_response(object: Object) -> WebResponse {
    with_etag(respond(200, object.value), object.version)
}

fn with_etag(mut res: WebResponse, version: u64) -> WebResponse {
    let value = version.to_string().parse().expect("a number is a valid header");
    res.headers_mut().insert("etag", value);
    res
}
