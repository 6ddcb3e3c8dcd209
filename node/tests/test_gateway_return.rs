//! A fleet whose nodes are all killed and started again, beside faults of the store, the replicas and the
//! callers: it serves in time once all are back.
//!
//! CI plays three of [`plays`]. `LEADSTAGE_RETURN_PLAYS=NAME,NAME` (or `all`) chooses what `test_chosen_returns`
//! plays, `LEADSTAGE_RETURN_NODES=9` sets the number of nodes (default 3), and with `LEADSTAGE_RETURN_LOGS=1` the
//! starts are printed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::metadata_store::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::book;
use crate::gateway_environment::call;
use crate::gateway_environment::large_config;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;

/// Time from the return of all machines and the store within which callers are served.
const RECOVERY: Duration = Duration::from_secs(12);
/// Length of the spans in which served requests are counted.
const SPAN: Duration = Duration::from_millis(500);
/// Time that the fleet is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// Time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of nodes unless `LEADSTAGE_RETURN_NODES` is set. The first three are the seeds.
const DEFAULT_NODES: usize = 3;
/// Replicas of each service.
const REPLICAS: usize = 6;
/// Number of events of a generation.
const EVENTS: u64 = 10;

/// What happens beside the return of the nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Play {
    name: &'static str,
    routes: usize,
    callers: usize,
    /// What the store's links do from before the kill, and for how long after the return of the nodes.
    store: Option<(LinkFault, Duration)>,
    /// Time that the store takes for a call from before the kill on.
    store_delay: Duration,
    /// The store's links that are open when that ends stay silent for good.
    loses_links: bool,
    /// The store refuses all calls until so long after the return.
    refuses: Option<Duration>,
    replicas: Replicas,
    /// Time from the return of the nodes to that of the replicas; 0 if they are back before the nodes.
    replicas_after: Duration,
    /// Time between the starts of two nodes; the seeds start last.
    apart: Duration,
    /// Number of returns in a row.
    returns: usize,
    /// The connections to the store and the replicas that are open so long after the return go silent.
    silence: Option<Duration>,
}

/// What happens to the replicas.
#[derive(Clone, Copy, Debug, Default)]
enum Replicas {
    #[default]
    Stay,
    /// They end with the nodes, and others start.
    New,
    /// They end with the nodes, and start again elsewhere.
    SameIds,
    /// As `New`, and slow at first.
    Cold,
}

const DEFAULT: Play = Play {
    name: "plain",
    routes: 0,
    callers: 60,
    store: None,
    store_delay: Duration::ZERO,
    loses_links: false,
    refuses: None,
    replicas: Replicas::Stay,
    replicas_after: Duration::ZERO,
    apart: Duration::ZERO,
    returns: 1,
    silence: None,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn plays() -> Vec<Play> {
    let silent = |ms| Some((LinkFault::Silent, MS(ms)));
    vec![
        DEFAULT,
        Play { name: "silent", store: silent(4_000), ..DEFAULT },
        Play { name: "silent-long", store: silent(9_000), ..DEFAULT },
        Play { name: "silent-lost", store: silent(4_000), loses_links: true, ..DEFAULT },
        Play { name: "silent-lost-8", store: silent(8_000), loses_links: true, ..DEFAULT },
        Play {
            name: "silent-lost-new",
            store: silent(4_000),
            loses_links: true,
            replicas: Replicas::New,
            ..DEFAULT
        },
        Play { name: "one-way", store: Some((LinkFault::OneWay, MS(5_000))), ..DEFAULT },
        Play { name: "silent-new", store: silent(4_000), replicas: Replicas::New, ..DEFAULT },
        Play { name: "late-store", refuses: Some(MS(2_000)), ..DEFAULT },
        Play { name: "late-store-new", refuses: Some(MS(2_000)), replicas: Replicas::New, ..DEFAULT },
        Play { name: "slow-250", store_delay: MS(250), routes: 1_400, ..DEFAULT },
        Play { name: "slow-900", store_delay: MS(900), routes: 1_400, ..DEFAULT },
        Play { name: "slow-1300", store_delay: MS(1300), ..DEFAULT },
        Play { name: "slow-1300-routes", store_delay: MS(1300), routes: 1_400, ..DEFAULT },
        Play { name: "slow-3000", store_delay: MS(3000), ..DEFAULT },
        Play {
            name: "throttled",
            store: Some((LinkFault::Throttle(100_000), MS(60_000))),
            routes: 1_400,
            ..DEFAULT
        },
        Play { name: "routes", routes: 1_400, ..DEFAULT },
        Play { name: "new", replicas: Replicas::New, ..DEFAULT },
        Play { name: "same-ids", replicas: Replicas::SameIds, ..DEFAULT },
        Play { name: "cold", replicas: Replicas::Cold, ..DEFAULT },
        Play { name: "new-late", replicas: Replicas::New, replicas_after: MS(700), ..DEFAULT },
        Play { name: "same-ids-late", replicas: Replicas::SameIds, replicas_after: MS(700), ..DEFAULT },
        Play { name: "cold-late", replicas: Replicas::Cold, replicas_after: MS(700), ..DEFAULT },
        Play { name: "crowd", callers: 300, ..DEFAULT },
        Play { name: "crowd-cold", callers: 300, replicas: Replicas::Cold, ..DEFAULT },
        Play { name: "crowd-apart", callers: 300, apart: MS(600), ..DEFAULT },
        Play { name: "apart-300", apart: MS(300), ..DEFAULT },
        Play { name: "apart-1000", apart: MS(1_000), replicas: Replicas::New, ..DEFAULT },
        Play { name: "thrice", returns: 3, ..DEFAULT },
        Play { name: "thrice-silent", returns: 3, store: silent(2_500), ..DEFAULT },
        Play { name: "silence-300", silence: Some(MS(300)), ..DEFAULT },
        Play { name: "silence-1500", silence: Some(MS(1_500)), routes: 1_400, ..DEFAULT },
        Play { name: "silence-100-new", silence: Some(MS(100)), replicas: Replicas::New, ..DEFAULT },
    ]
}

/// A request as its caller saw it.
struct Sample {
    node: usize,
    sent: Instant,
    status: u16,
    served: bool,
}

type Samples = Arc<Mutex<Vec<Sample>>>;

/// The fleet of a play.
struct Fleet {
    gateway: Gateway,
    store: FaultyProxy,
    running: Vec<(&'static str, RunningReplica, FaultyProxy)>,
    started: usize,
}

impl Fleet {
    async fn start(play: &Play) -> Fleet {
        let mut gateway = Gateway::start().await;
        let store = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
        gateway.store.put("config", "main", large_config(1, play.routes));
        for _ in 0..nodes() {
            let address = store.address;
            let default = gateway.store_address();
            gateway.start_node_with(|text| {
                with_three_seeds(text).replace(&format!("store: {default}"), &format!("store: {address}"))
            });
        }
        let mut fleet = Fleet { gateway, store, running: Vec::new(), started: 0 };
        fleet.start_replicas(Duration::ZERO, Replicas::New).await;
        for node in 0..nodes() {
            fleet.gateway.until_ready(node).await;
        }
        fleet
    }

    async fn start_replicas(&mut self, cold: Duration, ids: Replicas) {
        if !matches!(ids, Replicas::SameIds) {
            self.started += 1;
        }
        for service in [BOOKING, MODEL] {
            for n in 0..REPLICAS {
                let id = format!("{service}-{}-{n}", self.started);
                let replica = self.gateway.start_cold_replica(service, &id, EVENTS, cold).await;
                let proxy = self.gateway.put_proxy_before(service, &replica).await;
                self.running.push((service, replica, proxy));
            }
        }
    }

    async fn kill_all(&mut self, replicas: Replicas) {
        for node in 0..nodes() {
            self.gateway.kill(node);
        }
        if !matches!(replicas, Replicas::Stay) {
            for (_, replica, _) in self.running.drain(..) {
                self.gateway.store.delete("servers", &replica.replica.id);
            }
        }
    }

    async fn return_all(&mut self, play: &Play) {
        if play.replicas_after.is_zero() {
            self.return_replicas(play).await;
        }
        // The seeds are the first three.
        for node in (0..nodes()).rev() {
            self.gateway.restart_node(node);
            tokio::time::sleep(play.apart).await;
        }
        if !play.replicas_after.is_zero() {
            tokio::time::sleep(play.replicas_after).await;
            self.return_replicas(play).await;
        }
    }

    async fn return_replicas(&mut self, play: &Play) {
        match play.replicas {
            Replicas::Stay => {}
            Replicas::Cold => self.start_replicas(Duration::from_secs(3), play.replicas).await,
            Replicas::New | Replicas::SameIds => self.start_replicas(Duration::ZERO, play.replicas).await,
        }
    }

    fn silence(&self) {
        self.store.silence_open_links();
        self.running.iter().for_each(|(_, _, proxy)| proxy.silence_open_links());
    }
}

fn with_three_seeds(settings: String) -> String {
    let seeds = settings.lines().find(|line| line.starts_with("seeds:")).expect("a list of seeds");
    let first = seeds.split('\'').nth(1).expect("node 0");
    let others = [".12:", ".13:"].map(|end| first.replace(".11:", end));
    settings.replace(seeds, &format!("seeds: ['{first}', '{}', '{}']", others[0], others[1]))
}

/// Calls random nodes until the play is over.
async fn caller(addresses: Vec<String>, number: usize, is_over: Arc<AtomicBool>, samples: Samples) {
    let mut rng = SmallRng::seed_from_u64(number as u64);
    let mut n = 0;
    while !is_over.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("c{number}-{n}");
        let node = rng.random_range(0..addresses.len());
        let req = match rng.random_range(0..3) {
            0 => read(&id),
            1 => book(&id),
            _ => tag(&id),
        };
        let sent = Instant::now();
        let called = tokio::time::timeout(CALLER_TIMEOUT, call(&addresses[node], req)).await.ok();
        let status = called.as_ref().map_or(0, |called| called.status);
        let served = called.is_some_and(|called| called.status == 200 && called.whole);
        samples.lock().expect("no holder panics").push(Sample { node, sent, status, served });
        tokio::time::sleep(MS(rng.random_range(100..300))).await;
    }
}

/// When so large a part of the requests to some nodes is served from, in spans since `back`.
fn served_from(samples: &[Sample], node: Option<usize>, back: Instant, end: Instant, part: f64) -> Duration {
    let mut from = Duration::ZERO;
    let mut span = Duration::ZERO;
    while back + span + SPAN <= end {
        let of_span = samples.iter().filter(|sample| {
            node.is_none_or(|node| node == sample.node)
                && sample.sent >= back + span
                && sample.sent < back + span + SPAN
        });
        let (sent, served) =
            of_span.fold((0, 0), |(sent, served), s| (sent + 1, served + usize::from(s.served)));
        if (served as f64) < part * f64::from(sent) {
            from = span + SPAN;
        }
        span += SPAN;
    }
    from
}

/// Plays a return; returns whether callers are served in time, and all nodes run.
async fn run(play: Play) -> bool {
    let mut fleet = Fleet::start(&play).await;
    let addresses: Vec<String> = (0..nodes()).map(|node| fleet.gateway.client_address(node)).collect();
    let (samples, is_over) = (Samples::default(), Arc::new(AtomicBool::new(false)));
    let mut callers = JoinSet::new();
    for number in 0..play.callers {
        callers.spawn(caller(addresses.clone(), number, is_over.clone(), samples.clone()));
    }
    tokio::time::sleep(MS(1_000)).await;
    let killed = Instant::now();
    let mut back = killed;
    for _ in 0..play.returns {
        if let Some((fault, _)) = play.store {
            fleet.store.set(fault);
        }
        fleet.gateway.store.set_delay(play.store_delay);
        if play.refuses.is_some() {
            fleet.gateway.store.set_fault(StoreFault::Refuses);
        }
        fleet.kill_all(play.replicas).await;
        tokio::time::sleep(AWAY).await;
        fleet.return_all(&play).await;
        back = Instant::now();
        if let Some(after) = play.silence {
            tokio::time::sleep(after).await;
            fleet.silence();
        }
        if let Some((_, lasts)) = play.store.filter(|(_, lasts)| *lasts < MS(20_000)) {
            tokio::time::sleep(lasts).await;
            if play.loses_links {
                fleet.store.silence_open_links();
            }
            fleet.store.set(LinkFault::None);
            back = Instant::now();
        }
        if let Some(after) = play.refuses {
            tokio::time::sleep(after).await;
            fleet.gateway.store.set_fault(StoreFault::None);
            back = Instant::now();
        }
        tokio::time::sleep(MS(1_000)).await;
    }
    // Until all have served for some spans, or the time is over with some spans after it.
    loop {
        let now = Instant::now();
        let all_from = {
            let samples = samples.lock().expect("no holder panics");
            let from = |node| served_from(&samples, Some(node), back, now, 0.9);
            (0..nodes()).map(from).max().expect("some nodes")
        };
        if now > back + RECOVERY + CALLER_TIMEOUT + 4 * SPAN
            || now > back + all_from + 6 * SPAN + CALLER_TIMEOUT
        {
            break;
        }
        tokio::time::sleep(SPAN).await;
    }
    let end = Instant::now() - CALLER_TIMEOUT;
    is_over.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let samples = samples.lock().expect("no holder panics");
    let last = |part| {
        let from = |node| served_from(&samples, Some(node), back, end, part).as_millis();
        (0..nodes()).map(from).collect::<Vec<_>>()
    };
    let (quarter, nine) = (last(0.25), last(0.9));
    let all = [0.25, 0.9].map(|part| served_from(&samples, None, back, end, part).as_millis());
    let mut statuses = BTreeMap::<u16, usize>::new();
    samples.iter().filter(|s| s.sent >= back).for_each(|s| *statuses.entry(s.status).or_default() += 1);
    println!(
        "{}: quarter {} ms, nine tenths {} ms; by node {quarter:?}, {nine:?}; statuses {statuses:?}",
        play.name, all[0], all[1]
    );
    let bound = RECOVERY.as_millis();
    let in_time = quarter.iter().all(|from| *from <= bound);
    let all_run = (0..nodes()).all(|node| fleet.gateway.ended(node).is_none());
    if !in_time || !all_run {
        println!("{}: in time {in_time}, all run {all_run}\n{}", play.name, fleet.gateway.logs());
    }
    if std::env::var("LEADSTAGE_RETURN_LOGS").is_ok() {
        println!("{}", fleet.gateway.lines_with("event=serving"));
        println!("{}", fleet.gateway.lines_with("event=start_waits"));
        let mut codes = BTreeMap::<String, usize>::new();
        for line in fleet.gateway.lines_with("event=refused").lines() {
            let code = line.split_once("code=\"").and_then(|(_, rest)| rest.split(' ').next());
            *codes.entry(code.unwrap_or("none").to_owned()).or_default() += 1;
        }
        let before = samples.iter().filter(|s| s.sent < killed);
        let served = before.clone().filter(|s| s.served).count();
        println!("refused by code {codes:?}; before the kill {served} of {} served", before.count());
    }
    in_time && all_run
}

fn nodes() -> usize {
    let nodes = std::env::var("LEADSTAGE_RETURN_NODES").ok();
    nodes.map_or(DEFAULT_NODES, |text| text.parse().expect("LEADSTAGE_RETURN_NODES is a number"))
}

/// Plays the returns that are chosen by name.
async fn run_all(is_chosen: impl Fn(&str) -> bool) {
    let mut failed = Vec::new();
    for play in plays().into_iter().filter(|play| is_chosen(play.name)) {
        if !run(play).await {
            failed.push(play.name);
        }
    }
    assert_eq!(failed, Vec::<&str>::new(), "not served in time");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_fleet_returns_beside_a_store_that_takes_seconds_for_each_call() {
    run_all(|name| name == "slow-3000").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_fleet_returns_beside_new_replicas_and_a_store_that_loses_its_links() {
    run_all(|name| name == "silent-lost-new").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_fleet_returns_though_its_first_connections_fall_silent() {
    run_all(|name| name == "silence-300").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_chosen_returns() {
    let chosen = std::env::var("LEADSTAGE_RETURN_PLAYS").unwrap_or_default();
    run_all(|name| chosen == "all" || chosen.split(',').any(|chosen| chosen == name)).await;
}
