//! An estimate of which prompt prefixes each engine has cached.
//!
//! It is derived from placements and from cache events of the engines. As these events are delayed and may
//! be missing, the estimate only influences a preference and never decides whether a request may be placed.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::ids::UpstreamId;

/// Maximum number of prefixes recorded for an engine; the oldest are evicted first.
const MAX_PREFIXES: usize = 64;

/// Prefix hashes that are assumed to be cached, by engine.
#[derive(Debug, Default)]
pub struct PrefixMap {
    engines: HashMap<UpstreamId, VecDeque<u64>>,
}

impl PrefixMap {
    /// Records that an engine has a prefix cached, or no longer has it.
    pub fn record(&mut self, engine: &UpstreamId, prefix: u64, stored: bool) {
        let prefixes = self.engines.entry(engine.clone()).or_default();
        prefixes.retain(|p| *p != prefix);
        if stored {
            prefixes.push_back(prefix);
        }
        if prefixes.len() > MAX_PREFIXES {
            prefixes.pop_front();
        }
    }

    /// Whether the engine is assumed to have the prefix cached. A prefix of 0 stands for none and is never
    /// cached.
    pub fn is_cached(&self, engine: &UpstreamId, prefix: u64) -> bool {
        prefix != 0 && self.engines.get(engine).is_some_and(|prefixes| prefixes.contains(&prefix))
    }

    /// Removes all prefixes of an engine.
    pub fn remove_engine(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }
}
