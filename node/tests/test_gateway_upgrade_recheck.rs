//! Upgrades whose switch falls into a slow moment: whichever version gets the requests answers slowly then.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::request;
use crate::upgraded_fleet::UpgradedFleet;

const NODES: usize = 6;
const REPLICAS: usize = 4;
/// The number of calls a second to each node.
const PER_SECOND: f64 = 25.0;
const ORDER_DURATION: Duration = Duration::from_secs(6);
/// The time after the order's duration within which the outcome is reported if there is a recheck.
const RECHECKED_WITHIN: Duration = Duration::from_secs(12);
const SLOW_MOMENT: Duration = Duration::from_millis(1_200);
/// The number of bad answers, and the time after it within which a bad version gets no more requests.
const BAD_ANSWERS_ALLOWED: usize = 50;
const REVERTED_WITHIN: Duration = Duration::from_secs(5);

fn read(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    request("GET", "/read/x", KEY, id)
}

fn all(fault: ReplicaFault) -> PartialFault {
    PartialFault { fault, every_nth: 1, prefix: "/".to_owned() }
}

/// Several times as long as an answer takes, and short enough to be reported before the switch ends.
fn slow() -> PartialFault {
    all(ReplicaFault::Late(Duration::from_millis(100)))
}

/// Starts an upgrade under load; returns when the switch begins.
async fn start_switch() -> UpgradedFleet {
    let mut fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    // The task goes on after its handle is dropped.
    drop(fleet.load(PER_SECOND, ORDER_DURATION + RECHECKED_WITHIN, read));
    fleet.start_upgrade(ORDER_DURATION, None).await;
    fleet.sleep_until(ORDER_DURATION.mul_f64(0.5)).await;
    let has_begun = async || !fleet.gateway().lines_with("stage=switch").is_empty();
    fleet.gateway().until("the switch begins", has_begun).await;
    fleet
}

/// Guards against reverting a good version because all versions are slow while it gets all requests.
#[tokio::test]
async fn test_a_slow_moment_in_the_switch_does_not_revert_a_good_version() {
    let mut fleet = start_switch().await;
    let old = &fleet.fleet.replicas;
    let set_all = |fault: PartialFault| {
        fleet.set_fault(&fault);
        old.iter().for_each(|running| running.replica.set_partial_fault(fault.clone()));
    };
    set_all(slow());
    tokio::time::sleep(SLOW_MOMENT).await;
    set_all(all(ReplicaFault::None));
    let outcome = fleet.finish_order(RECHECKED_WITHIN).await;
    println!("{}", fleet.gateway().lines_with("event=upgrade_judged"));
    assert_eq!(outcome.state, "succeeded", "{}", fleet.logs());
}

/// Guards against a version that is slow from the switch on and gets requests for longer than allowed.
#[tokio::test]
async fn test_a_version_that_is_slow_from_the_switch_on_is_reverted() {
    let mut fleet = start_switch().await;
    let slow_since = fleet.set_fault(&slow());
    let outcome = fleet.finish_order(RECHECKED_WITHIN).await;
    println!("{}", fleet.gateway().lines_with("event=upgrade_judged"));
    assert_eq!(outcome.state, "rolled_back", "{}", fleet.logs());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let arrivals = fleet.new_arrivals(slow_since);
    let (first, last) = (arrivals.get(BAD_ANSWERS_ALLOWED - 1), arrivals.last());
    let late = first.zip(last).map_or(Duration::ZERO, |(first, last): (&Instant, &Instant)| *last - *first);
    assert!(late <= REVERTED_WITHIN, "{late:?} after the 50th bad answer\n{}", fleet.logs());
}
