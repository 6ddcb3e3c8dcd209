//! Plain calls (no generations) through the gateway interface.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::send;

fn set_faults(replicas: &[RunningReplica], fault: ReplicaFault) {
    replicas.iter().for_each(|running| running.replica.set_fault(fault));
}

pub fn arrivals(replicas: &[RunningReplica]) -> usize {
    replicas.iter().map(|running| running.replica.received_requests().len()).sum()
}

#[tokio::test]
async fn test_requests_are_forwarded_unchanged_except_for_leadstage_headers() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let mut req = request("POST", "/book/a%20b?x=1&y", KEY, "r-7");
    *req.body_mut() = Full::from("a body");
    let headers = req.headers_mut();
    for (name, value) in [
        ("x-own", "kept"),
        ("leadstage-tenant", "forged"),
        ("priority", "0"),
        ("hold", "h"),
        ("pin-ms", "9"),
        ("kv-from", "10.0.0.1:1/x"),
        ("kv-backup", "10.0.0.1:1"),
        ("kv-fetch", "10.0.0.1:1"),
        ("last-event-id", "4"),
        ("expect-version", "2"),
        ("leadstage-target-instance", "forged"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ] {
        headers.insert(name, value.parse().expect("valid"));
    }
    let called = gateway.call(0, req).await;
    assert_eq!((called.status, called.body.as_str()), (200, "booking-1 answers /book/a%20b?x=1&y"));
    assert_eq!(called.header("leadstage-server-signature"), Some("sig-booking-1"));
    let seen = bookings[0].replica.received_requests().pop().expect("the replica received the request");
    assert_eq!(seen.line, "POST /book/a%20b?x=1&y");
    assert_eq!(seen.body, "a body");
    let deadline: u64 =
        seen.header("leadstage-deadline-ms").and_then(|ms| ms.parse().ok()).expect("a deadline");
    assert!((7_000..=8_000).contains(&deadline), "{deadline} ms is not the remaining time");
    let mut names: Vec<String> = seen
        .headers
        .iter()
        .filter(|(name, _)| *name != "leadstage-deadline-ms" && *name != "content-length")
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")))
        .collect();
    names.sort();
    insta::assert_snapshot!(names.join("\n"), @r"
    host: h.example
    leadstage-request-id: r-7
    leadstage-target-instance: booking-1
    leadstage-tenant: org-a
    x-own: kept
    ");
}

#[tokio::test]
async fn test_refused_requests_get_their_status() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    assert_eq!(gateway.status_of(0, "/nowhere/x", KEY).await, 404);
    assert_eq!(gateway.status_of(0, "/read/x", "unknown").await, 401);
    let mut large = request("POST", "/book/x", KEY, "r-1");
    *large.body_mut() = Full::from(Bytes::from(vec![b'x'; 1_001]));
    assert_eq!(gateway.call(0, large).await.status, 413);
    assert_eq!(arrivals(&bookings), 0);
}

#[tokio::test]
async fn test_requests_without_a_configuration_get_retry_after() {
    let mut gateway = Gateway::start().await;
    gateway.start_node();
    gateway.until("the port", async || gateway.status_of(0, "/read/x", KEY).await == 503).await;
    let called = gateway.call(0, request("GET", "/read/x", KEY, "r-1")).await;
    assert_eq!((called.status, called.code()), (503, 2107));
    assert!(called.header("retry-after").is_some());
    assert_eq!(gateway.ready_status(0).await, 503);
}

/// For each fault that all replicas have: the status of an idempotent and of a non-idempotent call, and how
/// many requests reached replicas.
#[tokio::test]
async fn test_replica_faults_give_their_status_and_attempts() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    let mut rows = Vec::new();
    for fault in [
        ReplicaFault::None,
        ReplicaFault::NotExecuted,
        ReplicaFault::Fails,
        ReplicaFault::Breaks,
        ReplicaFault::WrongRequestId,
        ReplicaFault::TruncatesBody,
    ] {
        set_faults(&bookings, fault);
        for path in ["/read/x", "/book/x"] {
            let before = arrivals(&bookings);
            let called = gateway.call(0, request("POST", path, KEY, "r-1")).await;
            let sent = arrivals(&bookings) - before;
            let signed = called.header("leadstage-server-signature").is_some();
            rows.push(format!("{fault:?} {path}: {} sent {sent} signed {signed}", called.status));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    None /read/x: 200 sent 1 signed true
    None /book/x: 200 sent 1 signed true
    NotExecuted /read/x: 503 sent 2 signed false
    NotExecuted /book/x: 503 sent 1 signed false
    Fails /read/x: 500 sent 2 signed true
    Fails /book/x: 500 sent 1 signed true
    Breaks /read/x: 502 sent 2 signed false
    Breaks /book/x: 502 sent 1 signed false
    WrongRequestId /read/x: 502 sent 2 signed false
    WrongRequestId /book/x: 502 sent 1 signed false
    TruncatesBody /read/x: 502 sent 2 signed false
    TruncatesBody /book/x: 502 sent 1 signed false
    ");
}

#[tokio::test]
async fn test_a_disconnected_caller_is_detected_while_its_replica_is_silent() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Hangs);
    let front = gateway.client_address(0);
    let calling =
        tokio::spawn(async move { send(&front, request("GET", "/read/x", KEY, "r-left")).await.is_ok() });
    gateway.until("the request to run", async || bookings[0].replica.running() == 1).await;
    calling.abort();
    let disconnected_at = tokio::time::Instant::now();
    gateway
        .until("the replica to detect the disconnect", async || {
            bookings[0].replica.abandoned_requests() == ["r-left"]
        })
        .await;
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(500),
        "detected after {:?}",
        disconnected_at.elapsed()
    );
}

#[tokio::test]
async fn test_a_leaving_replica_gets_no_new_calls() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    gateway.drain("booking", &bookings[0]);
    gateway
        .until("replica_leaves", async || gateway.log(0).contains("event=replica_leaves upstream=booking-1"))
        .await;
    for _ in 0..20 {
        assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    }
    assert_eq!(arrivals(&bookings[..1]), 0);
    assert_eq!(arrivals(&bookings[1..]), 20);
}

#[tokio::test]
async fn test_a_newer_configuration_is_applied_and_an_older_one_is_ignored() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    let mut newer = config(3);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", newer);
    gateway
        .until("the old key to be refused", async || gateway.status_of(0, "/read/x", KEY).await == 401)
        .await;
    assert_eq!(gateway.status_of(0, "/read/x", "key-b").await, 200);
    gateway.store.put("config", "main", config(2));
    let address = "127.0.0.1:1".parse().expect("valid");
    gateway.store.put("servers", "other", replica_entry("s", address, "z", "ready"));
    let is_listed = async || gateway.log(0).contains("event=replica_listed upstream=other");
    gateway.until("a later store change", is_listed).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 401);
}

/// Replicas may drop idle connections without closing them. A call that is sent on such a connection may
/// have been executed and is not retried, so the node must soon stop reusing idle connections.
#[tokio::test]
async fn test_silently_dropped_connections_fail_few_calls() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    set_faults(&bookings, ReplicaFault::ClosesReusedConnections);
    let mut failed = 0;
    for _ in 0..16 {
        let called = gateway.call(0, request("POST", "/book/x", KEY, "r-1")).await;
        failed += usize::from(called.status != 200);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!((1..=3).contains(&failed), "{failed} of 16 failed");
}
