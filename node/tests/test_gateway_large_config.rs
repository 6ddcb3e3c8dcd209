//! Large configurations over slow links.
//!
//! Guards against time limits on a whole transfer that ignore its size. With limits of 0.6 s for a fetch
//! from another node and 1 s for a read of the store, each attempt that ran out of time started again from
//! the beginning. On links of 10 Mbit/s, where 830 kB take 0.66 s at best, these attempts filled the
//! links, so that ever fewer transfers completed: some nodes kept serving a replaced configuration,
//! without the added routes. Changes of up to 555 kB still reached all nodes within 3 s.

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

/// About 1 MB, the maximum size of an object in the store.
const MAX_ROUTES: usize = 5_000;
/// A path of the last of these routes.
const LAST_ROUTE: &str = "/more-4999/x";
/// In bytes per second: a configuration of about 1 MB takes three seconds.
const SLOW_LINK: LinkFault = LinkFault::Throttle(350_000);

/// The configuration that a node reads from the store at its start arrives in the end, however slow the link
/// is.
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

/// The store's availability is checked every 0.8 s. The duration of a check must not depend on the size of
/// the store's contents.
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
    gateway.until("version 2", async || gateway.status_of(node, LAST_ROUTE, KEY).await == 200).await;
    // Time for some more checks.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!gateway.log(node).contains("event=store_lost"), "{}", gateway.logs());
}

/// Two nodes that don't know each other. The first one has a large configuration and serves it through a
/// proxy; the store of the second one is unavailable.
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
        gateway.until("version 2", async || gateway.log(source).contains("config_in_force version=2")).await;
        let peer = gateway.peer(source).parse().expect("an address");
        let proxy = FaultyProxy::start(&gateway.replicas_ip(), peer).await;
        NodePair { gateway, outdated, proxy, _servers: (booking, server) }
    }

    /// Announces the first node's configuration to the second one until the second one's log meets a
    /// condition.
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

/// A configuration is transferred from one node to another over a link that carries a fiftieth of its size
/// per second, while the second node's store is unavailable.
#[tokio::test]
async fn test_a_large_configuration_is_fetched_from_a_node_over_a_slow_link() {
    let pair = NodePair::start().await;
    pair.proxy.set(LinkFault::Throttle(20_000));
    pair.announce_until("the configuration is transferred", |log| log.contains("config_in_force version=2"))
        .await;
}

/// On a slow link transfers are served one at a time; other requests get a `Retry-After` header.
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
    let after: f64 =
        second.header("retry-after").and_then(|after| after.parse().ok()).expect("a number of seconds");
    assert!(second.status == 503 && (0.03..=1.0).contains(&after), "{second:?}");
    drop(first);
    gateway.until("the next transfer is served", async || get(&peer, "/config?0").await.status == 200).await;
    assert_eq!(get(&peer, "/config?1").await.status, 304);
}

/// Requests for unknown routes and keys are not refused for good while a newer configuration, which may have
/// them, is being transferred.
#[tokio::test]
async fn test_unknown_routes_and_keys_get_503_while_a_newer_configuration_is_transferred() {
    let pair = NodePair::start().await;
    let (gateway, outdated) = (&pair.gateway, pair.outdated);
    assert_eq!(gateway.status_of(outdated, LAST_ROUTE, KEY).await, 404);
    pair.proxy.set(LinkFault::Throttle(20_000));
    let outdated_address: SocketAddr = gateway.peer(outdated).parse().expect("an address");
    gateway
        .until("the node waits for the configuration", async || {
            send_config_announcement(pair.proxy.address, 2, 0, outdated_address).await;
            gateway.status_of(outdated, LAST_ROUTE, KEY).await == 503
        })
        .await;
    assert_eq!(gateway.status_of(outdated, "/read/x", "unknown").await, 503);
    assert_eq!(gateway.status_of(outdated, "/read/x", KEY).await, 200);
    pair.proxy.set(LinkFault::None);
    gateway.until("added route", async || gateway.status_of(outdated, LAST_ROUTE, KEY).await == 200).await;
    assert_eq!(gateway.status_of(outdated, "/nothing/x", KEY).await, 404);
}

fn get_request(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).header("host", "x").body(Full::default()).expect("valid")
}

async fn get(address: &str, path: &str) -> CallResult {
    call(address, get_request(path)).await
}
