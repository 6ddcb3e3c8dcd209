//! The planned stop: not ready to the balancer, leads handed over, every stream
//! finished, then the process ends.

use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::control::ControlRef;
use crate::shared::Readiness;

/// New requests are still taken for this long, until the balancer has noticed.
pub const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// Time between two looks at whether all is finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for streams that are ended at the bound to send their code.
const ABORT_GRACE: Duration = Duration::from_millis(500);
/// Time for the last reports and outcomes to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(400);
/// The bound where there is no bundle.
const DEFAULT_STOP_BOUND: Duration = Duration::from_secs(5);

/// Waits for SIGTERM or SIGINT and then for all requests to end.
pub async fn wait(control: ControlRef) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    begin_stop(&control);
    let bundle = control.borrow().shared.bundle();
    let bound = bundle.map_or(DEFAULT_STOP_BOUND, |b| b.bounds.stop_within);
    let shared = control.borrow().shared.clone();
    let started = tokio::time::Instant::now();
    tokio::time::sleep(BALANCER_GRACE.min(bound)).await;
    // Closed before the first look at what is open: a node that looked first and found nothing took
    // calls while it sent its last reports; of four in those 400 ms it answered none.
    shared.close();
    if tokio::time::timeout_at(started + bound, wait_for_requests(&control)).await.is_err() {
        warn!(event = "stop_bound", open = shared.open(); "streams are ended at the bound");
        shared.stop_now.store(true, Ordering::Relaxed);
        tokio::time::sleep(ABORT_GRACE).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
    info!(event = "stopped"; "stopped");
    Ok(())
}

/// Waits until no request is open and nobody waits for this VM.
async fn wait_for_requests(control: &ControlRef) {
    let shared = control.borrow().shared.clone();
    while shared.open() > 0 || has_pending_work(control) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Others wait for what this VM leads, or outcomes are not recorded yet.
fn has_pending_work(control: &ControlRef) -> bool {
    let control = control.borrow();
    let queued = control.leads.pools.iter().any(|(_, led)| led.waiting() > 0);
    queued || control.claims.waiting() > 0
}

fn begin_stop(control: &ControlRef) {
    info!(event = "stopping"; "a planned stop begins");
    let mut control = control.borrow_mut();
    control.shared.set_readiness(Readiness::Stopping);
    control.membership.leave();
}
