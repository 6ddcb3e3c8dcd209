//! The planned stop of a node: it becomes unready for the load balancer, hands over its leads, finishes every
//! stream, and then the process ends.

use std::time::Duration;

use log::info;
use log::warn;

use crate::control::ControlRef;
use crate::shared::Readiness;
use crate::signals::Signals;

/// How long new requests are still accepted, until the load balancer has noticed that the node is unready.
pub const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// Interval between checks for remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that requests ended at the time limit have to send their error code.
const ABORT_GRACE: Duration = Duration::from_millis(500);
/// Time to send the last reports and outcomes.
const FLUSH_TIME: Duration = Duration::from_millis(400);
/// Time limit of the stop if there is no bundle.
const DEFAULT_STOP_BOUND: Duration = Duration::from_secs(5);

/// Waits for a signal to stop, then stops the node and waits until all requests have ended or the time
/// limit is reached.
pub async fn wait(control: ControlRef, signals: &Signals) {
    signals.stop_requested().await;
    begin_stop(&control);
    let bundle = control.borrow().shared.bundle();
    let bound = bundle.map_or(DEFAULT_STOP_BOUND, |b| b.bounds.stop_within);
    let shared = control.borrow().shared.clone();
    let started = tokio::time::Instant::now();
    tokio::time::sleep(BALANCER_GRACE.min(bound)).await;
    // Must precede the first check for open requests. Otherwise a node that finds none still accepts calls
    // while it sends its last reports; it answered none of four calls in those 400 ms.
    shared.close();
    if tokio::time::timeout_at(started + bound, wait_for_requests(&control)).await.is_err() {
        warn!(event = "stop_bound", open = shared.open(); "stop time limit reached; ending all requests");
        shared.stop_now.cancel();
        tokio::time::sleep(ABORT_GRACE).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
    info!(event = "stopped"; "stopped");
}

/// Waits until no request is open and no other node waits for this one.
async fn wait_for_requests(control: &ControlRef) {
    let shared = control.borrow().shared.clone();
    while shared.open() > 0 || has_pending_work(control) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether requests of other nodes wait in the pools that this VM leads, or outcomes are not
/// recorded yet.
fn has_pending_work(control: &ControlRef) -> bool {
    let control = control.borrow();
    let queued = control.leads.pools.iter().any(|(_, led)| led.waiting() > 0);
    queued || control.claims.waiting() > 0
}

fn begin_stop(control: &ControlRef) {
    info!(event = "stopping"; "planned stop begins");
    let mut control = control.borrow_mut();
    control.shared.set_readiness(Readiness::Stopping);
    control.membership.leave();
}
