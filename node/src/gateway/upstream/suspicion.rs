//! Detects requests that make replicas end, on the traffic thread: reports broken and successful runs to
//! the control loop, and sends quarantined requests to no replica.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::crash_ledger::CrashTable;
use leadstage_lib::gateway::crash_ledger::SuspectStatus;
use leadstage_lib::gateway::prompt_parts::PartId;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::loss_limit;
use leadstage_platform::headers;
use leadstage_platform::health::Health;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::BrokenRun;
use crate::gateway::messages::ToControl;
use crate::gateway::reply::Refusal;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;
use crate::shared::unix_millis;

/// How far a run got.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunProgress {
    /// When it began at its replica, if that is known.
    pub began: Option<Instant>,
    /// Number of events of the stream that its caller has received, from all replicas.
    pub events: u64,
    /// Number of events received from this replica.
    pub events_here: u64,
}

impl Traffic {
    /// Records that a request's run at a replica broke before the end of the response. The break counts
    /// against the request unless another run of it succeeded recently.
    pub fn on_broken_run(&self, req: &CallerRequest, replica: &ReplicaRecord, progress: RunProgress) {
        let counts_against_request = !self.succeeded_recently(req);
        let ran_ms = progress.began.map_or(0, |began| began.elapsed().as_millis() as u64);
        let parts: Vec<PartId> = headers::shared_parts(&req.headers).collect();
        info!(event = "run_broke", request = req.id(), fingerprint:% = req.fingerprint(), parts:? = parts, route = &*req.route.name, upstream = &*replica.id, born = replica.born, began = progress.began.is_some(), ran_ms, events = progress.events, events_here = progress.events_here, held = counts_against_request; "a run broke at its replica");
        self.shared.metrics.on_broken_run(counts_against_request);
        if counts_against_request {
            req.broken_at.lock().expect("no holder panics").push(replica.clone());
            let run = BrokenRun { fingerprint: req.fingerprint(), replica: replica.incarnation() };
            self.shared.notify(ToControl::RunBroke(run));
        }
    }

    fn succeeded_recently(&self, req: &CallerRequest) -> bool {
        let successes = self.recent_successes.borrow();
        successes.succeeded_recently(successes.hash(&req.parts()), self.shared.now())
    }

    /// Records that a replica answered a request to the end.
    pub fn on_successful_run(&self, req: &CallerRequest) {
        let mut successes = self.recent_successes.borrow_mut();
        let hash = successes.hash(&req.parts());
        successes.on_success(hash, self.shared.now());
        if self.suspect_status(req).is_some() {
            self.shared.notify(ToControl::RunSucceeded(req.fingerprint()));
        }
    }

    /// Returns the suspect status of a request. Costs nothing while there are no suspects.
    fn suspect_status(&self, req: &CallerRequest) -> Option<SuspectStatus> {
        let crashes = self.shared.crashes();
        if crashes.is_empty() { None } else { crashes.get(&req.fingerprint()).copied() }
    }

    /// Whether a request may be sent to one more replica after a run that broke, although it may end that
    /// replica too. Replicas that broke runs of this attempt but answer a health check have not ended and
    /// do not count: if two such replicas counted, a stream would end at its second break instead of
    /// being resumed at a third engine.
    pub async fn may_retry_after_loss(&self, req: &CallerRequest) -> bool {
        let ended = self.suspect_status(req).map_or(0, |status| status.ends);
        let broken_at = req.broken_at.lock().expect("no holder panics").clone();
        if loss_limit::may_retry_after_loss(ended, broken_at.len()) {
            return true;
        }
        let mut broken = broken_at.len();
        if loss_limit::may_retry_after_loss(ended, 0) {
            let checks = broken_at.iter().map(|replica| self.is_alive(req, replica));
            broken -=
                futures::future::join_all(checks).await.into_iter().filter(|is_alive| *is_alive).count();
        }
        let may_retry = loss_limit::may_retry_after_loss(ended, broken);
        if !may_retry {
            info!(event = "not_sent_again", request = req.id(), fingerprint:% = req.fingerprint(), ended, broken; "not retrying: the request may have ended replicas");
        }
        may_retry
    }

    async fn is_alive(&self, req: &CallerRequest, replica: &ReplicaRecord) -> bool {
        self.check_health(req, replica).await.is_some_and(Health::is_from_replica)
    }

    /// Whether a request must not be sent to any replica.
    pub fn is_quarantined(&self, req: &CallerRequest) -> bool {
        self.suspect_status(req).is_some_and(|status| status.is_quarantined())
    }

    /// Refuses a quarantined request, with a retry delay until the quarantine ends: each earlier attempt
    /// would be refused again.
    pub fn refuse_quarantined(&self, req: &CallerRequest) -> Result<(), Refusal> {
        let Some(status) = self.suspect_status(req).filter(SuspectStatus::is_quarantined) else {
            return Ok(());
        };
        let left = Duration::from_millis(status.until.saturating_sub(unix_millis()));
        info!(event = "quarantined", request = req.id(), fingerprint:% = req.fingerprint(), ends = status.ends; "refusing a quarantined request");
        Err(Refusal { code: Code::Quarantined, retry_after: Some(left) })
    }

    /// Waits until a request is quarantined.
    pub async fn until_quarantined(&self, req: &CallerRequest) {
        let is_quarantined = |table: &Arc<CrashTable>| {
            !table.is_empty() && table.get(&req.fingerprint()).is_some_and(SuspectStatus::is_quarantined)
        };
        // The sender lives as long as the process.
        let _ = self.shared.crash_changes().wait_for(is_quarantined).await;
    }
}
