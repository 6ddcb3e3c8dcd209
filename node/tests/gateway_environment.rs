//! A gateway fleet on loopback: nodes as processes, the platform's side as stand-ins inside
//! the test.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use leadstage_lib::status::NodeStatus;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::gateway_replica::Engines;
use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::loopback::Server;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

/// What should come about does so within this; nothing is asserted about speed but where a
/// test says so.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

/// The service of plain calls.
pub const BOOKING: &str = "booking";
/// The model service.
pub const MODEL: &str = "model";
/// A key of organisation `org-a`.
pub const KEY: &str = "key-a";

/// A replica with its server.
pub struct RunningReplica {
    /// The replica.
    pub replica: Arc<GatewayReplica>,
    /// Its server; `None` once it is gone.
    pub server: Option<Server>,
}

/// The fleet.
pub struct Gateway {
    /// The store.
    pub store: Arc<MetadataStore>,
    store_server: Server,
    /// What the engines share.
    pub engines: Arc<Engines>,
    nodes: Vec<Child>,
    net: String,
    dir: TempDir,
    _guard: TcpListener,
}

/// A configuration with two plain routes and two of streams, of which one is resumable.
pub fn config(version: u64) -> Value {
    let resumable = |mut route: Value| {
        route["resumable"] = true.into();
        route
    };
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": attempts,
            "public": false, "gap_aim_ms": 180})
    };
    json!({
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", BOOKING, 2),
            route("book", "/book/", "non_idempotent", BOOKING, 1),
            route("chat", "/chat/", "streaming", MODEL, 1),
            resumable(route("tag", "/tag/", "streaming", MODEL, 3)),
        ],
        "services": [
            {"name": BOOKING, "healthPath": "/healthz", "maxConnections": 50},
            {"name": MODEL, "healthPath": "/healthz", "maxConnections": 50, "engine": {"slots": 8,
                "kvCacheTokens": 34000, "kvTokenBytes": 1000, "linkMbps": 1000.0, "moves": true,
                "backups": true, "stride": 4}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutMs": 1000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "org-a", "apiKeys": [KEY], "priority": 1}],
    })
}

/// [`config`] with so many plain routes more, `/more-0/` and on: some 200 bytes each, of which a
/// tenth is like nothing else.
pub fn large_config(version: u64, routes: usize) -> Value {
    let mut config = config(version);
    let more = (0..routes as u64).map(|n| {
        let word = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        json!({"name": format!("more-{word:016x}"), "host": "h.example", "pathPrefix": format!("/more-{n}/"),
            "kind": "idempotent", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1,
            "service": BOOKING, "maxAttempts": 2, "public": false, "gap_aim_ms": 0})
    });
    config["routes"].as_array_mut().expect("routes").extend(more);
    config
}

impl Gateway {
    /// A fleet without nodes and replicas.
    pub async fn start() -> Gateway {
        let (net, guard) = reserve_net();
        let (store, store_server) = MetadataStore::start(&format!("{net}.1")).await;
        Gateway {
            store,
            store_server,
            engines: Arc::default(),
            nodes: Vec::new(),
            net,
            dir: TempDir::new().expect("a folder"),
            _guard: guard,
        }
    }

    /// A fleet with the configuration, `replicas` of each service and one ready node.
    pub async fn with_replicas(replicas: usize) -> (Gateway, Vec<RunningReplica>, Vec<RunningReplica>) {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let mut services = Vec::new();
        for service in [BOOKING, MODEL] {
            let mut running = Vec::new();
            for n in 1..=replicas {
                running.push(gateway.start_replica(service, &format!("{service}-{n}"), 60).await);
            }
            services.push(running);
        }
        gateway.start_node();
        gateway.until_ready(0).await;
        let models = services.pop().expect("two services");
        let bookings = services.pop().expect("two services");
        (gateway, bookings, models)
    }

    /// Starts a replica whose generations have `events`, and lists it.
    pub async fn start_replica(&self, service: &str, id: &str, events: u64) -> RunningReplica {
        self.start_cold_replica(service, id, events, Duration::ZERO).await
    }

    /// Starts a replica that is not listed.
    pub async fn start_unlisted_replica(&self, id: &str, events: u64) -> RunningReplica {
        let (replica, server) =
            GatewayReplica::start(&self.replicas_ip(), id, events, self.engines.clone()).await;
        RunningReplica { replica, server: Some(server) }
    }

    /// How many nodes were started.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The same for one that is slow from its start for so long.
    pub async fn start_cold_replica(
        &self,
        service: &str,
        id: &str,
        events: u64,
        cold: Duration,
    ) -> RunningReplica {
        let ip = self.replicas_ip();
        let (replica, server) = GatewayReplica::start(&ip, id, events, self.engines.clone()).await;
        let mut entry = replica_entry(service, server.address, "hall-1", "ready");
        entry["coldRemainingMs"] = (cold.as_millis() as u64).into();
        self.store.put("servers", id, entry);
        RunningReplica { replica, server: Some(server) }
    }

    /// Puts a proxy before a replica and lists the replica there.
    pub async fn put_proxy_before(&self, service: &str, running: &RunningReplica) -> FaultyProxy {
        let address = running.server.as_ref().expect("it serves").address;
        let proxy = FaultyProxy::start(&self.replicas_ip(), address).await;
        running.replica.set_address(proxy.address);
        let entry = replica_entry(service, proxy.address, "hall-1", "ready");
        self.store.put("servers", &running.replica.id, entry);
        proxy
    }

    /// Where replicas listen.
    pub fn replicas_ip(&self) -> String {
        format!("{}.2", self.net)
    }

    /// Kills a node and waits for its end.
    pub fn kill(&mut self, node: usize) {
        let _ = self.nodes[node].kill();
        let _ = self.nodes[node].wait();
    }

    /// Starts a node that has ended again, with the settings that are there now.
    pub fn restart_node(&mut self, node: usize) {
        let path = self.dir.path().join(format!("node-{node}.log"));
        let log = std::fs::File::options().append(true).open(path).expect("a log");
        self.nodes[node] = self.spawn(node, log);
    }

    fn spawn(&self, node: usize, log: std::fs::File) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
        command.arg("--config").arg(self.settings_path(node));
        command.stdout(log).stderr(Stdio::null()).stdin(Stdio::null());
        command.spawn().expect("it starts")
    }

    /// A replica says in the store that it leaves.
    pub fn drain(&self, service: &str, running: &RunningReplica) {
        self.write_entry(service, running, "draining");
    }

    /// A replica writes its entry.
    pub fn write_entry(&self, service: &str, running: &RunningReplica, state: &str) {
        let address = running.server.as_ref().expect("it serves").address;
        let entry = replica_entry(service, address, "hall-1", state);
        self.store.put("servers", &running.replica.id, entry);
    }

    /// Starts a node at the fleet's store.
    pub fn start_node(&mut self) -> usize {
        self.start_node_at(self.store_server.address)
    }

    /// Starts a node at a store of its own.
    pub fn start_node_at(&mut self, store: SocketAddr) -> usize {
        let yaml = self.settings(self.nodes.len(), store, "");
        self.start_with_settings(yaml)
    }

    /// Starts a node at a store of its own that knows no other node.
    pub fn start_lone_node_at(&mut self, store: SocketAddr) -> usize {
        let yaml = self.settings(self.nodes.len(), store, "").replace("seeds: [", "seeds: [] # [");
        self.start_with_settings(yaml)
    }

    /// Starts a node at the fleet's store with changed settings.
    pub fn start_node_with(&mut self, change: impl Fn(String) -> String) -> usize {
        let yaml = change(self.settings(self.nodes.len(), self.store_address(), ""));
        self.start_with_settings(yaml)
    }

    fn start_with_settings(&mut self, yaml: String) -> usize {
        let node = self.nodes.len();
        std::fs::write(self.settings_path(node), yaml).expect("writable");
        let log = std::fs::File::create(self.dir.path().join(format!("node-{node}.log"))).expect("a log");
        let child = self.spawn(node, log);
        self.nodes.push(child);
        node
    }

    /// The text of a node's settings, with `more` lines at the end.
    pub fn settings(&self, node: usize, store: SocketAddr, more: &str) -> String {
        let ip = self.ip(node);
        let seed = self.ip(0);
        format!(
            "interface: gateway\nvm: node-{node}\nhall: hall-1\nlisten: {ip}:7001\nready: {ip}:7002\npeer: {ip}:7003\n\
             metrics: {ip}:7004\nseeds: ['{seed}:7001']\nstore: {store}\nbounds: {{stop_within: 6s, retry_ratio: 0.5, retry_slack: 100}}\n{more}"
        )
    }

    /// Where a node's settings are.
    pub fn settings_path(&self, node: usize) -> PathBuf {
        self.dir.path().join(format!("node-{node}.yaml"))
    }

    /// The fleet's store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address
    }

    /// A free address for a store of its own.
    pub fn own_store_ip(&self) -> String {
        format!("{}.3", self.net)
    }

    fn ip(&self, node: usize) -> String {
        format!("{}.{}", self.net, 11 + node)
    }

    /// Where callers connect.
    pub fn client_address(&self, node: usize) -> String {
        format!("{}:7001", self.ip(node))
    }

    /// Where the balancer asks.
    pub fn ready(&self, node: usize) -> String {
        format!("{}:7002", self.ip(node))
    }

    /// Where metrics are served.
    pub fn metrics(&self, node: usize) -> String {
        format!("{}:7004", self.ip(node))
    }

    /// Where other nodes fetch from.
    pub fn peer(&self, node: usize) -> String {
        format!("{}:7003", self.ip(node))
    }

    /// The status that the balancer gets; 0 for none.
    pub async fn ready_status(&self, node: usize) -> u16 {
        let req = Request::get("/v1/readyz").header("host", "x").body(Full::default()).expect("valid");
        send(&self.ready(node), req).await.map_or(0, |(_connection, res)| res.status().as_u16())
    }

    /// Waits until a node takes connections.
    pub async fn until_ready(&self, node: usize) {
        self.until("ready", async || self.ready_status(node).await == 200).await;
    }

    /// Waits for something to come about.
    pub async fn until(&self, what: &str, mut is_met: impl AsyncFnMut() -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if is_met().await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{what}: did not come about\n{}", self.logs());
    }

    /// Calls a path of a node and reads the whole answer.
    pub async fn call(&self, node: usize, req: Request<Full<Bytes>>) -> CallResult {
        call(&self.client_address(node), req).await
    }

    /// What a node tells operators of itself.
    pub async fn node_status(&self, node: usize) -> NodeStatus {
        let status = call(&self.metrics(node), request("GET", "/status", "", "")).await;
        serde_json::from_str(&status.body).unwrap_or_default()
    }

    /// The status of a call with nothing special about it.
    pub async fn status_of(&self, node: usize, path: &str, key: &str) -> u16 {
        let called = self.call(node, request("GET", path, key, "r-1")).await;
        if called.status == 0 {
            eprintln!("node {node}: {}\n{}", called.body, self.log(node));
        }
        called.status
    }

    /// Sends a signal to a node.
    pub fn signal(&self, node: usize, signal: &str) {
        let pid = self.pid(node).to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(status.success(), "{signal} node {node}");
    }

    /// A node's process.
    pub fn pid(&self, node: usize) -> u32 {
        self.nodes[node].id()
    }

    /// Whether a node has ended, and if so without a failure.
    pub fn ended(&mut self, node: usize) -> Option<bool> {
        self.nodes[node].try_wait().expect("a child").map(|status| status.success())
    }

    /// Waits for a node that ends by itself; true if it did so without a failure.
    pub async fn wait_for_exit(&mut self, node: usize) -> bool {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Some(is_success) = self.ended(node) {
                return is_success;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("node {node} did not end\n{}", self.logs());
    }

    /// A node's log.
    pub fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("node-{node}.log"))).unwrap_or_default()
    }

    /// The lines of all logs that have a word in them, by node.
    pub fn lines_with(&self, word: &str) -> String {
        let lines = (0..self.nodes.len()).flat_map(|node| {
            let log = self.log(node);
            let lines: Vec<String> =
                log.lines().filter(|line| line.contains(word)).map(|line| format!("{node} {line}")).collect();
            lines
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The last lines of all logs, for a failure's message.
    pub fn logs(&self) -> String {
        let logs = (0..self.nodes.len()).map(|node| {
            let log = self.log(node);
            let last: Vec<&str> = log.lines().rev().take(25).collect();
            format!("--- node {node}\n{}", last.into_iter().rev().collect::<Vec<_>>().join("\n"))
        });
        logs.collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.kill();
            let _ = node.wait();
        }
    }
}

/// A network of its own in 127.0.0.0/8, held by a listener on its last address.
fn reserve_net() -> (String, TcpListener) {
    loop {
        let n = NEXT_NET.fetch_add(1, Ordering::Relaxed).wrapping_mul(11) + std::process::id();
        let net = format!("127.{}.{}", n / 250 % 20 + 232, n % 250 + 2);
        if let Ok(guard) = TcpListener::bind(format!("{net}.254:7000")) {
            return (net, guard);
        }
    }
}

/// A request with a key and an id.
pub fn request(method: &str, path: &str, key: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "h.example")
        .header("leadstage-request-id", id)
        .header("leadstage-deadline-ms", "8000")
        .header("authorization", format!("Token {key}"))
        .body(Full::default())
        .expect("valid")
}

/// A call that may be repeated.
pub fn read(id: &str) -> Request<Full<Bytes>> {
    request("GET", "/read/x", KEY, id)
}

/// A call that may not be repeated.
pub fn book(id: &str) -> Request<Full<Bytes>> {
    request("POST", "/book/x", KEY, id)
}

/// A request for a stream.
pub fn chat(id: &str) -> Request<Full<Bytes>> {
    stream("/chat/x", id)
}

/// A request for a stream that may be resumed.
pub fn tag(id: &str) -> Request<Full<Bytes>> {
    stream("/tag/x", id)
}

fn stream(path: &str, id: &str) -> Request<Full<Bytes>> {
    let mut req = request("POST", path, KEY, id);
    let headers = req.headers_mut();
    headers.insert("leadstage-model", "m".parse().expect("valid"));
    headers.insert("leadstage-token-usage", "100,2000".parse().expect("valid"));
    headers.insert("length-hint", "2000".parse().expect("valid"));
    req
}

/// Sends a request on a connection of its own, which lasts as long as the handle.
pub async fn send(
    address: &str,
    req: Request<Full<Bytes>>,
) -> Result<(AbortOnDropHandle<()>, Response<Incoming>), String> {
    let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let connection = AbortOnDropHandle::new(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let res = sender.send_request(req).await.map_err(|err| err.to_string())?;
    Ok((connection, res))
}

/// Calls a path at an address and reads the whole answer.
pub async fn call(address: &str, req: Request<Full<Bytes>>) -> CallResult {
    let calling = async {
        let (_connection, res) = send(address, req).await?;
        CallResult::read(res).await
    };
    let called = tokio::time::timeout(WAIT_TIMEOUT, calling).await.expect("an answer in time");
    called.unwrap_or_else(CallResult::failed)
}

/// An answer read to its end.
#[derive(Debug)]
pub struct CallResult {
    /// The status; 0 if the connection broke before one came.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// What came of the body.
    pub body: String,
    /// Whether the answer looked complete.
    pub whole: bool,
}

impl CallResult {
    async fn read(res: Response<Incoming>) -> Result<CallResult, String> {
        let (head, mut body) = res.into_parts();
        let mut called = CallResult {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::new(),
            whole: true,
        };
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    called.body.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()))
                }
                Err(_) => {
                    called.whole = false;
                    break;
                }
            }
        }
        Ok(called)
    }

    /// The body says how it broke.
    fn failed(error: String) -> CallResult {
        CallResult { status: 0, headers: http::HeaderMap::new(), body: error, whole: false }
    }

    /// The code of a refusal, 0 for none.
    pub fn code(&self) -> u64 {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_u64().unwrap_or(0)
    }

    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// How many events came; `None` unless the body is just the first events of the
    /// stand-in's generations, each once, in order and whole.
    pub fn events(&self) -> Option<u64> {
        self.last_event_after(0)
    }

    /// The last event that came; `None` unless the body is just the events after `from`, each
    /// once, in order and whole. It is `from` if none came.
    pub fn last_event_after(&self, from: u64) -> Option<u64> {
        let last = from + self.body.matches("\n\n").count() as u64;
        let expected: String = (from + 1..=last).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect();
        (self.body == expected).then_some(last)
    }
}

/// Tells the node at `to`, in the name of the node at `from`, that this one has a configuration, and up
/// to which revision it knows the replicas: the datagram that nodes send for that.
pub async fn send_config_announcement(from: SocketAddr, version: u64, replicas_at: u64, to: SocketAddr) {
    const NEW_CONFIG: u32 = 14;
    let closed_halls = ClosedHalls::default();
    let (crash_digest, limits_digest) = (0_u64, 0_u64);
    let upgrades = AnnouncedUpgrades::default();
    let head = (from, version, replicas_at, closed_halls, crash_digest, limits_digest, upgrades);
    let datagram = postcard::to_stdvec(&(head, NEW_CONFIG));
    let datagram = datagram.expect("it can be encoded");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    socket.send_to(&datagram, to).await.expect("it is sent");
}
