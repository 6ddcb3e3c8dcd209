//! A stand-in for the platform's store: lists, stale lists, watches and conditional writes, as
//! PROTOCOL.md ("The platform's metadata store") has them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json;

/// Time until an answer, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.made, self.spec, self.status
        )
    }
}

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    gone: bool,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How old the answer to a read with `stale` is.
    stale_by: Duration,
}

impl Store {
    /// Starts a store at `address`.
    pub fn start(address: SocketAddr, stale_by: Duration) -> std::io::Result<Arc<Store>> {
        let state = State { revision: 100, objects: BTreeMap::new(), history: Vec::new() };
        let store = Arc::new(Store { state: Mutex::new(state), changed: Condvar::new(), stale_by });
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces the `spec` of an object. Returns when the store has taken it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        self.replace(&mut state, kind, name, |object| object.spec = spec.to_owned());
        Instant::now()
    }

    fn replace(&self, state: &mut State, kind: &str, name: &str, change: impl FnOnce(&mut Object)) {
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let new = || Object { revision, made: revision, spec: "null".into(), status: "null".into() };
        let object = state.objects.entry(key).or_insert_with(new);
        object.revision = revision;
        change(object);
        let object = object.clone();
        self.record(state, kind, name, object, false);
    }

    /// Removes an object. Returns when the store has done it.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            self.record(&mut state, kind, name, object, true);
        }
        Instant::now()
    }

    fn record(&self, state: &mut State, kind: &str, name: &str, object: Object, gone: bool) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let (at, revision) = (Instant::now(), state.revision);
        state.history.push(Change { at, revision, kind, name, object, gone });
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.next() {
            let (status, body) = self.answer(&req);
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json".to_owned())];
            if http::write(&mut writer, &format!("HTTP/1.1 {status}"), &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let Some(rest) = req.path().strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        match (req.method(), name) {
            ("GET", None) => match req.query("watch").and_then(|since| since.parse().ok()) {
                Some(since) => {
                    let wait = req.query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => ("200 OK", self.list(kind, req.query("stale") == Some("1"))),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => ("200 OK", object.text(name)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            (method, name) => self.write(method, kind, name, &String::from_utf8_lossy(&req.body)),
        }
    }

    /// Lists a kind: as it is, or as it was some seconds ago.
    fn list(&self, kind: &str, stale: bool) -> String {
        let state = self.state.lock().unwrap();
        let age = if stale { self.stale_by } else { Duration::ZERO };
        let until = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
        let (mut items, mut at): (BTreeMap<&str, &Object>, u64) = (BTreeMap::new(), 100);
        for change in state.history.iter().take_while(|change| change.at <= until) {
            at = change.revision;
            if change.kind != kind {
                continue;
            }
            if change.gone {
                items.remove(change.name.as_str());
            } else {
                items.insert(&change.name, &change.object);
            }
        }
        let items: Vec<String> = items.into_iter().map(|(name, object)| object.text(name)).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(","))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter().filter(|c| c.revision > since && c.kind == kind);
            let events: Vec<String> = changes
                .map(|c| format!("{{\"gone\":{},\"object\":{}}}", c.gone, c.object.text(&c.name)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<&str>, body: &str) -> (&'static str, String) {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let is_status = name.is_some_and(|name| name.ends_with("/status"));
        let name = name.map(|name| name.trim_end_matches("/status").to_owned());
        let Some(name) = name.or_else(|| json::field(metadata, "name").map(|n| json::unquoted(n).to_owned()))
        else {
            return ("400 Bad Request", "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        let current = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let expected = json::field(metadata, "revision").and_then(|revision| revision.parse::<u64>().ok());
        match (method, current) {
            ("POST", Some(current)) => return ("409 Conflict", current.text(&name)),
            ("PUT" | "DELETE", Some(current)) if expected.is_some_and(|at| at != current.revision) => {
                return ("409 Conflict", current.text(&name));
            }
            ("PUT" | "DELETE", None) => return ("404 Not Found", "{}".into()),
            ("DELETE", Some(current)) => {
                drop(state);
                self.remove(kind, &name);
                return ("200 OK", current.text(&name));
            }
            _ => {}
        }
        let value = json::field(body, if is_status { "status" } else { "spec" }).unwrap_or("null").to_owned();
        self.replace(&mut state, kind, &name, |object| {
            let field = if is_status { &mut object.status } else { &mut object.spec };
            *field = value;
        });
        ("200 OK", state.objects[&(kind.to_owned(), name.clone())].text(&name))
    }
}
