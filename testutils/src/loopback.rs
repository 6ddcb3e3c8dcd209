//! An in-process HTTP/1.1 server for tests, whose port and connections can be closed at any time.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::endless_server;
use crate::endless_server::EndlessAnswer;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A response body; an error closes the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A handler of all requests of a server.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. A response with an [`EndlessAnswer`] among its extensions stands for that answer.
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> impl Future<Output = Response<Body>> + Send;
}

/// A running server; dropping it closes its port and all connections.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Closes the port when notified; open connections stay open.
    pub close_port: Arc<Notify>,
    /// Closes all open connections when notified; the port stays open.
    pub close_connections: Arc<Notify>,
    /// Opens a closed port again when notified.
    pub open_port: Arc<Notify>,
    /// Stops the server when notified: its port and all connections close at once.
    pub shutdown: Arc<Notify>,
    _accept_task: AbortOnDropHandle<()>,
}

/// Returns a body of one frame.
pub fn full_body(text: impl Into<Bytes>) -> Body {
    let frame = futures::stream::once(std::future::ready(Ok(Frame::data(text.into()))));
    BodyExt::boxed_unsync(StreamBody::new(frame))
}

/// Returns a streamed body.
pub fn stream_body(stream: impl Stream<Item = std::io::Result<Bytes>> + Send + 'static) -> Body {
    let stream: Pin<Box<dyn Stream<Item = _> + Send>> = Box::pin(stream);
    BodyExt::boxed_unsync(StreamBody::new(futures::StreamExt::map(stream, |part| part.map(Frame::data))))
}

/// Number of a request on its connection, from 1; an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct RequestNumber(pub u32);

/// Starts a server on a free port of `ip`.
pub async fn serve<H: RequestHandler>(ip: &str, handler: Arc<H>) -> Server {
    let listener = listen(any_port(ip)).expect("a port of the address is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (close_port, open_port) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let close_connections = Arc::new(Notify::new());
    let (closing, opening) = (close_port.clone(), open_port.clone());
    let closing_connections = close_connections.clone();
    let serve_loop = async move {
        let mut connections = JoinSet::new();
        let mut listener = listener;
        loop {
            tokio::select! {
                () = closing.notified() => drop(listener),
                () = closing_connections.notified() => {
                    connections.abort_all();
                    continue;
                }
                never = accept_connections(&listener, &handler, &mut connections) => match never {},
            }
            opening.notified().await;
            listener = listen(address).expect("the port is still free");
        }
    };
    let shutdown = Arc::new(Notify::new());
    let shutting_down = shutdown.clone();
    let accept_task = tokio::spawn(async move {
        tokio::select! {
            () = shutting_down.notified() => {}
            () = serve_loop => {}
        }
    });
    Server {
        address,
        close_port,
        close_connections,
        open_port,
        shutdown,
        _accept_task: AbortOnDropHandle::new(accept_task),
    }
}

async fn accept_connections<H: RequestHandler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    connections: &mut JoinSet<()>,
) -> Infallible {
    loop {
        let stream = accept(listener).await;
        connections.spawn(serve_connection(stream, handler.clone()));
    }
}

/// The address of any free port of `ip`.
pub(crate) fn any_port(ip: &str) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("an IP address"), 0)
}

/// Listens with a queue for as many connections as a test opens at the same time.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection. A failed accept, for example for want of a file descriptor, concerns no
/// connection that is open: it is printed, and tried again.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                eprintln!("stand-in: a connection could not be accepted: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Arc<H>) {
    let number = AtomicU32::new(0);
    let endless = Mutex::new(None);
    let service = service_fn(|req: Request<Incoming>| {
        let handler = handler.clone();
        let number = RequestNumber(number.fetch_add(1, Ordering::Relaxed) + 1);
        let endless = &endless;
        async move {
            let (mut head, body) = req.into_parts();
            head.extensions.insert(number);
            let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let res = handler.handle(Request::from_parts(head, body)).await;
            match res.extensions().get::<EndlessAnswer>() {
                None => Ok(res),
                Some(answer) => {
                    *endless.lock().expect("no holder panics") = Some(*answer);
                    Err(io::Error::other("an answer that does not end"))
                }
            }
        }
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Errors can be ignored: the client observes how the connection ended.
    let _ = (&mut connection).await;
    let stream = connection.into_parts().io.into_inner();
    let answer = endless.lock().expect("no holder panics").take();
    if let Some(answer) = answer {
        endless_server::send(stream, answer, "", |_| ()).await;
    }
}
