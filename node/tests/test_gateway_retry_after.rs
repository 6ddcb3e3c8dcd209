//! Replicas that reject requests and ask for a back-off with `Retry-After`.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::read;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;
use crate::loaded_fleet::assert_all_served;

const NODES: usize = 6;
/// `Retry-After` header of the replicas, in seconds.
const RETRY_AFTER: &str = "3";
const BACK_OFF: Duration = Duration::from_secs(3);
/// A request that a node sent before it received the `Retry-After` header arrives within this.
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Requests that a node may send to a replica during the remaining back-off.
const MAX_IN_BACK_OFF: usize = 2;
/// How long the fleet is under load, and how many back-offs can begin in that time.
const LOAD_DURATION: Duration = Duration::from_secs(8);
const MAX_BACK_OFFS: usize = 3;
/// Maximum latency of an immediate refusal, on a busy machine too.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_secs(1);

type Req = http::Request<http_body_util::Full<bytes::Bytes>>;

/// Has the first replicas reject all requests with `Retry-After`; returns the time from which they do.
fn reject_requests(fleet: &LoadedFleet, replicas: usize) -> Instant {
    for running in &fleet.replicas[..replicas] {
        running.replica.set_retry_after(Some(RETRY_AFTER));
        running.replica.set_fault(ReplicaFault::NotExecuted);
    }
    Instant::now()
}

/// Asserts that no node sent more than [`MAX_IN_BACK_OFF`] requests to a replica during a back-off that the
/// replica had asked it for.
fn assert_backed_off(fleet: &LoadedFleet, replica: usize, from: Instant) {
    for node in 0..NODES {
        let arrivals = fleet.arrivals_through(node, replica, from);
        let in_back_off = |rejected: &Instant| {
            arrivals.iter().filter(|at| **at > *rejected + IN_TRANSIT && **at < *rejected + BACK_OFF).count()
        };
        let max = arrivals.iter().map(in_back_off).max().unwrap_or(0);
        assert!(
            max <= MAX_IN_BACK_OFF,
            "node {node} sent {max} requests during a back-off\n{}",
            fleet.gateway.logs()
        );
    }
}

/// Two of five replicas reject all requests; returns the results of all requests.
async fn check_some_reject(service: &str, make: fn(&str) -> Req) -> Vec<TimedCall> {
    let fleet = LoadedFleet::start(service, NODES, 5).await;
    let from = reject_requests(&fleet, 2);
    let answers = fleet.load(&[10.0; NODES], LOAD_DURATION, make).await;
    (0..2).for_each(|replica| assert_backed_off(&fleet, replica, from));
    answers
}

fn assert_refused_at_most(answers: &[TimedCall], max_refused: usize) {
    let refused = answers.iter().filter(|answer| answer.called.status != 200).count();
    assert!(refused <= max_refused, "{refused} of {} were refused", answers.len());
}

/// Each node sends each of the two replicas one request per back-off; a request that may not be retried fails
/// with its rejection.
fn assert_few_refused(answers: &[TimedCall]) {
    assert_refused_at_most(answers, NODES * 2 * MAX_BACK_OFFS);
}

#[tokio::test]
async fn test_calls_respect_retry_after_of_replicas() {
    assert_few_refused(&check_some_reject(BOOKING, book).await);
}

#[tokio::test]
async fn test_streams_respect_retry_after_of_engines() {
    assert_few_refused(&check_some_reject(MODEL, chat).await);
}

/// Calls that may be retried are served by other replicas, except those that both replicas reject: one per
/// node and back-off.
#[tokio::test]
async fn test_retries_avoid_replicas_that_sent_retry_after() {
    let answers = check_some_reject(BOOKING, read).await;
    assert_refused_at_most(&answers, NODES * MAX_BACK_OFFS);
}

/// When all replicas ask for a back-off, requests are refused at once with a `Retry-After` header.
async fn check_all_reject(service: &str, make: fn(&str) -> Req) {
    let fleet = LoadedFleet::start(service, NODES, 3).await;
    let from = reject_requests(&fleet, 3);
    let answers = fleet.load(&[10.0; NODES], LOAD_DURATION, make).await;
    (0..3).for_each(|replica| assert_backed_off(&fleet, replica, from));
    for TimedCall { called, took, .. } in &answers {
        assert_eq!(called.status, 503, "{called:?}");
        let after: f64 =
            called.header("retry-after").and_then(|s| s.parse().ok()).expect("a number of seconds");
        assert!(after > 0.0 && *took < MAX_REFUSAL_LATENCY, "{took:?} {called:?}\n{}", fleet.gateway.logs());
    }
    let retry_afters =
        answers.iter().filter_map(|answer| answer.called.header("retry-after")?.parse::<f64>().ok());
    let longest = retry_afters.fold(0.0, f64::max);
    assert!(longest > 1.0, "the longest Retry-After sent to a client was {longest} s");
}

#[tokio::test]
async fn test_calls_are_refused_at_once_when_all_replicas_sent_retry_after() {
    check_all_reject(BOOKING, read).await;
}

#[tokio::test]
async fn test_streams_are_refused_at_once_when_all_engines_sent_retry_after() {
    check_all_reject(MODEL, chat).await;
}

/// A replica that accepts requests again is used again after the back-off.
#[tokio::test]
async fn test_replica_is_used_again_after_its_back_off() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
    reject_requests(&fleet, 1);
    fleet.load(&[10.0; NODES], BACK_OFF / 3, read).await;
    fleet.replicas[0].replica.set_fault(ReplicaFault::None);
    tokio::time::sleep(BACK_OFF).await;
    let from = Instant::now();
    assert_all_served(&fleet.load(&[10.0; NODES], LOAD_DURATION / 2, read).await, &fleet);
    for node in 0..NODES {
        assert!(fleet.arrivals_through(node, 0, from).len() > 1, "node {node}\n{}", fleet.gateway.logs());
    }
}
