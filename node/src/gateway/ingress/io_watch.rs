//! A caller's connection that records when it became idle and when the head of a request began to arrive,
//! so that changed limits apply to open connections too.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use leadstage_lib::gateway::routing::CallerLimits;
use leadstage_platform::arrival;
use leadstage_platform::patient_stream::PatientStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway::reset_on_close;

/// Interval between two checks of a connection whose request is being served: no limit applies then, and
/// the connection is polled whenever something happens on it.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// State of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Idle since then.
    Idle(Instant),
    /// The head of a request has been arriving since then.
    Head(Instant),
    /// A request is being served.
    Serving,
}

/// Activity of one connection, shared with the requests on it.
#[derive(Clone, Debug)]
pub struct Activity(Rc<Cell<ConnectionState>>);

/// Whether the connection's end marks the end of a response, shared with the requests on it.
#[derive(Clone, Debug, Default)]
pub struct EndsResponse(Rc<Cell<bool>>);

impl EndsResponse {
    /// Marks the response that is about to be sent.
    pub fn mark(&self) {
        self.0.set(true);
    }
}

impl Activity {
    /// State of a connection that has just been accepted.
    pub fn new() -> Self {
        Activity(Rc::new(Cell::new(ConnectionState::Idle(Instant::now()))))
    }

    /// Marks a request as being served until the guard is dropped.
    pub fn begin_serving(&self) -> ServingGuard {
        self.0.set(ConnectionState::Serving);
        ServingGuard(self.clone())
    }

    /// Whether no request is arriving or being served.
    pub fn is_idle(&self) -> bool {
        matches!(self.0.get(), ConnectionState::Idle(_))
    }

    /// Whether a request is being served.
    pub fn is_serving(&self) -> bool {
        matches!(self.0.get(), ConnectionState::Serving)
    }

    /// Waits while the head of a request is arriving. The same task has to poll the connection, so that it
    /// is woken when the head is complete.
    pub async fn wait_while_reading_head(&self) {
        let poll = |_: &mut Context<'_>| match self.0.get() {
            ConnectionState::Head(_) => Poll::Pending,
            ConnectionState::Idle(_) | ConnectionState::Serving => Poll::Ready(()),
        };
        std::future::poll_fn(poll).await;
    }

    /// Waits until the connection exceeds a limit. The limits may change: the task that polls this and the
    /// connection has to be woken when they do. After a suspension of the process, what has arrived is read
    /// first.
    pub async fn limit_exceeded(&self, limits: impl Fn() -> CallerLimits) {
        loop {
            let deadline = self.limit_due(&limits).await;
            if !arrival::is_late(deadline) {
                return;
            }
            tokio::time::sleep(arrival::READ_TIMEOUT).await;
            if self.limit_deadline(&limits()) == deadline {
                return;
            }
        }
    }

    /// Waits until a limit is due; returns when it was.
    async fn limit_due(&self, limits: impl Fn() -> CallerLimits) -> Instant {
        let mut timer = std::pin::pin!(tokio::time::sleep(SERVING_CHECK_INTERVAL));
        std::future::poll_fn(|cx| {
            loop {
                let deadline = self.limit_deadline(&limits());
                if deadline <= Instant::now() {
                    return Poll::Ready(deadline);
                }
                if deadline < timer.deadline() || timer.is_elapsed() {
                    timer.as_mut().reset(deadline);
                }
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    /// When the connection exceeds a limit if nothing happens on it.
    fn limit_deadline(&self, limits: &CallerLimits) -> Instant {
        match self.0.get() {
            ConnectionState::Serving => Instant::now() + SERVING_CHECK_INTERVAL,
            ConnectionState::Idle(since) => since + limits.idle,
            ConnectionState::Head(since) => since + limits.head_within,
        }
    }

    fn on_read(&self) {
        if self.is_idle() {
            self.0.set(ConnectionState::Head(Instant::now()));
        }
    }
}

/// Marks a request as being served until this is dropped.
pub struct ServingGuard(Activity);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.0.set(ConnectionState::Idle(Instant::now()));
    }
}

/// A caller's socket that records reads, and is reset unless it is shut down in order once its end marks the
/// end of a response.
pub struct WatchedIo {
    stream: PatientStream,
    activity: Activity,
    ends_response: EndsResponse,
    resets_on_close: bool,
}

impl WatchedIo {
    /// Wraps `stream` and records its reads in `activity`.
    pub fn new(stream: TcpStream, activity: Activity, ends_response: EndsResponse) -> Self {
        WatchedIo { stream: PatientStream::new(stream), activity, ends_response, resets_on_close: false }
    }

    fn set_resets_on_close(&mut self, resets: bool) -> io::Result<()> {
        if resets != self.resets_on_close {
            reset_on_close::set(self.stream.get_ref(), resets)?;
            self.resets_on_close = resets;
        }
        Ok(())
    }

    fn before_write(&mut self) -> io::Result<()> {
        self.set_resets_on_close(self.ends_response.0.get())
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
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
