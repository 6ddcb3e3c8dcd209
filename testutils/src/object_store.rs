//! The object API's state: versions, conditional updates, budgets and faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Bytes of a value at most.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Writes a second.
pub const WRITES_PER_SECOND: f64 = 100.0;
/// Reads a second; a waiting watch counts as one.
pub const READS_PER_SECOND: f64 = 2_000.0;

/// A stored value with its version; versions start at 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Rises with each write of any object.
    pub version: u64,
    /// The bytes.
    pub value: Vec<u8>,
}

/// Why a write was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The object has another version, 0 when it is absent.
    Conflict {
        /// Its version now.
        current: u64,
    },
    /// The value is over the limit.
    TooLarge,
}

/// Objects by key.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, Object>,
    latest_version: u64,
}

impl ObjectStore {
    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Keys that start with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let from_prefix = self.objects.range(prefix.to_owned()..);
        from_prefix.map(|(key, _)| key.clone()).take_while(|key| key.starts_with(prefix)).collect()
    }

    /// Writes an object if its version is `expected`, 0 for absent; returns the new version.
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

/// A budget of calls a second.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    remaining: f64,
    updated_at: Instant,
}

impl CallBudget {
    /// A full budget of `rate` calls a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        CallBudget { rate, remaining: rate, updated_at: now }
    }

    /// Takes one call; false when the budget is used up.
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

/// Faults that are switched on.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Every call fails at once.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow: Duration,
    /// Writes that take effect and whose answer never comes, still to happen.
    pub lost_responses: u32,
}
