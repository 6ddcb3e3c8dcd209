//! The pace at which plain replicas that start or recover get calls from a fleet of ten nodes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::read;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;
use crate::loaded_fleet::assert_all_served;

const NODES: usize = 10;
/// Number of replicas, with the one under test.
const REPLICAS: usize = 4;
/// Number of calls that a replica works on at once, and how long each takes at full speed.
const WORKERS: usize = 10;
const CALL_TIME: Duration = Duration::from_millis(40);
/// Calls per second to a replica while all get the same: 0.4 of what it can serve.
const EVEN_SHARE: f64 = 100.0;
const PER_NODE: [f64; NODES] = [EVEN_SHARE * REPLICAS as f64 / NODES as f64; NODES];
/// The objective of the calls' route.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// How many times longer than usual a call takes at a replica that is slow at first.
const SLOW_FACTOR: f64 = 12.0;
/// Time in which nodes learn how fast the service usually answers.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Interval at which the speed of a replica is set.
const SPEED_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum part of all calls that may be answered later than their objective.
const MAX_LATE_SHARE: f64 = 0.01;
/// Minimum part of its even share that a replica at full speed gets in its second second.
const MIN_SHARE: f64 = 0.8;

/// Starts a fleet whose replicas work on a bounded number of calls at once.
async fn fleet_with(replicas: usize) -> LoadedFleet {
    let fleet = LoadedFleet::start(BOOKING, NODES, replicas).await;
    fleet.replicas.iter().for_each(|running| set_up(&running.replica));
    fleet
}

fn set_up(replica: &GatewayReplica) {
    replica.set_workers(WORKERS);
    replica.set_fault(ReplicaFault::Late(CALL_TIME));
}

fn set_speed(replica: &GatewayReplica, progress: f64) {
    let factor = SLOW_FACTOR + (1.0 - SLOW_FACTOR) * progress.min(1.0);
    replica.set_fault(ReplicaFault::Late(CALL_TIME.mul_f64(factor)));
}

/// Starts a further replica while the fleet is under load. `progress` tells, by the time since its start and
/// the calls that it has received, how far it is from its first speed to the full one. Returns it, the time of
/// its start and the calls since then.
async fn start_under_load(
    fleet: &LoadedFleet,
    lasts: Duration,
    progress: impl Fn(Duration, usize) -> f64,
) -> (RunningReplica, Instant, Vec<TimedCall>) {
    fleet.load(&PER_NODE, LEARNING_TIME, |id| read(&format!("{id}-learning"))).await;
    let running = fleet.gateway.start_unlisted_replica("booking-new", 1).await;
    set_up(&running.replica);
    set_speed(&running.replica, progress(Duration::ZERO, 0));
    let address = running.server.as_ref().expect("it serves").address;
    let load = fleet.load(&PER_NODE, lasts, read);
    let began = Instant::now();
    fleet.gateway.store.put("servers", "booking-new", replica_entry(BOOKING, address, "hall-1", "ready"));
    let speed = async {
        while began.elapsed() < lasts {
            set_speed(&running.replica, progress(began.elapsed(), running.replica.received_requests().len()));
            tokio::time::sleep(SPEED_INTERVAL).await;
        }
    };
    let (calls, ()) = tokio::join!(load, speed);
    (running, began, calls)
}

/// The part of its even share that a replica received between two times.
fn share(replica: &Arc<GatewayReplica>, from: Instant, until: Instant) -> f64 {
    let seen = replica.received_requests();
    let count = seen.iter().filter(|seen| seen.at >= from && seen.at < until).count();
    count as f64 / (EVEN_SHARE * (until - from).as_secs_f64())
}

/// The part of its even share that a replica received in the second that begins `seconds` after `from`.
fn share_in_second(replica: &Arc<GatewayReplica>, from: Instant, seconds: f64) -> f64 {
    let begins = from + Duration::from_secs_f64(seconds);
    share(replica, begins, begins + Duration::from_secs(1))
}

fn late_share(calls: &[TimedCall]) -> f64 {
    calls.iter().filter(|call| call.took > OBJECTIVE).count() as f64 / calls.len() as f64
}

/// The log lines of all nodes about ramps.
fn ramp_log(fleet: &LoadedFleet) -> String {
    let logs = (0..NODES).map(|node| fleet.gateway.log(node));
    let lines: Vec<String> = logs
        .flat_map(|log| {
            log.lines().filter(|line| line.contains("ramp_")).map(str::to_owned).collect::<Vec<_>>()
        })
        .collect();
    lines.join("\n")
}

/// Asserts that few calls are late, and that the replica gets its even share from two seconds after it was at
/// full speed.
fn assert_ramps(fleet: &LoadedFleet, running: &RunningReplica, calls: &[TimedCall], fast_at: Instant) {
    assert_all_served(calls, fleet);
    let (late, carried) = (late_share(calls), share_in_second(&running.replica, fast_at, 2.0));
    println!("{late:.4} late, {carried:.2} of the even share carried");
    assert!(late < MAX_LATE_SHARE, "{late} late\n{}", ramp_log(fleet));
    assert!(carried >= MIN_SHARE, "{carried} of the even share carried\n{}", ramp_log(fleet));
}

#[tokio::test]
async fn test_a_replica_that_gets_faster_with_time_is_not_flooded_by_ten_nodes() {
    let fleet = fleet_with(REPLICAS - 1).await;
    let slow_for = Duration::from_secs(5);
    let progress = |since: Duration, _| since.as_secs_f64() / slow_for.as_secs_f64();
    let lasts = slow_for + Duration::from_secs(3);
    let (running, began, calls) = start_under_load(&fleet, lasts, progress).await;
    assert_ramps(&fleet, &running, &calls, began + slow_for);
}

/// Calls after which a replica that gets faster by use is at full speed.
const CALLS_TO_WARM: usize = 60;

#[tokio::test]
async fn test_a_replica_that_gets_faster_by_use_is_not_flooded_by_ten_nodes() {
    let fleet = fleet_with(REPLICAS - 1).await;
    let progress = |_, received: usize| received as f64 / CALLS_TO_WARM as f64;
    let (running, _, calls) = start_under_load(&fleet, Duration::from_secs(12), progress).await;
    let received = running.replica.received_requests();
    let fast_at = received.get(CALLS_TO_WARM).expect("it becomes fast").at;
    assert_ramps(&fleet, &running, &calls, fast_at);
}

#[tokio::test]
async fn test_a_replica_that_stays_slow_is_not_flooded_by_ten_nodes() {
    let fleet = fleet_with(REPLICAS - 1).await;
    let lasts = Duration::from_secs(6);
    let (running, began, calls) = start_under_load(&fleet, lasts, |_, _| 0.0).await;
    assert_all_served(&calls, &fleet);
    let carried = share(&running.replica, began + Duration::from_secs(1), began + lasts);
    let can_bear = WORKERS as f64 / (CALL_TIME.as_secs_f64() * SLOW_FACTOR) / EVEN_SHARE;
    println!(
        "{carried:.3} of the even share carried, {can_bear:.3} can be borne, {:.4} late",
        late_share(&calls)
    );
    assert!(carried > 0.0 && carried <= can_bear, "{carried} of {can_bear}\n{}", ramp_log(&fleet));
    let slowest = calls.iter().map(|call| call.took).max().expect("some calls");
    assert!(slowest < 2 * OBJECTIVE, "no queue grows: {slowest:?}\n{}", ramp_log(&fleet));
}

#[tokio::test]
async fn test_a_replica_at_full_speed_soon_gets_its_share() {
    let fleet = fleet_with(REPLICAS - 1).await;
    let (running, began, calls) = start_under_load(&fleet, Duration::from_secs(3), |_, _| 1.0).await;
    assert_all_served(&calls, &fleet);
    let carried = share_in_second(&running.replica, began, 1.0);
    println!("{carried:.2} of the even share carried");
    assert!(carried >= MIN_SHARE, "{carried} of the even share carried\n{}", ramp_log(&fleet));
}

/// Guards against a replica that is left idle because of one call that failed at each node.
#[tokio::test]
async fn test_a_replica_that_recovers_soon_gets_its_share() {
    let fleet = fleet_with(REPLICAS).await;
    fleet.load(&PER_NODE, LEARNING_TIME, |id| read(&format!("{id}-learning"))).await;
    let replica = &fleet.replicas[0].replica;
    let broken_for = Duration::from_secs(2);
    replica.set_fault(ReplicaFault::Breaks);
    let recovers = async {
        tokio::time::sleep(broken_for).await;
        replica.set_fault(ReplicaFault::Late(CALL_TIME));
        Instant::now()
    };
    let (calls, recovered) = tokio::join!(fleet.load(&PER_NODE, Duration::from_secs(5), read), recovers);
    assert_all_served(&calls, &fleet);
    let carried = share_in_second(replica, recovered, 1.0);
    let failed = replica
        .received_requests()
        .iter()
        .filter(|seen| seen.at + broken_for >= recovered && seen.at < recovered)
        .count();
    println!("{carried:.2} of the even share carried, {failed} calls failed");
    assert!(carried >= MIN_SHARE, "{carried} of the even share carried\n{}", ramp_log(&fleet));
}
