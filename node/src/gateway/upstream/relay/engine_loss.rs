//! Why an engine is abandoned by a stream that it ran.

use derive_more::Display;

use crate::gateway::messages::Outcome;

/// Why an engine can no longer be used for a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum EngineLoss {
    /// It restarted under the same id.
    #[display("it restarted")]
    Restarted,
    /// The bytes that it sent are no continuation of the stream.
    #[display("its stream is unusable")]
    Unusable,
    /// It stayed silent after its health was checked.
    #[display("it stayed silent")]
    Silent,
    /// It was silent, and a health check showed that it is gone.
    #[display("it is gone")]
    Gone,
    /// The stream broke, and there is no copy of the generation.
    #[display("the stream broke")]
    Broken,
    /// The generation was stopped, and an engine that was to resume it did not answer: it may be running
    /// there.
    #[display("no answer to the request to resume")]
    ResumeUnknown,
    /// The generation was stopped, and no engine resumed it in time.
    #[display("not resumed in time")]
    NotResumed,
    /// No other engine could be chosen to resume the stream.
    #[display("no engine to resume at")]
    NoEngine,
}

impl EngineLoss {
    /// Returns the outcome of the run at the lost engine. An engine that restarted has not failed since.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            EngineLoss::Restarted => Outcome::Withdrawn,
            _ => Outcome::Failed,
        }
    }
}
