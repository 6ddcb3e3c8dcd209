//! Calls that stop a generation at its engine.
//!
//! A call may arrive late, and its answer may be late or lost. The engine keeps the memory of a generation
//! that it stopped, so such a generation is not lost: a call is kept open until it is answered, it is
//! remembered if it failed, and it is repeated when the handle is needed. The engine names the handle to a
//! repeated call too, and answers that it is busy while an earlier call is in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::connect::CallError;
use leadstage_platform::engine;
use leadstage_platform::engine::CopyHandle;
use leadstage_platform::engine::CopyOutcome;
use log::info;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::copying::COPY_RETRY_DELAY;
use crate::gateway::upstream::copying::COPY_TIMEOUT;

/// Time without an answer after which a call is repeated for the first time.
const INITIAL_REPEAT_DELAY: Duration = Duration::from_millis(600);
/// Factor between successive delays. An engine that makes a large copy answers none of the calls before it
/// is complete.
const REPEAT_DELAY_FACTOR: u32 = 2;
/// Delay after which a call is repeated that was answered without a handle.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The answer to a call that stops a generation.
type StopAnswer = Result<CopyOutcome, CallError>;

/// What the answer to one call shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The generation is stopped.
    Stopped(CopyHandle),
    /// The engine does not run the generation: it is still queued there, or has ended.
    NotRunning,
    /// Another call about the generation is in progress.
    Busy,
    /// The call was not sent.
    NotSent,
    /// The call's target has no room: the generation was not stopped.
    NoRoom,
    /// The call may have stopped the generation, or may still do so.
    Unknown,
}

impl StopOutcome {
    fn of(answer: StopAnswer) -> StopOutcome {
        match answer {
            Ok(CopyOutcome::Done { handle, .. } | CopyOutcome::NoRoom { handle: Some(handle) }) => {
                StopOutcome::Stopped(handle)
            }
            Ok(CopyOutcome::NotRunning) => StopOutcome::NotRunning,
            Ok(CopyOutcome::Busy) => StopOutcome::Busy,
            Ok(CopyOutcome::NoRoom { handle: None }) => StopOutcome::NoRoom,
            Err(CallError::Connect(_)) => StopOutcome::NotSent,
            Ok(CopyOutcome::Unexpected(_)) | Err(_) => StopOutcome::Unknown,
        }
    }
}

/// A call that stops a generation.
#[derive(Clone)]
pub struct StopCall {
    /// Opens the connections.
    pub dialer: ReplicaDialer,
    /// The request of the generation.
    pub req: Arc<CallerRequest>,
    /// The engine that runs the generation.
    pub source: Arc<ReplicaRecord>,
    /// The engine that is to receive a copy.
    pub target: SocketAddr,
}

impl StopCall {
    /// Makes the call, which also copies the remaining memory, queued behind all other copies on these
    /// links. A call that could not connect is retried for `connect_for`, as nothing was sent: next to a
    /// transfer of a configuration of 282 kB on a link of 10 Mbit/s, no connection could be opened for 0.6 s.
    async fn make(self, connect_for: Duration) -> StopAnswer {
        let until = Instant::now() + connect_for;
        loop {
            let limit = self.req.time_left();
            let (dialer, source) = (self.dialer.clone(), self.source.address);
            let answer =
                engine::copy_generation(dialer, source, self.req.id(), self.target, true, limit).await;
            let Err(err) = &answer else {
                return answer;
            };
            info!(event = "stop_unanswered", request = self.req.id(), upstream = &*self.source.id, reason:% = err; "the call that stops a generation failed");
            if !matches!(err, CallError::Connect(_)) || Instant::now() >= until {
                return answer;
            }
            tokio::time::sleep(COPY_RETRY_DELAY).await;
        }
    }
}

/// The calls that stop a stream's generation at its engine.
#[derive(Default)]
pub struct StopCalls {
    open: JoinSet<StopAnswer>,
    newest: Option<StopCall>,
    made: u32,
    /// Whether a call failed that may have stopped the generation.
    has_unknown: bool,
    /// The handle from an answer that arrived while no stop was awaited.
    late_handle: Option<CopyHandle>,
}

impl StopCalls {
    /// Makes a call that retries to connect.
    pub fn start(&mut self, call: StopCall) {
        self.made += 1;
        self.newest = Some(call.clone());
        self.open.spawn_local(call.make(COPY_TIMEOUT));
    }

    /// Repeats the newest call.
    pub fn repeat(&mut self) {
        if let Some(call) = self.newest.clone() {
            self.made += 1;
            self.open.spawn_local(call.make(Duration::ZERO));
        }
    }

    /// Whether a call is not answered yet.
    pub fn is_unanswered(&self) -> bool {
        !self.open.is_empty()
    }

    /// Whether no more than one call was made.
    pub fn is_only_call(&self) -> bool {
        self.made <= 1
    }

    /// Whether a call of which no stop was reported yet may have stopped the generation: its stream may have
    /// broken for that reason.
    pub fn may_have_stopped(&self) -> bool {
        self.is_unanswered() || self.has_unknown || self.late_handle.is_some()
    }

    /// Keeps a handle until the stream breaks. The answer may be an old one, about a stop after which the
    /// generation was resumed.
    pub fn keep_handle(&mut self, handle: CopyHandle) {
        self.late_handle = Some(handle);
    }

    /// Returns the outcome of the next call to be answered or to fail; never completes without an open call.
    pub async fn next(&mut self) -> StopOutcome {
        let Some(joined) = self.open.join_next().await else {
            return std::future::pending().await;
        };
        let answer = joined.unwrap_or_else(|err| Err(CallError::Body(err.to_string())));
        let call = self.newest.as_ref().map(|call| (call.req.id(), &*call.source.id)).unwrap_or_default();
        info!(event = "stop", request = call.0, upstream = call.1, open = self.open.len(), outcome:? = answer; "a call that stops a generation was answered or failed");
        let outcome = StopOutcome::of(answer);
        self.has_unknown |= outcome == StopOutcome::Unknown;
        outcome
    }

    /// Waits for the handle of a generation whose stream has broken or ended, and repeats the call meanwhile.
    /// Returns `None` if the engine reports no such generation, or has neither answered nor been reached for
    /// `limit`.
    pub async fn handle(&mut self, limit: Duration) -> Option<CopyHandle> {
        if let Some(handle) = self.late_handle.take() {
            return Some(handle);
        }
        if !self.is_unanswered() {
            self.repeat();
        }
        let mut delay = INITIAL_REPEAT_DELAY;
        let mut fails_since = None;
        loop {
            match tokio::time::timeout(delay, self.next()).await {
                Ok(StopOutcome::Stopped(handle)) => return Some(handle),
                Ok(StopOutcome::NotRunning) if !self.is_unanswered() => return None,
                Ok(StopOutcome::NotRunning) => {}
                Ok(StopOutcome::Busy) => fails_since = None,
                Ok(StopOutcome::NotSent | StopOutcome::NoRoom | StopOutcome::Unknown) => {
                    fails_since.get_or_insert_with(Instant::now);
                }
                Err(_) => {
                    self.repeat();
                    delay *= REPEAT_DELAY_FACTOR;
                }
            }
            if fails_since.is_some_and(|since| since.elapsed() >= limit) {
                return None;
            }
            if !self.is_unanswered() {
                tokio::time::sleep(RETRY_DELAY).await;
                self.repeat();
            }
        }
    }
}
