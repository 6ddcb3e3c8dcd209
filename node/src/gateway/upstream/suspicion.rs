//! Requests under which replicas end, as the traffic thread sees them: runs that break and runs that end
//! well are told, and what is quarantined is sent nowhere.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::blame;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::crash_ledger::CrashTable;
use leadstage_lib::gateway::crash_ledger::Standing;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::health;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::BrokenRun;
use crate::gateway::messages::ToControl;
use crate::gateway::reply::Refusal;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;
use crate::shared::unix_millis;

/// Time for a replica to answer at which a run of this attempt broke: its caller waits meanwhile.
const HEALTH_LIMIT: Duration = Duration::from_millis(300);

impl Traffic {
    /// A request's run at a replica broke before its answer's end. `began` is when it began to run, if that
    /// is known; `events` is what its caller has had of a stream. It is held against the request unless
    /// another run of it ended well lately.
    pub fn on_broken_run(
        &self,
        req: &CallerRequest,
        replica: &ReplicaRecord,
        began: Option<Instant>,
        events: u64,
    ) {
        let is_held = !self.was_sound(req);
        let ran_ms = began.map_or(0, |began| began.elapsed().as_millis() as u64);
        info!(event = "run_broke", request = req.id(), fingerprint:% = req.fingerprint(), route = &*req.route.name, upstream = &*replica.id, born = replica.born, began = began.is_some(), ran_ms, events, held = is_held; "a run broke at its replica");
        self.shared.metrics.on_broken_run(is_held);
        if is_held {
            req.broken_at.lock().expect("no holder panics").push(replica.clone());
            let run = BrokenRun { fingerprint: req.fingerprint(), replica: replica.incarnation() };
            self.shared.tell(ToControl::RunBroke(run));
        }
    }

    fn was_sound(&self, req: &CallerRequest) -> bool {
        let sound = self.sound_runs.borrow();
        sound.was_sound(sound.name(&req.parts()), self.shared.now())
    }

    /// A replica answered a request to the end.
    pub fn on_sound_run(&self, req: &CallerRequest) {
        let mut sound = self.sound_runs.borrow_mut();
        let name = sound.name(&req.parts());
        sound.on_sound(name, self.shared.now());
        if self.standing(req).is_some() {
            self.shared.tell(ToControl::RanWell(req.fingerprint()));
        }
    }

    /// What speaks against a request. Costs nothing where nothing speaks against any.
    fn standing(&self, req: &CallerRequest) -> Option<Standing> {
        let crashes = self.shared.crashes();
        if crashes.is_empty() { None } else { crashes.get(&req.fingerprint()).copied() }
    }

    /// Whether a request may cost one more replica after a run that broke. Of replicas that broke runs of this
    /// attempt those that answer have not ended: with two that lived and did not count, a stream ended at its
    /// second break instead of going on at a third engine, by the test of all faults.
    pub async fn may_risk_another(&self, req: &CallerRequest) -> bool {
        let ended = self.standing(req).map_or(0, |standing| standing.ends);
        let broken_at = req.broken_at.lock().expect("no holder panics").clone();
        if blame::may_risk_another(ended, broken_at.len()) {
            return true;
        }
        let mut broken = broken_at.len();
        if blame::may_risk_another(ended, 0) {
            let asked = broken_at.iter().map(|replica| self.lives(req, replica));
            broken -= futures::future::join_all(asked).await.into_iter().filter(|lives| *lives).count();
        }
        let may = blame::may_risk_another(ended, broken);
        if !may {
            info!(event = "not_sent_again", request = req.id(), fingerprint:% = req.fingerprint(), ended, broken; "replicas may end under this request: it is not sent to another one");
        }
        may
    }

    async fn lives(&self, req: &CallerRequest, replica: &ReplicaRecord) -> bool {
        let Some(service) = req.table.service(&req.service) else {
            return false;
        };
        let health = health::check(replica, &service.health_path, HEALTH_LIMIT).await;
        health.is_from_replica()
    }

    /// Whether a request is sent to no replica.
    pub fn is_quarantined(&self, req: &CallerRequest) -> bool {
        self.standing(req).is_some_and(|standing| standing.is_quarantined())
    }

    /// Refuses a request that is sent to no replica. Its caller is told when that ends: until then each
    /// attempt would come to the same.
    pub fn refuse_quarantined(&self, req: &CallerRequest) -> Result<(), Refusal> {
        let Some(standing) = self.standing(req).filter(Standing::is_quarantined) else {
            return Ok(());
        };
        let left = Duration::from_millis(standing.until.saturating_sub(unix_millis()));
        info!(event = "quarantined", request = req.id(), fingerprint:% = req.fingerprint(), ends = standing.ends; "a request that replicas end under is not sent");
        Err(Refusal { code: Code::Quarantined, retry_after: Some(left) })
    }

    /// Waits until a request is quarantined.
    pub async fn until_quarantined(&self, req: &CallerRequest) {
        let is_quarantined = |table: &Arc<CrashTable>| {
            !table.is_empty() && table.get(&req.fingerprint()).is_some_and(Standing::is_quarantined)
        };
        // The sender lives as long as the process.
        let _ = self.shared.crash_changes().wait_for(is_quarantined).await;
    }
}
