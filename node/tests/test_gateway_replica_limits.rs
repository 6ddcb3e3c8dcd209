//! Replicas that name a limit, and get more than it.
//!
//! What users saw: two of the three replicas of a service for plain calls were in need and named 3.1 and
//! 4.4 requests a second in their answers; 3 s later they had got 28 and 46 in 4 s from six nodes, where
//! one and a half times the limit and 5 requests are allowed: 24 and 31.
//! The order of events: a replica names its limit in an answer; the node passes the answer on and sends the
//! next request there as before; so do the five others, each of which chooses by what is in flight there.
//! The cause: no node reads what a replica names, and a bound on the sum over all nodes is kept by nobody.
//! The evidence: in this test's logs each node hears the limit (`limit_named`), and goes on sending first
//! attempts there (`sent_to_limited ... sent=0`), at the rate from before.

use std::time::Duration;
use std::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::request;
use crate::limited_fleet::BINDS_AFTER;
use crate::limited_fleet::LimitedFleet;
use crate::limited_fleet::assert_all_served;

/// Nodes of the users' fleet.
const NODES: usize = 6;
/// What is measured once limits bind.
const MEASURED: Duration = Duration::from_secs(8);

fn read(id: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    request("GET", "/read/x", KEY, id)
}

/// Two of three replicas are in need; the third one takes the rest.
async fn check_two_of_three(per_second: &[f64; NODES]) {
    let fleet = LimitedFleet::start(BOOKING, NODES, 3).await;
    let limits = [3.0, 4.4];
    for (running, limit) in fleet.replicas.iter().zip(limits) {
        running.replica.set_limit(Some(&limit.to_string()));
    }
    let binds = Instant::now() + BINDS_AFTER;
    let answers = fleet.load(per_second, BINDS_AFTER + MEASURED, read).await;
    assert_all_served(&answers, &fleet);
    for (replica, limit) in limits.into_iter().enumerate() {
        fleet.assert_kept(replica, limit, binds);
        fleet.assert_used(replica, limit, binds, binds + MEASURED);
    }
}

#[tokio::test]
async fn test_limits_of_replicas_are_kept_by_all_nodes_together() {
    check_two_of_three(&[8.0; NODES]).await;
}

#[tokio::test]
async fn test_limits_of_replicas_are_used_by_whichever_nodes_have_calls() {
    check_two_of_three(&[30.0, 0.0, 0.0, 1.0, 8.0, 0.0]).await;
}

/// Generations come through the lead of their model, which no other node goes around.
#[tokio::test]
async fn test_limits_of_engines_are_kept() {
    let fleet = LimitedFleet::start(MODEL, NODES, 3).await;
    fleet.replicas[0].replica.set_limit(Some("2"));
    let binds = Instant::now() + BINDS_AFTER;
    let answers = fleet.load(&[3.0; NODES], BINDS_AFTER + MEASURED, chat).await;
    assert_all_served(&answers, &fleet);
    fleet.assert_kept(0, 2.0, binds);
    fleet.assert_used(0, 2.0, binds, binds + MEASURED);
}
