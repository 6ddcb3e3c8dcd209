//! State of the object API's stand-in: versioned objects, conditional writes, call budgets and faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Budget of writes.
pub const WRITES_PER_SECOND: f64 = 100.0;
/// Budget of reads; a pending watch counts as one read.
pub const READS_PER_SECOND: f64 = 2_000.0;

/// A stored value with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Version of the latest write, from 1; versions increase with each write of any object.
    pub version: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// Reason why a write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The object has another version than expected.
    Conflict {
        /// Current version; 0 if the object is absent.
        current: u64,
    },
    /// The value is larger than `MAX_VALUE_BYTES`.
    TooLarge,
}

/// A store of objects by key.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, Object>,
    latest_version: u64,
}

impl ObjectStore {
    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let from_prefix = self.objects.range(prefix.to_owned()..);
        from_prefix.map(|(key, _)| key.clone()).take_while(|key| key.starts_with(prefix)).collect()
    }

    /// Writes an object if its current version is `expected`, 0 for an absent object, and returns the new
    /// version.
    pub fn put(&mut self, key: &str, expected: u64, value: Vec<u8>) -> Result<u64, WriteError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        let current = self.get(key).map_or(0, |o| o.version);
        if current != expected {
            return Err(WriteError::Conflict { current });
        }
        self.latest_version += 1;
        let version = self.latest_version;
        self.objects.insert(key.to_owned(), Object { version, value });
        Ok(version)
    }
}

/// A token bucket that limits calls per second.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    remaining: f64,
    updated_at: Instant,
}

impl CallBudget {
    /// Returns a full bucket of `rate` calls per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        CallBudget { rate, remaining: rate, updated_at: now }
    }

    /// Takes one call from the budget; returns false if the budget is used up.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.remaining = (self.remaining + elapsed.as_secs_f64() * self.rate).min(self.rate);
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}

/// Faults that are currently injected.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Every call fails immediately.
    pub down: bool,
    /// Delay added to every call.
    pub slow: Duration,
    /// Number of writes to come that take effect and whose response is lost.
    pub lost_responses: u32,
}
