//! What a node takes the others for after a suspension.

use std::time::Duration;

use crate::gateway_environment::Gateway;

/// Longer than a suspicion lasts.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Time in which a node handles what it received during the suspension.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// Nodes of the fleet.
const NODES: usize = 3;
/// Time in which nodes that have just started have met, and are no longer taken for starting.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Guards against a healthy node that is declared dead, to all others too, because the time in which it could
/// have refuted a suspicion passed while the declaring node did not run.
#[tokio::test]
async fn test_a_suspect_does_not_die_during_a_suspension() {
    let (gateway, _booking) = Gateway::with_nodes(NODES).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let suspect = gateway.peer(0);
    let changed_to = |liveness: &str| {
        let change = format!("node={suspect} liveness={liveness}");
        gateway.log(1).matches(&change).count()
    };
    gateway.signal(0, "-STOP");
    gateway.until("node 1 suspects node 0", async || changed_to("Suspect") > 0).await;
    gateway.signal(1, "-STOP");
    gateway.signal(0, "-CONT");
    tokio::time::sleep(PAUSE).await;
    gateway.signal(1, "-CONT");
    tokio::time::sleep(CATCH_UP_TIME).await;
    assert_eq!(changed_to("Dead"), 0, "{}", gateway.logs());
}
