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

/// Pause before a copy is asked for again: a generation that waits can't be copied yet.
const COPY_PAUSE: Duration = Duration::from_millis(40);
/// Time for one copy: some times that of the largest generation over a busy link.
const COPY_LIMIT: Duration = Duration::from_millis(2_500);

/// A generation that goes on after a stop: its memory is at another engine, or is there once it has
/// stopped.
pub struct Copied {
    /// The engine, and the generation's place there.
    pub target: RunGuard,
    /// Names the copy; `None` until the stop is answered, if nothing was copied before.
    pub handle: Option<CopyHandle>,
    /// Whether the generation is to go on where it stopped, on a new connection, if it can.
    pub stays: bool,
    /// Whether the stop of the generation was answered.
    pub stop_is_known: bool,
}

impl Copied {
    /// Takes the answer to the stop in.
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

/// The answer to a call that is to stop a generation.
pub type StopAnswer = Result<CopyOutcome, CallError>;

/// What a call that is to stop a generation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The generation stopped.
    Stopped,
    /// It did not stop: it runs on, waits, or has just ended by itself.
    RunsOn,
    /// It may have stopped: if so, its stream breaks.
    Unknown,
}

/// Stops a generation at its engine; the call also copies the rest, behind all other copies on
/// these links. A call that found no connection is made again, as nothing was sent: beside a
/// configuration of 282 kB on a link of 10 Mbit/s none came up for 0.6 s, by the log of one stream.
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

/// What a task beside a stream has come to: one that moves its generation, or asks its engine.
pub enum Step {
    /// A copy was made while the generation ran on.
    Copied(Copied),
    /// The call that stops the generation was answered, or got no answer.
    StopAnswered(StopAnswer),
    /// A generation whose connection is silent can be stopped, to go on where it stopped.
    CanStop(Copied),
    /// No copy could be made.
    GaveUp(NotCopied),
    /// The engine was silent, and is gone.
    EngineGone(UpstreamId),
    /// The engine had made more events than the `came` that its connection passed on.
    ConnectionSilent {
        /// The engine.
        engine: UpstreamId,
        /// Events that had come when it was asked.
        came: u64,
    },
}

/// The outcome of a call to copy, as a label.
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
    /// The engine that it runs on is gone.
    SourceGone,
    /// The target has no room, or can't be reached.
    Elsewhere(UpstreamId),
    /// It does not run yet, another call is under way, or its engine was not reached.
    Later,
}

/// Copies a generation away from an engine that leaves.
pub struct Copying {
    /// The traffic side.
    pub traffic: Traffic,
    /// The request.
    pub req: Arc<CallerRequest>,
    /// The stream.
    pub handle: StreamHandle,
    /// The engine that it runs on.
    pub source: Arc<ReplicaRecord>,
    /// Engines that it can't go on at.
    pub avoid: Vec<UpstreamId>,
    /// How long to go on trying.
    pub insist: Duration,
}

impl Copying {
    /// Copies to some engine with room.
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

    /// Finds an engine that the call to stop the generation can name. It is not asked for room by its
    /// load, as the generation goes on where it stopped; one that is full says so.
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

    /// Places the generation at an engine when it is the turn of a copy from its own one; without its
    /// size, whether there is room or not.
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
                self.traffic.shared.notify(ToControl::Copied(target.placed.run));
                Ok(Copied { target, handle: Some(handle), stays: false, stop_is_known: false })
            }
            Ok(CopyOutcome::NotRunning | CopyOutcome::Busy) => Err(NotCopied::Later),
            Ok(CopyOutcome::NoRoom { .. } | CopyOutcome::Unexpected(_)) => {
                Err(NotCopied::Elsewhere(to.id.clone()))
            }
            Err(CallError::Broken(_)) => Err(NotCopied::SourceGone),
            // What shows that the engine is gone is its stream: a link that other traffic fills lets
            // no connection come up either, beside a large configuration for 0.6 s.
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
