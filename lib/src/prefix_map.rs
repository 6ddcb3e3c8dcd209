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
    pub fn learn(&mut self, engine: &UpstreamId, prefix: u64, stored: bool) {
        let known = self.engines.entry(engine.clone()).or_default();
        known.retain(|p| *p != prefix);
        if stored {
            known.push_back(prefix);
        }
        if known.len() > MAX_PREFIXES {
            known.pop_front();
        }
    }

    /// Whether the engine is thought to have it; never for 0.
    pub fn has(&self, engine: &UpstreamId, prefix: u64) -> bool {
        prefix != 0 && self.engines.get(engine).is_some_and(|known| known.contains(&prefix))
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: &UpstreamId) {
        self.engines.remove(engine);
    }
}
