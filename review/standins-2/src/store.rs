//! The platform's metadata store: lists, watches and single objects, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Kind and name of an object.
type Key = (String, String);

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and spec of each object.
    objects: BTreeMap<Key, (u64, String)>,
    /// All changes: revision, object, and its spec, or `None` once it is gone.
    history: Vec<(u64, Key, Option<String>)>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Addresses at which all are turned away.
    turned_away: Mutex<Vec<SocketAddr>>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":{{}}}}"#
    )
}

impl Store {
    /// Starts a store.
    pub fn start(ip: &str) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Store::default());
        let serving = store.clone();
        http::serve(listener, move |stream| serving.serve(stream));
        (store, address)
    }

    /// Serves at one more address.
    pub fn serve_also(self: &Arc<Store>, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("bound");
        let serving = self.clone();
        http::serve(listener, move |stream| serving.serve(stream));
        address
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.objects.lock().expect("sound");
        objects.revision += 1;
        let (revision, key) = (objects.revision, (kind.to_owned(), name.to_owned()));
        objects.objects.insert(key.clone(), (revision, spec.to_owned()));
        objects.history.push((revision, key, Some(spec.to_owned())));
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().expect("sound");
        objects.revision += 1;
        let (revision, key) = (objects.revision, (kind.to_owned(), name.to_owned()));
        objects.objects.remove(&key);
        objects.history.push((revision, key, None));
        self.changed.notify_all();
    }

    /// Answers nothing at an address from now on.
    pub fn turn_away(&self, address: SocketAddr) {
        self.turned_away.lock().expect("sound").push(address);
        self.changed.notify_all();
    }

    /// Answers at all addresses again.
    pub fn turn_nobody_away(&self) {
        self.turned_away.lock().expect("sound").clear();
    }

    /// Keeps a connection open that gets no answer; it says nothing further afterwards.
    fn wait_until_answered(&self, stream: &TcpStream) {
        while self.is_turned_away(stream) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_turned_away(&self, stream: &TcpStream) -> bool {
        let address = stream.local_addr().ok();
        self.turned_away.lock().expect("sound").iter().any(|away| Some(*away) == address)
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut stream = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.is_turned_away(&stream) {
                return self.wait_until_answered(&stream);
            }
            let (status, body) = self.reply(&request);
            // A watch that was waiting gets no answer.
            if self.is_turned_away(&stream) {
                return self.wait_until_answered(&stream);
            }
            let json = "Content-Type: application/json\r\n";
            if http::answer(&mut stream, status, json, &body).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> (&'static str, String) {
        let (method, target) = request.target();
        let path = target.split('?').next().unwrap_or("");
        let mut parts = path.trim_start_matches("/v1/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        match (method, name, request.query("watch")) {
            ("GET", None, Some(since)) => {
                let wait = request.query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                self.watch(kind, since.parse().unwrap_or(0), Duration::from_millis(wait))
            }
            ("GET", None, None) => self.list(kind),
            ("GET", Some(name), _) => {
                let objects = self.objects.lock().expect("sound");
                match objects.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some((revision, spec)) => ("200 OK", object(name, *revision, spec)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST" | "PUT", ..) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = name.map(str::to_owned).or_else(|| text_field(&body, "name"));
                let spec = body.split_once("\"spec\":").map(|(_, spec)| spec.trim_end_matches('}'));
                let (Some(name), Some(spec)) = (name, spec) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let missing = spec.matches('{').count().saturating_sub(spec.matches('}').count());
                self.put(kind, &name, &format!("{spec}{}", "}".repeat(missing)));
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let objects = self.objects.lock().expect("sound");
        let of_kind = objects.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let at = objects.revision;
        ("200 OK", format!(r#"{{"items":[{}],"more":false,"at":{at}}}"#, items.join(",")))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut objects = self.objects.lock().expect("sound");
        loop {
            let news = objects.history.iter().filter(|(at, (of, _), _)| *at > since && of == kind);
            let events: Vec<String> = news
                .map(|(at, (_, name), spec)| {
                    let object = object(name, *at, spec.as_deref().unwrap_or("{}"));
                    format!(r#"{{"object":{object},"gone":{}}}"#, spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision.max(since);
                return ("200 OK", format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            objects = self.changed.wait_timeout(objects, left).expect("sound").0;
        }
    }
}

/// The first text field of this name in a JSON text.
fn text_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}
