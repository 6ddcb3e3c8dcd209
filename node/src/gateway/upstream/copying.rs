//! Copies a running generation to another engine.

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

use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::traffic::Traffic;

/// Delay before a copy is retried: a generation that is still queued can't be copied yet.
pub(super) const COPY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of one copy: several times what the largest generation takes over a busy link.
pub(super) const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Where a generation resumes after it is stopped: its KV cache memory is at another engine, or will be
/// once it has stopped.
pub struct MoveTarget {
    /// The other engine and the run that is reserved there; `None` if the generation can only be resumed
    /// where it stopped.
    pub target: Option<RunGuard>,
    /// Identifies the copy; `None` until the stop is answered, if nothing was copied before.
    pub handle: Option<CopyHandle>,
    /// Whether the generation is to resume at the engine where it stopped, on a new connection, if
    /// possible.
    pub resumes_at_source: bool,
    /// Whether an answer showed that the generation stopped.
    pub is_stopped: bool,
}

impl MoveTarget {
    /// Returns the move target of a generation that can only be resumed where it stopped.
    pub fn at_source() -> MoveTarget {
        MoveTarget { target: None, handle: None, resumes_at_source: true, is_stopped: false }
    }

    /// Records that the generation stopped.
    pub fn on_stopped(&mut self, handle: CopyHandle) {
        self.handle = Some(handle);
        self.is_stopped = true;
    }

    /// Returns the engine that has the copy, or will have it.
    pub fn engine(&self) -> Option<&Arc<ReplicaRecord>> {
        self.target.as_ref().map(|target| &target.placed.replica)
    }

    /// Ends the run that is reserved at the other engine.
    pub fn end(self, outcome: Outcome) {
        if let Some(target) = self.target {
            target.end(outcome);
        }
    }
}

/// The result of a task that runs next to a stream and moves its generation or queries its engine.
pub enum TaskEvent {
    /// A copy was made while the generation kept running.
    Copied(MoveTarget),
    /// The call that stops the generation has not been answered for a while.
    StopOverdue,
    /// A target was found, so a generation whose connection is silent can be stopped and resumed where it
    /// stopped.
    ReadyToStop(MoveTarget),
    /// No copy could be made.
    CopyFailed(CopyFailure),
    /// The engine was silent and is gone.
    EngineGone(UpstreamId),
    /// The engine has produced more events than the `received` ones that its connection delivered.
    ConnectionSilent {
        /// The engine.
        engine: UpstreamId,
        /// Number of events that had been received when the engine was queried.
        received: u64,
    },
}

/// The outcome of a copy call as a metric label.
fn outcome_label(result: &Result<CopyOutcome, CallError>) -> &'static str {
    match result {
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
pub enum CopyFailure {
    /// The engine that runs the generation is gone.
    SourceGone,
    /// The target has no room or can't be reached.
    TargetUnusable(UpstreamId),
    /// The generation is not running yet, another call is in progress, or its engine was not reached.
    NotYet,
}

/// Copies a generation away from an engine that is leaving or overloaded.
pub struct CopyTask {
    /// The state shared by the requests of the traffic thread.
    pub traffic: Traffic,
    /// The request of the generation.
    pub req: Arc<CallerRequest>,
    /// The stream of the generation.
    pub handle: StreamHandle,
    /// The engine that runs the generation.
    pub source: Arc<ReplicaRecord>,
    /// Engines that can't resume the generation.
    pub excluded_engines: Vec<UpstreamId>,
    /// How long to keep retrying.
    pub retry_for: Duration,
}

impl CopyTask {
    /// Copies the generation to an engine with room.
    pub async fn copy(self) -> TaskEvent {
        if !self.retry_for.is_zero() {
            let produced = self.handle.produced.load(Ordering::Relaxed);
            let pace = self.traffic.shared.tokens_per_second(&self.req.service);
            let delay = evacuation::start_delay(self.req.generation_size(), produced, pace);
            tokio::time::sleep(delay).await;
        }
        let until = Instant::now() + self.retry_for;
        let mut exclude = vec![self.source.id.clone()];
        exclude.extend(self.excluded_engines.iter().cloned());
        let always_excluded = exclude.len();
        loop {
            match self.target(&exclude).await {
                Some(target) => match self.copy_to(target).await {
                    Ok(target) => return TaskEvent::Copied(target),
                    Err(CopyFailure::SourceGone) => return TaskEvent::CopyFailed(CopyFailure::SourceGone),
                    Err(CopyFailure::TargetUnusable(refused)) => exclude.push(refused),
                    Err(CopyFailure::NotYet) => tokio::time::sleep(COPY_RETRY_DELAY).await,
                },
                None => {
                    exclude.truncate(always_excluded);
                    tokio::time::sleep(COPY_RETRY_DELAY).await;
                }
            }
            if Instant::now() >= until {
                return TaskEvent::CopyFailed(CopyFailure::NotYet);
            }
        }
    }

    /// Finds an engine that the call to stop the generation can name as its target. The engine is chosen
    /// without regard to its load, as the generation resumes where it stopped; an engine without room
    /// refuses.
    pub async fn find_stop_target(self) -> TaskEvent {
        let mut exclude = vec![self.source.id.clone()];
        exclude.extend(self.excluded_engines.iter().cloned());
        match self.place(None, &exclude).await {
            Some(target) => TaskEvent::ReadyToStop(MoveTarget {
                target: Some(target),
                handle: None,
                resumes_at_source: true,
                is_stopped: false,
            }),
            None => TaskEvent::CopyFailed(CopyFailure::NotYet),
        }
    }

    async fn target(&self, exclude: &[UpstreamId]) -> Option<RunGuard> {
        self.place(Some(self.req.generation_size()), exclude).await
    }

    /// Reserves a run at another engine once copies from the current engine may start. Without `size`,
    /// the engine need not have room.
    async fn place(&self, size: Option<GenerationSize>, exclude: &[UpstreamId]) -> Option<RunGuard> {
        let produced = self.handle.produced.load(Ordering::Relaxed);
        let patience = if self.retry_for.is_zero() { Duration::ZERO } else { evacuation::COPY_START_TIMEOUT };
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
                is_repeatable: self.req.route.is_repeatable(),
                organisation: self.req.organisation_name(),
                gap_objective: self.gap_objective(),
            },
            priority: evacuation::rank(self.req.generation_size(), produced),
            patience,
            leaves_after: patience,
            stream: Some(self.handle.clone()),
        };
        self.traffic.place(request).await.ok()
    }

    /// The gap objective, if the stream has kept it so far.
    fn gap_objective(&self) -> Option<Duration> {
        let longest = self.handle.gaps.longest();
        self.req.route.stated_gap_objective().filter(|objective| longest <= *objective)
    }

    async fn copy_to(&self, target: RunGuard) -> Result<MoveTarget, CopyFailure> {
        let to = target.placed.replica.clone();
        let began = Instant::now();
        let result = engine::copy_generation(
            self.traffic.dialer(&self.source.service),
            self.source.address,
            self.req.id(),
            to.address,
            false,
            COPY_TIMEOUT,
        )
        .await;
        let took = began.elapsed().as_millis() as u64;
        info!(event = "copy", request = self.req.id(), run = target.placed.run, from = &*self.source.id, to = &*to.id, took_ms = took, outcome:? = result; "copy of a generation");
        self.traffic.shared.metrics.on_move("copy", outcome_label(&result));
        match result {
            Ok(CopyOutcome::Done { handle, .. }) => {
                self.traffic.shared.notify(ToControl::Copied(target.placed.run));
                Ok(MoveTarget {
                    target: Some(target),
                    handle: Some(handle),
                    resumes_at_source: false,
                    is_stopped: false,
                })
            }
            Ok(CopyOutcome::NotRunning | CopyOutcome::Busy) => Err(CopyFailure::NotYet),
            Ok(CopyOutcome::NoRoom { .. } | CopyOutcome::Unexpected(_)) => {
                Err(CopyFailure::TargetUnusable(to.id.clone()))
            }
            Err(CallError::Broken(_)) => Err(CopyFailure::SourceGone),
            // A failed connection does not show that the engine is gone; its stream does. A link that is
            // full of other traffic lets no connection through either, for 0.6 s next to a transfer of a
            // large configuration.
            Err(
                CallError::Connect(_)
                | CallError::EndlessHead(_)
                | CallError::TimedOut(_)
                | CallError::Stalled { .. }
                | CallError::TooLarge { .. }
                | CallError::Body(_),
            ) => Err(CopyFailure::NotYet),
        }
    }
}
