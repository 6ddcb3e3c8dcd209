//! Response bodies that mark their connection as responding.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::gateway::ingress::io_watch::ServingGuard;
use crate::gateway::reply_body::BrokenStream;
use crate::gateway::reply_body::ReplyBody;

/// The body of a response, with the guard of its request: the connection drops a body that it has taken completely.
pub struct RespondingBody {
    body: ReplyBody,
    _serving: ServingGuard,
}

impl RespondingBody {
    /// Marks the beginning of a response with this body.
    pub fn new(body: ReplyBody, serving: ServingGuard) -> Self {
        serving.begin_response();
        RespondingBody { body, _serving: serving }
    }
}

impl Body for RespondingBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
