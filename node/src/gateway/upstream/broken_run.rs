//! Runs whose connection broke before their answer's end: perhaps as the replica ended, and perhaps it
//! ended because of them.

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use log::info;
use tokio::time::Instant;

use crate::gateway::request::CallerRequest;

/// A request's run at a replica broke. `head_came` is when the replica began to answer, if it did;
/// `events` is what its caller has had of a stream.
pub fn note(req: &CallerRequest, replica: &ReplicaRecord, head_came: Option<Instant>, events: u64) {
    let ran_ms = head_came.map_or(0, |came| came.elapsed().as_millis() as u64);
    info!(event = "run_broke", request = req.id(), fingerprint:% = req.fingerprint(), route = &*req.route.name, upstream = &*replica.id, born = replica.born, began = head_came.is_some(), ran_ms, events; "a run broke at its replica");
}
