//! Replicas at which runs broke and that are not yet known to have ended.
//!
//! A connection also breaks when a link is reset or cut while the replica is alive. Evidence that the
//! replica ended comes after the break: its port is closed, another replica answers at its address, or it is
//! no longer listed. A replica that was leaving before the break ends by plan, whatever it ran.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record::Incarnation;
use crate::gateway::suspect::SuspectName;
use crate::ids::Timestamp;

/// When a replica is checked after a run broke there, as times since the break. Most ended replicas refuse
/// connections at once. Each check is a health check, which is billed.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_millis(1_500),
    Duration::from_millis(3_000),
];
/// Refused connections after which a replica is known to have ended; a full replica may refuse one.
const REFUSALS_TO_CONFIRM: u32 = 2;
/// Time after a break from which on the state of the replica says nothing about the break. Three missed
/// heartbeats remove a replica from the list within some 4 s, and an outage of the store may last longer.
const FORGET_AFTER: Duration = Duration::from_secs(12);

/// Result of a check of a replica after a run broke there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The replica answers: the connection broke for another reason.
    Lives,
    /// Connections to its address are refused.
    PortClosed,
    /// Another replica answers at its address.
    Replaced,
    /// There was no answer.
    Silent,
}

/// A replica at which runs broke.
#[derive(Debug)]
struct Broken {
    suspects: BTreeSet<SuspectName>,
    since: Timestamp,
    checks: usize,
    refusals: u32,
}

/// The replicas at which runs broke lately and that are not yet known to have ended.
#[derive(Debug, Default)]
pub struct PendingEnds {
    replicas: HashMap<Incarnation, Broken>,
}

impl PendingEnds {
    /// Records that a run of these suspects broke at a replica.
    pub fn on_break(
        &mut self,
        replica: Incarnation,
        suspects: impl IntoIterator<Item = SuspectName>,
        now: Timestamp,
    ) {
        let broken = self.replicas.entry(replica).or_insert_with(|| Broken {
            suspects: BTreeSet::new(),
            since: now,
            checks: 0,
            refusals: 0,
        });
        broken.suspects.extend(suspects);
    }

    /// Returns the replicas that are to be checked now; they count as checked.
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

    /// Handles the result of a check; once the replica is known to have ended, returns the suspects whose
    /// runs broke there.
    pub fn on_check_result(&mut self, replica: &Incarnation, result: CheckResult) -> BTreeSet<SuspectName> {
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

    /// Handles a replica that is alive or ends by plan: its runs broke for other reasons.
    pub fn on_alive(&mut self, replica: &Incarnation) {
        self.replicas.remove(replica);
    }

    /// Handles a replica that is known to have ended; returns the suspects whose runs broke there.
    pub fn on_gone(&mut self, replica: &Incarnation) -> BTreeSet<SuspectName> {
        self.replicas.remove(replica).map(|broken| broken.suspects).unwrap_or_default()
    }

    /// Returns the replicas that are not yet known to have ended, with the time of the first break at each.
    pub fn replicas(&self) -> impl Iterator<Item = (&Incarnation, Timestamp)> {
        self.replicas.iter().map(|(replica, broken)| (replica, broken.since))
    }
}
