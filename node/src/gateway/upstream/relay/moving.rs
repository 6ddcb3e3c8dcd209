//! Moves a stream's generation to another engine, with a copy of its memory.

use std::fmt::Display;
use std::time::Duration;

use leadstage_platform::engine::CopyOutcome;
use log::info;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::StreamCommand;
use crate::gateway::upstream::copying;
use crate::gateway::upstream::copying::Copied;
use crate::gateway::upstream::copying::Copying;
use crate::gateway::upstream::copying::NotCopied;
use crate::gateway::upstream::copying::Step;
use crate::gateway::upstream::copying::Stop;
use crate::gateway::upstream::copying::StopAnswer;
use crate::gateway::upstream::relay::End;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::after_stop::STOP_ANSWER_LIMIT;

/// How long an engine that is leaving is asked for copies: the longest that one serves on.
const EVACUATE_WITHIN: Duration = Duration::from_secs(12);
/// Engines without room that are named to stop a silent generation, one after the other, before it
/// waits to be doubted again: where all are full, each node would ask for each of its generations
/// at each engine.
const MOST_UNFIT: usize = 3;
/// Time for the rest of a stopped generation's events to arrive.
const DRAIN_LIMIT: Duration = Duration::from_millis(80);

impl Relay {
    pub(super) fn on_order(&mut self, order: StreamCommand) -> Result<(), End> {
        let here = &self.leg.run.placed.replica;
        match order {
            StreamCommand::Lost(of) if of.id == here.id && of.born > here.born => {
                return Err(End::EngineLost);
            }
            StreamCommand::Lost(_) => {}
            StreamCommand::Rebalance(engine) if engine == here.id && self.moving.is_none() => {
                self.start_copy(Duration::ZERO)
            }
            StreamCommand::Rebalance(_) => {}
            StreamCommand::Evacuate(engine) => {
                self.leaving.push(engine);
                self.leave();
            }
        }
        Ok(())
    }

    /// Starts to move the generation if its engine leaves and no move is under way. One that
    /// is under way goes on, even to an engine that leaves as well: that is still later.
    pub(super) fn leave(&mut self) {
        if self.moving.is_none() && self.leaving.contains(&self.leg.run.placed.replica.id) {
            self.start_copy(EVACUATE_WITHIN);
        }
    }

    fn start_copy(&mut self, insist: Duration) {
        let copying = self.copying(insist);
        self.start_move(copying.copy());
    }

    /// Stops the generation at once, so that it goes on here, on a new connection. In a hall that is
    /// closed it could not: there a copy is made elsewhere while it runs on.
    pub(super) fn stop_and_go_on_here(&mut self) {
        if !self.traffic.shared.closed_halls().is_open(&self.leg.run.placed.replica.hall) {
            return self.start_copy(Duration::ZERO);
        }
        let mut copying = self.copying(Duration::ZERO);
        copying.avoid.extend(self.unfit.iter().cloned());
        self.start_move(copying.prepare_stop());
    }

    fn copying(&self, insist: Duration) -> Copying {
        Copying {
            traffic: self.traffic.clone(),
            req: self.req.clone(),
            handle: self.handle.clone(),
            source: self.leg.run.placed.replica.clone(),
            avoid: self.failing.clone(),
            insist,
        }
    }

    /// Does a part of a move beside the stream.
    fn start_move(&mut self, part: impl Future<Output = Step> + 'static) {
        let steps = self.steps_tx.clone();
        self.moving = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            // The stream may be over by now.
            let _ = steps.send(part.await);
        })));
    }

    pub(super) async fn on_step(&mut self, step: Step) -> Result<(), End> {
        match step {
            Step::EngineGone(engine) if engine == self.leg.run.placed.replica.id => Err(End::EngineLost),
            Step::EngineGone(_) => Ok(()),
            Step::ConnectionSilent { engine, came } => {
                if engine == self.leg.run.placed.replica.id {
                    self.on_silent_connection(came);
                }
                Ok(())
            }
            Step::Copied(copied) if self.leaving.contains(&copied.target.placed.replica.id) => {
                info!(event = "copy_dropped", request = self.req.id(), upstream = &*copied.target.placed.replica.id; "the copy's engine leaves as well");
                self.moving = None;
                drop(copied);
                self.leave();
                Ok(())
            }
            Step::Copied(copied) | Step::CanStop(copied) => {
                self.start_stop(copied);
                Ok(())
            }
            Step::StopAnswered(answer) => self.on_stop_answer(answer).await,
            Step::GaveUp(why) => {
                self.moving = None;
                if why != NotCopied::SourceGone {
                    self.leave();
                }
                Ok(())
            }
        }
    }

    /// Stops the generation at its engine, beside its stream.
    fn start_stop(&mut self, copied: Copied) {
        let source = self.leg.run.placed.replica.clone();
        let target = copied.target.placed.replica.address;
        let req = self.req.clone();
        self.stopping = Some(copied);
        self.start_move(async move { Step::StopAnswered(copying::stop(&source, req.id(), target).await) });
    }

    /// Nobody is asked to go on with a generation that may still run: the engine that runs it would
    /// refuse, and its stream, which is sound, would end.
    async fn on_stop_answer(&mut self, answer: StopAnswer) -> Result<(), End> {
        let is_refused = matches!(answer, Ok(CopyOutcome::NoRoom { handle: None }));
        info!(event = "stop", request = self.req.id(), upstream = &*self.leg.run.placed.replica.id, outcome:? = answer; "a generation was to stop");
        let stop = self.stopping.as_mut().map_or(Stop::RunsOn, |copied| copied.note_stop(answer));
        if stop == Stop::Stopped {
            return match self.drain().await {
                Some(end) => Err(end),
                None => self.go_on_after_stop().await,
            };
        }
        self.moving = None;
        if let Some(copied) = self.stopping.take_if(|copied| copied.stays) {
            // It runs on, its connection as silent as before: another engine may be named.
            if is_refused && self.unfit.len() < MOST_UNFIT {
                self.unfit.push(copied.target.placed.replica.id.clone());
                self.stop_and_go_on_here();
            }
            self.leave();
            return Ok(());
        }
        // The copy is kept for a generation that may have stopped: its stream is about to break.
        if stop == Stop::RunsOn {
            self.stopping = None;
        }
        self.leave();
        Ok(())
    }

    /// Passes on what a stopped generation still sends. Returns an end if the generation
    /// had ended by itself.
    async fn drain(&mut self) -> Option<End> {
        let until = Instant::now() + DRAIN_LIMIT;
        loop {
            let frame = tokio::time::timeout_at(until, self.leg.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Err(end) = self.on_frame(frame.into_data().unwrap_or_default()).await {
                        return Some(end);
                    }
                }
                Ok(None) if self.leg.is_framed() => return Some(self.on_regular_end().await),
                Ok(None | Some(Err(_))) | Err(_) => return None,
            }
        }
    }

    /// The engine's stream broke. The generation goes on where its copy is.
    pub(super) async fn on_break(&mut self, reason: impl Display) -> Result<(), End> {
        let replica = self.leg.run.placed.replica.id.clone();
        info!(event = "stream_broke", request = self.req.id(), upstream = &*replica, moving = self.moving.is_some(), stopping = self.stopping.is_some(), events = self.events.events(), reason:% = reason; "an engine's stream broke");
        if self.stopping.is_none() {
            let began = self.leg.exchange.as_ref().map(|exchange| exchange.head_came);
            let events = self.events.events();
            self.traffic.on_broken_run(&self.req, &self.leg.run.placed.replica, began, events);
            let copied = self.await_copy().await.ok_or(End::EngineLost)?;
            self.stopping = Some(copied);
        }
        self.go_on_after_stop().await
    }

    /// Waits a little for a copy that was being made when the stream broke.
    async fn await_copy(&mut self) -> Option<Copied> {
        self.moving.as_ref()?;
        // An answer about a stream that has broken would be taken for the copy's.
        self.asking = None;
        match tokio::time::timeout(STOP_ANSWER_LIMIT, self.steps.recv()).await {
            Ok(Some(Step::Copied(copied))) => Some(copied),
            _ => None,
        }
    }
}
