//! Bounds on what a request may cost: open requests, and the body's size and time.

use std::sync::Arc;
use std::sync::atomic::Ordering;

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

/// Counts the request as open, unless a limit is reached.
pub fn open(shared: &Arc<Shared>, cx: &Authenticated) -> Result<OpenGuard, Refusal> {
    match shared.readiness() {
        Readiness::NoBundle | Readiness::Alone => return Err(Refusal::new(Code::NotReady)),
        Readiness::Ready | Readiness::Stopping => {}
    }
    if shared.closed.load(Ordering::Relaxed) {
        return Err(Refusal::new(Code::Stopping));
    }
    let most = cx.organisation.max_open;
    let most_all = cx.bundle.bounds.max_open_per_node;
    shared.open_guard(&cx.organisation.id, most, most_all).map_err(|limit| match limit {
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

async fn read_up_to(body: RequestBody, most: usize) -> Result<Bytes, Refusal> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| Refusal::with_detail(Code::BadRequest, "the body broke off"))?;
        if buf.len() + chunk.len() > most {
            let detail = format!("the body has more than {most} bytes");
            return Err(Refusal::with_detail(Code::BodyTooLarge, detail));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
