//! Large configurations over small links.
//!
//! What users saw: routes that had been added were not served, and requests were still handled by
//! a configuration that had been replaced many seconds before. Three times 1,400 routes were added,
//! up to 830 kB in all; the nodes' links carry 10 Mbit/s, on which that takes 0.66 s when they do
//! nothing else. The order of events: each node that heard of the new configuration fetched it whole
//! from whoever had it, and gave up after 0.6 s; then it read the store, and gave up after 1 s; then
//! it began anew from nothing. Their attempts filled the links, so that fewer and fewer got through:
//! the last configuration came to 38 of 62 nodes. The evidence: 423 fetches that ended with "no
//! answer within 600ms" and 290 reads of the store with "no answer within 1s"; every change of
//! 284 kB came to all nodes within 1.6 s, of 555 kB within 3 s. The cause: limits on a whole
//! transfer that did not know its size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::loopback::Server;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::StoreFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::config;
use crate::gateway_environment::large_config;
use crate::gateway_environment::send;
use crate::gateway_environment::send_config_announcement;

/// Some 1 MB, the most that the store holds in one object.
const MAX_ROUTES: usize = 5_000;
/// Path of the last of them.
const LAST_ROUTE: &str = "/more-4999/x";
/// Bytes a second: a configuration of that size takes three seconds whole.
const SLOW_LINK: LinkFault = LinkFault::Thin(350_000);

/// A node reads the store when it starts. However small its link, what it reads comes in the end.
#[tokio::test]
async fn test_a_large_configuration_is_read_over_a_slow_link_at_start() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MAX_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(SLOW_LINK);
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    assert_eq!(gateway.status_of(node, LAST_ROUTE, KEY).await, 200, "{}", gateway.logs());
}

/// Whether the store answers is asked every 0.8 s, and must not take longer the more it holds.
#[tokio::test]
async fn test_store_checks_do_not_depend_on_the_size_of_the_configuration() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(SLOW_LINK);
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    gateway.store.put("config", "main", large_config(2, MAX_ROUTES));
    gateway.until("in force", async || gateway.status_of(node, LAST_ROUTE, KEY).await == 200).await;
    // Some questions more.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!gateway.log(node).contains("event=store_lost"), "{}", gateway.logs());
}

/// Two nodes that don't know each other. The first has a large configuration; the second's store
/// answers no more, and what the first hands out passes a proxy.
struct NodePair {
    gateway: Gateway,
    outdated: usize,
    proxy: FaultyProxy,
    _servers: (RunningReplica, Server),
}

impl NodePair {
    async fn start() -> NodePair {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let booking = gateway.start_replica("booking", "booking-1", 1).await;
        let source = gateway.start_node();
        gateway.until_ready(source).await;
        let (own_store, server) = MetadataStore::start(&gateway.own_store_ip()).await;
        own_store.put("config", "main", config(1));
        let address = booking.server.as_ref().expect("it serves").address;
        own_store.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
        let outdated = gateway.start_lone_node_at(server.address);
        gateway.until_ready(outdated).await;
        own_store.set_fault(StoreFault::Refuses);
        gateway.store.put("config", "main", large_config(2, MAX_ROUTES));
        gateway.until("in force", async || gateway.log(source).contains("config_in_force version=2")).await;
        let peer = gateway.peer(source).parse().expect("an address");
        let proxy = FaultyProxy::start(&gateway.replicas_ip(), peer).await;
        NodePair { gateway, outdated, proxy, _servers: (booking, server) }
    }

    /// Tells the second node of the first one's configuration until something comes about.
    async fn announce_until(&self, what: &str, is_met: impl Fn(&str) -> bool) {
        let outdated_address: SocketAddr = self.gateway.peer(self.outdated).parse().expect("an address");
        let gateway = &self.gateway;
        gateway
            .until(what, async || {
                send_config_announcement(self.proxy.address, 2, 0, outdated_address).await;
                is_met(&gateway.log(self.outdated))
            })
            .await;
    }
}

/// What one node has comes to another one over a link that is fifty times smaller than the text,
/// though the store answers only the first.
#[tokio::test]
async fn test_a_large_configuration_is_fetched_from_a_node_over_a_slow_link() {
    let pair = NodePair::start().await;
    pair.proxy.set(LinkFault::Thin(20_000));
    pair.announce_until("handed over", |log| log.contains("config_in_force version=2")).await;
}

/// One transfer after the other fits through a small link: others are told when to come back.
#[tokio::test]
async fn test_a_node_with_a_slow_link_serves_one_transfer_at_a_time() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MAX_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let node = gateway.start_node_with(|yaml| format!("{yaml}\nlink_mbps: 10\n"));
    gateway.until_ready(node).await;
    let peer = gateway.peer(node);
    let first = send(&peer, get_request("/config?0")).await.expect("it answers");
    let second = get(&peer, "/config?0").await;
    let after: f64 = second.header("retry-after").and_then(|after| after.parse().ok()).expect("a time");
    assert!(second.status == 503 && (0.03..=1.0).contains(&after), "{second:?}");
    drop(first);
    gateway.until("its turn", async || get(&peer, "/config?0").await.status == 200).await;
    assert_eq!(get(&peer, "/config?1").await.status, 304);
}

/// A route that a newer configuration may have is not denied while that is on its way.
#[tokio::test]
async fn test_unknown_routes_and_keys_get_503_while_a_newer_configuration_is_transferred() {
    let pair = NodePair::start().await;
    let (gateway, outdated) = (&pair.gateway, pair.outdated);
    assert_eq!(gateway.status_of(outdated, LAST_ROUTE, KEY).await, 404);
    pair.proxy.set(LinkFault::Thin(20_000));
    let outdated_address: SocketAddr = gateway.peer(outdated).parse().expect("an address");
    gateway
        .until("it waits", async || {
            send_config_announcement(pair.proxy.address, 2, 0, outdated_address).await;
            gateway.status_of(outdated, LAST_ROUTE, KEY).await == 503
        })
        .await;
    assert_eq!(gateway.status_of(outdated, "/read/x", "unknown").await, 503);
    assert_eq!(gateway.status_of(outdated, "/read/x", KEY).await, 200);
    pair.proxy.set(LinkFault::None);
    gateway.until("it is served", async || gateway.status_of(outdated, LAST_ROUTE, KEY).await == 200).await;
    assert_eq!(gateway.status_of(outdated, "/nothing/x", KEY).await, 404);
}

fn get_request(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).header("host", "x").body(Full::default()).expect("valid")
}

async fn get(address: &str, path: &str) -> CallResult {
    call(address, get_request(path)).await
}
