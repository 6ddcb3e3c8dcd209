//! Sends a generation's request again, to resume it from a copy of its KV cache memory or after an event.

use derive_more::Display;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine::Resume;
use log::info;

use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::connections::ConnectionChoice;
use crate::gateway::upstream::exchange;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::exchange::SendError;
use crate::gateway::upstream::traffic::Traffic;

/// Why a generation was not resumed at an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.label())]
pub enum ResumeFailure {
    /// The engine did not accept the request: nothing ran.
    Refused,
    /// The engine could not be reached: nothing was sent.
    Unreached,
    /// The engine answered with an error: the generation is not running there.
    Failed,
    /// The connection broke: the generation may be running there.
    Broken,
    /// The engine did not answer: the generation may be running there.
    Unknown,
}

impl ResumeFailure {
    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            ResumeFailure::Refused => "refused",
            ResumeFailure::Unreached => "not reached",
            ResumeFailure::Failed => "failed",
            ResumeFailure::Broken | ResumeFailure::Unknown => "no answer",
        }
    }
}

/// Resumes a generation at `engine`, on a new connection. What silenced or broke the stream's connection may
/// have done so to the idle ones, and an engine may have dropped those. A request that is lost with one does not
/// show whether the generation is running.
pub async fn resume(
    traffic: &Traffic,
    req: &CallerRequest,
    engine: &ReplicaRecord,
    resume: &Resume,
) -> Result<Exchange, ResumeFailure> {
    let added = req.added(&engine.id, Some(resume));
    let sent = exchange::send(traffic, engine, req, &added, ConnectionChoice::New, 1).await;
    let (why, reason) = match sent {
        Ok(exchanged) if exchanged.status.is_success() && exchanged.is_event_stream() => {
            return Ok(exchanged);
        }
        Ok(exchanged) if exchanged.says_not_run() => (ResumeFailure::Refused, exchanged.status.to_string()),
        Ok(exchanged) => (ResumeFailure::Failed, exchanged.status.to_string()),
        Err(
            err @ (SendError::HallClosed
            | SendError::BackingOff
            | SendError::VersionReverted
            | SendError::Quarantined),
        ) => (ResumeFailure::Refused, err.to_string()),
        Err(err @ SendError::NotSent(_)) => (ResumeFailure::Unreached, err.to_string()),
        Err(err @ SendError::Broken(_)) => (ResumeFailure::Broken, err.to_string()),
        Err(err) => (ResumeFailure::Unknown, err.to_string()),
    };
    info!(event = "move_failed", request = req.id(), upstream = &*engine.id, outcome:% = why, reason = reason; "the engine did not resume the generation");
    Err(why)
}
