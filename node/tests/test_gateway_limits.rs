//! Limits on the size and the duration of what callers send. The configuration in force applies to
//! connections that were open before it, too.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::config;
use crate::gateway_environment::request;

/// How long a test waits until a connection is closed: far above every limit set here, and far below the one
/// that must no longer apply.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

async fn connect(gateway: &Gateway) -> TcpStream {
    TcpStream::connect(gateway.client_address(0)).await.expect("the node listens")
}

/// Reads until the node closes the connection; returns the received text and how long that took.
async fn read_to_end(stream: &mut TcpStream) -> (String, Duration) {
    let began = Instant::now();
    let mut text = Vec::new();
    let reading = tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut text)).await;
    // A reset connection counts as closed.
    let _ = reading.expect("the node closes the connection");
    (String::from_utf8_lossy(&text).into_owned(), began.elapsed())
}

fn with_limits(version: u64, head_ms: u64, idle_ms: u64) -> serde_json::Value {
    let mut config = config(version);
    config["limits"]["headerTimeoutMs"] = json!(head_ms);
    config["limits"]["idleTimeoutMs"] = json!(idle_ms);
    config
}

#[tokio::test]
async fn test_a_head_that_is_too_large_is_refused() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let mut req = request("GET", "/read/x", KEY, "r-1");
    req.headers_mut().insert("x-large", "x".repeat(20_000).parse().expect("valid"));
    assert_eq!(gateway.call(0, req).await.status, 431);
    let mut req = request("GET", "/read/x", KEY, "r-2");
    req.headers_mut().insert("x-large", "x".repeat(12_000).parse().expect("valid"));
    assert_eq!(gateway.call(0, req).await.status, 200);
    assert_eq!(bookings[0].replica.received_requests().len(), 1);
}

#[tokio::test]
async fn test_a_slow_request_head_closes_its_connection() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let mut stream = connect(&gateway).await;
    stream.write_all(b"GET /read/x HTTP/1.1\r\nhost: h.ex").await.expect("writable");
    let (_, took) = read_to_end(&mut stream).await;
    assert!(took >= Duration::from_millis(900), "the limit is 1 s: {took:?}");
}

/// A shorter limit applies at once to a connection that is already idle.
#[tokio::test]
async fn test_idle_connections_follow_a_new_limit() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let mut stream = connect(&gateway).await;
    let head = format!(
        "GET /read/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: r-1\r\nauthorization: Token {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("writable");
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await.expect("an answer");
    assert!(buf[..read].starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buf[..read]));
    gateway.store.put("config", "main", with_limits(2, 1_000, 300));
    let (rest, _) = read_to_end(&mut stream).await;
    assert_eq!(rest, "", "the connection is closed without further data");
}

/// A longer limit keeps a connection open that would have been closed under the old one.
#[tokio::test]
async fn test_a_longer_limit_keeps_a_connection_open() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.store.put("config", "main", with_limits(2, 1_000, 1_500));
    gateway.until("version 2", async || gateway.log(0).contains("event=config_in_force version=2")).await;
    let mut stream = connect(&gateway).await;
    gateway.store.put("config", "main", with_limits(3, 1_000, 60_000));
    let mut byte = [0; 1];
    let closed = tokio::time::timeout(Duration::from_millis(2_500), stream.read(&mut byte)).await;
    assert!(closed.is_err(), "the connection stays open");
}

/// How long a part of the request head is delayed, around the moment at which its connection exceeds the
/// limit of 1 s and has a tenth of a second to close.
const HEAD_DELAYS_MS: [u64; 10] = [960, 980, 1_000, 1_020, 1_040, 1_060, 1_080, 1_100, 1_120, 1_140];

/// Guards against a stream that is cut 100 ms after its start. If the rest of the request head arrives just
/// after the connection has exceeded the head timeout, the request may be accepted and sent to an engine, and
/// the connection dropped with it once the time to close is over. The engine then sees a caller that left.
#[tokio::test]
async fn test_a_request_accepted_at_the_head_timeout_is_served() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    let calls = HEAD_DELAYS_MS.map(|delay_ms| request_stream_with_delayed_head(&gateway, delay_ms));
    let answers = futures::future::join_all(calls).await;
    let seen = models[0].replica.received_requests();
    let mut cut = Vec::new();
    for (delay_ms, answer) in HEAD_DELAYS_MS.iter().zip(answers) {
        let id = format!("r-{delay_ms}");
        let was_executed = seen.iter().any(|seen| seen.header("leadstage-request-id") == Some(&id));
        if was_executed && !answer.ends_with("0\r\n\r\n") {
            cut.push(delay_ms);
        }
    }
    assert!(cut.is_empty(), "cut after {cut:?} ms\n{}", gateway.logs());
}

/// Requests a stream with a part of the head delayed; returns the received text.
async fn request_stream_with_delayed_head(gateway: &Gateway, delay_ms: u64) -> String {
    let mut stream = connect(gateway).await;
    stream.write_all(b"POST /chat/x HTTP/1.1\r\nhost: h.example\r\n").await.expect("writable");
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let rest = format!(
        "leadstage-request-id: r-{delay_ms}\r\nleadstage-model: m\r\nleadstage-token-usage: 100,2000\r\n\
         authorization: Token {KEY}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    // The connection may be closed already.
    let _ = stream.write_all(rest.as_bytes()).await;
    let mut text = Vec::new();
    let reading = tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut text)).await;
    // A reset connection counts as closed.
    let _ = reading.expect("the node closes the connection");
    String::from_utf8_lossy(&text).into_owned()
}
