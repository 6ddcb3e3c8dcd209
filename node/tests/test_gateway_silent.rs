//! Connections that stop carrying data for good, without a reset, while new connections work.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// The deadline of plain calls in these tests.
const CALL_DEADLINE: Duration = Duration::from_millis(1_500);
/// Concurrent calls after which a node has as many idle connections to each replica as it keeps.
const WARM_UP_CALLS: usize = 24;
/// Longer than the short delay after which a connection is reused once its response was received.
const REUSE_DELAY: Duration = Duration::from_millis(60);
/// Callers abandon a stream after this long without an event.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The longest time until a store change reaches a node whose old connections are silent: a few pulses,
/// each of which shows within half a second whether the store responds.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(5);
/// The longest duration of a watch plus some seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(40);
/// The prefix of the timer field in `/proc/net/tcp` for a socket whose next timer is a keep-alive probe.
const KEEP_ALIVE_TIMER: &str = "02:";

/// Starts a node whose replicas of plain calls are behind proxies, with idle connections to all of them.
async fn with_unused_connections(replicas: usize) -> (Gateway, Vec<RunningReplica>, Vec<FaultyProxy>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let (mut running, mut proxies) = (Vec::new(), Vec::new());
    for n in 1..=replicas {
        let replica = gateway.start_replica("booking", &format!("booking-{n}"), 1).await;
        proxies.push(gateway.put_proxy_before("booking", &replica).await);
        running.push(replica);
    }
    gateway.start_node();
    gateway.until_ready(0).await;
    let warm_up_calls =
        (0..WARM_UP_CALLS).map(|n| gateway.call(0, plain_request("/read/x", &format!("warm-{n}"))));
    for called in futures::future::join_all(warm_up_calls).await {
        assert_eq!(called.status, 200, "{}", gateway.logs());
    }
    tokio::time::sleep(REUSE_DELAY).await;
    (gateway, running, proxies)
}

fn plain_request(path: &str, id: &str) -> Request<http_body_util::Full<bytes::Bytes>> {
    let mut req = request("POST", path, KEY, id);
    let deadline = CALL_DEADLINE.as_millis().to_string().parse().expect("valid");
    req.headers_mut().insert("leadstage-deadline-ms", deadline);
    req
}

async fn timed_call(gateway: &Gateway, path: &str, id: &str) -> (CallResult, Duration) {
    let began = Instant::now();
    let called = gateway.call(0, plain_request(path, id)).await;
    (called, began.elapsed())
}

/// Guards against repeatable calls that wait on silent idle connections until their deadline, although a new
/// connection responds within some milliseconds: without a retry, three of the six calls end with 504 after
/// 1.5 s.
#[tokio::test]
async fn test_repeatable_calls_are_retried_after_silent_connections() {
    let (gateway, _replicas, proxies) = with_unused_connections(2).await;
    proxies.iter().for_each(FaultyProxy::silence_open_links);
    let mut rows = Vec::new();
    for n in 0..6 {
        let (called, took) = timed_call(&gateway, "/read/x", &format!("r-{n}")).await;
        rows.push((called.status, took < CALL_DEADLINE.mul_f64(0.7)));
    }
    assert_eq!(rows, vec![(200, true); 6], "statuses, and whether each call was in time\n{}", gateway.logs());
}

/// With a single replica, the call is retried there on a new connection.
#[tokio::test]
async fn test_a_call_is_retried_at_the_only_replica() {
    let (gateway, replicas, proxies) = with_unused_connections(1).await;
    proxies.iter().for_each(FaultyProxy::silence_open_links);
    let (called, _took) = timed_call(&gateway, "/read/x", "r-1").await;
    assert_eq!(called.status, 200, "{}", gateway.logs());
    let arrivals = replicas[0].replica.received_requests();
    let arrivals = arrivals.iter().filter(|seen| seen.header("leadstage-request-id") == Some("r-1"));
    assert_eq!(arrivals.count(), 1);
}

/// A call sent on a silent connection may have run, so a call that runs at most once is not retried and
/// fails. Guards against later calls that fail on the other silent connections to the same replica: without
/// this, three of the eight calls to two replicas fail.
#[tokio::test]
async fn test_one_silent_connection_retires_all_kept_connections_to_its_replica() {
    let (gateway, replicas, proxies) = with_unused_connections(2).await;
    proxies.iter().for_each(FaultyProxy::silence_open_links);
    let mut failed = 0;
    for n in 0..8 {
        let (called, _took) = timed_call(&gateway, "/book/x", &format!("r-{n}")).await;
        failed += usize::from(called.status != 200);
    }
    assert!(failed <= replicas.len(), "{failed} of 8 failed\n{}", gateway.logs());
    let seen: Vec<_> = replicas.iter().flat_map(|running| running.replica.received_requests()).collect();
    let ids: HashSet<_> = seen.iter().filter_map(|seen| seen.header("leadstage-request-id")).collect();
    assert_eq!(ids.len(), seen.len(), "no call is sent twice");
}

/// A replica that never responds on a kept connection is indistinguishable from a silent connection: the call
/// is sent to the other replica while there is time for its response.
#[tokio::test]
async fn test_calls_are_retried_at_another_replica_before_their_deadline() {
    let (gateway, replicas, _proxies) = with_unused_connections(2).await;
    replicas[0].replica.set_fault(ReplicaFault::Hangs);
    for n in 0..6 {
        let (called, _took) = timed_call(&gateway, "/read/x", &format!("r-{n}")).await;
        assert_eq!(called.status, 200, "{}", gateway.logs());
    }
}

/// Starts a node with two engines behind proxies, whose generations have `events` events.
async fn with_engines(events: u64) -> (Gateway, Vec<RunningReplica>, Vec<FaultyProxy>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let (mut models, mut proxies) = (Vec::new(), Vec::new());
    for id in ["model-1", "model-2"] {
        let running = gateway.start_replica("model", id, events).await;
        proxies.push(gateway.put_proxy_before("model", &running).await);
        models.push(running);
    }
    gateway.start_node();
    gateway.until_ready(0).await;
    (gateway, models, proxies)
}

/// Waits until a stream has run for a while, then silences all open connections to engines.
async fn silence_running_stream(gateway: &Gateway, models: &[RunningReplica], proxies: &[FaultyProxy]) {
    gateway.until("a generation runs", async || models.iter().any(|model| model.replica.running() > 0)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    proxies.iter().for_each(FaultyProxy::silence_open_links);
}

/// Returns the longest gap between two events of the node's only stream, from the node's log. A separate
/// thread writes the log, so the line may appear after the caller has received its response.
async fn longest_gap(gateway: &Gateway) -> Duration {
    gateway.until("the end of the stream is logged", async || gateway.log(0).contains("gap_ms=")).await;
    let log = gateway.log(0);
    let gap = log.split("gap_ms=").nth(1).and_then(|rest| rest.split_whitespace().next());
    gap.and_then(|gap| gap.parse().ok()).map(Duration::from_millis).expect("the gap is logged")
}

/// A stream's connection falls silent midway while its engine is healthy and continues the generation: a
/// resumable stream is resumed on the other engine before its caller abandons it.
#[tokio::test]
async fn test_a_resumable_stream_on_a_silent_connection_is_resumed_in_time() {
    let (gateway, models, proxies) = with_engines(60).await;
    let (called, ()) =
        tokio::join!(gateway.call(0, tag("r-1")), silence_running_stream(&gateway, &models, &proxies));
    assert!(called.whole && called.events() == Some(60), "{called:?}\n{}", gateway.logs());
    let gap = longest_gap(&gateway).await;
    assert!(gap < CALLER_TIMEOUT, "silent for {gap:?}\n{}", gateway.logs());
}

/// The connection of a non-resumable stream falls silent midway, while the device that drops its bytes still
/// acknowledges them. Guards against waiting for the lost events until the route's timeout: 19 of 200 events
/// reach the caller, and its stream breaks after 8.0 s, although a new connection to the engine works and a
/// copy of the generation's KV cache memory counts as the same run.
#[tokio::test]
async fn test_a_non_resumable_stream_is_moved_off_a_silent_connection() {
    let (gateway, models, proxies) = with_engines(200).await;
    let (called, ()) =
        tokio::join!(gateway.call(0, chat("r-1")), silence_running_stream(&gateway, &models, &proxies));
    assert!(called.whole && called.events() == Some(200), "{called:?}\n{}", gateway.logs());
    let gap = longest_gap(&gateway).await;
    assert!(gap < CALLER_TIMEOUT, "silent for {gap:?}\n{}", gateway.logs());
    let seen: Vec<_> = models.iter().flat_map(|model| model.replica.received_requests()).collect();
    let fresh = seen.iter().filter(|seen| seen.header("kv-from").is_none()).count();
    assert_eq!(fresh, 1, "a generation starts once");
    let used = models.iter().filter(|model| !model.replica.received_requests().is_empty()).count();
    assert_eq!(used, 1, "the generation continues where it ran: the other engine may be full");
    let running: usize = models.iter().map(|model| model.replica.running()).sum();
    assert_eq!(running, 0, "no engine still runs the generation");
}

/// An engine that produces no events for a while because it is busy or slow looks like a silent connection.
/// Its generation is not moved: a move costs bandwidth and memory of the other engine, and the caller gains
/// nothing.
#[tokio::test]
async fn test_a_stream_whose_engine_stalls_is_not_moved() {
    let (gateway, models, _proxies) = with_engines(200).await;
    gateway.engines.set_stream_faults([StreamFault::StallsAfter(20)]);
    let leaving = tokio::time::timeout(CALLER_TIMEOUT, gateway.call(0, chat("r-1"))).await;
    assert!(leaving.is_err(), "{leaving:?}\n{}", gateway.logs());
    let copies: usize = models.iter().map(|model| model.replica.copy_calls()).sum();
    assert_eq!(copies, 0, "{}", gateway.logs());
}

/// The connection of a waiting store watch falls silent, while the pulse opens a new connection and finds
/// the store healthy. Guards against store changes that arrive only when the watch ends by itself: a
/// configuration is then in force 30.8 s after it was stored.
#[tokio::test]
async fn test_store_changes_arrive_although_a_watch_is_silent() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _replica = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    gateway.start_node_at(proxy.address);
    gateway.until_ready(0).await;
    gateway.until("the node watches the store", async || gateway.log(0).contains("event=store_watch")).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    proxy.silence_open_links();
    let mut new_config = config(2);
    new_config["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", new_config);
    let put = Instant::now();
    while gateway.status_of(0, "/read/x", "key-b").await != 200 && put.elapsed() < WATCH_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(put.elapsed() < MAX_UPDATE_DELAY, "in force after {:?}\n{}", put.elapsed(), gateway.logs());
}

/// Formats an address as in `/proc/net/tcp`.
fn proc_net_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address");
    };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Returns whether the kernel will send keep-alive probes on the server's socket of a connection.
fn has_keep_alive_timer(server: SocketAddr, client: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
    let endpoints = format!("{} {} ", proc_net_address(server), proc_net_address(client));
    let line = table.lines().find(|line| line.contains(&endpoints)).expect("the connection is open");
    line.split_whitespace().any(|word| word.starts_with(KEEP_ALIVE_TIMER))
}

/// Connections from callers, the balancer, operators and other nodes may fall silent for good. Guards against
/// ports without keep-alive probes, whose silent connections stay open and hold descriptors until the process
/// ends: those of the balancer, the nodes and the operators, which respond from local state.
#[tokio::test]
async fn test_every_port_sends_keep_alive_probes() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let ports = [
        ("callers", gateway.client_address(0)),
        ("balancer", gateway.ready(0)),
        ("peers", gateway.peer(0)),
        ("metrics", gateway.metrics(0)),
    ];
    let mut probed = Vec::new();
    for (port, address) in ports {
        let stream = TcpStream::connect(&address).await.expect("the port listens");
        tokio::time::sleep(REUSE_DELAY).await;
        let endpoints = (stream.peer_addr().expect("open"), stream.local_addr().expect("open"));
        probed.push((port, has_keep_alive_timer(endpoints.0, endpoints.1)));
    }
    let all = ["callers", "balancer", "peers", "metrics"].map(|port| (port, true));
    assert_eq!(probed, all);
}
