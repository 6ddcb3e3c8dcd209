//! Bodies of responses to callers, which count as held until a caller's connection polls for them.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::held_bytes::HeldGuard;

/// A buffered body is passed to the connection in chunks of this size: a chunk counts as held until the
/// connection polls for it, and the connection polls for no more while its own buffer is full.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of bytes of one stream that wait for a slow caller. Beyond it the engine is blocked too,
/// and engines cut a stream off that is not read for some seconds. Most streams are smaller than this as a
/// whole.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// The stream broke: the caller's connection is closed before the response is complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
pub struct BrokenStream;

/// The body of a response.
pub enum ReplyBody {
    /// All of it is in memory.
    Buffered(BufferedBody),
    /// A task produces its chunks.
    Stream(StreamingBody),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            ReplyBody::Buffered(body) => Poll::Ready(body.next().map(|chunk| Ok(Frame::data(chunk)))),
            ReplyBody::Stream(body) => body.poll_next(cx).map(|next| next.map(|item| item.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Buffered(body) if body.rest.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Buffered(body) => SizeHint::with_exact(body.rest.len() as u64),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// A body that is in memory as a whole.
pub struct BufferedBody {
    rest: Bytes,
    held: Option<HeldGuard>,
}

impl BufferedBody {
    /// Creates a body from `bytes`. `held` is `None` for a short body that leadstage itself produced.
    pub fn new(bytes: Bytes, held: Option<HeldGuard>) -> Self {
        BufferedBody { rest: bytes, held }
    }

    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let chunk = self.rest.split_to(CHUNK_BYTES.min(self.rest.len()));
        if let Some(held) = &mut self.held {
            held.release(chunk.len());
        }
        Some(chunk)
    }
}

/// A part of a streaming body.
enum Part {
    /// Bytes, with the guard that holds them.
    Chunk(Bytes, HeldGuard),
    /// The body is complete.
    End,
}

/// Bytes that wait for the caller, shared by both ends of a streaming body.
#[derive(Default)]
struct Backlog {
    bytes: AtomicUsize,
    polled: Notify,
}

/// Receiving end of a streaming body, which the caller's connection reads.
pub struct StreamingBody {
    rx: mpsc::UnboundedReceiver<Part>,
    backlog: Arc<Backlog>,
    end: Option<Result<(), BrokenStream>>,
}

impl StreamingBody {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        match self.end {
            Some(Ok(())) => return Poll::Ready(None),
            Some(Err(broken)) => return Poll::Ready(Some(Err(broken))),
            None => {}
        }
        match ready!(self.rx.poll_recv(cx)) {
            Some(Part::Chunk(bytes, _held)) => {
                self.backlog.bytes.fetch_sub(bytes.len(), Ordering::Relaxed);
                self.backlog.polled.notify_one();
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(Part::End) => {
                self.end = Some(Ok(()));
                Poll::Ready(None)
            }
            None => {
                // The connection writes what it has buffered before it polls again; an error discards that.
                self.end = Some(Err(BrokenStream));
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the caller's connection is closed")]
pub struct CallerDisconnected;

/// Sending end of a streaming body. The body breaks if all senders are dropped before one of them ends it.
#[derive(Clone)]
pub struct StreamingBodySender {
    tx: mpsc::UnboundedSender<Part>,
    backlog: Arc<Backlog>,
    memory: Arc<HeldBytes>,
}

/// Creates both ends of a streaming body, whose bytes are counted in `memory`.
pub fn streaming_body(memory: Arc<HeldBytes>) -> (StreamingBodySender, StreamingBody) {
    let (tx, rx) = mpsc::unbounded_channel();
    let backlog: Arc<Backlog> = Arc::default();
    (StreamingBodySender { tx, backlog: backlog.clone(), memory }, StreamingBody { rx, backlog, end: None })
}

impl StreamingBodySender {
    /// Sends events as soon as fewer than `MAX_PENDING_BYTES` wait for the caller and the node has room for
    /// them.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerDisconnected> {
        while self.backlog.bytes.load(Ordering::Relaxed) >= MAX_PENDING_BYTES {
            tokio::select! {
                () = self.backlog.polled.notified() => {}
                () = self.tx.closed() => return Err(CallerDisconnected),
            }
        }
        let held = tokio::select! {
            held = self.memory.acquire(events.len()) => held,
            () = self.tx.closed() => return Err(CallerDisconnected),
        };
        self.backlog.bytes.fetch_add(events.len(), Ordering::Relaxed);
        self.tx.send(Part::Chunk(events, held)).map_err(|_| CallerDisconnected)
    }

    /// Ends the body, which is complete.
    pub fn end(self) {
        // The receiver may be gone already.
        let _ = self.tx.send(Part::End);
    }

    /// Waits until the caller's connection is closed.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}
