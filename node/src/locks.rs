//! Locks that outlive a panic.
//!
//! A panic in a task of the traffic thread ends one connection. If it poisoned a lock for good, it would end each
//! later holder as well, and on the control thread the process. The values behind the node's locks are replaced
//! as a whole, or stay usable if an update of them is incomplete.

use std::panic::Location;
use std::sync::LockResult;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;

use log::warn;

/// Locks a mutex, also after a panic of an earlier holder.
#[track_caller]
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    recovered(mutex.lock(), || mutex.clear_poison())
}

/// Locks for reading, also after a panic of an earlier holder.
#[track_caller]
pub fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    recovered(lock.read(), || lock.clear_poison())
}

/// Locks for writing, also after a panic of an earlier holder.
#[track_caller]
pub fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    recovered(lock.write(), || lock.clear_poison())
}

/// Returns the guard. After a panic of an earlier holder, logs that once and clears the mark of the lock.
#[track_caller]
fn recovered<G>(locked: LockResult<G>, clear_poison: impl FnOnce()) -> G {
    let at = Location::caller();
    locked.unwrap_or_else(|poisoned| {
        clear_poison();
        warn!(event = "lock_poisoned", at:% = at; "an earlier holder of this lock panicked");
        poisoned.into_inner()
    })
}
