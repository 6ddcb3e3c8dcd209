//! Counts the calls of the last moments to a plain service at one node: who asked, and how replicas answered.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::routing::ServiceId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;

/// Length of the window that is counted: long enough that it holds some answers of each node, and short
/// enough that callers of other organisations wait for a decision no longer than they retry.
pub const WINDOW: Duration = Duration::from_millis(500);
/// Resolution of the window.
const SLOT: Duration = Duration::from_millis(100);
/// Complete slots in a window.
const WINDOW_SLOTS: u64 = (WINDOW.as_millis() / SLOT.as_millis()) as u64;
/// Slots that are kept: those of the window and the current one.
const KEPT_SLOTS: usize = WINDOW_SLOTS as usize + 1;
/// Part of the objective after which an answer counts as slow: a replica whose callers still have some of
/// their time left can be relieved before they are late.
const SLOW_PART: f64 = 0.6;
/// Slow answers and refusals of replicas in a window that a single node takes for a sign of shortage; one alone
/// is a slow moment of a replica.
const MIN_BAD_ANSWERS: u32 = 2;
/// Part of the answers that must be bad beyond the usual part for a sign of shortage.
pub const SHORT_BAD_PART: f64 = 0.25;
/// Answers after which the usual part of slow ones is known well; older answers lose weight beyond that.
const USUAL_ANSWERS: f64 = 500.0;
/// The same while answers are unusual for long.
const CHANGED_ANSWERS: f64 = 30.0;
/// Minimum weight of the newest slot in the usual rate of answers, which is the mean of some seconds.
const USUAL_RATE_WEIGHT: f64 = 0.02;
/// How long an organisation counts as one that uses the service after its last call.
const USES_SERVICE_FOR: Duration = Duration::from_secs(30);
/// Maximum number of organisations that a report names.
pub const MAX_ORGANISATIONS: usize = 24;

/// Numbers of events in the newest slots.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCounter {
    counts: [u32; KEPT_SLOTS],
    slots: [u64; KEPT_SLOTS],
}

impl SlotCounter {
    fn add(&mut self, slot: u64) {
        let at = slot as usize % KEPT_SLOTS;
        if self.slots[at] != slot {
            self.slots[at] = slot;
            self.counts[at] = 0;
        }
        self.counts[at] += 1;
    }

    fn count_in(&self, slot: u64) -> u32 {
        let at = slot as usize % KEPT_SLOTS;
        if self.slots[at] == slot { self.counts[at] } else { 0 }
    }

    /// The number of events in the complete slots before `slot`.
    fn sum_before(&self, slot: u64) -> u32 {
        (slot.saturating_sub(WINDOW_SLOTS)..slot).map(|slot| self.count_in(slot)).sum()
    }
}

/// How a replica dealt with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It answered after this time, or was given up then.
    Answered(Duration),
    /// It turned the call away without running it.
    TurnedAway,
}

/// The calls of an organisation in a window.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct AskedCalls {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The most urgent priority of its calls; 0 is the most urgent.
    pub priority: u8,
    /// Number of its calls, refused ones included.
    pub calls: u32,
}

/// The calls of a node to a service in a window of [`WINDOW`].
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct CallReport {
    /// Calls by organisation, the largest numbers first; at most [`MAX_ORGANISATIONS`].
    pub asked: Vec<AskedCalls>,
    /// Calls of all others.
    pub others: u32,
    /// Calls that replicas answered.
    pub answered: u32,
    /// Those of them that were slow.
    pub slow: u32,
    /// Calls that replicas turned away.
    pub turned_away: u32,
    /// Usual part of slow answers, 0 to 1.
    pub usual_slow: f64,
    /// Usual number of answers per second.
    pub usual_answered: f64,
    /// Whether the node was told lately that the service is short.
    pub is_short: bool,
}

impl CallReport {
    /// Calls that ended at replicas.
    pub fn ended(&self) -> u32 {
        self.answered.saturating_add(self.turned_away)
    }

    /// The part of the ended calls that were slow or turned away beyond the usual part, -1 to 1.
    pub fn excess_bad(&self) -> f64 {
        let bad = f64::from(self.slow) + f64::from(self.turned_away);
        bad / f64::from(self.ended().max(1)) - self.usual_slow
    }

    /// Whether the node alone takes the service for short.
    pub fn looks_short(&self) -> bool {
        self.slow.saturating_add(self.turned_away) >= MIN_BAD_ANSWERS && self.excess_bad() >= SHORT_BAD_PART
    }
}

#[derive(Clone, Debug)]
struct OrganisationCalls {
    calls: SlotCounter,
    priority: u8,
    last: Timestamp,
}

/// The calls of a node to one service.
#[derive(Debug, Default)]
pub struct CallWindow {
    asked: HashMap<OrganisationId, OrganisationCalls>,
    others: SlotCounter,
    answered: SlotCounter,
    slow: SlotCounter,
    turned_away: SlotCounter,
    usual: UsualAnswers,
}

/// Answers over a longer time, with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct UsualAnswers {
    answered: f64,
    slow: f64,
    /// Mean number of answers in a slot; the newest has at least the weight [`USUAL_RATE_WEIGHT`].
    in_slot: f64,
    /// Number of slots that were counted.
    slots: u32,
    /// The slot from which on answers are not counted yet.
    next_slot: u64,
}

impl UsualAnswers {
    /// Counts the answers of a slot for the usual part of slow ones alone; older ones soon lose weight.
    fn add_slow_part(&mut self, answered: u32, slow: u32) {
        self.count(f64::from(answered), f64::from(slow), CHANGED_ANSWERS);
    }

    fn count(&mut self, answered: f64, slow: f64, max_answers: f64) {
        let sum = self.answered + answered;
        if sum > max_answers {
            let keep = (max_answers - answered).max(0.0) / self.answered.max(1.0);
            self.answered *= keep;
            self.slow *= keep;
        }
        self.answered += answered;
        self.slow += slow;
    }

    fn add(&mut self, answered: u32, slow: u32) {
        let answered = f64::from(answered);
        self.count(answered, f64::from(slow), USUAL_ANSWERS);
        self.slots = self.slots.saturating_add(1);
        self.in_slot += (answered - self.in_slot) * USUAL_RATE_WEIGHT.max(1.0 / f64::from(self.slots));
    }

    fn per_second(&self) -> f64 {
        self.in_slot / SLOT.as_secs_f64()
    }

    fn slow_part(&self) -> f64 {
        self.slow / self.answered.max(1.0)
    }
}

impl CallWindow {
    /// Counts a call of an organisation, or of none.
    pub fn on_call(&mut self, organisation: Option<&OrganisationId>, priority: u8, now: Timestamp) {
        let slot = slot_of(now);
        let Some(organisation) = organisation else {
            return self.others.add(slot);
        };
        let known = match self.asked.get_mut(organisation) {
            Some(known) => known,
            None => self.asked.entry(organisation.clone()).or_insert(OrganisationCalls {
                calls: SlotCounter::default(),
                priority,
                last: now,
            }),
        };
        known.calls.add(slot);
        known.last = now;
        known.priority = known.priority.min(priority);
    }

    /// Counts a call that ended at a replica.
    pub fn on_end(&mut self, end: CallEnd, objective: Duration, now: Timestamp) {
        let slot = slot_of(now);
        let CallEnd::Answered(after) = end else {
            return self.turned_away.add(slot);
        };
        self.answered.add(slot);
        if after > objective.mul_f64(SLOW_PART) {
            self.slow.add(slot);
        }
    }

    /// Counts the answers that are about to leave the window among the usual ones. While the service is short,
    /// only the part of slow ones is learnt, and only if it is short `for_long`.
    pub fn learn_usual(&mut self, is_short: bool, for_long: bool, now: Timestamp) {
        let end = (slot_of(now) + 1).saturating_sub(WINDOW_SLOTS);
        let begin = self.usual.next_slot.max(end.saturating_sub(KEPT_SLOTS as u64));
        self.usual.next_slot = end;
        for slot in begin..end {
            let (answered, slow) = (self.answered.count_in(slot), self.slow.count_in(slot));
            if !is_short {
                self.usual.add(answered, slow);
            } else if for_long {
                self.usual.add_slow_part(answered, slow);
            }
        }
    }

    /// Whether several organisations use the service, so that there is something to share.
    pub fn is_shared(&self) -> bool {
        self.asked.len() > 1
    }

    /// Forgets organisations that no longer use the service.
    pub fn forget_idle(&mut self, now: Timestamp) {
        self.asked.retain(|_, calls| now < calls.last + USES_SERVICE_FOR);
    }

    /// The counts of the window that has just ended.
    pub fn report(&self, is_short: bool, now: Timestamp) -> CallReport {
        let slot = slot_of(now);
        let mut asked: Vec<AskedCalls> = self
            .asked
            .iter()
            .map(|(organisation, known)| AskedCalls {
                organisation: organisation.clone(),
                priority: known.priority,
                calls: known.calls.sum_before(slot),
            })
            .filter(|asked| asked.calls > 0)
            .collect();
        asked.sort_by(|a, b| b.calls.cmp(&a.calls).then_with(|| a.organisation.cmp(&b.organisation)));
        let unnamed: u32 = asked.iter().skip(MAX_ORGANISATIONS).map(|asked| asked.calls).sum();
        asked.truncate(MAX_ORGANISATIONS);
        CallReport { asked, others: unnamed + self.others.sum_before(slot), is_short, ..self.answers(slot) }
    }

    fn answers(&self, slot: u64) -> CallReport {
        CallReport {
            answered: self.answered.sum_before(slot),
            slow: self.slow.sum_before(slot),
            turned_away: self.turned_away.sum_before(slot),
            usual_slow: self.usual.slow_part(),
            usual_answered: self.usual.per_second(),
            ..CallReport::default()
        }
    }

    /// Whether the answers of the window look as if the replicas were full.
    pub fn looks_short(&self, now: Timestamp) -> bool {
        self.answers(slot_of(now)).looks_short()
    }
}

/// The windows of all services that a node has calls for.
pub type CallWindows = HashMap<ServiceId, CallWindow>;

fn slot_of(now: Timestamp) -> u64 {
    (now.as_millis() / SLOT.as_millis()) as u64
}
