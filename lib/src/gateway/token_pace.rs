//! How fast the generations of a service make tokens, learned from their progress.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::learned::Estimate;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;

/// Tokens that a generation makes in a second, before one was seen to: one in 8.7 ms.
pub const GUESSED_TOKENS_PER_SECOND: f64 = 115.0;
/// Weight of the newest observation: some hundred count, which are those of the last seconds.
const NEWEST_WEIGHT: f64 = 0.01;
/// Least time between two observations of one generation: an event holds some tokens, and a
/// shorter span would count them as all or none.
const MIN_SPAN: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Sample {
    tokens: u32,
    at: Timestamp,
}

/// The paces of all services.
#[derive(Debug, Default)]
pub struct TokenPaces {
    services: HashMap<ServiceId, Estimate>,
    samples: HashMap<RunKey, Sample>,
}

impl TokenPaces {
    /// A generation has made so many tokens. One that made none since it was last looked at waits
    /// or moves, which says nothing of the engines' pace.
    pub fn on_progress(&mut self, key: &RunKey, service: &ServiceId, tokens: u32, now: Timestamp) {
        if tokens == 0 {
            return;
        }
        let sample = Sample { tokens, at: now };
        let Some(previous) = self.samples.get_mut(key) else {
            self.samples.insert(key.clone(), sample);
            return;
        };
        let span = now.saturating_sub(previous.at);
        if span < MIN_SPAN {
            return;
        }
        let made = f64::from(tokens.saturating_sub(previous.tokens));
        *previous = sample;
        let guess = Estimate::new(GUESSED_TOKENS_PER_SECOND, NEWEST_WEIGHT);
        self.services.entry(service.clone()).or_insert(guess).observe(made / span.as_secs_f64());
    }

    /// A generation is gone.
    pub fn forget(&mut self, key: &RunKey) {
        self.samples.remove(key);
    }

    /// Tokens that a generation of a service makes in a second.
    pub fn tokens_per_second(&self, service: &str) -> f64 {
        self.services.get(service).map_or(GUESSED_TOKENS_PER_SECOND, Estimate::value)
    }

    /// All that was learned.
    pub fn all(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        self.services.iter().map(|(service, pace)| (service, pace.value()))
    }
}
