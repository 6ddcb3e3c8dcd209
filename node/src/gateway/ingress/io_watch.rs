//! A caller's connection that knows when bytes last came in, so that limits which change
//! hold for open connections too.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use leadstage_lib::gateway::routing::CallerLimits;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// Nothing since then.
    Idle(Instant),
    /// A request's head has been arriving since then.
    Head(Instant),
    /// A request is being served.
    Serving,
}

/// Activity of one connection, shared with the requests on it.
#[derive(Clone, Debug)]
pub struct Activity(Rc<Cell<Doing>>);

impl Activity {
    /// A connection that has just come.
    pub fn new() -> Self {
        Activity(Rc::new(Cell::new(Doing::Idle(Instant::now()))))
    }

    /// A request is served until the guard is dropped.
    pub fn serving(&self) -> Serving {
        self.0.set(Doing::Serving);
        Serving(self.clone())
    }

    /// Whether no request is served or arriving.
    pub fn is_idle(&self) -> bool {
        matches!(self.0.get(), Doing::Idle(_))
    }

    /// When to look again; `None` if the connection broke a limit.
    pub fn check(&self, limits: &CallerLimits) -> Option<Duration> {
        let (since, limit) = match self.0.get() {
            Doing::Serving => return Some(limits.idle.min(limits.head_within)),
            Doing::Idle(since) => (since, limits.idle),
            Doing::Head(since) => (since, limits.head_within),
        };
        limit.checked_sub(since.elapsed()).filter(|left| !left.is_zero())
    }

    fn on_read(&self) {
        if self.is_idle() {
            self.0.set(Doing::Head(Instant::now()));
        }
    }
}

/// A request is being served.
pub struct Serving(Activity);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Doing::Idle(Instant::now()));
    }
}

/// A caller's socket that notes reads.
pub struct WatchedIo {
    stream: TcpStream,
    activity: Activity,
}

impl WatchedIo {
    /// Watches `stream`.
    pub fn new(stream: TcpStream, activity: Activity) -> Self {
        WatchedIo { stream, activity }
    }
}

impl AsyncRead for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_read();
        }
        polled
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
