//! Nodes that decide for the whole fleet while they are partitioned from all replicas: those that grant requests
//! to replicas with limits, and the leads of brittle services.

use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::OpenLinks;
use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::read;
use crate::loaded_fleet::LIMIT_APPLIES_AFTER;
use crate::loaded_fleet::LoadedFleet;
use crate::test_gateway_partitioned_nodes::node_ip;
use crate::upgraded_fleet::success_share;

const NODES: usize = 5;
/// All nodes but one, so that the partitioned ones include nearly all that decide for the fleet.
const PARTITIONED: usize = NODES - 1;
const REPLICAS: usize = 3;
const MEASURED_FOR: Duration = Duration::from_secs(8);
/// Limit of each replica, in requests per second.
const LIMIT: f64 = 4.0;
/// Number of calls that a brittle replica works on at once, as many as the slots of its entry.
const ROOM: usize = 8;
/// How long a call takes at a brittle replica.
const CALL_TIME: Duration = Duration::from_millis(80);
/// Number of calls that a brittle replica may turn away in a second, and time after which its room shrinks.
const BRITTLE_LIMIT: usize = 5;
const NOTICE: Duration = Duration::from_secs(3);
/// Falls that are allowed in one time in which the replicas are brittle: 2 and a tenth of their number.
const MAX_FALLS: usize = 2;

/// Starts a fleet of which all nodes but the last one are partitioned from all replicas.
async fn start_partitioned() -> (LoadedFleet, Vec<FaultyProxy>) {
    let gateway = Gateway::start().await;
    let (mut replicas, mut proxies) = (Vec::new(), Vec::new());
    for n in 1..=REPLICAS {
        let running = gateway.start_replica(BOOKING, &format!("{BOOKING}-{n}"), 1).await;
        proxies.push(gateway.put_proxy_before(BOOKING, &running).await);
        replicas.push(running);
    }
    let fleet = LoadedFleet::start_before(gateway, replicas, NODES, |yaml| yaml).await;
    let nodes: Vec<_> = (0..PARTITIONED).map(|node| node_ip(&fleet.gateway, node)).collect();
    proxies.iter().for_each(|proxy| proxy.partition(&nodes, OpenLinks::Hang));
    (fleet, proxies)
}

/// Guards against limits that are exceeded, or left unused, because those that grant requests have no path.
#[tokio::test]
async fn test_limits_of_replicas_are_kept_and_used_while_granters_have_no_path() {
    let (fleet, _proxies) = start_partitioned().await;
    let limits = [LIMIT; REPLICAS];
    let binds = fleet.announce_limits(&limits);
    let per_second = [1.5 * LIMIT * REPLICAS as f64 / NODES as f64; NODES];
    fleet.load(&per_second, LIMIT_APPLIES_AFTER + MEASURED_FOR, read).await;
    fleet.assert_limits_kept(&limits, binds);
    fleet.assert_limits_used(&limits, binds, MEASURED_FOR);
}

/// Guards against brittle replicas that fall over, or stay idle, because the lead of their service has no path.
#[tokio::test]
async fn test_brittle_replicas_do_not_fall_while_their_lead_has_no_path() {
    let (fleet, _proxies) = start_partitioned().await;
    for running in &fleet.replicas {
        running.replica.set_fault(ReplicaFault::Late(CALL_TIME));
        running.replica.set_brittle(Some(BRITTLE_LIMIT), ROOM, NOTICE);
    }
    let capacity = (REPLICAS * ROOM) as f64 / CALL_TIME.as_secs_f64();
    let per_second = [0.6 * capacity / NODES as f64; NODES];
    let answers = fleet.load(&per_second, NOTICE + MEASURED_FOR, read).await;
    let falls: usize = fleet.replicas.iter().map(|running| running.replica.falls()).sum();
    let late = &answers[answers.len() / 3..];
    assert!(
        falls <= MAX_FALLS && success_share(late) >= 0.95,
        "{falls} falls, {} served\n{}",
        success_share(late),
        fleet.gateway.logs()
    );
}
