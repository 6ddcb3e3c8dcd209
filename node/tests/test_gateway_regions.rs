//! Requests whose route or organisation has allowed regions are served only there, whichever node their
//! clients connect to and wherever their generations are moved.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;

const REGIONS: &str = "regions: {hall-1: north, hall-2: north, hall-3: south}\n";
const HALLS: [&str; 3] = ["hall-1", "hall-2", "hall-3"];
/// Events per generation; at this length one runs for some seconds.
const EVENTS: u64 = 300;

/// Replicas of a service, one per hall in the order of [`HALLS`].
type ByHall = Vec<RunningReplica>;

/// A configuration in which the given routes and the organisation have allowed regions.
fn restricted_config(routes: &[(&str, Value)], organisation: Value) -> Value {
    let mut config = config(1);
    for route in config["routes"].as_array_mut().expect("routes") {
        if let Some((_, regions)) = routes.iter().find(|(name, _)| route["name"] == *name) {
            route["allowedRegions"] = regions.clone();
        }
    }
    config["tenants"][0]["allowedRegions"] = organisation;
    config
}

/// Starts two nodes, one in the north and one in the south, and a replica of each service in each hall.
async fn fleet(config: Value) -> (Gateway, ByHall, ByHall) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config);
    let mut services = Vec::new();
    for service in [BOOKING, MODEL] {
        let mut by_hall = Vec::new();
        for hall in HALLS {
            let running = gateway.start_unlisted_replica(&format!("{service}-{hall}"), EVENTS).await;
            write_entry(&gateway, service, &running, hall, "ready");
            by_hall.push(running);
        }
        services.push(by_hall);
    }
    for hall in ["hall-1", "hall-3"] {
        let with_hall =
            |yaml: String| format!("{}{REGIONS}", yaml.replace("hall: hall-1", &format!("hall: {hall}")));
        let node = gateway.start_node_with(with_hall);
        gateway.until_ready(node).await;
    }
    let models = services.pop().expect("two");
    (gateway, services.pop().expect("two"), models)
}

fn write_entry(gateway: &Gateway, service: &str, running: &RunningReplica, hall: &str, state: &str) {
    let address = running.server.as_ref().expect("it serves").address;
    gateway.store.put("servers", &running.replica.id, replica_entry(service, address, hall, state));
}

fn count_requests(replicas: &ByHall) -> Vec<usize> {
    replicas.iter().map(|running| running.replica.received_requests().len()).collect()
}

#[tokio::test]
async fn test_a_route_is_served_only_in_its_regions() {
    let (gateway, bookings, models) =
        fleet(restricted_config(&[("read", json!(["south"])), ("chat", json!(["north"]))], Value::Null))
            .await;
    for node in [0, 1] {
        for n in 0..10 {
            assert_eq!(gateway.status_of(node, "/read/x", KEY).await, 200);
            let begun = count_requests(&models).iter().sum::<usize>();
            let has_begun = async || count_requests(&models).iter().sum::<usize>() > begun;
            tokio::select! {
                ended = gateway.call(node, chat(&format!("c-{node}-{n}"))) => {
                    panic!("it is still running: {ended:?}\n{}", gateway.logs())
                }
                () = gateway.until("the generation runs", has_begun) => {}
            }
        }
    }
    assert_eq!(count_requests(&bookings), [0, 0, 20], "{}", gateway.logs());
    let chats = count_requests(&models);
    assert!(chats[0] + chats[1] == 20 && chats[2] == 0, "{chats:?}\n{}", gateway.logs());
    // A route without allowed regions uses all regions.
    for _ in 0..40 {
        assert_eq!(gateway.status_of(0, "/book/x", KEY).await, 200);
    }
    assert!(count_requests(&bookings)[0] > 0, "{}", gateway.logs());
    let headers = models.iter().chain(&bookings).flat_map(|running| running.replica.received_requests());
    assert!(
        headers.into_iter().all(|seen| seen.header("kv-backup").is_none()),
        "no KV cache backup is kept outside of the allowed regions"
    );
}

#[tokio::test]
async fn test_regions_of_route_and_organisation_both_apply() {
    let (gateway, bookings, models) = fleet(restricted_config(
        &[("read", json!(["south", "north"])), ("book", json!(["south"])), ("chat", json!(["south"]))],
        json!(["north"]),
    ))
    .await;
    for node in [0, 1] {
        for _ in 0..10 {
            assert_eq!(gateway.status_of(node, "/read/x", KEY).await, 200);
        }
        // No region is allowed by both: the request is refused at once and sent to no replica.
        for req in [request("POST", "/book/x", KEY, "b-1"), chat("c-1")] {
            let began = std::time::Instant::now();
            let refused = gateway.call(node, req).await;
            assert_eq!((refused.status, refused.code()), (503, 2104), "{refused:?}");
            assert!(refused.header("retry-after").is_some(), "{refused:?}");
            assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
        }
    }
    let bookings = count_requests(&bookings);
    assert!(bookings[2] == 0 && bookings.iter().sum::<usize>() == 20, "{bookings:?}\n{}", gateway.logs());
    assert_eq!(count_requests(&models), [0, 0, 0]);
}

#[tokio::test]
async fn test_a_generation_moves_within_its_regions() {
    for node in [0, 1] {
        let (gateway, _bookings, models) =
            fleet(restricted_config(&[("chat", json!(["north"]))], Value::Null)).await;
        let (chat, ()) = tokio::join!(gateway.call(node, chat("c-1")), async {
            let runs_at = || models.iter().position(|running| running.replica.running() > 0);
            gateway.until("the generation runs", async || runs_at().is_some()).await;
            let at = runs_at().expect("the generation runs");
            write_entry(&gateway, MODEL, &models[at], HALLS[at], "draining");
        });
        assert!(chat.whole && chat.events() == Some(EVENTS), "{chat:?}\n{}", gateway.logs());
        assert!(gateway.log(node).contains("event=moved"), "{}", gateway.logs());
        assert_eq!(models[2].replica.received_requests().len(), 0, "{}", gateway.logs());
    }
}

#[tokio::test]
async fn test_a_call_that_fails_in_its_region_is_not_sent_to_another() {
    let (gateway, bookings, _models) =
        fleet(restricted_config(&[("read", json!("south"))], Value::Null)).await;
    bookings[2].replica.set_fault(ReplicaFault::NotExecuted);
    let refused = gateway.call(0, request("GET", "/read/x", KEY, "r-1")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(count_requests(&bookings)[..2], [0, 0], "{}", gateway.logs());
}
