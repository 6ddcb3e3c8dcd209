//! The response to a request without a result: an error in the format of the OpenAI API, with the numbered
//! code, and `Retry-After` where a retry may succeed.

use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::code::Code;
use leadstage_lib::code::RetryAdvice;
use serde_json::json;
use xitca_web::body::ResponseBody;
use xitca_web::http::HeaderValue;
use xitca_web::http::WebResponse;

use crate::control_message::NotPlaced;

/// `Retry-After` of refusals that set no time of their own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request gets no result.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The code.
    pub code: Code,
    /// When to retry; sent only if the code advises a retry.
    pub retry_after: Duration,
    /// The error message for the caller.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with the code's standard message.
    pub fn new(code: Code) -> Self {
        Refusal::with_detail(code, code.meaning())
    }

    /// Creates a refusal with a specific message.
    pub fn with_detail(code: Code, detail: impl Into<String>) -> Self {
        Refusal { code, retry_after: DEFAULT_RETRY_AFTER, detail: detail.into() }
    }

    /// Creates a refusal with the code's standard message and a time to retry after.
    pub fn with_retry_after(code: Code, retry_after: Duration) -> Self {
        Refusal { retry_after, ..Refusal::new(code) }
    }

    fn has_retry_after(&self) -> bool {
        self.code.retry_advice() != RetryAdvice::No
    }

    /// Returns the JSON body of the response.
    pub fn body(&self, request: u64) -> String {
        let retry_after_ms = self.has_retry_after().then_some(self.retry_after.as_millis() as u64);
        json!({
            "error": {
                "message": self.detail,
                "type": self.code.name(),
                "param": null,
                "code": self.code.number(),
                "ran": self.code.ran().to_string(),
                "retry_after_ms": retry_after_ms,
                "request_id": format!("{request:016x}"),
            }
        })
        .to_string()
    }

    /// Builds the HTTP response.
    pub fn response(&self, request: u64) -> WebResponse {
        let mut res = json_response(self.code.http_status(), self.body(request), request);
        let headers = res.headers_mut();
        headers.insert("x-leadstage-code", HeaderValue::from(self.code.number()));
        if self.has_retry_after() {
            let seconds = self.retry_after.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert("retry-after", HeaderValue::from(seconds));
        }
        res
    }
}

impl From<NotPlaced> for Refusal {
    fn from(not_placed: NotPlaced) -> Self {
        Refusal::with_retry_after(not_placed.code, not_placed.retry_after)
    }
}

/// Builds a response with a JSON body and the request's id.
pub fn json_response(status: u16, body: impl Into<Bytes>, request: u64) -> WebResponse {
    let body: Bytes = body.into();
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status.try_into().unwrap_or_default();
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("x-request-id", id_header(request));
    res
}

/// Returns a request's id as a header value.
pub fn id_header(request: u64) -> HeaderValue {
    HeaderValue::try_from(format!("{request:016x}")).expect("hex digits are a valid header")
}
