//! Invalid entries in the store: no replica is used because of them, and valid entries stay in effect.

use std::time::Duration;

use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::WAIT_TIMEOUT;
use crate::gateway_environment::book;
use crate::gateway_environment::config;

/// The entry with `field` set to `value`, or without the field if there is no value.
fn with_field(mut entry: Value, field: &str, value: Option<Value>) -> Value {
    let fields = entry.as_object_mut().expect("an object");
    match value {
        Some(value) => drop(fields.insert(field.to_owned(), value)),
        None => drop(fields.remove(field)),
    }
    entry
}

#[tokio::test]
async fn test_invalid_entries_are_ignored_and_valid_ones_stay_in_effect() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    let foreign = gateway.start_replica(BOOKING, "foreign", 1).await;
    let address = foreign.server.as_ref().expect("it serves").address;
    let valid = || replica_entry(BOOKING, address, "hall-1", "ready");
    let mut entries = vec![json!("\u{fffd}\u{0}"), json!(7), json!([1, 2]), Value::Null, json!({})];
    for field in ["service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"] {
        entries.push(with_field(valid(), field, None));
        entries.push(with_field(valid(), field, Some(json!({"of": "another type"}))));
    }
    entries.push(with_field(valid(), "state", Some(json!("resting"))));
    entries.push(with_field(valid(), "service", Some(json!("unheard of"))));
    entries.push(with_field(valid(), "born", Some(json!(1.5))));
    for (n, entry) in entries.into_iter().enumerate() {
        gateway.store.put("servers", &format!("foreign-{n}"), entry.clone());
        // A valid entry of a replica that is overwritten by an invalid one is not used either.
        gateway.store.put("servers", "foreign", entry);
    }
    gateway.until("the entries were read", async || gateway.log(0).contains("name=foreign-20")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = foreign.replica.received_requests().len();
    for _ in 0..20 {
        assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    }
    assert_eq!(foreign.replica.received_requests().len(), before, "{}", gateway.logs());
    assert!(
        bookings.iter().all(|booking| !booking.replica.received_requests().is_empty()),
        "the other replicas are still used"
    );
    // A node that starts reads the invalid entries in a list response.
    let mut gateway = gateway;
    let second = gateway.start_node();
    gateway.until_ready(second).await;
    for _ in 0..20 {
        assert_eq!(gateway.status_of(second, "/read/x", KEY).await, 200);
    }
    assert_eq!(foreign.replica.received_requests().len(), before, "{}", gateway.logs());
    // The next valid entry of the replica puts it into use again.
    gateway.store.put("servers", "foreign", valid());
    gateway
        .until("the replica is used again", async || {
            gateway.status_of(0, "/read/x", KEY).await;
            foreign.replica.received_requests().len() > before
        })
        .await;
}

/// Guards against a node that ends because of the name of an object at the end of a page.
#[tokio::test]
async fn test_a_node_reads_a_list_with_odd_names() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    for name in [" ", "a b", "c%d", "d&e=f", "e#f", "g/h", "h\"i", "i\u{1}j", "\u{f1}"] {
        gateway.store.put("servers", name, json!({}));
    }
    let _booking = gateway.start_replica(BOOKING, "z", 1).await;
    gateway.store.set_page_size(1);
    gateway.start_node();
    until_met_or_ended(&mut gateway, async |gateway| gateway.ready_status(0).await == 200).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200, "{}", gateway.logs());
}

/// Polls until the condition `is_met` holds; panics if node 0 ends before.
async fn until_met_or_ended(gateway: &mut Gateway, is_met: impl AsyncFn(&Gateway) -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !is_met(gateway).await {
        assert_eq!(gateway.ended(0), None, "the node ended\n{}", gateway.logs());
        assert!(tokio::time::Instant::now() < deadline, "timed out\n{}", gateway.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a node that ends because of an order's name, to which it writes a status, or its time.
#[tokio::test]
async fn test_odd_orders_are_refused_or_followed() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    gateway.start_node_with(|yaml| {
        yaml.replace("retry_slack: 100", "retry_slack: 100, exposure_share: 0.1, exposure_slack: 10")
    });
    gateway.until_ready(0).await;
    gateway.store.put(
        "rollouts",
        BOOKING,
        json!({"service": BOOKING, "targetVersion": "v2", "durationS": 1.8e19}),
    );
    for name in ["odd name", "\u{1}", "\u{f1}"] {
        gateway.store.put("rollouts", name, json!({"service": name, "targetVersion": "v2", "durationS": -5}));
        let has_status = |gateway: &Gateway| {
            gateway.store.status("rollouts", name).is_some_and(|s| s["state"] == "rolled_back")
        };
        until_met_or_ended(&mut gateway, async |gateway| has_status(gateway)).await;
    }
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    assert_eq!(gateway.ended(0), None, "{}", gateway.logs());
}

/// Guards against an answer that is lost because its replica keeps connections open for ever.
#[tokio::test]
async fn test_a_replica_with_an_endless_keep_alive_time_is_used() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let listener = TcpListener::bind(format!("{}:0", gateway.replicas_ip())).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    gateway.store.put("servers", "endless", replica_entry(BOOKING, address, "hall-1", "ready"));
    gateway.drain(BOOKING, &bookings[0]);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(read @ 1..) = stream.read(&mut buf).await {
                    let req = String::from_utf8_lossy(&buf[..read]).into_owned();
                    let id = req.lines().find(|line| line.starts_with("leadstage-request-id: "));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\n{}\r\nkeep-alive: timeout={}\r\ncontent-length: 2\r\n\r\nok",
                        id.unwrap_or("x: y"),
                        u64::MAX
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    gateway
        .until("the other replica to leave", async || gateway.log(0).contains("event=replica_leaves"))
        .await;
    for n in 0..3 {
        let called = gateway.call(0, book(&format!("r-{n}"))).await;
        assert_eq!((called.status, &*called.body), (200, "ok"), "{called:?}\n{}", gateway.logs());
    }
}
