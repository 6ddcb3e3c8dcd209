//! Lifecycle of a gateway node: start, stop, reload, and the exchange of updates between nodes.

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
async fn test_a_planned_stop_interrupts_no_stream_and_refuses_those_that_it_would_interrupt() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        gateway.signal(0, "-TERM");
        gateway.until("the node to become unready", async || gateway.ready_status(0).await == 503).await;
    });
    assert!(called.whole && called.events() == Some(60), "{called:?}");
    let refused_stream = gateway.call(0, chat("r-2")).await;
    assert_eq!((refused_stream.status, refused_stream.code()), (503, 2108), "{}", gateway.logs());
    let retry_after: f64 = refused_stream
        .header("retry-after")
        .and_then(|after| after.parse().ok())
        .expect("a number of seconds");
    assert!(
        (0.5..=2.3).contains(&retry_after),
        "{retry_after}: without another node in the hall, the load balancer must notice the stop first"
    );
    let mut short = chat("r-3");
    short.headers_mut().insert("length-hint", "40".parse().expect("valid"));
    let short = gateway.call(0, short).await;
    assert!(
        short.whole && short.events() == Some(60),
        "a stream that ends in time is served completely: {short:?}"
    );
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while gateway.ended(0).is_none() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(gateway.ended(0), Some(true));
}

/// A node that has just started reads the store within some tenths of a second. Requests that arrive earlier
/// are held until then and not refused.
#[tokio::test]
async fn test_a_starting_node_holds_requests_until_it_knows_its_replicas() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(LinkFault::Delay(Duration::from_millis(60)));
    let node = gateway.start_node_at(proxy.address);
    let mut first = None;
    gateway
        .until("the callers' port to open", async || {
            let called = gateway.call(node, request("GET", "/read/x", KEY, "r-1")).await;
            first = Some(called.status).filter(|status| *status != 0);
            first.is_some()
        })
        .await;
    assert_eq!(first, Some(200), "{}", gateway.logs());
}

/// A request that a stopping node refuses may be retried at once if the hall has another node.
#[tokio::test]
async fn test_a_stopping_node_asks_for_an_immediate_retry_if_its_hall_has_another_node() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let second = gateway.start_node();
    gateway.until_ready(second).await;
    gateway
        .until("the nodes to connect to each other", async || gateway.log(0).contains("event=nodes_met"))
        .await;
    // Nodes announce their halls with the probes, once a second.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    gateway.signal(0, "-TERM");
    gateway.until("the node to become unready", async || gateway.ready_status(0).await == 503).await;
    let refused = gateway.call(0, chat("r-1")).await;
    assert_eq!((refused.code(), refused.header("retry-after")), (2108, Some("0.05")), "{}", gateway.logs());
}

#[tokio::test]
async fn test_sighup_reloads_and_an_invalid_file_keeps_the_old_settings() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    std::fs::write(gateway.settings_path(0), "interface: gateway\nvm: 7\nnonsense: 1\n").expect("writable");
    gateway.signal(0, "-HUP");
    gateway.until("the reload to fail", async || gateway.log(0).contains("event=reload_failed")).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    let valid_settings = gateway.settings(0, gateway.store_address(), "# changed\n");
    std::fs::write(gateway.settings_path(0), valid_settings).expect("writable");
    gateway.signal(0, "-HUP");
    gateway
        .until("the reload to succeed", async || gateway.log(0).contains("event=reload changed=true"))
        .await;
    assert_eq!(gateway.ended(0), None);
}

/// A node whose store refuses it gets the configuration and the replicas from its peer.
#[tokio::test]
async fn test_a_node_whose_store_refuses_it_gets_updates_from_its_peer() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let (second_store, server) = MetadataStore::start(&gateway.own_store_ip()).await;
    second_store.put("config", "main", config(1));
    let address = bookings[0].server.as_ref().expect("the replica is running").address;
    second_store.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
    let second = gateway.start_node_at(server.address);
    gateway.until_ready(second).await;
    gateway
        .until("the nodes to connect to each other", async || {
            gateway.log(second).contains("event=node_changed") || gateway.log(0).contains("nodes_met")
        })
        .await;
    second_store.set_fault(StoreFault::Refuses);
    let mut newer = config(2);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", newer);
    gateway
        .until("the old key to be refused", async || gateway.status_of(second, "/read/x", KEY).await == 401)
        .await;
    let added = gateway.start_replica("booking", "booking-2", 1).await;
    gateway.drain("booking", &bookings[0]);
    gateway
        .until("a call on the new replica", async || {
            gateway.status_of(second, "/read/x", "key-b").await == 200
                && !added.replica.received_requests().is_empty()
        })
        .await;
}

#[tokio::test]
async fn test_a_lost_watch_history_causes_a_new_listing() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.store.set_fault(StoreFault::LosesHistory);
    gateway.until("a new listing", async || gateway.log(0).contains("event=store_history_gone")).await;
    gateway.store.set_fault(StoreFault::None);
    let mut newer = config(2);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["key-b"]);
    gateway.store.put("config", "main", newer);
    gateway
        .until("the old key to be refused", async || gateway.status_of(0, "/read/x", KEY).await == 401)
        .await;
}

/// The gateway's metrics that docs/OPERATIONS.md lists.
fn documented_metrics() -> Vec<String> {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");
    let docs = std::fs::read_to_string(docs).expect("docs/OPERATIONS.md is readable");
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
    for fault in [ReplicaFault::EndlessHeads, ReplicaFault::Fails] {
        bookings.iter().for_each(|running| running.replica.set_fault(fault));
        gateway.status_of(0, "/read/x", KEY).await;
    }
    let (_, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        gateway.until("the generation to run", async || models.iter().any(|m| m.replica.running() > 0)).await;
        let at = models.iter().position(|m| m.replica.running() > 0).expect("a replica runs the generation");
        gateway.drain("model", &models[at]);
    });
    gateway.engines.set_stream_faults([StreamFault::BreaksAfter(3)]);
    gateway.call(0, chat("r-2")).await;
    // Other nodes fetch the configuration like this.
    read(&gateway.peer(0), "/config").await;
    // Other nodes request a connection to a replica like this.
    let tunnel = http::Request::connect("127.0.0.1:1").body(http_body_util::Full::default()).expect("valid");
    drop(crate::gateway_environment::send(&gateway.peer(0), tunnel).await.expect("the node answers"));
    bookings.iter().for_each(|running| running.replica.set_limit(Some("100")));
    let sent_to_limited = async || {
        gateway.status_of(0, "/read/x", KEY).await;
        gateway.log(0).contains("event=sent_to_limited")
    };
    gateway.until("a call on a rate-limited replica", sent_to_limited).await;
    let metrics = gateway.metrics(0);
    let mut served = Vec::new();
    gateway
        .until("all documented metrics", async || {
            let text = read_text(&metrics, "/metrics").await;
            let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE leadstage_"));
            served =
                types.filter_map(|line| line.split(' ').next()).map(|n| format!("leadstage_{n}")).collect();
            served.sort();
            served.len() + 1 >= documented_metrics().len()
        })
        .await;
    // A fleet of one node has no lead that could fall silent.
    let expected: Vec<String> =
        documented_metrics().into_iter().filter(|name| !name.contains("lead_silences")).collect();
    served.retain(|name| !name.contains("lead_silences"));
    assert_eq!(served, expected);
    let status: serde_json::Value =
        serde_json::from_str(&read_text(&metrics, "/status").await).expect("JSON");
    assert_eq!((&status["readiness"], &status["bundle"]), (&"ready".into(), &1.into()));
}

/// A node that missed replica updates fetches the whole list. Replicas that leave must be listed as
/// leaving: a replica that is merely missing from the list is kept for some time.
#[tokio::test]
async fn test_the_replica_list_for_peers_includes_leaving_replicas() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    gateway.drain("booking", &bookings[0]);
    let peer = gateway.peer(0);
    gateway
        .until("the list to contain booking-1 as leaving", async || {
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
    ReplicaList::unpack(&body).expect("a replica list")
}

async fn read_text(address: &str, path: &str) -> String {
    String::from_utf8_lossy(&read(address, path).await).into_owned()
}

async fn read(address: &str, path: &str) -> Bytes {
    let req =
        http::Request::get(path).header("host", "x").body(http_body_util::Full::default()).expect("valid");
    let (_connection, res) = crate::gateway_environment::send(address, req).await.expect("the node answers");
    http_body_util::BodyExt::collect(res.into_body()).await.expect("a body").to_bytes()
}

/// A generation that is queued at a lead for lack of capacity is refused by the lead in time. Meanwhile the
/// requesting node must not consider the lead silent and place the generation itself.
#[tokio::test]
async fn test_a_generation_queued_at_a_lead_does_not_make_the_lead_seem_silent() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let second = gateway.start_node();
    gateway.until_ready(second).await;
    gateway.until("the nodes to connect to each other", async || gateway.log(0).contains("nodes_met")).await;
    let large = |id: &str| {
        let mut req = chat(id);
        req.headers_mut().insert("leadstage-token-usage", "30000,2000".parse().expect("valid"));
        req
    };
    let front = gateway.client_address(0);
    let running = crate::gateway_environment::send(&front, large("r-1")).await;
    let running =
        running.unwrap_or_else(|err| panic!("the generation does not start: {err}\n{}", gateway.logs()));
    // The lead learns within one inventory interval what the other node runs.
    tokio::time::sleep(Duration::from_millis(400)).await;
    for node in [0, second] {
        let refused = gateway.call(node, large("r-2")).await;
        assert_eq!((refused.status, refused.code()), (503, 2104), "{}", gateway.logs());
    }
    drop(running);
    assert!(!gateway.logs().contains("event=lead_silent"), "{}", gateway.logs());
}

/// Number of nodes that are started one after the other.
const STARTS: usize = 20;

/// Guards against a node that reports readiness before its callers' port is open. The thread that serves
/// callers opens the port, possibly after the configuration is known; on a loaded machine, callers that the
/// load balancer sent there were refused a connection.
#[tokio::test]
async fn test_a_ready_node_accepts_connections() {
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
