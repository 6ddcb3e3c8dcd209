//! Odd objects of other writers in the store: nodes go on serving, and follow what changes later.

use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::config;

/// Guards against nodes that end because the path of a call to the store would have the name of an object.
#[tokio::test]
async fn test_names_that_a_path_cannot_have_do_not_end_nodes() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    gateway.start_node_with(|yaml| {
        yaml.replace("bounds: {", "bounds: {exposure_share: 0.1, exposure_slack: 10, ")
    });
    let _booking = gateway.start_replica(BOOKING, "booking", 1).await;
    gateway.until_ready(0).await;
    gateway.store.put("rollouts", "an odd name", json!({}));
    let status = || gateway.store.status("rollouts", "an odd name").expect("it exists");
    gateway.until("the order is refused", async || status()["state"] == "rolled_back").await;
    gateway.store.put("servers", "an odd name", json!({}));
    gateway.store.set_page_size(1);
    let later = gateway.start_node();
    gateway.until_ready(later).await;
    for node in [0, later] {
        gateway.until("it serves", async || gateway.status_of(node, "/read/x", KEY).await == 200).await;
    }
}
