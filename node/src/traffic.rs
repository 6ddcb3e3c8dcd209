//! Serves the port for callers and passes each request through the filters.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::stream_cursor::StreamPosition;
use rand::RngExt;
use serde_json::json;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::handler::handler_service;
use xitca_web::http::HeaderMap;
use xitca_web::http::Method;
use xitca_web::http::WebResponse;

use crate::call;
use crate::call::PlainCall;
use crate::filters::account::Account;
use crate::filters::authenticate;
use crate::filters::authenticate::Authenticated;
use crate::filters::limit;
use crate::filters::place;
use crate::filters::relay::Relay;
use crate::filters::route;
use crate::filters::route::GenerationKind;
use crate::filters::route::Routed;
use crate::generation;
use crate::late_port::Port;
use crate::refusal::Refusal;
use crate::refusal::json_response;
use crate::settings::Settings;
use crate::shared::OpenGuard;
use crate::shared::Shared;

/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Read buffer of a connection: the limit of a request's head and of the buffered part of its body.
const READ_BUF_BYTES: usize = 64 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The head of a request, copied from the server's context.
struct Head {
    method: Method,
    path: String,
    path_and_query: String,
    headers: HeaderMap,
    id: u64,
}

/// Serves callers until the process ends.
pub fn serve(settings: &Settings, shared: Arc<Shared>) -> std::io::Result<()> {
    let port = Port { name: "callers", address: settings.listen };
    let server = port.bind_blocking(|| {
        App::new()
            .with_state(shared.clone())
            .at("/{*path}", handler_service(handle))
            .serve()
            .disable_signal()
            .worker_threads(settings.traffic_threads)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<READ_BUF_BYTES>()
            .max_request_headers::<MAX_HEADERS>()
            .bind(port.address)
    })?;
    shared.set_callers_port_listens();
    server.run().wait()
}

async fn handle(cx: &WebContext<'_, Arc<Shared>>) -> WebResponse {
    let uri = cx.req().uri();
    let head = Head {
        method: cx.req().method().clone(),
        path: uri.path().to_owned(),
        path_and_query: uri.path_and_query().map_or("/", |p| p.as_str()).to_owned(),
        headers: cx.req().headers().clone(),
        id: rand::rng().random(),
    };
    let mut body = std::mem::take(&mut *cx.body_borrow_mut());
    let shared = cx.state().clone();
    let id = head.id;
    match answer(&shared, head, &mut body).await {
        Ok(res) => res,
        Err(refusal) => {
            limit::discard(body).await;
            shared.note(id, "answer", refusal.code.to_string());
            refusal.response(id)
        }
    }
}

/// Answers a request. `body` is taken when it is read; after a refusal it may still be unread.
async fn answer(shared: &Arc<Shared>, head: Head, body: &mut RequestBody) -> Result<WebResponse, Refusal> {
    let cx = authenticate::authenticate(shared, &head.headers)?;
    let routed = route::route(&cx, &head.method, &head.path, &head.headers)?;
    let open = limit::open(shared, &cx)?;
    shared.on_request();
    match routed {
        Routed::Models => Ok(models(&cx, head.id)),
        Routed::Generation { kind, resume } => {
            generate(shared, cx, &head, std::mem::take(body), open, kind, resume).await
        }
        Routed::Call { route, repeatable, key } => {
            let mut account = new_account(shared, &cx, &head, open);
            let answered = match limit::read_body(&cx, std::mem::take(body)).await {
                Err(refusal) => Err(refusal),
                Ok(body) => {
                    let call = PlainCall {
                        method: head.method,
                        path_and_query: head.path_and_query,
                        headers: head.headers,
                        body,
                        route,
                        repeatable,
                        key,
                    };
                    call::execute(shared, &cx, &call, &mut account, head.id).await
                }
            };
            answered.inspect_err(|refusal| account.on_answer(refusal.code))
        }
    }
}

fn new_account(shared: &Arc<Shared>, cx: &Authenticated, head: &Head, open: OpenGuard) -> Account {
    Account::new(shared.clone(), cx.bundle.clone(), &cx.organisation.id, head.id, open)
}

fn models(cx: &Authenticated, request: u64) -> WebResponse {
    let models: Vec<_> = cx
        .bundle
        .models
        .iter()
        .map(|m| json!({"id": &*m.id, "object": "model", "owned_by": "leadstage"}))
        .collect();
    json_response(200, json!({"object": "list", "data": models}).to_string(), request)
}

async fn generate(
    shared: &Arc<Shared>,
    cx: Authenticated,
    head: &Head,
    body: RequestBody,
    open: OpenGuard,
    kind: GenerationKind,
    resume: Option<StreamPosition>,
) -> Result<WebResponse, Refusal> {
    let mut account = new_account(shared, &cx, head, open);
    let read = limit::read_body(&cx, body).await.and_then(|body| place::parse(&cx, kind, &body));
    let req = read.inspect_err(|refusal| account.on_answer(refusal.code))?;
    let mut relay = Relay::new(shared.clone(), cx, req.clone(), account);
    let started = match &resume {
        Some(position) => relay.resume_at(position).await,
        None => relay.start().await,
    };
    started.inspect_err(|refusal| relay.account().on_answer(refusal.code))?;
    if req.stream || resume.is_some() {
        return generation::stream(relay, head.id).await;
    }
    generation::whole(relay, req, head.id).await
}
