//! A store that turns the nodes away which follow it, while it answers the others.

use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// Smallest time of the users' settings after which a replica whose entry is gone gets no request.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const NODES: usize = 9;
/// Nodes that follow the store.
const FOLLOWERS: usize = 3;
/// How often the store turns its followers away, as the nodes are in another state each time; a replica leaves in
/// each round.
const ROUNDS: usize = 6;
/// Time after a start or fault until the same nodes follow the store; a node ranks itself among the others from 4 s
/// after its start on.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// How long live replicas need until they have written their entries again after an outage.
const RELIST_TIME: Duration = Duration::from_millis(1_500);

/// A fleet in which each node reaches the store through a proxy of its own.
struct Fleet {
    gateway: Gateway,
    proxies: Vec<FaultyProxy>,
    replicas: Vec<RunningReplica>,
}

impl Fleet {
    /// Starts a fleet and waits until it has settled who follows the store.
    async fn start() -> Fleet {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let (mut replicas, mut proxies) = (Vec::new(), Vec::new());
        for n in 1..=ROUNDS + 2 {
            replicas.push(gateway.start_replica(BOOKING, &format!("booking-{n}"), 1).await);
        }
        for node in 0..NODES {
            let proxy = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
            gateway.start_node_at(proxy.address);
            gateway.until_ready(node).await;
            proxies.push(proxy);
        }
        let fleet = Fleet { gateway, proxies, replicas };
        let is_settled = async || fleet.gateway.store_followers().len() == FOLLOWERS;
        fleet.gateway.until("three nodes follow the store", is_settled).await;
        tokio::time::sleep(SETTLE_TIME).await;
        fleet
    }

    fn set(&self, nodes: &[usize], fault: LinkFault) {
        nodes.iter().for_each(|node| self.proxies[*node].set(fault));
    }

    /// Ends the faults of `nodes` and waits until the fleet has settled.
    async fn end_faults(&self, nodes: &[usize]) {
        self.set(nodes, LinkFault::None);
        tokio::time::sleep(SETTLE_TIME).await;
    }

    fn knows_departure(&self, node: usize, replica: &str) -> bool {
        self.gateway.log(node).contains(&format!("event=replica_leaves upstream={replica}"))
    }

    /// Waits until all `nodes` know that a replica leaves; returns how long it took.
    async fn time_until_known(&self, nodes: &[usize], replica: &str) -> Duration {
        let since = Instant::now();
        let is_known = async || nodes.iter().all(|node| self.knows_departure(*node, replica));
        self.gateway.until("the departure is known", is_known).await;
        since.elapsed()
    }

    /// Removes a replica's entry and checks that all nodes but those that are `refused` know it in time. Then ends the
    /// faults of these.
    async fn check_departure(&self, replica: &str, refused: &[usize]) {
        self.gateway.store.delete("servers", replica);
        let took = self.time_until_known(&others(refused), replica).await;
        assert!(took < DRAIN_TIME, "{replica}: {took:?}, {refused:?} refused\n{}", self.gateway.logs());
        self.end_faults(refused).await;
    }
}

/// Guards against a store that turns its followers away being taken for an outage: an entry that went meanwhile
/// counted as expired, and its replica got requests for 2 s more.
#[tokio::test]
async fn test_a_departure_is_known_in_time_while_the_store_turns_its_followers_away() {
    let fleet = Fleet::start().await;
    for n in 1..=ROUNDS {
        let fault = if n % 3 == 0 { LinkFault::Reset } else { LinkFault::Silent };
        let refused = fleet.gateway.store_followers();
        fleet.set(&refused, fault);
        tokio::time::sleep(Duration::from_millis(700)).await;
        fleet.check_departure(&format!("booking-{n}"), &refused).await;
    }
}

/// Guards against a reader that was turned away, takes that for an outage and keeps what went when the store answers
/// it again.
#[tokio::test]
async fn test_a_departure_is_known_in_time_when_the_store_turns_other_nodes_away() {
    let fleet = Fleet::start().await;
    let first = fleet.gateway.store_followers();
    for n in 1..=ROUNDS {
        fleet.set(&first, LinkFault::Silent);
        let read_by_others =
            async || fleet.gateway.store_followers().iter().any(|node| !first.contains(node));
        fleet.gateway.until("others follow the store", read_by_others).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let refused: Vec<usize> =
            fleet.gateway.store_followers().into_iter().filter(|node| !first.contains(node)).collect();
        fleet.set(&refused, LinkFault::Silent);
        fleet.set(&first, LinkFault::None);
        fleet.check_departure(&format!("booking-{n}"), &refused).await;
    }
}

/// Entries that expire in an outage of the store for all nodes are no departures, also if the store turns some
/// nodes away when it is back.
#[tokio::test]
async fn test_entries_that_expire_in_an_outage_for_all_are_kept() {
    let fleet = Fleet::start().await;
    let all: Vec<usize> = (0..NODES).collect();
    for is_partial in [false, true] {
        let followers = fleet.gateway.store_followers();
        fleet.set(&all, LinkFault::Silent);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let expired = ["booking-1", "booking-2"];
        let entries = expired.map(|id| fleet.gateway.store.spec("servers", id).expect("it is listed"));
        expired.iter().for_each(|id| fleet.gateway.store.delete("servers", id));
        let back = if is_partial { others(&followers) } else { all.clone() };
        fleet.set(&back, LinkFault::None);
        tokio::time::sleep(RELIST_TIME).await;
        expired.iter().zip(entries).for_each(|(id, entry)| fleet.gateway.store.put("servers", id, entry));
        tokio::time::sleep(Duration::from_secs(3)).await;
        for node in &all {
            let knows = expired.map(|replica| fleet.knows_departure(*node, replica));
            assert_eq!(knows, [false; 2], "node {node}, partial: {is_partial}\n{}", fleet.gateway.logs());
        }
        fleet.end_faults(&all).await;
    }
}

/// Guards against replicas that are missing in the first list after an outage, are not asked whether they leave, and
/// get requests until they would have been listed again.
#[tokio::test]
async fn test_replicas_missing_after_an_outage_are_asked_whether_they_leave() {
    let fleet = Fleet::start().await;
    let all: Vec<usize> = (0..NODES).collect();
    fleet.set(&all, LinkFault::Reset);
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.replicas[0].replica.set_leaving(Some("1"));
    fleet.gateway.store.delete("servers", "booking-1");
    fleet.set(&all, LinkFault::None);
    let took = fleet.time_until_known(&all, "booking-1").await;
    assert!(took < DRAIN_TIME, "{took:?}\n{}", fleet.gateway.logs());
    for node in all {
        let log = fleet.gateway.log(node);
        assert!(!log.contains("sign=\"not listed again\""), "node {node} was not told\n{log}");
    }
}

fn others(nodes: &[usize]) -> Vec<usize> {
    (0..NODES).filter(|node| !nodes.contains(node)).collect()
}
