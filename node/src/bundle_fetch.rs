//! Fetches bundles from other entry VMs.
//!
//! A bundle may be large and the link to a peer small, so it comes on a connection of its own:
//! probes do not wait behind it, and its failure does not end theirs.

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

/// Fetches the bundle of a peer that has a newer one, and considers it. One is fetched at a time:
/// each message of a peer meanwhile tells of it again.
pub fn start(control: &ControlRef, from: &VmId) {
    if std::mem::replace(&mut control.borrow_mut().fetches_bundle, true) {
        return;
    }
    tokio::task::spawn_local(run(control.clone(), from.clone()));
}

async fn run(control: ControlRef, from: VmId) {
    let above = control.borrow().shared.bundle().map_or(0, |b| b.number);
    match fetch(&control, &from, above).await {
        Ok(bytes) if bytes.is_empty() => {}
        Ok(bytes) => bundle_watch::consider(&control, &bytes, &from),
        Err(err) => {
            warn!(event = "bundle_not_fetched", from = &*from, reason:% = err; "a peer's bundle was not fetched")
        }
    }
    control.borrow_mut().fetches_bundle = false;
}

/// The peer's bundle if its number is above `above`; empty otherwise.
async fn fetch(control: &ControlRef, vm: &VmId, above: BundleNumber) -> Result<Vec<u8>, PeerError> {
    let address = peers::address_of(&control.borrow(), vm)?;
    let (reader, writer) = peers::open(address).await?.compat().split();
    let received = Rc::new(Cell::new(0));
    let reader = CountingReader { reader, received: received.clone() };
    let (client, system) = peers::bootstrap(reader, writer);
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(system));
    let mut call = client.fetch_bundle_request();
    call.get().set_above(above);
    let answer = while_it_comes_on(call.send().promise, &received).await?;
    Ok(answer.get()?.get_envelope()?.to_vec())
}

/// Waits for a call as long as bytes of its answer come on, by the rule for large answers of the
/// platform. A bundle of 0.3 MB at 100 kB/s takes three seconds, and was not there after 60 s while
/// it had to be whole within one.
async fn while_it_comes_on<T>(
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

/// Counts what is read.
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
