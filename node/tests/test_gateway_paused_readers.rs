//! Callers, replicas and nodes that do not read for some time, and callers that vanish meanwhile.

use std::io;
use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::OpenLinks;
use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;
use leadstage_testutils::packet_filter;
use socket2::SockRef;
use socket2::Socket;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::test_gateway_partitioned_nodes::node_ip;

/// Receive buffer of a caller; the kernel doubles it.
const RECEIVE_BUFFER: u32 = 8 << 10;
/// Deadline of the requests, and limit of their routes.
const DEADLINE: Duration = Duration::from_secs(30);
/// Limit of idle connections, which is shorter than some pauses.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Bytes of a plain answer, which fit into the kernel's buffers.
const ANSWER_BYTES: usize = 600_000;
/// Bytes of a plain answer, which are more than the kernel buffers.
const LARGE_ANSWER_BYTES: usize = 4_000_000;
/// Events of a stream, and bytes of each.
const EVENTS: u64 = 300;
const EVENT_BYTES: usize = 600;
/// Bytes of the events of a stream that is larger than what the kernel buffers.
const LARGE_EVENT_BYTES: usize = 40_000;
/// What a caller reads before a pause in the middle of an answer.
const READ_FIRST: usize = 4 << 10;
/// Longest time until a node has closed the connection of a caller that vanished: two user timeouts.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(6);
/// Interval between two looks at a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When a caller does not read.
#[derive(Clone, Copy, Debug)]
struct Pauses {
    /// Bytes that it reads before each pause.
    after: usize,
    length: Duration,
    count: usize,
}

impl Pauses {
    fn once(after: usize, length: Duration) -> Self {
        Pauses { after, length, count: 1 }
    }
}

/// Starts a fleet whose plain service responds to `/read/` with `answer_bytes` bytes, without nodes.
async fn fleet(answer_bytes: usize) -> (Gateway, RunningReplica, Vec<RunningReplica>) {
    let gateway = Gateway::start().await;
    let mut config = config(1);
    config["limits"]["maxBodyBytes"] = 4_000_000.into();
    config["limits"]["idleTimeoutMs"] = (IDLE_LIMIT.as_millis() as u64).into();
    config["services"][1]["engine"]["kvCacheTokens"] = 10_000_000.into();
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = (DEADLINE.as_millis() as u64).into();
    }
    gateway.store.put("config", "main", config);
    let booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    let fault = ReplicaFault::Long(answer_bytes);
    booking.replica.set_partial_fault(PartialFault { fault, every_nth: 1, prefix: "/read/".to_owned() });
    let mut models = Vec::new();
    for n in 0..6 {
        let model = gateway.start_replica(MODEL, &format!("model-{n}"), EVENTS).await;
        model.replica.set_padding(EVENT_BYTES);
        models.push(model);
    }
    (gateway, booking, models)
}

async fn fleet_with_node(answer_bytes: usize) -> (Gateway, RunningReplica, Vec<RunningReplica>) {
    let (mut gateway, booking, models) = fleet(answer_bytes).await;
    gateway.start_node();
    gateway.until_ready(0).await;
    (gateway, booking, models)
}

fn head(method: &str, path: &str, id: &str, more: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: {id}\r\nleadstage-deadline-ms: {deadline}\r\nauthorization: Token {KEY}\r\n{more}\r\n"
    )
}

fn plain(id: &str) -> String {
    head("GET", "/read/x", id, "")
}

fn stream(id: &str) -> String {
    let tokens =
        "leadstage-model: m\r\nleadstage-token-usage: 10,400\r\nlength-hint: 300\r\ncontent-length: 0\r\n";
    head("POST", "/chat/x", id, tokens)
}

async fn connect(address: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a small window");
    socket.connect(address.parse().expect("an address")).await.expect("the node accepts")
}

/// Reads `len` bytes with pauses.
async fn read_body(reader: &mut BufReader<TcpStream>, mut len: usize, pauses: &mut Pauses) -> io::Result<()> {
    let mut buf = vec![0; READ_FIRST];
    while len > 0 {
        if pauses.count > 0 && pauses.after == 0 {
            tokio::time::sleep(pauses.length).await;
            pauses.count -= 1;
            pauses.after = READ_FIRST;
        }
        let most = if pauses.count > 0 { len.min(pauses.after) } else { len };
        let read = reader.read(&mut buf[..most.min(READ_FIRST)]).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        (len, pauses.after) = (len - read, pauses.after.saturating_sub(read));
    }
    Ok(())
}

/// Reads one answer. Returns the number of its bytes, or how it ended early.
async fn read_answer(reader: &mut BufReader<TcpStream>, mut pauses: Pauses) -> io::Result<usize> {
    let mut length = None;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        if line.starts_with("HTTP/") && !line.contains(" 200 ") {
            return Err(io::Error::other(line));
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok();
        }
        match &*line {
            "\r\n" => break,
            "" => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
    if let Some(length) = length {
        return read_body(reader, length, &mut pauses).await.map(|()| length);
    }
    let mut total = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        read_body(reader, size + 2, &mut pauses).await?;
        total += size;
        if size == 0 {
            return Ok(total);
        }
    }
}

/// Sends a request on a new connection and reads the answer.
async fn caller(address: String, req: String, pauses: Pauses) -> io::Result<usize> {
    let mut reader = BufReader::with_capacity(1 << 10, connect(&address).await);
    reader.get_mut().write_all(req.as_bytes()).await?;
    read_answer(&mut reader, pauses).await
}

/// Sends a request on a connection that was used before and reads the answer.
async fn returning_caller(address: String, req: String, pauses: Pauses) -> io::Result<usize> {
    let mut reader = BufReader::with_capacity(1 << 10, connect(&address).await);
    reader.get_mut().write_all(head("GET", "/book/x", "first", "").as_bytes()).await?;
    read_answer(&mut reader, Pauses::once(0, Duration::ZERO)).await?;
    reader.get_mut().write_all(req.as_bytes()).await?;
    read_answer(&mut reader, pauses).await
}

/// Pauses of several lengths at the start, in the middle and shortly before the end of an answer, and short ones
/// one after the other.
fn all_pauses(answer_bytes: usize) -> Vec<Pauses> {
    let places = [0, READ_FIRST, answer_bytes / 2, answer_bytes - 1_000];
    let lengths = [2_000, 3_000, 4_000, 10_000].map(Duration::from_millis);
    let once = places.into_iter().flat_map(|after| lengths.map(|length| Pauses::once(after, length)));
    once.chain([Pauses { after: 0, length: Duration::from_millis(1_500), count: 6 }]).collect()
}

/// Runs a caller for each of `pauses` at the same time. Returns the answers that were not whole.
async fn incomplete(
    address: String,
    make_request: fn(&str) -> String,
    pauses: Vec<Pauses>,
    min_bytes: usize,
) -> Vec<String> {
    let callers = pauses.into_iter().enumerate().map(|(n, pauses)| {
        let (address, req) = (address.clone(), make_request(&format!("r-{n}")));
        async move {
            let answer = if n % 2 == 0 {
                caller(address, req, pauses).await
            } else {
                returning_caller(address, req, pauses).await
            };
            let is_whole = answer.as_ref().is_ok_and(|bytes| *bytes >= min_bytes);
            (!is_whole).then(|| format!("r-{n}, {pauses:?}: {answer:?}"))
        }
    });
    futures::future::join_all(callers).await.into_iter().flatten().collect()
}

/// Guards against streams that are cut off, and counted as served, because their callers do not read for longer
/// than a peer may leave bytes unacknowledged.
#[tokio::test]
async fn test_streams_to_callers_that_pause_are_whole() {
    let (gateway, _booking, _models) = fleet_with_node(1).await;
    let bytes = EVENTS as usize * EVENT_BYTES;
    let cut = incomplete(gateway.client_address(0), stream, all_pauses(bytes), bytes).await;
    assert!(cut.is_empty(), "{cut:#?}\n{}", gateway.logs());
}

/// Guards against the same for plain answers.
#[tokio::test]
async fn test_answers_to_callers_that_pause_are_whole() {
    let (gateway, _booking, _models) = fleet_with_node(ANSWER_BYTES).await;
    let cut = incomplete(gateway.client_address(0), plain, all_pauses(ANSWER_BYTES), ANSWER_BYTES).await;
    assert!(cut.is_empty(), "{cut:#?}\n{}", gateway.logs());
}

/// Guards against answers that are cut off because the connection counts as idle while they are being sent.
#[tokio::test]
async fn test_a_connection_is_not_idle_while_an_answer_is_sent() {
    let (gateway, _booking, _models) = fleet_with_node(LARGE_ANSWER_BYTES).await;
    let pauses = vec![Pauses::once(READ_FIRST, IDLE_LIMIT * 3); 2];
    let cut = incomplete(gateway.client_address(0), plain, pauses, LARGE_ANSWER_BYTES).await;
    assert!(cut.is_empty(), "{cut:#?}\n{}", gateway.logs());
}

/// Starts two nodes, of which the first one reaches the engine through the second one. Streams are larger than what
/// the kernel buffers on the way.
async fn fleet_with_tunnel() -> (Gateway, RunningReplica, Vec<RunningReplica>, FaultyProxy) {
    let (mut gateway, booking, mut models) = fleet(1).await;
    models.drain(1..).for_each(|model| gateway.store.delete("servers", &model.replica.id));
    models[0].replica.set_padding(LARGE_EVENT_BYTES);
    let proxy = gateway.put_proxy_before(MODEL, &models[0]).await;
    for node in 0..2 {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    proxy.partition(&[node_ip(&gateway, 0)], OpenLinks::Reset);
    let is_served = async || gateway.call(0, chat("first")).await.status == 200;
    gateway.until("a stream through the other node", is_served).await;
    (gateway, booking, models, proxy)
}

/// Guards against the same where another node carries the connection to the engine: it waits for a node that waits
/// for its caller.
#[tokio::test]
async fn test_streams_through_another_node_to_callers_that_pause_are_whole() {
    let (gateway, _booking, _models, _proxy) = fleet_with_tunnel().await;
    let pauses = vec![Pauses::once(READ_FIRST, Duration::from_secs(8)); 2];
    let bytes = EVENTS as usize * LARGE_EVENT_BYTES;
    let cut = incomplete(gateway.client_address(0), stream, pauses, bytes).await;
    assert!(cut.is_empty(), "{cut:#?}\n{}", gateway.logs());
}

/// Guards against a stopping node that takes a connection which it carries for unused while the other node does not
/// read.
#[tokio::test]
async fn test_a_stop_of_another_node_does_not_cut_off_callers_that_pause() {
    let (gateway, _booking, _models, _proxy) = fleet_with_tunnel().await;
    let pauses = vec![Pauses::once(READ_FIRST, Duration::from_secs(6)); 2];
    let bytes = EVENTS as usize * LARGE_EVENT_BYTES;
    let callers = incomplete(gateway.client_address(0), stream, pauses, bytes);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        gateway.signal(1, "-TERM");
    };
    let (cut, ()) = tokio::join!(callers, stop);
    assert!(cut.is_empty(), "{cut:#?}\n{}", gateway.logs());
}

/// Serves one connection of a replica that reads the body of a request only after `delay`.
async fn serve_late(stream: TcpStream, delay: Duration) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(1 << 10, stream);
    let (mut id, mut length, mut is_check) = (String::new(), 0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        is_check |= line.starts_with("GET /healthz");
        if let Some(value) = line.strip_prefix("leadstage-request-id: ") {
            value.trim().clone_into(&mut id);
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
        if line == "\r\n" {
            break;
        }
    }
    if !is_check {
        tokio::time::sleep(delay).await;
    }
    reader.read_exact(&mut vec![0; length]).await?;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\nleadstage-server-signature: sig-late\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"
    );
    reader.get_mut().write_all(answer.as_bytes()).await?;
    reader.get_mut().shutdown().await
}

/// Guards against requests that fail because their replica begins to read them late.
#[tokio::test]
async fn test_requests_to_a_replica_that_reads_late_are_served() {
    let (gateway, booking, _models) = fleet_with_node(1).await;
    let listener = TcpListener::bind(format!("{}:0", gateway.replicas_ip())).await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER as usize).expect("a small window");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("the listener accepts");
            tokio::spawn(serve_late(stream, Duration::from_secs(4)));
        }
    });
    gateway.store.put("servers", "late", replica_entry(BOOKING, address, "hall-1", "ready"));
    gateway.store.delete("servers", &booking.replica.id);
    gateway.until("the replica is listed", async || gateway.log(0).contains("upstream=late")).await;
    let calls = (0..4).map(|n| {
        let mut req = request("POST", "/book/x", KEY, &format!("b-{n}"));
        *req.body_mut() = bytes::Bytes::from(vec![7; 900_000]).into();
        req.headers_mut().insert("leadstage-deadline-ms", "20000".parse().expect("valid"));
        let address = gateway.client_address(0);
        async move { call(&address, req).await.status }
    });
    let statuses = futures::future::join_all(calls).await;
    assert_eq!(statuses, [200; 4], "{}", gateway.logs());
}

/// A caller that vanishes while it does not read holds its engine no longer than one that reads.
#[tokio::test]
async fn test_a_caller_that_vanishes_while_it_does_not_read_is_detected() {
    let (gateway, _booking, models) = fleet_with_node(1).await;
    models.iter().for_each(|model| model.replica.set_padding(LARGE_EVENT_BYTES));
    let running = || models.iter().map(|model| model.replica.running()).sum::<usize>();
    let mut stream = connect(&gateway.client_address(0)).await;
    stream.write_all(self::stream("r-1").as_bytes()).await.expect("writable");
    stream.read_exact(&mut vec![0; READ_FIRST]).await.expect("a stream");
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert_eq!(running(), 1, "the generation waits for its caller\n{}", gateway.logs());
    let socket = Socket::from(stream.into_std().expect("a socket"));
    packet_filter::drop_all(&socket).expect("a filter");
    let vanished = Instant::now();
    while running() > 0 && vanished.elapsed() < DEADLINE {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(vanished.elapsed() < MAX_DETECTION_TIME, "{:?}\n{}", vanished.elapsed(), gateway.logs());
}

/// Guards against a stream that only counts as served although its caller did not get all of it: the kernel had
/// taken the rest.
#[tokio::test]
async fn test_a_stream_that_its_caller_did_not_get_is_reported() {
    let (gateway, _booking, _models) = fleet_with_node(1).await;
    let mut stream = connect(&gateway.client_address(0)).await;
    stream.write_all(self::stream("r-1").as_bytes()).await.expect("writable");
    stream.read_exact(&mut vec![0; READ_FIRST]).await.expect("a stream");
    let has_ended = async || gateway.log(0).contains("event=stream_end request=r-1");
    gateway.until("the stream has ended", has_ended).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Bytes that were received are unread.
    drop(stream);
    let is_reported = async || gateway.log(0).contains("event=response_cut request=r-1");
    gateway.until("the cut response is reported", is_reported).await;
    let metrics = call(&gateway.metrics(0), request("GET", "/metrics", "", "")).await;
    let is_counted =
        |line: &str| line.starts_with("leadstage_gateway_cut_responses_total{") && line.ends_with(" 1");
    assert!(metrics.body.lines().any(is_counted), "{}", metrics.body);
}

/// A stopping node hands the rest of an answer to a caller that pauses, also after it has ended, and does not wait
/// for a caller that never reads.
#[tokio::test]
async fn test_a_stop_does_not_cut_off_callers_that_pause() {
    let (mut gateway, _booking, _models) = fleet_with_node(ANSWER_BYTES).await;
    let address = gateway.client_address(0);
    let pausing = (0..4).map(|n| {
        let pauses = Pauses::once(READ_FIRST, Duration::from_secs(4 + n));
        tokio::spawn(caller(address.clone(), plain(&format!("r-{n}")), pauses))
    });
    let pausing: Vec<_> = pausing.collect();
    let mut silent = connect(&address).await;
    silent.write_all(plain("r-silent").as_bytes()).await.expect("writable");
    tokio::time::sleep(Duration::from_millis(500)).await;
    gateway.signal(0, "-TERM");
    assert!(gateway.wait_for_exit(0).await, "{}", gateway.logs());
    for answer in futures::future::join_all(pausing).await {
        let answer = answer.expect("no caller panics");
        assert!(answer.as_ref().is_ok_and(|bytes| *bytes >= ANSWER_BYTES), "{answer:?}\n{}", gateway.logs());
    }
}
