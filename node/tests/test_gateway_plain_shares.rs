//! One organisation floods a plain service whose replicas then are full: the nodes keep it to its share.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::call;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;

const NODES: usize = 10;
const REPLICAS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Work of a call: long enough that the machine's own speed matters little.
const WORK: Duration = Duration::from_millis(240);
/// Latency within which calls should be answered: somewhat less than a call takes that waits in a full queue.
const OBJECTIVE: Duration = Duration::from_millis(1_000);
/// Calls per second of the organisations that keep to their usual load: less than half of what replicas bear.
const OTHERS_PER_SECOND: f64 = 30.0;
const OTHERS: [&str; 5] = ["key-1", "key-2", "key-3", "key-4", "key-5"];
/// The organisation that floods: 40 times what one of the others sends.
const FLOODER: &str = "key-6";
const FLOOD_PER_SECOND: f64 = 240.0;
const FLOOD_TIME: Duration = Duration::from_secs(9);
/// The flood's first seconds, in which the nodes find out: they count all calls of a window, of which the slowest
/// take as long as their objective, and tell each other.
const FIND_OUT: Duration = Duration::from_secs(3);
/// Largest part of the others' calls that may be late or refused because of the flood.
const MAX_LOSS: f64 = 0.03;

fn config_with_organisations() -> Value {
    let mut config = config(2);
    let keys = OTHERS.iter().chain([&FLOODER]);
    let organisations =
        keys.map(|key| json!({"name": format!("org-{key}"), "apiKeys": [key], "priority": 1}));
    config["tenants"] = organisations.collect();
    config["services"][0]["maxConnections"] = 500.into();
    for route in config["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = (OBJECTIVE.as_millis() as u64).into();
    }
    config
}

async fn start_fleet(config: Value, change: impl Fn(String) -> String) -> LoadedFleet {
    let gateway = Gateway::start().await;
    let mut replicas = Vec::new();
    for n in 1..=REPLICAS {
        let running = gateway.start_unlisted_replica(&format!("{BOOKING}-{n}"), 1).await;
        running.replica.set_places(SLOTS, QUEUE, WORK);
        let address = running.server.as_ref().expect("it serves").address;
        gateway.store.put("servers", &running.replica.id, replica_entry(BOOKING, address, "hall-1", "ready"));
        replicas.push(running);
    }
    let fleet = LoadedFleet::start_before(gateway, replicas, NODES, change).await;
    fleet.gateway.store.put("config", "main", config);
    for node in 0..NODES {
        let knows_organisations = async || fleet.gateway.status_of(node, "/read/x", FLOODER).await == 200;
        fleet.gateway.until("a node has the configuration", knows_organisations).await;
    }
    fleet
}

fn book_for(key: &str, id: String) -> Request<Full<Bytes>> {
    request("POST", "/book/x", key, &id)
}

/// The node that shares the service out.
fn sharer(gateway: &Gateway) -> usize {
    let names: Vec<VmId> = (0..NODES).map(|node| gateway.peer(node).into()).collect();
    let sharer = rendezvous::pick(BOOKING, &names).expect("nodes");
    names.iter().position(|name| name == sharer).expect("a node")
}

/// The calls that a node has refused as their organisation was over its share.
async fn over_share(gateway: &Gateway, node: usize) -> f64 {
    let metrics = call(&gateway.metrics(node), request("GET", "/metrics", "", "")).await.body;
    let line = metrics.lines().find(|line| line.starts_with("leadstage_gateway_over_share_total"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).expect("the metric")
}

/// Part of calls that are answered in time.
fn in_time_part(calls: &[TimedCall]) -> f64 {
    let in_time = calls.iter().filter(|call| call.called.status == 200 && call.took <= OBJECTIVE).count();
    in_time as f64 / calls.len() as f64
}

/// The calls of the others in a flood, after the first `skipped` time, and those of the flooder. The node that
/// shares the service gets no calls, and is killed after `kill_after`, if set.
async fn flood(
    fleet: &LoadedFleet,
    skipped: Duration,
    kill_after: Option<Duration>,
) -> (Vec<TimedCall>, Vec<TimedCall>) {
    let sharer = sharer(&fleet.gateway);
    let rates = |total: f64| {
        let mut rates = [total / (NODES - 1) as f64; NODES];
        rates[sharer] = 0.0;
        rates
    };
    let kill = async {
        if let Some(after) = kill_after {
            tokio::time::sleep(after).await;
            fleet.gateway.signal(sharer, "-KILL");
        }
    };
    let number = |id: &str| id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0_usize);
    let others = |id: &str| book_for(OTHERS[number(id) % OTHERS.len()], format!("{id}-usual"));
    let flooder = |id: &str| book_for(FLOODER, format!("{id}-flood"));
    let (usual, flooding) = (rates(OTHERS_PER_SECOND), rates(FLOOD_PER_SECOND));
    let (others, flooder, ()) = tokio::join!(
        fleet.load(&usual, FLOOD_TIME, others),
        fleet.load(&flooding, FLOOD_TIME, flooder),
        kill
    );
    let later = others.into_iter().filter(|call| call.began_after >= skipped).collect();
    (later, flooder)
}

/// Settings with shares of plain services.
fn switched_on(yaml: String) -> String {
    format!("{yaml}policy: {{share_calls: true}}\n")
}

/// Guards against one organisation's flood that makes the calls of all others late or refused.
#[tokio::test]
async fn test_nodes_keep_a_flooding_organisation_to_its_share() {
    let fleet = start_fleet(config_with_organisations(), switched_on).await;
    let usual = [OTHERS_PER_SECOND / NODES as f64; NODES];
    let calls = fleet.load(&usual, Duration::from_secs(3), |id| book_for(OTHERS[0], id.to_owned())).await;
    let usual = in_time_part(&calls);
    let (others, flooder) = flood(&fleet, FIND_OUT, None).await;
    let shared = in_time_part(&others);
    println!(
        "others in time: usual {usual:.3}, in the flood {shared:.3}, flooder {:.3}",
        in_time_part(&flooder)
    );
    assert!(shared >= usual - MAX_LOSS, "{usual}, {shared}\n{}", fleet.gateway.logs());
    let refusals: Vec<_> = flooder.iter().filter(|call| call.called.status != 200).collect();
    assert!(
        refusals.iter().all(|call| call.called.status == 503 && call.called.header("retry-after").is_some())
    );
    let lines = fleet.gateway.lines_with("event=plain_share");
    assert!(lines.contains("organisation=org-key-6") && lines.contains("step=begins"), "{lines}");
    let mut counted = 0.0;
    for node in 0..NODES {
        counted += over_share(&fleet.gateway, node).await;
    }
    assert!(counted > 0.0);
}

#[tokio::test]
async fn test_shares_go_on_within_two_seconds_after_the_sharing_node_is_killed() {
    let fleet = start_fleet(config_with_organisations(), switched_on).await;
    let killed_at = Duration::from_secs(4);
    let (others, _) = flood(&fleet, killed_at + Duration::from_secs(2), Some(killed_at)).await;
    let shared = in_time_part(&others);
    println!("others in time after the kill {shared:.3}");
    assert!(shared >= 1.0 - MAX_LOSS, "{shared}\n{}", fleet.gateway.logs());
}

/// Nothing is shared unless the policy says so: no message is sent, and the flood hurts all alike.
#[tokio::test]
async fn test_nothing_is_shared_unless_the_policy_says_so() {
    let fleet = start_fleet(config_with_organisations(), |yaml| yaml).await;
    assert_flood_is_not_shared(&fleet).await;
}

#[tokio::test]
async fn test_nothing_is_shared_without_organisations() {
    let mut config = config_with_organisations();
    config.as_object_mut().expect("an object").remove("tenants");
    assert_flood_is_not_shared(&start_fleet(config, switched_on).await).await;
}

async fn assert_flood_is_not_shared(fleet: &LoadedFleet) {
    let (others, _) = flood(fleet, FIND_OUT, None).await;
    println!("others in time without shares {:.3}", in_time_part(&others));
    assert!(in_time_part(&others) < 0.8, "the flood is none");
    assert_eq!(fleet.gateway.lines_with("event=plain_share"), "");
    for node in 0..NODES {
        let metrics = call(&fleet.gateway.metrics(node), request("GET", "/metrics", "", "")).await.body;
        assert!(!metrics.contains("kind=\"shares\""), "{metrics}");
    }
}
