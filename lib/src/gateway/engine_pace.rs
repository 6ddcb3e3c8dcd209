//! Learns how fast each engine produces the events of its streams, and how likely a stream's gaps keep
//! their objective there.
//!
//! Engines of a service differ in speed, and each is slow at times. A gap is longest where both come
//! together with a prompt that is prefilled beside the stream. How far the longest gap of about a second
//! exceeds an engine's usual pace is alike for all engines of a service, so it is learned for the service,
//! apart for seconds with and without prompts; only the pace itself is learned by engine.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::decaying_mean::DecayingMean;
use crate::gateway::gap_spread::GapSpread;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Weight of the newest observation in an engine's pace. About ten streams' seconds count, which an engine
/// in use shows within two seconds.
const ENGINE_WEIGHT: f64 = 0.1;
/// Weight of the newest observation in a service's figures.
const SERVICE_WEIGHT: f64 = 0.01;
/// Milliseconds per token, until the first observation.
const DEFAULT_MS_PER_TOKEN: f64 = 8.7;
/// How many times longer tokens take beside prompts, until the first observation.
const DEFAULT_READING_FACTOR: f64 = 1.5;
/// Part of the time in which an engine prefills, until the first observation.
const DEFAULT_READING_SHARE: f64 = 0.5;
/// How many times longer than others an engine is assumed to need for a token until it was observed: a short
/// request shows its speed at less risk than a long one.
const UNKNOWN_ENGINE_FACTOR: f64 = 1.4;
/// Part of an objective up to which a gap counts as safe: the pace of an engine is known to about a quarter.
const SAFE_SHARE_OF_OBJECTIVE: f64 = 0.75;
/// Time without an observation after which the figures of an engine begin to count less: moments in which an
/// engine is slow pass, but without streams nothing shows that.
const FRESH: Duration = Duration::from_secs(5);
/// Time in which the weight of older figures of an engine halves.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Minimum time between two observations of a stream of another node, whose inventories may come early; an
/// event holds several tokens.
const MIN_SPAN: Duration = Duration::from_millis(400);
/// Time that an observation refers to: that between two inventories.
pub const SPAN: Duration = Duration::from_secs(1);

/// Figures of all engines of a service.
#[derive(Clone, Debug)]
struct ServicePace {
    ms_per_token: DecayingMean,
    reading_factor: DecayingMean,
    reading_share: f64,
    quiet: GapSpread,
    reading: GapSpread,
}

impl Default for ServicePace {
    fn default() -> Self {
        ServicePace {
            ms_per_token: DecayingMean::new(DEFAULT_MS_PER_TOKEN, SERVICE_WEIGHT),
            reading_factor: DecayingMean::new(DEFAULT_READING_FACTOR, SERVICE_WEIGHT),
            reading_share: DEFAULT_READING_SHARE,
            quiet: GapSpread::default(),
            reading: GapSpread::default(),
        }
    }
}

/// Figures of one engine.
#[derive(Clone, Copy, Debug)]
struct EnginePace {
    /// Milliseconds per token while it prefills nothing.
    ms_per_token: DecayingMean,
    /// Part of the time in which it prefills.
    reading_share: f64,
    /// Time of the last observation.
    observed_at: Timestamp,
}

impl EnginePace {
    /// How far these figures still count, 0 to 1.
    fn trust(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.observed_at).saturating_sub(FRESH);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// How far a stream is at an engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress<'a> {
    /// The engine.
    pub engine: &'a UpstreamId,
    /// Number of tokens produced so far.
    pub produced: u32,
    /// Whether its memory is still being copied to the engine.
    pub is_copied: bool,
    /// The longest gap that the stream's node has reported; `None` for a stream of this node, whose gaps are
    /// recorded.
    pub reported_gap: Option<Duration>,
    /// Whether the engine has prefilled a prompt in the last second.
    pub is_reading: bool,
}

/// What was known of a stream at its last observation.
#[derive(Clone, Debug)]
struct Sample {
    engine: UpstreamId,
    tokens: u32,
    at: Timestamp,
    longest_gap: Duration,
}

/// How likely streams at one engine exceed a gap objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GapRisk {
    /// Chance in a second without prompts, 0 to 1.
    pub quiet: f64,
    /// Chance in a second in which the engine prefills a prompt, 0 to 1.
    pub reading: f64,
    /// Part of the seconds in which the engine prefills, 0 to 1.
    pub reading_share: f64,
    /// Milliseconds per token, with the prompts that are usual there.
    pub ms_per_token: f64,
}

impl GapRisk {
    /// The risk beside this many other streams with an objective: prompts go elsewhere the more of them there
    /// are.
    pub fn beside(self, others: f64) -> GapRisk {
        GapRisk { reading_share: self.reading_share / (1.0 + others), ..self }
    }

    /// Chance that a stream exceeds the objective before it has produced this many further tokens.
    pub fn over(&self, tokens: u32) -> f64 {
        let seconds = f64::from(tokens) * self.ms_per_token / 1_000.0;
        let in_reading = seconds * self.reading_share;
        let kept = (1.0 - self.reading).powf(in_reading) * (1.0 - self.quiet).powf(seconds - in_reading);
        1.0 - kept
    }
}

/// The paces of the engines of all services.
#[derive(Debug, Default)]
pub struct EnginePaces {
    services: HashMap<ServiceId, ServicePace>,
    engines: HashMap<UpstreamId, EnginePace>,
    samples: HashMap<RunKey, Sample>,
    /// Time of the newest observation of any engine; figures age only while others are observed.
    newest: Timestamp,
}

impl EnginePaces {
    /// Records a gap between two events of a stream of this node, which counts in its next observation.
    pub fn on_gap(&mut self, key: &RunKey, gap: Duration) {
        if let Some(sample) = self.samples.get_mut(key) {
            sample.longest_gap = sample.longest_gap.max(gap);
        }
    }

    /// Observes the progress of a stream. Returns its longest gap since the last observation if this one is
    /// complete.
    pub fn on_progress(
        &mut self,
        key: &RunKey,
        service: &ServiceId,
        progress: &StreamProgress<'_>,
        now: Timestamp,
    ) -> Option<Duration> {
        let StreamProgress { engine, produced, is_copied, reported_gap, is_reading } = *progress;
        let begun =
            || Sample { engine: engine.clone(), tokens: produced, at: now, longest_gap: Duration::ZERO };
        if produced == 0 || is_copied {
            self.samples.remove(key);
            return None;
        }
        let Some(sample) = self.samples.get_mut(key).filter(|sample| sample.engine == *engine) else {
            self.samples.insert(key.clone(), begun());
            return None;
        };
        let span = now.saturating_sub(sample.at);
        let tokens = produced.saturating_sub(sample.tokens);
        // An inventory holds only the last complete span of a stream, so spans are as long as its interval.
        let min_span = if reported_gap.is_some() { MIN_SPAN } else { SPAN };
        if span < min_span {
            return None;
        }
        let last = std::mem::replace(sample, begun());
        let longest_gap = reported_gap.unwrap_or(last.longest_gap);
        if tokens > 0 && !longest_gap.is_zero() {
            let ms_per_token = span.as_secs_f64() * 1_000.0 / f64::from(tokens);
            self.observe(service, engine, ms_per_token, longest_gap, is_reading, now);
        }
        Some(longest_gap)
    }

    fn observe(
        &mut self,
        service: &ServiceId,
        engine: &UpstreamId,
        ms_per_token: f64,
        longest_gap: Duration,
        is_reading: bool,
        now: Timestamp,
    ) {
        self.newest = self.newest.max(now);
        let service = self.services.entry(service.clone()).or_default();
        let pace = self.engines.entry(engine.clone()).or_insert_with(|| EnginePace {
            ms_per_token: DecayingMean::unknown(service.ms_per_token.value(), ENGINE_WEIGHT),
            reading_share: service.reading_share,
            observed_at: now,
        });
        pace.observed_at = now;
        let factor = if is_reading { service.reading_factor.value() } else { 1.0 };
        pace.ms_per_token.observe(ms_per_token / factor);
        service.ms_per_token.observe(ms_per_token / factor);
        let is_reading_share = f64::from(u8::from(is_reading));
        pace.reading_share += ENGINE_WEIGHT * (is_reading_share - pace.reading_share);
        service.reading_share += SERVICE_WEIGHT * (is_reading_share - service.reading_share);
        let usual = pace.ms_per_token.value();
        if is_reading {
            service.reading_factor.observe((ms_per_token / usual).max(1.0));
        }
        let spread = if is_reading { &mut service.reading } else { &mut service.quiet };
        spread.observe(longest_gap.as_secs_f64() * 1_000.0 / usual);
    }

    /// The risk of streams at an engine to exceed an objective. An engine without observations is assumed to
    /// need `expected_factor` times as long for a token as the others of its service, if that is known; one
    /// that was not observed for long tends to that too, or to the mean.
    pub fn risk(
        &self,
        service: &str,
        engine: &str,
        objective: Duration,
        expected_factor: Option<f64>,
    ) -> GapRisk {
        let Some(service) = self.services.get(service) else {
            return GapRisk::default();
        };
        let mean = service.ms_per_token.value();
        let (usual, reading_share) = match self.engines.get(engine) {
            None => (mean * expected_factor.unwrap_or(UNKNOWN_ENGINE_FACTOR), service.reading_share),
            Some(engine) => {
                let trust = engine.trust(self.newest);
                let expected = mean * expected_factor.unwrap_or(1.0);
                let known = engine.ms_per_token.value();
                let share = engine.reading_share - service.reading_share;
                (expected * (known / expected).powf(trust), service.reading_share + trust * share)
            }
        };
        let limit = objective.as_secs_f64() * 1_000.0 * SAFE_SHARE_OF_OBJECTIVE / usual;
        let slowdown = 1.0 + reading_share * (service.reading_factor.value() - 1.0);
        GapRisk {
            quiet: service.quiet.share_above(limit),
            reading: service.reading.share_above(limit),
            reading_share,
            ms_per_token: usual * slowdown,
        }
    }

    /// Milliseconds per token at an engine that prefills nothing, if it was observed.
    pub fn ms_per_token(&self, engine: &str) -> Option<f64> {
        Some(self.engines.get(engine)?.ms_per_token.value())
    }

    /// Drops a stream that is gone.
    pub fn forget(&mut self, key: &RunKey) {
        self.samples.remove(key);
    }

    /// Drops the figures of a service with these engines.
    pub fn forget_service(&mut self, service: &str, is_of_service: impl Fn(&str) -> bool) {
        self.services.remove(service);
        self.engines.retain(|engine, _| !is_of_service(engine));
    }

    /// Drops engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}
