//! Responses to generation requests, streamed or complete.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use futures::Stream;
use serde_json::json;
use xitca_web::body::Frame;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamBody;
use xitca_web::http::HeaderValue;
use xitca_web::http::WebResponse;

use crate::chunk;
use crate::filters::place::GenerationRequest;
use crate::filters::relay::Relay;
use crate::filters::relay::Relayed;
use crate::filters::route::GenerationKind;
use crate::refusal::Refusal;
use crate::refusal::id_header;
use crate::refusal::json_response;

/// Responds with a stream of server-sent events. The response head is sent together with the first event, so
/// that a failure before that event gets its own HTTP status.
pub async fn stream(mut relay: Relay, request: u64) -> Result<WebResponse, Refusal> {
    let first = match relay.next().await {
        Relayed::Failed(refusal) => return Err(refusal),
        other => other,
    };
    let frames = events(relay, first, request);
    let mut res = WebResponse::new(ResponseBody::boxed(StreamBody::new(frames)));
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    headers.insert("x-request-id", id_header(request));
    Ok(res)
}

enum Phase {
    First(Relay, Relayed),
    Running(Relay),
    Over,
}

fn events(
    relay: Relay,
    first: Relayed,
    request: u64,
) -> impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    futures::stream::unfold(Phase::First(relay, first), move |phase| async move {
        let (relay, relayed) = match phase {
            Phase::First(relay, first) => (relay, first),
            Phase::Running(mut relay) => {
                let relayed = relay.next().await;
                (relay, relayed)
            }
            Phase::Over => return None,
        };
        let (text, next) = match relayed {
            Relayed::Event { position, data } => {
                (format!("id: {position}\ndata: {data}\n\n"), Phase::Running(relay))
            }
            Relayed::Done => ("data: [DONE]\n\n".to_owned(), Phase::Over),
            Relayed::Failed(refusal) => {
                (format!("event: error\ndata: {}\n\n", refusal.body(request)), Phase::Over)
            }
        };
        Some((Ok(Frame::Data(Bytes::from(text))), next))
    })
}

/// Responds with the complete text when the generation has finished. A lost engine fails the request even
/// though the caller has received nothing yet, because tokens were already produced.
pub async fn whole(mut relay: Relay, req: GenerationRequest, request: u64) -> Result<WebResponse, Refusal> {
    let mut text = String::new();
    let mut reason = "stop".to_owned();
    let mut tokens = 0_u32;
    loop {
        match relay.next().await {
            Relayed::Event { data, .. } => {
                let (more, finish) = chunk::text_of(&data);
                text.push_str(&more);
                match finish {
                    Some(finish) => reason = finish,
                    None => tokens += 1,
                }
            }
            Relayed::Done => break,
            Relayed::Failed(refusal) => return Err(refusal),
        }
    }
    let body = completion_body(&req, &text, &reason, tokens, request);
    Ok(json_response(200, body, request))
}

fn completion_body(req: &GenerationRequest, text: &str, reason: &str, tokens: u32, request: u64) -> String {
    let (object, choice) = match req.kind {
        GenerationKind::Chat => {
            let message = json!({"role": "assistant", "content": text});
            ("chat.completion", json!({"index": 0, "message": message, "finish_reason": reason}))
        }
        GenerationKind::Text => {
            ("text_completion", json!({"index": 0, "text": text, "finish_reason": reason}))
        }
    };
    let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    json!({
        "id": format!("{request:016x}"),
        "object": object,
        "created": created,
        "model": &*req.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": req.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": req.prompt_tokens + tokens,
        },
    })
    .to_string()
}
