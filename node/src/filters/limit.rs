//! Limits on the number of open requests and on the size and transfer time of request bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use leadstage_lib::code::Code;
use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;

use crate::filters::authenticate::Authenticated;
use crate::refusal::Refusal;
use crate::shared::OpenGuard;
use crate::shared::OpenLimit;
use crate::shared::Readiness;
use crate::shared::Shared;

/// Bytes of a body beyond the bundle's limit that are read and discarded. A caller slightly over the limit
/// then receives the refusal, while an endless body cannot keep a node busy.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Timeout for reading a body that is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts the request as open. Refuses it if the node is not ready or closed, or if a limit is reached.
pub fn open(shared: &Arc<Shared>, cx: &Authenticated) -> Result<OpenGuard, Refusal> {
    match shared.readiness() {
        Readiness::NoBundle | Readiness::Alone => return Err(Refusal::new(Code::NotReady)),
        // A request that has arrived shows that the port is bound.
        Readiness::NoPort | Readiness::Ready | Readiness::Stopping => {}
    }
    let max_open = cx.organisation.max_open;
    let max_open_on_node = cx.bundle.bounds.max_open_per_node;
    let open = shared.open_guard(&cx.organisation.id, max_open, max_open_on_node);
    if shared.is_closed() {
        return Err(Refusal::new(Code::Stopping));
    }
    open.map_err(|limit| match limit {
        OpenLimit::Node => Refusal::new(Code::NodeLimit),
        OpenLimit::Organisation => Refusal::new(Code::OrganisationLimit),
    })
}

/// Reads the complete body, within the bundle's limits of size and time.
pub async fn read_body(cx: &Authenticated, body: RequestBody) -> Result<Bytes, Refusal> {
    let bounds = &cx.bundle.bounds;
    let reading = read_up_to(body, bounds.max_body_bytes);
    match tokio::time::timeout(bounds.body_within, reading).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::new(Code::SlowBody)),
    }
}

/// Reads and discards the unread body of a refused request, within limits of size and time. The server
/// closes a connection with unread bytes; a caller that reuses it immediately has its next request broken
/// (on a busy machine, after 5 in 100 refusals).
pub async fn discard(body: RequestBody) {
    // The request is refused whether or not its body can be read.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read_up_to(body, 0)).await;
}

/// Reads a body of at most `max_bytes` bytes. A larger one is refused only after it was read to its end, or
/// to [`MAX_DISCARDED_BYTES`] beyond the limit: a connection that is closed with unread bytes is reset, and
/// the caller does not receive the refusal.
async fn read_up_to(body: RequestBody, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    let mut read: usize = 0;
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| Refusal::with_detail(Code::BadRequest, "the body broke off"))?;
        read += chunk.len();
        if read <= max_bytes {
            buf.extend_from_slice(&chunk);
        } else if read > max_bytes + MAX_DISCARDED_BYTES {
            break;
        }
    }
    if read > max_bytes {
        let detail = format!("the body has more than {max_bytes} bytes");
        return Err(Refusal::with_detail(Code::BodyTooLarge, detail));
    }
    Ok(buf.freeze())
}
