//! Streams: places a generation, sends it once, and hands its answer to a relay.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use http::Response;
use http_body_util::Either;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::waiting;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::headers;
use log::info;
use tokio::sync::mpsc;

use crate::gateway::ingress::io_watch::Serving;
use crate::gateway::ingress::plain;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::reply::ChannelBody;
use crate::gateway::reply::Refusal;
use crate::gateway::reply::Reply;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::OpenGuard;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::exchange;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::exchange::SendError;
use crate::gateway::upstream::relay::Leg;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::traffic::Traffic;

/// Parts of a stream that wait for a slow caller, at most; then the engine waits too.
const PARTS_WAITING: usize = 16;
/// Engines that a request may fail to reach.
const MOST_UNREACHED: usize = 3;

/// Serves a stream: answers with its head, and passes its events on in a task.
pub async fn serve(
    traffic: &Traffic,
    req: CallerRequest,
    serving: Serving,
    open: OpenGuard,
) -> Result<Reply, Refusal> {
    let (orders_tx, orders) = mpsc::unbounded_channel();
    let handle = StreamHandle { orders: orders_tx.clone(), produced: Arc::new(AtomicU32::new(0)) };
    let (run, exchanged) = start(traffic, &req, &handle).await?;
    if !exchanged.status.is_success() {
        let replica = run.placed.replica.clone();
        let answer = exchanged.whole(&traffic.connections, &replica, req.until).await;
        let answer = answer.map_err(|_| Refusal::new(Code::UpstreamLost))?;
        run.end(Outcome::Failed);
        if answer.promises_not_run() {
            return Err(Refusal::new(Code::UpstreamLost));
        }
        return Ok(plain::reply(answer));
    }
    let placed_ms = run.placed_at.duration_since(req.came.into_std()).as_millis() as u64;
    info!(event = "stream_begins", request = req.id(), route = &*req.route.name, upstream = &*run.placed.replica.id, run = run.placed.run, priority = req.priority(), placed_ms, head_ms = req.came.elapsed().as_millis() as u64; "stream begins");
    let (tx, rx) = mpsc::channel(PARTS_WAITING);
    let mut res = Response::new(Either::Right(ChannelBody(rx)));
    *res.status_mut() = exchanged.status;
    *res.headers_mut() = headers::without_hop_by_hop(&exchanged.headers);
    let relay = Relay::new(traffic.clone(), req, handle, Leg { run, exchange: exchanged }, tx);
    tokio::task::spawn_local(async move {
        relay.run(orders).await;
        drop((serving, open));
    });
    Ok(res)
}

/// Sends the request to an engine. It is sent once; engines that could not be reached
/// don't count.
async fn start(
    traffic: &Traffic,
    req: &CallerRequest,
    handle: &StreamHandle,
) -> Result<(RunGuard, Exchange), Refusal> {
    let mut tried: Vec<UpstreamId> = Vec::new();
    let refusal = |code| Refusal { code, retry_after: Some(req.come_back_after()) };
    while tried.len() < MOST_UNREACHED {
        let request = PlaceRequest {
            request: req.id().to_owned(),
            wanted: Wanted {
                service: req.service.clone(),
                size: Some(req.generation_size()),
                produced: 0,
                from: None,
                hall: traffic.shared.settings.hall.clone(),
                exclude: tried.clone(),
            },
            priority: req.priority(),
            patience: waiting::patience(req.route.objective),
            stream: Some(handle.clone()),
        };
        let Some(run) = traffic.shared.place(request).await else {
            return Err(refusal(Code::NoUpstream));
        };
        let replica = run.placed.replica.clone();
        let added = req.added(&replica.id, None);
        match exchange::send(traffic, &replica, req, &added, req.until).await {
            Ok(exchanged) if exchanged.says_not_run() => {
                traffic.on_not_run(req, &run, exchanged.status);
                run.end(Outcome::Refused);
                return Err(refusal(Code::UpstreamRefused));
            }
            Ok(exchanged) => return Ok((run, exchanged)),
            Err(err) => {
                info!(event = "attempt_failed", request = req.id(), upstream = &*replica.id, reason:% = err; "attempt failed");
                run.end(Outcome::Failed);
                match err {
                    SendError::NotSent(_) => tried.push(replica.id.clone()),
                    SendError::TimedOut => return Err(Refusal::new(Code::UpstreamTimeout)),
                    _ => return Err(Refusal::new(Code::UpstreamLost)),
                }
            }
        }
    }
    Err(refusal(Code::UpstreamRefused))
}
