//! Predicts when an engine will have prefilled the prompts assigned to it.
//!
//! An engine prefills one prompt after another, so the wait at an engine is a clock that each prompt
//! advances. First events show how far off the clock is, and how fast the engine prefills: some engines
//! are slower than others, or become so. An engine without observations is assumed to be as fast as the
//! others of its service, and one that has just started as fast as others were just after their start.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::decaying_mean::DecayingMean;
use crate::gateway::policy::Policy;
use crate::gateway::replica::Replica;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Milliseconds of prefill per prompt token, until the first observation.
const DEFAULT_MS_PER_TOKEN: f64 = 0.14;
/// How many times slower an engine prefills that has just started, until the first observation.
const DEFAULT_COLD_FACTOR: f64 = 1.5;
/// Weight of the newest first event in an engine's speed. About four count, so that an engine that
/// slows down is noticed within a second or two.
const ENGINE_WEIGHT: f64 = 0.25;
/// Weight of the newest first event in a service's speed.
const SERVICE_WEIGHT: f64 = 0.05;

/// A prompt whose prefill is running or waiting.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    assigned_at: Timestamp,
    expected_at: Timestamp,
    /// Whether the engine had just started.
    cold: bool,
}

/// Prefill speed of the engines of a service.
#[derive(Clone, Copy, Debug)]
struct ServicePrefill {
    ms_per_token: DecayingMean,
    /// How many times slower engines prefill that have just started.
    cold_factor: DecayingMean,
}

impl Default for ServicePrefill {
    fn default() -> Self {
        ServicePrefill {
            ms_per_token: DecayingMean::new(DEFAULT_MS_PER_TOKEN, SERVICE_WEIGHT),
            cold_factor: DecayingMean::new(DEFAULT_COLD_FACTOR, SERVICE_WEIGHT),
        }
    }
}

/// The clock of one engine.
#[derive(Clone, Debug)]
struct EngineClock {
    service: ServiceId,
    busy_until: Timestamp,
    ms_per_token: DecayingMean,
    /// How many times longer it takes for a prompt than a typical engine of its service; `None` until the
    /// first observation.
    relative_time: Option<DecayingMean>,
}

/// The prefill clocks of all engines.
#[derive(Debug, Default)]
pub struct PrefillClocks {
    policy: Policy,
    services: HashMap<ServiceId, ServicePrefill>,
    engines: HashMap<UpstreamId, EngineClock>,
    pending: HashMap<RunKey, PendingPrefill>,
}

impl PrefillClocks {
    /// Creates clocks without observations.
    pub fn new(policy: Policy) -> Self {
        PrefillClocks { policy, ..PrefillClocks::default() }
    }

    /// Advances the clock of an engine that was assigned a prompt.
    pub fn on_assigned(&mut self, key: &RunKey, engine: &Replica, tokens: u32, now: Timestamp) {
        let duration = self.prefill_time(engine, tokens, now);
        let record = &engine.record;
        let service = self.services.entry(record.service.clone()).or_default();
        let clock = self.engines.entry(record.id.clone()).or_insert_with(|| EngineClock {
            service: record.service.clone(),
            busy_until: Timestamp::ZERO,
            ms_per_token: DecayingMean::from_prior(&service.ms_per_token, ENGINE_WEIGHT),
            relative_time: None,
        });
        clock.busy_until = clock.busy_until.max(now) + duration;
        let prefill =
            PendingPrefill { assigned_at: now, expected_at: clock.busy_until, cold: is_cold(engine, now) };
        self.pending.insert(key.clone(), prefill);
    }

    /// Corrects the clock of an engine and its speed by the first event of a generation.
    pub fn on_first_event(&mut self, key: &RunKey, engine: &str, now: Timestamp) {
        let (Some(prefill), Some(clock)) = (self.pending.remove(key), self.engines.get_mut(engine)) else {
            return;
        };
        let actual = now.saturating_sub(prefill.assigned_at).as_secs_f64();
        let expected = prefill.expected_at.saturating_sub(prefill.assigned_at).as_secs_f64().max(1e-3);
        let service = self.services.entry(clock.service.clone()).or_default();
        if !self.policy.learn {
            // The defaults stay.
        } else if prefill.cold {
            service.cold_factor.observe(service.cold_factor.value() * actual / expected);
        } else {
            let observed = clock.ms_per_token.value() * actual / expected;
            let first = || DecayingMean::unknown(1.0, ENGINE_WEIGHT);
            clock.relative_time.get_or_insert_with(first).observe(observed / service.ms_per_token.value());
            clock.ms_per_token.observe(observed);
            service.ms_per_token.observe(observed);
        }
        // Prompts queued behind this one shift by as much as it was late or early.
        let late = now.saturating_sub(prefill.expected_at);
        let early = prefill.expected_at.saturating_sub(now);
        clock.busy_until = (clock.busy_until + late).saturating_sub(early);
    }

    /// Drops a request that is gone, whether its prompt was prefilled or not.
    pub fn forget(&mut self, key: &RunKey) {
        self.pending.remove(key);
    }

    /// Time until an engine has prefilled all prompts assigned to it.
    pub fn wait(&self, engine: &str, now: Timestamp) -> Duration {
        let clock = self.engines.get(engine).filter(|_| self.policy.reading_clocks);
        clock.map_or(Duration::ZERO, |clock| clock.busy_until.saturating_sub(now))
    }

    /// How many times longer an engine takes for a prompt than a typical one of its service, if it was
    /// observed.
    pub fn relative_time(&self, engine: &str) -> Option<f64> {
        Some(self.engines.get(engine)?.relative_time?.value())
    }

    /// Whether an engine has prefilled a prompt after a time, or still does.
    pub fn has_read_since(&self, engine: &str, since: Timestamp) -> bool {
        self.engines.get(engine).is_some_and(|clock| clock.busy_until > since)
    }

    /// Time that an engine needs to prefill a prompt.
    pub fn prefill_time(&self, engine: &Replica, tokens: u32, now: Timestamp) -> Duration {
        let service = self.services.get(&engine.record.service).copied().unwrap_or_default();
        let clock = self.engines.get(&engine.record.id);
        let ms_per_token = clock.map_or(service.ms_per_token.value(), |clock| clock.ms_per_token.value());
        let cold_factor = if is_cold(engine, now) { service.cold_factor.value() } else { 1.0 };
        prefill_duration(tokens, ms_per_token * cold_factor)
    }

    /// Time that a typical engine of a service needs to prefill a prompt.
    pub fn usual_prefill_time(&self, service: &str, tokens: u32) -> Duration {
        let service = self.services.get(service).copied().unwrap_or_default();
        prefill_duration(tokens, service.ms_per_token.value())
    }

    /// Drops engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}

/// Default time to prefill a prompt, where nothing is known of the engines.
pub fn default_prefill_time(tokens: u32) -> Duration {
    prefill_duration(tokens, DEFAULT_MS_PER_TOKEN)
}

fn prefill_duration(tokens: u32, ms_per_token: f64) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) * ms_per_token / 1_000.0)
}

fn is_cold(engine: &Replica, now: Timestamp) -> bool {
    engine.warm_at > now
}
