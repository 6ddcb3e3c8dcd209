//! A randomized soak test of the gateway: real nodes under injected faults, consecutive and overlapping. The
//! delivery guarantees are checked against what callers and replicas observe.
//!
//! A seed determines the schedule. CI runs [`REGRESSION_SEEDS`]; to run more seeds:
//! `LEADSTAGE_SOAK_SEEDS=1..50 cargo test --release -p leadstage-node --test runner soak`.
//! `LEADSTAGE_SOAK_NODES=100` runs them with that many nodes (default 3). A failed run prints its seed and
//! the logs of the nodes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::gateway_replica::CopyFault;
use leadstage_testutils::gateway_replica::Framing;
use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamEnding;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::Copy;
use leadstage_testutils::metadata_store::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// Seeds that CI runs: the first seed, and each seed that failed, with a line on the cause of its failure.
const REGRESSION_SEEDS: &[u64] = &[1];
/// Number of nodes unless `LEADSTAGE_SOAK_NODES` is set.
const DEFAULT_NODES: usize = 3;
/// Number of engines, and of plain replicas.
const ENGINE_COUNT: usize = 4;
const STREAM_CLIENTS: usize = 6;
const CALL_CLIENTS: usize = 4;
const TAG_CLIENTS: usize = 3;
/// Attempts of a caller per resumable stream, and engines that each attempt may be sent to.
const TAG_ATTEMPTS: u64 = 3;
/// Number of events in a generation.
const EVENTS: u64 = 60;
/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(5);

/// A request and its result as the caller observed it.
struct CallRecord {
    id: String,
    /// The last event received in earlier attempts.
    from: u64,
    called: CallResult,
}

/// The kind of requests that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    Streams,
    Calls,
    /// Resumable streams: the client reconnects after a break.
    Tags,
}

/// The results of all requests.
type CallLog = Arc<Mutex<Vec<CallRecord>>>;

/// All replicas of the run, including replaced ones; their received requests are checked at the end.
type Replicas = Vec<Arc<GatewayReplica>>;

struct SoakRun {
    gateway: Gateway,
    rng: SmallRng,
    engines: Vec<RunningReplica>,
    bookings: Vec<RunningReplica>,
    all_replicas: Replicas,
    proxy: FaultyProxy,
    engines_started: usize,
    config_version: u64,
    /// Random numbers for replica announcements and store restores, apart from those of the faults.
    event_rng: SmallRng,
    /// A copy of the store from which it may be restored.
    copy: Option<Copy>,
}

impl SoakRun {
    async fn start(seed: u64) -> SoakRun {
        let (mut gateway, bookings, engines) = Gateway::with_replicas(ENGINE_COUNT).await;
        let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
        for _ in 1..nodes() {
            let node = gateway.start_node_at(proxy.address);
            gateway.until_ready(node).await;
        }
        let all_replicas = bookings.iter().chain(&engines).map(|running| running.replica.clone()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let event_rng = SmallRng::seed_from_u64(!seed);
        SoakRun {
            gateway,
            rng,
            engines,
            bookings,
            all_replicas,
            proxy,
            engines_started: ENGINE_COUNT,
            config_version: 1,
            event_rng,
            copy: None,
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn random_duration(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Injects one random fault; some faults last until after the next one is injected.
    async fn inject_fault(&mut self) {
        let node = self.random_index(nodes());
        match self.random_index(14) {
            0 => self.gateway.signal(node, "-TERM"),
            1 => self.gateway.kill(node),
            2 => {
                self.gateway.signal(node, "-STOP");
                let pause = self.random_duration(50, 900);
                tokio::time::sleep(pause).await;
                self.gateway.signal(node, "-CONT");
            }
            3 => self.gateway.signal(node, "-HUP"),
            4 => {
                let at = self.random_index(self.engines.len());
                self.gateway.drain(MODEL, &self.engines[at]);
            }
            5 => {
                let at = self.random_index(self.engines.len());
                self.replace_engine(at).await;
            }
            6 => self.gateway.store.set_fault(StoreFault::Refuses),
            7 => self.gateway.store.set_fault(StoreFault::LosesHistory),
            8 => self.gateway.store.set_fault(StoreFault::None),
            9 => {
                self.config_version += 1;
                self.gateway.store.put("config", "main", config(self.config_version));
            }
            10 => {
                let faults = [
                    CopyFault::NoRoom,
                    CopyFault::StopHangs,
                    CopyFault::ResumeFails,
                    CopyFault::CopyHangs,
                    CopyFault::None,
                ];
                let (at, fault) = (self.random_index(ENGINE_COUNT), faults[self.random_index(faults.len())]);
                self.engines[at].replica.set_copy_fault(fault);
            }
            11 => {
                let after = self.random_index(EVENTS as usize) as u64;
                let faults = [
                    StreamFault::BreaksAfter(after),
                    StreamFault::BreaksInside(after),
                    StreamFault::StallsAfter(after),
                    StreamFault::NoHead,
                    StreamFault::Fails,
                    StreamFault::StartsOver,
                ];
                let count = 1 + self.random_index(4);
                let chosen: Vec<StreamFault> =
                    (0..count).map(|_| faults[self.random_index(faults.len())]).collect();
                self.gateway.engines.set_stream_faults(chosen);
            }
            12 => {
                let faults = [
                    ReplicaFault::Breaks,
                    ReplicaFault::TruncatesBody,
                    ReplicaFault::WrongRequestId,
                    ReplicaFault::ClosesReusedConnections,
                    ReplicaFault::None,
                ];
                let (at, fault) = (self.random_index(ENGINE_COUNT), faults[self.random_index(faults.len())]);
                self.bookings[at].replica.set_fault(fault);
            }
            _ => {
                let delay = self.random_duration(5, 200);
                let faults = [
                    LinkFault::Delay(delay),
                    LinkFault::Reset,
                    LinkFault::OneWay,
                    LinkFault::Silent,
                    LinkFault::None,
                ];
                let fault = faults[self.random_index(faults.len())];
                self.proxy.set(fault);
            }
        }
        self.restart_exited_nodes();
    }

    /// A stream without a length or chunks, or one that ends inside an event.
    fn random_ending(&mut self) -> StreamFault {
        const RESTS: [&str; 3] = ["i", "id: 77\n", "id: 77\ndata: token 77\n"];
        if self.event_rng.random_bool(0.5) {
            return StreamFault::Unframed;
        }
        let framing = Framing::ALL[self.event_rng.random_range(0..Framing::ALL.len())];
        let rest = RESTS[self.event_rng.random_range(0..RESTS.len())];
        StreamFault::Ends(StreamEnding { framing, events: self.event_rng.random_range(0..EVENTS), rest })
    }

    /// Applies a random event that is not among the faults: an engine announces in its responses that it leaves, a
    /// plain replica refuses requests and asks for a back-off, answers end with their connections or inside an
    /// event or do not come to their heads, or the store is restored from a copy. Further kinds take numbers
    /// without an event so far, so that seeds keep their other events.
    fn apply_random_event(&mut self) {
        let at = self.event_rng.random_range(0..ENGINE_COUNT);
        match self.event_rng.random_range(0..10) {
            0 => self.engines[at].replica.set_leaving(Some("1")),
            1 => {
                self.bookings[at].replica.set_retry_after(Some("0.4"));
                self.bookings[at].replica.set_fault(ReplicaFault::NotExecuted);
            }
            2 => match self.copy.take() {
                Some(copy) => self.restore_store(copy),
                None => self.copy = Some(self.gateway.store.copy()),
            },
            3 => {
                let chosen: Vec<StreamFault> = (0..4).map(|_| self.random_ending()).collect();
                self.gateway.engines.set_stream_faults(chosen);
            }
            4 => self.bookings[at].replica.set_fault(ReplicaFault::Unframed),
            5 => self.bookings[at].replica.set_fault(ReplicaFault::EndlessHeads),
            6 => self.gateway.engines.set_stream_faults([StreamFault::EndlessHeads; 2]),
            _ => {}
        }
    }

    /// Restores the store, then repeats the writes of the operator and the replicas since the copy, and the
    /// deletions.
    fn restore_store(&mut self, copy: Copy) {
        self.gateway.store.restore_from(copy);
        self.gateway.store.put("config", "main", config(self.config_version));
        self.bookings.iter().for_each(|running| self.gateway.write_entry(BOOKING, running, "ready"));
        self.engines.iter().for_each(|running| self.gateway.write_entry(MODEL, running, "ready"));
        let is_running =
            |name: &str| self.bookings.iter().chain(&self.engines).any(|running| running.replica.id == name);
        let removed = self.gateway.store.names("servers").into_iter().filter(|name| !is_running(name));
        removed.for_each(|name| self.gateway.store.delete("servers", &name));
    }

    /// Replaces an engine that dies without announcing it.
    async fn replace_engine(&mut self, at: usize) {
        self.engines_started += 1;
        let id = format!("model-{}", self.engines_started);
        let removed =
            std::mem::replace(&mut self.engines[at], self.gateway.start_replica(MODEL, &id, EVENTS).await);
        self.gateway.store.delete("servers", &removed.replica.id);
        self.all_replicas.push(self.engines[at].replica.clone());
    }

    /// Restarts exited node processes, as the platform does.
    fn restart_exited_nodes(&mut self) {
        for node in 0..nodes() {
            if self.gateway.ended(node).is_some() {
                self.gateway.restart_node(node);
            }
        }
    }

    /// Clears all faults and waits until every node serves requests.
    async fn recover(&mut self) {
        self.gateway.store.set_fault(StoreFault::None);
        self.proxy.set(LinkFault::None);
        self.gateway.engines.set_stream_faults([]);
        self.bookings.iter().for_each(|running| running.replica.set_fault(ReplicaFault::None));
        // Leaving engines are replaced.
        for at in 0..self.engines.len() {
            self.replace_engine(at).await;
        }
        let deadline = Instant::now() + Duration::from_secs(40);
        for node in 0..nodes() {
            loop {
                self.restart_exited_nodes();
                let status = self.gateway.status_of(node, "/read/x?after", KEY).await;
                if status == 200 && self.gateway.ready_status(node).await == 200 {
                    break;
                }
                assert!(Instant::now() < deadline, "node {node} does not recover\n{}", self.gateway.logs());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Sends requests through random nodes until the given time.
async fn client(
    addresses: Vec<String>,
    name: String,
    seed: u64,
    until: Instant,
    kind: ClientKind,
    log: CallLog,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let mut from = 0;
        for attempt in 0..if kind == ClientKind::Tags { TAG_ATTEMPTS } else { 1 } {
            let id = format!("{name}-{n}-{attempt}");
            let node = &addresses[rng.random_range(0..addresses.len())];
            let called = crate::gateway_environment::call(node, client_request(kind, &id, from)).await;
            let last = called.last_event_after(from).filter(|_| called.status == 200);
            let is_whole = called.whole && called.status == 200;
            log.lock().expect("no holder panics").push(CallRecord { id, from, called });
            if is_whole {
                break;
            }
            from = last.unwrap_or(from);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

fn client_request(kind: ClientKind, id: &str, from: u64) -> Request<Full<Bytes>> {
    match kind {
        ClientKind::Streams => chat(id),
        ClientKind::Calls => request("POST", &format!("/book/x?{id}"), KEY, id),
        ClientKind::Tags => {
            let mut req = tag(id);
            if from > 0 {
                req.headers_mut().insert("last-event-id", from.to_string().parse().expect("valid"));
            }
            req
        }
    }
}

/// Checks the delivery guarantees against the results of callers and the requests that replicas received.
/// Returns the number of results by status.
fn check_guarantees(
    seed: u64,
    log: &[CallRecord],
    all_replicas: &Replicas,
) -> Result<BTreeMap<u16, usize>, String> {
    let mut arrivals: BTreeMap<String, usize> = BTreeMap::new();
    // Requests that a replica refused have not run there.
    let mut rejections: BTreeMap<String, usize> = BTreeMap::new();
    for replica in all_replicas {
        for id in replica.rejected_requests() {
            *rejections.entry(id).or_default() += 1;
        }
    }
    for seen in all_replicas.iter().flat_map(|replica| replica.received_requests()) {
        if seen.header("kv-from").is_none()
            && let Some(id) = seen.header("leadstage-request-id")
        {
            *arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }
    let mut statuses = BTreeMap::new();
    for CallRecord { id, from, called } in log {
        *statuses.entry(called.status).or_default() += 1;
        let arrived = arrivals.get(id).copied().unwrap_or(0) - rejections.get(id).copied().unwrap_or(0);
        let fail =
            |what: &str| Err(format!("seed {seed}: {id}: {what}: {called:?}, arrived {arrived} times"));
        let max_arrivals = if id.starts_with("tag") { TAG_ATTEMPTS as usize } else { 1 };
        if arrived > max_arrivals {
            return fail("ran more often than allowed");
        }
        if matches!(called.status, 408 | 421 | 429 | 503) && arrived > 0 {
            return fail("reported as not run, but a replica received it");
        }
        if called.status == 200 && !id.starts_with("call") {
            let Some(last) = called.last_event_after(*from) else {
                return fail("events with a gap or a repeat");
            };
            if called.whole != (last == EVENTS) {
                return fail("completeness contradicts the events");
            }
        }
        if called.status == 200 && id.starts_with("call") && called.whole && !called.body.ends_with(id) {
            return fail("response to another request");
        }
    }
    Ok(statuses)
}

async fn run_seed(seed: u64) {
    let mut soak = SoakRun::start(seed).await;
    let addresses: Vec<String> = (0..nodes()).map(|node| soak.gateway.client_address(node)).collect();
    let until = Instant::now() + FAULT_DURATION;
    let log = CallLog::default();
    let mut clients = tokio::task::JoinSet::new();
    let client_groups = [
        (ClientKind::Streams, "stream", STREAM_CLIENTS),
        (ClientKind::Calls, "call", CALL_CLIENTS),
        (ClientKind::Tags, "tag", TAG_CLIENTS),
    ];
    for (kind, prefix, count) in client_groups {
        for n in 0..count {
            let client_seed = seed ^ (clients.len() as u64) << 32;
            clients.spawn(client(
                addresses.clone(),
                format!("{prefix}{n}"),
                client_seed,
                until,
                kind,
                log.clone(),
            ));
        }
    }
    while Instant::now() < until {
        soak.inject_fault().await;
        soak.apply_random_event();
        let pause = soak.random_duration(40, 350);
        tokio::time::sleep(pause).await;
    }
    soak.recover().await;
    clients.join_all().await;
    let log = log.lock().expect("no holder panics");
    match check_guarantees(seed, &log, &soak.all_replicas) {
        Ok(statuses) => println!("seed {seed}: {} requests by status {statuses:?}", log.len()),
        Err(violation) => panic!("{violation}\n{}", soak.gateway.logs()),
    }
}

/// The number of nodes of a soak.
pub fn nodes() -> usize {
    let nodes = std::env::var("LEADSTAGE_SOAK_NODES").ok();
    nodes.map_or(DEFAULT_NODES, |text| text.parse().expect("LEADSTAGE_SOAK_NODES is a number"))
}

/// The seeds of a soak; `default` are those that CI runs.
pub fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("LEADSTAGE_SOAK_SEEDS") else {
        return default.to_vec();
    };
    let (first, last) = text.split_once("..").unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("LEADSTAGE_SOAK_SEEDS is N or N..M");
    (number(first)..=number(last)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_soak() {
    for seed in seeds(REGRESSION_SEEDS) {
        run_seed(seed).await;
    }
}
