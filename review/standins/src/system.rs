//! The system under test as processes, the platform's balancer and callers.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::cut;
use crate::http;

const FRONT: u16 = 8740;
const READY: u16 = 8749;
const CONTROL: u16 = 8748;
const PEER: u16 = 7200;
const METRICS: u16 = 9464;
const STORE: u16 = 8742;
/// The port of all replicas.
pub const REPLICA: u16 = 8729;
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// The loopback addresses of one run: 127.`net.0`.`net.1`.x.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    /// Finds a net whose ports are free.
    pub fn free() -> Option<Net> {
        let seed = std::process::id();
        (0..200).map(|n| Net(60 + ((seed + n) % 120) as u8, (seed / 120 % 200) as u8 + 10)).find(|net| {
            let ports = [FRONT, READY, CONTROL, PEER, METRICS, STORE, REPLICA];
            ports.iter().all(|port| TcpListener::bind((net.ip(11), *port)).is_ok())
        })
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.ip(1).into(), STORE)
    }
}

/// One entry VM and its process.
pub struct Node {
    pub name: String,
    pub hall: String,
    pub ip: Ipv4Addr,
    is_first_start: bool,
    process: Option<Child>,
    pub started: Instant,
    /// The balancer gives it new connections.
    pub is_in: Arc<AtomicBool>,
}

/// What all nodes have in common.
pub struct Fleet {
    net: Net,
    binary: PathBuf,
    dir: PathBuf,
    pub nodes: Vec<Node>,
    /// Region by hall.
    regions: Vec<(String, String)>,
    seeds: Vec<Ipv4Addr>,
}

impl Fleet {
    /// Describes a fleet; `halls` has the hall of each node, and the first node of each hall is a seed, three at most.
    pub fn new(net: Net, binary: &Path, dir: &Path, halls: &[&str], regions: &[(&str, &str)]) -> Fleet {
        let mut seeds: Vec<(&str, Ipv4Addr)> = Vec::new();
        let mut nodes = Vec::new();
        for (n, hall) in halls.iter().enumerate() {
            let ip = net.ip(11 + n as u8);
            if seeds.len() < 3 && seeds.iter().all(|(of, _)| of != hall) {
                seeds.push((hall, ip));
            }
            nodes.push(Node {
                name: format!("edge-{hall}-{}", n + 1),
                hall: (*hall).to_owned(),
                ip,
                is_first_start: true,
                process: None,
                started: Instant::now(),
                is_in: Arc::default(),
            });
        }
        let regions = regions.iter().map(|(hall, region)| ((*hall).to_owned(), (*region).to_owned())).collect();
        let seeds = seeds.into_iter().map(|(_, ip)| ip).collect();
        Fleet { net, binary: binary.to_owned(), dir: dir.to_owned(), nodes, regions, seeds }
    }

    pub fn is_seed(&self, n: usize) -> bool {
        self.seeds.contains(&self.nodes[n].ip)
    }

    /// The region of a node by its address.
    pub fn region_of(&self, ip: IpAddr) -> Option<&str> {
        let node = self.nodes.iter().find(|node| IpAddr::V4(node.ip) == ip)?;
        self.region_of_hall(&node.hall)
    }

    pub fn region_of_hall(&self, hall: &str) -> Option<&str> {
        self.regions.iter().find(|(of, _)| of == hall).map(|(_, region)| region.as_str())
    }

    /// The settings as `deploy/node.yaml` is filled for a node.
    fn settings(&self, node: &Node) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:{CONTROL}\"")).collect();
        let regions: Vec<String> =
            self.regions.iter().map(|(hall, region)| format!("\"{hall}\":\"{region}\"")).collect();
        format!(
            "interface: gateway\nvm: \"{}\"\nhall: \"{}\"\nlisten: \"{ip}:{FRONT}\"\nready: \"{ip}:{READY}\"\npeer: \"{ip}:{PEER}\"\nmetrics: \"{ip}:{METRICS}\"\nseeds: [{}]\nstore: \"{}\"\nlink_mbps: 1000.0\nmemory_mb: 260\nfirst_start: {}\nregions: {{{}}}\nbounds:\n  stop_within: \"8s\"\n  retry_ratio: 0.2\n  retry_slack: 52\n  retry_window: \"10s\"\n  cold_overshoot: null\n  cold_slack: null\n  exposure_share: null\n  exposure_slack: null\n",
            node.name,
            node.hall,
            seeds.join(","),
            self.net.store(),
            node.is_first_start,
            regions.join(","),
            ip = node.ip,
        )
    }

    /// Starts a node with the command of the deploy file.
    pub fn start(&mut self, n: usize) -> io::Result<()> {
        let settings = self.settings(&self.nodes[n]);
        let node = &mut self.nodes[n];
        let config = self.dir.join(format!("{}.yaml", node.name));
        fs::write(&config, settings)?;
        let log = File::options().create(true).append(true).open(self.dir.join(format!("{}.log", node.name)))?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(&config)
            .env_clear()
            .env("LEADSTAGE_NODE_FILE", &config)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pids = self.dir.join("pids");
        let known = fs::read_to_string(&pids).unwrap_or_default();
        fs::write(&pids, format!("{known}{}\n", child.id()))?;
        node.process = Some(child);
        node.started = Instant::now();
        node.is_first_start = false;
        Ok(())
    }

    /// Sends SIGTERM to a node and waits for its end.
    pub fn stop(&mut self, n: usize) {
        if let Some(mut child) = self.nodes[n].process.take() {
            cut::signal(child.id(), SIGTERM);
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to some nodes at once and waits until all have ended.
    pub fn stop_all(&mut self, nodes: &[usize]) {
        for n in nodes {
            if let Some(child) = &self.nodes[*n].process {
                cut::signal(child.id(), SIGTERM);
            }
        }
        for n in nodes {
            if let Some(mut child) = self.nodes[*n].process.take() {
                let _ = child.wait();
            }
        }
    }

    /// The names of the nodes that follow the store, by their logs.
    pub fn followers(&self) -> Vec<usize> {
        let follows = |node: &Node| {
            let log = fs::read_to_string(self.dir.join(format!("{}.log", node.name))).unwrap_or_default();
            let roles = log.lines().rev().find(|line| line.contains("event=store_watch "));
            roles.is_some_and(|line| !line.contains("now=None"))
        };
        (0..self.nodes.len()).filter(|n| follows(&self.nodes[*n])).collect()
    }

    /// Asks all nodes each second whether they are ready, as the platform does.
    pub fn balance(&self, stop: Arc<AtomicBool>) -> JoinHandle<()> {
        let nodes: Vec<(SocketAddr, Arc<AtomicBool>)> = self
            .nodes
            .iter()
            .map(|node| (SocketAddr::new(node.ip.into(), READY), node.is_in.clone()))
            .collect();
        thread::spawn(move || {
            let mut misses = vec![0; nodes.len()];
            while !stop.load(Ordering::SeqCst) {
                for ((address, is_in), misses) in nodes.iter().zip(&mut misses) {
                    let headers = [("Host", address.to_string())];
                    let limit = Duration::from_millis(300);
                    let answer = http::call(*address, "GET /v1/readyz HTTP/1.1", &headers, b"", limit);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        *misses = 0;
                        is_in.store(true, Ordering::SeqCst);
                    } else {
                        *misses += 1;
                        if *misses >= 2 {
                            is_in.store(false, Ordering::SeqCst);
                        }
                    }
                }
                thread::sleep(Duration::from_secs(1));
            }
        })
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(|node| node.is_in.load(Ordering::SeqCst)) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.process.take() {
                cut::signal(child.id(), SIGKILL);
                let _ = child.wait();
            }
        }
    }
}

/// What became of one request of a caller.
#[derive(Clone)]
pub struct Sent {
    pub request: String,
    /// The node that the caller connected to.
    pub node: usize,
    pub at: Instant,
    pub took: Duration,
    /// The status, or why there was no answer.
    pub end: String,
}

/// The caller's part of a request.
#[derive(Clone)]
pub struct Caller {
    pub host: String,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
}

/// Callers that send requests to the nodes, each on a connection of its own, until they are stopped.
pub struct Callers {
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers; each of `nodes` gets a request each `gap`.
    pub fn start(fleet: &Fleet, nodes: &[usize], caller: &Caller, gap: Duration, stop: &Arc<AtomicBool>) -> Callers {
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let mut threads = Vec::new();
        for &n in nodes {
            let node = &fleet.nodes[n];
            let (address, is_in) = (SocketAddr::new(node.ip.into(), FRONT), node.is_in.clone());
            let (caller, sent, stop) = (caller.clone(), sent.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                let mut open: Vec<JoinHandle<()>> = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let next = Instant::now() + gap;
                    if is_in.load(Ordering::SeqCst) {
                        let (caller, sent) = (caller.clone(), sent.clone());
                        let request = format!("{n:02}{number:014x}");
                        open.push(thread::spawn(move || {
                            let outcome = send(address, n, &request, &caller);
                            sent.lock().unwrap().push(outcome);
                        }));
                    }
                    open.retain(|thread| !thread.is_finished());
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                for thread in open {
                    let _ = thread.join();
                }
            }));
        }
        Callers { sent, threads }
    }

    /// Waits for the answers to all requests, once the callers were stopped.
    pub fn finish(self) -> Vec<Sent> {
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut sent = self.sent.lock().unwrap().clone();
        sent.sort_by_key(|sent| sent.at);
        sent
    }
}

fn send(address: SocketAddr, node: usize, request: &str, caller: &Caller) -> Sent {
    let headers = [
        ("Host", caller.host.clone()),
        ("Leadstage-Request-Id", request.to_owned()),
        ("Leadstage-Deadline-Ms", caller.deadline.as_millis().to_string()),
        ("Authorization", format!("Token {}", caller.key)),
    ];
    let line = format!("POST {} HTTP/1.1", caller.path);
    let at = Instant::now();
    let body = format!("order of {request}");
    let answer = http::call(address, &line, &headers, body.as_bytes(), caller.deadline);
    let end = answer.map_or_else(|why| why, |answer| {
        let signature = answer.header("leadstage-server-signature").unwrap_or("none");
        format!("{} signature {signature}", answer.status())
    });
    Sent { request: request.to_owned(), node, at, took: at.elapsed(), end }
}
