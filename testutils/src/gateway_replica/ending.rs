//! Texts of the streams of a stand-in engine, and how their ends are marked.

use http::Response;
use http::Version;

use crate::loopback::Body;

/// The text of an event.
pub(super) fn event_text(id: u64, padding: usize) -> String {
    format!("id: {id}\ndata: token {id}{}\n\n", "x".repeat(padding))
}

/// Marks the end of a response as `framing` tells; its body has `body_length` bytes.
pub(super) fn mark_end(res: &mut Response<Body>, framing: Framing, body_length: usize) {
    match framing {
        Framing::Chunked => {}
        Framing::Length => {
            res.headers_mut().insert("content-length", body_length.into());
        }
        Framing::Unframed => *res.version_mut() = Version::HTTP_10,
    }
}

/// A JSON document.
pub const JSON_DOCUMENT: &str = "{\n  \"object\": \"list\",\n  \"data\": []\n}";

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body is sent in chunks.
    Chunked,
    /// The length of the body is given.
    Length,
    /// The body ends with its connection.
    Unframed,
}

impl Framing {
    /// All of them.
    pub const ALL: [Framing; 3] = [Framing::Chunked, Framing::Length, Framing::Unframed];
}

/// The end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnding {
    /// How the end is marked.
    pub framing: Framing,
    /// Number of events before it.
    pub events: u64,
    /// What follows the last event.
    pub rest: &'static str,
}

impl StreamEnding {
    /// Length of a body that begins after the event `from`.
    pub(super) fn body_length(&self, from: u64, padding: usize) -> usize {
        let events = (from..self.events).map(|made| event_text(made + 1, padding).len());
        events.sum::<usize>() + self.rest.len()
    }
}
