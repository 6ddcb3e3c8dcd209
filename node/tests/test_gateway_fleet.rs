//! A gateway node's life: start, stop, reload, and what nodes tell each other.

use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::StoreFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;

#[tokio::test]
async fn test_a_planned_stop_cuts_no_stream_and_takes_none_that_it_would_cut() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        gateway.signal(0, "-TERM");
        gateway.until("not ready", async || gateway.ready_status(0).await == 503).await;
    });
    assert!(called.whole && called.events() == Some(60), "{called:?}");
    let late = gateway.call(0, chat("r-2")).await;
    assert_eq!((late.status, late.code()), (503, 2108), "{}", gateway.logs());
    let back: f64 = late.header("retry-after").and_then(|after| after.parse().ok()).expect("a time");
    assert!((0.5..=2.3).contains(&back), "{back}: there is no other node, so the balancer must notice first");
    let mut short = chat("r-3");
    short.headers_mut().insert("length-hint", "40".parse().expect("valid"));
    let short = gateway.call(0, short).await;
    assert!(short.whole && short.events() == Some(60), "it is served to its end: {short:?}");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while gateway.ended(0).is_none() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(gateway.ended(0), Some(true));
}

/// A node that has just started reads the store within some tenths of a second: callers that come
/// meanwhile are served then, and not sent away.
#[tokio::test]
async fn test_a_starting_node_holds_requests_until_it_knows_its_replicas() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(LinkFault::Delay(Duration::from_millis(60)));
    let node = gateway.start_node_at(proxy.address);
    let mut first = None;
    gateway
        .until("the port", async || {
            let called = gateway.call(node, request("GET", "/read/x", KEY, "r-1")).await;
            first = Some(called.status).filter(|status| *status != 0);
            first.is_some()
        })
        .await;
    assert_eq!(first, Some(200), "{}", gateway.logs());
}

/// Whom a stopping node refuses comes back at once where the hall has another node.
#[tokio::test]
async fn test_callers_of_a_stopping_node_come_back_to_its_neighbour() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let second = gateway.start_node();
    gateway.until_ready(second).await;
    gateway.until("they have met", async || gateway.log(0).contains("event=nodes_met")).await;
    // Halls are told with the probes, one a second.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    gateway.signal(0, "-TERM");
    gateway.until("not ready", async || gateway.ready_status(0).await == 503).await;
    let refused = gateway.call(0, chat("r-1")).await;
    assert_eq!((refused.code(), refused.header("retry-after")), (2108, Some("0.05")), "{}", gateway.logs());
}

#[tokio::test]
async fn test_hangup_reloads_and_a_wrong_file_leaves_the_old_settings() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    std::fs::write(gateway.settings_path(0), "interface: gateway\nvm: 7\nnonsense: 1\n").expect("writable");
    gateway.signal(0, "-HUP");
    gateway.until("the mistakes", async || gateway.log(0).contains("event=reload_failed")).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    let right = gateway.settings(0, gateway.store_address(), "# changed\n");
    std::fs::write(gateway.settings_path(0), right).expect("writable");
    gateway.signal(0, "-HUP");
    gateway.until("the reload", async || gateway.log(0).contains("event=reload changed=true")).await;
    assert_eq!(gateway.ended(0), None);
}

/// A node that its store turns away gets the configuration and the replicas from its peer.
#[tokio::test]
async fn test_nodes_tell_each_other_what_the_store_tells_only_one() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let (own, server) = MetadataStore::start(&gateway.own_store_ip()).await;
    own.put("config", "main", config(1));
    let address = bookings[0].server.as_ref().expect("it serves").address;
    own.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
    let second = gateway.start_node_at(server.address);
    gateway.until_ready(second).await;
    gateway
        .until("they know each other", async || {
            gateway.log(second).contains("event=node_changed") || gateway.log(0).contains("nodes_met")
        })
        .await;
    own.set_fault(StoreFault::Refuses);
    let mut newer = config(2);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", newer);
    gateway.until("the key is gone", async || gateway.status_of(second, "/read/x", KEY).await == 401).await;
    let added = gateway.start_replica("booking", "booking-2", 1).await;
    gateway.drain("booking", &bookings[0]);
    gateway
        .until("the new replica", async || {
            gateway.status_of(second, "/read/x", "key-b").await == 200 && !added.replica.seen().is_empty()
        })
        .await;
}

#[tokio::test]
async fn test_a_forgotten_history_is_listed_anew() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.store.set_fault(StoreFault::ForgetsHistory);
    gateway.until("it lists", async || gateway.log(0).contains("event=store_history_gone")).await;
    gateway.store.set_fault(StoreFault::None);
    let mut newer = config(2);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", newer);
    gateway.until("the key is gone", async || gateway.status_of(0, "/read/x", KEY).await == 401).await;
}

/// The names that docs/OPERATIONS.md lists for the gateway.
fn documented_metrics() -> Vec<String> {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");
    let docs = std::fs::read_to_string(docs).expect("the page is there");
    let rows = docs.lines().filter_map(|line| line.strip_prefix("| `leadstage_gateway_"));
    let mut names: Vec<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(|name| format!("leadstage_gateway_{name}"))
        .collect();
    names.sort();
    names
}

#[tokio::test]
async fn test_metrics_and_status_are_as_documented() {
    let (gateway, bookings, models) = Gateway::with_replicas(2).await;
    gateway.status_of(0, "/read/x", KEY).await;
    gateway.status_of(0, "/read/x", "unknown").await;
    bookings.iter().for_each(|running| running.replica.set_fault(ReplicaFault::Fails));
    gateway.status_of(0, "/read/x", KEY).await;
    let (_, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        gateway.until("it runs", async || models.iter().any(|m| m.replica.running() > 0)).await;
        let at = models.iter().position(|m| m.replica.running() > 0).expect("it runs");
        gateway.drain("model", &models[at]);
    });
    gateway.engines.set_stream_faults([StreamFault::BreaksAfter(3)]);
    gateway.call(0, chat("r-2")).await;
    // As another node would.
    read(&gateway.peer(0), "/config").await;
    bookings.iter().for_each(|running| running.replica.set_limit(Some("100")));
    let sent_to_limited = async || {
        gateway.status_of(0, "/read/x", KEY).await;
        gateway.log(0).contains("event=sent_to_limited")
    };
    gateway.until("a replica with a limit gets a call", sent_to_limited).await;
    let metrics = gateway.metrics(0);
    let mut served = Vec::new();
    gateway
        .until("all metrics", async || {
            let text = read_text(&metrics, "/metrics").await;
            let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE leadstage_"));
            served =
                types.filter_map(|line| line.split(' ').next()).map(|n| format!("leadstage_{n}")).collect();
            served.sort();
            served.len() + 1 >= documented_metrics().len()
        })
        .await;
    // No lead can be silent in a fleet of one.
    let expected: Vec<String> =
        documented_metrics().into_iter().filter(|name| !name.contains("lead_silences")).collect();
    served.retain(|name| !name.contains("lead_silences"));
    assert_eq!(served, expected);
    let status: serde_json::Value =
        serde_json::from_str(&read_text(&metrics, "/status").await).expect("JSON");
    assert_eq!((&status["readiness"], &status["bundle"]), (&"ready".into(), &1.into()));
}

/// A node that missed the news fetches the list; who leaves must stand in it, as a replica
/// that is merely missing there is given some time.
#[tokio::test]
async fn test_the_list_for_other_nodes_says_who_leaves() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    gateway.drain("booking", &bookings[0]);
    let peer = gateway.peer(0);
    gateway
        .until("it says so", async || {
            let list = replicas_since(&peer, 0).await;
            let leaving: Vec<_> = list.leaving.iter().map(|changed| changed.item.id.to_string()).collect();
            leaving == ["booking-1"] && list.staying.iter().all(|changed| &*changed.item.id != "booking-1")
        })
        .await;
    let known = replicas_since(&peer, 0).await;
    let changed = replicas_since(&peer, known.at).await;
    assert!(changed.staying.is_empty() && changed.leaving.is_empty(), "{changed:?}");
}

async fn replicas_since(peer: &str, known: u64) -> ReplicaList {
    let body = read(peer, &format!("/replicas?{known}")).await;
    ReplicaList::unpack(&body).expect("a list")
}

async fn read_text(address: &str, path: &str) -> String {
    String::from_utf8_lossy(&read(address, path).await).into_owned()
}

async fn read(address: &str, path: &str) -> Bytes {
    let req =
        http::Request::get(path).header("host", "x").body(http_body_util::Full::default()).expect("valid");
    let (_connection, res) = crate::gateway_environment::send(address, req).await.expect("it answers");
    http_body_util::BodyExt::collect(res.into_body()).await.expect("a body").to_bytes()
}

/// A generation that waits at a lead for room is refused by it in time; the asking node
/// must not take the lead for silent meanwhile and place it by itself.
#[tokio::test]
async fn test_who_waits_at_a_lead_does_not_take_it_for_silent() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let second = gateway.start_node();
    gateway.until_ready(second).await;
    gateway.until("they know each other", async || gateway.log(0).contains("nodes_met")).await;
    let large = |id: &str| {
        let mut req = chat(id);
        req.headers_mut().insert("leadstage-token-usage", "30000,2000".parse().expect("valid"));
        req
    };
    let front = gateway.client_address(0);
    let running = crate::gateway_environment::send(&front, large("r-1")).await;
    let running = running.unwrap_or_else(|err| panic!("it begins: {err}\n{}", gateway.logs()));
    // The lead hears within an inventory's interval of what the other node runs.
    tokio::time::sleep(Duration::from_millis(400)).await;
    for node in [0, second] {
        let refused = gateway.call(node, large("r-2")).await;
        assert_eq!((refused.status, refused.code()), (503, 2104), "{}", gateway.logs());
    }
    drop(running);
    assert!(!gateway.logs().contains("event=lead_silent"), "{}", gateway.logs());
}

/// Nodes that are started one after the other.
const STARTS: usize = 20;

/// A node called itself ready while its callers' port was not open yet: the port is opened by the
/// thread that serves callers, which may come after the configuration is known. Callers that the
/// balancer sent there found no connection. Tests beside a load showed it: "serving" in the log, a
/// call right after it that broke, and no request.
#[tokio::test]
async fn test_a_ready_node_takes_connections() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let mut refused = Vec::new();
    for _ in 0..STARTS {
        let node = gateway.start_node();
        while gateway.ready_status(node).await != 200 {
            tokio::task::yield_now().await;
        }
        if let Err(err) = tokio::net::TcpStream::connect(gateway.client_address(node)).await {
            refused.push(format!("node {node}: {err}"));
        }
        gateway.kill(node);
    }
    assert_eq!(refused, Vec::<String>::new(), "of {STARTS} nodes");
}
