//! What still holds a configuration up on its way to a node, though another way is open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use leadstage_lib::gateway::config_text::ConfigText;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::loopback;
use leadstage_testutils::loopback::Body;
use leadstage_testutils::loopback::RequestHandler;
use leadstage_testutils::loopback::Server;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::StoreFault;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::time::Instant;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::config;
use crate::gateway_environment::large_config;
use crate::gateway_environment::tell_of_config;

const MOST_ROUTES: usize = 5_000;
const LAST_ROUTE: &str = "/more-4999/x";
/// What a node needs at most to take 5,000 routes from another one over a link that is free, beside
/// a busy machine.
const FREE_LINK_WITHIN: Duration = Duration::from_secs(3);

/// A node that serves version 1 and does not know the node that has version 2.
struct Lacking {
    gateway: Gateway,
    has: usize,
    lacks: usize,
    own_store: Arc<MetadataStore>,
    before_store: FaultyProxy,
    _servers: (RunningReplica, Server),
}

impl Lacking {
    async fn start() -> Lacking {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let booking = gateway.start_replica("booking", "booking-1", 1).await;
        let has = gateway.start_node();
        gateway.until_ready(has).await;
        let (own_store, server) = MetadataStore::start(&gateway.own_store_ip()).await;
        own_store.put("config", "main", config(1));
        let address = booking.server.as_ref().expect("it serves").address;
        own_store.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
        let before_store = FaultyProxy::start(&gateway.own_store_ip(), server.address).await;
        let lacks = gateway.start_lone_node_at(before_store.address);
        gateway.until_ready(lacks).await;
        // Past the time in which it listens first: it follows its store.
        tokio::time::sleep(Duration::from_secs(2)).await;
        gateway.store.put("config", "main", large_config(2, MOST_ROUTES));
        gateway.until("in force", async || gateway.log(has).contains("config_in_force version=2")).await;
        Lacking { gateway, has, lacks, own_store, before_store, _servers: (booking, server) }
    }

    fn peer(&self, node: usize) -> SocketAddr {
        self.gateway.peer(node).parse().expect("an address")
    }

    /// How long it takes until version 2 is in force while the node that has it says so; `None` if
    /// that takes longer than [`FREE_LINK_WITHIN`].
    async fn takes_from_the_other(&self) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < FREE_LINK_WITHIN {
            tell_of_config(self.peer(self.has), 2, 0, self.peer(self.lacks)).await;
            if self.gateway.log(self.lacks).contains("config_in_force version=2") {
                return Some(began.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }
}

/// A transfer that breaks off after some seconds goes on where it was: the node that hands out sends
/// less than twice the whole. What the other one counts can't show that: what it threw away and what
/// came in its place add up to the same.
#[tokio::test]
async fn test_the_rest_alone_is_sent_after_a_transfer_broke_off() {
    let lacking = Lacking::start().await;
    lacking.own_store.set_fault(StoreFault::Refuses);
    let between = FaultyProxy::start(&lacking.gateway.replicas_ip(), lacking.peer(lacking.has)).await;
    between.set(LinkFault::Throttle(30_000));
    tell_of_config(between.address, 2, 0, lacking.peer(lacking.lacks)).await;
    // Datagrams don't pass between: 2.3 s after it was told the node may take the other one for dead.
    tokio::time::sleep(Duration::from_secs(1)).await;
    between.set(LinkFault::Reset);
    let gateway = &lacking.gateway;
    gateway.until("it breaks off", async || gateway.log(lacking.lacks).contains("event=fetch_failed")).await;
    between.set(LinkFault::None);
    gateway
        .until("in force", async || gateway.log(lacking.lacks).contains("config_in_force version=2"))
        .await;
    let metrics = gateway.metrics(lacking.has);
    let req = Request::get("/metrics").header("host", "x").body(Default::default()).expect("valid");
    let metrics = call(&metrics, req).await.body;
    let sent = metrics.lines().find(|line| line.contains("what=\"handed out\"")).expect("a line");
    let sent: usize = sent.rsplit(' ').next().and_then(|bytes| bytes.parse().ok()).expect("a number");
    let whole = gateway.log(lacking.lacks);
    let whole = whole.lines().find(|line| line.contains("event=config_fetched")).expect("a line");
    let whole = whole.split_once(" bytes=").and_then(|(_, rest)| rest.split(' ').next()).expect("bytes");
    let whole: usize = whole.parse().expect("a number");
    assert!(sent < 2 * whole - 12_000, "{sent} bytes sent for {whole}\n{}", gateway.logs());
}

/// What the others measure against: nothing stands in the way.
#[tokio::test]
async fn test_a_large_configuration_comes_at_once_from_one_that_has_it() {
    let lacking = Lacking::start().await;
    lacking.own_store.set_fault(StoreFault::Refuses);
    let took = lacking.takes_from_the_other().await;
    assert!(took.is_some(), "{}", lacking.gateway.logs());
}

/// The first node that told hands its configuration over slowly; another one has it, too.
#[tokio::test]
async fn test_a_slow_node_does_not_keep_a_configuration_from_one_that_others_have() {
    let lacking = Lacking::start().await;
    lacking.own_store.set_fault(StoreFault::Refuses);
    let slow = FaultyProxy::start(&lacking.gateway.replicas_ip(), lacking.peer(lacking.has)).await;
    slow.set(LinkFault::Throttle(12_000));
    tell_of_config(slow.address, 2, 0, lacking.peer(lacking.lacks)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let took = lacking.takes_from_the_other().await;
    assert!(took.is_some(), "{}", lacking.gateway.logs());
}

/// Three nodes did not answer, so the store is read, over a small link; then a node is met that has
/// the configuration.
#[tokio::test]
async fn test_a_slow_read_of_the_store_does_not_keep_a_configuration_from_one_that_others_have() {
    let lacking = Lacking::start().await;
    lacking.before_store.set(LinkFault::Throttle(16_000));
    lacking.own_store.put("config", "main", large_config(2, MOST_ROUTES));
    let ip = lacking.gateway.replicas_ip();
    for port in 9..12 {
        let gone: SocketAddr = format!("{ip}:{port}").parse().expect("an address");
        tell_of_config(gone, 2, 0, lacking.peer(lacking.lacks)).await;
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let took = lacking.takes_from_the_other().await;
    assert!(took.is_some(), "{}", lacking.gateway.logs());
}

/// Six large configurations within two seconds over a link that takes three for each: all but the
/// first and the last may be left out.
#[tokio::test]
async fn test_a_watcher_that_lags_goes_on_to_the_newest_configuration() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(LinkFault::Throttle(350_000));
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for version in 2..=7 {
        gateway.store.put("config", "main", large_config(version, MOST_ROUTES));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let last = Instant::now();
    gateway.until("the last", async || gateway.log(node).contains("config_in_force version=7")).await;
    let took = last.elapsed();
    assert!(took < Duration::from_secs(10), "{took:?}\n{}", gateway.logs());
    assert!(!gateway.log(node).contains("event=store_lost kind=config"), "{}", gateway.logs());
}

/// A large configuration that came slowly, and none after it: it is not listed as well.
#[tokio::test]
async fn test_a_large_configuration_that_comes_alone_is_not_listed() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(Counting { store: gateway.store.clone(), lists: AtomicU64::new(0) });
    let server = loopback::serve(&gateway.own_store_ip(), counting.clone()).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), server.address).await;
    proxy.set(LinkFault::Throttle(350_000));
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = counting.lists.load(Ordering::Relaxed);
    gateway.store.put("config", "main", large_config(2, MOST_ROUTES));
    gateway.until("in force", async || gateway.log(node).contains("config_in_force version=2")).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let read = counting.lists.load(Ordering::Relaxed) - before;
    assert_eq!(read, 0, "read {read} times\n{}", gateway.logs());
    assert!(!gateway.log(node).contains("event=store_lost kind=config"), "{}", gateway.logs());
}

/// A node whose configuration another one can't read, as when a newer leadstaged has taken one that
/// an older does not know.
struct Unreadable {
    asked: AtomicU64,
}

impl RequestHandler for Unreadable {
    async fn handle(self: Arc<Self>, _req: Request<Bytes>) -> Response<Body> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let text = ConfigText::new(2, Bytes::from_static(b"{\"version\":2}"), None);
        let (edition, bytes) = text.encoded_for(0).expect("it can be compressed");
        Response::builder()
            .header("etag", edition.to_string())
            .body(loopback::full_body(bytes))
            .expect("valid")
    }
}

#[tokio::test]
async fn test_a_configuration_that_cannot_be_read_is_not_fetched_with_every_message() {
    let lacking = Lacking::start().await;
    let peer = Arc::new(Unreadable { asked: AtomicU64::new(0) });
    let server = loopback::serve(&lacking.gateway.replicas_ip(), peer.clone()).await;
    for _ in 0..60 {
        tell_of_config(server.address, 2, 0, lacking.peer(lacking.lacks)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let asked = peer.asked.load(Ordering::Relaxed);
    assert!((1..=8).contains(&asked), "{asked} times in 3 s\n{}", lacking.gateway.logs());
}

/// A node that has no place for a transfer and says when to come back.
struct Busy {
    asked: AtomicU64,
}

impl RequestHandler for Busy {
    async fn handle(self: Arc<Self>, _req: Request<Bytes>) -> Response<Body> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Response::builder()
            .status(503)
            .header("retry-after", "1.000")
            .body(loopback::full_body(""))
            .expect("valid")
    }
}

#[tokio::test]
async fn test_a_busy_node_is_asked_for_replicas_when_it_says() {
    let lacking = Lacking::start().await;
    let peer = Arc::new(Busy { asked: AtomicU64::new(0) });
    let server = loopback::serve(&lacking.gateway.replicas_ip(), peer.clone()).await;
    for _ in 0..60 {
        tell_of_config(server.address, 1, 1_000_000, lacking.peer(lacking.lacks)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let asked = peer.asked.load(Ordering::Relaxed);
    assert!((1..=4).contains(&asked), "{asked} times in 3 s\n{}", lacking.gateway.logs());
}

/// A node with a small link starts in a large fleet. The first that tells it of its configuration
/// stands still; the store works.
#[tokio::test]
async fn test_a_node_that_stands_still_does_not_hold_up_a_start() {
    const OTHERS: u16 = 300;
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let ip = gateway.replicas_ip();
    let still = FaultyProxy::start(&ip, gateway.store_address()).await;
    still.set(LinkFault::Silent);
    let node = gateway.start_node_with(|yaml| format!("{yaml}\nlink_mbps: 10\n"));
    let to: SocketAddr = gateway.peer(node).parse().expect("an address");
    gateway.until("its port is open", async || gateway.log(node).contains("event=start")).await;
    let began = Instant::now();
    // Others that have no configuration yet: the node is not one of the few that follow the store.
    for port in 0..OTHERS {
        tell_of_config(format!("{ip}:{}", 20_000 + port).parse().expect("an address"), 0, 0, to).await;
    }
    while began.elapsed() < Duration::from_millis(200) {
        tell_of_config(still.address, 1, 0, to).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Not by the log: of 300 nodes that are met at once some lines are left out.
    gateway.until("it serves", async || gateway.status_of(node, "/read/x", KEY).await == 200).await;
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}\n{}", gateway.logs());
}

/// A node that named a newer configuration is gone, and nobody has what it named.
#[tokio::test]
async fn test_a_node_that_is_gone_is_not_asked_and_denies_nothing_for_ever() {
    const GONE_WITHIN: Duration = Duration::from_secs(12);
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MOST_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(Counting { store: gateway.store.clone(), lists: AtomicU64::new(0) });
    let server = loopback::serve(&gateway.own_store_ip(), counting.clone()).await;
    let node = gateway.start_node_at(server.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let gone: SocketAddr = format!("{}:9", gateway.replicas_ip()).parse().expect("an address");
    tell_of_config(gone, 99, 0, gateway.peer(node).parse().expect("an address")).await;
    tokio::time::sleep(GONE_WITHIN).await;
    assert!(gateway.log(node).contains("liveness=Dead"), "{}", gateway.logs());
    let before = counting.lists.load(Ordering::Relaxed);
    tokio::time::sleep(GONE_WITHIN).await;
    let read = counting.lists.load(Ordering::Relaxed) - before;
    let status = gateway.status_of(node, "/nothing/x", KEY).await;
    assert_eq!((status, read), (404, 0), "{}", gateway.logs());
}

/// A store that counts how often its configurations are listed.
struct Counting {
    store: Arc<MetadataStore>,
    lists: AtomicU64,
}

impl RequestHandler for Counting {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let watches = req.uri().query().is_some_and(|query| query.contains("watch="));
        if req.uri().path() == "/v1/objects/config" && !watches {
            self.lists.fetch_add(1, Ordering::Relaxed);
        }
        self.store.clone().handle(req).await
    }
}

/// A watch that is cut goes on after the revision that it had; the configuration has not changed.
#[tokio::test]
async fn test_a_large_configuration_is_not_read_again_when_a_watch_is_cut() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MOST_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(Counting { store: gateway.store.clone(), lists: AtomicU64::new(0) });
    let server = loopback::serve(&gateway.own_store_ip(), counting.clone()).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), server.address).await;
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = counting.lists.load(Ordering::Relaxed);
    for _ in 0..4 {
        proxy.set(LinkFault::Reset);
        tokio::time::sleep(Duration::from_millis(50)).await;
        proxy.set(LinkFault::None);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
    let read = counting.lists.load(Ordering::Relaxed) - before;
    assert_eq!(gateway.status_of(node, LAST_ROUTE, KEY).await, 200);
    assert_eq!(read, 0, "read {read} times for 4 cuts\n{}", gateway.logs());
    let regained = gateway.log(node).matches("event=store_regained kind=config").count();
    assert_eq!(regained, 4, "each time before the next cut\n{}", gateway.logs());
}

/// A store that has no history for any watch is listed, but not without a pause: each list may have
/// 1 MB. Found by reading: nothing stood between the list and the next watch.
#[tokio::test]
async fn test_a_store_without_history_is_not_listed_without_end() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let node = gateway.start_node();
    gateway.until_ready(node).await;
    gateway.until("it watches", async || gateway.log(node).contains("event=store_watch")).await;
    gateway.store.set_fault(StoreFault::LosesHistory);
    let before = gateway.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Two kinds are listed and watched once a second, and pulses come beside them.
    let calls = gateway.store.calls() - before;
    assert!(calls <= 30, "{calls} calls in 3 s");
}
