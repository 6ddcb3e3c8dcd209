//! A planned stop: the balancer is told, open requests end, then the process does.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::routing::Repeat;
use leadstage_lib::ids::Timestamp;
use log::info;
use log::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::gateway::messages::ToControl;
use crate::gateway::reply::Refusal;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// The balancer notices within this that a node is not ready: two questions, a second
/// apart, and some slack.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// The process ends by itself so long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time for the port to close where requests are open until the end: refusals, which are all that
/// callers get by then, are written within some milliseconds.
const PORT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the control loop to send other nodes what it was told last.
const LAST_MESSAGES_TIME: Duration = Duration::from_millis(50);
/// A stop that is suspended notices within this that its time is over.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Time between two looks at the open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A stopping node takes plain calls until so long before its end.
const MIN_PLAIN_CALL_TIME: Duration = Duration::from_millis(2_500);
/// How much longer than expected a stream may take that a stopping node still takes: callers'
/// estimates of lengths are often off, and a stream that is cut is lost, while one that is refused
/// begins at another node some 50 ms later.
const STREAM_TIME_MARGIN: f64 = 1.5;

/// When a caller comes back that a stopping node refused: at once, as a new connection
/// reaches another node of the hall.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// When a caller comes back that a stopping node refuses. Where no other node of the hall is alive
/// the balancer sends it here again until it has noticed.
fn retry_delay(shared: &Shared) -> Duration {
    let since_stop = shared.stopping_for().unwrap_or_default();
    if shared.has_neighbour() {
        MIN_RETRY_DELAY
    } else {
        BALANCER_DETECTION_TIME.saturating_sub(since_stop).max(MIN_RETRY_DELAY)
    }
}

/// What a stopping node answers to a request that it does not take.
pub fn refusal(shared: &Shared) -> Refusal {
    Refusal { code: Code::Stopping, retry_after: Some(retry_delay(shared)) }
}

/// Whether a node that may be stopping still takes a request: one that it can be expected to serve
/// to its end.
pub fn accepts(shared: &Shared, req: &CallerRequest) -> bool {
    let Some(left) = shared.left_to_serve() else {
        return true;
    };
    let min_time = match req.route.repeat {
        Repeat::Stream => stream_time(shared, req).mul_f64(STREAM_TIME_MARGIN).max(MIN_PLAIN_CALL_TIME),
        Repeat::Idempotent | Repeat::Once => MIN_PLAIN_CALL_TIME,
    };
    left > min_time
}

/// How long a stream may wait for an engine: until its caller leaves and, at a stopping node, no longer
/// than it can still be served to its end.
pub fn max_placement_wait(shared: &Shared, req: &CallerRequest) -> Duration {
    let time_until_caller_leaves = req.time_until_caller_leaves();
    let Some(left) = shared.left_to_serve() else {
        return time_until_caller_leaves;
    };
    time_until_caller_leaves.min(left.saturating_sub(stream_time(shared, req))).max(req.first_event_due())
}

/// The longest that a stream should take: its first event comes within the objective, and its
/// tokens at the usual pace.
///
/// Callers are often far off with the tokens that they expect. While the balancer sends them here
/// that is borne, as a node that refuses all streams would send many callers away. From then on few
/// come, and the most tokens count that a stream may make: with the expected ones, stops in series
/// that overlap cut a stream each on 3 of 18 days of simulated fleets of 6 to 62 nodes.
fn stream_time(shared: &Shared, req: &CallerRequest) -> Duration {
    let is_stop_detected = shared.stopping_for().is_some_and(|elapsed| elapsed >= BALANCER_DETECTION_TIME);
    let tokens = if is_stop_detected { req.max_tokens() } else { req.generation_size().expected };
    req.route.objective + Duration::from_secs_f64(f64::from(tokens) / shared.tokens_per_second(&req.service))
}

/// Waits until connections of callers should be closed as soon as no request is open on them: the
/// balancer makes no new ones, or the node takes nothing more.
pub async fn wait_to_close_idle(shared: &Shared) {
    shared.reached(Phase::Stopping).await;
    // Whichever comes first.
    let _ = tokio::time::timeout(BALANCER_DETECTION_TIME, shared.reached(Phase::Closing)).await;
}

/// Waits for the signal to stop, then until the node has nothing more to do.
///
/// Callers are served on until no request is open: where the hall has no other node, the balancer
/// keeps sending them here. Then the port closes, and the end comes when it has.
pub async fn wait(shared: &Arc<Shared>) -> std::io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    shared.stop();
    shared.tell(ToControl::Stopping);
    let started = shared.now();
    info!(event = "stop", open = shared.open_requests(); "planned stop begins");
    let close_at = started + shared.bounds().stop_within.saturating_sub(END_MARGIN + PORT_CLOSE_TIMEOUT);
    sleep_until(shared, close_at.min(started + BALANCER_DETECTION_TIME)).await;
    // The port closes in either case: no request is open, or the time is over.
    tokio::select! {
        () = wait_until_none_open(shared) => {}
        () = sleep_until(shared, close_at) => {}
    }
    close_port(shared, close_at + PORT_CLOSE_TIMEOUT).await;
    tokio::time::sleep(LAST_MESSAGES_TIME).await;
    info!(event = "stopped", open = shared.open_requests(), took_ms = (shared.now() - started).as_millis() as u64; "planned stop ends");
    Ok(())
}

/// Takes no more requests, and waits until `last` for those that were read and for their answers to
/// be written.
async fn close_port(shared: &Shared, deadline: Timestamp) {
    shared.advance(Phase::Closing);
    let closed = async {
        shared.reached(Phase::Closed).await;
        wait_until_none_open(shared).await;
    };
    tokio::select! {
        biased;
        () = closed => {}
        () = sleep_until(shared, deadline) => {
            warn!(event = "stop_bound", open = shared.open_requests(); "connections are cut at the stop's bound");
        }
    }
}

/// Sleeps in short turns: the platform's patience goes on while the VM is suspended, and timers do not.
async fn sleep_until(shared: &Shared, deadline: Timestamp) {
    loop {
        let left = deadline.saturating_sub(shared.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(MAX_SLEEP)).await;
    }
}

async fn wait_until_none_open(shared: &Shared) {
    while shared.open_requests() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
