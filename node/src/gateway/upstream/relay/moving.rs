//! Moves a stream's generation to another engine, with a copy of its KV cache memory.

use std::fmt::Display;
use std::time::Duration;

use leadstage_platform::engine::CopyOutcome;
use log::info;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Order;
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

/// How long copies from a leaving engine are retried: the longest time that one keeps serving.
const EVACUATE_WITHIN: Duration = Duration::from_secs(12);
/// Maximum number of engines without room that are tried as the target of a stop of a silent generation,
/// before the connection has to be found silent again: where all engines are full, each node would query
/// every engine for each of its generations.
const MOST_UNFIT: usize = 3;
/// Timeout of the remaining events of a stopped generation.
const DRAIN_LIMIT: Duration = Duration::from_millis(80);

impl Relay {
    pub(super) fn on_order(&mut self, order: Order) -> Result<(), End> {
        let here = &self.leg.run.placed.replica;
        match order {
            Order::Lost(of) if of.id == here.id && of.born > here.born => return Err(End::EngineLost),
            Order::Lost(_) => {}
            Order::Relieve(engine) if engine == here.id && self.moving.is_none() => {
                self.start_copy(Duration::ZERO)
            }
            Order::Relieve(_) => {}
            Order::Evacuate(engine) => {
                self.leaving.push(engine);
                self.leave();
            }
        }
        Ok(())
    }

    /// Starts to move the generation if its engine is leaving and no move is in progress. A move in
    /// progress continues even if its target is leaving as well, as that engine leaves later.
    pub(super) fn leave(&mut self) {
        if self.moving.is_none() && self.leaving.contains(&self.leg.run.placed.replica.id) {
            self.start_copy(EVACUATE_WITHIN);
        }
    }

    fn start_copy(&mut self, insist: Duration) {
        let copying = self.copying(insist);
        self.start_move(copying.copy());
    }

    /// Stops the generation at once, so that it resumes at the same engine on a new connection. In a
    /// closed hall it could not resume: there it is copied elsewhere while it keeps running.
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

    /// Runs a part of a move next to the stream.
    fn start_move(&mut self, part: impl Future<Output = Step> + 'static) {
        let steps = self.steps_tx.clone();
        self.moving = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            // The stream may have ended by now.
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

    /// Stops the generation at its engine, next to its stream.
    fn start_stop(&mut self, copied: Copied) {
        let source = self.leg.run.placed.replica.clone();
        let target = copied.target.placed.replica.address;
        let req = self.req.clone();
        self.stopping = Some(copied);
        self.start_move(async move { Step::StopAnswered(copying::stop(&source, req.id(), target).await) });
    }

    /// Handles the answer to a stop. No engine is requested to resume a generation that may still be
    /// running: the engine that runs it would refuse, and its healthy stream would end.
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
            // The generation is still running, and its connection is as silent as before: another engine
            // may be the target.
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

    /// Relays the remaining events of a stopped generation. Returns how the stream ended if the
    /// generation had already ended by itself.
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

    /// Handles a broken stream. The generation resumes at the engine that has its copy.
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

    /// Waits briefly for a copy that was in progress when the stream broke.
    async fn await_copy(&mut self) -> Option<Copied> {
        self.moving.as_ref()?;
        // The result of a query of the broken stream's engine would be mistaken for the copy's.
        self.asking = None;
        match tokio::time::timeout(STOP_ANSWER_LIMIT, self.steps.recv()).await {
            Ok(Some(Step::Copied(copied))) => Some(copied),
            _ => None,
        }
    }
}
