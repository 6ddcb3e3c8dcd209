//! A planned stop: the balancer is told, open requests end, then the process does.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::routing::Repeat;
use log::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::gateway::messages::ToControl;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// The balancer notices within this that a node is not ready: two questions, a second
/// apart, and some slack.
const BALANCER_NOTICES: Duration = Duration::from_millis(2_300);
/// The process ends by itself so long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time between two looks at the open requests.
const POLL: Duration = Duration::from_millis(50);

/// A stopping node takes plain calls until so long before its end.
const PLAIN_CALL_WITHIN: Duration = Duration::from_millis(2_500);
/// How much longer than expected a stream may take that a stopping node still takes: callers'
/// estimates of lengths are often off, and a stream that is cut is lost, while one that is refused
/// begins at another node some 50 ms later.
const STREAM_MARGIN: f64 = 1.5;

/// When a caller comes back that a stopping node refused: at once, as a new connection
/// reaches another node of the hall.
const COME_BACK_AFTER: Duration = Duration::from_millis(50);

/// When a caller comes back that a stopping node refuses. Where no other node of the hall is alive
/// the balancer sends it here again until it has noticed.
pub fn come_back_after(shared: &Shared) -> Duration {
    let stopping_for = shared.stopping_for().unwrap_or_default();
    if shared.has_neighbour() {
        COME_BACK_AFTER
    } else {
        BALANCER_NOTICES.saturating_sub(stopping_for).max(COME_BACK_AFTER)
    }
}

/// Whether a node that may be stopping still takes a request: one that it can be expected to serve
/// to its end.
pub fn takes(shared: &Shared, req: &CallerRequest) -> bool {
    let Some(left) = shared.left_to_serve() else {
        return true;
    };
    let needs = match req.route.repeat {
        Repeat::Stream => stream_time(shared, req).mul_f64(STREAM_MARGIN).max(PLAIN_CALL_WITHIN),
        Repeat::Idempotent | Repeat::Once => PLAIN_CALL_WITHIN,
    };
    left > needs
}

/// The longest that a stream should take: its first event comes within the objective, and its
/// tokens at the usual pace.
fn stream_time(shared: &Shared, req: &CallerRequest) -> Duration {
    let tokens = f64::from(req.generation_size().expected);
    req.route.objective + Duration::from_secs_f64(tokens / shared.tokens_per_second(&req.service))
}

/// Waits until unused connections of callers should be closed.
pub async fn close_unused(shared: &Shared) {
    let mut phases = shared.phases();
    // The sender lives as long as the process.
    let _ = phases.wait_for(|phase| *phase == Phase::Stopping).await;
    tokio::time::sleep(BALANCER_NOTICES).await;
}

/// Waits for the signal to stop, then until the node has nothing more to do.
pub async fn wait(shared: &Arc<Shared>) -> std::io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    shared.stop();
    shared.tell(ToControl::Stopping);
    let began = Instant::now();
    info!(event = "stop", open = shared.open_requests(); "planned stop begins");
    let last = began + shared.bounds().stop_within.saturating_sub(END_MARGIN);
    tokio::time::sleep(BALANCER_NOTICES.min(last - began)).await;
    while shared.open_requests() > 0 && Instant::now() < last {
        tokio::time::sleep(POLL).await;
    }
    // What was written last is still on its way to the callers.
    tokio::time::sleep(POLL).await;
    info!(event = "stopped", open = shared.open_requests(), took_ms = began.elapsed().as_millis() as u64; "planned stop ends");
    Ok(())
}
