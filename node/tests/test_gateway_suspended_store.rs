//! What a node takes the store for after a suspension.

use std::time::Duration;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::config;

/// Longer than a watch of the store waits, and than its answer may take.
const PAUSE: Duration = Duration::from_secs(5);

/// Guards against a store that is taken for lost though it has answered while the node was suspended: it is
/// listed again, and replicas whose entries go count as present for two more seconds.
#[tokio::test]
async fn test_a_store_that_answered_during_a_suspension_is_not_lost() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.until("the store is watched", async || gateway.log(0).contains("event=store_watch")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.signal(0, "-STOP");
    gateway.store.put("config", "main", config(2));
    tokio::time::sleep(PAUSE).await;
    gateway.signal(0, "-CONT");
    gateway.until("version 2", async || gateway.log(0).contains("event=config_in_force version=2")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!gateway.log(0).contains("event=store_lost"), "{}", gateway.logs());
}
