//! A stand-in for the metadata store of the users' platform: lists, watches, conditional writes and fault
//! injection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Request;
use http::Response;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::loopback;
use crate::loopback::Body;
use crate::loopback::RequestHandler;
use crate::loopback::Server;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Serves them.
    #[default]
    None,
    /// Responds to all calls with status 503 without executing them.
    Refuses,
    /// Serves reads and responds to writes with status 503.
    RefusesWrites,
    /// Responds to each watch with status 410: the history is no longer available.
    LosesHistory,
    /// Responds to each request for a page of a list with the first page.
    RepeatsPage,
}

/// How the store reads a name in a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NameReading {
    /// Decodes percent-encoding.
    #[default]
    Decoded,
    /// Decodes percent-encoding, and reads `+` as a blank, as in a form.
    FormDecoded,
    /// Takes the characters as they are sent.
    AsSent,
}

impl NameReading {
    /// The name that the store reads from the text in a query.
    pub fn read(self, text: &str) -> String {
        match self {
            NameReading::Decoded => percent_decoded(text),
            NameReading::FormDecoded => percent_decoded(&text.replace('+', " ")),
            NameReading::AsSent => text.to_owned(),
        }
    }
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value, bool)>,
    revision: u64,
    fault: StoreFault,
    calls: u64,
    /// Maximum number of objects in a page of a list; unlimited if `None`.
    page_size: Option<usize>,
    name_reading: NameReading,
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// How lists are served that may be stale; like all others if `None`.
    stale_lists: Option<StaleLists>,
    /// Bytes sent in place of an object, by the string that stands for it.
    raw: Vec<(String, Bytes)>,
    /// Time until a call is handled.
    delay: Duration,
}

/// The lists that the store serves to readers that accept stale ones.
#[derive(Clone)]
struct StaleLists {
    copy: Copy,
    /// Time until the store responds.
    delay: Duration,
}

impl State {
    fn list(&self, kind: &str, after: &str) -> Value {
        let after = if self.fault == StoreFault::RepeatsPage { "" } else { after };
        let page_size = self.page_size.unwrap_or(usize::MAX);
        let from = (kind.to_owned(), after.to_owned());
        // An empty name to go on after is none: the list begins with an object of that name.
        let following = self.objects.range(from..).filter(|((_, name), _)| after.is_empty() || name != after);
        let mut items: Vec<&Value> = following
            .take_while(|((k, _), _)| k == kind)
            .map(|(_, object)| object)
            .take(page_size.saturating_add(1))
            .collect();
        let more = items.len() > page_size;
        items.truncate(page_size);
        json!({"items": items, "more": more, "at": self.revision})
    }
}

/// A copy of the store's content at one moment.
#[derive(Clone)]
pub struct Copy {
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value, bool)>,
    revision: u64,
}

/// The metadata store's stand-in.
pub struct MetadataStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl MetadataStore {
    /// Starts an empty store that serves on a free port of `ip`.
    pub async fn start(ip: &str) -> (Arc<MetadataStore>, Server) {
        let store = Arc::new(MetadataStore { state: Mutex::default(), changed: watch::Sender::new(0) });
        let server = loopback::serve(ip, store.clone()).await;
        (store, server)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Creates an object or replaces its `spec`; an existing object keeps its `status`.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.replace(kind, name, |object| object["spec"] = spec);
    }

    /// Sends `bytes` in place of the object from now on, whether they are JSON or not.
    pub fn put_raw(&self, kind: &str, name: &str, bytes: impl Into<Bytes>) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let stand_in = format!("raw {revision}");
        state.raw.push((format!("\"{stand_in}\""), bytes.into()));
        state.objects.insert((kind.to_owned(), name.to_owned()), stand_in.clone().into());
        state.history.push((revision, kind.to_owned(), stand_in.into(), false));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Sets the `status` of an object.
    pub fn put_status(&self, kind: &str, name: &str, status: Value) {
        self.replace(kind, name, |object| object["status"] = status);
    }

    fn replace(&self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let new = json!({"metadata": {"name": name, "made": revision, "finalizers": [], "deleting": false},
            "spec": null, "status": null});
        let object = state.objects.entry((kind.to_owned(), name.to_owned())).or_insert(Value::Null);
        if !object.is_object() {
            *object = new;
        }
        object["metadata"]["revision"] = revision.into();
        change(object);
        let object = object.clone();
        state.history.push((revision, kind.to_owned(), object, false));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.history.push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Returns the `spec` of an object, if the object exists.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        self.state().objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object["spec"].clone())
    }

    /// Returns the `status` of an object, if the object exists.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        self.state().objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object["status"].clone())
    }

    /// Returns the values of `status` that an object has had, without consecutive duplicates.
    pub fn statuses(&self, kind: &str, name: &str) -> Vec<Value> {
        let state = self.state();
        let is_of_object = |(_, k, object, deleted): &&(u64, String, Value, bool)| {
            k == kind && !deleted && object["metadata"]["name"] == name
        };
        let mut statuses: Vec<Value> = state
            .history
            .iter()
            .filter(is_of_object)
            .map(|(_, _, object, _)| object["status"].clone())
            .collect();
        statuses.dedup();
        statuses
    }

    /// Returns the names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        state.objects.keys().filter(|(k, _)| k == kind).map(|(_, name)| name.clone()).collect()
    }

    /// Handles a write by a node: only an absent object is created, and a replacement must name the current
    /// revision.
    fn write(&self, method: &Method, kind: &str, name: Option<&str>, body: &[u8]) -> Response<Body> {
        let object: Value = serde_json::from_slice(body).unwrap_or_default();
        let status_of = name.and_then(|name| name.strip_suffix("/status"));
        let name = status_of.or(name);
        let Some(name) = name.or(object["metadata"]["name"].as_str()) else {
            return error_response(400);
        };
        let current = self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let is_expected = |current: &Value| object["metadata"]["revision"] == current["metadata"]["revision"];
        match (method, current) {
            (&Method::DELETE, Some(current)) => {
                self.delete(kind, name);
                json_response(&current)
            }
            (&Method::POST, Some(current)) => conflict_response(&current),
            (&Method::PUT, Some(current)) if !is_expected(&current) => conflict_response(&current),
            (&Method::POST, None) | (&Method::PUT, Some(_)) => {
                match status_of {
                    Some(_) => self.put_status(kind, name, object["status"].clone()),
                    None => self.put(kind, name, object["spec"].clone()),
                }
                json_response(&self.state().objects[&(kind.to_owned(), name.to_owned())])
            }
            _ => error_response(404),
        }
    }

    /// Sets how calls are handled; pending watches are woken.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
        self.changed.send_modify(|_| {});
    }

    /// Sets the time until a call is handled.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Returns a copy of the current content.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy { objects: state.objects.clone(), history: state.history.clone(), revision: state.revision }
    }

    /// Restores the content from a copy: later writes are lost, and revisions continue from the copy's.
    pub fn restore_from(&self, copy: Copy) {
        let mut state = self.state();
        (state.objects, state.history, state.revision) = (copy.objects, copy.history, copy.revision);
        state.era += 1;
        state.fault = StoreFault::None;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Sets the number of times that the store was restored from a copy.
    pub fn set_era(&self, era: u64) {
        self.state().era = era;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Sets the maximum number of objects in a page of a list.
    pub fn set_page_size(&self, objects: usize) {
        self.state().page_size = Some(objects);
    }

    /// Sets how the name that a list goes on after is read.
    pub fn set_name_reading(&self, reading: NameReading) {
        self.state().name_reading = reading;
    }

    /// Serves lists that may be stale from a copy from now on, each after `delay`.
    pub fn set_stale_lists(&self, copy: Copy, delay: Duration) {
        self.state().stale_lists = Some(StaleLists { copy, delay });
    }

    async fn list(&self, kind: &str, after: &str, may_be_stale: bool) -> Value {
        let stale = if may_be_stale { self.state().stale_lists.clone() } else { None };
        let Some(StaleLists { copy, delay }) = stale else {
            return self.state().list(kind, after);
        };
        tokio::time::sleep(delay).await;
        let state = State { objects: copy.objects, revision: copy.revision, ..State::default() };
        state.list(kind, after)
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Value> {
        let state = self.state();
        let events = state.history.iter().filter(|(revision, k, _, _)| *revision > since && k == kind);
        events.map(|(_, _, object, deleted)| json!({"object": object, "gone": deleted})).collect()
    }

    /// A response with the bytes of raw objects in the place of the strings that stand for them.
    fn raw_response(&self, value: &Value) -> Response<Body> {
        let text = value.to_string();
        let mut bytes = BytesMut::new();
        let mut rest = &*text;
        let state = self.state();
        let next =
            |rest: &str| state.raw.iter().filter_map(|(text, raw)| Some((rest.find(text)?, text, raw))).min();
        while let Some((at, stand_in, raw)) = next(rest) {
            bytes.extend_from_slice(&rest.as_bytes()[..at]);
            bytes.extend_from_slice(raw);
            rest = &rest[at + stand_in.len()..];
        }
        bytes.extend_from_slice(rest.as_bytes());
        Response::new(loopback::full_body(bytes.freeze()))
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Response<Body> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            match self.state().fault {
                StoreFault::None | StoreFault::RefusesWrites | StoreFault::RepeatsPage => {}
                StoreFault::Refuses => return error_response(503),
                StoreFault::LosesHistory => return error_response(410),
            }
            if since > self.state().revision {
                return error_response(410);
            }
            let events = self.events(kind, since);
            if !events.is_empty() {
                let at = self.state().revision;
                return self.raw_response(&json!({"events": events, "at": at}));
            }
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return json_response(&json!({"events": [], "at": since}));
            }
        }
    }
}

/// Returns the `spec` of a replica's entry.
pub fn replica_entry(service: &str, address: SocketAddr, hall: &str, state: &str) -> Value {
    json!({"service": service, "address": address, "zone": hall, "version": "v1", "slots": 8,
        "state": state, "coldRemainingMs": 0, "sequence": 1})
}

fn json_response(value: &Value) -> Response<Body> {
    Response::new(loopback::full_body(value.to_string()))
}

fn conflict_response(current: &Value) -> Response<Body> {
    let mut res = json_response(current);
    *res.status_mut() = http::StatusCode::CONFLICT;
    res
}

fn error_response(status: u16) -> Response<Body> {
    let mut res = Response::new(loopback::full_body(""));
    *res.status_mut() = status.try_into().expect("a valid status");
    res
}

fn query_value(req: &Request<Bytes>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// Decodes `%` followed by two hexadecimal digits.
fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2).expect("two digits follow a percent sign");
        decoded.push(u8::from_str_radix(digits, 16).expect("hexadecimal digits"));
        decoded.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(decoded).expect("names are UTF-8")
}

impl MetadataStore {
    async fn route(&self, req: Request<Bytes>) -> Response<Body> {
        self.state().calls += 1;
        if self.state().fault == StoreFault::Refuses {
            return error_response(503);
        }
        let Some(rest) = req.uri().path().strip_prefix("/v1/objects/") else {
            return error_response(404);
        };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let name = name.map(percent_decoded);
        let name = name.as_deref();
        if req.method() != Method::GET {
            if self.state().fault == StoreFault::RefusesWrites {
                return error_response(503);
            }
            return self.write(req.method(), kind, name, req.body());
        }
        if let Some(name) = name {
            let found = self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
            return found.map_or_else(|| error_response(404), |object| json_response(&object));
        }
        let since = query_value(&req, "watch").and_then(|since| since.parse().ok());
        let wait = query_value(&req, "waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        match since {
            Some(since) => self.watch(kind, since, Duration::from_millis(wait)).await,
            None => {
                let reading = self.state().name_reading;
                let after = query_value(&req, "after").map(|after| reading.read(&after)).unwrap_or_default();
                let may_be_stale = query_value(&req, "stale").as_deref() == Some("1");
                self.raw_response(&self.list(kind, &after, may_be_stale).await)
            }
        }
    }
}

impl RequestHandler for MetadataStore {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let delay = self.state().delay;
        tokio::time::sleep(delay).await;
        let mut res = self.route(req).await;
        res.headers_mut().insert("store-era", self.state().era.into());
        res
    }
}
