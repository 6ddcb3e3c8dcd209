//! Resumes a stopped generation: at the engine with its copy, or where it stopped.

use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine::CopySource;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::copying::StopOutcome;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::engine_stream::EngineStream;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;
use crate::gateway::upstream::resuming::ResumeFailure;

/// Timeout of the answer to a stop, once the stream has ended.
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
    /// of them accepts it for as long as its caller waits.
    pub(super) async fn resume_after_stop(&mut self) -> Result<(), StreamEnd> {
        self.events.discard_partial();
        let move_target = self.move_target.take().ok_or(StreamEnd::EngineLost(EngineLoss::Broken))?;
        let caller = self.tx.clone();
        tokio::select! {
            biased;
            () = caller.closed() => return Err(StreamEnd::CallerLeft),
            resumed = self.resume_in_turn(move_target) => resumed?,
        }
        self.drop_tasks();
        self.evacuate_if_leaving();
        Ok(())
    }

    /// Handles the end of an unframed stream whose generation was to be stopped. Only the answer to the
    /// stop shows whether the stream ended regularly.
    pub(super) async fn on_unframed_end(&mut self) -> Result<(), StreamEnd> {
        let mut move_target = self.move_target.take().ok_or(StreamEnd::EngineLost(EngineLoss::Broken))?;
        if self.await_stop_answer(&mut move_target).await == Some(StopOutcome::NotStopped) {
            return Err(self.on_stream_end().await);
        }
        self.move_target = Some(move_target);
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
            if tries_target && at_target != Some(ResumeFailure::Failed) {
                match self.resume_at_target(&mut move_target).await {
                    Ok(exchange) => {
                        let engine_stream =
                            EngineStream { run: move_target.target, exchange: Some(exchange) };
                        self.switch_to(engine_stream, Outcome::Withdrawn);
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
            if began.elapsed() + delay > self.resume_time_limit(at_target.into_iter().chain([at_source])) {
                return Err(StreamEnd::EngineLost(EngineLoss::NotResumed));
            }
            tokio::time::sleep(delay).await;
            delay = (delay * RETRY_DELAY_FACTOR).min(MAX_RETRY_DELAY);
        }
    }

    /// How long the engines are tried, by why they did not resume the generation. A stream that may be
    /// resumed anywhere is tried only once, as any other engine can continue it.
    fn resume_time_limit(&self, mut why: impl Iterator<Item = ResumeFailure>) -> Duration {
        if self.req.route.resumable {
            Duration::ZERO
        } else if why.any(|why| why == ResumeFailure::Unreached) {
            self.req.route.caller_patience().mul_f64(UNREACHABLE_PATIENCE_FRACTION)
        } else {
            RESUME_TIMEOUT
        }
    }

    /// Requests that the engine with the copy resume the generation. That engine computes again what the
    /// copy lacks, so the end of the last copy is awaited only if the engine refuses without it.
    async fn resume_at_target(&mut self, move_target: &mut MoveTarget) -> Result<Exchange, ResumeFailure> {
        let target = move_target.target.placed.replica.clone();
        let resumed = self.resume_from_copy(&target, move_target).await;
        let is_refused = matches!(resumed, Err(ResumeFailure::Refused));
        if is_refused && self.await_stop_answer(move_target).await == Some(StopOutcome::Stopped) {
            return self.resume_from_copy(&target, move_target).await;
        }
        resumed
    }

    /// Requests that the engine where the generation stopped, which keeps its memory, resume it.
    async fn resume_at_source(&mut self, move_target: &mut MoveTarget) -> Result<Exchange, ResumeFailure> {
        let here = self.engine_stream.run.placed.replica.clone();
        self.await_stop_answer(move_target).await;
        self.resume_from_copy(&here, move_target).await
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
        let Some(why) = at_target else {
            info!(event = "went_on", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id, events = self.events.events(); "the generation was resumed at its engine on a new connection");
            move_target.target.end(Outcome::Withdrawn);
            return;
        };
        let here = &self.engine_stream.run.placed.replica.id;
        let failing = move_target.target.placed.replica.id.clone();
        info!(event = "went_back", request = self.req.id(), upstream = &**here, failing = &*failing, reason:% = why; "the generation was resumed where it stopped");
        move_target.target.end(if why == ResumeFailure::Refused {
            Outcome::Refused
        } else {
            Outcome::Failed
        });
        self.failed_engines.push(failing);
    }

    /// Waits for the answer to the stop, if it is not known yet. Returns the outcome if the answer was
    /// received now.
    async fn await_stop_answer(&mut self, move_target: &mut MoveTarget) -> Option<StopOutcome> {
        if move_target.stop_answered {
            return None;
        }
        // The result of a query of the stopped stream's engine would be mistaken for the answer to the
        // stop.
        self.probe_task = None;
        match tokio::time::timeout(STOP_ANSWER_TIMEOUT, self.task_events.recv()).await {
            Ok(Some(TaskEvent::StopAnswered(answer))) => Some(move_target.record_stop(answer)),
            _ => None,
        }
    }

    /// Resumes the generation at `engine` from a copy of its memory.
    async fn resume_from_copy(
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
