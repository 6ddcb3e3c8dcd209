//! A gateway fleet on loopback: the nodes are processes; the metadata store and the replicas are stand-ins
//! that run inside the test process.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
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
use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::gateway_replica::SharedEngineState;
use leadstage_testutils::loopback::Server;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

/// Timeout of each wait. It asserts nothing about speed; tests that do so have bounds of their own.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

/// Name of the service that serves plain calls.
pub const BOOKING: &str = "booking";
/// Name of the service whose engines serve streams.
pub const MODEL: &str = "model";
/// API key of organisation `org-a`.
pub const KEY: &str = "key-a";

/// A stand-in replica and its server.
pub struct RunningReplica {
    /// The replica.
    pub replica: Arc<GatewayReplica>,
    /// Its server; `None` once it is shut down.
    pub server: Option<Server>,
}

/// A FIFO in place of a settings file: a process that reads it is held there until the text is delivered.
pub struct SettingsPipe {
    path: PathBuf,
    // Open for reading too, so that opening and writing it wait for no reader.
    pipe: File,
}

impl SettingsPipe {
    /// Puts a FIFO in the place of `path`. A process that has opened the file that was there keeps it.
    pub fn lay(path: &Path) -> SettingsPipe {
        let fifo = path.with_extension("fifo");
        let status = Command::new("mkfifo").arg(&fifo).status().expect("mkfifo runs");
        assert!(status.success(), "mkfifo {}", fifo.display());
        let pipe = File::options().read(true).write(true).open(&fifo).expect("a FIFO");
        std::fs::rename(fifo, path).expect("the same file system");
        SettingsPipe { path: path.to_owned(), pipe }
    }

    /// Waits until a process has opened the FIFO.
    pub async fn wait_for_reader(&self, process: &mut Child) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !has_open(process.id(), &self.path) {
            assert_eq!(process.try_wait().expect("a child"), None, "the process reads its settings");
            assert!(tokio::time::Instant::now() < deadline, "the process opens its settings in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Delivers the text of the file to the process that has opened it.
    pub fn deliver(mut self, text: &str) {
        self.pipe.write_all(text.as_bytes()).expect("less than the FIFO's capacity");
    }
}

/// Whether a process has opened the file at `path`.
fn has_open(process: u32, path: &Path) -> bool {
    let inode = |path: &Path| std::fs::metadata(path).map(|file| (file.dev(), file.ino())).ok();
    let wanted = inode(path).expect("the file is there");
    let Ok(open) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    open.flatten().any(|entry| inode(&entry.path()) == Some(wanted))
}

/// A gateway fleet with its store and engines; its nodes are killed on drop.
pub struct Gateway {
    /// The metadata store of the fleet.
    pub store: Arc<MetadataStore>,
    store_server: Server,
    /// State shared by all engines.
    pub engines: Arc<SharedEngineState>,
    nodes: Vec<Child>,
    net: String,
    dir: TempDir,
    _guard: TcpListener,
}

/// A configuration with two routes for plain calls and two for streams, of which one is resumable.
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

/// [`config`] with `routes` additional plain routes, `/more-0/` and up. Each takes about 200 bytes, a tenth
/// of which is unique to the route.
pub fn large_config(version: u64, routes: usize) -> Value {
    let mut config = config(version);
    let more = (0..routes as u64).map(|n| {
        let hash = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        json!({"name": format!("more-{hash:016x}"), "host": "h.example", "pathPrefix": format!("/more-{n}/"),
            "kind": "idempotent", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1,
            "service": BOOKING, "maxAttempts": 2, "public": false, "gap_aim_ms": 0})
    });
    config["routes"].as_array_mut().expect("routes").extend(more);
    config
}

impl Gateway {
    /// Starts a fleet without nodes and replicas.
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

    /// Starts a fleet with version 1 of [`config`], `replicas` replicas of each service and one ready node.
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

    /// Starts a fleet with version 1 of [`config`], one replica of plain calls and `nodes` ready nodes.
    pub async fn with_nodes(nodes: usize) -> (Gateway, RunningReplica) {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
        for node in 0..nodes {
            gateway.start_node();
            gateway.until_ready(node).await;
        }
        (gateway, booking)
    }

    /// Starts a replica whose generations have `events` events, and writes its entry to the store.
    pub async fn start_replica(&self, service: &str, id: &str, events: u64) -> RunningReplica {
        self.start_cold_replica(service, id, events, Duration::ZERO).await
    }

    /// Starts a replica without writing its entry to the store.
    pub async fn start_unlisted_replica(&self, id: &str, events: u64) -> RunningReplica {
        let (replica, server) =
            GatewayReplica::start(&self.replicas_ip(), id, events, self.engines.clone()).await;
        RunningReplica { replica, server: Some(server) }
    }

    /// Number of nodes started so far.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Like [`Gateway::start_replica`], for a replica that is slow for `cold` after its start.
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

    /// Puts a proxy in front of a replica and writes the proxy's address to the replica's entry.
    pub async fn put_proxy_before(&self, service: &str, running: &RunningReplica) -> FaultyProxy {
        let address = running.server.as_ref().expect("it serves").address;
        let proxy = FaultyProxy::start(&self.replicas_ip(), address).await;
        running.replica.set_address(proxy.address);
        let entry = replica_entry(service, proxy.address, "hall-1", "ready");
        self.store.put("servers", &running.replica.id, entry);
        proxy
    }

    /// IP address that replicas listen on.
    pub fn replicas_ip(&self) -> String {
        format!("{}.2", self.net)
    }

    /// Kills a node and waits until its process has exited.
    pub fn kill(&mut self, node: usize) {
        let _ = self.nodes[node].kill();
        let _ = self.nodes[node].wait();
    }

    /// Restarts a node that has exited, with the current contents of its settings file.
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

    /// Writes a replica's entry with the state `draining`.
    pub fn drain(&self, service: &str, running: &RunningReplica) {
        self.write_entry(service, running, "draining");
    }

    /// Writes a replica's entry with the given state.
    pub fn write_entry(&self, service: &str, running: &RunningReplica, state: &str) {
        let address = running.server.as_ref().expect("it serves").address;
        let entry = replica_entry(service, address, "hall-1", state);
        self.store.put("servers", &running.replica.id, entry);
    }

    /// Starts a node that uses the fleet's store.
    pub fn start_node(&mut self) -> usize {
        self.start_node_at(self.store_server.address)
    }

    /// Starts a node whose settings are held back, and waits until it reads them.
    pub async fn start_held_node(&mut self) -> (usize, SettingsPipe) {
        let node = self.nodes.len();
        let pipe = SettingsPipe::lay(&self.settings_path(node));
        self.start_process();
        pipe.wait_for_reader(&mut self.nodes[node]).await;
        (node, pipe)
    }

    /// Delivers its settings to a node that was started without. The file is there from then on.
    pub fn deliver_settings(&self, node: usize, pipe: SettingsPipe) {
        let yaml = self.settings(node, self.store_address(), "");
        self.lay_settings(node, &yaml);
        pipe.deliver(&yaml);
    }

    /// Replaces a node's settings file by one with the given text.
    pub fn lay_settings(&self, node: usize, yaml: &str) {
        let new = self.settings_path(node).with_extension("new");
        std::fs::write(&new, yaml).expect("writable");
        std::fs::rename(new, self.settings_path(node)).expect("the same file system");
    }

    /// Waits until a node reads its settings from a FIFO.
    pub async fn wait_for_reader(&mut self, node: usize, pipe: &SettingsPipe) {
        pipe.wait_for_reader(&mut self.nodes[node]).await;
    }

    /// Starts a node that uses the store at `store`.
    pub fn start_node_at(&mut self, store: SocketAddr) -> usize {
        let yaml = self.settings(self.nodes.len(), store, "");
        self.start_with_settings(yaml)
    }

    /// Starts a node that uses the store at `store` and has no seeds, so that it knows no other node.
    pub fn start_lone_node_at(&mut self, store: SocketAddr) -> usize {
        let yaml = self.settings(self.nodes.len(), store, "").replace("seeds: [", "seeds: [] # [");
        self.start_with_settings(yaml)
    }

    /// Starts a node that uses the fleet's store, with settings changed by `change`.
    pub fn start_node_with(&mut self, change: impl Fn(String) -> String) -> usize {
        let yaml = change(self.settings(self.nodes.len(), self.store_address(), ""));
        self.start_with_settings(yaml)
    }

    fn start_with_settings(&mut self, yaml: String) -> usize {
        std::fs::write(self.settings_path(self.nodes.len()), yaml).expect("writable");
        self.start_process()
    }

    fn start_process(&mut self) -> usize {
        let node = self.nodes.len();
        let log = std::fs::File::create(self.dir.path().join(format!("node-{node}.log"))).expect("a log");
        let child = self.spawn(node, log);
        self.nodes.push(child);
        node
    }

    /// The text of a node's settings file, with the lines `more` at the end.
    pub fn settings(&self, node: usize, store: SocketAddr, more: &str) -> String {
        let ip = self.ip(node);
        let seed = self.ip(0);
        format!(
            "interface: gateway\nvm: node-{node}\nhall: hall-1\nlisten: {ip}:7001\nready: {ip}:7002\npeer: {ip}:7003\n\
             metrics: {ip}:7004\nseeds: ['{seed}:7001']\nstore: {store}\nbounds: {{stop_within: 6s, retry_ratio: 0.5, retry_slack: 100}}\n{more}"
        )
    }

    /// Path of a node's settings file.
    pub fn settings_path(&self, node: usize) -> PathBuf {
        self.dir.path().join(format!("node-{node}.yaml"))
    }

    /// Address of the fleet's store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address
    }

    /// An IP address for a store besides the fleet's own.
    pub fn own_store_ip(&self) -> String {
        format!("{}.3", self.net)
    }

    fn ip(&self, node: usize) -> String {
        format!("{}.{}", self.net, 11 + node)
    }

    /// Address that clients connect to.
    pub fn client_address(&self, node: usize) -> String {
        format!("{}:7001", self.ip(node))
    }

    /// Address that the load balancer's readiness checks are sent to.
    pub fn ready(&self, node: usize) -> String {
        format!("{}:7002", self.ip(node))
    }

    /// Address that serves metrics and the node's status.
    pub fn metrics(&self, node: usize) -> String {
        format!("{}:7004", self.ip(node))
    }

    /// Address that other nodes fetch configurations and replica lists from.
    pub fn peer(&self, node: usize) -> String {
        format!("{}:7003", self.ip(node))
    }

    /// HTTP status of a readiness check; 0 if there is no response.
    pub async fn ready_status(&self, node: usize) -> u16 {
        let req = Request::get("/v1/readyz").header("host", "x").body(Full::default()).expect("valid");
        send(&self.ready(node), req).await.map_or(0, |(_connection, res)| res.status().as_u16())
    }

    /// Waits until a node's readiness check succeeds.
    pub async fn until_ready(&self, node: usize) {
        self.until("ready", async || self.ready_status(node).await == 200).await;
    }

    /// Polls until the condition `is_met` holds; panics with `what` if it does not hold in time.
    pub async fn until(&self, what: &str, mut is_met: impl AsyncFnMut() -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if is_met().await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for: {what}\n{}", self.logs());
    }

    /// Sends a request to a node's client port and reads the whole response.
    pub async fn call(&self, node: usize, req: Request<Full<Bytes>>) -> CallResult {
        call(&self.client_address(node), req).await
    }

    /// The status that a node reports to operators.
    pub async fn node_status(&self, node: usize) -> NodeStatus {
        let status = call(&self.metrics(node), request("GET", "/status", "", "")).await;
        serde_json::from_str(&status.body).unwrap_or_default()
    }

    /// HTTP status of a GET request for `path` with the API key `key`; 0 if the connection failed.
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

    /// Sends a signal to a node that may have exited.
    pub fn try_signal(&self, node: usize, signal: &str) {
        let pid = self.pid(node).to_string();
        Command::new("kill").args([signal, &pid]).stderr(Stdio::null()).status().expect("kill runs");
    }

    /// A node's process id.
    pub fn pid(&self, node: usize) -> u32 {
        self.nodes[node].id()
    }

    /// A figure of a node's process in `/proc/PID/status`, such as `VmRSS`, in bytes.
    pub fn memory_bytes(&self, node: usize, name: &str) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid(node))).expect("the node runs");
        let figure = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let kb = figure.and_then(|figure| figure.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        kb.expect("a size") * 1_024
    }

    /// Whether a node that has exited did so successfully; `None` while it runs.
    pub fn ended(&mut self, node: usize) -> Option<bool> {
        self.nodes[node].try_wait().expect("a child").map(|status| status.success())
    }

    /// Waits for a node to exit by itself; true if it exited successfully.
    pub async fn wait_for_exit(&mut self, node: usize) -> bool {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Some(is_success) = self.ended(node) {
                return is_success;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("node {node} did not exit\n{}", self.logs());
    }

    /// The text of a node's log.
    pub fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("node-{node}.log"))).unwrap_or_default()
    }

    /// The nodes that follow the store, by their logs.
    pub fn store_followers(&self) -> Vec<usize> {
        let follows = |node: &usize| {
            let log = self.log(*node);
            let last = log.lines().rfind(|line| line.contains("event=store_watch "));
            last.is_some_and(|line| line.contains("now=Some"))
        };
        (0..self.nodes.len()).filter(follows).collect()
    }

    /// The lines of all logs that contain `text`, each preceded by its node's number.
    pub fn lines_with(&self, text: &str) -> String {
        let lines = (0..self.nodes.len()).flat_map(|node| {
            let log = self.log(node);
            let lines: Vec<String> =
                log.lines().filter(|line| line.contains(text)).map(|line| format!("{node} {line}")).collect();
            lines
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The last 25 lines of each node's log, for the messages of failed assertions.
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

/// Reserves a /24 network in 127.0.0.0/8 by a listener on its address 254.
fn reserve_net() -> (String, TcpListener) {
    loop {
        let n = NEXT_NET.fetch_add(1, Ordering::Relaxed).wrapping_mul(11) + std::process::id();
        let net = format!("127.{}.{}", n / 250 % 20 + 232, n % 250 + 2);
        if let Ok(guard) = TcpListener::bind(format!("{net}.254:7000")) {
            return (net, guard);
        }
    }
}

/// A request with an API key and a request id.
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

/// An idempotent call.
pub fn read(id: &str) -> Request<Full<Bytes>> {
    request("GET", "/read/x", KEY, id)
}

/// A call that is not idempotent.
pub fn book(id: &str) -> Request<Full<Bytes>> {
    request("POST", "/book/x", KEY, id)
}

/// A request for a stream that is not resumable.
pub fn chat(id: &str) -> Request<Full<Bytes>> {
    stream("/chat/x", id)
}

/// A request for a resumable stream.
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

/// Sends a request on a new connection, which stays open until the returned handle is dropped.
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

/// Sends a request to an address and reads the whole response.
pub async fn call(address: &str, req: Request<Full<Bytes>>) -> CallResult {
    let calling = async {
        let (_connection, res) = send(address, req).await?;
        CallResult::read(res).await
    };
    let called = tokio::time::timeout(WAIT_TIMEOUT, calling).await.expect("response before the timeout");
    called.unwrap_or_else(CallResult::failed)
}

/// The result of a request, with the response body read to its end.
#[derive(Debug)]
pub struct CallResult {
    /// HTTP status; 0 if the connection failed before a response arrived.
    pub status: u16,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// The part of the response body that was received, or the error if there was no response.
    pub body: String,
    /// Whether the response body ended without an error.
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

    /// A request without a response; the body holds the error message.
    fn failed(error: String) -> CallResult {
        CallResult { status: 0, headers: http::HeaderMap::new(), body: error, whole: false }
    }

    /// Error code in the body of a refusal; 0 if there is none.
    pub fn code(&self) -> u64 {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_u64().unwrap_or(0)
    }

    /// Value of a response header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Number of events received; `None` unless the body consists of the first events of the stand-in
    /// engine's generation, each once, in order and complete.
    pub fn events(&self) -> Option<u64> {
        self.last_event_after(0)
    }

    /// Id of the last event received, `from` if there was none; `None` unless the body consists of the events
    /// after `from`, each once, in order and complete.
    pub fn last_event_after(&self, from: u64) -> Option<u64> {
        let last = from + self.body.matches("\n\n").count() as u64;
        let expected: String = (from + 1..=last).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect();
        (self.body == expected).then_some(last)
    }
}

/// Sends the node at `to` the datagram in which the node at `from` would announce the version of its
/// configuration and the store revision of its replica list.
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
