//! Bodies of answers to callers, which count as held until a caller's connection takes them.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway::held_bytes::Held;
use crate::gateway::held_bytes::HeldBytes;

/// A whole answer is handed to the connection in parts of this size: a part counts as held until it is asked for,
/// and the connection asks for no more while its own buffer is full.
const PART: usize = 16 << 10;
/// Bytes of one stream that wait for a slow caller at most; then its engine waits too, which cuts a stream off that
/// is not read for some seconds. Most streams are smaller as a whole.
const MOST_OF_STREAM: usize = 256 << 10;

/// The stream broke: the caller's connection ends without the answer's end.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
pub struct BrokenStream;

/// The body of an answer.
pub enum ReplyBody {
    /// It is here as a whole.
    Whole(WholeBody),
    /// Its parts come from a task.
    Parts(PartsBody),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            ReplyBody::Whole(body) => Poll::Ready(body.next().map(|part| Ok(Frame::data(part)))),
            ReplyBody::Parts(body) => body.poll_next(cx).map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Whole(body) if body.rest.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => SizeHint::with_exact(body.rest.len() as u64),
            ReplyBody::Parts(_) => SizeHint::default(),
        }
    }
}

/// An answer that is here as a whole.
pub struct WholeBody {
    rest: Bytes,
    held: Option<Held>,
}

impl WholeBody {
    /// An answer, with what it holds; nothing for a short one of leadstage's own.
    pub fn new(bytes: Bytes, held: Option<Held>) -> Self {
        WholeBody { rest: bytes, held }
    }

    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let part = self.rest.split_to(PART.min(self.rest.len()));
        if let Some(held) = &mut self.held {
            held.give_back(part.len());
        }
        Some(part)
    }
}

/// A part of a stream, with what it holds.
type Part = Result<(Bytes, Held), BrokenStream>;

/// What both ends of a stream's body share.
#[derive(Default)]
struct Waiting {
    bytes: AtomicUsize,
    taken: Notify,
}

/// The end of a stream's body that a caller's connection reads.
pub struct PartsBody {
    rx: mpsc::UnboundedReceiver<Part>,
    waiting: Arc<Waiting>,
}

impl PartsBody {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        self.rx.poll_recv(cx).map(|part| {
            part.map(|part| {
                let (bytes, _held) = part?;
                self.waiting.bytes.fetch_sub(bytes.len(), Ordering::Relaxed);
                self.waiting.taken.notify_one();
                Ok(bytes)
            })
        })
    }
}

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the caller's connection is closed")]
pub struct CallerGone;

/// The end of a stream's body that its events are put into.
#[derive(Clone)]
pub struct PartsSender {
    tx: mpsc::UnboundedSender<Part>,
    waiting: Arc<Waiting>,
    node: Arc<HeldBytes>,
}

/// Both ends of a stream's body.
pub fn parts(node: Arc<HeldBytes>) -> (PartsSender, PartsBody) {
    let (tx, rx) = mpsc::unbounded_channel();
    let waiting: Arc<Waiting> = Arc::default();
    (PartsSender { tx, waiting: waiting.clone(), node }, PartsBody { rx, waiting })
}

impl PartsSender {
    /// Puts events in, as soon as few enough wait for the caller.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerGone> {
        while self.waiting.bytes.load(Ordering::Relaxed) >= MOST_OF_STREAM {
            tokio::select! {
                () = self.waiting.taken.notified() => {}
                () = self.tx.closed() => return Err(CallerGone),
            }
        }
        let held = tokio::select! {
            held = self.node.take_when_free(events.len()) => held,
            () = self.tx.closed() => return Err(CallerGone),
        };
        self.waiting.bytes.fetch_add(events.len(), Ordering::Relaxed);
        self.tx.send(Ok((events, held))).map_err(|_| CallerGone)
    }

    /// Ends the body without its end.
    pub fn break_off(&self) {
        // Nobody may be there any more to see it.
        let _ = self.tx.send(Err(BrokenStream));
    }

    /// Waits until the caller's connection is closed.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}
