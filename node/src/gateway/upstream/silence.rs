//! Detects that a reused connection to a replica may have fallen silent: without a reset, while new
//! connections work.
//!
//! The kernel's timers are too slow for this: they end a connection after 2.5 s of unacknowledged bytes,
//! while callers of plain calls wait for 0.6 to 1.5 s, and a middlebox between two networks may
//! acknowledge what it drops.

use std::future::Future;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::Repeat;
use leadstage_platform::arrival;
use log::info;
use tokio::time::Instant;

use crate::clock;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;

/// Fraction of a call's remaining time after which it is retried on a new connection: the second attempt
/// needs as long as the first. With two replicas whose idle connections had all fallen silent, and
/// callers that wait for 1.5 s, 3 of 6 calls in a row failed without this, and none with it.
const RETRY_AFTER_FRACTION: f64 = 0.5;

/// Waits for the head of a plain call's response on a reused connection.
///
/// Once the route's objective has passed, the replica's other idle connections are dropped: what silenced
/// one has silenced those too, and a new one costs little if the replica is merely slow. Returns `None`
/// if the request is to be retried; the retry has then been taken from the retry budget.
pub async fn await_head<T>(
    traffic: &Traffic,
    req: &CallerRequest,
    replica: &ReplicaRecord,
    sent: u32,
    sending: impl Future<Output = T>,
) -> Option<T> {
    let mut sending = std::pin::pin!(sending);
    if req.route.repeat == Repeat::Stream {
        return Some(sending.await);
    }
    let (began, began_at) = (Instant::now(), clock::since_boot());
    let objective_at = began + req.route.objective;
    let retry_at = (began + req.time_left().mul_f64(RETRY_AFTER_FRACTION)).max(objective_at);
    if let Ok(answer) = arrival::timeout_at(objective_at, &mut sending).await {
        return Some(answer);
    }
    traffic.connections.drop_idle_since_before(replica, began_at);
    if let Ok(answer) = arrival::timeout_at(retry_at, &mut sending).await {
        return Some(answer);
    }
    if traffic.may_retry(req, sent + 1).await {
        info!(event = "connection_silent", request = req.id(), upstream = &*replica.id, waited_ms = began.elapsed().as_millis() as u64; "no response on a reused connection; retrying on a new one");
        return None;
    }
    Some(sending.await)
}
