//! Shutdown of a gateway node: each request is either answered or not accepted, and the last lines of the log
//! are written.

use std::io::Write;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::ReplicaFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;

/// Time from the signal until callers connect. A node without open requests exits about 2.3 s after the
/// signal, and connections accepted this late are not closed as idle before that.
const CONNECT_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the signal until requests are sent that safely arrive before the node decides to exit.
const EARLY_SEND_DELAY: Duration = Duration::from_millis(2_000);
/// Time from the signal after which requests may arrive while the node exits.
const LATE_SEND_DELAY: Duration = Duration::from_millis(2_200);
/// Capacity of a pipe, in bytes.
const PIPE_CAPACITY_BYTES: usize = 64 << 10;
/// An address that can never be bound: a link-local one without an interface.
const INVALID_ADDRESS: &str = "'[fe80::1]:7001'";

/// Returns a call as the bytes that a caller sends.
fn call_bytes(id: &str) -> String {
    format!(
        "POST /book/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: {id}\r\n\
         authorization: Token {KEY}\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Reads until the node closes or resets the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

/// Returns whether a response is a success with its complete body.
fn is_complete_success(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    head.starts_with("HTTP/1.1 200") && length == Some(&*body.len().to_string())
}

/// Guards against calls lost in a planned stop: a node that finds no open requests, serves its port for 50 ms
/// more and then exits drops the calls that arrive meanwhile. For example, a call on a kept connection, 38 ms
/// after the end of the last stream and 3 s after the signal, reaches its replica, and 27 ms later the
/// process exits without a response.
#[tokio::test]
async fn test_calls_at_the_end_of_a_stop_are_answered_or_not_accepted() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(Duration::from_millis(50)));
    gateway.signal(0, "-TERM");
    let began = tokio::time::Instant::now();
    tokio::time::sleep_until(began + CONNECT_DELAY).await;
    let mut calls = JoinSet::new();
    for n in 0..18 {
        let mut stream = TcpStream::connect(gateway.client_address(0)).await.expect("the node listens");
        calls.spawn(async move {
            // The gaps between the calls let the node find no open call at different points of its stop.
            tokio::time::sleep_until(began + LATE_SEND_DELAY + n * Duration::from_millis(110)).await;
            let id = format!("r-{n}");
            // On a connection that is closed by now, no call is accepted.
            let _ = stream.write_all(call_bytes(&id).as_bytes()).await;
            let answer = read_to_end(&mut stream).await;
            is_complete_success(&answer).then_some(id)
        });
    }
    let mut answered: Vec<String> = calls.join_all().await.into_iter().flatten().collect();
    let seen = bookings[0].replica.received_requests();
    let mut received: Vec<String> =
        seen.iter().filter_map(|seen| seen.header("leadstage-request-id").map(str::to_owned)).collect();
    received.sort();
    answered.sort();
    assert_eq!(received, answered, "calls that reached the replica, and answered calls");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Returns the response to a call of which the node has received only the part before `split` when it decides
/// to exit.
async fn response_to_a_call_split_at(split: &str) -> String {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.signal(0, "-TERM");
    let began = tokio::time::Instant::now();
    tokio::time::sleep_until(began + CONNECT_DELAY).await;
    let mut stream = TcpStream::connect(gateway.client_address(0)).await.expect("the node listens");
    let call = call_bytes("r-1");
    let (first, rest) = call.split_at(call.find(split).expect("the call contains it"));
    // A request head may take 1 s to arrive.
    tokio::time::sleep_until(began + EARLY_SEND_DELAY).await;
    stream.write_all(first.as_bytes()).await.expect("the connection is open");
    tokio::time::sleep_until(began + EARLY_SEND_DELAY + Duration::from_millis(700)).await;
    // If the node has exited, the response is empty.
    let _ = stream.write_all(rest.as_bytes()).await;
    read_to_end(&mut stream).await
}

/// Guards against a node that exits without regard to requests of which it has read a part of the head. It
/// closes their connections, and the callers can't know how much it has read.
#[tokio::test]
async fn test_a_call_with_a_partial_head_at_the_end_of_a_stop_is_served() {
    let answer = response_to_a_call_split_at("leadstage-request-id").await;
    assert!(is_complete_success(&answer), "{answer:?}");
}

#[tokio::test]
async fn test_a_call_with_a_partial_body_at_the_end_of_a_stop_is_served() {
    let answer = response_to_a_call_split_at("dy").await;
    assert!(is_complete_success(&answer), "{answer:?}");
}

/// Guards against a stop that counts a call as open only until its response is passed on to be written. The
/// node then cuts off what callers have not read 50 ms later, beyond what the socket buffers hold.
#[tokio::test]
async fn test_a_stopping_node_completes_slowly_read_responses() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    // On loopback, the buffers of both sockets hold 3.6 MB of it.
    bookings[0].replica.set_fault(ReplicaFault::Long(4_000_000));
    gateway.signal(0, "-TERM");
    let began = tokio::time::Instant::now();
    tokio::time::sleep_until(began + CONNECT_DELAY).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 << 10).expect("a size");
    let front = gateway.client_address(0).parse().expect("an address");
    let mut stream = socket.connect(front).await.expect("the node listens");
    tokio::time::sleep_until(began + EARLY_SEND_DELAY).await;
    stream.write_all(call_bytes("r-1").as_bytes()).await.expect("the connection is open");
    // A caller that reads nothing for 1.5 s is considered disconnected.
    tokio::time::sleep_until(began + EARLY_SEND_DELAY + Duration::from_millis(800)).await;
    let answer = read_to_end(&mut stream).await;
    assert!(is_complete_success(&answer), "{} bytes received", answer.len());
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against a stopping node that accepts streams by the callers' length estimates, which are often far
/// too low: a stream that arrives 4.4 s after the signal is cut off when the process exits 3.3 s later. The
/// estimate applies while the balancer still routes callers to the node, and the maximum length of the stream
/// after that.
#[tokio::test]
async fn test_a_stopping_node_refuses_streams_that_may_outlast_it() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    // 15 ms per event: a stream lasts 3.3 s, and the node exits at most 5.75 s after the signal.
    let _model = gateway.start_replica(MODEL, "model-1", 220).await;
    let node = gateway.start_node();
    gateway.until_ready(node).await;
    let (first, late) = tokio::join!(gateway.call(node, chat("r-1")), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        gateway.signal(node, "-TERM");
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let mut late = chat("r-2");
        late.headers_mut().insert("length-hint", "40".parse().expect("valid"));
        gateway.call(node, late).await
    });
    assert_eq!(first.events(), Some(220), "the stream ends before the node exits: {first:?}");
    assert_eq!((late.status, late.code()), (503, 2108), "{late:?}");
    assert!(gateway.wait_for_exit(node).await, "the stop is no failure");
}

/// Queues a stream at a node that stops, behind one of `events` events on the only engine, and checks that it
/// is refused without being started, so that its caller can be sent to another node.
async fn check_queued_stream_is_refused_by_a_stopping_node(events: u64) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let model = gateway.start_replica(MODEL, "model-1", events).await;
    let node = gateway.start_node();
    gateway.until_ready(node).await;
    let chat_with_usage = |id: &str, usage: &str| {
        let mut req = chat(id);
        req.headers_mut().insert("leadstage-token-usage", usage.parse().expect("valid"));
        req.headers_mut().insert("length-hint", "40".parse().expect("valid"));
        req
    };
    let (first, queued) = tokio::join!(gateway.call(node, chat_with_usage("r-1", "30000,2000")), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        gateway.signal(node, "-TERM");
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        gateway.call(node, chat_with_usage("r-2", "2000,2000")).await
    });
    assert_eq!(first.events(), Some(events), "the stream ends before the node exits: {first:?}");
    assert_eq!((queued.status, queued.code()), (503, 2108), "{queued:?}\n{}", gateway.logs());
    assert_eq!(model.replica.received_requests().len(), 1, "the second stream was sent to no engine");
    assert!(gateway.wait_for_exit(node).await, "the stop is no failure");
}

/// Guards against a stream that waits for an engine while its node stops, gets one when it can no longer end
/// before the node exits, and is started and cut off.
#[tokio::test]
async fn test_a_stopping_node_refuses_queued_streams_that_may_outlast_it() {
    // 15 ms per event: the first stream lasts 3.3 s, and the engine has room for one.
    check_queued_stream_is_refused_by_a_stopping_node(220).await;
}

/// Guards against a caller that is told to wait for an engine, although only the stop of its node ended the wait.
#[tokio::test]
async fn test_a_stream_whose_wait_a_stop_has_ended_is_sent_to_another_node() {
    check_queued_stream_is_refused_by_a_stopping_node(280).await;
}

/// Guards against losing the log line for the end of a stop: a separate thread writes the log, and lines that
/// it has not written when the process exits are lost.
#[tokio::test]
async fn test_nodes_log_the_end_of_their_stop() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let nodes = 8;
    for n in 1..nodes {
        gateway.start_node();
        gateway.until_ready(n).await;
    }
    (0..nodes).for_each(|n| gateway.signal(n, "-TERM"));
    let mut nodes_without_line = Vec::new();
    for n in 0..nodes {
        assert!(gateway.wait_for_exit(n).await, "the stop is no failure");
        if !gateway.log(n).contains("event=stopped") {
            nodes_without_line.push(n);
        }
    }
    assert_eq!(
        nodes_without_line,
        [0; 0],
        "nodes that did not log the end of their stop\n{}",
        gateway.logs()
    );
}

/// Lines beyond 300 per second are dropped. Guards against dropping the last lines of a busy node.
#[tokio::test]
async fn test_a_busy_node_logs_the_end_of_its_stop() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.kill(0);
    let settings = gateway.settings(0, gateway.store_address(), "");
    let short_stop = settings.replace("stop_within: 6s", "stop_within: 600ms");
    std::fs::write(gateway.settings_path(0), short_stop).expect("writable");
    gateway.restart_node(0);
    gateway.until_ready(0).await;
    // The next line starts a new second of the rate limit.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut stream = TcpStream::connect(gateway.client_address(0)).await.expect("the node listens");
    let began = Instant::now();
    let refused_calls = "GET /nowhere/ HTTP/1.1\r\nhost: h.example\r\n\r\n".repeat(499);
    let last = "GET /nowhere/ HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n";
    stream.write_all((refused_calls + last).as_bytes()).await.expect("the connection is open");
    let answers = read_to_end(&mut stream).await;
    assert_eq!(answers.matches("HTTP/1.1 404").count(), 500);
    gateway.signal(0, "-TERM");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
    let log = gateway.log(0);
    assert!(log.contains("event=stopped"), "{}", gateway.logs());
    let written = log.matches("event=refused").count();
    let seconds = began.elapsed().as_secs() as usize + 1;
    assert!(
        written <= 300 * seconds + 40,
        "the rate limit applies to all lines but the last ones: {written}"
    );
}

/// Guards against losing the log line with the reason of a failure when the process exits.
#[tokio::test]
async fn test_failing_nodes_log_the_reason() {
    let mut gateway = Gateway::start().await;
    let mut nodes_without_line = Vec::new();
    for n in 0..12 {
        let settings = [
            format!("listen: {}", gateway.client_address(n)),
            format!("ready: {}", gateway.ready(n)),
            format!("peer: {}", gateway.peer(n)),
        ];
        let setting = &settings[n % settings.len()];
        let name = setting.split(':').next().expect("a name");
        gateway.start_node_with(|yaml| yaml.replace(setting, &format!("{name}: {INVALID_ADDRESS}")));
        assert!(!gateway.wait_for_exit(n).await, "an address is invalid");
        let log = gateway.log(n);
        if !log.lines().any(|line| line.contains("event=failed") && line.contains("[fe80::1]:7001")) {
            nodes_without_line.push(n);
        }
    }
    assert_eq!(nodes_without_line, [0; 0], "nodes that did not log the reason\n{}", gateway.logs());
}

/// A log collector may have stopped reading: the exit does not wait for it.
#[tokio::test]
async fn test_an_unread_log_pipe_does_not_delay_the_exit() {
    let gateway = Gateway::start().await;
    let yaml = gateway.settings(0, gateway.store_address(), "");
    let valid = format!("listen: {}", gateway.client_address(0));
    let yaml = yaml.replace(&valid, &format!("listen: {INVALID_ADDRESS}"));
    std::fs::write(gateway.settings_path(0), yaml).expect("writable");
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    writer.write_all(&[b'\n'; PIPE_CAPACITY_BYTES]).expect("the pipe has this capacity");
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    command.arg("--config").arg(gateway.settings_path(0));
    command.stdout(writer).stderr(Stdio::null()).stdin(Stdio::null());
    let began = Instant::now();
    let ended = tokio::task::spawn_blocking(move || command.status().expect("the node runs")).await;
    assert_eq!(ended.expect("no panic").code(), Some(1));
    let took = began.elapsed();
    assert!(took < Duration::from_secs(2), "the exit waits for 200 ms at most, and took {took:?}");
}
