//! Copies a running generation to another engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::connect::CallError;
use leadstage_platform::engine;
use leadstage_platform::engine::CopyHandle;
use leadstage_platform::engine::CopyOutcome;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::traffic::Traffic;

/// Delay before a copy is retried: a generation that is still queued can't be copied yet.
const COPY_PAUSE: Duration = Duration::from_millis(40);
/// Timeout of one copy: several times what the largest generation takes over a busy link.
const COPY_LIMIT: Duration = Duration::from_millis(2_500);

/// Where a generation resumes after it is stopped: its KV cache memory is at another engine, or will be
/// once it has stopped.
pub struct Copied {
    /// The other engine and the run that is reserved there.
    pub target: RunGuard,
    /// Identifies the copy; `None` until the stop is answered, if nothing was copied before.
    pub handle: Option<CopyHandle>,
    /// Whether the generation is to resume at the engine where it stopped, on a new connection, if
    /// possible.
    pub stays: bool,
    /// Whether the call that stops the generation was answered.
    pub stop_is_known: bool,
}

impl Copied {
    /// Records the answer to the stop.
    pub fn note_stop(&mut self, answer: StopAnswer) -> Stop {
        self.stop_is_known = true;
        match answer {
            Ok(CopyOutcome::Done { handle, .. } | CopyOutcome::NoRoom { handle: Some(handle) }) => {
                self.handle = Some(handle);
                Stop::Stopped
            }
            Ok(CopyOutcome::NotRunning | CopyOutcome::Busy) | Err(CallError::Connect(_)) => Stop::RunsOn,
            Ok(CopyOutcome::NoRoom { handle: None } | CopyOutcome::Unexpected(_)) | Err(_) => Stop::Unknown,
        }
    }
}

/// The answer to a call that stops a generation.
pub type StopAnswer = Result<CopyOutcome, CallError>;

/// The outcome of a call that stops a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The generation stopped.
    Stopped,
    /// The generation did not stop: it is still running or queued, or has just ended by itself.
    RunsOn,
    /// The generation may have stopped: if so, its stream breaks.
    Unknown,
}

/// Stops a generation at its engine. The call also copies the remaining memory, queued behind all other
/// copies on these links. A call that could not connect is retried, as nothing was sent: next to a
/// transfer of a configuration of 282 kB on a link of 10 Mbit/s, no connection could be opened for 0.6 s,
/// by the log of one stream.
pub async fn stop(source: &ReplicaRecord, id: &str, target: SocketAddr) -> StopAnswer {
    let until = Instant::now() + COPY_LIMIT;
    loop {
        let answer = engine::copy_generation(source.address, id, target, true, COPY_LIMIT).await;
        let Err(err) = &answer else {
            return answer;
        };
        info!(event = "stop_unanswered", request = id, upstream = &*source.id, reason:% = err; "no answer to a stop");
        if !matches!(err, CallError::Connect(_)) || Instant::now() >= until {
            return answer;
        }
        tokio::time::sleep(COPY_PAUSE).await;
    }
}

/// The result of a task that runs next to a stream and moves its generation or queries its engine.
pub enum Step {
    /// A copy was made while the generation kept running.
    Copied(Copied),
    /// The call that stops the generation was answered or failed.
    StopAnswered(StopAnswer),
    /// A target was found, so a generation whose connection is silent can be stopped and resumed where it
    /// stopped.
    CanStop(Copied),
    /// No copy could be made.
    GaveUp(NotCopied),
    /// The engine was silent and is gone.
    EngineGone(UpstreamId),
    /// The engine has produced more events than the `received` ones that its connection delivered.
    ConnectionSilent {
        /// The engine.
        engine: UpstreamId,
        /// Number of events that had been received when the engine was queried.
        came: u64,
    },
}

/// The outcome of a copy call as a metric label.
fn outcome_word(called: &Result<CopyOutcome, CallError>) -> &'static str {
    match called {
        Ok(CopyOutcome::Done { .. }) => "done",
        Ok(CopyOutcome::NotRunning) => "not running",
        Ok(CopyOutcome::Busy) => "busy",
        Ok(CopyOutcome::NoRoom { .. }) => "no room",
        Ok(CopyOutcome::Unexpected(_)) => "unexpected",
        Err(_) => "no answer",
    }
}

/// Why there is no copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotCopied {
    /// The engine that runs the generation is gone.
    SourceGone,
    /// The target has no room or can't be reached.
    Elsewhere(UpstreamId),
    /// The generation is not running yet, another call is in progress, or its engine was not reached.
    Later,
}

/// Copies a generation away from an engine that is leaving or overloaded.
pub struct Copying {
    /// The state shared by the requests of the traffic thread.
    pub traffic: Traffic,
    /// The request of the generation.
    pub req: Arc<CallerRequest>,
    /// The stream of the generation.
    pub handle: StreamHandle,
    /// The engine that runs the generation.
    pub source: Arc<ReplicaRecord>,
    /// Engines that can't resume the generation.
    pub avoid: Vec<UpstreamId>,
    /// How long to keep retrying.
    pub insist: Duration,
}

impl Copying {
    /// Copies the generation to an engine with room.
    pub async fn copy(self) -> Step {
        if !self.insist.is_zero() {
            let produced = self.handle.produced.load(Ordering::Relaxed);
            let pace = self.traffic.shared.tokens_per_second(&self.req.service);
            let delay = evacuation::start_delay(self.req.generation_size(), produced, pace);
            tokio::time::sleep(delay).await;
        }
        let until = Instant::now() + self.insist;
        let mut exclude = vec![self.source.id.clone()];
        exclude.extend(self.avoid.iter().cloned());
        let always = exclude.len();
        loop {
            match self.target(&exclude).await {
                Some(target) => match self.copy_to(target).await {
                    Ok(copied) => return Step::Copied(copied),
                    Err(NotCopied::SourceGone) => return Step::GaveUp(NotCopied::SourceGone),
                    Err(NotCopied::Elsewhere(refused)) => exclude.push(refused),
                    Err(NotCopied::Later) => tokio::time::sleep(COPY_PAUSE).await,
                },
                None => {
                    exclude.truncate(always);
                    tokio::time::sleep(COPY_PAUSE).await;
                }
            }
            if Instant::now() >= until {
                return Step::GaveUp(NotCopied::Later);
            }
        }
    }

    /// Finds an engine that the call to stop the generation can name as its target. The engine is chosen
    /// without regard to its load, as the generation resumes where it stopped; an engine without room
    /// refuses.
    pub async fn prepare_stop(self) -> Step {
        let mut exclude = vec![self.source.id.clone()];
        exclude.extend(self.avoid.iter().cloned());
        match self.place(None, &exclude).await {
            Some(target) => Step::CanStop(Copied { target, handle: None, stays: true, stop_is_known: false }),
            None => Step::GaveUp(NotCopied::Later),
        }
    }

    async fn target(&self, exclude: &[UpstreamId]) -> Option<RunGuard> {
        self.place(Some(self.req.generation_size()), exclude).await
    }

    /// Reserves a run at another engine once copies from the current engine may start. Without `size`,
    /// the engine need not have room.
    async fn place(&self, size: Option<GenerationSize>, exclude: &[UpstreamId]) -> Option<RunGuard> {
        let produced = self.handle.produced.load(Ordering::Relaxed);
        let patience = if self.insist.is_zero() { Duration::ZERO } else { evacuation::COPY_START_TIMEOUT };
        let request = PlaceRequest {
            request: self.req.id().to_owned(),
            wanted: Wanted {
                service: self.req.service.clone(),
                size,
                produced,
                from: Some(self.source.id.clone()),
                hall: self.source.hall.clone(),
                exclude: exclude.to_vec(),
                resting: Vec::new(),
                regions: self.req.regions(),
            },
            priority: evacuation::rank(self.req.generation_size(), produced),
            patience,
            leaves_after: patience,
            stream: Some(self.handle.clone()),
        };
        self.traffic.place(request).await.ok()
    }

    async fn copy_to(&self, target: RunGuard) -> Result<Copied, NotCopied> {
        let to = target.placed.replica.clone();
        let began = Instant::now();
        let called =
            engine::copy_generation(self.source.address, self.req.id(), to.address, false, COPY_LIMIT).await;
        let took = began.elapsed().as_millis() as u64;
        info!(event = "copy", request = self.req.id(), run = target.placed.run, from = &*self.source.id, to = &*to.id, took_ms = took, outcome:? = called; "copy of a generation");
        self.traffic.shared.metrics.on_move("copy", outcome_word(&called));
        match called {
            Ok(CopyOutcome::Done { handle, .. }) => {
                self.traffic.shared.tell(ToControl::Copied(target.placed.run));
                Ok(Copied { target, handle: Some(handle), stays: false, stop_is_known: false })
            }
            Ok(CopyOutcome::NotRunning | CopyOutcome::Busy) => Err(NotCopied::Later),
            Ok(CopyOutcome::NoRoom { .. } | CopyOutcome::Unexpected(_)) => {
                Err(NotCopied::Elsewhere(to.id.clone()))
            }
            Err(CallError::Broken(_)) => Err(NotCopied::SourceGone),
            // A failed connection does not show that the engine is gone; its stream does. A link that is
            // full of other traffic lets no connection through either, for 0.6 s next to a transfer of a
            // large configuration.
            Err(
                CallError::Connect(_)
                | CallError::TimedOut(_)
                | CallError::Stalled { .. }
                | CallError::TooLarge { .. }
                | CallError::Body(_),
            ) => Err(NotCopied::Later),
        }
    }
}
