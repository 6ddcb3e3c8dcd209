//! Shares of a service's engines between organisations while the engines are short of room.
//!
//! Two things can be scarce: the memory of the engines, and their prefill capacity. What an organisation
//! uses of either is measured: the memory that its generations hold now, and the prompt tokens assigned
//! lately. What it demands is that and what its waiting generations need. While all demands together
//! exceed the capacity, each organisation may use up to a level at which the capacity is just used
//! (max-min fairness): who demands less gets all of it, and what it leaves goes to the others.
//!
//! The capacity is what was in use when an engine was last lacking, as engines refuse by the expected peak
//! of their memory rather than by its present use. It decays, or grows, if that is no longer true.
//!
//! Nothing is limited while nothing is short, or while a single organisation asks.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::shortage::Shortage;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;

/// Interval between two measurements of the memory in use. Between them it grows by what is placed.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant, in seconds, of the decay of prompt tokens and of demands: the objectives for first events
/// are as long, and a demand that is older has been answered.
const TIME_CONSTANT_S: f64 = 2.0;
/// Room is kept for what organisations within their shares are expected to ask for in this time. It is
/// what a lead needs to notice new demand and to wait for the next generation to end.
const RESERVE: Duration = Duration::from_millis(250);
/// The capacity is forgotten when nothing has been short for this time.
const FORGET_AFTER: Duration = Duration::from_secs(3);
/// Growth per second of the capacity while nothing is short, so that room that was added is found.
const GROWTH_PER_S: f64 = 0.05;
/// Largest reduction of the capacity in one measurement: a long prompt may find no engine although there
/// is room for shorter ones.
const MAX_REDUCTION: f64 = 0.05;

/// Callers are not asked to return later than this: the load will be another by then.
const MAX_RETURN: Duration = Duration::from_secs(30);
/// Smaller demands, in tokens, are remainders of decaying sums.
const MIN_DEMAND: f64 = 1.0;

/// What a generation needs of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens of memory.
    pub memory: f64,
    /// Tokens of the prompt, which are prefilled.
    pub prompt: f64,
}

/// A sum that decays with [`TIME_CONSTANT_S`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    updated_at: Timestamp,
}

impl DecayingSum {
    fn at(&self, now: Timestamp) -> f64 {
        self.sum * (-now.saturating_sub(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn add(&mut self, value: f64, now: Timestamp) {
        *self = DecayingSum { sum: self.at(now) + value, updated_at: now };
    }
}

/// What one organisation uses and asks for.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Tokens of memory in use.
    held: f64,
    /// Prompt tokens assigned lately.
    prefilled: DecayingSum,
    /// Tokens of memory asked for lately.
    asked: DecayingSum,
    /// Needs of its waiting generations.
    waiting: Need,
    /// When the caller that was refused last may return.
    last_return: Timestamp,
}

impl Usage {
    /// Memory that it demands, including what it will probably ask for soon.
    fn memory_demand(&self, now: Timestamp) -> f64 {
        self.held + self.waiting.memory + self.asked.at(now) / TIME_CONSTANT_S * RESERVE.as_secs_f64()
    }

    fn prefill_demand(&self, now: Timestamp) -> f64 {
        self.prefilled.at(now) + self.waiting.prompt
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        let lately = self.prefilled.at(now) + self.asked.at(now);
        self.held + self.waiting.memory + self.waiting.prompt + lately < MIN_DEMAND && self.last_return <= now
    }
}

/// Something of which there is not always enough.
#[derive(Clone, Copy, Debug, Default)]
struct Scarce {
    /// Whether it was short since the last measurement.
    is_short: bool,
    last_short_at: Timestamp,
    capacity: Option<f64>,
    /// How much of it each organisation may use; `None` if it is not limited.
    level: Option<f64>,
}

impl Scarce {
    fn on_short(&mut self, now: Timestamp) {
        self.is_short = true;
        self.last_short_at = now;
    }

    /// Updates the capacity by what is in use, and the levels by what each organisation demands.
    fn update(
        &mut self,
        used: f64,
        demands: impl Iterator<Item = f64>,
        since_last: Duration,
        now: Timestamp,
    ) {
        let is_forgotten = self.level.is_none() && now.saturating_sub(self.last_short_at) > FORGET_AFTER;
        self.capacity = match self.capacity {
            _ if self.is_short => Some(used.max(self.capacity.unwrap_or(0.0) * (1.0 - MAX_REDUCTION))),
            Some(_) if is_forgotten => None,
            Some(capacity) => Some(used.max(capacity * (1.0 + GROWTH_PER_S * since_last.as_secs_f64()))),
            None => None,
        };
        self.is_short = false;
        self.level = self.capacity.and_then(|capacity| level(capacity, demands));
    }

    fn is_exceeded(&self, used: f64) -> bool {
        self.level.is_some_and(|level| used > 0.0 && used >= level)
    }
}

/// The use of each organisation that keeps the sum within the capacity if none uses more, and none less
/// than the smaller of this and its demand. `None` if all demands fit, or if there is only one.
fn level(capacity: f64, demands: impl Iterator<Item = f64>) -> Option<f64> {
    let mut demands: Vec<f64> = demands.filter(|demand| *demand >= MIN_DEMAND).collect();
    if demands.len() < 2 {
        return None;
    }
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (at, demand) in demands.iter().enumerate() {
        let equal_part = left / (demands.len() - at) as f64;
        if *demand > equal_part {
            return Some(equal_part);
        }
        left -= demand;
    }
    None
}

/// The part of one scarce thing that an organisation may use.
#[derive(Clone, Copy, Debug)]
struct OwnPart {
    /// What it uses beyond its level, and what its waiting generations need.
    excess: f64,
    /// For memory its part of the capacity, for prefill its prompt tokens in a second.
    part: f64,
}

/// The room that an organisation which uses its share can expect.
#[derive(Clone, Copy, Debug)]
pub struct OwnRoom {
    memory: Option<OwnPart>,
    prefill: Option<OwnPart>,
}

impl OwnRoom {
    /// The time until there is room for one more generation behind those of the organisation that wait, if
    /// known. By `time_until` all organisations together have room for some tokens of memory.
    pub fn time_until(self, need: Need, time_until: impl Fn(f64) -> Option<Duration>) -> Option<Duration> {
        let memory = self.memory.and_then(|memory| time_until((memory.excess + need.memory) / memory.part));
        let prefill = self.prefill.map(|prefill| {
            let seconds = (prefill.excess + need.prompt) / prefill.part;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        });
        memory.into_iter().chain(prefill).max()
    }

    /// The same without the generations that wait and what exceeds the level: the time for which a
    /// generation takes up the organisation's share.
    pub fn without_backlog(self) -> OwnRoom {
        let cleared = |part: OwnPart| OwnPart { excess: 0.0, ..part };
        OwnRoom { memory: self.memory.map(cleared), prefill: self.prefill.map(cleared) }
    }
}

/// Who uses how much of the engines of a service, and how much each may use.
#[derive(Debug, Default)]
pub struct OrganisationShares {
    usage: HashMap<OrganisationId, Usage>,
    memory: Scarce,
    prefill: Scarce,
    measured_at: Option<Timestamp>,
}

impl OrganisationShares {
    /// Whether the memory in use is to be measured now, for [`Self::on_measured`].
    pub fn is_measurement_due(&self, now: Timestamp) -> bool {
        let is_contended =
            [self.memory, self.prefill].iter().any(|one| one.is_short || one.capacity.is_some());
        is_contended && self.measured_at.is_none_or(|at| now >= at + MEASUREMENT_INTERVAL)
    }

    /// Takes the memory that the generations of each organisation hold, and computes the levels.
    pub fn on_measured(&mut self, held: impl IntoIterator<Item = (OrganisationId, f64)>, now: Timestamp) {
        self.usage.values_mut().for_each(|usage| usage.held = 0.0);
        for (organisation, held) in held {
            self.usage.entry(organisation).or_default().held = held;
        }
        self.usage.retain(|_, usage| !usage.is_idle(now));
        let since_last = now.saturating_sub(self.measured_at.unwrap_or(now));
        self.measured_at = Some(now);
        let all = || self.usage.values();
        let held = all().map(|usage| usage.held).sum();
        self.memory.update(held, all().map(|usage| usage.memory_demand(now)), since_last, now);
        let prefilled = all().map(|usage| usage.prefilled.at(now)).sum();
        self.prefill.update(prefilled, all().map(|usage| usage.prefill_demand(now)), since_last, now);
    }

    /// A generation found no engine for this reason.
    pub fn on_short(&mut self, shortage: Shortage, now: Timestamp) {
        match shortage {
            Shortage::Memory => self.memory.on_short(now),
            Shortage::Prefill => self.prefill.on_short(now),
            Shortage::Engines => {}
        }
    }

    /// An organisation asks for an engine.
    pub fn on_asked(&mut self, organisation: &OrganisationId, need: Need, now: Timestamp) {
        self.usage.entry(organisation.clone()).or_default().asked.add(need.memory, now);
    }

    /// A generation of an organisation was placed.
    pub fn on_placed(&mut self, organisation: &OrganisationId, need: Need, now: Timestamp) {
        let usage = self.usage.entry(organisation.clone()).or_default();
        usage.held += need.memory;
        usage.prefilled.add(need.prompt, now);
    }

    /// A generation of an organisation begins to wait.
    pub fn on_waits(&mut self, organisation: &OrganisationId, need: Need) {
        let waiting = &mut self.usage.entry(organisation.clone()).or_default().waiting;
        waiting.memory += need.memory;
        waiting.prompt += need.prompt;
    }

    /// A generation of an organisation no longer waits.
    pub fn on_waited(&mut self, organisation: &OrganisationId, need: Need) {
        if let Some(usage) = self.usage.get_mut(organisation) {
            usage.waiting.memory = (usage.waiting.memory - need.memory).max(0.0);
            usage.waiting.prompt = (usage.waiting.prompt - need.prompt).max(0.0);
        }
    }

    /// Whether an organisation uses its share, so that its further generations have to wait.
    pub fn is_over(&self, organisation: &OrganisationId, now: Timestamp) -> bool {
        let Some(usage) = self.usage.get(organisation) else {
            return false;
        };
        self.memory.is_exceeded(usage.held) || self.prefill.is_exceeded(usage.prefilled.at(now))
    }

    /// When the levels were last computed.
    pub fn measured_at(&self) -> Option<Timestamp> {
        self.measured_at
    }

    /// The room that an organisation which uses its share can expect.
    pub fn own_room(&self, organisation: &OrganisationId, now: Timestamp) -> OwnRoom {
        let usage = self.usage.get(organisation).copied().unwrap_or_default();
        let excess = |used: f64, level: f64| (used - level).max(0.0);
        let memory = self.memory.level.zip(self.memory.capacity);
        OwnRoom {
            memory: memory.map(|(level, capacity)| OwnPart {
                excess: excess(usage.held, level) + usage.waiting.memory,
                part: (level / capacity).clamp(f64::MIN_POSITIVE, 1.0),
            }),
            prefill: self.prefill.level.filter(|level| *level > 0.0).map(|level| OwnPart {
                excess: excess(usage.prefilled.at(now), level) + usage.waiting.prompt,
                part: level / TIME_CONSTANT_S,
            }),
        }
    }

    /// Returns the time after which a refused caller of an organisation may return: no sooner than there is
    /// room in `expected`, and `own_time`, the time that its generation takes of the organisation's share,
    /// after the one that was refused before it.
    pub fn next_return(
        &mut self,
        organisation: &OrganisationId,
        expected: Duration,
        own_time: Duration,
        now: Timestamp,
    ) -> Duration {
        let usage = self.usage.entry(organisation.clone()).or_default();
        let at = usage.last_return.saturating_add(own_time).max(now.saturating_add(expected));
        usage.last_return = at.min(now + MAX_RETURN);
        at.saturating_sub(now)
    }
}
