//! A planned stop: the balancer is told, open requests end, then the process does.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::routing::Repeat;
use log::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::gateway::messages::ToControl;
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
/// A stopping node takes streams until so long before its end: the balancer has noticed by
/// then, and what comes later would be cut off.
const STREAM_WITHIN: Duration = Duration::from_millis(5_500);

/// When a caller comes back that a stopping node refused: at once, as a new connection
/// reaches another node.
pub const COME_BACK_AFTER: Duration = Duration::from_millis(50);

/// Whether a node that may be stopping still takes a request of this kind.
pub fn takes(shared: &Shared, repeat: Repeat) -> bool {
    let needs = match repeat {
        Repeat::Stream => STREAM_WITHIN,
        Repeat::Idempotent | Repeat::Once => PLAIN_CALL_WITHIN,
    };
    shared.left_to_serve().is_none_or(|left| left > needs)
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
