//! Detects requests and parts of prompts that make replicas end, on the traffic thread: reports broken and
//! successful runs to the control loop, and sends quarantined requests to no replica.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::part_blame;
use leadstage_lib::gateway::prompt_parts::PartId;
use leadstage_lib::gateway::quarantine::CrashTable;
use leadstage_lib::gateway::quarantine::Quarantine;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::suspect::SuspectName;
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
use crate::locks;
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
    /// against the request unless another run of it succeeded recently, and against the parts of its prompt
    /// if the response had just begun.
    pub fn on_broken_run(&self, req: &CallerRequest, replica: &ReplicaRecord, progress: RunProgress) {
        let counts_against_request = !self.succeeded_recently(req);
        let counts_against_parts = part_blame::speaks_against_parts(progress.events_here);
        let ran_ms = progress.began.map_or(0, |began| began.elapsed().as_millis() as u64);
        let parts: Vec<PartId> = headers::shared_parts(&req.headers).collect();
        info!(event = "run_broke", request = req.id(), fingerprint:% = req.fingerprint(), parts:? = parts, route = &*req.route.name, upstream = &*replica.id, born = replica.born, began = progress.began.is_some(), ran_ms, events = progress.events, events_here = progress.events_here, held = counts_against_request, parts_held = counts_against_parts; "a run broke at its replica");
        self.shared.metrics.on_broken_run(counts_against_request);
        let mut suspects = Vec::new();
        if counts_against_parts {
            suspects.extend(self.parts_to_blame(req));
        }
        if counts_against_request {
            locks::lock(&req.broken_at).push(replica.clone());
            suspects.push(SuspectName::of_request(req.fingerprint()));
        }
        if !suspects.is_empty() {
            let run = BrokenRun { suspects, replica: replica.incarnation() };
            self.shared.notify(ToControl::RunBroke(run));
        }
    }

    /// The parts that a broken run speaks against: those that are quarantined already explain it.
    fn parts_to_blame(&self, req: &CallerRequest) -> Vec<SuspectName> {
        let crashes = self.shared.crashes();
        match crashes.quarantine_of(req.part_names()) {
            Some(quarantine) => quarantine.names.iter().copied().collect(),
            None => req.part_names().to_vec(),
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
        if self.suspected_ends(req) > 0 {
            let request = SuspectName::of_request(req.fingerprint());
            self.shared.notify(ToControl::RunSucceeded(vec![request]));
        }
    }

    /// Records that a replica answers a request without crashing on a part of its prompt.
    pub fn on_parts_served(&self, req: &CallerRequest) {
        let parts = req.part_names();
        if parts.is_empty() {
            return;
        }
        self.shared.on_parts_served(parts);
        let crashes = self.shared.crashes();
        let suspects = parts.iter().filter(|part| crashes.ends_of(&part.fingerprint) > 0);
        let suspects: Vec<SuspectName> = suspects.copied().collect();
        if !suspects.is_empty() {
            self.shared.notify(ToControl::RunSucceeded(suspects));
        }
    }

    /// Returns the number of replicas that ended under a request as a whole. Costs nothing while there are no
    /// suspects.
    fn suspected_ends(&self, req: &CallerRequest) -> usize {
        let crashes = self.shared.crashes();
        if crashes.is_empty() { 0 } else { crashes.ends_of(&req.fingerprint()) }
    }

    /// Whether a request may be sent to one more replica after a run that broke, although it may end that
    /// replica too. Replicas that broke runs of this attempt but answer a health check have not ended and
    /// do not count: if two such replicas counted, a stream would end at its second break instead of
    /// being resumed at a third engine.
    pub async fn may_retry_after_loss(&self, req: &CallerRequest) -> bool {
        let ended = self.suspected_ends(req);
        let broken_at = locks::lock(&req.broken_at).clone();
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
        quarantine_of(&self.shared.crashes(), req).is_some()
    }

    /// Refuses a quarantined request, with a retry delay until the quarantine ends: each earlier attempt
    /// would be refused again.
    pub fn refuse_quarantined(&self, req: &CallerRequest) -> Result<(), Refusal> {
        let crashes = self.shared.crashes();
        let Some(quarantine) = quarantine_of(&crashes, req) else {
            return Ok(());
        };
        let left = Duration::from_millis(quarantine.until.saturating_sub(unix_millis()));
        info!(event = "quarantined", request = req.id(), names:% = quarantine, ends = quarantine.ends; "refusing a quarantined request");
        let code = if quarantine.is_of_request() { Code::Quarantined } else { Code::PartQuarantined };
        Err(Refusal { code, retry_after: Some(left) })
    }

    /// Waits until a request is quarantined.
    pub async fn until_quarantined(&self, req: &CallerRequest) {
        let is_quarantined = |table: &Arc<CrashTable>| quarantine_of(table, req).is_some();
        // The sender lives as long as the process.
        let _ = self.shared.crash_changes().wait_for(is_quarantined).await;
    }
}

/// Returns the quarantine of a request. Costs nothing while nothing is quarantined.
fn quarantine_of<'a>(table: &'a CrashTable, req: &CallerRequest) -> Option<&'a Quarantine> {
    if table.quarantines().is_empty() { None } else { table.quarantine_of(&req.suspect_names()) }
}
