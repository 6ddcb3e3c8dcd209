//! Requests under which replicas end, as the traffic thread sees them: runs that break and runs that end
//! well are told, and what is quarantined is sent nowhere.

use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::crash_ledger::Standing;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::BrokenRun;
use crate::gateway::messages::ToControl;
use crate::gateway::reply::Refusal;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;
use crate::shared::unix_millis;

/// A run that has gone on for so long did not end its replica by beginning. Requests that do are seen to
/// within 0.1 s.
const BLAMED_WITHIN: Duration = Duration::from_secs(5);
/// Replicas that one attempt of a caller may cost, those counted that ended under earlier attempts: after
/// these it is sent to no other one.
const MOST_LOST_TO_ONE: usize = 2;

/// Why a broken run is held against its request, or not.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Blame {
    #[display("if its replica ended")]
    IfEnded,
    #[display("no, it had run for long")]
    RanLong,
    #[display("no, another run ended well lately")]
    RanWell,
}

impl Traffic {
    /// A request's run at a replica broke before its answer's end. `began` is when it began to run, if that
    /// is known; `events` is what its caller has had of a stream.
    pub fn on_broken_run(
        &self,
        req: &CallerRequest,
        replica: &ReplicaRecord,
        began: Option<Instant>,
        events: u64,
    ) {
        let blame = self.blame(req, began);
        let ran_ms = began.map_or(0, |began| began.elapsed().as_millis() as u64);
        info!(event = "run_broke", request = req.id(), fingerprint:% = req.fingerprint(), route = &*req.route.name, upstream = &*replica.id, born = replica.born, began = began.is_some(), ran_ms, events, blamed:% = blame; "a run broke at its replica");
        if blame == Blame::IfEnded {
            req.broken_runs.fetch_add(1, Ordering::Relaxed);
            let run = BrokenRun { fingerprint: req.fingerprint(), replica: replica.incarnation() };
            self.shared.tell(ToControl::RunBroke(run));
        }
    }

    fn blame(&self, req: &CallerRequest, began: Option<Instant>) -> Blame {
        let sound = self.sound_runs.borrow();
        if began.is_some_and(|began| began.elapsed() > BLAMED_WITHIN) {
            Blame::RanLong
        } else if sound.was_sound(sound.name(&req.parts()), self.shared.now()) {
            Blame::RanWell
        } else {
            Blame::IfEnded
        }
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

    /// Replicas that ended under a request, or may have under this attempt.
    pub fn lost_to(&self, req: &CallerRequest) -> usize {
        let ended = self.standing(req).map_or(0, |standing| standing.ends);
        ended + req.broken_runs.load(Ordering::Relaxed) as usize
    }

    /// Whether a request may cost one more replica after a run that broke.
    pub fn may_risk_another(&self, req: &CallerRequest) -> bool {
        let is_spared = self.lost_to(req) >= MOST_LOST_TO_ONE;
        if is_spared {
            info!(event = "not_sent_again", request = req.id(), fingerprint:% = req.fingerprint(); "replicas ended under this request: it is not sent to another one");
        }
        !is_spared
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
        let is_quarantined = |table: &std::sync::Arc<leadstage_lib::gateway::crash_ledger::CrashTable>| {
            !table.is_empty() && table.get(&req.fingerprint()).is_some_and(Standing::is_quarantined)
        };
        // The sender lives as long as the process.
        let _ = self.shared.crash_changes().wait_for(is_quarantined).await;
    }
}
