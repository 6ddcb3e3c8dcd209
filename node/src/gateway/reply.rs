//! Answers to callers: bodies, and refusals with their numbered code.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use leadstage_lib::code::Code;
use serde_json::json;
use tokio::sync::mpsc;

/// A refusal that names no time gets this one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The body of an answer.
pub type ReplyBody = Either<Full<Bytes>, ChannelBody>;
/// An answer to a caller.
pub type Reply = Response<ReplyBody>;

/// The stream broke: the caller's connection ends without the answer's end.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
pub struct BrokenStream;

/// A body whose parts come from a task.
pub struct ChannelBody(pub mpsc::Receiver<Result<Bytes, BrokenStream>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        self.0.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
    }
}

/// A request that leadstage answers itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time of its own.
    pub fn new(code: Code) -> Self {
        Refusal { code, retry_after: None }
    }

    /// The answer.
    pub fn reply(&self) -> Reply {
        let body = json!({"error": {
            "code": self.code.number(), "type": self.code.name(), "message": self.code.meaning(),
        }});
        let mut res = Response::new(Either::Left(Full::from(body.to_string())));
        *res.status_mut() = self.code.http_status().try_into().expect("codes have valid statuses");
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("leadstage-code", HeaderValue::from(self.code.number()));
        if self.code.ask_again() == leadstage_lib::code::AskAgain::Later {
            let after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64();
            let after = HeaderValue::from_str(&format!("{after:.2}")).expect("a number is a valid value");
            headers.insert(header::RETRY_AFTER, after);
        }
        res
    }
}
