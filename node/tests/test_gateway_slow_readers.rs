//! Callers and replicas that read slowly: a node buffers a bounded amount for them, and serves other callers
//! meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use leadstage_testutils::endless_server;
use leadstage_testutils::endless_server::EndlessServer;
use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;

/// Memory of the smallest VM in any deployment, in 10^6 bytes.
const MEMORY_MB: usize = 88;
const SLOW_CALLER_COUNT: usize = 300;
const ENGINES: usize = 12;
/// Calls that a replica answers without end at the same time.
const ENDLESS_CALL_COUNT: usize = 40;
/// Delay after which a refused caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Bytes that a slow caller reads per second.
const SLOW_BYTES_PER_SECOND: usize = 1_000;

/// Starts a fleet of one small node, whose plain service responds to `/read/` with `response_bytes` bytes,
/// and whose generations have events of `event_bytes` bytes.
async fn small_node(
    response_bytes: usize,
    event_bytes: usize,
) -> (Gateway, RunningReplica, Vec<RunningReplica>) {
    let mut gateway = Gateway::start().await;
    let mut config = config(1);
    config["limits"]["maxBodyBytes"] = 4_000_000.into();
    config["services"][1]["engine"]["kvCacheTokens"] = 10_000_000.into();
    gateway.store.put("config", "main", config);
    let booking = gateway.start_replica(BOOKING, "booking-1", 4).await;
    let long =
        PartialFault { fault: ReplicaFault::Long(response_bytes), every_nth: 1, prefix: "/read/".to_owned() };
    booking.replica.set_partial_fault(long);
    let mut models = Vec::new();
    for n in 0..ENGINES {
        let model = gateway.start_replica(MODEL, &format!("model-{n}"), 60).await;
        model.replica.set_padding(event_bytes);
        models.push(model);
    }
    let node = gateway.start_node_with(|yaml| format!("{yaml}memory_mb: {MEMORY_MB}\n"));
    gateway.until_ready(node).await;
    (gateway, booking, models)
}

/// Returns the resident memory of the node's process, in 10^6 bytes.
fn memory_mb(gateway: &Gateway) -> usize {
    gateway.memory_bytes(0, "VmRSS") / 1_000_000
}

/// Returns the number of buffered bytes in the node's metrics.
async fn held_bytes(gateway: &Gateway) -> usize {
    let metrics = call(&gateway.metrics(0), request("GET", "/metrics", "", "")).await;
    let line = metrics.body.lines().find(|line| line.starts_with("leadstage_gateway_held_bytes"));
    line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).map_or(0, |held| held as usize)
}

/// Runs a caller on a connection with a small receive window, which reads slowly for `duration` or until it
/// is refused. Returns the status line.
async fn slow_caller(address: String, req: String, duration: Duration) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small window");
    let mut stream = socket.connect(address.parse().expect("an address")).await.expect("the node accepts");
    stream.write_all(req.as_bytes()).await.expect("the request is sent");
    let mut buf = vec![0; SLOW_BYTES_PER_SECOND];
    let mut head = String::new();
    let until = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < until {
        match tokio::time::timeout_at(until, stream.read(&mut buf)).await {
            Ok(Ok(read)) if read > 0 => {
                if head.is_empty() {
                    head = String::from_utf8_lossy(&buf[..read]).lines().next().unwrap_or("").to_owned();
                }
                if head.contains(" 503 ") {
                    break;
                }
            }
            _ => break,
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    head
}

fn plain_request(n: usize) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: slow-{n}\r\nleadstage-deadline-ms: 8000\r\nauthorization: Token {KEY}\r\n\r\n"
    )
}

fn stream_request(n: usize) -> String {
    format!(
        "POST /chat/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: slow-{n}\r\nleadstage-deadline-ms: 8000\r\nauthorization: Token {KEY}\r\n\
         leadstage-model: m\r\nleadstage-token-usage: 10,20\r\nlength-hint: 20\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Runs a slow caller that retries as long as it is refused, because 300 concurrent streams are more than
/// engines on a busy machine prefill in time. Returns the last status line.
async fn retrying_slow_caller(address: String, req: String, duration: Duration) -> String {
    let until = tokio::time::Instant::now() + duration;
    loop {
        let remaining = until - tokio::time::Instant::now();
        let head = slow_caller(address.clone(), req.clone(), remaining).await;
        if !head.contains(" 503 ") || tokio::time::Instant::now() >= until {
            return head;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn retrying_slow_callers(
    gateway: &Gateway,
    make_request: fn(usize) -> String,
    duration: Duration,
) -> JoinSet<String> {
    let callers = (0..SLOW_CALLER_COUNT)
        .map(|n| retrying_slow_caller(gateway.client_address(0), make_request(n), duration));
    callers.collect()
}

fn slow_callers(gateway: &Gateway, make_request: fn(usize) -> String, duration: Duration) -> JoinSet<String> {
    let mut callers = JoinSet::new();
    for n in 0..SLOW_CALLER_COUNT {
        callers.spawn(slow_caller(gateway.client_address(0), make_request(n), duration));
    }
    callers
}

/// Unread responses fit into the bound on buffered bytes, so all callers are served.
#[tokio::test]
async fn test_callers_are_served_beside_slow_readers() {
    for (make_request, engines_are_free) in
        [(plain_request as fn(usize) -> String, true), (stream_request, false)]
    {
        // 40 kB each: 12 MB in total; requests are refused from 18 MB on.
        let (gateway, _booking, _models) = small_node(40_000, 650).await;
        let slow = retrying_slow_callers(&gateway, make_request, Duration::from_secs(6));
        let mut peak = 0;
        for n in 0..40 {
            assert_eq!(gateway.status_of(0, "/book/x", KEY).await, 200, "{}", gateway.logs());
            if n % 10 == 0 && engines_are_free {
                let chat = gateway.call(0, chat(&format!("c-{n}"))).await;
                assert!(chat.whole && chat.status == 200, "{chat:?}\n{}", gateway.logs());
            }
            peak = peak.max(memory_mb(&gateway));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(peak < MEMORY_MB, "{peak} MB");
        let answered = slow.join_all().await.iter().filter(|head| head.contains(" 200 ")).count();
        assert!(
            answered >= SLOW_CALLER_COUNT * 9 / 10,
            "{answered}\n{}",
            gateway.lines_with("event=refused")
        );
    }
}

/// The responses together exceed the memory of the VM: calls beyond the bound are refused and have not run.
#[tokio::test]
async fn test_held_bytes_are_bounded_and_excess_calls_refused() {
    let (gateway, booking, _models) = small_node(1_200_000, 0).await;
    let slow = slow_callers(&gateway, plain_request, Duration::from_secs(5));
    let mut peak = (0, 0);
    let mut refused = 0;
    for n in 0..60 {
        let before = booking.replica.received_requests().len();
        let called = gateway.call(0, request("POST", "/book/x", KEY, "b-1")).await;
        if called.status == 503 {
            let held = held_bytes(&gateway).await;
            let running = booking.replica.running();
            assert_eq!(
                called.code(),
                2112,
                "call {n}, {held} bytes held, {running} run: {called:?}\n{}",
                gateway.logs()
            );
            assert!(called.header("retry-after").is_some(), "{called:?}");
            refused += 1;
        } else {
            assert_eq!(called.status, 200, "{called:?}\n{}", gateway.logs());
            assert!(booking.replica.received_requests().len() > before);
        }
        peak = (peak.0.max(memory_mb(&gateway)), peak.1.max(held_bytes(&gateway).await));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(refused > 0, "no call was refused, {peak:?}");
    assert!(peak.0 < MEMORY_MB, "{peak:?}");
    assert!(peak.1 > 1_000_000 && peak.1 <= MEMORY_MB * 300_000, "{peak:?}");
    slow.join_all().await;
    let is_served = async || gateway.status_of(0, "/book/x", KEY).await == 200;
    gateway.until("calls are served again", is_served).await;
    let is_freed = async || held_bytes(&gateway).await < 1_000_000;
    gateway.until("no bytes are buffered", is_freed).await;
}

/// Plain answers that do not end are buffered up to a bound for each and for all, and then given up.
#[tokio::test]
async fn test_memory_is_bounded_while_a_replica_sends_bodies_without_end() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let server = EndlessServer::start(&gateway.replicas_ip(), endless_server::WHITE_SPACE).await;
    gateway.store.put("servers", "endless", replica_entry(BOOKING, server.address, "hall-1", "ready"));
    let node = gateway.start_node_with(|yaml| format!("{yaml}memory_mb: {MEMORY_MB}\n"));
    gateway.until_ready(node).await;
    let mut calls = JoinSet::new();
    for n in 0..ENDLESS_CALL_COUNT {
        let mut req = request("POST", "/book/x", KEY, &format!("r-{n}"));
        req.headers_mut().insert("leadstage-deadline-ms", 2_000.into());
        let address = gateway.client_address(0);
        calls.spawn(async move { call(&address, req).await.status });
    }
    let mut peak = (0, 0);
    let mut statuses = BTreeMap::<u16, usize>::new();
    while !calls.is_empty() {
        while let Some(status) = calls.try_join_next() {
            *statuses.entry(status.expect("no call panics")).or_default() += 1;
        }
        peak = (peak.0.max(memory_mb(&gateway)), peak.1.max(held_bytes(&gateway).await));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        statuses.keys().all(|status| [502, 503, 504].contains(status)),
        "{statuses:?}\n{}",
        gateway.logs()
    );
    assert!(server.requests().len() > 1, "{statuses:?}\n{}", gateway.logs());
    assert!(peak.0 < MEMORY_MB && peak.1 <= MEMORY_MB * 300_000, "{peak:?}");
}

/// A replica reads 1 kB of large request bodies per second: each body is buffered once, and the total stays
/// within the bound.
#[tokio::test]
async fn test_bodies_for_a_slow_replica_are_bounded() {
    let (gateway, booking, _models) = small_node(10, 0).await;
    let slow = TcpListener::bind(format!("{}:0", gateway.replicas_ip())).await.expect("a port");
    let address = slow.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = slow.accept().await.expect("the listener accepts");
            tokio::spawn(read_body_slowly(stream));
        }
    });
    gateway.store.put("servers", "slow-1", replica_entry(BOOKING, address, "hall-1", "ready"));
    gateway.store.delete("servers", &booking.replica.id);
    let listed = async || gateway.log(0).contains("upstream=slow-1");
    gateway.until("the replica is listed", listed).await;
    let mut callers = JoinSet::new();
    for n in 0..100 {
        let front = gateway.client_address(0);
        let mut req = request("POST", "/book/x", KEY, &format!("b-{n}"));
        *req.body_mut() = bytes::Bytes::from(vec![7; 800_000]).into();
        req.headers_mut().insert("leadstage-deadline-ms", "4000".parse().expect("valid"));
        callers.spawn(async move { call(&front, req).await.status });
    }
    let mut peak = 0;
    while !callers.is_empty() {
        peak = peak.max(memory_mb(&gateway));
        let _ = tokio::time::timeout(Duration::from_millis(50), callers.join_next()).await;
    }
    assert!(peak < MEMORY_MB, "{peak} MB\n{}", gateway.logs());
}

async fn read_body_slowly(mut stream: TcpStream) {
    let mut buf = vec![0; SLOW_BYTES_PER_SECOND];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
