//! A replica that works on few calls at once, queues some more and turns the others away.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Semaphore;

/// The places of a replica.
#[derive(Debug)]
pub(super) struct Places {
    slots: Semaphore,
    /// Calls that run or wait, and how many of them there may be.
    calls: AtomicUsize,
    max_calls: usize,
    work: Duration,
}

/// A call's place; frees it on drop.
pub(super) struct Place(Arc<Places>);

impl Places {
    /// Creates free places: `slots` calls run at once, each for `work`, and `queue` more wait.
    pub(super) fn new(slots: usize, queue: usize, work: Duration) -> Self {
        Places { slots: Semaphore::new(slots), calls: AtomicUsize::new(0), max_calls: slots + queue, work }
    }

    /// Takes a place, if one is free.
    pub(super) fn take(self: &Arc<Self>) -> Option<Place> {
        let place = Place(self.clone());
        (self.calls.fetch_add(1, Ordering::Relaxed) < self.max_calls).then_some(place)
    }
}

impl Place {
    /// Waits for a slot and runs the call.
    pub(super) async fn work(&self) {
        let _slot = self.0.slots.acquire().await.expect("it is never closed");
        tokio::time::sleep(self.0.work).await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
