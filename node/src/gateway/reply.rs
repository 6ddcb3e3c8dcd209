//! Responses to callers, and refusals with their numeric code.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::header;
use leadstage_lib::code::Code;
use serde_json::json;

use crate::gateway::reply_body::BufferedBody;
use crate::gateway::reply_body::ReplyBody;

/// Retry delay of a refusal that sets none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response to a caller.
pub type Reply = Response<ReplyBody>;

/// Refusal of a request, sent by leadstage itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// When the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that sets no retry delay.
    pub fn new(code: Code) -> Self {
        Refusal { code, retry_after: None }
    }

    /// Builds the response.
    pub fn reply(&self) -> Reply {
        let body = json!({"error": {
            "code": self.code.number(), "type": self.code.name(), "message": self.code.meaning(),
        }});
        let mut res = Response::new(ReplyBody::Buffered(BufferedBody::new(body.to_string().into(), None)));
        *res.status_mut() = self.code.http_status().try_into().expect("codes have valid statuses");
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("leadstage-code", HeaderValue::from(self.code.number()));
        if self.code.retry_advice() == leadstage_lib::code::RetryAdvice::Later {
            let after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64();
            let after = HeaderValue::from_str(&format!("{after:.2}")).expect("a number is a valid value");
            headers.insert(header::RETRY_AFTER, after);
        }
        res
    }
}
