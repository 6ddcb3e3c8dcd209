//! A small HTTP server on `xitca-web` with one handler for all paths.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::body::Frame;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamBody;
use xitca_web::handler::handler_service;
use xitca_web::http::HeaderMap;
use xitca_web::http::Method;
use xitca_web::http::WebResponse;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete request.
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without `?`; empty if there is none.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns a value of the query without percent-decoding it.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Returns a response with a complete body.
pub fn respond(status: u16, body: impl Into<Bytes>) -> WebResponse {
    let body: Bytes = body.into();
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status.try_into().expect("a valid status");
    res
}

/// Returns a response with a JSON body.
pub fn respond_json<T: serde::Serialize>(status: u16, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).expect("plain data serialises");
    let mut res = respond(status, body);
    let json = "application/json".parse().expect("a valid header");
    res.headers_mut().insert("content-type", json);
    res
}

/// Returns a response that streams server-sent events; an error item closes the connection.
pub fn respond_stream<S>(stream: S) -> WebResponse
where
    S: Stream<Item = std::io::Result<Bytes>> + 'static,
{
    let frames = stream.map(|chunk| chunk.map(Frame::Data));
    let mut res = WebResponse::new(ResponseBody::boxed(StreamBody::new(frames)));
    let kind = "text/event-stream".parse().expect("a valid header");
    res.headers_mut().insert("content-type", kind);
    res
}

/// A handler of all requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, req: Request) -> impl Future<Output = WebResponse>;
}

/// Serves on `address` until the process receives a signal to stop.
pub fn serve<H: Handler>(address: SocketAddr, threads: usize, handler: H) -> std::io::Result<()> {
    App::new()
        .with_state(handler)
        .at("/{*path}", handler_service(dispatch::<H>))
        .serve()
        .worker_threads(threads)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .bind(address)?
        .run()
        .wait()
}

async fn dispatch<H: Handler>(cx: &WebContext<'_, H>) -> WebResponse {
    let body_stream = std::mem::take(&mut *cx.body_borrow_mut());
    let mut body = std::pin::pin!(body_stream);
    let mut buf = Vec::new();
    while let Some(chunk) = body.as_mut().data().await {
        let Ok(chunk) = chunk else { return respond(400, "body") };
        buf.extend_from_slice(chunk.as_ref());
        if buf.len() > MAX_BODY_BYTES {
            return respond(413, "body too large");
        }
    }
    let req = Request {
        method: cx.req().method().clone(),
        path: cx.req().uri().path().to_owned(),
        query: cx.req().uri().query().unwrap_or("").to_owned(),
        headers: cx.req().headers().clone(),
        body: buf.into(),
    };
    cx.state().handle(req).await
}
