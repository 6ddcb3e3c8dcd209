//! Replicas that restart under the same id: requests that ran there are considered lost, and are
//! resumed at another replica where that is allowed.

use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::replica_entry;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// A fleet of one node that follows the store, with two replicas of each service whose start time (`born`) is
/// 100.
async fn fleet() -> (Gateway, Vec<RunningReplica>, Vec<RunningReplica>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let mut services = Vec::new();
    for service in [BOOKING, MODEL] {
        let mut running = Vec::new();
        for n in 1..=2 {
            let replica = gateway.start_replica(service, &format!("{service}-{n}"), 60).await;
            write_entry_with_start(&gateway, service, &replica, 100);
            running.push(replica);
        }
        services.push(running);
    }
    let node = gateway.start_node();
    gateway.until_ready(node).await;
    gateway.until("it follows the store", async || gateway.log(0).contains("event=store_watch")).await;
    let models = services.pop().expect("two");
    (gateway, services.pop().expect("two"), models)
}

/// Writes the entry of a replica with the start time `born`.
fn write_entry_with_start(gateway: &Gateway, service: &str, running: &RunningReplica, born: u64) {
    let address = running.server.as_ref().expect("it serves").address;
    let mut entry = replica_entry(service, address, "hall-1", "ready");
    entry["born"] = born.into();
    gateway.store.put("servers", &running.replica.id, entry);
}

/// Waits until a request has reached one of the replicas, and returns that replica.
async fn wait_for_replica_with_request<'a>(
    gateway: &Gateway,
    replicas: &'a [RunningReplica],
) -> &'a RunningReplica {
    gateway
        .until("it arrives", async || replicas.iter().any(|r| !r.replica.received_requests().is_empty()))
        .await;
    replicas.iter().find(|r| !r.replica.received_requests().is_empty()).expect("one")
}

async fn wait_until_restart_known(gateway: &Gateway) {
    gateway
        .until("the node knows of the restart", async || gateway.log(0).contains("event=replica_restarted"))
        .await;
}

/// The engine sends nothing; without the update of its entry the stream would wait for it.
#[tokio::test]
async fn test_a_stream_at_a_restarted_engine_is_resumed_at_another() {
    let (gateway, _bookings, models) = fleet().await;
    gateway.engines.set_stream_faults([StreamFault::StallsAfter(7)]);
    let (called, ()) = tokio::join!(gateway.call(0, tag("r-1")), async {
        let engine = wait_for_replica_with_request(&gateway, &models).await;
        write_entry_with_start(&gateway, MODEL, engine, 200);
        wait_until_restart_known(&gateway).await;
        // A late entry of the earlier start changes nothing.
        write_entry_with_start(&gateway, MODEL, engine, 100);
    });
    assert!(called.whole && called.events() == Some(60), "{called:?}\n{}", gateway.logs());
    let arrivals = models.iter().filter(|model| !model.replica.received_requests().is_empty()).count();
    assert_eq!(arrivals, 2, "the stream was resumed at the other engine");
    assert_eq!(gateway.log(0).matches("event=replica_restarted").count(), 1, "{}", gateway.logs());
}

/// A stream that is not resumable ends, so that its client does not wait for the lost engine.
#[tokio::test]
async fn test_a_non_resumable_stream_ends_when_its_engine_restarts() {
    let (gateway, _bookings, models) = fleet().await;
    gateway.engines.set_stream_faults([StreamFault::StallsAfter(7)]);
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        let engine = wait_for_replica_with_request(&gateway, &models).await;
        write_entry_with_start(&gateway, MODEL, engine, 200);
        wait_until_restart_known(&gateway).await;
    });
    assert!(!called.whole && called.events().is_some(), "{called:?}");
    let arrivals: usize = models.iter().map(|model| model.replica.received_requests().len()).sum();
    assert_eq!(arrivals, 1, "the request is sent once");
}

/// It is unknown whether the call was executed before the restart, so it is not sent again.
#[tokio::test]
async fn test_a_non_idempotent_call_is_not_sent_to_the_restarted_replica() {
    let (gateway, bookings, _models) = fleet().await;
    bookings.iter().for_each(|booking| booking.replica.set_fault(ReplicaFault::Hangs));
    let mut book = request("GET", "/book/x", KEY, "r-1");
    book.headers_mut().insert("leadstage-deadline-ms", "1500".parse().expect("valid"));
    let (called, ()) = tokio::join!(gateway.call(0, book), async {
        let replica = wait_for_replica_with_request(&gateway, &bookings).await;
        write_entry_with_start(&gateway, BOOKING, replica, 200);
        wait_until_restart_known(&gateway).await;
    });
    assert!(called.status >= 500 && called.status != 503, "{called:?}");
    let arrivals: usize = bookings.iter().map(|booking| booking.replica.received_requests().len()).sum();
    assert_eq!(arrivals, 1, "{}", gateway.logs());
}
