//! Resumes a stream of a resumable route at another engine, after the last event that its caller has,
//! when its engine is lost or silent.

use leadstage_platform::engine::Resume;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::engine_stream::EngineStream;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;
use crate::gateway::upstream::resuming::ResumeFailure;
use crate::gateway::upstream::stall;
use crate::gateway::upstream::stall::StallAction;
use crate::gateway::upstream::stall::StallWatch;

impl Relay {
    /// Handles an engine that has been silent for too long.
    pub(super) async fn on_silence(&mut self) -> Result<(), StreamEnd> {
        let action = self.stall.on_due();
        if !self.req.route.resumable {
            self.on_silence_of_the_only_run();
            return Ok(());
        }
        if action == StallAction::Abandon {
            return Err(StreamEnd::EngineLost(EngineLoss::Silent));
        }
        let (traffic, req) = (self.traffic.clone(), self.req.clone());
        let engine = self.engine_stream.run.placed.replica.clone();
        let task_events = self.task_events_tx.clone();
        self.probe_task = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            if stall::is_gone(&traffic, &req, &engine).await {
                let _ = task_events.send(TaskEvent::EngineGone(engine.id.clone()));
            }
        })));
        Ok(())
    }

    /// Resumes the stream after its engine was lost together with the generation's memory. If the route
    /// allows it, another engine repeats the prefill and continues after the last event that the caller
    /// has.
    pub(super) async fn resume_after_last_event(&mut self, loss: EngineLoss) -> Result<(), StreamEnd> {
        info!(event = "engine_abandoned", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id, events = self.events.events(), reason:% = loss; "the engine of a stream is abandoned");
        self.abandon_engine();
        while self.traffic.may_retry(&self.req, self.sent).await {
            let caller = self.tx.clone();
            let resumed = tokio::select! {
                biased;
                () = caller.closed() => return Err(StreamEnd::CallerLeft),
                resumed = self.resume_elsewhere(loss) => resumed,
            };
            if resumed? {
                return Ok(());
            }
        }
        Err(StreamEnd::EngineLost(loss))
    }

    /// Closes the connection, so that the lost engine does not run the generation in parallel with the
    /// next one, and drops the tasks in progress for it.
    fn abandon_engine(&mut self) {
        self.engine_stream.exchange = None;
        self.events.discard_partial();
        self.drop_tasks();
        self.failed_engines.push(self.engine_stream.run.placed.replica.id.clone());
    }

    /// Sends the request to one more engine; returns whether the stream is resumed there.
    async fn resume_elsewhere(&mut self, loss: EngineLoss) -> Result<bool, StreamEnd> {
        let placed = self.traffic.place_generation(&self.req, &self.handle, &self.failed_engines).await;
        let run = placed.map_err(|_| StreamEnd::EngineLost(EngineLoss::NoEngine))?;
        self.sent += 1;
        let engine = run.placed.replica.clone();
        let resume = Resume { copy: None, last_event: self.events.last_id().map(str::to_owned) };
        match self.resume(&engine, &resume, "go on").await {
            Ok(exchange) => {
                self.stall = StallWatch::new(&self.req.route);
                self.awaits_first_event = true;
                self.switch_to(EngineStream { run, exchange: Some(exchange) }, loss.outcome());
                Ok(true)
            }
            Err(why) => {
                self.failed_engines.push(engine.id.clone());
                run.end(if why == ResumeFailure::Refused { Outcome::Refused } else { Outcome::Failed });
                Ok(false)
            }
        }
    }
}
