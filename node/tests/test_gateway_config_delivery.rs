//! Faults that must not delay a configuration that a node can get from another source.

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
use crate::gateway_environment::send_config_announcement;

const MAX_ROUTES: usize = 5_000;
const LAST_ROUTE: &str = "/more-4999/x";
/// Maximum time in which a node fetches 5,000 routes from another node over an idle link, on a busy machine
/// too.
const MAX_FETCH_TIME: Duration = Duration::from_secs(3);

/// Two nodes that don't know each other: `source` has version 2 of the configuration, `outdated` serves
/// version 1.
struct NodePair {
    gateway: Gateway,
    source: usize,
    outdated: usize,
    own_store: Arc<MetadataStore>,
    store_proxy: FaultyProxy,
    _servers: (RunningReplica, Server),
}

impl NodePair {
    async fn start() -> NodePair {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let booking = gateway.start_replica("booking", "booking-1", 1).await;
        let source = gateway.start_node();
        gateway.until_ready(source).await;
        let (own_store, server) = MetadataStore::start(&gateway.own_store_ip()).await;
        own_store.put("config", "main", config(1));
        let address = booking.server.as_ref().expect("it serves").address;
        own_store.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
        let store_proxy = FaultyProxy::start(&gateway.own_store_ip(), server.address).await;
        let outdated = gateway.start_lone_node_at(store_proxy.address);
        gateway.until_ready(outdated).await;
        // After its start phase, in which it only receives messages, the node follows its store.
        tokio::time::sleep(Duration::from_secs(2)).await;
        gateway.store.put("config", "main", large_config(2, MAX_ROUTES));
        gateway.until("version 2", async || gateway.log(source).contains("config_in_force version=2")).await;
        NodePair { gateway, source, outdated, own_store, store_proxy, _servers: (booking, server) }
    }

    fn peer(&self, node: usize) -> SocketAddr {
        self.gateway.peer(node).parse().expect("an address")
    }

    /// How long it takes until version 2 is in force at the outdated node while the source keeps announcing
    /// it; `None` if that takes longer than [`MAX_FETCH_TIME`].
    async fn time_until_fetched(&self) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < MAX_FETCH_TIME {
            send_config_announcement(self.peer(self.source), 2, 0, self.peer(self.outdated)).await;
            if self.gateway.log(self.outdated).contains("config_in_force version=2") {
                return Some(began.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }
}

/// A transfer that breaks off after some seconds is resumed at the same offset, so that the serving node
/// sends less than twice the size of the configuration. The byte count of the fetching node can't show that:
/// it is the same if received bytes are discarded and fetched again.
#[tokio::test]
async fn test_an_interrupted_transfer_is_resumed() {
    let pair = NodePair::start().await;
    pair.own_store.set_fault(StoreFault::Refuses);
    let proxy = FaultyProxy::start(&pair.gateway.replicas_ip(), pair.peer(pair.source)).await;
    proxy.set(LinkFault::Throttle(30_000));
    send_config_announcement(proxy.address, 2, 0, pair.peer(pair.outdated)).await;
    // The proxy passes no datagrams: 2.3 s after the announcement the node may consider the other node dead.
    tokio::time::sleep(Duration::from_secs(1)).await;
    proxy.set(LinkFault::Reset);
    let gateway = &pair.gateway;
    gateway.until("fetch failure", async || gateway.log(pair.outdated).contains("event=fetch_failed")).await;
    proxy.set(LinkFault::None);
    gateway
        .until("version 2", async || gateway.log(pair.outdated).contains("config_in_force version=2"))
        .await;
    let metrics = gateway.metrics(pair.source);
    let req = Request::get("/metrics").header("host", "x").body(Default::default()).expect("valid");
    let metrics = call(&metrics, req).await.body;
    let sent = metrics.lines().find(|line| line.contains("what=\"handed out\"")).expect("a line");
    let sent: usize = sent.rsplit(' ').next().and_then(|bytes| bytes.parse().ok()).expect("a number");
    let log = gateway.log(pair.outdated);
    let line = log.lines().find(|line| line.contains("event=config_fetched")).expect("a line");
    let size = line.split_once(" bytes=").and_then(|(_, rest)| rest.split(' ').next()).expect("bytes");
    let size: usize = size.parse().expect("a number");
    assert!(sent < 2 * size - 12_000, "{sent} bytes sent for a size of {size}\n{}", gateway.logs());
}

/// The baseline of the other tests: no fault delays the transfer.
#[tokio::test]
async fn test_a_large_configuration_is_fetched_quickly_without_faults() {
    let pair = NodePair::start().await;
    pair.own_store.set_fault(StoreFault::Refuses);
    let took = pair.time_until_fetched().await;
    assert!(took.is_some(), "{}", pair.gateway.logs());
}

/// The first node that announces the configuration serves it slowly; another node has it, too.
#[tokio::test]
async fn test_a_slow_node_does_not_delay_a_configuration_that_other_nodes_have() {
    let pair = NodePair::start().await;
    pair.own_store.set_fault(StoreFault::Refuses);
    let slow = FaultyProxy::start(&pair.gateway.replicas_ip(), pair.peer(pair.source)).await;
    slow.set(LinkFault::Throttle(12_000));
    send_config_announcement(slow.address, 2, 0, pair.peer(pair.outdated)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let took = pair.time_until_fetched().await;
    assert!(took.is_some(), "{}", pair.gateway.logs());
}

/// Three nodes don't respond, so the store is read, over a slow link; then a node that has the configuration
/// announces it.
#[tokio::test]
async fn test_a_slow_store_read_does_not_delay_a_configuration_that_other_nodes_have() {
    let pair = NodePair::start().await;
    pair.store_proxy.set(LinkFault::Throttle(16_000));
    pair.own_store.put("config", "main", large_config(2, MAX_ROUTES));
    let ip = pair.gateway.replicas_ip();
    for port in 9..12 {
        let dead_node: SocketAddr = format!("{ip}:{port}").parse().expect("an address");
        send_config_announcement(dead_node, 2, 0, pair.peer(pair.outdated)).await;
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let took = pair.time_until_fetched().await;
    assert!(took.is_some(), "{}", pair.gateway.logs());
}

/// Six large configurations are written within two seconds, over a link that takes three seconds for each:
/// all but the first and the last may be skipped.
#[tokio::test]
async fn test_a_lagging_watcher_skips_to_the_newest_configuration() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(LinkFault::Throttle(350_000));
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for version in 2..=7 {
        gateway.store.put("config", "main", large_config(version, MAX_ROUTES));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let last = Instant::now();
    gateway.until("version 7", async || gateway.log(node).contains("config_in_force version=7")).await;
    let took = last.elapsed();
    assert!(took < Duration::from_secs(10), "{took:?}\n{}", gateway.logs());
    assert!(!gateway.log(node).contains("event=store_lost kind=config"), "{}", gateway.logs());
}

/// A large configuration that a watch received slowly, with none after it, is not read by a list request,
/// too.
#[tokio::test]
async fn test_a_large_configuration_that_a_watch_received_is_not_listed() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(CountingStore { store: gateway.store.clone(), lists: AtomicU64::new(0) });
    let server = loopback::serve(&gateway.own_store_ip(), counting.clone()).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), server.address).await;
    proxy.set(LinkFault::Throttle(350_000));
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = counting.lists.load(Ordering::Relaxed);
    gateway.store.put("config", "main", large_config(2, MAX_ROUTES));
    gateway.until("version 2", async || gateway.log(node).contains("config_in_force version=2")).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let lists = counting.lists.load(Ordering::Relaxed) - before;
    assert_eq!(lists, 0, "{lists} list requests\n{}", gateway.logs());
    assert!(!gateway.log(node).contains("event=store_lost kind=config"), "{}", gateway.logs());
}

/// A node whose configuration other nodes can't read, as when a newer leadstaged has accepted one that an
/// older one does not understand.
struct UnreadableConfigNode {
    requests: AtomicU64,
}

impl RequestHandler for UnreadableConfigNode {
    async fn handle(self: Arc<Self>, _req: Request<Bytes>) -> Response<Body> {
        self.requests.fetch_add(1, Ordering::Relaxed);
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
    let pair = NodePair::start().await;
    let peer = Arc::new(UnreadableConfigNode { requests: AtomicU64::new(0) });
    let server = loopback::serve(&pair.gateway.replicas_ip(), peer.clone()).await;
    for _ in 0..60 {
        send_config_announcement(server.address, 2, 0, pair.peer(pair.outdated)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let requests = peer.requests.load(Ordering::Relaxed);
    assert!((1..=8).contains(&requests), "{requests} requests in 3 s\n{}", pair.gateway.logs());
}

/// A node that has no capacity for a transfer and responds with `Retry-After`.
struct BusyNode {
    requests: AtomicU64,
}

impl RequestHandler for BusyNode {
    async fn handle(self: Arc<Self>, _req: Request<Bytes>) -> Response<Body> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Response::builder()
            .status(503)
            .header("retry-after", "1.000")
            .body(loopback::full_body(""))
            .expect("valid")
    }
}

#[tokio::test]
async fn test_replicas_are_requested_from_a_busy_node_only_after_its_retry_after() {
    let pair = NodePair::start().await;
    let peer = Arc::new(BusyNode { requests: AtomicU64::new(0) });
    let server = loopback::serve(&pair.gateway.replicas_ip(), peer.clone()).await;
    for _ in 0..60 {
        send_config_announcement(server.address, 1, 1_000_000, pair.peer(pair.outdated)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let requests = peer.requests.load(Ordering::Relaxed);
    assert!((1..=4).contains(&requests), "{requests} requests in 3 s\n{}", pair.gateway.logs());
}

/// A node with a slow link starts in a large fleet. The first node that announces a configuration to it does
/// not respond; the store works.
#[tokio::test]
async fn test_a_silent_node_does_not_delay_the_start_of_another() {
    const OTHERS: u16 = 300;
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let ip = gateway.replicas_ip();
    let silent = FaultyProxy::start(&ip, gateway.store_address()).await;
    silent.set(LinkFault::Silent);
    let node = gateway.start_node_with(|yaml| format!("{yaml}\nlink_mbps: 10\n"));
    let to: SocketAddr = gateway.peer(node).parse().expect("an address");
    gateway.until("its port is open", async || gateway.log(node).contains("event=start")).await;
    let began = Instant::now();
    // Other nodes have no configuration yet: the node is not one of the few that follow the store.
    for port in 0..OTHERS {
        send_config_announcement(format!("{ip}:{}", 20_000 + port).parse().expect("an address"), 0, 0, to)
            .await;
    }
    while began.elapsed() < Duration::from_millis(200) {
        send_config_announcement(silent.address, 1, 0, to).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The log can't be checked: when 300 nodes are discovered at once, some of its lines are dropped.
    gateway
        .until("the node serves requests", async || gateway.status_of(node, "/read/x", KEY).await == 200)
        .await;
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}\n{}", gateway.logs());
}

/// A node that announced a newer configuration is gone, and no other node has that configuration.
#[tokio::test]
async fn test_a_version_announced_by_a_dead_node_is_not_waited_for_forever() {
    const DETECTION_TIME: Duration = Duration::from_secs(12);
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MAX_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(CountingStore { store: gateway.store.clone(), lists: AtomicU64::new(0) });
    let server = loopback::serve(&gateway.own_store_ip(), counting.clone()).await;
    let node = gateway.start_node_at(server.address);
    gateway.until_ready(node).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let dead_node: SocketAddr = format!("{}:9", gateway.replicas_ip()).parse().expect("an address");
    send_config_announcement(dead_node, 99, 0, gateway.peer(node).parse().expect("an address")).await;
    tokio::time::sleep(DETECTION_TIME).await;
    assert!(gateway.log(node).contains("liveness=Dead"), "{}", gateway.logs());
    let before = counting.lists.load(Ordering::Relaxed);
    tokio::time::sleep(DETECTION_TIME).await;
    let lists = counting.lists.load(Ordering::Relaxed) - before;
    let status = gateway.status_of(node, "/nothing/x", KEY).await;
    assert_eq!((status, lists), (404, 0), "{}", gateway.logs());
}

/// A store that counts the list requests for its configurations.
struct CountingStore {
    store: Arc<MetadataStore>,
    lists: AtomicU64,
}

impl RequestHandler for CountingStore {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        let watches = req.uri().query().is_some_and(|query| query.contains("watch="));
        if req.uri().path() == "/v1/objects/config" && !watches {
            self.lists.fetch_add(1, Ordering::Relaxed);
        }
        self.store.clone().handle(req).await
    }
}

/// A watch whose connection is cut resumes after its last revision; the configuration has not changed.
#[tokio::test]
async fn test_a_large_configuration_is_not_read_again_when_a_watch_is_cut() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MAX_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let counting = Arc::new(CountingStore { store: gateway.store.clone(), lists: AtomicU64::new(0) });
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
    let lists = counting.lists.load(Ordering::Relaxed) - before;
    assert_eq!(gateway.status_of(node, LAST_ROUTE, KEY).await, 200);
    assert_eq!(lists, 0, "{lists} list requests for 4 cuts\n{}", gateway.logs());
    let regained = gateway.log(node).matches("event=store_regained kind=config").count();
    assert_eq!(regained, 4, "the store is regained once per cut\n{}", gateway.logs());
}

/// A store that has lost the history for all watches is listed, with a pause between the list requests: a
/// list response may have 1 MB. Without the pause, the next watch fails and the next list request
/// follows at once.
#[tokio::test]
async fn test_a_store_without_history_is_listed_at_a_limited_rate() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let node = gateway.start_node();
    gateway.until_ready(node).await;
    gateway
        .until("the node watches the store", async || gateway.log(node).contains("event=store_watch"))
        .await;
    gateway.store.set_fault(StoreFault::LosesHistory);
    let before = gateway.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Two kinds of objects are listed and watched once a second; availability checks come on top.
    let calls = gateway.store.calls() - before;
    assert!(calls <= 30, "{calls} calls in 3 s");
}
