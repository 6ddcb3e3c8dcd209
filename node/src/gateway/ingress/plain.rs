//! Plain calls: answered in full by one replica, and retried only where that is allowed.

use http::Response;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::routing::RouteId;
use leadstage_lib::gateway::waiting;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::headers;
use leadstage_platform::headers::AddedHeaders;

use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::reply::Refusal;
use crate::gateway::reply::Reply;
use crate::gateway::reply_body::BufferedBody;
use crate::gateway::reply_body::ReplyBody;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::shared::Shared;
use crate::gateway::stop;
use crate::gateway::upstream::connections::ConnectionChoice;
use crate::gateway::upstream::exchange;
use crate::gateway::upstream::exchange::BufferedResponse;
use crate::gateway::upstream::exchange::SendError;
use crate::gateway::upstream::traffic::Traffic;

/// Maximum number of replicas that a request may fail to reach, not counting those that it was sent to.
const MAX_UNREACHED: u32 = 3;

/// Outcome of one attempt.
enum Attempt {
    /// The replica's response, to be forwarded.
    Answer(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The replica did not run it.
    NotRun,
    /// It may have run.
    Unknown(Code),
    /// No response arrived on a kept connection; the request is to be sent again on a new one.
    ConnectionSilent(Code),
}

/// Serves a plain call.
pub async fn serve(traffic: &Traffic, req: &CallerRequest) -> Result<Reply, Refusal> {
    let mut best: Result<BufferedResponse, Refusal> = Err(Refusal::new(Code::NoUpstream));
    tokio::select! {
        biased;
        () = try_replicas(traffic, req, &mut best) => {}
        () = traffic.shared.wait_for_end_of_serving() => {
            best = best.or(Err(stop::unanswered(&traffic.shared, req)));
        }
    }
    best.map(reply)
}

/// Sends a call to one replica after the other, as long as that is allowed and has not succeeded. `best` is the
/// best outcome so far.
async fn try_replicas(traffic: &Traffic, req: &CallerRequest, best: &mut Result<BufferedResponse, Refusal>) {
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut sent = 0;
    let mut unreached = 0;
    let mut choice = ConnectionChoice::Any;
    let mut last_no_room = NoRoom::default();
    loop {
        if sent == 0
            && let Err(quarantined) = traffic.refuse_quarantined(req)
        {
            *best = Err(quarantined);
            return;
        }
        let mut placed = place(traffic, req, &tried).await;
        if placed.is_err() && choice == ConnectionChoice::New {
            // No other replica has room. Only the connection was suspected of a fault, not the replica, so
            // any replica may be used again.
            placed = place(traffic, req, &[]).await;
        }
        let run = match placed {
            Ok(run) => run,
            Err(no_room) => {
                last_no_room = no_room;
                if sent == 0 && !stop::accepts(&traffic.shared, req) {
                    // A stop shortens the wait; another node may wait longer.
                    *best = Err(stop::refusal(&traffic.shared));
                }
                break;
            }
        };
        if !stop::accepts(&traffic.shared, req) {
            // The node began to stop while the call waited.
            run.end(Outcome::Withdrawn);
            if sent == 0 {
                *best = Err(stop::refusal(&traffic.shared));
            }
            break;
        }
        tried.push(run.placed.replica.id.clone());
        match attempt(traffic, req, run, choice, sent).await {
            Attempt::Answer(answer) if answer.status.is_server_error() => *best = Ok(answer),
            Attempt::Answer(answer) => {
                *best = Ok(answer);
                return;
            }
            Attempt::NotSent => {
                unreached += 1;
                if unreached > MAX_UNREACHED {
                    break;
                }
                continue;
            }
            Attempt::NotRun if sent == 0 => *best = Err(Refusal::new(Code::UpstreamRefused)),
            Attempt::NotRun => {}
            Attempt::Unknown(code) => set_failure(best, code),
            Attempt::ConnectionSilent(code) => {
                set_failure(best, code);
                choice = ConnectionChoice::New;
                sent += 1;
                continue;
            }
        }
        sent += 1;
        if !traffic.may_retry(req, sent).await {
            break;
        }
    }
    if let Err(refusal) = best {
        let retry_delay = || waiting::retry_delay_for(last_no_room, &mut rand::rng());
        refusal.retry_after.get_or_insert_with(retry_delay);
    }
}

/// Records a failure unless a replica has answered.
fn set_failure(best: &mut Result<BufferedResponse, Refusal>, code: Code) {
    if best.is_err() {
        *best = Err(Refusal::new(code));
    }
}

async fn place(traffic: &Traffic, req: &CallerRequest, exclude: &[UpstreamId]) -> Result<RunGuard, NoRoom> {
    let request = PlaceRequest {
        request: req.id().to_owned(),
        wanted: Wanted {
            service: req.service.clone(),
            size: None,
            produced: 0,
            from: None,
            hall: traffic.shared.settings.hall.clone(),
            exclude: exclude.to_vec(),
            resting: Vec::new(),
            regions: req.regions(),
            is_repeatable: req.route.is_repeatable(),
            organisation: req.organisation_name(),
            gap_objective: None,
        },
        priority: req.priority(),
        patience: req.route.objective,
        leaves_after: stop::max_call_wait(&traffic.shared, req),
        stream: None,
    };
    traffic.place(request).await
}

async fn attempt(
    traffic: &Traffic,
    req: &CallerRequest,
    run: RunGuard,
    choice: ConnectionChoice,
    sent: u32,
) -> Attempt {
    let replica = run.placed.replica.clone();
    let added = AddedHeaders { priority: None, ..req.added(&replica.id, None) };
    let timer = CallTimer::start(traffic, req);
    let sent = exchange::send(traffic, &replica, req, &added, choice, sent).await;
    let exchanged = match sent {
        Ok(exchanged) => exchanged,
        Err(err) => return on_send_error(traffic, req, run, err, timer),
    };
    if exchanged.says_not_run() {
        timer.discard();
        traffic.on_not_run(req, &run, exchanged.status);
        run.end(Outcome::Refused);
        return Attempt::NotRun;
    }
    match exchanged.read_response(traffic, &replica, req).await {
        Ok(answer) if answer.has_not_run_status() => {
            run.end(Outcome::Failed);
            Attempt::Unknown(Code::UpstreamLost)
        }
        Ok(answer) => {
            traffic.on_successful_run(req);
            if answer.status.is_success() {
                traffic.on_parts_served(req);
            }
            let is_error = answer.status.is_server_error();
            traffic.sample_answer(req, &replica, is_error, run.placed_at.elapsed());
            run.end(if is_error { Outcome::Errored } else { Outcome::Answered });
            Attempt::Answer(answer)
        }
        Err(err) => on_send_error(traffic, req, run, err, timer),
    }
}

fn on_send_error(
    traffic: &Traffic,
    req: &CallerRequest,
    run: RunGuard,
    err: SendError,
    timer: CallTimer,
) -> Attempt {
    match exchange::end_failed_run(traffic, req, run, &err) {
        Some(code) if matches!(err, SendError::ConnectionSilent) => Attempt::ConnectionSilent(code),
        Some(code) => Attempt::Unknown(code),
        None => {
            timer.discard();
            Attempt::NotSent
        }
    }
}

/// Records how long a call was at a replica, also if its caller leaves before the answer.
struct CallTimer<'a> {
    shared: &'a Shared,
    route: &'a RouteId,
    /// When the call was sent; `None` if its time does not count.
    began: Option<Timestamp>,
}

impl<'a> CallTimer<'a> {
    fn start(traffic: &'a Traffic, req: &'a CallerRequest) -> Self {
        let shared = &*traffic.shared;
        CallTimer { shared, route: &req.route.name, began: Some(shared.now()) }
    }

    /// Forgets a call that was not run.
    fn discard(mut self) {
        self.began = None;
    }
}

impl Drop for CallTimer<'_> {
    fn drop(&mut self) {
        if let Some(began) = self.began {
            self.shared.on_call_time(self.route, self.shared.now().saturating_sub(began));
        }
    }
}

/// Builds the response to the caller from a replica's response.
pub fn reply(answer: BufferedResponse) -> Reply {
    let body = BufferedBody::new(answer.body, Some(answer.held));
    let mut res = Response::new(ReplyBody::Buffered(body));
    *res.status_mut() = answer.status;
    *res.headers_mut() = headers::for_caller(&answer.headers);
    res
}
