//! Streams: places a generation, sends it once, and hands its answer to a relay.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use http::Response;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::waiting;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::engine::Resume;
use leadstage_platform::headers;
use log::info;
use tokio::sync::mpsc;

use crate::gateway::ingress::io_watch::Serving;
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

/// Engines that a request may fail to reach.
const MOST_UNREACHED: u32 = 3;

/// Serves a stream: answers with its head, and passes its events on in a task.
pub async fn serve(
    traffic: &Traffic,
    req: CallerRequest,
    serving: Serving,
    open: OpenGuard,
) -> Result<Reply, Refusal> {
    let (orders_tx, orders) = mpsc::unbounded_channel();
    let handle = StreamHandle { commands: orders_tx.clone(), produced: Arc::new(AtomicU32::new(0)) };
    let Begun { run, exchange, sent } = match begin(traffic, &req, &handle).await? {
        Beginning::Begun(begun) => begun,
        Beginning::Answered(answer) => return Ok(plain::reply(answer)),
    };
    let placed_ms = run.placed_at.duration_since(req.came.into_std()).as_millis() as u64;
    info!(event = "stream_begins", request = req.id(), route = &*req.route.name, upstream = &*run.placed.replica.id, run = run.placed.run, entry:% = traffic.shared.settings.peer, priority = req.priority(), placed_ms, head_ms = req.came.elapsed().as_millis() as u64, due_ms = req.route.objective.as_millis() as u64, gap_due_ms = req.route.gap_objective.as_millis() as u64; "stream begins");
    let (tx, body) = reply_body::parts(traffic.shared.held.clone());
    let mut res = Response::new(ReplyBody::Parts(body));
    *res.status_mut() = exchange.status;
    *res.headers_mut() = headers::for_caller(&exchange.headers);
    let engine_stream = EngineStream { run, exchange: Some(exchange) };
    let relay = Relay::new(traffic.clone(), req, handle, engine_stream, sent, tx);
    tokio::task::spawn_local(async move {
        relay.run(orders).await;
        drop((serving, open));
    });
    Ok(res)
}

/// A stream that has begun.
struct Begun {
    /// Its place at the engine.
    run: RunGuard,
    /// The engine's answer.
    exchange: Exchange,
    /// Engines that the request was sent to.
    sent: u32,
}

/// How a stream began, or did not.
enum Beginning {
    Begun(Begun),
    /// An engine answered with an error of its own.
    Answered(BufferedResponse),
}

/// What one engine did with the request.
enum Attempt {
    Begun(RunGuard, Exchange),
    /// An error of its own.
    Answered(BufferedResponse),
    /// Nothing was sent.
    NotSent,
    /// The engine did not run it.
    NotRun,
    /// It may have run.
    Unknown(Code),
}

/// Sends the request to an engine. One that may not be repeated is sent once; engines that could
/// not be reached don't count.
async fn begin(traffic: &Traffic, req: &CallerRequest, handle: &StreamHandle) -> Result<Beginning, Refusal> {
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut sent = 0;
    let mut unreached = 0;
    let refusal = |code| refuse(code, None);
    let mut best: Result<Beginning, Refusal> = Err(refusal(Code::NoUpstream));
    loop {
        if sent == 0 {
            traffic.refuse_quarantined(req)?;
        }
        let run = match traffic.place_generation(req, handle, &tried).await {
            Ok(run) => run,
            Err(no_room) => {
                if sent == 0 {
                    best = Err(refuse(Code::NoUpstream, no_room.expected));
                }
                break;
            }
        };
        if !stop::takes(&traffic.shared, req) {
            // It waited while the node began to stop.
            run.end(Outcome::Withdrawn);
            if sent == 0 {
                best = Err(stop::refusal(&traffic.shared));
            }
            break;
        }
        tried.push(run.placed.replica.id.clone());
        match attempt(traffic, req, run, sent).await {
            Attempt::Begun(run, exchange) => {
                return Ok(Beginning::Begun(Begun { run, exchange, sent: sent + 1 }));
            }
            Attempt::NotSent => {
                unreached += 1;
                if unreached >= MOST_UNREACHED {
                    if sent == 0 {
                        best = Err(refusal(Code::UpstreamRefused));
                    }
                    break;
                }
                continue;
            }
            Attempt::Answered(answer) => best = Ok(Beginning::Answered(answer)),
            Attempt::NotRun if sent == 0 => best = Err(refusal(Code::UpstreamRefused)),
            Attempt::NotRun => {}
            Attempt::Unknown(code) => best = best.or(Err(Refusal::new(code))),
        }
        sent += 1;
        if !traffic.may_retry(req, sent).await {
            break;
        }
        info!(event = "sent_again", request = req.id(), sent; "a stream that has not begun is sent to another engine");
    }
    best
}

/// The caller comes back when there should be room, if that is known.
fn refuse(code: Code, expected: Option<Duration>) -> Refusal {
    Refusal { code, retry_after: Some(waiting::retry_delay(expected, &mut rand::rng())) }
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
        Ok(exchanged) if exchanged.status.is_success() => Attempt::Begun(run, exchanged),
        Ok(exchanged) => {
            let answer = exchanged.read_response(traffic, &replica, req).await;
            traffic.sample_answer(req, &replica, true, Duration::ZERO);
            run.end(Outcome::Failed);
            match answer {
                Ok(answer) if !answer.has_not_run_status() => Attempt::Answered(answer),
                _ => Attempt::Unknown(Code::UpstreamLost),
            }
        }
        Err(err) => exchange::end_failed_run(req, run, &err).map_or(Attempt::NotSent, Attempt::Unknown),
    }
}
