//! Organisations that share a fleet's engines, one of which sends far more than usual.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::call;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;

const NODES: usize = 10;
const ENGINES: usize = 3;
/// Events of each generation, which lasts 0.6 s.
const EVENTS: u64 = 40;
/// The objective for the first event.
const OBJECTIVE: Duration = Duration::from_secs(2);
/// Generations a second that each node receives from each of the two other organisations.
const USUAL_PER_SECOND: f64 = 0.4;
const FLOOD_FACTOR: f64 = 40.0;
/// Part of the others' requests that may not be served in time.
const TOLERANCE: f64 = 0.03;
/// Within this time, the nodes have another lead.
const TAKE_OVER: Duration = Duration::from_secs(2);
/// For how long the others' requests are measured.
const MEASURED: Duration = Duration::from_secs(5);

/// A configuration with three organisations and engines whose memory holds a few generations each.
fn shared_config(version: u64, organisations: &[&str]) -> Value {
    let mut config = config(version);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["targetLatencyMs"] = (OBJECTIVE.as_millis() as u64).into();
    }
    config["services"][1]["engine"]["kvCacheTokens"] = 14_000.into();
    let keys = organisations.iter().map(|name| (name, key(name)));
    let organisations = keys.map(|(name, key)| json!({"name": name, "apiKeys": [key], "priority": 1}));
    config["tenants"] = organisations.collect();
    config
}

fn key(organisation: &str) -> String {
    organisation.replace("org", "key")
}

/// A request for a stream of an organisation.
fn stream(organisation: &str, id: &str) -> Request<Full<Bytes>> {
    let mut req = request("POST", "/chat/x", &key(organisation), &format!("{organisation}-{id}"));
    let headers = req.headers_mut();
    headers.insert("leadstage-model", "m".parse().expect("valid"));
    headers.insert("leadstage-token-usage", "1800,160".parse().expect("valid"));
    headers.insert("length-hint", "160".parse().expect("valid"));
    req
}

async fn start_fleet() -> LoadedFleet {
    let fleet = LoadedFleet::start_with(MODEL, NODES, ENGINES, EVENTS, |yaml| yaml).await;
    put_config(&fleet.gateway, 2, &["org-a", "org-b", "org-c"]).await;
    fleet
}

async fn put_config(gateway: &Gateway, version: u64, organisations: &[&str]) {
    gateway.store.put("config", "main", shared_config(version, organisations));
    let in_force = format!("event=config_in_force version={version}");
    let nodes = 0..gateway.nodes();
    gateway
        .until("the configuration is in force", async || {
            nodes.clone().all(|node| gateway.log(node).contains(&in_force))
        })
        .await;
}

/// The node that leads the engines' service.
async fn lead(gateway: &Gateway) -> usize {
    for node in 0..gateway.nodes() {
        if gateway.node_status(node).await.pools.iter().any(|pool| &*pool.model == MODEL) {
            return node;
        }
    }
    panic!("no node leads\n{}", gateway.logs());
}

/// Sends the usual load of two organisations to these nodes; returns the results.
async fn usual_load(fleet: &LoadedFleet, nodes: &[usize]) -> Vec<TimedCall> {
    let rates = rates(nodes, USUAL_PER_SECOND);
    let [b, c] = ["org-b", "org-c"].map(|name| fleet.load(&rates, MEASURED, move |id| stream(name, id)));
    let (mut all, more) = tokio::join!(b, c);
    all.extend(more);
    all
}

fn rates(nodes: &[usize], per_second: f64) -> Vec<f64> {
    (0..NODES).map(|node| if nodes.contains(&node) { per_second } else { 0.0 }).collect()
}

/// Asserts that the requests of the others were served, and began in time.
fn assert_in_time(calls: &[TimedCall], fleet: &LoadedFleet) {
    let generation = Duration::from_millis(15) * EVENTS as u32;
    let is_in_time = |call: &&TimedCall| call.called.status == 200 && call.took <= OBJECTIVE + generation;
    let in_time = calls.iter().filter(is_in_time).count() as f64 / calls.len() as f64;
    assert!(in_time >= 1.0 - TOLERANCE, "{in_time:.3} of {} in time\n{}", calls.len(), fleet.gateway.logs());
}

/// One organisation sends 40 times its usual load to all nodes. The others' generations begin in time; its
/// own are refused with a time after which their callers may return.
#[tokio::test]
async fn test_a_flood_of_one_organisation_does_not_delay_the_others() {
    let fleet = start_fleet().await;
    let nodes: Vec<usize> = (0..NODES).collect();
    let flood_rates = rates(&nodes, USUAL_PER_SECOND * FLOOD_FACTOR);
    let (flood, others) = tokio::join!(
        fleet.load(&flood_rates, MEASURED, |id| stream("org-a", id)),
        usual_load(&fleet, &nodes),
    );
    assert_in_time(&others, &fleet);
    let served = flood.iter().filter(|call| call.called.status == 200).count();
    let refused: Vec<&TimedCall> = flood.iter().filter(|call| call.called.status == 503).collect();
    assert_eq!(served + refused.len(), flood.len());
    assert!(served > 0, "what the others leave is used");
    assert!(refused.iter().all(|call| call.called.header("retry-after").is_some()));
    let over_share = fleet.gateway.lines_with("event=over_share");
    assert!(over_share.contains("organisation=org-a"), "{}", fleet.gateway.logs());
    assert!(!over_share.contains("organisation=org-b") && !over_share.contains("organisation=org-c"));
}

/// The lead is killed in the flood. From two seconds later on, the others' generations begin in time.
#[tokio::test]
async fn test_a_new_lead_keeps_the_shares() {
    let fleet = start_fleet().await;
    let lead = lead(&fleet.gateway).await;
    let nodes: Vec<usize> = (0..NODES).filter(|node| *node != lead).collect();
    let flood_rates = rates(&nodes, USUAL_PER_SECOND * FLOOD_FACTOR);
    let flood = fleet.load(&flood_rates, 3 * TAKE_OVER + MEASURED, |id| stream("org-a", id));
    let kill_and_measure = async {
        tokio::time::sleep(TAKE_OVER).await;
        fleet.gateway.signal(lead, "-KILL");
        let is_gone = || fleet.gateway.log(nodes[0]).contains("liveness=Dead");
        fleet.gateway.until("the lead is gone", async || is_gone()).await;
        tokio::time::sleep(TAKE_OVER).await;
        usual_load(&fleet, &nodes).await
    };
    let (_, others) = tokio::join!(flood, kill_and_measure);
    assert_in_time(&others, &fleet);
}

/// A request that waits is refused as soon as its organisation is removed from the configuration, like others
/// with its key.
#[tokio::test]
async fn test_requests_of_a_removed_organisation_do_not_wait() {
    let mut gateway = Gateway::start().await;
    let _engine = gateway.start_replica(MODEL, "model-1", 400).await;
    gateway.store.put("config", "main", shared_config(1, &["org-a", "org-b"]));
    gateway.start_node();
    gateway.until_ready(0).await;
    let address = gateway.client_address(0);
    let mut running = JoinSet::new();
    for n in 0..8 {
        let (address, req) = (address.clone(), stream("org-a", &format!("r-{n}")));
        running.spawn(async move { call(&address, req).await });
    }
    let is_full = async || gateway.node_status(0).await.pools.iter().any(|pool| pool.waiting > 0);
    gateway.until("the engine is full", is_full).await;
    let waiting = tokio::spawn(async move { call(&address, stream("org-b", "w")).await });
    gateway.store.put("config", "main", shared_config(2, &["org-a"]));
    let waiting = waiting.await.expect("the call ends");
    assert_eq!(waiting.status, 401, "{waiting:?}\n{}", gateway.logs());
}
