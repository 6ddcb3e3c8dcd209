//! Keeps the decisions of the most recent requests in bounded memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use leadstage_lib::status::Decision;

/// Maximum number of requests kept; the oldest are dropped first.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of decisions kept for one request; later ones are ignored.
const MAX_DECISIONS: usize = 32;

/// Decisions by request id.
#[derive(Debug, Default)]
pub struct DecisionLog {
    order: VecDeque<u64>,
    decisions: HashMap<u64, Vec<Decision>>,
}

impl DecisionLog {
    /// Records a decision.
    pub fn note(&mut self, request: u64, at: u64, filter: &str, what: String) {
        if !self.decisions.contains_key(&request) {
            self.order.push_back(request);
            if self.order.len() > MAX_REQUESTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.decisions.remove(&oldest);
            }
        }
        let known = self.decisions.entry(request).or_default();
        if known.len() < MAX_DECISIONS {
            known.push(Decision { at, filter: filter.to_owned(), what });
        }
    }

    /// Returns the decisions recorded for a request.
    pub fn get(&self, request: u64) -> Option<&[Decision]> {
        self.decisions.get(&request).map(Vec::as_slice)
    }
}
