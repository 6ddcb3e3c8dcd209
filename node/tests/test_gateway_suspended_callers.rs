//! Callers whose requests arrive at a node while it is suspended, within the limits of their connections.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// Limit of idle connections, and of the arrival of a head.
const LIMIT: Duration = Duration::from_millis(1_000);
/// Time from the last activity on a connection to the suspension of its node.
const SUSPENDED_AFTER: Duration = Duration::from_millis(100);
/// Part of a request's head.
const HEAD_PART: usize = 30;
/// Longer than any response takes here.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a node with short limits, its replicas, and a connection to it.
async fn with_short_limits() -> (Gateway, Vec<RunningReplica>, TcpStream) {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let mut config = config(2);
    config["limits"]["headerTimeoutMs"] = json!(LIMIT.as_millis() as u64);
    config["limits"]["idleTimeoutMs"] = json!(LIMIT.as_millis() as u64);
    gateway.store.put("config", "main", config);
    gateway.until("version 2", async || gateway.log(0).contains("event=config_in_force version=2")).await;
    let stream = TcpStream::connect(gateway.client_address(0)).await.expect("the node listens");
    (gateway, bookings, stream)
}

fn call(id: &str) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: {id}\r\nauthorization: Token {KEY}\r\n\r\n"
    )
}

/// Sends `rest` while the node is suspended, within the connection's limit, and returns the response, which
/// is empty if the connection was closed.
async fn send_while_suspended(gateway: &Gateway, stream: &mut TcpStream, rest: &str) -> String {
    tokio::time::sleep(SUSPENDED_AFTER).await;
    gateway.signal(0, "-STOP");
    stream.write_all(rest.as_bytes()).await.expect("writable");
    tokio::time::sleep(LIMIT).await;
    gateway.signal(0, "-CONT");
    read(stream).await
}

async fn read(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4_096];
    let reading = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buf)).await;
    let read = reading.expect("a response or the end").unwrap_or(0);
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

/// Guards against a kept connection that is closed as idle with a request in it that arrived in time: its
/// caller can't tell whether the request was run.
#[tokio::test]
async fn test_a_request_that_arrived_on_an_idle_connection_is_served() {
    let (gateway, _bookings, mut stream) = with_short_limits().await;
    stream.write_all(call("r-1").as_bytes()).await.expect("writable");
    assert!(read(&mut stream).await.starts_with("HTTP/1.1 200"));
    let response = send_while_suspended(&gateway, &mut stream, &call("r-2")).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}\n{}", gateway.logs());
}

/// Guards against a connection that is closed because of a late head that had arrived in time.
#[tokio::test]
async fn test_a_head_that_was_completed_during_a_suspension_is_served() {
    let (gateway, _bookings, mut stream) = with_short_limits().await;
    let call = call("r-1");
    stream.write_all(&call.as_bytes()[..HEAD_PART]).await.expect("writable");
    let response = send_while_suspended(&gateway, &mut stream, &call[HEAD_PART..]).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}\n{}", gateway.logs());
}
