//! Runs that broke at replicas of which it is not yet known whether they ended.
//!
//! A connection also breaks where a link is reset or cut, and at a replica that lives. What shows that
//! one ended comes after the break: its port is closed, another one answers there, or it is no longer
//! listed. A replica that was to leave before the break ends by plan, whatever it ran.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::replica_record::Incarnation;
use crate::ids::Timestamp;

/// When a replica is asked after a run broke there, each time from the break on. Most ended replicas
/// refuse connections at once; two refusals count, as a full one may refuse one. Each question is a
/// priced health check.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_millis(1_500),
    Duration::from_millis(3_000),
];
/// Refused connections that show that a replica ended.
const REFUSALS_TO_CONFIRM: u32 = 2;
/// After this long nothing that is learnt of a replica says how its runs broke: three missed heartbeats
/// take it off the list within some 4 s, and an outage of the store may last longer.
const FORGET_AFTER: Duration = Duration::from_secs(12);

/// What a replica showed when it was asked after a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// It answers: the connection broke for another reason.
    Lives,
    /// Nobody listens at its address.
    PortClosed,
    /// Another replica answers there.
    Replaced,
    /// Nothing came back.
    Silent,
}

/// A replica at which runs broke.
#[derive(Debug)]
struct Broken {
    fingerprints: BTreeSet<Fingerprint>,
    since: Timestamp,
    checks: usize,
    refusals: u32,
}

/// The replicas at which runs broke lately.
#[derive(Debug, Default)]
pub struct PendingEnds {
    replicas: HashMap<Incarnation, Broken>,
}

impl PendingEnds {
    /// A request's run broke at a replica.
    pub fn on_break(&mut self, replica: Incarnation, fingerprint: Fingerprint, now: Timestamp) {
        let broken = self.replicas.entry(replica).or_insert_with(|| Broken {
            fingerprints: BTreeSet::new(),
            since: now,
            checks: 0,
            refusals: 0,
        });
        broken.fingerprints.insert(fingerprint);
    }

    /// The replicas that are to be asked now; they count as asked.
    pub fn due_checks(&mut self, now: Timestamp) -> Vec<Incarnation> {
        self.replicas.retain(|_, broken| now < broken.since + FORGET_AFTER);
        let mut due = Vec::new();
        for (replica, broken) in &mut self.replicas {
            if CHECK_DELAYS.get(broken.checks).is_some_and(|delay| broken.since + *delay <= now) {
                broken.checks += 1;
                due.push(replica.clone());
            }
        }
        due
    }

    /// A replica was asked; returns the requests that it ended under, once it is known to have ended.
    pub fn on_check_result(&mut self, replica: &Incarnation, result: CheckResult) -> BTreeSet<Fingerprint> {
        let Some(broken) = self.replicas.get_mut(replica) else {
            return BTreeSet::new();
        };
        match result {
            CheckResult::Lives => self.on_alive(replica),
            CheckResult::Replaced => return self.on_gone(replica),
            CheckResult::PortClosed => {
                broken.refusals += 1;
                if broken.refusals >= REFUSALS_TO_CONFIRM {
                    return self.on_gone(replica);
                }
            }
            CheckResult::Silent => {}
        }
        BTreeSet::new()
    }

    /// A replica lives, or ends by plan: its runs broke for other reasons.
    pub fn on_alive(&mut self, replica: &Incarnation) {
        self.replicas.remove(replica);
    }

    /// A replica is known to have ended; returns the requests that it ended under.
    pub fn on_gone(&mut self, replica: &Incarnation) -> BTreeSet<Fingerprint> {
        self.replicas.remove(replica).map(|broken| broken.fingerprints).unwrap_or_default()
    }

    /// The replicas in question, each with the time of the first break there.
    pub fn replicas(&self) -> impl Iterator<Item = (&Incarnation, Timestamp)> {
        self.replicas.iter().map(|(replica, broken)| (replica, broken.since))
    }
}
