//! Bytes of requests and responses that a node holds for callers and replicas, bounded for the whole node.
//!
//! Callers and replicas may read slowly, and whatever they have not read yet occupies the VM's memory.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Notify;

/// Share of the VM's memory that may be held. The rest is for the process, the connections' buffers and the
/// node's state.
const MAX_MEMORY_SHARE: f64 = 0.3;
/// Share of the bound from which on new requests are refused: requests in progress need the rest.
const NEW_REQUEST_SHARE: f64 = 0.7;

/// Largest buffer that is preallocated for a body of announced length: its sender may send less.
const MAX_PREALLOCATED_BYTES: usize = 256 << 10;

/// Counts the bytes that a node holds and bounds them.
#[derive(Debug)]
pub struct HeldBytes {
    max: usize,
    held: AtomicUsize,
    freed: Notify,
}

impl HeldBytes {
    /// Creates a counter at zero for a VM with `memory_bytes` of memory.
    pub fn new(memory_bytes: usize) -> Arc<Self> {
        let max = (memory_bytes as f64 * MAX_MEMORY_SHARE) as usize;
        Arc::new(HeldBytes { max, held: AtomicUsize::new(0), freed: Notify::new() })
    }

    /// Number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether another request may be accepted.
    pub fn accepts_requests(&self) -> bool {
        (self.held() as f64) < self.max as f64 * NEW_REQUEST_SHARE
    }

    /// Returns a guard that holds no bytes.
    pub fn empty_guard(self: &Arc<Self>) -> HeldGuard {
        HeldGuard { owner: self.clone(), bytes: 0 }
    }

    /// Holds `bytes` if there is room for them.
    pub fn try_acquire(self: &Arc<Self>, bytes: usize) -> Option<HeldGuard> {
        let add = |held: usize| held.checked_add(bytes).filter(|held| *held <= self.max);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(HeldGuard { owner: self.clone(), bytes })
    }

    /// Holds `bytes`, at most as many as the bound, as soon as there is room for them.
    pub async fn acquire(self: &Arc<Self>, bytes: usize) -> HeldGuard {
        loop {
            let mut freed = std::pin::pin!(self.freed.notified());
            // Registered before the attempt, so that bytes released in between are not missed.
            freed.as_mut().enable();
            if let Some(held) = self.try_acquire(bytes.min(self.max)) {
                return held;
            }
            freed.await;
        }
    }
}

/// Maximum size of a block of a body that is being read, if no chunk is larger.
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// A buffer has at most its bytes divided by this as spare capacity.
const MAX_SPARE_DIVISOR: usize = 8;

/// Reads a body to its end and holds the bytes of each chunk as it arrives. Returns `None` if there is no
/// room; the rest of the body is read all the same, as its sender may read a response only after that.
pub async fn collect<B>(
    mut body: B,
    mut acquire: impl AsyncFnMut(usize) -> Option<HeldGuard>,
) -> Result<Option<(Bytes, Option<HeldGuard>)>, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().unwrap_or(0) as usize;
    let mut blocks = Blocks::with_capacity(announced.min(MAX_PREALLOCATED_BYTES));
    let mut total: Option<HeldGuard> = None;
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else { continue };
        if !has_room || chunk.is_empty() {
            continue;
        }
        match (acquire(chunk.len()).await, &mut total) {
            (Some(held), Some(total)) => total.merge(held),
            (Some(held), None) => total = Some(held),
            (None, _) => {
                has_room = false;
                (blocks, total) = (Blocks::with_capacity(0), None);
                continue;
            }
        }
        blocks.push(&chunk);
    }
    Ok(has_room.then(|| (blocks.into_bytes(), total)))
}

/// The bytes of a body that is being read. One buffer that grows would occupy up to three times its bytes: it is
/// copied to a larger one, and has spare capacity.
struct Blocks {
    full: Vec<BytesMut>,
    last: BytesMut,
    bytes: usize,
}

impl Blocks {
    fn with_capacity(bytes: usize) -> Self {
        Blocks { full: Vec::new(), last: BytesMut::with_capacity(bytes), bytes: 0 }
    }

    fn push(&mut self, chunk: &[u8]) {
        let (now, rest) = chunk.split_at(chunk.len().min(self.last.capacity() - self.last.len()));
        self.last.extend_from_slice(now);
        self.bytes += chunk.len();
        if rest.is_empty() {
            return;
        }
        let capacity = (self.bytes / MAX_SPARE_DIVISOR).min(MAX_BLOCK_BYTES).max(rest.len());
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.full.push(full);
        }
        self.last.extend_from_slice(rest);
    }

    /// All bytes in one buffer without much spare capacity, which would occupy memory too without being counted.
    fn into_bytes(self) -> Bytes {
        let spare = self.last.capacity() - self.last.len();
        if self.full.is_empty() && spare <= self.bytes / MAX_SPARE_DIVISOR {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.bytes);
        for block in self.full {
            whole.extend_from_slice(&block);
        }
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}

/// Bytes that are held until this guard is dropped.
#[derive(Debug)]
pub struct HeldGuard {
    owner: Arc<HeldBytes>,
    bytes: usize,
}

impl HeldGuard {
    /// Adds the bytes of another guard to this one.
    pub fn merge(&mut self, mut other: HeldGuard) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases `bytes`, at most as many as this guard holds.
    pub fn release(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.owner.held.fetch_sub(bytes, Ordering::Relaxed);
        self.owner.freed.notify_waiters();
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
