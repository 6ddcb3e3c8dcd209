//! A randomized soak of the gateway: real nodes, faults from outside in series and
//! overlapping, and the promises checked from what callers and replicas see.
//!
//! A seed fixes the schedule. CI plays [`REGRESSIONS`]; more seeds by hand:
//! `LEADSTAGE_SOAK_SEEDS=1..50 cargo test --release -p leadstage-node --test runner soak`.
//! `LEADSTAGE_SOAK_NODES=100` plays them with as many nodes; 3 by default. A failed run prints
//! its seed and the nodes' logs.

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
use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::gateway_replica::ReplicaFault;
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

/// Seeds that CI plays: the first, and each that ever failed with a line on its cause.
const REGRESSIONS: &[u64] = &[1];
/// Nodes of the fleet by default.
const NODES: usize = 3;
/// Engines, and clients of each kind.
const ENGINES: usize = 4;
const STREAM_CLIENTS: usize = 6;
const CALL_CLIENTS: usize = 4;
const TAG_CLIENTS: usize = 3;
/// Attempts of one caller whose stream may be resumed, and engines that each may be sent to.
const TAG_ATTEMPTS: u64 = 3;
/// Events of a generation.
const EVENTS: u64 = 60;
/// How long faults come.
const FAULTS_FOR: Duration = Duration::from_secs(5);

/// What a caller saw of a request.
struct Seen {
    id: String,
    /// The last event that it had from earlier attempts.
    from: u64,
    called: CallResult,
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    Streams,
    Calls,
    /// Streams that may be resumed: it comes back after a break.
    Tags,
}

/// What all callers saw.
type Log = Arc<Mutex<Vec<Seen>>>;

/// Replicas that ever ran; what they saw is looked at in the end.
type Replicas = Vec<Arc<GatewayReplica>>;

struct Soak {
    gateway: Gateway,
    rng: SmallRng,
    engines: Vec<RunningReplica>,
    bookings: Vec<RunningReplica>,
    ever: Replicas,
    proxy: FaultyProxy,
    started: usize,
    version: u64,
    /// The random numbers of what replicas say and the store goes through.
    words: SmallRng,
    /// What the store may come back from.
    copy: Option<Copy>,
}

impl Soak {
    async fn start(seed: u64) -> Soak {
        let (mut gateway, bookings, engines) = Gateway::with_replicas(ENGINES).await;
        let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
        for _ in 1..nodes() {
            let node = gateway.start_node_at(proxy.address);
            gateway.until_ready(node).await;
        }
        let ever = bookings.iter().chain(&engines).map(|running| running.replica.clone()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let words = SmallRng::seed_from_u64(!seed);
        Soak { gateway, rng, engines, bookings, ever, proxy, started: ENGINES, version: 1, words, copy: None }
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// One fault; some last beyond the next.
    async fn strike(&mut self) {
        let node = self.pick(nodes());
        match self.pick(14) {
            0 => self.gateway.signal(node, "-TERM"),
            1 => self.gateway.kill(node),
            2 => {
                self.gateway.signal(node, "-STOP");
                let pause = self.millis(50, 900);
                tokio::time::sleep(pause).await;
                self.gateway.signal(node, "-CONT");
            }
            3 => self.gateway.signal(node, "-HUP"),
            4 => {
                let at = self.pick(self.engines.len());
                self.gateway.drain(MODEL, &self.engines[at]);
            }
            5 => {
                let at = self.pick(self.engines.len());
                self.replace_engine(at).await;
            }
            6 => self.gateway.store.set_fault(StoreFault::Refuses),
            7 => self.gateway.store.set_fault(StoreFault::ForgetsHistory),
            8 => self.gateway.store.set_fault(StoreFault::None),
            9 => {
                self.version += 1;
                self.gateway.store.put("config", "main", config(self.version));
            }
            10 => {
                let faults = [
                    CopyFault::NoRoom,
                    CopyFault::StopHangs,
                    CopyFault::ResumeFails,
                    CopyFault::CopyHangs,
                    CopyFault::None,
                ];
                let (at, fault) = (self.pick(ENGINES), faults[self.pick(faults.len())]);
                self.engines[at].replica.set_copy_fault(fault);
            }
            11 => {
                let after = self.pick(EVENTS as usize) as u64;
                let faults = [
                    StreamFault::BreaksAfter(after),
                    StreamFault::BreaksInside(after),
                    StreamFault::StallsAfter(after),
                    StreamFault::NoHead,
                    StreamFault::Fails,
                    StreamFault::StartsOver,
                ];
                let count = 1 + self.pick(4);
                let chosen: Vec<StreamFault> = (0..count).map(|_| faults[self.pick(faults.len())]).collect();
                self.gateway.engines.set_stream_faults(chosen);
            }
            12 => {
                let faults = [
                    ReplicaFault::Breaks,
                    ReplicaFault::CutsBody,
                    ReplicaFault::ForeignAnswer,
                    ReplicaFault::ForgetsConnections,
                    ReplicaFault::None,
                ];
                let (at, fault) = (self.pick(ENGINES), faults[self.pick(faults.len())]);
                self.bookings[at].replica.set_fault(fault);
            }
            _ => {
                let delay = self.millis(5, 200);
                let faults = [
                    LinkFault::Delay(delay),
                    LinkFault::Reset,
                    LinkFault::OneWay,
                    LinkFault::Silent,
                    LinkFault::None,
                ];
                let fault = faults[self.pick(faults.len())];
                self.proxy.set(fault);
            }
        }
        self.restart_ended();
    }

    /// Beside the faults: an engine says in its answers that it leaves, a plain replica turns requests away and asks for
    /// rest, the store comes back from a copy.
    fn say(&mut self) {
        let at = self.words.random_range(0..ENGINES);
        match self.words.random_range(0..10) {
            0 => self.engines[at].replica.set_leaving(Some("1")),
            1 => {
                self.bookings[at].replica.set_rest(Some("0.4"));
                self.bookings[at].replica.set_fault(ReplicaFault::NotRun);
            }
            2 => match self.copy.take() {
                Some(copy) => self.come_back_from(copy),
                None => self.copy = Some(self.gateway.store.copy()),
            },
            _ => {}
        }
    }

    /// The operator and the replicas write again what they wrote since, and what is gone goes again.
    fn come_back_from(&mut self, copy: Copy) {
        self.gateway.store.come_back_from(copy);
        self.gateway.store.put("config", "main", config(self.version));
        self.bookings.iter().for_each(|running| self.gateway.write_entry(BOOKING, running, "ready"));
        self.engines.iter().for_each(|running| self.gateway.write_entry(MODEL, running, "ready"));
        let lives =
            |name: &str| self.bookings.iter().chain(&self.engines).any(|running| running.replica.id == name);
        let gone = self.gateway.store.names("servers").into_iter().filter(|name| !lives(name));
        gone.for_each(|name| self.gateway.store.delete("servers", &name));
    }

    /// An engine dies without a word, and another one comes.
    async fn replace_engine(&mut self, at: usize) {
        self.started += 1;
        let id = format!("model-{}", self.started);
        let gone =
            std::mem::replace(&mut self.engines[at], self.gateway.start_replica(MODEL, &id, EVENTS).await);
        self.gateway.store.delete("servers", &gone.replica.id);
        self.ever.push(self.engines[at].replica.clone());
    }

    /// The platform starts a process that ended again.
    fn restart_ended(&mut self) {
        for node in 0..nodes() {
            if self.gateway.ended(node).is_some() {
                self.gateway.restart_node(node);
            }
        }
    }

    /// Ends all faults and waits until every node serves.
    async fn recover(&mut self) {
        self.gateway.store.set_fault(StoreFault::None);
        self.proxy.set(LinkFault::None);
        self.gateway.engines.set_stream_faults([]);
        self.bookings.iter().for_each(|running| running.replica.set_fault(ReplicaFault::None));
        // Engines that were told to leave are replaced.
        for at in 0..self.engines.len() {
            self.replace_engine(at).await;
        }
        let deadline = Instant::now() + Duration::from_secs(40);
        for node in 0..nodes() {
            loop {
                self.restart_ended();
                let status = self.gateway.status_of(node, "/read/x?after", KEY).await;
                if status == 200 && self.gateway.ready_status(node).await == 200 {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "node {node} does not serve again\n{}",
                    self.gateway.logs()
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Asks again and again through random nodes until the end.
async fn client(front: Vec<String>, name: String, seed: u64, until: Instant, asks: Asks, log: Log) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let mut from = 0;
        for attempt in 0..if asks == Asks::Tags { TAG_ATTEMPTS } else { 1 } {
            let id = format!("{name}-{n}-{attempt}");
            let node = &front[rng.random_range(0..front.len())];
            let called = crate::gateway_environment::call(node, ask(asks, &id, from)).await;
            let last = called.last_event_after(from).filter(|_| called.status == 200);
            let is_whole = called.whole && called.status == 200;
            log.lock().expect("no holder panics").push(Seen { id, from, called });
            if is_whole {
                break;
            }
            from = last.unwrap_or(from);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

fn ask(asks: Asks, id: &str, from: u64) -> Request<Full<Bytes>> {
    match asks {
        Asks::Streams => chat(id),
        Asks::Calls => request("POST", &format!("/book/x?{id}"), KEY, id),
        Asks::Tags => {
            let mut req = tag(id);
            if from > 0 {
                req.headers_mut().insert("last-event-id", from.to_string().parse().expect("valid"));
            }
            req
        }
    }
}

/// The promises, from what callers and replicas saw.
fn check(seed: u64, log: &[Seen], ever: &Replicas) -> Result<BTreeMap<u16, usize>, String> {
    let mut arrivals: BTreeMap<String, usize> = BTreeMap::new();
    // Whatever a replica turned away has not run there.
    let mut turned_away: BTreeMap<String, usize> = BTreeMap::new();
    for replica in ever {
        for id in replica.turned_away() {
            *turned_away.entry(id).or_default() += 1;
        }
    }
    for seen in ever.iter().flat_map(|replica| replica.seen()) {
        if seen.header("kv-from").is_none()
            && let Some(id) = seen.header("leadstage-request-id")
        {
            *arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }
    let mut statuses = BTreeMap::new();
    for Seen { id, from, called } in log {
        *statuses.entry(called.status).or_default() += 1;
        let arrived = arrivals.get(id).copied().unwrap_or(0) - turned_away.get(id).copied().unwrap_or(0);
        let fail =
            |what: &str| Err(format!("seed {seed}: {id}: {what}: {called:?}, arrived {arrived} times"));
        let most = if id.starts_with("tag") { TAG_ATTEMPTS as usize } else { 1 };
        if arrived > most {
            return fail("ran more often than it may");
        }
        if matches!(called.status, 408 | 421 | 429 | 503) && arrived > 0 {
            return fail("said not to have run");
        }
        if called.status == 200 && !id.starts_with("call") {
            let Some(last) = called.last_event_after(*from) else {
                return fail("not just its events");
            };
            if called.whole != (last == EVENTS) {
                return fail("whole, or not, against its events");
            }
        }
        if called.status == 200 && id.starts_with("call") && called.whole && !called.body.ends_with(id) {
            return fail("another request's answer");
        }
    }
    Ok(statuses)
}

async fn play(seed: u64) {
    let mut soak = Soak::start(seed).await;
    let fronts: Vec<String> = (0..nodes()).map(|node| soak.gateway.client_address(node)).collect();
    let until = Instant::now() + FAULTS_FOR;
    let log = Log::default();
    let mut clients = tokio::task::JoinSet::new();
    let kinds = [
        (Asks::Streams, "stream", STREAM_CLIENTS),
        (Asks::Calls, "call", CALL_CLIENTS),
        (Asks::Tags, "tag", TAG_CLIENTS),
    ];
    for (asks, kind, count) in kinds {
        for n in 0..count {
            let own_seed = seed ^ (clients.len() as u64) << 32;
            clients.spawn(client(fronts.clone(), format!("{kind}{n}"), own_seed, until, asks, log.clone()));
        }
    }
    while Instant::now() < until {
        soak.strike().await;
        soak.say();
        let pause = soak.millis(40, 350);
        tokio::time::sleep(pause).await;
    }
    soak.recover().await;
    clients.join_all().await;
    let log = log.lock().expect("no holder panics");
    match check(seed, &log, &soak.ever) {
        Ok(statuses) => println!("seed {seed}: {} requests by status {statuses:?}", log.len()),
        Err(broken) => panic!("{broken}\n{}", soak.gateway.logs()),
    }
}

fn nodes() -> usize {
    let nodes = std::env::var("LEADSTAGE_SOAK_NODES").ok();
    nodes.map_or(NODES, |text| text.parse().expect("LEADSTAGE_SOAK_NODES is a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("LEADSTAGE_SOAK_SEEDS") else {
        return REGRESSIONS.to_vec();
    };
    let (first, last) = text.split_once("..").unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("LEADSTAGE_SOAK_SEEDS is N or N..M");
    (number(first)..=number(last)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_soak() {
    for seed in seeds() {
        play(seed).await;
    }
}
