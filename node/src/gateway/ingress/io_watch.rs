//! A caller's connection that records when it became idle and when the head of a request began to arrive,
//! so that changed limits apply to open connections too.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
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
    /// A response is being sent. The limit of idle connections counts from this time, the request's deadline or
    /// the beginning of a late response.
    Responding(Instant),
    /// The connection has taken all of a response and sends the rest. The limit of idle connections counts from
    /// this time.
    Flushing(Instant),
}

/// Activity of one connection, shared with the requests on it.
#[derive(Clone, Debug)]
pub struct Activity(Rc<ConnectionActivity>);

#[derive(Debug)]
struct ConnectionActivity {
    state: Cell<ConnectionState>,
    /// Id of the latest request.
    request: RefCell<String>,
    /// Whether the connection broke before its caller had all of a response.
    is_response_cut: Cell<bool>,
}

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
        Activity(Rc::new(ConnectionActivity {
            state: Cell::new(ConnectionState::Idle(Instant::now())),
            request: RefCell::default(),
            is_response_cut: Cell::new(false),
        }))
    }

    /// Marks a request as being served, and then its response as being sent, until all guards are dropped.
    pub fn begin_serving(&self, request: &str) -> ServingGuard {
        request.clone_into(&mut self.0.request.borrow_mut());
        self.0.state.set(ConnectionState::Serving);
        let serving = Serving { activity: self.clone(), deadline: Cell::new(Instant::now()) };
        ServingGuard(Rc::new(serving))
    }

    /// Whether a request is being served, or its response is being sent within the limit of idle connections.
    pub fn is_serving(&self, limits: &CallerLimits) -> bool {
        match self.0.state.get() {
            ConnectionState::Idle(_) | ConnectionState::Head(_) => false,
            ConnectionState::Serving => true,
            ConnectionState::Responding(_) | ConnectionState::Flushing(_) => {
                self.limit_deadline(limits) > Instant::now()
            }
        }
    }

    /// The id of the latest request, if the connection has ended before its caller had all of the response.
    pub fn cut_response(&self) -> Option<Ref<'_, str>> {
        let is_cut = self.0.is_response_cut.get() || self.is_sending();
        is_cut.then(|| Ref::map(self.0.request.borrow(), String::as_str))
    }

    fn is_sending(&self) -> bool {
        matches!(self.0.state.get(), ConnectionState::Responding(_) | ConnectionState::Flushing(_))
    }

    /// Waits while the head of a request is arriving. The same task has to poll the connection, so that it
    /// is woken when the head is complete.
    pub async fn wait_while_reading_head(&self) {
        let poll = |_: &mut Context<'_>| match self.0.state.get() {
            ConnectionState::Head(_) => Poll::Pending,
            ConnectionState::Idle(_)
            | ConnectionState::Serving
            | ConnectionState::Responding(_)
            | ConnectionState::Flushing(_) => Poll::Ready(()),
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
        match self.0.state.get() {
            ConnectionState::Serving => Instant::now() + SERVING_CHECK_INTERVAL,
            ConnectionState::Idle(since)
            | ConnectionState::Responding(since)
            | ConnectionState::Flushing(since) => since + limits.idle,
            ConnectionState::Head(since) => since + limits.head_within,
        }
    }

    fn on_flushed(&self) {
        if matches!(self.0.state.get(), ConnectionState::Flushing(_)) {
            self.0.state.set(ConnectionState::Idle(Instant::now()));
        }
    }

    fn on_read(&self) {
        if matches!(self.0.state.get(), ConnectionState::Idle(_) | ConnectionState::Flushing(_)) {
            self.0.state.set(ConnectionState::Head(Instant::now()));
        }
    }
}

/// A request that is being served.
struct Serving {
    activity: Activity,
    /// Until when its caller waits; the time of its arrival while that is not known.
    deadline: Cell<Instant>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        let flushing_since = Instant::now().max(self.deadline.get());
        self.activity.0.state.set(ConnectionState::Flushing(flushing_since));
    }
}

/// Marks a request as being served, and then its response as being sent, until this and its clones are dropped.
#[derive(Clone)]
pub struct ServingGuard(Rc<Serving>);

impl ServingGuard {
    /// Sets until when the caller waits for the response.
    pub fn set_deadline(&self, deadline: Instant) {
        self.0.deadline.set(deadline);
    }

    /// The response begins. The limit of idle connections counts from the deadline, if that is still to come.
    pub fn begin_response(&self) {
        let since = Instant::now().max(self.0.deadline.get());
        self.0.activity.0.state.set(ConnectionState::Responding(since));
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

    /// Passes on a result of the connection, and records whether an error cuts off a response.
    fn observe<T>(&self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(polled, Poll::Ready(Err(_)))
            && (self.activity.is_sending() || self.stream.has_unacknowledged())
        {
            self.activity.0.is_response_cut.set(true);
        }
        polled
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
        self.observe(polled)
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.observe(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.observe(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.on_flushed();
        }
        self.observe(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
