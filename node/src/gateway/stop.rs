//! A planned stop: the balancer is notified, open requests are served to their end, then the process ends.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::routing::Repeat;
use leadstage_lib::gateway::stop_admission::CallEstimate;
use leadstage_lib::gateway::stop_admission::StopState;
use leadstage_lib::ids::Timestamp;
use log::info;
use log::warn;

use crate::gateway::messages::ToControl;
use crate::gateway::reply::Refusal;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;
use crate::signals::Signals;

/// Time within which the balancer detects that a node is not ready: two checks, a second apart, and some
/// slack.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// The process ends by itself this long before the platform would kill it.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time for the port to close if requests are open until the end: those without an answer get a failure, which
/// is written within some milliseconds.
const PORT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the control loop to send its last messages to other nodes.
const LAST_MESSAGES_TIME: Duration = Duration::from_millis(50);
/// Longest single sleep: after a suspension of the VM, a stop detects within this that its time is over.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Interval between two checks of the number of open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A stopping node accepts streams until this long before its end.
const MIN_STREAM_TIME: Duration = Duration::from_millis(2_500);
/// Factor by which a stream that a stopping node accepts may take longer than expected: callers' estimates
/// of lengths are often wrong, and a stream that is cut is lost, while a refused one starts at another node
/// some 50 ms later.
const STREAM_TIME_MARGIN: f64 = 1.5;

/// Minimum retry delay of callers that a stopping node refuses: they may retry almost at once, as a new
/// connection reaches another node of the hall.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retry delay of a caller that a stopping node refuses. If no other node of the hall is alive, the
/// balancer sends the caller here again until it has detected the stop.
fn retry_delay(shared: &Shared) -> Duration {
    let since_stop = shared.time_since_stop().unwrap_or_default();
    if shared.has_neighbour() {
        MIN_RETRY_DELAY
    } else {
        BALANCER_DETECTION_TIME.saturating_sub(since_stop).max(MIN_RETRY_DELAY)
    }
}

/// Refusal of a request that a stopping node does not accept.
pub fn refusal(shared: &Shared) -> Refusal {
    Refusal { code: Code::Stopping, retry_after: Some(retry_delay(shared)) }
}

/// The failure of a request that is not answered when the node serves requests no longer.
pub fn unanswered(shared: &Shared, req: &CallerRequest) -> Refusal {
    if req.may_have_run() { Refusal::new(Code::StopUnanswered) } else { refusal(shared) }
}

/// Whether a node that may be stopping still accepts a request, because it can be expected to complete it
/// in time.
pub fn accepts(shared: &Shared, req: &CallerRequest) -> bool {
    let Some(left) = shared.remaining_serving_time() else {
        return true;
    };
    match req.route.repeat {
        Repeat::Stream => left > stream_time(shared, req).mul_f64(STREAM_TIME_MARGIN).max(MIN_STREAM_TIME),
        Repeat::Idempotent | Repeat::Once => call_estimate(shared, req).is_accepted(&state(shared, left)),
    }
}

/// How long a plain call may wait for room at a replica: until it is late and, at a stopping node, only as long
/// as it can still be answered afterwards.
pub fn max_call_wait(shared: &Shared, req: &CallerRequest) -> Duration {
    let objective = req.route.objective;
    let Some(left) = shared.remaining_serving_time() else {
        return objective;
    };
    objective.min(call_estimate(shared, req).max_wait(&state(shared, left)))
}

fn call_estimate(shared: &Shared, req: &CallerRequest) -> CallEstimate {
    CallEstimate {
        time_left: req.time_left(),
        objective: req.route.objective,
        times: shared.call_times(&req.route.name),
    }
}

/// The time in which requests are answered, at a stop whose bound is `left` away.
fn answer_time(left: Duration) -> Duration {
    left.saturating_sub(END_MARGIN + PORT_CLOSE_TIMEOUT)
}

/// The state of a stop whose bound is `left` away.
fn state(shared: &Shared, left: Duration) -> StopState {
    StopState {
        left: answer_time(left),
        is_detected: is_detected(shared),
        has_neighbour: shared.has_neighbour(),
    }
}

/// Whether the balancer has detected that the node stops.
fn is_detected(shared: &Shared) -> bool {
    shared.time_since_stop().is_some_and(|elapsed| elapsed >= BALANCER_DETECTION_TIME)
}

/// How long a stream may wait for an engine: until its caller disconnects and, at a stopping node, only as
/// long as it can still be completed afterwards; at least until its first event is due.
pub fn max_placement_wait(shared: &Shared, req: &CallerRequest) -> Duration {
    let time_until_caller_leaves = req.time_until_caller_leaves();
    let Some(left) = shared.remaining_serving_time() else {
        return time_until_caller_leaves;
    };
    time_until_caller_leaves.min(left.saturating_sub(stream_time(shared, req))).max(req.first_event_due())
}

/// The longest time that a stream should take: its first event arrives within the objective, and its tokens
/// at the usual pace.
///
/// Callers often expect a number of tokens that is far off. That is accepted while the balancer still sends
/// callers here, as a node that refuses all streams would turn many callers away. After that few arrive,
/// and the maximum number of tokens that a stream may generate counts: with the expected number,
/// overlapping stops in series cut a stream each in 3 of 18 simulated runs of fleets of 6 to 62 nodes.
fn stream_time(shared: &Shared, req: &CallerRequest) -> Duration {
    let tokens = if is_detected(shared) { req.max_tokens() } else { req.generation_size().expected };
    req.route.objective + Duration::from_secs_f64(f64::from(tokens) / shared.tokens_per_second(&req.service))
}

/// Waits until callers' connections should be closed as soon as no request is open on them: when the
/// balancer makes no new ones, or the node accepts no more requests.
pub async fn wait_to_close_idle(shared: &Shared) {
    shared.wait_for_phase(Phase::Stopping).await;
    // Returns at whichever comes first.
    let _ = tokio::time::timeout(BALANCER_DETECTION_TIME, shared.wait_for_phase(Phase::Closing)).await;
}

/// Waits for the signal to stop, then until the planned stop is complete.
///
/// Callers are served until no request is open: if the hall has no other node, the balancer keeps sending
/// them here. Then the port closes, and the stop is complete once it is closed.
pub async fn wait(shared: &Arc<Shared>, signals: &Signals) {
    signals.stop_requested().await;
    shared.stop();
    shared.notify(ToControl::Stopping);
    let started = shared.now();
    info!(event = "stop", open = shared.open_requests(); "planned stop begins");
    let left = shared.remaining_serving_time().unwrap_or_default();
    let close_at = started + answer_time(left);
    sleep_until(shared, close_at.min(started + BALANCER_DETECTION_TIME)).await;
    // The port closes in either case: when no request is open, or when the time is over.
    tokio::select! {
        () = wait_until_none_open(shared) => {}
        () = sleep_until(shared, close_at) => {}
    }
    close_port(shared, close_at).await;
    tokio::time::sleep(LAST_MESSAGES_TIME).await;
    info!(event = "stopped", open = shared.open_requests(), took_ms = (shared.now() - started).as_millis() as u64; "planned stop ends");
}

/// Accepts no more requests, and waits for those that were read and for their responses to be written. Requests
/// that have no answer at `end` get a failure.
async fn close_port(shared: &Shared, end: Timestamp) {
    shared.advance(Phase::Closing);
    let closed = async {
        shared.wait_for_phase(Phase::Closed).await;
        wait_until_none_open(shared).await;
    };
    let time_over = async {
        sleep_until(shared, end).await;
        shared.end_serving();
        sleep_until(shared, end + PORT_CLOSE_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        () = closed => {}
        () = time_over => {
            warn!(event = "stop_bound", open = shared.open_requests(); "time limit of the planned stop reached; closing open connections");
        }
    }
}

/// Sleeps in short intervals: the platform's time limit keeps running while the VM is suspended, but timers
/// do not.
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
