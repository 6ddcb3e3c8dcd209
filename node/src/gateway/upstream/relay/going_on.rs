//! Resumes a stream of a resumable route at another engine, after the last event that its caller has,
//! when its engine is lost or silent.

use leadstage_platform::engine::Resume;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::Step;
use crate::gateway::upstream::leg::Leg;
use crate::gateway::upstream::relay::End;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::resuming::NotResumed;
use crate::gateway::upstream::stall;
use crate::gateway::upstream::stall::Silence;
use crate::gateway::upstream::stall::StallWatch;

impl Relay {
    /// Handles an engine that has been silent for too long.
    pub(super) async fn on_silence(&mut self) -> Result<(), End> {
        let silence = self.stall.on_due();
        if !self.req.route.resumable {
            self.doubt_connection();
            return Ok(());
        }
        if silence == Silence::Leave {
            return Err(End::EngineLost);
        }
        let (traffic, req) = (self.traffic.clone(), self.req.clone());
        let engine = self.leg.run.placed.replica.clone();
        let steps = self.steps_tx.clone();
        self.asking = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            if stall::is_gone(&traffic, &req, &engine).await {
                let _ = steps.send(Step::EngineGone(engine.id.clone()));
            }
        })));
        Ok(())
    }

    /// Resumes the stream after its engine was lost together with the generation's memory. If the route
    /// allows it, another engine repeats the prefill and continues after the last event that the caller
    /// has.
    pub(super) async fn go_on_after_last_event(&mut self) -> Result<(), End> {
        self.give_up_leg();
        while self.traffic.may_send_again(&self.req, self.sent).await {
            let caller = self.tx.clone();
            let went_on = tokio::select! {
                biased;
                () = caller.closed() => return Err(End::CallerLeft),
                went_on = self.begin_again() => went_on,
            };
            if went_on? {
                return Ok(());
            }
        }
        Err(End::EngineLost)
    }

    /// Closes the connection, so that the lost engine does not run the generation in parallel with the
    /// next one, and drops the tasks in progress for it.
    fn give_up_leg(&mut self) {
        self.leg.exchange = None;
        self.events.drop_part();
        self.drop_tasks();
        self.failing.push(self.leg.run.placed.replica.id.clone());
    }

    /// Sends the request to one more engine; returns whether the stream is resumed there.
    async fn begin_again(&mut self) -> Result<bool, End> {
        let placed = self.traffic.place_generation(&self.req, &self.handle, &self.failing).await;
        let run = placed.map_err(|_| End::EngineLost)?;
        self.sent += 1;
        let engine = run.placed.replica.clone();
        let resume = Resume { copy: None, last_event: self.events.last_id().map(str::to_owned) };
        match self.resume(&engine, &resume, "go on").await {
            Ok(exchange) => {
                self.stall = StallWatch::new(&self.req.route);
                self.is_reading = true;
                self.move_to(Leg { run, exchange: Some(exchange) }, Outcome::Failed);
                Ok(true)
            }
            Err(why) => {
                self.failing.push(engine.id.clone());
                run.end(if why == NotResumed::Refused { Outcome::Refused } else { Outcome::Failed });
                Ok(false)
            }
        }
    }
}
