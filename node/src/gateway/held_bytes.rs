//! Bytes of requests and answers that a node holds for callers and replicas, bounded for the whole node.
//!
//! Callers and replicas may read slowly, and whatever they have not taken yet takes the VM's memory.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;

/// Part of the VM's memory that may be held. The rest is for the process, the connections' buffers and what the
/// node knows.
const PART_OF_MEMORY: f64 = 0.3;
/// From this part of the bound on new requests are refused: what is under way already needs the rest.
const PART_FOR_NEW: f64 = 0.7;

/// Bytes that are reserved at once at most for a body of announced length: its sender may send less.
const MOST_RESERVED: usize = 256 << 10;

/// What a node holds.
#[derive(Debug)]
pub struct HeldBytes {
    most: usize,
    held: AtomicUsize,
    freed: Notify,
}

impl HeldBytes {
    /// Nothing yet, on a VM with so many bytes of memory.
    pub fn new(memory_bytes: usize) -> Arc<Self> {
        let most = (memory_bytes as f64 * PART_OF_MEMORY) as usize;
        Arc::new(HeldBytes { most, held: AtomicUsize::new(0), freed: Notify::new() })
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether another request may be taken.
    pub fn takes_requests(&self) -> bool {
        (self.held() as f64) < self.most as f64 * PART_FOR_NEW
    }

    /// Holds nothing.
    pub fn nothing(self: &Arc<Self>) -> Held {
        Held { by: self.clone(), bytes: 0 }
    }

    /// Holds bytes if there is room for them.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        let more = |held: usize| held.checked_add(bytes).filter(|held| *held <= self.most);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(Held { by: self.clone(), bytes })
    }

    /// Holds bytes as soon as there is room for them.
    pub async fn take_when_free(self: &Arc<Self>, bytes: usize) -> Held {
        loop {
            let mut freed = std::pin::pin!(self.freed.notified());
            // Enabled before the look, so that nothing that is freed between is missed.
            freed.as_mut().enable();
            if let Some(held) = self.take(bytes.min(self.most)) {
                return held;
            }
            freed.await;
        }
    }
}

/// Reads a body to its end, and holds each part of it as it comes. `None` if there is no room; the rest of the body is
/// read all the same, as its sender may look for an answer only then.
pub async fn collect<B>(
    mut body: B,
    mut take: impl AsyncFnMut(usize) -> Option<Held>,
) -> Result<Option<(Bytes, Option<Held>)>, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().unwrap_or(0) as usize;
    let mut parts = BytesMut::with_capacity(announced.min(MOST_RESERVED));
    let mut all: Option<Held> = None;
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame?.into_data() else { continue };
        if !has_room || part.is_empty() {
            continue;
        }
        match (take(part.len()).await, &mut all) {
            (Some(held), Some(all)) => all.join(held),
            (Some(held), None) => all = Some(held),
            (None, _) => {
                has_room = false;
                (parts, all) = (BytesMut::new(), None);
                continue;
            }
        }
        parts.extend_from_slice(&part);
    }
    // What was reserved beyond would be held as well, and counted by nobody.
    let is_tight = parts.capacity() - parts.len() <= parts.len() / 8;
    let whole = if is_tight { parts.freeze() } else { Bytes::copy_from_slice(&parts) };
    Ok(has_room.then_some((whole, all)))
}

/// Some held bytes, until this is dropped.
#[derive(Debug)]
pub struct Held {
    by: Arc<HeldBytes>,
    bytes: usize,
}

impl Held {
    /// Adds what another one holds.
    pub fn join(&mut self, mut other: Held) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Gives some of them back.
    pub fn give_back(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.by.held.fetch_sub(bytes, Ordering::Relaxed);
        self.by.freed.notify_waiters();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}
