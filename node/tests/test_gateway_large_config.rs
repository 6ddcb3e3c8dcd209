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

use crate::gateway_environment::Called;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::config;
use crate::gateway_environment::large_config;
use crate::gateway_environment::send;
use crate::gateway_environment::tell_of_config;

/// Some 1 MB, the most that the store holds in one object.
const MOST_ROUTES: usize = 5_000;
/// Path of the last of them.
const LAST_ROUTE: &str = "/more-4999/x";
/// Bytes a second: a configuration of that size takes three seconds whole.
const THIN: LinkFault = LinkFault::Throttle(350_000);

/// A node reads the store when it starts. However small its link, what it reads comes in the end.
#[tokio::test]
async fn test_a_large_configuration_is_read_over_a_thin_link_at_the_start() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MOST_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(THIN);
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    assert_eq!(gateway.status_of(node, LAST_ROUTE, KEY).await, 200, "{}", gateway.logs());
}

/// Whether the store answers is asked every 0.8 s, and must not take longer the more it holds.
#[tokio::test]
async fn test_the_store_answers_however_large_the_configuration() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    proxy.set(THIN);
    let node = gateway.start_node_at(proxy.address);
    gateway.until_ready(node).await;
    gateway.store.put("config", "main", large_config(2, MOST_ROUTES));
    gateway.until("in force", async || gateway.status_of(node, LAST_ROUTE, KEY).await == 200).await;
    // Some questions more.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!gateway.log(node).contains("event=store_lost"), "{}", gateway.logs());
}

/// Two nodes that don't know each other. The first has a large configuration; the second's store
/// answers no more, and what the first hands out passes a proxy.
struct Pair {
    gateway: Gateway,
    lacks: usize,
    between: FaultyProxy,
    _servers: (RunningReplica, Server),
}

impl Pair {
    async fn start() -> Pair {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let booking = gateway.start_replica("booking", "booking-1", 1).await;
        let has = gateway.start_node();
        gateway.until_ready(has).await;
        let (own, server) = MetadataStore::start(&gateway.own_store_ip()).await;
        own.put("config", "main", config(1));
        let address = booking.server.as_ref().expect("it serves").address;
        own.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
        let lacks = gateway.start_lone_node_at(server.address);
        gateway.until_ready(lacks).await;
        own.set_fault(StoreFault::Refuses);
        gateway.store.put("config", "main", large_config(2, MOST_ROUTES));
        gateway.until("in force", async || gateway.log(has).contains("config_in_force version=2")).await;
        let peer = gateway.peer(has).parse().expect("an address");
        let between = FaultyProxy::start(&gateway.replicas_ip(), peer).await;
        Pair { gateway, lacks, between, _servers: (booking, server) }
    }

    /// Tells the second node of the first one's configuration until something comes about.
    async fn tell_until(&self, what: &str, is_so: impl Fn(&str) -> bool) {
        let lacking: SocketAddr = self.gateway.peer(self.lacks).parse().expect("an address");
        let gateway = &self.gateway;
        gateway
            .until(what, async || {
                tell_of_config(self.between.address, 2, 0, lacking).await;
                is_so(&gateway.log(self.lacks))
            })
            .await;
    }
}

/// What one node has comes to another one over a link that is fifty times smaller than the text,
/// though the store answers only the first.
#[tokio::test]
async fn test_a_large_configuration_is_handed_over_a_thin_link() {
    let pair = Pair::start().await;
    pair.between.set(LinkFault::Throttle(20_000));
    pair.tell_until("handed over", |log| log.contains("config_in_force version=2")).await;
}

/// One transfer after the other fits through a small link: others are told when to come back.
#[tokio::test]
async fn test_a_node_with_a_small_link_hands_out_one_after_the_other() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", large_config(1, MOST_ROUTES));
    let _booking = gateway.start_replica("booking", "booking-1", 1).await;
    let node = gateway.start_node_with(|yaml| format!("{yaml}\nlink_mbps: 10\n"));
    gateway.until_ready(node).await;
    let peer = gateway.peer(node);
    let first = send(&peer, ask("/config?0")).await.expect("it answers");
    let second = get(&peer, "/config?0").await;
    let after: f64 = second.header("retry-after").and_then(|after| after.parse().ok()).expect("a time");
    assert!(second.status == 503 && (0.03..=1.0).contains(&after), "{second:?}");
    drop(first);
    gateway.until("its turn", async || get(&peer, "/config?0").await.status == 200).await;
    assert_eq!(get(&peer, "/config?1").await.status, 304);
}

/// A route that a newer configuration may have is not denied while that is on its way.
#[tokio::test]
async fn test_nothing_is_denied_while_a_newer_configuration_is_on_its_way() {
    let pair = Pair::start().await;
    let (gateway, lacks) = (&pair.gateway, pair.lacks);
    assert_eq!(gateway.status_of(lacks, LAST_ROUTE, KEY).await, 404);
    pair.between.set(LinkFault::Throttle(20_000));
    let lacking: SocketAddr = gateway.peer(lacks).parse().expect("an address");
    gateway
        .until("it waits", async || {
            tell_of_config(pair.between.address, 2, 0, lacking).await;
            gateway.status_of(lacks, LAST_ROUTE, KEY).await == 503
        })
        .await;
    assert_eq!(gateway.status_of(lacks, "/read/x", "unknown").await, 503);
    assert_eq!(gateway.status_of(lacks, "/read/x", KEY).await, 200);
    pair.between.set(LinkFault::None);
    gateway.until("it is served", async || gateway.status_of(lacks, LAST_ROUTE, KEY).await == 200).await;
    assert_eq!(gateway.status_of(lacks, "/nothing/x", KEY).await, 404);
}

fn ask(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).header("host", "x").body(Full::default()).expect("valid")
}

async fn get(address: &str, path: &str) -> Called {
    call(address, ask(path)).await
}
