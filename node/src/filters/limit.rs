//! Bounds on what a request may cost: open requests, and the body's size and time.

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

/// Bytes of a body that are read and thrown away beyond the bundle's limit. Callers who are
/// a little over it see why they are refused; nobody keeps a node busy with an endless body.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Time for a body that nobody wants to arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts the request as open, unless a limit is reached.
pub fn open(shared: &Arc<Shared>, cx: &Authenticated) -> Result<OpenGuard, Refusal> {
    match shared.readiness() {
        Readiness::NoBundle | Readiness::Alone => return Err(Refusal::new(Code::NotReady)),
        Readiness::Ready | Readiness::Stopping => {}
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

/// Reads the body whole, within the bundle's size and time.
pub async fn read_body(cx: &Authenticated, body: RequestBody) -> Result<Bytes, Refusal> {
    let bounds = &cx.bundle.bounds;
    let reading = read_up_to(body, bounds.max_body_bytes);
    match tokio::time::timeout(bounds.body_within, reading).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::new(Code::SlowBody)),
    }
}

/// Reads what a refused request left unread, within bounds. A connection with unread bytes is closed,
/// and a caller that used it again at once had its next request broken: on a busy machine after 5 in
/// 100 refusals.
pub async fn discard(body: RequestBody) {
    // The refusal stands, whatever becomes of the body.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read_up_to(body, 0)).await;
}

/// Reads a body of at most `most` bytes. A larger one is refused once its end has come: a
/// connection that is closed with bytes unread is reset, and the refusal is lost with it.
async fn read_up_to(body: RequestBody, most: usize) -> Result<Bytes, Refusal> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    let mut read: usize = 0;
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| Refusal::with_detail(Code::BadRequest, "the body broke off"))?;
        read += chunk.len();
        if read <= most {
            buf.extend_from_slice(&chunk);
        } else if read > most + MAX_DISCARDED_BYTES {
            break;
        }
    }
    if read > most {
        let detail = format!("the body has more than {most} bytes");
        return Err(Refusal::with_detail(Code::BodyTooLarge, detail));
    }
    Ok(buf.freeze())
}
