//! Messages without end from replicas and callers: each is given up after a bounded number of bytes, and what
//! may be repeated is served by another replica.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::gateway::head_meter::MAX_HEAD_BYTES;
use leadstage_lib::gateway::head_meter::MAX_HEAD_TIME;
use leadstage_testutils::endless_server;
use leadstage_testutils::endless_server::EndlessAnswer;
use leadstage_testutils::endless_server::EndlessServer;
use leadstage_testutils::endless_server::MAX_UNREAD_BYTES;
use leadstage_testutils::endless_server::MAX_UNREAD_BYTES_OF_FAST_CLIENT;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::WAIT_TIMEOUT;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;

/// Id of the replica whose answers do not end.
const ENDLESS: &str = "endless";
/// Calls among which one reaches the endless replica.
const MAX_CALLS: usize = 50;
/// Number of events in a generation of the stand-in engine.
const EVENTS: u64 = 60;
/// Maximum number of bytes of a replica's body that a node reads, in chunks of 64 bytes with 6 bytes for each.
const MAX_BODY_BYTES: usize = (4 << 20) * 70 / 64;

/// Maximum number of bytes that a node reads of a request: some more than its limits for the head and the body in
/// the configuration, which are 16 KiB and 1,000 bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Size of a caller's send buffer, so that the bytes that it sends show what the node reads.
const SEND_BUFFER_BYTES: u32 = 128 << 10;

/// Answers whose head does not end.
const HEADS: [(&str, EndlessAnswer); 4] = [
    ("informational heads", endless_server::INFORMATIONAL_HEADS),
    ("a header line", endless_server::HEADER_LINE),
    ("header lines", endless_server::HEADER_LINES),
    ("blank lines", endless_server::BLANK_LINES),
];
/// Answers whose body does not end.
const BODIES: [(&str, EndlessAnswer); 4] = [
    ("a chunk extension", endless_server::CHUNK_EXTENSION),
    ("trailers", endless_server::TRAILERS),
    ("chunks", endless_server::CHUNKS),
    ("white space", endless_server::WHITE_SPACE),
];

/// Starts a fleet whose service has an endless replica beside `sound` others, and one node with more settings.
async fn fleet(service: &str, answer: EndlessAnswer, sound: usize, settings: &str) -> Fleet {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let server = EndlessServer::start(&gateway.replicas_ip(), answer).await;
    gateway.store.put("servers", ENDLESS, replica_entry(service, server.address, "hall-1", "ready"));
    let mut replicas = Vec::new();
    for n in 0..sound {
        replicas.push(gateway.start_replica(service, &format!("sound-{n}"), EVENTS).await);
    }
    gateway.start_node_with(|yaml| format!("{yaml}{settings}"));
    gateway.until_ready(0).await;
    Fleet { gateway, server, _replicas: replicas }
}

struct Fleet {
    gateway: Gateway,
    server: EndlessServer,
    _replicas: Vec<RunningReplica>,
}

impl Fleet {
    /// The reasons for which attempts at the endless replica failed, each once.
    async fn reasons(&self) -> String {
        let lines = || self.gateway.lines_with("event=attempt_failed");
        self.gateway.until("an attempt is logged", async || !lines().is_empty()).await;
        let lines = lines();
        let reasons = lines.lines().filter_map(|line| line.split("reason=").nth(1)?.split(" msg=").next());
        let reasons: BTreeSet<&str> = reasons.map(|reason| reason.trim_matches('"')).collect();
        reasons.into_iter().collect::<Vec<_>>().join("; ")
    }

    /// The request lines of calls that the endless replica received, without health checks.
    fn calls(&self) -> String {
        let requests = self.server.requests();
        let calls = requests.iter().filter(|line| !line.contains("/healthz")).map(String::as_str);
        calls.collect::<Vec<_>>().join("; ")
    }

    /// Sends idempotent calls until one has reached the endless replica; all of them are served.
    async fn read_until_endless(&self) {
        for n in 0..MAX_CALLS {
            let called = self.gateway.call(0, read(&format!("r-{n}"))).await;
            assert_eq!(called.status, 200, "{}\n{}", called.body, self.gateway.logs());
            if !self.calls().is_empty() {
                return;
            }
        }
        panic!("no call reached the endless replica\n{}", self.gateway.logs());
    }
}

#[tokio::test]
async fn test_an_idempotent_call_is_served_by_another_replica() {
    let mut rows = Vec::new();
    for (max_bytes, answers) in [
        (MAX_HEAD_BYTES + MAX_UNREAD_BYTES, HEADS),
        (MAX_BODY_BYTES + MAX_UNREAD_BYTES_OF_FAST_CLIENT, BODIES),
    ] {
        for (name, answer) in answers {
            let fleet = fleet(BOOKING, answer, 1, "").await;
            fleet.read_until_endless().await;
            fleet
                .gateway
                .until("the connection is closed", async || fleet.server.open_connections() == 0)
                .await;
            let sent = fleet.server.sent_bytes();
            assert!(sent <= max_bytes, "{name}: {sent} bytes");
            rows.push(format!("{name}: {}", fleet.reasons().await));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    informational heads: more than 32 informational heads without pause
    a header line: too many bytes before the end of its head
    header lines: too many bytes before the end of its head
    blank lines: too many bytes before the end of its head
    a chunk extension: answer cut short: error reading a body from connection
    trailers: answer cut short: error reading a body from connection
    chunks: answer cut short: length limit exceeded
    white space: answer cut short: length limit exceeded
    ");
}

/// A call that may not be repeated reaches one replica, and its caller is told at once that its outcome is unknown.
#[tokio::test]
async fn test_a_call_that_may_not_be_repeated_fails_at_once() {
    let mut rows = Vec::new();
    for (name, answer) in HEADS.into_iter().chain(BODIES) {
        let fleet = fleet(BOOKING, answer, 0, "").await;
        let called = fleet.gateway.call(0, book("r-book")).await;
        rows.push(format!("{name}: {} {}, {}", called.status, called.code(), fleet.calls()));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    informational heads: 502 3001, POST /book/x HTTP/1.1
    a header line: 502 3001, POST /book/x HTTP/1.1
    header lines: 502 3001, POST /book/x HTTP/1.1
    blank lines: 502 3001, POST /book/x HTTP/1.1
    a chunk extension: 502 3001, POST /book/x HTTP/1.1
    trailers: 502 3001, POST /book/x HTTP/1.1
    chunks: 502 3001, POST /book/x HTTP/1.1
    white space: 502 3001, POST /book/x HTTP/1.1
    ");
}

#[tokio::test]
async fn test_streams_of_an_engine_whose_heads_do_not_end() {
    let mut rows = Vec::new();
    for (name, answer) in HEADS {
        let fleet = fleet(MODEL, answer, 0, "").await;
        let called = fleet.gateway.call(0, chat("r-chat")).await;
        rows.push(format!("{name}: {} {}, {}", called.status, called.code(), fleet.calls()));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    informational heads: 502 3001, POST /chat/x HTTP/1.1
    a header line: 502 3001, POST /chat/x HTTP/1.1
    header lines: 502 3001, POST /chat/x HTTP/1.1
    blank lines: 502 3001, POST /chat/x HTTP/1.1
    ");
}

#[tokio::test]
async fn test_a_resumable_stream_is_served_by_another_engine() {
    for (name, answer) in HEADS {
        let fleet = fleet(MODEL, answer, 1, "").await;
        for n in 0..MAX_CALLS {
            let called = fleet.gateway.call(0, tag(&format!("r-{n}"))).await;
            let outcome = (called.status, called.whole, called.events());
            assert_eq!(outcome, (200, true, Some(EVENTS)), "{name}\n{}", fleet.gateway.logs());
            if !fleet.calls().is_empty() {
                break;
            }
        }
        assert!(!fleet.calls().is_empty(), "{name}: no stream reached the endless engine");
    }
}

/// An engine that sends comments or blank lines makes no progress: another one generates the stream.
#[tokio::test]
async fn test_a_resumable_stream_without_events_goes_on_at_another_engine() {
    for answer in [endless_server::COMMENTS, endless_server::BLANK_EVENTS] {
        let fleet = fleet(MODEL, answer, 1, "").await;
        for n in 0..MAX_CALLS {
            let called = fleet.gateway.call(0, tag(&format!("r-{n}"))).await;
            let events = called.body.trim_start_matches(answer.repeated).matches("\n\n").count();
            let outcome = (called.status, called.whole, events as u64);
            assert_eq!(outcome, (200, true, EVENTS), "{answer:?}\n{}", fleet.gateway.logs());
            if !fleet.calls().is_empty() {
                break;
            }
        }
        assert!(!fleet.calls().is_empty(), "no stream reached the endless engine");
    }
}

/// A head that arrives byte by byte is given up long before the call's deadline.
#[tokio::test]
async fn test_a_slow_head_is_given_up() {
    let pause = Duration::from_millis(50);
    let fleet = fleet(BOOKING, EndlessAnswer { pause, ..endless_server::HEADER_LINE }, 1, "").await;
    fleet.read_until_endless().await;
    insta::assert_snapshot!(fleet.reasons().await, @"head not complete after 2.5s");
}

/// The rest of a head that comes late, as after a loss, is waited for where the request may not be repeated.
#[tokio::test]
async fn test_a_slow_head_of_a_call_that_may_not_be_repeated_is_waited_for() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nleadstage-request-id: r-book\r\n";
    const REST: &str = "content-length: 4\r\n\r\ndone";
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let listener = TcpListener::bind((&*gateway.replicas_ip(), 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    gateway.store.put("servers", "slow", replica_entry(BOOKING, address, "hall-1", "ready"));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4 << 10];
                let read = stream.read(&mut buf).await.unwrap_or_default();
                if buf[..read].starts_with(b"POST") {
                    stream.write_all(HEAD.as_bytes()).await.expect("writable");
                    tokio::time::sleep(MAX_HEAD_TIME + Duration::from_millis(500)).await;
                    stream.write_all(REST.as_bytes()).await.expect("the connection is open");
                } else {
                    let ok = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                    stream.write_all(ok.as_bytes()).await.expect("writable");
                }
            });
        }
    });
    gateway.start_node();
    gateway.until_ready(0).await;
    let called = gateway.call(0, book("r-book")).await;
    assert_eq!((called.status, &*called.body), (200, "done"), "{}", gateway.logs());
}

#[tokio::test]
async fn test_an_answer_after_informational_heads_is_passed_on() {
    const START: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n\
        HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-length: 4\r\n\r\ndone";
    let fleet = fleet(BOOKING, EndlessAnswer::new(START, ""), 0, "").await;
    let called = fleet.gateway.call(0, book("r-book")).await;
    assert_eq!((called.status, &*called.body), (200, "done"), "{}", fleet.gateway.logs());
}

#[tokio::test]
async fn test_without_the_policy_only_the_deadline_ends_a_call() {
    let fleet =
        fleet(BOOKING, endless_server::INFORMATIONAL_HEADS, 0, "policy: {bound_heads: false}\n").await;
    let mut req = book("r-book");
    req.headers_mut().insert("leadstage-deadline-ms", 600.into());
    let called = fleet.gateway.call(0, req).await;
    insta::assert_snapshot!(format!("{}: {}", called.status, fleet.reasons().await), @"504: no answer in time");
}

/// A node whose store's answers do not end serves callers with what other nodes tell it.
#[tokio::test]
async fn test_a_node_whose_store_does_not_end_its_answers_serves_callers() {
    let (mut gateway, _booking) = Gateway::with_nodes(1).await;
    for (name, answer) in HEADS.into_iter().chain(BODIES) {
        let server = EndlessServer::start(&gateway.own_store_ip(), answer).await;
        let node = gateway.start_node_at(server.address);
        gateway.until_ready(node).await;
        gateway.until("the store is asked", async || !server.requests().is_empty()).await;
        let called = gateway.call(node, read(&format!("r-{node}"))).await;
        assert_eq!(called.status, 200, "{name}\n{}", gateway.logs());
        gateway.until("the connection is closed", async || server.open_connections() == 0).await;
        let (requests, sent) = (server.requests().len(), server.sent_bytes());
        let max_bytes = requests * (MAX_BODY_BYTES + MAX_UNREAD_BYTES_OF_FAST_CLIENT);
        assert!(sent <= max_bytes, "{name}: {sent} bytes in answer to {requests} requests");
        gateway.kill(node);
    }
}

const HEAD: &str = "POST /book/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: r-1\r\n\
    leadstage-deadline-ms: 1000\r\nauthorization: Token key-a\r\n";

/// Sends without end until the node closes the connection; returns the status line of the answer and the
/// number of bytes sent.
async fn send_endlessly(address: &str, start: &str, repeated: &str) -> (String, usize) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("a valid size");
    let stream = socket.connect(address.parse().expect("an address")).await.expect("the node listens");
    let (mut rx, mut tx) = stream.into_split();
    let sent = Arc::new(AtomicUsize::new(0));
    let (counted, start) = (sent.clone(), start.to_owned());
    let part = repeated.repeat((4 << 10) / repeated.len());
    let sending = tokio::spawn(async move {
        let mut next = start;
        while let Ok(written) = tx.write(next.as_bytes()).await {
            counted.fetch_add(written, Ordering::Relaxed);
            next.drain(..written);
            if next.is_empty() {
                next.push_str(&part);
            }
        }
    });
    let mut text = Vec::new();
    // A reset counts as closed.
    let reading = tokio::time::timeout(WAIT_TIMEOUT, rx.read_to_end(&mut text));
    let _ = reading.await.expect("the node closes the connection");
    sending.abort();
    let text = String::from_utf8_lossy(&text).into_owned();
    (text.lines().next().unwrap_or("closed").to_owned(), sent.load(Ordering::Relaxed))
}

#[tokio::test]
async fn test_callers_whose_requests_do_not_end_are_refused() {
    let fleet = fleet(BOOKING, EndlessAnswer::new("", ""), 0, "").await;
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let requests = [
        ("blank lines", "", "\r\n"),
        ("a request line", "GET /", "x"),
        ("a header line", "GET / HTTP/1.1\r\nx: ", "x"),
        ("header lines", "GET / HTTP/1.1\r\n", "x: y\r\n"),
        ("chunks", &chunked, "1\r\n \r\n"),
        ("a chunk extension", &format!("{chunked}1;x="), "x"),
        ("trailers", &format!("{chunked}1\r\n \r\n0\r\n"), "x: y\r\n"),
    ];
    let mut rows = Vec::new();
    for (name, start, repeated) in requests {
        let (answer, sent) = send_endlessly(&fleet.gateway.client_address(0), start, repeated).await;
        assert!(sent <= MAX_REQUEST_BYTES + MAX_UNREAD_BYTES, "{name}: {sent} bytes");
        rows.push(format!("{name}: {answer}"));
    }
    assert_eq!(fleet.server.requests(), [""; 0], "no replica gets a part of a request");
    insta::assert_snapshot!(rows.join("\n"), @r"
    blank lines: HTTP/1.1 431 Request Header Fields Too Large
    a request line: HTTP/1.1 431 Request Header Fields Too Large
    a header line: HTTP/1.1 431 Request Header Fields Too Large
    header lines: HTTP/1.1 431 Request Header Fields Too Large
    chunks: HTTP/1.1 413 Payload Too Large
    a chunk extension: HTTP/1.1 400 Bad Request
    trailers: HTTP/1.1 400 Bad Request
    ");
}

/// The ports of the balancer, the operators and other nodes.
#[tokio::test]
async fn test_requests_without_end_on_other_ports_are_refused() {
    let fleet = fleet(BOOKING, EndlessAnswer::new("", ""), 0, "").await;
    let gateway = &fleet.gateway;
    let requests = [
        ("blank lines", "", "\r\n"),
        ("a header line", "GET / HTTP/1.1\r\nx: ", "x"),
        ("header lines", "GET / HTTP/1.1\r\n", "x: y\r\n"),
        ("a body", "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\n \r\n"),
    ];
    let mut rows = Vec::new();
    for (port, address) in
        [("ready", gateway.ready(0)), ("metrics", gateway.metrics(0)), ("peer", gateway.peer(0))]
    {
        for (name, start, repeated) in requests {
            let (answer, sent) = send_endlessly(&address, start, repeated).await;
            assert!(sent <= MAX_REQUEST_BYTES + MAX_UNREAD_BYTES, "{port}, {name}: {sent} bytes");
            rows.push(format!("{port}, {name}: {answer}"));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    ready, blank lines: closed
    ready, a header line: closed
    ready, header lines: HTTP/1.1 431 Request Header Fields Too Large
    ready, a body: HTTP/1.1 404 Not Found
    metrics, blank lines: closed
    metrics, a header line: closed
    metrics, header lines: HTTP/1.1 431 Request Header Fields Too Large
    metrics, a body: HTTP/1.1 404 Not Found
    peer, blank lines: closed
    peer, a header line: closed
    peer, header lines: HTTP/1.1 431 Request Header Fields Too Large
    peer, a body: HTTP/1.1 404 Not Found
    ");
}

/// A head that is begun and not completed does not keep its connection, be it the first or a later one.
#[tokio::test]
async fn test_requests_that_stop_inside_their_heads_close_their_connections() {
    let fleet = fleet(BOOKING, EndlessAnswer::new("", ""), 0, "").await;
    let gateway = &fleet.gateway;
    let ports = [("ready", gateway.ready(0)), ("metrics", gateway.metrics(0)), ("peer", gateway.peer(0))];
    let mut waiting = JoinSet::new();
    for (port, address) in ports {
        for earlier_requests in [0, 1] {
            let address = address.clone();
            waiting.spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("the node listens");
                for _ in 0..earlier_requests {
                    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("writable");
                    assert!(stream.read(&mut [0; 4 << 10]).await.expect("an answer") > 0);
                }
                stream.write_all(b"GET / HTTP/1.1\r\nx: y").await.expect("writable");
                let mut rest = Vec::new();
                let reading = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut rest));
                // A reset counts as closed.
                let _ = reading.await.unwrap_or_else(|_| panic!("{port}: the connection stays open"));
            });
        }
    }
    waiting.join_all().await;
}

/// A body is no head, also if it has no line end, comes in parts or follows another request.
#[tokio::test]
async fn test_a_request_with_a_body_does_not_close_its_connection() {
    let fleet = fleet(BOOKING, EndlessAnswer::new("", ""), 0, "").await;
    let gateway = &fleet.gateway;
    let mut waiting = JoinSet::new();
    for (port, address) in
        [("ready", gateway.ready(0)), ("metrics", gateway.metrics(0)), ("peer", gateway.peer(0))]
    {
        for method in ["GET /x", "CONNECT 127.0.0.1:1"] {
            let address = address.clone();
            waiting.spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("the node listens");
                let mut buf = [0; 4 << 10];
                for _ in 0..2 {
                    let head = format!("{method} HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nbody");
                    stream.write_all(head.as_bytes()).await.expect("writable");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    stream.write_all(b"rest").await.expect("writable");
                    let read = stream.read(&mut buf).await.expect("an answer");
                    assert!(buf[..read].starts_with(b"HTTP/1.1 4"), "{port}, {method}");
                    tokio::time::sleep(MAX_HEAD_TIME + Duration::from_millis(200)).await;
                }
                // The head of a further request is bounded.
                stream.write_all(b"GET / HTTP/1.1\r\nx: y").await.expect("writable");
                let reading = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut buf));
                // A reset counts as closed.
                let read = reading.await.unwrap_or_else(|_| panic!("{port}, {method}: stays open"));
                assert_eq!(read.unwrap_or_default(), 0, "{port}, {method}");
            });
        }
    }
    waiting.join_all().await;
}

/// A connection between two requests stays open.
#[tokio::test]
async fn test_an_idle_connection_is_not_closed_by_the_bound_on_heads() {
    let fleet = fleet(BOOKING, EndlessAnswer::new("", ""), 0, "").await;
    let mut stream = TcpStream::connect(fleet.gateway.ready(0)).await.expect("the node listens");
    let mut buf = [0; 4 << 10];
    for _ in 0..2 {
        stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("writable");
        let read = stream.read(&mut buf).await.expect("an answer");
        assert!(buf[..read].starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buf[..read]));
        tokio::time::sleep(MAX_HEAD_TIME + Duration::from_millis(200)).await;
    }
}
