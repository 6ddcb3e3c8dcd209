//! Routes a request: to a generation, the list of models, or a plain service.

use leadstage_lib::bundle::Route;
use leadstage_lib::code::Code;
use leadstage_lib::stream_cursor::StreamPosition;
use xitca_web::http::HeaderMap;
use xitca_web::http::Method;

use crate::filters::authenticate::Authenticated;
use crate::refusal::Refusal;

/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 255;

/// The API through which a generation is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl GenerationKind {
    /// Returns the path of the API, which is the same at the gateway and at the engines.
    pub fn path(self) -> &'static str {
        match self {
            GenerationKind::Chat => "/v1/chat/completions",
            GenerationKind::Text => "/v1/completions",
        }
    }
}

/// The destination of a request.
#[derive(Clone, Debug)]
pub enum Routed {
    /// A generation, run by an engine.
    Generation {
        /// The API that the caller uses.
        kind: GenerationKind,
        /// The position from which the caller resumes a stream.
        resume: Option<StreamPosition>,
    },
    /// The list of models, answered by this node.
    Models,
    /// A call to a plain service.
    Call {
        /// The route of the bundle that matches the path.
        route: Route,
        /// Whether it may be sent again after it may have run.
        repeatable: bool,
        /// The caller's `Idempotency-Key`.
        key: Option<String>,
    },
}

/// Determines the destination of a request.
pub fn route(
    cx: &Authenticated,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> Result<Routed, Refusal> {
    let generation = match path {
        "/v1/chat/completions" => Some(GenerationKind::Chat),
        "/v1/completions" => Some(GenerationKind::Text),
        _ => None,
    };
    if let Some(kind) = generation {
        if method != Method::POST {
            return Err(Refusal::new(Code::BadMethod));
        }
        return Ok(Routed::Generation { kind, resume: resume_position(headers)? });
    }
    if path == "/v1/models" {
        return if method == Method::GET { Ok(Routed::Models) } else { Err(Refusal::new(Code::BadMethod)) };
    }
    let route = cx.bundle.route(path).ok_or_else(|| Refusal::new(Code::NoRoute))?.clone();
    let repeatable = route.is_repeatable(method.as_str());
    Ok(Routed::Call { repeatable, key: idempotency_key(headers)?, route })
}

fn resume_position(headers: &HeaderMap) -> Result<Option<StreamPosition>, Refusal> {
    let Some(header) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let parsed = header.to_str().ok().and_then(|text| text.parse().ok());
    let position =
        parsed.ok_or_else(|| Refusal::with_detail(Code::BadHeader, "Last-Event-ID is malformed"))?;
    Ok(Some(position))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(header) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = header.to_str().ok().filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    let key = text.ok_or_else(|| {
        Refusal::with_detail(Code::BadHeader, "Idempotency-Key must be 1 to 255 characters")
    })?;
    Ok(Some(key.to_owned()))
}
