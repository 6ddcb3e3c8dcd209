//! The state of a replica as known to a node: the platform's entry, signs that the replica is leaving, and
//! the results of the node's own requests.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::gateway::leaving_announcements::MAX_LEAVING_TIME;
use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::ids::Timestamp;

/// A replica that failed gets no new work for this long after the first failure, and for twice as long
/// after each further one. Long enough that a dead replica costs few requests, short enough that a replica
/// with a transient failure is soon used again.
const FIRST_BACKOFF: Duration = Duration::from_millis(300);
/// The longest back-off after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Weight of the newest answer in a replica's share of errors.
const NEWEST_ANSWER_WEIGHT: f64 = 0.2;
/// Half-life of a share of errors, so that a replica that recovered is tried again.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(3);

/// Why a replica is considered to be leaving.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LeavingSign {
    /// Its entry lists it as leaving.
    #[display("listed as leaving")]
    Listed,
    /// It announced this in a response, or in its answer to a health check.
    #[display("says so in its answers")]
    Announced,
    /// Its entry was removed while the list was followed.
    #[display("no longer listed")]
    Unlisted,
    /// Its entry did not come back after the store had been unavailable.
    #[display("not listed again")]
    Expired,
    /// It answered a health check with an error: it is failing, leaving or too full.
    #[display("not well or leaving when asked")]
    Unhealthy,
    /// Another node reported that it is leaving.
    #[display("told by another node")]
    ReportedByPeer,
    /// Another instance answers at its address.
    #[display("another instance at its address")]
    Replaced,
}

impl LeavingSign {
    /// Whether an entry that lists the replica as staying overrides this sign.
    pub(super) fn is_revocable(self) -> bool {
        match self {
            LeavingSign::Unlisted
            | LeavingSign::Expired
            | LeavingSign::Unhealthy
            | LeavingSign::ReportedByPeer => true,
            LeavingSign::Listed | LeavingSign::Announced | LeavingSign::Replaced => false,
        }
    }

    /// The time by which a replica that shows this sign now has ended or is about to end, if known.
    fn ends_by(self, now: Timestamp) -> Option<Timestamp> {
        match self {
            LeavingSign::Listed => None,
            LeavingSign::Announced => Some(now + MAX_LEAVING_TIME),
            LeavingSign::Unlisted
            | LeavingSign::Expired
            | LeavingSign::Unhealthy
            | LeavingSign::ReportedByPeer
            | LeavingSign::Replaced => Some(now),
        }
    }
}

/// A replica and its state as known to this node.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The platform's entry.
    pub record: Arc<ReplicaRecord>,
    /// The sign that it is leaving, if there is any.
    pub leaving: Option<LeavingSign>,
    /// When it was first seen to be leaving.
    pub leaving_since: Timestamp,
    /// When it reaches full speed.
    pub warm_at: Timestamp,
    consecutive_failures: u32,
    backoff_until: Timestamp,
    error_share: f64,
    error_share_at: Timestamp,
    /// Since when its entry has been missing, perhaps only because the store was unavailable.
    pub(super) missing_since: Option<Timestamp>,
    /// The time by which it is known to have ended or to be about to end, whatever its entry said.
    pub(super) ends_by: Option<Timestamp>,
    /// The store's revision at the last change that other nodes need to learn; 0 if there is none.
    pub(super) changed_at: Revision,
    /// The store's revision up to which its state is known, at least; what is older has no effect.
    pub(super) known_at: Revision,
}

impl Replica {
    pub(super) fn new(record: ReplicaRecord, now: Timestamp) -> Self {
        let leaving = record.leaving.then_some(LeavingSign::Listed);
        Replica {
            warm_at: now + record.cold,
            record: Arc::new(record),
            leaving,
            leaving_since: now,
            consecutive_failures: 0,
            error_share: 0.0,
            error_share_at: now,
            backoff_until: Timestamp::ZERO,
            missing_since: None,
            ends_by: None,
            changed_at: 0,
            known_at: 0,
        }
    }

    /// Whether it may get new work.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.leaving.is_none() && self.backoff_until <= now
    }

    /// Records that it stays cold for at least this long. Zero changes nothing.
    pub(super) fn on_cold(&mut self, cold: Duration, now: Timestamp) {
        if !cold.is_zero() {
            self.warm_at = self.warm_at.max(now + cold);
        }
    }

    /// Whether a report about an incarnation applies to this one, rather than only to an earlier one.
    pub fn is_covered_by(&self, incarnation: &Incarnation) -> bool {
        replica_record::applies_to(incarnation.born, self.record.born)
    }

    /// Whether an incarnation is later than this one.
    pub(super) fn is_restarted_by(&self, incarnation: &Incarnation) -> bool {
        self.record.born > 0 && incarnation.born > self.record.born
    }

    /// Whether its entry is missing, perhaps only because the store was unavailable.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Whether it can process only few requests yet.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.warm_at > now
    }

    /// The recent share of its answers that were errors of its own or failed to arrive, from 0 to 1.
    pub fn error_share(&self, now: Timestamp) -> f64 {
        let halvings = now.saturating_sub(self.error_share_at).as_secs_f64() / ERROR_HALF_LIFE.as_secs_f64();
        self.error_share * 0.5_f64.powf(halvings)
    }

    /// A sign that it is leaving was seen. The first sign counts, and after it the first one that no entry
    /// revokes. Returns whether the sign was recorded.
    pub(super) fn on_sign(&mut self, sign: LeavingSign, now: Timestamp) -> bool {
        match self.leaving {
            Some(known) if !known.is_revocable() || sign.is_revocable() => return false,
            Some(_) => {}
            None => self.leaving_since = now,
        }
        self.leaving = Some(sign);
        self.ends_by = sign.ends_by(now);
        true
    }

    /// Its entry is gone: it has ended or is about to, whatever it announced before.
    pub(super) fn on_entry_gone(&mut self, now: Timestamp) {
        self.ends_by = Some(self.ends_by.map_or(now, |by| by.min(now)));
        self.missing_since = None;
    }

    /// Whether its end was learnt from the store before the store was restored from the copy that a list at
    /// revision `at` was read from.
    pub(super) fn ended_before_copy(&self, at: Revision) -> bool {
        let is_end = matches!(self.leaving, Some(LeavingSign::Unlisted | LeavingSign::ReportedByPeer));
        is_end && self.changed_at > 0 && revision::era(self.changed_at) < revision::era(at)
    }

    /// It is no longer considered to be leaving.
    pub(super) fn cancel_leaving(&mut self) {
        (self.leaving, self.ends_by) = (None, None);
    }

    /// A request failed there because of the replica. If `backs_off` is set, the replica gets no new work
    /// for a while.
    pub(super) fn on_failure(&mut self, backs_off: bool, now: Timestamp) {
        if backs_off {
            let backoff =
                FIRST_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(8)).min(MAX_BACKOFF);
            self.consecutive_failures += 1;
            self.backoff_until = now + backoff;
        }
        self.update_error_share(true, now);
    }

    fn update_error_share(&mut self, is_error: bool, now: Timestamp) {
        let newest = if is_error { 1.0 } else { 0.0 };
        let before = self.error_share(now);
        self.error_share = before + NEWEST_ANSWER_WEIGHT * (newest - before);
        self.error_share_at = now;
    }

    pub(super) fn on_answer(&mut self, is_error: bool, now: Timestamp) {
        self.update_error_share(is_error, now);
        self.forget_failures();
    }

    pub(super) fn forget_errors(&mut self) {
        self.error_share = 0.0;
    }

    pub(super) fn forget_failures(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::ZERO;
    }

    /// Until when it gets no new work after failures.
    pub fn backoff_until(&self) -> Timestamp {
        self.backoff_until
    }

    /// The number of consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
