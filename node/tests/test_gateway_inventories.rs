//! Leads learn of the generations of other nodes from their inventories.

use std::collections::BTreeMap;
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::send;

/// The number of events of each generation, which lasts some twelve seconds.
const EVENTS: u64 = 800;

/// A stream that stays open until this is dropped.
type OpenStream = (AbortOnDropHandle<()>, Response<Incoming>);

/// The maximum age of a node's status.
const MAX_STATUS_AGE: Duration = Duration::from_millis(3_000);

/// Starts two nodes that serve `config`, and waits until each service has exactly one lead.
async fn start_two_nodes(config: Value) -> Gateway {
    let models = config["services"].as_array().expect("services").len() - 1;
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config);
    for node in 0..2 {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    gateway.until("the nodes know each other", async || gateway.log(0).contains("nodes_met")).await;
    gateway
        .until("each service has one lead", async || {
            let (mut led, others) =
                (running_generations(&gateway, 0).await, running_generations(&gateway, 1).await);
            let both = led.len() + others.len();
            led.extend(others);
            both == models && led.len() == models
        })
        .await;
    gateway
}

/// The number of generations that a node knows of, for each service that it leads.
async fn running_generations(gateway: &Gateway, node: usize) -> BTreeMap<String, u64> {
    let req = http::Request::get("/status").header("host", "x").body(Default::default()).expect("valid");
    let status = crate::gateway_environment::call(&gateway.metrics(node), req).await;
    let status: Value = serde_json::from_str(&status.body).unwrap_or_default();
    let pools = status["pools"].as_array().into_iter().flatten();
    pools
        .map(|pool| (pool["model"].as_str().unwrap_or("").to_owned(), pool["running"].as_u64().unwrap_or(0)))
        .collect()
}

async fn open_stream(gateway: &Gateway, node: usize, path: &str, id: &str) -> OpenStream {
    let mut req = chat(id);
    *req.uri_mut() = path.parse().expect("a path");
    let open = send(&gateway.client_address(node), req).await.expect("the stream begins");
    assert_eq!(open.1.status(), 200, "{}", gateway.logs());
    open
}

/// The inventory of 50 generations at engines with names of 400 bytes takes 20 kB, more than a datagram
/// holds. A restarted lead must learn of all of them nevertheless.
#[tokio::test]
async fn test_a_new_lead_learns_of_all_generations_of_a_busy_node() {
    let mut config = config(1);
    config["services"][1]["maxConnections"] = 200.into();
    config["services"][1]["engine"]["slots"] = 100.into();
    config["services"][1]["engine"]["kvCacheTokens"] = 1_000_000.into();
    let mut gateway = start_two_nodes(config).await;
    let _engine = gateway.start_replica(MODEL, &"e".repeat(400), EVENTS).await;
    let lead = if running_generations(&gateway, 0).await.contains_key(MODEL) { 0 } else { 1 };
    let entry_node = 1 - lead;
    gateway
        .until("the engine is known", async || gateway.call(entry_node, chat("first")).await.status == 200)
        .await;
    let mut open = Vec::new();
    for n in 0..50 {
        open.push(open_stream(&gateway, entry_node, "/chat/x", &format!("r-{n}")).await);
    }
    gateway.kill(lead);
    gateway.restart_node(lead);
    let mut known = 0;
    for _ in 0..60 {
        known = running_generations(&gateway, lead).await.get(MODEL).copied().unwrap_or(0).max(known);
        if known == 50 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(known, 50, "{}", gateway.logs());
}

/// An inventory that a node sends to the lead of one service must not replace the one for another service
/// with the same lead. Of four services, one of two nodes leads two or more.
#[tokio::test]
async fn test_a_lead_of_several_services_knows_the_generations_of_all() {
    let mut config = config(1);
    let (route, service) = (config["routes"][2].clone(), config["services"][1].clone());
    for n in 0..4 {
        let name = format!("model-{n}");
        let (mut route, mut service) = (route.clone(), service.clone());
        route["name"] = json!(name);
        route["pathPrefix"] = json!(format!("/{name}/"));
        route["service"] = json!(name);
        service["name"] = json!(name);
        config["routes"].as_array_mut().expect("routes").push(route);
        config["services"].as_array_mut().expect("services").push(service);
    }
    let gateway = start_two_nodes(config).await;
    let mut engines = Vec::new();
    for n in 0..4 {
        engines.push(gateway.start_replica(&format!("model-{n}"), &format!("e-{n}"), EVENTS).await);
    }
    let led = running_generations(&gateway, 0).await.into_keys().filter(|name| name != MODEL).count();
    let lead = if led >= 2 { 0 } else { 1 };
    let led: Vec<String> =
        running_generations(&gateway, lead).await.into_keys().filter(|name| name != MODEL).collect();
    assert!(led.len() >= 2, "{led:?}");
    let mut open = Vec::new();
    for name in &led {
        open.push(open_stream(&gateway, 1 - lead, &format!("/{name}/x"), name).await);
    }
    tokio::time::sleep(MAX_STATUS_AGE).await;
    let mut unknown = 0;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let running = running_generations(&gateway, lead).await;
        unknown += led.iter().filter(|name| running.get(*name) != Some(&1)).count();
    }
    assert_eq!(
        unknown,
        0,
        "generations unknown to their lead in 30 checks of {} running ones\n{}",
        led.len(),
        gateway.logs()
    );
}
