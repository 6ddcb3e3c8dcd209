//! When an engine will have read the prompts that it was given.
//!
//! Prompts are read one after another, so the wait at an engine is a clock that each prompt
//! moves on. First events show how far off the clock is, and how fast the engine reads: some are
//! slower than others, or become so. An engine that has shown nothing yet is taken to be like the
//! others of its service, and one that has just started like those that had just started.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::learned::Learned;
use crate::gateway::policy::Policy;
use crate::gateway::replica::Replica;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Milliseconds that an engine takes for a prompt token, before the first was seen to be read.
const GUESSED_MS_PER_TOKEN: f64 = 0.14;
/// How much slower an engine is guessed to read that has just started.
const GUESSED_COLD_FACTOR: f64 = 1.5;
/// Weight of the newest first event in an engine's speed: of four, so that one that slows down is
/// noticed within a second or two.
const ENGINE_WEIGHT: f64 = 0.25;
/// Weight of the newest first event in a service's speed.
const SERVICE_WEIGHT: f64 = 0.05;

/// A prompt that is being read, or waits for it.
#[derive(Clone, Copy, Debug)]
struct Reading {
    given: Timestamp,
    expected: Timestamp,
    /// The engine had just started.
    cold: bool,
}

/// How the engines of a service read.
#[derive(Clone, Copy, Debug)]
struct ServiceReading {
    ms_per_token: Learned,
    /// How many times longer engines take that have just started.
    cold_factor: Learned,
}

impl Default for ServiceReading {
    fn default() -> Self {
        ServiceReading {
            ms_per_token: Learned::new(GUESSED_MS_PER_TOKEN, SERVICE_WEIGHT),
            cold_factor: Learned::new(GUESSED_COLD_FACTOR, SERVICE_WEIGHT),
        }
    }
}

/// One engine.
#[derive(Clone, Debug)]
struct Clock {
    service: ServiceId,
    until: Timestamp,
    ms_per_token: Learned,
}

/// The clocks of all engines.
#[derive(Debug, Default)]
pub struct ReadingClocks {
    policy: Policy,
    services: HashMap<ServiceId, ServiceReading>,
    engines: HashMap<UpstreamId, Clock>,
    readings: HashMap<RunKey, Reading>,
}

impl ReadingClocks {
    /// Clocks that know nothing yet.
    pub fn new(policy: Policy) -> Self {
        ReadingClocks { policy, ..ReadingClocks::default() }
    }

    /// An engine was given a prompt.
    pub fn on_assigned(&mut self, key: &RunKey, engine: &Replica, tokens: u32, now: Timestamp) {
        let own = self.reading_time(engine, tokens, now);
        let record = &engine.record;
        let service = self.services.entry(record.service.clone()).or_default();
        let clock = self.engines.entry(record.id.clone()).or_insert_with(|| Clock {
            service: record.service.clone(),
            until: Timestamp::ZERO,
            ms_per_token: Learned::like(&service.ms_per_token, ENGINE_WEIGHT),
        });
        clock.until = clock.until.max(now) + own;
        let reading = Reading { given: now, expected: clock.until, cold: is_cold(engine, now) };
        self.readings.insert(key.clone(), reading);
    }

    /// A generation's first event came.
    pub fn on_first_event(&mut self, key: &RunKey, engine: &str, now: Timestamp) {
        let (Some(reading), Some(clock)) = (self.readings.remove(key), self.engines.get_mut(engine)) else {
            return;
        };
        let took = now.saturating_sub(reading.given).as_secs_f64();
        let expected = reading.expected.saturating_sub(reading.given).as_secs_f64().max(1e-3);
        let service = self.services.entry(clock.service.clone()).or_default();
        if !self.policy.learn {
            // The guesses stay.
        } else if reading.cold {
            service.cold_factor.observe(service.cold_factor.value() * took / expected);
        } else {
            let seen = clock.ms_per_token.value() * took / expected;
            clock.ms_per_token.observe(seen);
            service.ms_per_token.observe(seen);
        }
        // Those behind it move by as much as it was late or early.
        let late = now.saturating_sub(reading.expected);
        let early = reading.expected.saturating_sub(now);
        clock.until = (clock.until + late).saturating_sub(early);
    }

    /// A request is gone, read or not.
    pub fn forget(&mut self, key: &RunKey) {
        self.readings.remove(key);
    }

    /// Time until an engine has read what it was given.
    pub fn wait(&self, engine: &str, now: Timestamp) -> Duration {
        let clock = self.engines.get(engine).filter(|_| self.policy.reading_clocks);
        clock.map_or(Duration::ZERO, |clock| clock.until.saturating_sub(now))
    }

    /// Time that an engine needs for a prompt.
    pub fn reading_time(&self, engine: &Replica, tokens: u32, now: Timestamp) -> Duration {
        let service = self.services.get(&engine.record.service).copied().unwrap_or_default();
        let clock = self.engines.get(&engine.record.id);
        let ms_per_token = clock.map_or(service.ms_per_token.value(), |clock| clock.ms_per_token.value());
        let cold_factor = if is_cold(engine, now) { service.cold_factor.value() } else { 1.0 };
        time_for(tokens, ms_per_token * cold_factor)
    }

    /// Time that a usual engine of a service needs for a prompt.
    pub fn usual_time(&self, service: &str, tokens: u32) -> Duration {
        let service = self.services.get(service).copied().unwrap_or_default();
        time_for(tokens, service.ms_per_token.value())
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}

/// Time that a prompt is guessed to take where nothing is known of the engines.
pub fn guessed_time(tokens: u32) -> Duration {
    time_for(tokens, GUESSED_MS_PER_TOKEN)
}

fn time_for(tokens: u32, ms_per_token: f64) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) * ms_per_token / 1_000.0)
}

fn is_cold(engine: &Replica, now: Timestamp) -> bool {
    engine.warm_at > now
}
