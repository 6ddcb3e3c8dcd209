//! A stand-in for a peer whose answers do not end: it sends some bytes again and again until the connection
//! closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::loopback;

/// Bytes that are written at once: the repeated ones, as often as they fit.
const PART_BYTES: usize = 32 << 10;
/// Size of a connection's send buffer, so that [`EndlessServer::sent_bytes`] shows what the client reads.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Maximum number of bytes that the kernel keeps of one connection, sent and not read: the send buffer and the
/// first receive buffer, which it enlarges only while the client reads.
pub const MAX_UNREAD_BYTES: usize = 1 << 20;
/// The same for a client that has read some megabytes: the kernel's default maximum is 6 MB.
pub const MAX_UNREAD_BYTES_OF_FAST_CLIENT: usize = 8 << 20;
/// Maximum size of a request's head.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// What is sent in answer to a request. `{id}` in `start` stands for the request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndlessAnswer {
    /// What is sent first.
    pub start: &'static str,
    /// What is sent again and again; if empty, the connection just stays open.
    pub repeated: &'static str,
    /// Pause after each time; without one, many are sent at once.
    pub pause: Duration,
}

impl EndlessAnswer {
    /// Returns an answer that sends `repeated` without pauses.
    pub const fn new(start: &'static str, repeated: &'static str) -> Self {
        EndlessAnswer { start, repeated, pause: Duration::ZERO }
    }
}

/// Informational heads without end.
pub const INFORMATIONAL_HEADS: EndlessAnswer = EndlessAnswer::new("", "HTTP/1.1 102 Processing\r\n\r\n");
/// A header line without end.
pub const HEADER_LINE: EndlessAnswer = EndlessAnswer::new("HTTP/1.1 200 OK\r\nx: ", "x");
/// Header lines without end.
pub const HEADER_LINES: EndlessAnswer = EndlessAnswer::new("HTTP/1.1 200 OK\r\n", "x: y\r\n");
/// Blank lines without end.
pub const BLANK_LINES: EndlessAnswer = EndlessAnswer::new("", "\r\n");
/// A chunk extension without end.
pub const CHUNK_EXTENSION: EndlessAnswer = EndlessAnswer::new(
    "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
    "x",
);
/// Trailers without end.
pub const TRAILERS: EndlessAnswer = EndlessAnswer::new(
    "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n",
    "x: y\r\n",
);
/// A body of white space without end, in chunks of 64 bytes.
pub const CHUNKS: EndlessAnswer = EndlessAnswer::new(
    "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n",
    "40\r\n                                                                \r\n",
);
/// A body of white space without end, without a length or chunks.
pub const WHITE_SPACE: EndlessAnswer =
    EndlessAnswer::new("HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\n\r\n", " ");

/// A body of an announced length that it does not reach.
pub const LONG_BODY: EndlessAnswer = EndlessAnswer {
    start: "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-length: 4000000\r\n\r\n",
    repeated: "                                                                ",
    pause: Duration::from_millis(5),
};
/// An event stream without end.
pub const EVENTS: EndlessAnswer = EndlessAnswer::new(
    "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-type: text/event-stream\r\n\r\n",
    "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n",
);
/// An event without end.
pub const EVENT: EndlessAnswer = EndlessAnswer::new(
    "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
    "x",
);

/// An event stream of comments without end.
pub const COMMENTS: EndlessAnswer = EndlessAnswer {
    start: "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-type: text/event-stream\r\n\r\n",
    repeated: ": still here\n\n",
    pause: Duration::from_millis(5),
};
/// An event stream of blank lines without end.
pub const BLANK_EVENTS: EndlessAnswer = EndlessAnswer { repeated: "\n", ..COMMENTS };

#[derive(Debug, Default)]
struct Counts {
    requests: Vec<String>,
    open: usize,
    sent_bytes: usize,
}

/// A running server; dropping it closes its port and all connections.
pub struct EndlessServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    _accept_task: AbortOnDropHandle<()>,
}

impl EndlessServer {
    /// Starts a server on a free port of `ip` that answers each request with `answer`.
    pub async fn start(ip: &str, answer: EndlessAnswer) -> Self {
        let listener = loopback::listen(loopback::any_port(ip)).expect("a port of the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let counts: Arc<Mutex<Counts>> = Arc::default();
        let shared = counts.clone();
        let accept_task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let stream = loopback::accept(&listener).await;
                connections.spawn(serve(stream, answer, shared.clone()));
            }
        });
        EndlessServer { address, counts, _accept_task: AbortOnDropHandle::new(accept_task) }
    }

    /// Request lines so far.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.counts).requests.clone()
    }

    /// Bytes sent so far on all connections, including those in buffers of the kernel.
    pub fn sent_bytes(&self) -> usize {
        lock(&self.counts).sent_bytes
    }

    /// Number of connections whose clients have not closed them after a request.
    pub fn open_connections(&self) -> usize {
        lock(&self.counts).open
    }
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().expect("no holder panics")
}

async fn serve(mut stream: TcpStream, answer: EndlessAnswer, counts: Arc<Mutex<Counts>>) {
    stream.set_nodelay(true).expect("a TCP socket");
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES).expect("a valid size");
    let Some(head) = read_head(&mut stream).await else {
        return;
    };
    {
        let mut counts = lock(&counts);
        counts.requests.push(head.lines().next().unwrap_or_default().to_owned());
        counts.open += 1;
    }
    let id = head.lines().find_map(|line| line.strip_prefix("leadstage-request-id: ")).unwrap_or_default();
    send(stream, answer, id, |sent| lock(&counts).sent_bytes += sent).await;
    lock(&counts).open -= 1;
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") && buf.len() < MAX_REQUEST_BYTES {
        buf.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&buf).into_owned())
}

/// Sends the answer to the request `id` until the client closes the connection, and passes on how many bytes.
pub(crate) async fn send(mut stream: TcpStream, answer: EndlessAnswer, id: &str, on_sent: impl Fn(usize)) {
    let repeats = if answer.pause.is_zero() { PART_BYTES / answer.repeated.len().max(1) } else { 1 };
    let part = answer.repeated.repeat(repeats);
    let mut next = answer.start.replace("{id}", id);
    while let Ok(sent) = stream.write(next.as_bytes()).await {
        on_sent(sent);
        next.drain(..sent);
        if next.is_empty() && part.is_empty() {
            // The client sends nothing more, so that this waits until it closes the connection.
            let _ = stream.read_u8().await;
            return;
        }
        if next.is_empty() {
            next.push_str(&part);
            tokio::time::sleep(answer.pause).await;
        }
    }
}
