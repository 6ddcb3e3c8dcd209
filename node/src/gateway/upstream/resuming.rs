//! Sends a generation's request again, to resume it from a copy of its KV cache memory or after an event.

use derive_more::Display;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine::Resume;
use log::info;

use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::connections::Choice;
use crate::gateway::upstream::exchange;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::exchange::SendError;
use crate::gateway::upstream::traffic::Traffic;

/// Why a generation was not resumed at an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.label())]
pub enum NotResumed {
    /// The engine did not accept the request: nothing ran.
    Refused,
    /// The engine could not be reached: nothing was sent.
    Unreached,
    /// The engine answered with an error: the generation is not running there.
    Failed,
    /// The engine did not answer: the generation may be running there.
    Unknown,
}

impl NotResumed {
    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            NotResumed::Refused => "refused",
            NotResumed::Unreached => "not reached",
            NotResumed::Failed => "failed",
            NotResumed::Unknown => "no answer",
        }
    }
}

/// Resumes a generation at `engine`.
pub async fn resume(
    traffic: &Traffic,
    req: &CallerRequest,
    engine: &ReplicaRecord,
    resume: &Resume,
) -> Result<Exchange, NotResumed> {
    let added = req.added(&engine.id, Some(resume));
    let sent = exchange::send(traffic, engine, req, &added, Choice::Any, 1).await;
    let (why, reason) = match sent {
        Ok(exchanged) if exchanged.status.is_success() => return Ok(exchanged),
        Ok(exchanged) if exchanged.says_not_run() => (NotResumed::Refused, exchanged.status.to_string()),
        Ok(exchanged) => (NotResumed::Failed, exchanged.status.to_string()),
        Err(err @ (SendError::HallClosed | SendError::Resting | SendError::Quarantined)) => {
            (NotResumed::Refused, err.to_string())
        }
        Err(err @ SendError::NotSent(_)) => (NotResumed::Unreached, err.to_string()),
        Err(err) => (NotResumed::Unknown, err.to_string()),
    };
    info!(event = "move_failed", request = req.id(), upstream = &*engine.id, outcome:% = why, reason = reason; "a generation could not go on at an engine");
    Err(why)
}
