//! Runs a plain call: claims its idempotency key if it has one and is not repeatable, sends it to a
//! replica, and answers with its result, or with a code for a call that did not run or may have run.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http_body_util::Full;
use leadstage_lib::bundle::Route;
use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::code::Code;
use leadstage_lib::loss_limit;
use leadstage_lib::signing::sha256_hex;
use rand::seq::IndexedRandom;
use xitca_web::http::WebResponse;

use crate::control_message::ControlMessage;
use crate::filters::account::Account;
use crate::filters::authenticate::Authenticated;
use crate::filters::claim;
use crate::filters::claim::ClaimResult;
use crate::filters::claim::OwnedKey;
use crate::filters::dispatch;
use crate::filters::dispatch::CallResponse;
use crate::refusal::Refusal;
use crate::refusal::json_response;
use crate::shared::Shared;
use crate::shared::UpstreamAddress;
use crate::upstream_client::SendError;

/// Replicas that one call is sent to at most.
const MAX_ATTEMPTS: u32 = 3;
/// Request headers that are forwarded to the replica.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "user-agent"];

/// A plain call, read completely.
#[derive(Debug)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The route of the bundle that matches the path.
    pub route: Route,
    /// Whether it may be sent again after it may have run.
    pub repeatable: bool,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
}

/// The result of sending a call to replicas.
enum SendOutcome {
    Answered(CallResponse),
    NotRun(Code),
    Unknown(Code),
}

/// Runs a plain call and returns its response.
pub async fn execute(
    shared: &Arc<Shared>,
    cx: &Authenticated,
    call: &PlainCall,
    account: &mut Account,
    request: u64,
) -> Result<WebResponse, Refusal> {
    let key = call.key.as_deref().filter(|_| !call.repeatable);
    let owned = match key {
        None => None,
        Some(key) => match claim::claim(shared, &cx.organisation.id, key, &digest(call)).await? {
            ClaimResult::Owned(owned) => Some(owned),
            ClaimResult::Recorded(outcome) => {
                account.note("claim", format!("the key has outcome {}", outcome.code));
                return Ok(replay(outcome, account, request));
            }
        },
    };
    let sent = tokio::select! {
        biased;
        sent = send(shared, cx, call, account) => sent,
        () = shared.stop_now.cancelled() => SendOutcome::Unknown(Code::StopUnanswered),
    };
    match sent {
        SendOutcome::Answered(answer) => {
            account.on_answer(Code::Done);
            account.on_call();
            record(owned, recorded_outcome(&answer));
            Ok(respond(answer, request))
        }
        SendOutcome::NotRun(code) => {
            record(owned, ClaimOutcome::not_run(code));
            Err(Refusal::new(code))
        }
        SendOutcome::Unknown(code) => {
            let unknown = ClaimOutcome { status: code.http_status(), ..ClaimOutcome::not_run(code) };
            record(owned, unknown);
            Err(Refusal::new(code))
        }
    }
}

fn record(owned: Option<OwnedKey>, outcome: ClaimOutcome) {
    if let Some(owned) = owned {
        owned.record(outcome);
    }
}

fn digest(call: &PlainCall) -> String {
    let head = format!("{} {}\n", call.method, call.path_and_query);
    sha256_hex(&[head.as_bytes(), &call.body].concat())
}

fn recorded_outcome(answer: &CallResponse) -> ClaimOutcome {
    ClaimOutcome {
        code: Code::Done.number(),
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: String::from_utf8(answer.body.to_vec()).ok(),
    }
}

/// Builds the response from the outcome recorded by an earlier request with the same key.
fn replay(outcome: ClaimOutcome, account: &mut Account, request: u64) -> WebResponse {
    let code = Code::from_number(outcome.code).unwrap_or(Code::UpstreamLost);
    account.on_answer(code);
    if code != Code::Done {
        return Refusal::new(code).response(request);
    }
    let body = outcome.body.unwrap_or_default();
    let answer =
        CallResponse { status: outcome.status, content_type: outcome.content_type, body: body.into() };
    let mut res = respond(answer, request);
    res.headers_mut().insert("idempotency-replayed", http::HeaderValue::from_static("true"));
    res
}

fn respond(answer: CallResponse, request: u64) -> WebResponse {
    let mut res = json_response(answer.status, answer.body, request);
    if let Ok(value) = http::HeaderValue::try_from(answer.content_type) {
        res.headers_mut().insert("content-type", value);
    }
    res
}

/// Sends the call to a replica. Retries on another one only if no byte of it reached the first, or if it
/// is repeatable; both within the retry budget.
async fn send(shared: &Arc<Shared>, cx: &Authenticated, call: &PlainCall, account: &Account) -> SendOutcome {
    let mut tried: Vec<UpstreamAddress> = Vec::new();
    let mut last = SendOutcome::NotRun(Code::NoUpstream);
    let mut lost = 0;
    for _ in 0..MAX_ATTEMPTS {
        if !tried.is_empty() && !shared.take_retry() {
            return last;
        }
        let Some(replica) = choose_replica(shared, call, &tried) else {
            return last;
        };
        account.note("dispatch", format!("{} {} to {}", call.method, call.route.service, replica.id));
        let Some(request) = request_for(call, &replica) else {
            return SendOutcome::NotRun(Code::BadHeader);
        };
        match dispatch::call(replica.address, request, cx.bundle.bounds.call_within).await {
            Ok(answer) => return SendOutcome::Answered(answer),
            Err(SendError::NotSent) => {
                let _ = shared.control.send(ControlMessage::UpstreamFailed(replica.id.clone()));
                if !matches!(last, SendOutcome::Unknown(_)) {
                    last = SendOutcome::NotRun(Code::UpstreamRefused);
                }
            }
            Err(SendError::MayHaveRun) if call.repeatable => {
                last = SendOutcome::Unknown(Code::UpstreamLost);
                lost += 1;
                if !loss_limit::may_retry_after_loss(0, lost) {
                    return last;
                }
            }
            Err(SendError::TimedOut) if call.repeatable => last = SendOutcome::Unknown(Code::UpstreamTimeout),
            Err(SendError::MayHaveRun) => return SendOutcome::Unknown(Code::UpstreamLost),
            Err(SendError::TimedOut) => return SendOutcome::Unknown(Code::UpstreamTimeout),
        }
        tried.push(replica);
    }
    last
}

/// Chooses a usable replica that has not been tried, in this node's hall if there is one.
fn choose_replica(shared: &Shared, call: &PlainCall, tried: &[UpstreamAddress]) -> Option<UpstreamAddress> {
    let table = shared.upstreams();
    let was_tried = |id: &str| tried.iter().any(|t| &*t.id == id);
    let usable: Vec<&UpstreamAddress> = table
        .values()
        .filter(|u| u.usable && *u.serves == *call.route.service && !was_tried(&u.id))
        .collect();
    let near: Vec<&UpstreamAddress> = usable.iter().copied().filter(|u| u.hall == shared.hall).collect();
    let from = if near.is_empty() { usable } else { near };
    from.choose(&mut rand::rng()).map(|u| (*u).clone())
}

fn request_for(call: &PlainCall, replica: &UpstreamAddress) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{}{}", replica.address, call.path_and_query);
    let mut request = Request::builder().method(call.method.clone()).uri(uri);
    for name in FORWARDED_HEADERS {
        if let Some(value) = call.headers.get(name) {
            request = request.header(name, value.clone());
        }
    }
    request.body(Full::from(call.body.clone())).ok()
}
