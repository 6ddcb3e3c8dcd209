//! Replicas that say in their answers that they leave.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;
use crate::loaded_fleet::Answer;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::assert_all_served;

const NODES: usize = 6;
/// How long the fleet is under load with each state of the store.
const LASTS: Duration = Duration::from_secs(4);
/// Requests that a node sent before the answer with the word came have arrived by then.
const ON_THEIR_WAY: Duration = Duration::from_secs(1);
/// A refusal that needs no waiting comes within this, on a busy machine too.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);

type Req = http::Request<http_body_util::Full<bytes::Bytes>>;

async fn start(service: &str, replicas: usize, events: u64) -> LoadedFleet {
    LoadedFleet::start_with(service, NODES, replicas, events, |yaml| yaml).await
}

/// A fleet whose store is away.
async fn without_store(service: &str, replicas: usize, events: u64) -> LoadedFleet {
    let fleet = start(service, replicas, events).await;
    fleet.gateway.store.set_fault(StoreFault::Refuses);
    fleet
}

/// Asserts that each node sent nothing to a replica since soon after it had first heard its word.
fn assert_left_alone(fleet: &LoadedFleet, replica: usize, said: Instant) {
    let late: Vec<(usize, usize)> = (0..NODES)
        .map(|node| {
            let arrivals = fleet.arrivals_through(node, replica, said);
            let late = arrivals.iter().filter(|at| **at > arrivals[0] + ON_THEIR_WAY).count();
            (node, late)
        })
        .filter(|(_, late)| *late > 0)
        .collect();
    assert!(late.is_empty(), "nodes that sent more, and how much: {late:?}\n{}", fleet.gateway.logs());
}

/// The first of three replicas says that it leaves, and its entry in the store is written anew and says otherwise.
async fn check_left_alone(
    fleet: &LoadedFleet,
    service: &str,
    per_second: &[f64; NODES],
    make: fn(&str) -> Req,
) {
    let said = Instant::now();
    fleet.replicas[0].replica.set_leaving(Some("1"));
    assert_all_served(&fleet.load(per_second, LASTS, make).await, fleet);
    fleet.gateway.store.set_fault(StoreFault::None);
    let address = fleet.replicas[0].server.as_ref().expect("it serves").address;
    let mut entry = replica_entry(service, address, "hall-1", "ready");
    entry["slots"] = 9.into();
    fleet.gateway.store.put("servers", &fleet.replicas[0].replica.id, entry);
    assert_all_served(&fleet.load(per_second, LASTS, make).await, fleet);
    assert_left_alone(fleet, 0, said);
}

#[tokio::test]
async fn test_no_call_goes_to_a_replica_that_said_in_an_answer_that_it_leaves() {
    check_left_alone(&without_store(BOOKING, 3, 4).await, BOOKING, &[8.0; NODES], book).await;
}

/// The store answers, so that the engines' health, which tells of leaving too, is not asked.
#[tokio::test]
async fn test_no_stream_goes_to_an_engine_that_said_in_an_answer_that_it_leaves() {
    check_left_alone(&start(MODEL, 3, 4).await, MODEL, &[8.0; NODES], chat).await;
}

/// Whoever leads the engines' service has heard the word from other nodes only, and believes the entry.
#[tokio::test]
async fn test_no_lead_sends_a_node_back_to_an_engine_that_told_it_that_it_leaves() {
    let mut through_two = [0.0; NODES];
    through_two[..2].fill(24.0);
    check_left_alone(&start(MODEL, 3, 4).await, MODEL, &through_two, chat).await;
}

/// The word stands on failures too, of which callers get nothing where they are sent again elsewhere.
#[tokio::test]
async fn test_a_failure_that_says_that_its_replica_leaves_is_heard() {
    let fleet = without_store(BOOKING, 3, 4).await;
    let said = Instant::now();
    fleet.replicas[0].replica.set_leaving(Some("1"));
    fleet.replicas[0].replica.set_partial_fault(PartialFault {
        fault: ReplicaFault::Fails,
        every_nth: 2,
        prefix: "/read/".to_owned(),
    });
    assert_all_served(&fleet.load(&[8.0; NODES], LASTS, read).await, &fleet);
    assert_left_alone(&fleet, 0, said);
}

/// Whoever has not heard the word itself is told of it: the load goes to one node.
#[tokio::test]
async fn test_other_nodes_are_told_of_a_replica_that_said_that_it_leaves() {
    let fleet = without_store(BOOKING, 3, 4).await;
    fleet.replicas[0].replica.set_leaving(Some("1"));
    let mut through_first = [0.0; NODES];
    through_first[0] = 20.0;
    fleet.load(&through_first, LASTS / 2, read).await;
    let told = Instant::now();
    assert_all_served(&fleet.load(&[8.0; NODES], LASTS, read).await, &fleet);
    let arrivals: Vec<usize> = (0..NODES).map(|node| fleet.arrivals_through(node, 0, told).len()).collect();
    assert_eq!(arrivals, [0; NODES], "{}", fleet.gateway.logs());
}

/// A generation that runs at an engine moves away once a later answer of the engine says that it leaves.
#[tokio::test]
async fn test_generations_move_from_an_engine_that_said_in_an_answer_that_it_leaves() {
    let fleet = start(MODEL, 2, 200).await;
    let front = fleet.gateway.front(0);
    let running = tokio::spawn(async move { crate::gateway_environment::call(&front, chat("0-long")).await });
    let runs_at = |fleet: &LoadedFleet| fleet.replicas.iter().position(|r| r.replica.running() > 0);
    fleet.gateway.until("it runs", async || runs_at(&fleet).is_some()).await;
    let engine = runs_at(&fleet).expect("it runs");
    fleet.replicas[engine].replica.set_leaving(Some("1"));
    assert_all_served(&fleet.load(&[1.0; NODES], LASTS / 4, tag).await, &fleet);
    let long = running.await.expect("it ends");
    assert_eq!((long.status, long.events(), long.whole), (200, Some(200), true), "{}", fleet.gateway.logs());
    assert!(fleet.replicas[engine].replica.copy_calls() > 0, "{}", fleet.gateway.logs());
    assert_eq!(fleet.replicas[engine].replica.running(), 0);
}

/// All replicas of a service leave: what comes is refused at once.
#[tokio::test]
async fn test_calls_are_refused_at_once_when_all_replicas_said_that_they_leave() {
    let fleet = without_store(BOOKING, 2, 4).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_leaving(Some("1")));
    fleet.load(&[8.0; NODES], LASTS, read).await;
    let all_said = Instant::now();
    let answers = fleet.load(&[8.0; NODES], LASTS / 2, read).await;
    for Answer { called, took } in answers {
        assert_eq!((called.status, called.code()), (503, 2104), "{called:?}\n{}", fleet.gateway.logs());
        assert!(called.header("retry-after").is_some() && took < REFUSED_WITHIN, "{took:?} {called:?}");
    }
    for replica in 0..2 {
        assert_eq!(fleet.arrivals(replica, all_said).len(), 0);
    }
}
