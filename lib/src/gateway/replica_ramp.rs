//! The pace of plain replicas that have started, recovered from failures, or end a back-off that they asked
//! for.
//!
//! The pace is the part of its even share of calls that a replica gets, from all nodes together: each node
//! offers the replica to that part of its own calls, so that shares add up whatever the number of nodes and
//! however few calls each of them has. The pace doubles in every [`DOUBLING_TIME`] unless answers are slow
//! or calls fail; a node that sees that tells the others, as most of them have no call there.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::policy::Policy;
use crate::gateway::recent_keys::RecentKeys;
use crate::gateway::replica::Replica;
use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunKey;
use crate::gateway::usual_time::UsualTime;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Pace of a replica of which nothing is known yet: a few calls a second of some tens.
const FIRST_PACE: f64 = 1.0 / 16.0;
/// Largest load of a replica beside others that start, in even shares: replicas have room for as much in a burst.
const MAX_EVEN_SHARES: f64 = 2.0;
/// Time in which the pace doubles. Four doublings lead to the whole share, well within a second.
const DOUBLING_TIME: Duration = Duration::from_millis(150);
/// Shortest time for which the pace does not rise after a slow answer or a failure.
const MIN_HOLD: Duration = Duration::from_millis(300);
/// Longest such time.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Part of the time since the last good answer for which the pace does not rise: a replica that is slow or
/// fails for long is tried less often.
const HOLD_SHARE: f64 = 0.125;
/// Paces that differ by less than this factor are the same.
const SAME_PACE: f64 = 1.4;
/// Time for which a replica that gets its whole share is still watched: its first slow answers may come only
/// then.
const MIN_FULL_TIME: Duration = Duration::from_secs(1);
/// Signs of trouble within this time of the last one are about the same calls.
const SAME_TROUBLE: Duration = Duration::from_millis(100);
/// Time for which news are remembered; they reach all nodes well within it.
const NEWS_MEMORY: Duration = Duration::from_secs(5);
/// Maximum number of news that are remembered.
const MAX_HEARD_NEWS: usize = 1_024;
/// A service without a repeatable call for this long is probed by calls that may not be repeated.
const REPEATABLE_MEMORY: Duration = Duration::from_secs(5);

/// Why the pace of a replica is limited.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RampCause {
    /// It has started, or is cold again.
    #[display("start")]
    Start,
    /// A call failed there.
    #[display("failure")]
    Failure,
    /// It asked for a back-off.
    #[display("back-off")]
    Backoff,
}

/// What the calls of a node show about a replica whose pace is limited.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
pub enum RampSign {
    /// It answered for the first time since it failed or asked for a back-off.
    Answers,
    /// Its answers are slow; its pace is this now.
    Slow(f64),
    /// It failed or refused a call.
    Fails,
}

/// What a node tells the others about a replica whose pace is limited.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RampNews {
    /// The replica.
    pub replica: Incarnation,
    /// What the node's calls show.
    pub sign: RampSign,
    /// The call that shows it.
    pub call: RunKey,
}

impl RampNews {
    /// Whether its pace, if it has one, is a finite number.
    pub fn is_valid(&self) -> bool {
        match self.sign {
            RampSign::Slow(pace) => pace.is_finite(),
            RampSign::Answers | RampSign::Fails => true,
        }
    }

    fn key(&self) -> NewsKey {
        let sign = match self.sign {
            RampSign::Answers => 0,
            RampSign::Fails => 1,
            RampSign::Slow(pace) => pace.to_bits(),
        };
        (self.call.clone(), sign)
    }
}

/// Identifies a piece of news.
type NewsKey = (RunKey, u64);

/// How a call to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered.
    Answered,
    /// The replica failed or refused it.
    Failed,
    /// It says nothing about the replica.
    Withdrawn,
}

/// A ramp that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRamp {
    /// The replica.
    pub replica: UpstreamId,
    /// Why its pace was limited.
    pub cause: RampCause,
    /// How long it was.
    pub lasted: Duration,
}

#[derive(Clone, Debug)]
struct Ramp {
    service: ServiceId,
    born: StartTime,
    cause: RampCause,
    began: Timestamp,
    /// The pace until `rises_at`.
    pace: f64,
    /// From when on the pace rises.
    rises_at: Timestamp,
    /// Until when it gets no calls.
    rests_until: Timestamp,
    /// When trouble was last seen.
    trouble_at: Option<Timestamp>,
    /// Since when there were no good answers.
    trouble_since: Option<Timestamp>,
    /// Whether a call was answered since the last failure.
    is_answered: bool,
}

impl Ramp {
    fn new(service: ServiceId, born: StartTime, cause: RampCause, begins: Timestamp) -> Self {
        Ramp {
            service,
            born,
            cause,
            began: begins,
            pace: FIRST_PACE,
            rises_at: begins,
            rests_until: begins,
            trouble_at: None,
            trouble_since: None,
            is_answered: false,
        }
    }

    /// The part of its even share that the replica gets.
    fn pace(&self, now: Timestamp) -> f64 {
        if now < self.rests_until {
            return 0.0;
        }
        let rising = now.saturating_sub(self.rises_at).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        (self.pace * rising.exp2()).min(1.0)
    }

    /// When the pace reaches the whole share.
    fn full_at(&self) -> Timestamp {
        self.rises_at + DOUBLING_TIME.mul_f64((1.0 / self.pace).log2())
    }

    /// Whether the replica has started and failed no call since.
    fn is_start(&self) -> bool {
        self.cause == RampCause::Start
    }

    /// Whether the replica has had its whole share for a while and, where that was in doubt, has answered.
    fn is_over(&self, now: Timestamp) -> bool {
        now >= self.full_at() + MIN_FULL_TIME && (self.is_answered || self.cause == RampCause::Start)
    }

    /// Trouble is seen: returns for how long the pace does not rise.
    fn hold(&mut self, now: Timestamp) -> Duration {
        self.trouble_at = Some(now);
        let since = *self.trouble_since.get_or_insert(now);
        now.saturating_sub(since).mul_f64(HOLD_SHARE).clamp(MIN_HOLD, MAX_HOLD)
    }

    /// A call took `slowdown` times as long as usual, or has waited for so long: the replica bears that much
    /// less. Returns the new pace if other nodes are to be told.
    fn on_slow(&mut self, slowdown: f64, now: Timestamp) -> Option<f64> {
        let pace = (1.0 / slowdown).max(FIRST_PACE);
        let is_new = self.is_new_pace(pace, now);
        if is_new {
            self.set_pace(pace, now);
        }
        is_new.then_some(pace)
    }

    /// Whether a pace is to be held from now on: none is held, or a clearly higher one.
    fn is_new_pace(&self, pace: f64, now: Timestamp) -> bool {
        let before = self.pace(now);
        now >= self.rises_at || pace < before / SAME_PACE
    }

    /// Sets the pace and holds it for a while.
    fn set_pace(&mut self, pace: f64, now: Timestamp) {
        self.pace = pace.clamp(FIRST_PACE, 1.0);
        self.rises_at = now + self.hold(now);
    }

    fn rest(&mut self, now: Timestamp) {
        self.pace = FIRST_PACE;
        let rested_at = now + self.hold(now);
        self.rises_at = self.rises_at.max(rested_at);
        self.rests_until = self.rises_at;
        self.is_answered = false;
    }

    /// Whether a failure is about other calls than the last one.
    fn is_new_failure(&self, now: Timestamp) -> bool {
        now >= self.rests_until && self.trouble_at.is_none_or(|at| at + SAME_TROUBLE <= now)
    }

    /// Whether a call sent at this time shows how the replica bears the present pace.
    fn counts(&self, sent: Timestamp) -> bool {
        self.trouble_at.is_none_or(|at| at <= sent)
    }
}

/// A plain call of this node at a replica.
#[derive(Clone, Debug)]
struct Call {
    replica: UpstreamId,
    service: ServiceId,
    sent: Timestamp,
}

/// The ramps of all replicas, as known to a node, and the times in which services usually answer.
#[derive(Debug)]
pub struct ReplicaRamps {
    policy: Policy,
    ramps: HashMap<UpstreamId, Ramp>,
    calls: HashMap<RunKey, Call>,
    usual: HashMap<ServiceId, UsualTime>,
    repeatable_at: HashMap<ServiceId, Timestamp>,
    /// News from other nodes. Each is taken once: what contradicts it may have come since.
    heard: RecentKeys<NewsKey>,
}

impl ReplicaRamps {
    /// Creates a state without ramps.
    pub fn new(policy: Policy) -> Self {
        ReplicaRamps {
            policy,
            ramps: HashMap::new(),
            calls: HashMap::new(),
            usual: HashMap::new(),
            repeatable_at: HashMap::new(),
            heard: RecentKeys::new(NEWS_MEMORY, MAX_HEARD_NEWS),
        }
    }

    /// Begins a ramp, or begins it anew, at a time that may lie ahead: until then the replica gets no calls.
    /// Returns whether none was under way.
    pub fn begin(&mut self, replica: &Replica, cause: RampCause, at: Timestamp, now: Timestamp) -> bool {
        if !self.policy.ramp_up {
            return false;
        }
        let record = &replica.record;
        let known = self.ramps.get_mut(&record.id).filter(|ramp| ramp.born == record.born);
        if let Some(ramp) = known
            && cause != RampCause::Start
        {
            ramp.cause = cause;
            ramp.rest(now);
            ramp.rests_until = ramp.rests_until.max(at);
            ramp.rises_at = ramp.rests_until;
            return false;
        }
        let ramp = Ramp::new(record.service.clone(), record.born, cause, at);
        self.ramps.insert(record.id.clone(), ramp).is_none()
    }

    /// The part of its even share of calls that a replica gets, from 0 to 1.
    pub fn pace(&self, replica: &str, now: Timestamp) -> f64 {
        self.ramps.get(replica).map_or(1.0, |ramp| ramp.pace(now))
    }

    /// The number of replicas whose pace is limited.
    pub fn len(&self) -> usize {
        self.ramps.len()
    }

    /// Whether no replica's pace is limited.
    pub fn is_empty(&self) -> bool {
        self.ramps.is_empty()
    }

    /// A plain call asks for a replica of a service.
    pub fn on_call(&mut self, service: &ServiceId, is_repeatable: bool, now: Timestamp) {
        if is_repeatable && self.policy.ramp_up {
            self.repeatable_at.insert(service.clone(), now);
        }
    }

    /// Removes the replicas from `candidates` that are not offered to a call because of their pace. All are
    /// kept if none would remain.
    pub fn filter<R: Rng>(
        &self,
        candidates: &mut Vec<&Replica>,
        is_repeatable: bool,
        now: Timestamp,
        rng: &mut R,
    ) {
        if self.ramps.is_empty() {
            return;
        }
        let raise = self.raise_of_starts(candidates, now);
        let offered = |replica: &&Replica, rng: &mut R| match self.ramps.get(&replica.record.id) {
            Some(ramp) => {
                let raise = if ramp.is_start() { raise } else { 1.0 };
                self.may_probe(ramp, is_repeatable, now) && rng.random::<f64>() < ramp.pace(now) * raise
            }
            None => true,
        };
        let kept: Vec<&Replica> =
            candidates.iter().copied().filter(|replica| offered(replica, rng)).collect();
        if !kept.is_empty() {
            *candidates = kept;
        }
    }

    /// The factor on the paces of replicas that start by which none of the others gets more than
    /// [`MAX_EVEN_SHARES`] even shares: where most replicas start at once, the few others would be flooded.
    fn raise_of_starts(&self, candidates: &[&Replica], now: Timestamp) -> f64 {
        let (mut starting, mut others) = (0.0, 0.0);
        for replica in candidates {
            match self.ramps.get(&replica.record.id) {
                Some(ramp) if ramp.is_start() => starting += ramp.pace(now),
                Some(ramp) => others += ramp.pace(now),
                None => others += 1.0,
            }
        }
        let missing = candidates.len() as f64 / MAX_EVEN_SHARES - others;
        if starting > 0.0 { (missing / starting).max(1.0) } else { 1.0 }
    }

    /// A call that may not be repeated follows once another was answered, if there are others.
    fn may_probe(&self, ramp: &Ramp, is_repeatable: bool, now: Timestamp) -> bool {
        let has_repeatable =
            || self.repeatable_at.get(&ramp.service).is_some_and(|at| *at + REPEATABLE_MEMORY > now);
        let is_proven = ramp.is_answered || (ramp.cause == RampCause::Start && ramp.pace(now) >= 1.0);
        is_repeatable || is_proven || !has_repeatable()
    }

    /// A plain call of this node was placed at a replica.
    pub fn on_sent(&mut self, key: RunKey, replica: &Replica, now: Timestamp) {
        if self.policy.ramp_up {
            let (replica, service) = (replica.record.id.clone(), replica.record.service.clone());
            self.calls.insert(key, Call { replica, service, sent: now });
        }
    }

    /// A plain call of this node ended. Returns what the other nodes are to be told.
    pub fn on_end(&mut self, key: &RunKey, end: CallEnd, now: Timestamp) -> Option<RampNews> {
        let call = self.calls.remove(key)?;
        let took = now.saturating_sub(call.sent);
        let Some(ramp) = self.ramps.get_mut(&call.replica) else {
            if end == CallEnd::Answered {
                self.usual.entry(call.service).or_default().observe(took);
            }
            return None;
        };
        let sign = match end {
            CallEnd::Withdrawn => return None,
            CallEnd::Failed if ramp.counts(call.sent) => {
                ramp.rest(now);
                RampSign::Fails
            }
            CallEnd::Failed => return None,
            CallEnd::Answered => {
                let is_first = !std::mem::replace(&mut ramp.is_answered, true);
                let slowdown = self.usual.get(&call.service).and_then(|usual| usual.slowdown(took));
                if slowdown.is_none() {
                    ramp.trouble_since = None;
                }
                let slowdown = slowdown.filter(|_| ramp.counts(call.sent));
                match slowdown.and_then(|slowdown| ramp.on_slow(slowdown, now)) {
                    Some(pace) => RampSign::Slow(pace),
                    None if is_first && ramp.cause != RampCause::Start => RampSign::Answers,
                    None => return None,
                }
            }
        };
        let born = ramp.born;
        Some(RampNews { replica: Incarnation { id: call.replica, born }, sign, call: key.clone() })
    }

    /// Lowers the pace of replicas where calls of this node have waited for longer than is usual. Returns
    /// what the other nodes are to be told.
    pub fn check_calls(&mut self, now: Timestamp) -> Vec<RampNews> {
        if self.ramps.is_empty() {
            return Vec::new();
        }
        let mut news = Vec::new();
        for (key, call) in &self.calls {
            let Some(ramp) = self.ramps.get_mut(&call.replica) else {
                continue;
            };
            let waited = now.saturating_sub(call.sent);
            let slowdown = self.usual.get(&call.service).and_then(|usual| usual.slowdown(waited));
            // The answer may still take longer, so the wait never raises the pace.
            let slowdown = slowdown.filter(|slowdown| 1.0 / slowdown < ramp.pace(now));
            if let Some(pace) = slowdown.and_then(|slowdown| ramp.on_slow(slowdown, now)) {
                let replica = Incarnation { id: call.replica.clone(), born: ramp.born };
                news.push(RampNews { replica, sign: RampSign::Slow(pace), call: key.clone() });
            }
        }
        news
    }

    /// Another node tells what its calls show. Returns whether that is new to this node.
    pub fn on_news(&mut self, news: &RampNews, now: Timestamp) -> bool {
        if !news.is_valid() {
            return false;
        }
        if self.heard.contains(&news.key(), now) {
            return false;
        }
        self.heard.add(news.key(), now);
        let ramp = self.ramps.get_mut(&news.replica.id);
        let Some(ramp) = ramp.filter(|ramp| replica_record::applies_to(news.replica.born, ramp.born)) else {
            return false;
        };
        match news.sign {
            RampSign::Answers if ramp.is_answered || ramp.cause == RampCause::Start => false,
            RampSign::Answers => {
                ramp.is_answered = true;
                ramp.trouble_since = None;
                ramp.rests_until = ramp.rests_until.min(now);
                ramp.rises_at = ramp.rises_at.min(now);
                true
            }
            RampSign::Slow(pace) => {
                let is_new = ramp.is_new_pace(pace, now);
                if is_new {
                    ramp.set_pace(pace, now);
                }
                is_new
            }
            RampSign::Fails => {
                let is_new = ramp.is_new_failure(now);
                if is_new {
                    ramp.rest(now);
                }
                is_new
            }
        }
    }

    /// Removes and returns the ramps that are over.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<EndedRamp> {
        let ended = self.ramps.extract_if(|_, ramp| ramp.is_over(now));
        let ended = ended.map(|(replica, ramp)| EndedRamp {
            replica,
            cause: ramp.cause,
            lasted: now.saturating_sub(ramp.began),
        });
        ended.collect()
    }

    /// Ends the ramps of a service's replicas that began with failures: these were not the replicas' own.
    pub fn forget_failures(&mut self, service: &str) {
        self.ramps.retain(|_, ramp| ramp.cause != RampCause::Failure || *ramp.service != *service);
    }

    /// A plain call has left its replica without an end that says anything about it.
    pub fn forget_call(&mut self, key: &RunKey) {
        self.calls.remove(key);
    }

    /// Drops replicas that are gone, and the calls there.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.ramps.retain(|replica, _| is_known(replica));
        self.calls.retain(|_, call| is_known(&call.replica));
    }
}
