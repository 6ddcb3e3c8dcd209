//! Streams: places a generation, sends its request to an engine and passes the response to a relay.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use http::Response;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::waiting;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::engine::Resume;
use leadstage_platform::headers;
use log::info;
use tokio::sync::mpsc;

use crate::gateway::ingress::io_watch::ServingGuard;
use crate::gateway::ingress::plain;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::StreamHandle;
use crate::gateway::reply::Refusal;
use crate::gateway::reply::Reply;
use crate::gateway::reply_body;
use crate::gateway::reply_body::ReplyBody;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::OpenGuard;
use crate::gateway::shared::RunGuard;
use crate::gateway::stop;
use crate::gateway::upstream::connections::ConnectionChoice;
use crate::gateway::upstream::engine_stream::EngineStream;
use crate::gateway::upstream::exchange;
use crate::gateway::upstream::exchange::BufferedResponse;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::traffic::Traffic;

/// Number of engines that could not be reached after which no other engine is tried.
const MAX_UNREACHED: u32 = 3;

/// Serves a stream: returns the head of the response and forwards the events in a task.
pub async fn serve(
    traffic: &Traffic,
    req: CallerRequest,
    serving: ServingGuard,
    open: OpenGuard,
) -> Result<Reply, Refusal> {
    let (commands_tx, commands) = mpsc::unbounded_channel();
    let handle = StreamHandle {
        commands: commands_tx.clone(),
        produced: Arc::new(AtomicU32::new(0)),
        gaps: Arc::default(),
    };
    let started = tokio::select! {
        biased;
        started = start(traffic, &req, &handle) => started,
        () = traffic.shared.wait_for_end_of_serving() => Err(stop::unanswered(&traffic.shared, &req)),
    };
    let StartedStream { run, exchange, sent } = match started? {
        StartResult::Started(started) => started,
        StartResult::Answered(answer) => {
            let outcome = req.outcome_of_answer(answer.status);
            traffic.shared.metrics.on_organisation_request(req.organisation.as_deref(), outcome);
            return Ok(plain::reply(answer));
        }
    };
    let placed_ms = run.placed_at.duration_since(req.received_at.into_std()).as_millis() as u64;
    info!(event = "stream_begins", request = req.id(), route = &*req.route.name, organisation = req.organisation_label(), upstream = &*run.placed.replica.id, run = run.placed.run, entry:% = traffic.shared.settings.peer, priority = req.priority(), placed_ms, head_ms = req.received_at.elapsed().as_millis() as u64, due_ms = req.route.objective.as_millis() as u64, gap_due_ms = req.route.gap_objective.as_millis() as u64; "stream begins");
    let (tx, body) = reply_body::streaming_body(traffic.shared.held.clone());
    let mut res = Response::new(ReplyBody::Stream(body));
    *res.status_mut() = exchange.status;
    *res.headers_mut() = headers::for_caller(&exchange.headers);
    let engine_stream = EngineStream { run, exchange: Some(exchange) };
    let relay = Relay::new(traffic.clone(), req, handle, engine_stream, sent, tx);
    tokio::task::spawn_local(async move {
        relay.run(commands).await;
        drop((serving, open));
    });
    Ok(res)
}

/// A stream that has started.
struct StartedStream {
    /// Its run at the engine.
    run: RunGuard,
    /// The engine's response.
    exchange: Exchange,
    /// Number of engines that the request was sent to.
    sent: u32,
}

/// Result of starting a stream.
enum StartResult {
    Started(StartedStream),
    /// An engine responded with something other than an event stream, such as an error.
    Answered(BufferedResponse),
}

/// Outcome of one attempt at an engine.
enum Attempt {
    Started(RunGuard, Exchange),
    /// The engine responded with something other than an event stream, such as an error.
    Answered(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The engine did not run it.
    NotRun,
    /// It may have run.
    Unknown(Code),
}

/// Sends the request to an engine. A request that may not be retried is sent only once; engines that could
/// not be reached don't count.
async fn start(
    traffic: &Traffic,
    req: &CallerRequest,
    handle: &StreamHandle,
) -> Result<StartResult, Refusal> {
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut sent = 0;
    let mut unreached = 0;
    let refusal = |code| refuse(code, NoRoom::default());
    let mut best: Result<StartResult, Refusal> = Err(refusal(Code::NoUpstream));
    loop {
        if sent == 0 {
            traffic.refuse_quarantined(req)?;
        }
        let placed = tokio::select! {
            biased;
            placed = traffic.place_generation(req, handle, &tried) => placed,
            () = req.until_key_invalid(&traffic.shared), if sent == 0 => {
                return Err(Refusal::new(Code::Unauthorised));
            }
        };
        let run = match placed {
            Ok(run) => run,
            Err(no_room) => {
                if sent == 0 {
                    // A stop shortens the wait; another node may wait longer.
                    best = Err(if stop::accepts(&traffic.shared, req) {
                        refuse(Code::NoUpstream, no_room)
                    } else {
                        stop::refusal(&traffic.shared)
                    });
                }
                break;
            }
        };
        if !stop::accepts(&traffic.shared, req) {
            // The node began to stop while the request waited.
            run.end(Outcome::Withdrawn);
            if sent == 0 {
                best = Err(stop::refusal(&traffic.shared));
            }
            break;
        }
        tried.push(run.placed.replica.id.clone());
        match attempt(traffic, req, run, sent).await {
            Attempt::Started(run, exchange) => {
                return Ok(StartResult::Started(StartedStream { run, exchange, sent: sent + 1 }));
            }
            Attempt::NotSent => {
                unreached += 1;
                if unreached >= MAX_UNREACHED {
                    if sent == 0 {
                        best = Err(refusal(Code::UpstreamRefused));
                    }
                    break;
                }
                continue;
            }
            Attempt::Answered(answer) if answer.status.is_success() => {
                return Ok(StartResult::Answered(answer));
            }
            Attempt::Answered(answer) => best = Ok(StartResult::Answered(answer)),
            Attempt::NotRun if sent == 0 => best = Err(refusal(Code::UpstreamRefused)),
            Attempt::NotRun => {}
            Attempt::Unknown(code) => best = best.or(Err(Refusal::new(code))),
        }
        sent += 1;
        if !traffic.may_retry(req, sent).await {
            break;
        }
        info!(event = "sent_again", request = req.id(), sent; "a stream that has not started is retried at another engine");
    }
    best
}

/// Builds a refusal whose retry delay depends on when room is expected, if that is known.
fn refuse(code: Code, no_room: NoRoom) -> Refusal {
    Refusal { code, retry_after: Some(waiting::retry_delay_for(no_room, &mut rand::rng())) }
}

async fn attempt(traffic: &Traffic, req: &CallerRequest, run: RunGuard, sent: u32) -> Attempt {
    let replica = run.placed.replica.clone();
    let resume = Resume { copy: None, last_event: req.last_event().map(str::to_owned) };
    let added = req.added(&replica.id, Some(&resume));
    match exchange::send(traffic, &replica, req, &added, ConnectionChoice::Any, sent).await {
        Ok(exchanged) if exchanged.says_not_run() => {
            traffic.on_not_run(req, &run, exchanged.status);
            run.end(Outcome::Refused);
            Attempt::NotRun
        }
        Ok(exchanged) if exchanged.status.is_success() && exchanged.is_event_stream() => {
            Attempt::Started(run, exchanged)
        }
        Ok(exchanged) => {
            let is_success = exchanged.status.is_success();
            let answer = exchanged.read_response(traffic, &replica, req).await;
            if is_success && answer.is_ok() {
                traffic.on_successful_run(req);
                traffic.on_parts_served(req);
                run.end(Outcome::Answered);
            } else {
                traffic.sample_answer(req, &replica, true, Duration::ZERO);
                run.end(Outcome::Failed);
            }
            match answer {
                Ok(answer) if !answer.has_not_run_status() => Attempt::Answered(answer),
                _ => Attempt::Unknown(Code::UpstreamLost),
            }
        }
        Err(err) => {
            exchange::end_failed_run(traffic, req, run, &err).map_or(Attempt::NotSent, Attempt::Unknown)
        }
    }
}
