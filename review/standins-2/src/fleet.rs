//! The project's own processes: nodes on loopback addresses, with the settings of `deploy/node.yaml`.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/leadstaged";
/// Time for a node to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A node and its addresses.
pub struct Node {
    /// Its IP address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
    port: u16,
    process: Option<Child>,
}

impl Node {
    /// The address for clients.
    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.port).parse().expect("an address")
    }

    fn ready(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.port + 1).parse().expect("an address")
    }

    fn peer(&self) -> String {
        format!("{}:{}", self.ip, self.port + 2)
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready(), request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// How the process ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.try_wait().ok().flatten()
    }

    /// The id of its process; 0 if it has none.
    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(process.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// The nodes; they are killed on drop.
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The first three octets of the fleet's addresses.
    pub net: String,
    folder: PathBuf,
    store: SocketAddr,
    /// Addresses of the store for single nodes.
    pub stores: Vec<SocketAddr>,
    /// Further lines of the settings' `bounds`.
    pub bounds: String,
    /// Memory of each machine, in 10^6 bytes.
    pub memory_mb: u32,
    /// Region of each zone, as the value of `regions`.
    pub regions: String,
}

/// A loopback net of this process: two runs at the same time use different ones.
pub fn own_net() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 64 + id / 250 % 128, 1 + id % 250)
}

impl Fleet {
    /// A fleet without nodes, whose files are in a temporary folder.
    pub fn new(net: &str, store: SocketAddr) -> Fleet {
        let folder = std::env::temp_dir().join(format!("leadstage-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let regions = r#"{"zone-a":"region-a"}"#.to_owned();
        Fleet {
            nodes: Vec::new(),
            net: net.to_owned(),
            folder,
            store,
            stores: Vec::new(),
            bounds: String::new(),
            memory_mb: 110,
            regions,
        }
    }

    /// Adds a node in a zone; it is not started. The ports of all nodes are alike.
    pub fn add(&mut self, zone: &str) -> usize {
        let at = self.nodes.len();
        let ip = format!("{}.{}", self.net, 10 + at);
        let port = self.nodes.first().map_or_else(|| free_ports(&ip), |first| first.port);
        self.nodes.push(Node { ip, zone: zone.to_owned(), port, process: None });
        at
    }

    /// Writes the settings of a node and starts it.
    pub fn start(&mut self, at: usize, is_first_start: bool) {
        let seeds: Vec<String> =
            self.nodes.iter().take(3).map(|seed| format!("\"{}\"", seed.peer())).collect();
        let node = &self.nodes[at];
        let settings = format!(
            "interface: gateway\nvm: \"edge-{at}\"\nhall: \"{}\"\nlisten: \"{}\"\nready: \"{}\"\npeer: \"{}\"\n\
             metrics: \"{}:{}\"\nseeds: [{}]\nstore: \"{}\"\nlink_mbps: 1000.0\nmemory_mb: {}\n\
             first_start: {is_first_start}\nregions: {}\nbounds:\n  stop_within: \"8s\"\n  retry_ratio: 0.2\n  \
             retry_slack: 58\n  retry_window: \"10s\"\n  config_within: \"2000ms\"\n  drain_within: \"2000ms\"\n{}",
            node.zone,
            node.front(),
            node.ready(),
            node.peer(),
            node.ip,
            node.port + 3,
            seeds.join(","),
            self.stores.get(at).unwrap_or(&self.store),
            self.memory_mb,
            self.regions,
            self.bounds,
        );
        let path = self.folder.join(format!("node-{at}.yaml"));
        fs::write(&path, settings).expect("the temporary folder is writable");
        let log = File::options().create(true).append(true).open(self.log_path(at)).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new(PROGRAM);
        command.arg("--config").arg(path).stdin(Stdio::null()).stdout(log).stderr(errors);
        self.nodes[at].process = Some(command.spawn().expect("the program of the deploy file starts"));
    }

    fn log_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("node-{at}.log"))
    }

    /// What a node has logged.
    pub fn log(&self, at: usize) -> String {
        let log = fs::read(self.log_path(at)).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// Starts all nodes and waits until they are ready. `false` if one is not in time.
    pub fn start_all(&mut self, is_first_start: bool) -> bool {
        (0..self.nodes.len()).for_each(|at| self.start(at, is_first_start));
        self.wait_until_ready()
    }

    /// Waits until all nodes are ready. `false` if one is not in time.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            if self.nodes.iter().all(Node::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The first of four ports that are free at an address.
fn free_ports(ip: &str) -> u16 {
    for port in (20_000 + std::process::id() as u16 % 1_000 * 10..60_000).step_by(4) {
        let held: Vec<_> = (port..port + 4).filter_map(|port| TcpListener::bind((ip, port)).ok()).collect();
        if held.len() == 4 {
            return port;
        }
    }
    panic!("no free ports at {ip}");
}
