//! Resumes a stopped generation: at the engine with its copy, or where it stopped.

use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine::CopySource;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::engine_stream::EngineStream;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;
use crate::gateway::upstream::resuming::ResumeFailure;
use crate::gateway::upstream::stopping::StopOutcome;

/// Timeout of the answer to a stop, once the stream has ended and another engine has a copy.
pub(super) const STOP_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long resuming is retried at engines that refuse a stopped generation.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Fraction of the caller's patience for which unreachable engines are retried: they have refused
/// nothing, and a full link recovers.
const UNREACHABLE_PATIENCE_FRACTION: f64 = 0.75;
/// Delay before both engines are tried again. Engines that refuse requests answer within 8 ms, and most
/// accept the next one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Factor between successive delays. It allows six retries at engines that refuse, as each retry counts
/// against the retry budget.
const RETRY_DELAY_FACTOR: u32 = 3;
/// The longest delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Relay {
    /// Resumes a stopped generation. Two engines hold its KV cache memory, so it is lost only if neither
    /// of them accepts it for as long as its caller waits. The caller's connection and the deadline show how
    /// long that is while an answer to the stop may still arrive.
    pub(super) async fn resume_after_stop(&mut self) -> Result<(), StreamEnd> {
        self.events.discard_partial();
        let move_target = self.move_target.take().ok_or(StreamEnd::EngineLost(EngineLoss::Broken))?;
        let caller = self.tx.clone();
        tokio::select! {
            biased;
            () = caller.closed() => return Err(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(self.req.deadline()) => return Err(StreamEnd::TimedOut),
            resumed = Box::pin(self.resume_in_turn(move_target)) => resumed?,
        }
        self.drop_tasks();
        self.evacuate_if_leaving();
        Ok(())
    }

    /// Handles the end of an unframed stream whose generation may have been stopped. Only the answer to the
    /// only call that stops it shows that the stream ended regularly: another call may have stopped it.
    pub(super) async fn on_unframed_end(&mut self) -> Result<(), StreamEnd> {
        if self.stops.is_unanswered()
            && let Ok(outcome) = tokio::time::timeout(STOP_ANSWER_TIMEOUT, self.stops.next()).await
        {
            match (outcome, &mut self.move_target) {
                (StopOutcome::Stopped(handle), Some(move_target)) => move_target.on_stopped(handle),
                (StopOutcome::Stopped(handle), None) => self.stops.keep_handle(handle),
                (StopOutcome::NotRunning | StopOutcome::Busy | StopOutcome::NotSent, _)
                    if self.stops.is_only_call() =>
                {
                    return self.on_unstopped_end().await;
                }
                _ => {}
            }
        }
        self.on_break("closed").await
    }

    /// Tries the engine with the copy, then the one where the generation stopped, until one of them
    /// resumes it. A generation that is to stay at its engine is tried there first.
    async fn resume_in_turn(&mut self, mut move_target: MoveTarget) -> Result<(), StreamEnd> {
        let began = Instant::now();
        let mut delay = INITIAL_RETRY_DELAY;
        let mut at_target = None;
        let mut tries_target = !move_target.resumes_at_source;
        loop {
            self.await_handle(&mut move_target).await?;
            if tries_target
                && at_target != Some(ResumeFailure::Failed)
                && let Some(target) = move_target.engine().cloned()
            {
                match self.resume_at_target(&target, &mut move_target).await {
                    Ok(exchange) => {
                        self.continue_at_target(move_target, exchange);
                        return Ok(());
                    }
                    Err(ResumeFailure::Unknown) => {
                        return Err(StreamEnd::EngineLost(EngineLoss::ResumeUnknown));
                    }
                    Err(why) => at_target = Some(why),
                }
            }
            let at_source = match self.resume_at_source(&mut move_target).await {
                Ok(exchange) => {
                    self.stay_at_source(move_target, exchange, at_target);
                    return Ok(());
                }
                Err(ResumeFailure::Unknown) => {
                    return Err(StreamEnd::EngineLost(EngineLoss::ResumeUnknown));
                }
                Err(why) => why,
            };
            tries_target = true;
            let why = at_target.into_iter().chain([at_source]);
            let awaits_stop = !move_target.is_stopped && self.stops.is_unanswered();
            if self.resume_time_limit(awaits_stop, why).is_some_and(|limit| began.elapsed() + delay > limit) {
                return Err(StreamEnd::EngineLost(EngineLoss::NotResumed));
            }
            tokio::time::sleep(delay).await;
            delay = (delay * RETRY_DELAY_FACTOR).min(MAX_RETRY_DELAY);
        }
    }

    /// Waits for the handle of a generation that has no copy yet: no engine resumes it without.
    async fn await_handle(&mut self, move_target: &mut MoveTarget) -> Result<(), StreamEnd> {
        if move_target.handle.is_none() {
            let handle = self.stops.handle(self.unreachable_limit()).await;
            move_target.on_stopped(handle.ok_or(StreamEnd::EngineLost(EngineLoss::NotResumed))?);
        }
        Ok(())
    }

    /// How long the engines are tried, by why they did not resume the generation. A stream that may be
    /// resumed anywhere is tried only once, as any other engine can continue it. `None` for as long as the
    /// caller waits: an engine that has not answered the stop keeps the generation, or still runs it.
    fn resume_time_limit(
        &self,
        awaits_stop: bool,
        mut why: impl Iterator<Item = ResumeFailure>,
    ) -> Option<Duration> {
        if self.req.route.resumable {
            Some(Duration::ZERO)
        } else if awaits_stop {
            None
        } else if why.any(|why| why == ResumeFailure::Unreached) {
            Some(self.unreachable_limit())
        } else {
            Some(RESUME_TIMEOUT)
        }
    }

    fn unreachable_limit(&self) -> Duration {
        self.req.route.caller_patience().mul_f64(UNREACHABLE_PATIENCE_FRACTION)
    }

    /// Requests that the engine with the copy resume the generation. That engine computes again what the
    /// copy lacks, so the end of the last copy is awaited only if the engine refuses without it.
    async fn resume_at_target(
        &mut self,
        target: &ReplicaRecord,
        move_target: &mut MoveTarget,
    ) -> Result<Exchange, ResumeFailure> {
        let resumed = self.resume_from_copy(target, move_target).await;
        let is_refused = matches!(resumed, Err(ResumeFailure::Refused));
        if is_refused && self.await_stop_outcome(move_target).await {
            return self.resume_from_copy(target, move_target).await;
        }
        resumed
    }

    /// Requests that the engine where the generation stopped, which keeps its memory, resume it.
    async fn resume_at_source(&mut self, move_target: &mut MoveTarget) -> Result<Exchange, ResumeFailure> {
        let here = self.engine_stream.run.placed.replica.clone();
        self.await_stop_outcome(move_target).await;
        let resumed = self.resume_from_copy(&here, move_target).await;
        if matches!(resumed, Err(ResumeFailure::Refused)) && move_target.target.is_none() {
            // The handle may be that of an earlier stop.
            move_target.handle = None;
        }
        resumed
    }

    /// Continues the generation at the engine with the copy.
    fn continue_at_target(&mut self, move_target: MoveTarget, exchange: Exchange) {
        if let Some(run) = move_target.target {
            self.switch_to(EngineStream { run, exchange: Some(exchange) }, Outcome::Withdrawn);
        }
    }

    /// Continues the generation where it stopped, because it was to stay there or the engine with the
    /// copy did not accept it.
    fn stay_at_source(
        &mut self,
        move_target: MoveTarget,
        exchange: Exchange,
        at_target: Option<ResumeFailure>,
    ) {
        self.engine_stream.exchange = Some(exchange);
        self.on_resumed();
        let Some(why) = at_target else {
            info!(event = "went_on", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id, events = self.events.events(); "the generation was resumed at its engine on a new connection");
            move_target.end(Outcome::Withdrawn);
            return;
        };
        let here = &self.engine_stream.run.placed.replica.id;
        let failing = move_target.engine().map(|engine| engine.id.clone());
        info!(event = "went_back", request = self.req.id(), upstream = &**here, failing = failing.as_deref().unwrap_or_default(), reason:% = why; "the generation was resumed where it stopped");
        move_target.end(if why == ResumeFailure::Refused { Outcome::Refused } else { Outcome::Failed });
        self.failed_engines.extend(failing);
    }

    /// Waits briefly for the answer to the stop, if it is not known yet. Returns whether it shows now that the
    /// generation stopped.
    async fn await_stop_outcome(&mut self, move_target: &mut MoveTarget) -> bool {
        if move_target.is_stopped || !self.stops.is_unanswered() {
            return false;
        }
        let outcome = tokio::time::timeout(STOP_ANSWER_TIMEOUT, self.stops.next()).await;
        if let Ok(StopOutcome::Stopped(handle)) = outcome {
            move_target.on_stopped(handle);
            return true;
        }
        false
    }

    /// Resumes the generation at `engine` from a copy of its memory. A handle serves once, so the engine refuses
    /// the request if it ran one whose connection broke: it may be asked again, but no other engine may, save
    /// for a stream that may be resumed anywhere.
    async fn resume_from_copy(
        &self,
        engine: &ReplicaRecord,
        move_target: &MoveTarget,
    ) -> Result<Exchange, ResumeFailure> {
        let resumed = self.request_from_copy(engine, move_target).await;
        match resumed {
            Err(ResumeFailure::Broken) if self.req.route.resumable => Err(ResumeFailure::Unknown),
            Err(ResumeFailure::Broken) => self.repeat_request_from_copy(engine, move_target).await,
            resumed => resumed,
        }
    }

    /// Repeats a request to resume the generation whose connection broke.
    async fn repeat_request_from_copy(
        &self,
        engine: &ReplicaRecord,
        move_target: &MoveTarget,
    ) -> Result<Exchange, ResumeFailure> {
        let until = Instant::now() + RESUME_TIMEOUT;
        let mut delay = INITIAL_RETRY_DELAY;
        while Instant::now() + delay < until {
            tokio::time::sleep(delay).await;
            delay = (delay * RETRY_DELAY_FACTOR).min(MAX_RETRY_DELAY);
            match self.request_from_copy(engine, move_target).await {
                Ok(exchange) => return Ok(exchange),
                Err(ResumeFailure::Failed | ResumeFailure::Unknown) => break,
                Err(ResumeFailure::Refused | ResumeFailure::Unreached | ResumeFailure::Broken) => {}
            }
        }
        Err(ResumeFailure::Unknown)
    }

    /// Sends one request to resume the generation from a copy of its memory.
    async fn request_from_copy(
        &self,
        engine: &ReplicaRecord,
        move_target: &MoveTarget,
    ) -> Result<Exchange, ResumeFailure> {
        let Some(handle) = move_target.handle.clone() else {
            return Err(ResumeFailure::Refused);
        };
        let copy = CopySource { engine: self.engine_stream.run.placed.replica.address, handle };
        let resume = Resume { copy: Some(copy), last_event: self.events.last_id().map(str::to_owned) };
        self.resume(engine, &resume, "resume").await
    }
}
