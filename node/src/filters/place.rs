//! Parses a generation request and requests an engine for it from the control thread.

use std::sync::Arc;

use bytes::Bytes;
use leadstage_lib::code::Code;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::ModelId;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::rendezvous;
use leadstage_lib::signing::sha256_hex;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::control_message::ControlMessage;
use crate::control_message::Granted;
use crate::filters::authenticate::Authenticated;
use crate::filters::route::GenerationKind;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Prompt bytes counted as one token, as leadstage has no tokenizer. Typical text has slightly more bytes
/// per token, so memory is overestimated rather than underestimated.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes at the start of a prompt that are hashed to recognise prompts with a common prefix.
const PREFIX_BYTES: usize = 1_024;

/// A parsed and validated generation request.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Chat or text completion.
    pub kind: GenerationKind,
    /// The model.
    pub model: ModelId,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The body for the engine: the caller's, but with streaming on and `max_tokens` set.
    pub body: Bytes,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Hash of the prompt's first bytes, 0 for a short prompt.
    pub prefix: u64,
}

#[derive(Deserialize)]
struct Fields {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Several(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: String,
    #[serde(default)]
    content: Value,
}

/// Parses and validates the body of a generation request.
pub fn parse(cx: &Authenticated, kind: GenerationKind, body: &Bytes) -> Result<GenerationRequest, Refusal> {
    let bad_request = |detail: String| Refusal::with_detail(Code::BadRequest, detail);
    let mut json: Value = serde_json::from_slice(body).map_err(|err| bad_request(err.to_string()))?;
    let fields = Fields::deserialize(&json).map_err(|err| bad_request(err.to_string()))?;
    if fields.n.is_some_and(|n| n != 1) {
        return Err(bad_request("n must be 1".to_owned()));
    }
    let prompt =
        prompt_text(&fields, kind).ok_or_else(|| bad_request(format!("{} lacks its prompt", kind.path())))?;
    let model = cx.bundle.model(&fields.model).ok_or_else(|| Refusal::new(Code::UnknownModel))?;
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32;
    if prompt_tokens > model.max_prompt_tokens {
        let detail =
            format!("the prompt has about {prompt_tokens} tokens, {} are allowed", model.max_prompt_tokens);
        return Err(Refusal::with_detail(Code::PromptTooLong, detail));
    }
    let requested = fields.max_completion_tokens.or(fields.max_tokens).unwrap_or(u32::MAX);
    let max_tokens = requested.clamp(1, model.max_output_tokens);
    if let Some(map) = json.as_object_mut() {
        map.insert("stream".to_owned(), Value::Bool(true));
        map.insert("max_tokens".to_owned(), Value::from(max_tokens));
    }
    Ok(GenerationRequest {
        kind,
        model: model.id.clone(),
        stream: fields.stream,
        body: serde_json::to_vec(&json).expect("JSON that was read serialises").into(),
        prompt_tokens,
        max_tokens,
        prefix: prefix_hash(&prompt),
    })
}

fn prompt_text(fields: &Fields, kind: GenerationKind) -> Option<String> {
    match kind {
        GenerationKind::Text => match fields.prompt.as_ref()? {
            Prompt::One(text) => Some(text.clone()),
            Prompt::Several(texts) => Some(texts.concat()),
        },
        GenerationKind::Chat => {
            let messages = fields.messages.as_ref().filter(|m| !m.is_empty())?;
            Some(messages.iter().map(|m| content_text(&m.content)).collect())
        }
    }
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Hashes the prompt's prefix; 0 for a prompt that is too short to be worth caching.
fn prefix_hash(prompt: &str) -> u64 {
    if prompt.len() < PREFIX_BYTES {
        return 0;
    }
    let hash = sha256_hex(&prompt.as_bytes()[..PREFIX_BYTES]);
    rendezvous::weight("prefix", &hash).max(1)
}

/// Requests an engine from the lead. Dropping the future removes the request from the lead's queue.
pub async fn place(
    shared: &Arc<Shared>,
    cx: &Authenticated,
    req: &GenerationRequest,
    generation: GenerationId,
) -> Result<Granted, Refusal> {
    let request = place_request(shared, cx, req, generation);
    let (reply, rx) = oneshot::channel();
    let message = ControlMessage::Place { request, model: req.model.clone(), reply };
    shared.control.send(message).map_err(|_| Refusal::new(Code::Stopping))?;
    let placed = rx.await.map_err(|_| Refusal::new(Code::Stopping))?;
    Ok(placed?)
}

/// Builds the request for the lead, with what it needs to place the generation.
pub fn place_request(
    shared: &Shared,
    cx: &Authenticated,
    req: &GenerationRequest,
    generation: GenerationId,
) -> PlaceRequest {
    PlaceRequest {
        generation,
        organisation: cx.organisation.id.clone(),
        entry: shared.vm.clone(),
        prompt_tokens: req.prompt_tokens,
        max_tokens: req.max_tokens,
        priority: cx.organisation.priority,
        prefix: req.prefix,
    }
}
