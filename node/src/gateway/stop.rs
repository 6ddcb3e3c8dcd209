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
const BALANCER_NOTICES: Duration = Duration::from_millis(2_300);
/// The process ends by itself so long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time for the port to close where requests are open until the end: refusals, which are all that
/// callers get by then, are written within some milliseconds.
const PORT_CLOSES_WITHIN: Duration = Duration::from_millis(200);
/// Time for the control loop to send other nodes what it was told last.
const LAST_MESSAGES: Duration = Duration::from_millis(50);
/// A stop that is suspended notices within this that its time is over.
const LONGEST_TURN: Duration = Duration::from_millis(100);
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
fn come_back_after(shared: &Shared) -> Duration {
    let stopping_for = shared.time_since_stop().unwrap_or_default();
    if shared.has_neighbour() {
        COME_BACK_AFTER
    } else {
        BALANCER_NOTICES.saturating_sub(stopping_for).max(COME_BACK_AFTER)
    }
}

/// What a stopping node answers to a request that it does not take.
pub fn refusal(shared: &Shared) -> Refusal {
    Refusal { code: Code::Stopping, retry_after: Some(come_back_after(shared)) }
}

/// Whether a node that may be stopping still takes a request: one that it can be expected to serve
/// to its end.
pub fn takes(shared: &Shared, req: &CallerRequest) -> bool {
    let Some(left) = shared.remaining_serving_time() else {
        return true;
    };
    let needs = match req.route.repeat {
        Repeat::Stream => stream_time(shared, req).mul_f64(STREAM_MARGIN).max(PLAIN_CALL_WITHIN),
        Repeat::Idempotent | Repeat::Once => PLAIN_CALL_WITHIN,
    };
    left > needs
}

/// How long a stream may wait for an engine: until its caller leaves and, at a stopping node, no longer
/// than it can still be served to its end.
pub fn may_wait(shared: &Shared, req: &CallerRequest) -> Duration {
    let until_caller_leaves = req.caller_leaves();
    let Some(left) = shared.remaining_serving_time() else {
        return until_caller_leaves;
    };
    until_caller_leaves.min(left.saturating_sub(stream_time(shared, req))).max(req.first_event_due())
}

/// The longest that a stream should take: its first event comes within the objective, and its
/// tokens at the usual pace.
///
/// Callers are often far off with the tokens that they expect. While the balancer sends them here
/// that is borne, as a node that refuses all streams would send many callers away. From then on few
/// come, and the most tokens count that a stream may make: with the expected ones, stops in series
/// that overlap cut a stream each on 3 of 18 days of simulated fleets of 6 to 62 nodes.
fn stream_time(shared: &Shared, req: &CallerRequest) -> Duration {
    let balancer_noticed = shared.time_since_stop().is_some_and(|stopping| stopping >= BALANCER_NOTICES);
    let tokens = if balancer_noticed { req.most_tokens() } else { req.generation_size().expected };
    req.route.objective + Duration::from_secs_f64(f64::from(tokens) / shared.tokens_per_second(&req.service))
}

/// Waits until connections of callers should be closed as soon as no request is open on them: the
/// balancer makes no new ones, or the node takes nothing more.
pub async fn close_unused(shared: &Shared) {
    shared.wait_for_phase(Phase::Stopping).await;
    // Whichever comes first.
    let _ = tokio::time::timeout(BALANCER_NOTICES, shared.wait_for_phase(Phase::Closing)).await;
}

/// Waits for the signal to stop, then until the node has nothing more to do.
///
/// Callers are served on until no request is open: where the hall has no other node, the balancer
/// keeps sending them here. Then the port closes, and the end comes when it has.
pub async fn wait(shared: &Arc<Shared>) -> std::io::Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    shared.stop();
    shared.notify(ToControl::Stopping);
    let began = shared.now();
    info!(event = "stop", open = shared.open_requests(); "planned stop begins");
    let closes = began + shared.bounds().stop_within.saturating_sub(END_MARGIN + PORT_CLOSES_WITHIN);
    sleep_until(shared, closes.min(began + BALANCER_NOTICES)).await;
    // The port closes in either case: no request is open, or the time is over.
    tokio::select! {
        () = none_open(shared) => {}
        () = sleep_until(shared, closes) => {}
    }
    close_port(shared, closes + PORT_CLOSES_WITHIN).await;
    tokio::time::sleep(LAST_MESSAGES).await;
    info!(event = "stopped", open = shared.open_requests(), took_ms = (shared.now() - began).as_millis() as u64; "planned stop ends");
    Ok(())
}

/// Takes no more requests, and waits until `last` for those that were read and for their answers to
/// be written.
async fn close_port(shared: &Shared, last: Timestamp) {
    shared.advance(Phase::Closing);
    let closed = async {
        shared.wait_for_phase(Phase::Closed).await;
        none_open(shared).await;
    };
    tokio::select! {
        biased;
        () = closed => {}
        () = sleep_until(shared, last) => {
            warn!(event = "stop_bound", open = shared.open_requests(); "connections are cut at the stop's bound");
        }
    }
}

/// Sleeps in short turns: the platform's patience goes on while the VM is suspended, and timers do not.
async fn sleep_until(shared: &Shared, at: Timestamp) {
    loop {
        let left = at.saturating_sub(shared.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LONGEST_TURN)).await;
    }
}

async fn none_open(shared: &Shared) {
    while shared.open_requests() > 0 {
        tokio::time::sleep(POLL).await;
    }
}
