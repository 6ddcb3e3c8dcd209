//! Learns how fast the generations of a service produce tokens, from their progress.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::decaying_mean::DecayingMean;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;

/// Tokens that a generation produces in a second, until the first observation: one in 8.7 ms.
pub const DEFAULT_TOKENS_PER_SECOND: f64 = 115.0;
/// Weight of the newest observation. Some hundred observations count, which cover the last seconds.
const NEWEST_WEIGHT: f64 = 0.01;
/// Minimum time between two observations of one generation. An event holds several tokens, and a
/// shorter span would count all or none of them.
const MIN_SPAN: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Sample {
    tokens: u32,
    at: Timestamp,
}

/// The token paces of all services.
#[derive(Debug, Default)]
pub struct TokenPaces {
    services: HashMap<ServiceId, DecayingMean>,
    samples: HashMap<RunKey, Sample>,
}

impl TokenPaces {
    /// Records how many tokens a generation has produced. A generation without new tokens since its
    /// last sample waits or moves, which says nothing about the pace of the engines.
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
        let produced = f64::from(tokens.saturating_sub(previous.tokens));
        *previous = sample;
        let guess = DecayingMean::new(DEFAULT_TOKENS_PER_SECOND, NEWEST_WEIGHT);
        self.services.entry(service.clone()).or_insert(guess).observe(produced / span.as_secs_f64());
    }

    /// Drops a generation that is gone.
    pub fn forget(&mut self, key: &RunKey) {
        self.samples.remove(key);
    }

    /// Tokens that a generation of a service produces in a second.
    pub fn tokens_per_second(&self, service: &str) -> f64 {
        self.services.get(service).map_or(DEFAULT_TOKENS_PER_SECOND, DecayingMean::value)
    }

    /// The paces of all services with observations.
    pub fn all(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        self.services.iter().map(|(service, pace)| (service, pace.value()))
    }
}
