//! Fetches bundles from other entry VMs.
//!
//! A bundle can be large and the link to a peer slow, so each fetch opens its own connection: probes do not
//! queue behind it, and a failed fetch does not close the connection that probes use.

use std::cell::Cell;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use futures::AsyncRead;
use futures::AsyncReadExt;
use leadstage_lib::ids::BundleNumber;
use leadstage_lib::ids::VmId;
use leadstage_platform::connect::MIN_PROGRESS_BYTES;
use leadstage_platform::connect::STALL_TIMEOUT;
use log::warn;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::task::AbortOnDropHandle;

use crate::bundle_watch;
use crate::control::ControlRef;
use crate::peers;
use crate::peers::PeerError;

/// Fetches the bundle of a peer that announced a newer one, and applies it if it is newer and valid. Only one
/// fetch runs at a time; an announcement that arrives meanwhile is ignored, as the next gossip message of
/// that peer repeats it.
pub fn start(control: &ControlRef, from: &VmId) {
    if std::mem::replace(&mut control.borrow_mut().fetching_bundle, true) {
        return;
    }
    tokio::task::spawn_local(run(control.clone(), from.clone()));
}

async fn run(control: ControlRef, from: VmId) {
    let above = control.borrow().shared.bundle().map_or(0, |b| b.number);
    match fetch(&control, &from, above).await {
        Ok(bytes) if bytes.is_empty() => {}
        Ok(bytes) => bundle_watch::apply_if_newer(&control, &bytes, &from),
        Err(err) => {
            warn!(event = "bundle_not_fetched", from = &*from, reason:% = err; "failed to fetch the bundle of a peer")
        }
    }
    control.borrow_mut().fetching_bundle = false;
}

/// Returns the envelope of the peer's bundle if its number is above `above`, and an empty vector otherwise.
async fn fetch(control: &ControlRef, vm: &VmId, above: BundleNumber) -> Result<Vec<u8>, PeerError> {
    let address = peers::address_of(&control.borrow(), vm)?;
    let (reader, writer) = peers::open(address).await?.compat().split();
    let received = Rc::new(Cell::new(0));
    let reader = CountingReader { reader, received: received.clone() };
    let (client, system) = peers::bootstrap(reader, writer);
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(system));
    let mut call = client.fetch_bundle_request();
    call.get().set_above(above);
    let answer = await_with_progress(call.send().promise, &received).await?;
    Ok(answer.get()?.get_envelope()?.to_vec())
}

/// Waits for the response of a call as long as it makes progress: at least [`MIN_PROGRESS_BYTES`] bytes in every
/// [`STALL_TIMEOUT`], as for large responses of the platform. A fixed timeout does not fit: a bundle of 0.3 MB
/// takes 3 s at 100 kB/s, and with a limit of 1 s for the whole response it was not there after 60 s.
async fn await_with_progress<T>(
    call: impl Future<Output = Result<T, capnp::Error>>,
    received: &Cell<usize>,
) -> Result<T, PeerError> {
    let mut call = pin!(call);
    loop {
        let before = received.get();
        if let Ok(result) = tokio::time::timeout(STALL_TIMEOUT, call.as_mut()).await {
            return Ok(result?);
        }
        if received.get() - before < MIN_PROGRESS_BYTES {
            return Err(PeerError::NoAnswer);
        }
    }
}

/// A reader that counts the bytes it has read.
struct CountingReader<R> {
    reader: R,
    received: Rc<Cell<usize>>,
}

impl<R: AsyncRead + Unpin> AsyncRead for CountingReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.reader).poll_read(cx, buf);
        if let Poll::Ready(Ok(read)) = &read {
            self.received.set(self.received.get() + read);
        }
        read
    }
}
