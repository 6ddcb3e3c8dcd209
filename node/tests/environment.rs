//! A small fleet of processes on loopback addresses; dropping it kills the processes.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use ed25519_dalek::SigningKey;
use http::Request;
use http_body_util::Full;
use leadstage_lib::signing::Envelope;
use leadstage_lib::signing::encode_key;
use leadstage_lib::signing::sha256_hex;
use leadstage_lib::signing::sign;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::http_client;
use leadstage_testutils::http_client::HttpClient;
use leadstage_testutils::http_client::Reply;
use serde_json::Value;
use tempfile::TempDir;

/// Lines of each process's log that a failing test shows.
const MAX_LOG_LINES: usize = 60;
/// How long a test waits for a condition before it fails. Far longer than needed, so that slow machines
/// pass: nothing is asserted about speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NETWORK_COUNTER: AtomicU32 = AtomicU32::new(0);

/// Configuration of a test fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Additional command-line arguments of the engines.
    pub engine_args: Vec<String>,
    /// Delay of changes in the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Lines of the bundle's `bounds` section.
    pub bounds: String,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 2,
            engines: 2,
            engine_args: vec![],
            vm_lag_ms: 0,
            bounds: "stall_within: 500ms".to_owned(),
        }
    }
}

/// A running test fleet.
pub struct Env {
    /// The configuration that the fleet was started with.
    pub options: Options,
    /// An HTTP client.
    pub client: HttpClient,
    network: String,
    dir: TempDir,
    children: BTreeMap<String, Child>,
    vms: Vec<Value>,
    /// Further entries of the VM list, as they are sent.
    raw_vms: Vec<String>,
    _guard: TcpListener,
}

fn stand_in_path(name: &str) -> PathBuf {
    let bin = PathBuf::from(env!("CARGO_BIN_EXE_leadstaged"));
    let path = bin.parent().expect("a parent directory").join("examples").join(name);
    assert!(path.exists(), "{} is missing: run cargo test --workspace", path.display());
    path
}

/// Reserves a /24 network in 127.0.0.0/8 by a listener on its address `.254`.
fn reserve_network() -> (String, TcpListener) {
    loop {
        let n = NETWORK_COUNTER.fetch_add(1, Ordering::Relaxed).wrapping_mul(7) + std::process::id();
        let network = format!("127.{}.{}", n / 250 % 200 + 30, n % 250 + 2);
        if let Ok(guard) = TcpListener::bind(format!("{network}.254:7000")) {
            return (network, guard);
        }
    }
}

/// The operator's signing key in all test fleets.
pub fn operator_key() -> SigningKey {
    SigningKey::from_bytes(&[5; 32])
}

/// The YAML text of a bundle for tests.
pub fn bundle_yaml(number: u64, bounds: &str) -> String {
    let hash = |token: &str| sha256_hex(token.as_bytes());
    let bounds = if bounds.is_empty() { "max_queue: 200" } else { bounds };
    let bounds: String = bounds.lines().map(|line| format!("  {line}\n")).collect();
    format!(
        "number: {number}\nfleet: test\norganisations:\n  - {{id: a, token_hashes: [{}]}}\n  - {{id: b, token_hashes: [{}], max_open: 2}}\n\
         models:\n  - {{id: m, checks_fences: true, max_prompt_tokens: 1000, adapters: [desk]}}\nservices:\n  - {{id: booking}}\n\
         routes:\n  - {{prefix: /booking/, service: booking, repeatable: [GET]}}\nbounds:\n{bounds}",
        hash("token-a"),
        hash("token-b"),
    )
}

/// An envelope of a bundle's text, signed with the operator's key.
pub fn envelope(number: u64, yaml: &str, operator: &str) -> Envelope {
    let signatures = vec![sign(yaml, &operator_key())];
    Envelope { number, operator: operator.to_owned(), yaml: yaml.to_owned(), signatures }
}

impl Env {
    /// Starts a fleet and waits until bundle 1 is in force and a lead knows all engines.
    pub async fn start(options: Options) -> Env {
        let env = Env::without_bundle(options).await;
        env.roll_out(1).await;
        for node in 1..=env.options.nodes {
            env.until_ready(node).await;
        }
        let engines = env.options.engines;
        env.until("one lead with all engines up", async |env: &Env| env.engines_up().await == engines).await;
        env
    }

    /// Starts a fleet that has no bundle yet.
    pub async fn without_bundle(options: Options) -> Env {
        let (network, guard) = reserve_network();
        let mut env = Env {
            options,
            client: http_client::client(),
            network,
            dir: TempDir::new().expect("a temporary directory"),
            children: BTreeMap::new(),
            vms: Vec::new(),
            raw_vms: Vec::new(),
            _guard: guard,
        };
        let lag = env.options.vm_lag_ms.to_string();
        env.spawn_stand_in("platform", "platform", &["--vm-lag-ms", &lag]);
        for n in 1..=env.options.engines {
            env.start_engine(n);
        }
        env.spawn_stand_in("booking-1", "plain", &[]);
        env.add_vm("booking-1", "service", "booking");
        for n in 1..=env.options.nodes {
            env.add_vm(&format!("entry-{n}"), "entry", "");
        }
        env.until("the platform to answer", async |env: &Env| {
            env.get(&env.address("platform"), "/v1/vms").await.is_ok()
        })
        .await;
        env.publish_vms().await;
        for n in 1..=env.options.nodes {
            env.start_node(n);
        }
        env
    }

    /// The address of a process; for a node, that of the port for callers.
    pub fn address(&self, name: &str) -> String {
        let (kind, n) = name.rsplit_once('-').unwrap_or((name, "0"));
        let n: u32 = n.parse().expect("a number");
        match kind {
            "platform" => format!("{}.1:9000", self.network),
            "entry" => format!("{}.{}:8080", self.network, 10 + n),
            "engine" => format!("{}.{}:9100", self.network, 60 + n),
            _ => format!("{}.{}:9200", self.network, 150 + n),
        }
    }

    fn port(&self, node: usize, port: u16) -> String {
        format!("{}.{}:{port}", self.network, 10 + node)
    }

    /// A node's admin address.
    pub fn admin(&self, node: usize) -> String {
        self.port(node, 8081)
    }

    fn spawn_stand_in(&mut self, name: &str, program: &str, args: &[&str]) {
        let mut command = Command::new(stand_in_path(program));
        command.args(["--listen", &self.address(name)]).args(args);
        self.spawn(name, command);
    }

    fn spawn(&mut self, name: &str, mut command: Command) {
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.log_path(name))
            .expect("log file can be opened");
        command.stdout(Stdio::null()).stderr(log).stdin(Stdio::null());
        self.children.insert(name.to_owned(), command.spawn().expect("process starts"));
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.log"))
    }

    /// Starts an engine and adds it to the VM list, which is not published yet.
    pub fn start_engine(&mut self, n: usize) {
        let name = format!("engine-{n}");
        let args = self.options.engine_args.clone();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.spawn_stand_in(&name, "engine", &args);
        self.add_vm(&name, "engine", "m");
    }

    /// Starts or restarts a node.
    pub fn start_node(&mut self, n: usize) {
        let path = self.dir.path().join(format!("entry-{n}.yaml"));
        let settings = format!(
            "vm: entry-{n}\nhall: h\nlisten: {}\nadmin: {}\npeer: {}\nplatform: {}\noperators: ['{}']\n",
            self.port(n, 8080),
            self.port(n, 8081),
            self.port(n, 8082),
            self.address("platform"),
            encode_key(&operator_key().verifying_key()),
        );
        std::fs::write(&path, settings).expect("writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
        command.arg("--config").arg(&path);
        self.spawn(&format!("entry-{n}"), command);
    }

    fn add_vm(&mut self, name: &str, role: &str, serves: &str) {
        let address = match role {
            "entry" => self.address(name).replace(":8080", ":8082"),
            _ => self.address(name),
        };
        let vm = serde_json::json!({"id": name, "role": role, "hall": "h", "address": address, "serves": serves, "state": "live"});
        self.vms.push(vm);
    }

    /// Adds entries to the VM list, whether they are JSON or not, and publishes it.
    pub async fn add_raw_vms(&mut self, entries: Vec<String>) {
        self.raw_vms.extend(entries);
        self.publish_vms().await;
    }

    /// Changes a VM's state and publishes the VM list.
    pub async fn set_vm_state(&mut self, name: &str, state: &str) {
        self.set_vm_field(name, "state", state).await;
    }

    /// Changes a field of a VM's entry and publishes the VM list.
    pub async fn set_vm_field(&mut self, name: &str, field: &str, value: &str) {
        for vm in self.vms.iter_mut().filter(|vm| vm["id"] == name) {
            vm[field] = value.into();
        }
        self.publish_vms().await;
    }

    /// Starts a proxy in front of a node's peer port and publishes its address in the VM list, so that
    /// other nodes connect through it.
    pub async fn add_peer_proxy(&mut self, node: usize) -> FaultyProxy {
        let peer = self.port(node, 8082).parse().expect("an address");
        let proxy = FaultyProxy::start(&format!("{}.{}", self.network, 10 + node), peer).await;
        self.set_vm_field(&format!("entry-{node}"), "address", &proxy.address.to_string()).await;
        proxy
    }

    async fn publish_vms(&self) {
        let mut entries: Vec<String> = self.vms.iter().map(Value::to_string).collect();
        entries.extend(self.raw_vms.iter().cloned());
        let body = format!("[{}]", entries.join(","));
        let uri = format!("http://{}/stand-in/vms", self.address("platform"));
        let req = Request::put(uri).body(Full::from(body)).expect("valid");
        http_client::send(&self.client, req).await.expect("the platform answers");
    }

    /// Stores a signed bundle in the object API.
    pub async fn roll_out(&self, number: u64) {
        let yaml = bundle_yaml(number, &self.options.bounds);
        self.put_bundle(envelope(number, &yaml, "test").to_bytes()).await;
    }

    /// Overwrites the bundle's object with `bytes`, whatever its current version.
    pub async fn put_bundle(&self, bytes: Vec<u8>) {
        let platform = self.address("platform");
        let found = self.get(&platform, "/v1/objects/bundle").await.expect("the platform answers");
        let version = found.headers.get("etag").filter(|_| found.status == 200);
        let version = version.and_then(|v| v.to_str().ok()).unwrap_or("0").to_owned();
        let uri = format!("http://{platform}/v1/objects/bundle");
        let req = Request::put(uri).header("if-match", version).body(Full::from(bytes)).expect("valid");
        let reply = http_client::send(&self.client, req).await.expect("the platform answers");
        assert_eq!(reply.status, 200);
    }

    /// Sends a GET request for `path`.
    pub async fn get(&self, address: &str, path: &str) -> Result<Reply, String> {
        let req = Request::get(format!("http://{address}{path}")).body(Full::default()).expect("valid");
        let sent = tokio::time::timeout(Duration::from_secs(5), http_client::send(&self.client, req));
        sent.await.unwrap_or_else(|_| Err("no answer".to_owned()))
    }

    /// Sends a fault command to a stand-in, as in `set_fault("engine-1", "cut")`.
    pub async fn set_fault(&self, name: &str, fault: &str) {
        let uri = format!("http://{}/fault/{fault}", self.address(name));
        let req = Request::post(uri).body(Full::default()).expect("valid");
        let _ = http_client::send(&self.client, req).await;
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.children[name].id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(status.success(), "{signal} {name}");
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&mut self, name: &str) {
        let child = self.children.get_mut(name).expect("process was started");
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits until a process exits by itself; returns whether its exit status reports success.
    pub async fn wait_for_exit(&mut self, name: &str) -> bool {
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while std::time::Instant::now() < deadline {
            if let Some(status) =
                self.children.get_mut(name).expect("process was started").try_wait().expect("a child")
            {
                return status.success();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{name} did not exit");
    }

    /// A node's `/status` as JSON.
    pub async fn status(&self, node: usize) -> Option<Value> {
        let reply = self.get(&self.admin(node), "/status").await.ok()?;
        serde_json::from_str(&reply.body).ok()
    }

    /// Polls `condition` until it holds; panics after `WAIT_TIMEOUT`. `what` names the condition.
    pub async fn until(&self, what: &str, mut condition: impl AsyncFnMut(&Env) -> bool) {
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while std::time::Instant::now() < deadline {
            if condition(self).await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for {what}\n{}", self.logs());
    }

    /// Waits until a node reports readiness to the load balancer.
    pub async fn until_ready(&self, node: usize) {
        let what = format!("entry-{node} to be ready");
        self.until(&what, async |env: &Env| {
            let reply = env.get(&env.admin(node), "/readyz").await;
            reply.is_ok_and(|r| r.status == 200)
        })
        .await;
    }

    /// Waits until a node has a bundle in force.
    pub async fn until_bundle(&self, node: usize, number: u64) {
        let what = format!("bundle {number} on entry-{node}");
        self.until(&what, async |env: &Env| env.status(node).await.is_some_and(|s| s["bundle"] == number))
            .await;
    }

    /// The node that leads the pool, and how many engines it considers up.
    async fn lead_and_engines_up(&self) -> Option<(usize, usize)> {
        let mut found = None;
        for node in 1..=self.options.nodes {
            let Some(status) = self.status(node).await else { continue };
            for pool in status["pools"].as_array().into_iter().flatten() {
                let engines = pool["engines"].as_array().into_iter().flatten();
                let up = engines.filter(|e| e["state"] == "up").count();
                found = found.max(Some((node, up)));
            }
        }
        found
    }

    /// The node that leads the pool.
    pub async fn lead(&self) -> usize {
        self.lead_and_engines_up().await.expect("a lead").0
    }

    /// The number of engines that are up, once there is one lead.
    pub async fn engines_up(&self) -> usize {
        let one_lead = {
            let mut leads = 0;
            for node in 1..=self.options.nodes {
                let status = self.status(node).await;
                leads += status.map_or(0, |s| s["pools"].as_array().map_or(0, Vec::len));
            }
            leads == 1
        };
        if one_lead { self.lead_and_engines_up().await.map_or(0, |(_, up)| up) } else { 0 }
    }

    /// A numeric field of an engine's load report; 0 if it is missing.
    pub async fn engine_load_field(&self, engine: usize, field: &str) -> u64 {
        let reply = self.get(&self.address(&format!("engine-{engine}")), "/v1/load").await;
        let load: Option<Value> = reply.ok().and_then(|r| serde_json::from_str(&r.body).ok());
        load.and_then(|l| l[field].as_u64()).unwrap_or(0)
    }

    /// How often each booking was executed, by idempotency key.
    pub async fn bookings(&self) -> BTreeMap<String, u64> {
        let reply = self.get(&self.address("booking-1"), "/stand-in/ran").await.expect("the service answers");
        serde_json::from_str(&reply.body).expect("JSON")
    }

    /// Sends a booking through a node.
    pub async fn book(&self, node: usize, key: Option<&str>) -> Result<Reply, String> {
        self.book_for("token-a", node, key, "{}").await
    }

    /// Sends a booking with a body through a node, with the token of an organisation.
    pub async fn book_for(
        &self,
        token: &str,
        node: usize,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, String> {
        let uri = format!("http://{}/booking/book", self.address(&format!("entry-{node}")));
        let mut req = Request::post(uri).header("authorization", format!("Bearer {token}"));
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let req = req.body(Full::from(Bytes::from(body.to_owned()))).expect("valid");
        let sent = tokio::time::timeout(WAIT_TIMEOUT, http_client::send(&self.client, req));
        sent.await.unwrap_or_else(|_| Err("no answer".to_owned()))
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// The last lines of the logs of all processes, for a failure message.
    pub fn logs(&self) -> String {
        let mut out = String::new();
        for name in self.children.keys() {
            let log = self.log(name);
            let last: Vec<&str> = log.lines().rev().take(MAX_LOG_LINES).collect();
            out.push_str(&format!("--- {name}\n"));
            last.iter().rev().for_each(|line| out.push_str(&format!("{line}\n")));
        }
        out
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The numeric code of an error response; 0 if it has none.
pub fn error_code(reply: &Reply) -> u64 {
    let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
    body["error"]["code"].as_u64().unwrap_or(0)
}
