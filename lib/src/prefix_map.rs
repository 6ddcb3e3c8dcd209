//! Which engines are thought to have which prompt prefixes cached.
//!
//! Learned from what was placed and from the engines' events, which come late and
//! with gaps; so it is a preference only.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::ids::UpstreamId;

/// Prefixes remembered for an engine; the oldest go first.
const MAX_PREFIXES: usize = 64;

/// Prefixes by engine.
#[derive(Debug, Default)]
pub struct PrefixMap {
    engines: HashMap<UpstreamId, VecDeque<u64>>,
}

impl PrefixMap {
    /// Notes that an engine has a prefix cached, or no longer has.
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

    /// Whether the engine is thought to have it; never for 0.
    pub fn is_cached(&self, engine: &UpstreamId, prefix: u64) -> bool {
        prefix != 0 && self.engines.get(engine).is_some_and(|prefixes| prefixes.contains(&prefix))
    }

    /// Forgets an engine.
    pub fn remove_engine(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }
}
