//! Nodes that are partitioned from all replicas, while callers and the other nodes reach them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::faulty_proxy::OpenLinks;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;

/// Time after the beginning of a partition from which on the callers of all nodes are to be served alike.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// How long callers are observed.
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// Interval between two calls of each kind at each node.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// The deadline of plain calls.
const CALL_DEADLINE: &str = "600";
/// Longest time until a node uses its own path again after that has returned.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Longest time of a call that can't be served: a fraction of its deadline.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Minimum served share of first attempts at partitioned nodes, as a fraction of that at the others.
const MIN_RELATIVE_SHARE: f64 = 0.9;

/// A fleet whose replicas are behind proxies, so that single nodes can be partitioned from them.
struct PartitionedFleet {
    gateway: Gateway,
    replicas: Vec<RunningReplica>,
    proxies: Vec<FaultyProxy>,
}

/// The address from which a node connects to replicas.
pub fn node_ip(gateway: &Gateway, node: usize) -> Ipv4Addr {
    let address = gateway.client_address(node);
    address.split(':').next().expect("an address").parse().expect("an IPv4 address")
}

impl PartitionedFleet {
    /// Starts a fleet with three replicas of each service whose generations have `events` events.
    async fn start(nodes: usize, events: u64) -> PartitionedFleet {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let (mut replicas, mut proxies) = (Vec::new(), Vec::new());
        for service in [BOOKING, MODEL] {
            for n in 1..=3 {
                let running = gateway.start_replica(service, &format!("{service}-{n}"), events).await;
                proxies.push(gateway.put_proxy_before(service, &running).await);
                replicas.push(running);
            }
        }
        for node in 0..nodes {
            gateway.start_node();
            gateway.until_ready(node).await;
        }
        PartitionedFleet { gateway, replicas, proxies }
    }

    fn ip(&self, node: usize) -> Ipv4Addr {
        node_ip(&self.gateway, node)
    }

    /// Partitions the first `count` nodes from all replicas.
    fn partition(&self, count: usize, open_links: OpenLinks) {
        let nodes: Vec<Ipv4Addr> = (0..count).map(|node| self.ip(node)).collect();
        self.proxies.iter().for_each(|proxy| proxy.partition(&nodes, open_links));
    }

    fn end_partition(&self) {
        self.proxies.iter().for_each(FaultyProxy::end_partition);
    }

    /// Number of connections that replicas accepted from a node.
    fn connections_from(&self, node: usize) -> usize {
        self.proxies.iter().map(|proxy| proxy.connections_from(self.ip(node))).sum()
    }

    /// Sends calls of all kinds to each node for a while. Returns the attempts of each node with their ids.
    async fn observe_callers(&self, name: &str) -> Vec<Vec<(String, CallResult)>> {
        let nodes = (0..self.gateway.nodes()).map(|node| self.observe_callers_of(node, name));
        futures::future::join_all(nodes).await
    }

    async fn observe_callers_of(&self, node: usize, name: &str) -> Vec<(String, CallResult)> {
        let rounds = (OBSERVED_TIME.as_millis() / CALL_INTERVAL.as_millis()) as u32;
        let calls = (0..rounds).flat_map(|round| {
            let id = |kind| format!("{name}-{kind}-{node}-{round}");
            let (read_id, book_id, tag_id) = (id("read"), id("book"), id("tag"));
            [
                (read_id.clone(), read(&read_id)),
                (book_id.clone(), book(&book_id)),
                (tag_id.clone(), tag(&tag_id)),
            ]
            .map(|(id, mut req)| async move {
                if !id.contains("tag") {
                    let deadline = CALL_DEADLINE.parse().expect("a header value");
                    req.headers_mut().insert("leadstage-deadline-ms", deadline);
                }
                tokio::time::sleep(CALL_INTERVAL * round).await;
                let called = self.gateway.call(node, req).await;
                (id, called)
            })
        });
        futures::future::join_all(calls).await
    }

    /// How often each call that may run once arrived at a replica.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut arrivals = BTreeMap::new();
        for seen in self.replicas.iter().flat_map(|running| running.replica.received_requests()) {
            let id = seen.header("leadstage-request-id").unwrap_or_default().to_owned();
            if id.contains("book") {
                *arrivals.entry(id).or_default() += 1;
            }
        }
        arrivals
    }

    /// Checks that no call ran twice, and that none ran that was answered as not run.
    fn check_promises(&self, observed: &[Vec<(String, CallResult)>]) {
        let arrivals = self.arrivals();
        let twice: Vec<_> = arrivals.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "sent twice: {twice:?}\n{}", self.gateway.logs());
        let not_run = observed.iter().flatten().filter(|(_, called)| matches!(called.status, 429 | 503));
        let untrue: Vec<_> = not_run.filter(|(id, _)| arrivals.contains_key(id)).map(|(id, _)| id).collect();
        assert!(untrue.is_empty(), "answered as not run, but ran: {untrue:?}\n{}", self.gateway.logs());
    }
}

/// The share of attempts at some nodes that were served.
fn served_share(observed: &[Vec<(String, CallResult)>]) -> f64 {
    let attempts = observed.iter().flatten();
    let served = attempts.clone().filter(|(_, called)| called.status == 200 && called.whole).count();
    served as f64 / attempts.count() as f64
}

/// Checks that callers of `partitioned` of `nodes` nodes are served about as well as those of the others.
async fn check_callers_are_served(nodes: usize, partitioned: usize, open_links: OpenLinks) {
    let fleet = PartitionedFleet::start(nodes, 5).await;
    fleet.observe_callers("before").await;
    fleet.partition(partitioned, open_links);
    let during = fleet.observe_callers("during").await;
    tokio::time::sleep(DETECTION_TIME.saturating_sub(OBSERVED_TIME)).await;
    let after = fleet.observe_callers("after").await;
    let (cut, others) = after.split_at(partitioned);
    let (cut_share, others_share) = (served_share(cut), served_share(others));
    fleet.check_promises(&during);
    fleet.check_promises(&after);
    assert!(
        others_share > 0.9 && cut_share >= MIN_RELATIVE_SHARE * others_share,
        "served at partitioned nodes: {cut_share:.2}, at the others: {others_share:.2}\n{}",
        fleet.gateway.logs()
    );
}

/// Guards against callers who get no answer or 503 from a node that has lost its path to all replicas.
#[tokio::test]
async fn test_callers_of_nodes_without_a_path_to_replicas_are_served_as_those_of_the_others() {
    check_callers_are_served(4, 2, OpenLinks::Hang).await;
}

#[tokio::test]
async fn test_callers_are_served_while_connections_to_replicas_are_reset() {
    check_callers_are_served(4, 2, OpenLinks::Reset).await;
}

#[tokio::test]
async fn test_callers_are_served_while_only_open_connections_live_on() {
    check_callers_are_served(4, 2, OpenLinks::LiveOn).await;
}

#[tokio::test]
async fn test_one_node_with_a_path_serves_the_callers_of_all_others() {
    check_callers_are_served(5, 4, OpenLinks::Hang).await;
}

/// Guards against leads that avoid sound engines because a node without a path failed to reach them.
#[tokio::test]
async fn test_a_node_without_a_path_does_not_report_engines_as_failed() {
    let fleet = PartitionedFleet::start(3, 5).await;
    fleet.observe_callers("before").await;
    fleet.partition(1, OpenLinks::Hang);
    tokio::time::sleep(DETECTION_TIME).await;
    let reported_before = fleet.gateway.lines_with("event=engine_failed").lines().count();
    fleet.observe_callers("after").await;
    let reported = fleet.gateway.lines_with("event=engine_failed");
    assert_eq!(reported.lines().count(), reported_before, "{reported}");
}

/// Guards against callers that wait for their deadline although no node reaches a replica, and against nodes
/// that need long to serve again.
#[tokio::test]
async fn test_calls_are_refused_at_once_while_no_node_has_a_path_and_served_after_its_return() {
    let fleet = PartitionedFleet::start(3, 5).await;
    fleet.observe_callers("before").await;
    fleet.partition(3, OpenLinks::Hang);
    let during = fleet.observe_callers("during").await;
    for node in 0..3 {
        let began = Instant::now();
        let refused = fleet.gateway.call(node, book(&format!("refused-book-{node}"))).await;
        let took = began.elapsed();
        assert_eq!(refused.status, 503, "{refused:?}\n{}", fleet.gateway.logs());
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        assert!(took < MAX_REFUSAL_TIME, "refused after {took:?}\n{}", fleet.gateway.logs());
    }
    fleet.check_promises(&during);
    fleet.end_partition();
    tokio::time::sleep(RETURN_TIME).await;
    let after = fleet.observe_callers("after").await;
    assert!(served_share(&after) > 0.99, "{}\n{}", served_share(&after), fleet.gateway.logs());
}

/// Guards against nodes that go on using other nodes' paths after their own has returned.
#[tokio::test]
async fn test_a_node_uses_its_own_path_again_soon_after_its_return() {
    let fleet = PartitionedFleet::start(3, 5).await;
    fleet.partition(1, OpenLinks::Hang);
    fleet.observe_callers("during").await;
    assert_eq!(fleet.connections_from(0), 0, "the node is partitioned");
    fleet.end_partition();
    let (connections, _) = tokio::join!(
        async {
            tokio::time::sleep(RETURN_TIME).await;
            fleet.connections_from(0)
        },
        fleet.observe_callers("after")
    );
    assert!(connections > 0, "{}", fleet.gateway.logs());
}

/// Guards against calls that fail because the node that carried them has ended.
#[tokio::test]
async fn test_another_node_carries_the_calls_when_the_first_one_ends() {
    let mut fleet = PartitionedFleet::start(4, 5).await;
    fleet.partition(2, OpenLinks::Hang);
    fleet.observe_callers("during").await;
    fleet.gateway.kill(3);
    tokio::time::sleep(DETECTION_TIME).await;
    let after = futures::future::join_all((0..3).map(|node| fleet.observe_callers_of(node, "after"))).await;
    fleet.check_promises(&after);
    assert!(served_share(&after) > 0.99, "{}\n{}", served_share(&after), fleet.gateway.logs());
}

/// Number of events of streams that another node carries.
const CARRIED_EVENTS: u64 = 200;

/// Starts a fleet in which node 2 carries the calls of the others, which lack a path.
async fn start_with_carrier() -> PartitionedFleet {
    let fleet = PartitionedFleet::start(3, CARRIED_EVENTS).await;
    fleet.partition(2, OpenLinks::Hang);
    fleet
}

/// Starts an unframed stream at node 0.
async fn call_through_carrier(fleet: &PartitionedFleet) -> CallResult {
    fleet.gateway.engines.set_stream_faults([StreamFault::Unframed]);
    let called = fleet.gateway.call(0, chat("r-chat")).await;
    assert!(called.events().is_some(), "{}", called.body);
    called
}

/// Waits until node 2 carries the stream, then gives node 1 its path back: node 0 reaches the engine through it.
async fn until_stream_is_carried(fleet: &PartitionedFleet) {
    let runs = || fleet.replicas.iter().any(|running| running.replica.running() > 0);
    fleet.gateway.until("the generation runs", async || runs()).await;
    fleet.partition(1, OpenLinks::Hang);
    tokio::time::sleep(Duration::from_millis(300)).await;
}

#[tokio::test]
async fn test_an_unframed_stream_is_not_taken_for_whole_when_the_node_that_carries_it_is_killed() {
    let fleet = start_with_carrier().await;
    let kill = async {
        until_stream_is_carried(&fleet).await;
        fleet.gateway.signal(2, "-KILL");
    };
    let (called, ()) = tokio::join!(call_through_carrier(&fleet), kill);
    assert!(!called.whole, "{:?}\n{}", called.events(), fleet.gateway.logs());
}

#[tokio::test]
async fn test_an_unframed_stream_is_not_taken_for_whole_when_the_node_that_carries_it_stops() {
    let fleet = start_with_carrier().await;
    let stop = async {
        until_stream_is_carried(&fleet).await;
        fleet.proxies.iter().for_each(|proxy| proxy.set(LinkFault::OneWay));
        fleet.gateway.signal(2, "-TERM");
        tokio::time::sleep(Duration::from_millis(800)).await;
        fleet.proxies.iter().for_each(|proxy| proxy.set(LinkFault::None));
    };
    let (called, ()) = tokio::join!(call_through_carrier(&fleet), stop);
    let is_whole = called.events() == Some(CARRIED_EVENTS);
    assert_eq!(called.whole, is_whole, "{:?}\n{}", called.events(), fleet.gateway.logs());
}

#[tokio::test]
async fn test_an_unframed_stream_that_another_node_carries_is_whole() {
    let fleet = start_with_carrier().await;
    let called = call_through_carrier(&fleet).await;
    assert_eq!((called.whole, called.events()), (true, Some(CARRIED_EVENTS)), "{}", fleet.gateway.logs());
}

/// The node that carries a connection passes on what a replica sends without end; the node that uses it gives it up.
#[tokio::test]
async fn test_heads_without_end_that_another_node_carries_are_given_up() {
    let fleet = PartitionedFleet::start(2, 5).await;
    fleet.partition(1, OpenLinks::Hang);
    let faulty = &fleet.replicas[0].replica;
    faulty.set_fault(ReplicaFault::EndlessHeads);
    let mut calls = 0;
    while faulty.received_requests().is_empty() {
        calls += 1;
        let called = fleet.gateway.call(0, read(&format!("r-{calls}"))).await;
        assert!(called.status == 200 && calls < 100, "call {calls}: {called:?}\n{}", fleet.gateway.logs());
    }
    assert_eq!(fleet.connections_from(0), 0);
    let reason = "reason=\"more than 32 informational heads without pause\"";
    fleet.gateway.until("the reason is logged", async || fleet.gateway.log(0).contains(reason)).await;
}

/// Guards against running streams that end when their node loses its path while the engine goes on.
#[tokio::test]
async fn test_running_streams_are_completed_after_their_node_has_lost_its_path() {
    const EVENTS: u64 = 200;
    let fleet = PartitionedFleet::start(3, EVENTS).await;
    let streams = async {
        let ids: Vec<String> = (0..4).map(|n| format!("stream-{n}")).collect();
        let calls = ids.iter().map(|id| fleet.gateway.call(0, chat(id)));
        futures::future::join_all(calls).await
    };
    let partition = async {
        let runs = || fleet.replicas.iter().map(|running| running.replica.running()).sum::<usize>();
        fleet.gateway.until("all generations run", async || runs() == 4).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.partition(1, OpenLinks::Hang);
    };
    let (streams, ()) = tokio::join!(streams, partition);
    let events: Vec<Option<u64>> = streams.iter().map(CallResult::events).collect();
    assert_eq!(events, vec![Some(EVENTS); 4], "{}", fleet.gateway.logs());
}

/// Guards against calls that are lost because a sound replica is silent for a second, as long as one keep-alive probe.
#[tokio::test]
async fn test_a_call_survives_a_second_in_which_its_replica_is_silent() {
    const ANSWER_AFTER: Duration = Duration::from_millis(2_500);
    let fleet = PartitionedFleet::start(1, 5).await;
    for running in &fleet.replicas {
        running.replica.set_fault(ReplicaFault::Late(ANSWER_AFTER));
    }
    let silence = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        fleet.partition(1, OpenLinks::Hang);
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        fleet.end_partition();
    };
    let (called, ()) = tokio::join!(fleet.gateway.call(0, book("book-1")), silence);
    assert_eq!(called.status, 200, "{called:?}\n{}", fleet.gateway.logs());
}
