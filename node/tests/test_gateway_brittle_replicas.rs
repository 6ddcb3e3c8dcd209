//! Replicas that fall over when all nodes together make them turn away too many requests in a second.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::read;
use crate::loaded_fleet::LoadedFleet;
use crate::upgraded_fleet::success_share;

const NODES: usize = 6;
const REPLICAS: usize = 3;
/// Number of calls that a brittle replica works on at once, and how long each takes.
const ROOM: u32 = 2;
const CALL_TIME: Duration = Duration::from_millis(40);
/// Calls per second that the replicas can serve.
const CAPACITY: f64 = REPLICAS as f64 * ROOM as f64 / 0.04;
/// Number of calls that a replica may turn away in a second.
const BRITTLE_LIMIT: usize = 5;
/// Time after which the replicas' room shrinks.
const NOTICE: Duration = Duration::from_secs(3);
/// Length of a load.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Falls that are allowed in one time in which the replicas are brittle: 2 and a tenth of their number.
const MAX_FALLS: usize = 2;
/// Minimum part of the room that is used while there are enough calls.
const MIN_USED_SHARE: f64 = 0.75;

async fn with_brittle_replicas() -> LoadedFleet {
    let gateway = Gateway::start().await;
    let mut replicas = Vec::new();
    for n in 1..=REPLICAS {
        let running = gateway.start_unlisted_replica(&format!("{BOOKING}-{n}"), 1).await;
        let address = running.server.as_ref().expect("it serves").address;
        let mut entry = replica_entry(BOOKING, address, "hall-1", "ready");
        entry["slots"] = ROOM.into();
        gateway.store.put("servers", &running.replica.id, entry);
        running.replica.set_fault(ReplicaFault::Late(CALL_TIME));
        replicas.push(running);
    }
    let fleet = LoadedFleet::start_before(gateway, replicas, NODES, |yaml| yaml).await;
    let replicas = fleet.replicas.iter();
    replicas.for_each(|running| running.replica.set_brittle(Some(BRITTLE_LIMIT), ROOM as usize, NOTICE));
    fleet
}

fn falls(fleet: &LoadedFleet) -> usize {
    fleet.replicas.iter().map(|running| running.replica.falls()).sum()
}

/// How long a call really takes: on a busy machine the stand-ins work somewhat longer than asked.
fn mean_work_time(fleet: &LoadedFleet) -> Duration {
    let replicas = fleet.replicas.iter();
    let times: Vec<Duration> = replicas.flat_map(|running| running.replica.work_times()).collect();
    times.iter().sum::<Duration>() / times.len() as u32
}

/// Guards against replicas that fall over because no node knows what the others send them.
#[tokio::test]
async fn test_brittle_replicas_do_not_fall_under_a_load_that_they_can_serve() {
    let fleet = with_brittle_replicas().await;
    let per_second = [0.75 * CAPACITY / NODES as f64; NODES];
    let answers = fleet.load(&per_second, LOAD_TIME, read).await;
    let (falls, served) = (falls(&fleet), success_share(&answers));
    assert!(falls <= MAX_FALLS && served >= 0.95, "{falls} falls, {served} served\n{}", fleet.gateway.logs());
}

#[tokio::test]
async fn test_brittle_replicas_do_not_fall_under_an_overload_and_their_room_is_used() {
    let fleet = with_brittle_replicas().await;
    let per_second = [1.75 * CAPACITY / NODES as f64; NODES];
    let answers = fleet.load(&per_second, LOAD_TIME, read).await;
    let served = answers.iter().filter(|answer| answer.called.status == 200).count() as f64;
    let room = REPLICAS as f64 * f64::from(ROOM) * LOAD_TIME.as_secs_f64();
    let used = served * mean_work_time(&fleet).as_secs_f64() / room;
    let falls = falls(&fleet);
    assert!(
        falls <= MAX_FALLS && used >= MIN_USED_SHARE,
        "{falls} falls, {used} used, a call takes {:?}\n{}",
        mean_work_time(&fleet),
        fleet.gateway.logs()
    );
    fleet.replicas.iter().for_each(|running| running.replica.set_brittle(None, 0, NOTICE));
    let answers = fleet.load(&per_second, Duration::from_secs(3), read).await;
    let late = &answers[answers.len() / 3..];
    assert!(
        success_share(late) >= 0.99,
        "{} served afterwards\n{}",
        success_share(late),
        fleet.gateway.logs()
    );
}
