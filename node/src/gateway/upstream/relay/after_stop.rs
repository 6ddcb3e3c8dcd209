//! Resumes a stopped generation: at the engine with its copy, or where it stopped.

use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine::CopySource;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::time::Instant;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::Copied;
use crate::gateway::upstream::copying::Step;
use crate::gateway::upstream::copying::Stop;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::leg::Leg;
use crate::gateway::upstream::relay::End;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::resuming::NotResumed;

/// Timeout of the answer to a stop, once the stream has ended.
pub(super) const STOP_ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// How long resuming is retried at engines that refuse a stopped generation.
const ASK_WITHIN: Duration = Duration::from_millis(1_500);
/// Fraction of the caller's patience for which unreachable engines are retried: they have refused
/// nothing, and a full link recovers.
const REACH_WITHIN: f64 = 0.75;
/// Delay before both engines are tried again. Engines that refuse requests answer within 8 ms, and most
/// accept the next one.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Factor from one delay to the next: engines that refuse are tried again after six delays at most, as
/// each retry counts against the retry budget.
const PAUSE_GROWTH: u32 = 3;
/// The longest delay.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

impl Relay {
    /// Resumes a stopped generation. Two engines hold its KV cache memory, so it is lost only if neither
    /// of them accepts it for as long as its caller waits.
    pub(super) async fn go_on_after_stop(&mut self) -> Result<(), End> {
        self.events.drop_part();
        let copied = self.stopping.take().ok_or(End::EngineLost)?;
        let caller = self.tx.clone();
        tokio::select! {
            biased;
            () = caller.closed() => return Err(End::CallerLeft),
            taken = self.ask_in_turn(copied) => taken?,
        }
        self.drop_tasks();
        self.leave();
        Ok(())
    }

    /// Handles the end of an unframed stream whose generation was to be stopped. Only the answer to the
    /// stop shows whether the stream ended regularly.
    pub(super) async fn on_unframed_end(&mut self) -> Result<(), End> {
        let mut copied = self.stopping.take().ok_or(End::EngineLost)?;
        if self.await_stop(&mut copied).await == Some(Stop::RunsOn) {
            return Err(self.on_regular_end().await);
        }
        self.stopping = Some(copied);
        self.on_break("closed").await
    }

    /// Tries the engine with the copy, then the one where the generation stopped, until one of them
    /// resumes it. A generation that is to stay at its engine is tried there first.
    async fn ask_in_turn(&mut self, mut copied: Copied) -> Result<(), End> {
        let began = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut at_copy = None;
        let mut asks_copy = !copied.stays;
        loop {
            if asks_copy && at_copy != Some(NotResumed::Failed) {
                match self.ask_copy(&mut copied).await {
                    Ok(exchange) => {
                        let leg = Leg { run: copied.target, exchange: Some(exchange) };
                        self.move_to(leg, Outcome::Withdrawn);
                        return Ok(());
                    }
                    Err(NotResumed::Unknown) => return Err(End::EngineLost),
                    Err(why) => at_copy = Some(why),
                }
            }
            let at_source = match self.ask_source(&mut copied).await {
                Ok(exchange) => {
                    self.go_back(copied, exchange, at_copy);
                    return Ok(());
                }
                Err(NotResumed::Unknown) => return Err(End::EngineLost),
                Err(why) => why,
            };
            asks_copy = true;
            if began.elapsed() + pause > self.ask_within(at_copy.into_iter().chain([at_source])) {
                return Err(End::EngineLost);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * PAUSE_GROWTH).min(LONGEST_PAUSE);
        }
    }

    /// How long the engines are tried, by why they did not resume the generation. A stream that may be
    /// resumed anywhere is tried only once, as any other engine can continue it.
    fn ask_within(&self, mut why: impl Iterator<Item = NotResumed>) -> Duration {
        if self.req.route.resumable {
            Duration::ZERO
        } else if why.any(|why| why == NotResumed::Unreached) {
            self.req.route.caller_patience().mul_f64(REACH_WITHIN)
        } else {
            ASK_WITHIN
        }
    }

    /// Requests the engine with the copy to resume the generation. That engine computes again what the
    /// copy lacks, so the end of the last copy is awaited only if the engine refuses without it.
    async fn ask_copy(&mut self, copied: &mut Copied) -> Result<Exchange, NotResumed> {
        let target = copied.target.placed.replica.clone();
        let resumed = self.resume_copy(&target, copied).await;
        let is_refused = matches!(resumed, Err(NotResumed::Refused));
        if is_refused && self.await_stop(copied).await == Some(Stop::Stopped) {
            return self.resume_copy(&target, copied).await;
        }
        resumed
    }

    /// Requests the engine where the generation stopped, which keeps its memory, to resume it.
    async fn ask_source(&mut self, copied: &mut Copied) -> Result<Exchange, NotResumed> {
        let here = self.leg.run.placed.replica.clone();
        self.await_stop(copied).await;
        self.resume_copy(&here, copied).await
    }

    /// Continues the generation where it stopped, because it was to stay there or the engine with the
    /// copy did not accept it.
    fn go_back(&mut self, copied: Copied, exchange: Exchange, at_copy: Option<NotResumed>) {
        self.leg.exchange = Some(exchange);
        let Some(why) = at_copy else {
            info!(event = "went_on", request = self.req.id(), upstream = &*self.leg.run.placed.replica.id, events = self.events.events(); "the generation goes on on a new connection");
            copied.target.end(Outcome::Withdrawn);
            return;
        };
        let here = &self.leg.run.placed.replica.id;
        let failing = copied.target.placed.replica.id.clone();
        info!(event = "went_back", request = self.req.id(), upstream = &**here, failing = &*failing, reason:% = why; "the generation goes on where it stopped");
        copied.target.end(if why == NotResumed::Refused { Outcome::Refused } else { Outcome::Failed });
        self.failing.push(failing);
    }

    /// Waits for the answer to the stop, if it is not known yet. Returns the outcome if the answer was
    /// received now.
    async fn await_stop(&mut self, copied: &mut Copied) -> Option<Stop> {
        if copied.stop_is_known {
            return None;
        }
        // The result of a query of the stopped stream's engine would be mistaken for the answer to the
        // stop.
        self.asking = None;
        match tokio::time::timeout(STOP_ANSWER_LIMIT, self.steps.recv()).await {
            Ok(Some(Step::StopAnswered(answer))) => Some(copied.note_stop(answer)),
            _ => None,
        }
    }

    /// Resumes the generation at `engine` from a copy of its memory.
    async fn resume_copy(&self, engine: &ReplicaRecord, copied: &Copied) -> Result<Exchange, NotResumed> {
        let Some(handle) = copied.handle.clone() else {
            return Err(NotResumed::Refused);
        };
        let copy = CopySource { engine: self.leg.run.placed.replica.address, handle };
        let resume = Resume { copy: Some(copy), last_event: self.events.last_id().map(str::to_owned) };
        self.resume(engine, &resume, "resume").await
    }
}
