//! Moves a stream's generation to another engine, with a copy of its KV cache memory.

use std::fmt::Display;
use std::time::Duration;

use leadstage_platform::engine::CopyOutcome;
use log::info;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::StreamCommand;
use crate::gateway::upstream::copying;
use crate::gateway::upstream::copying::CopyFailure;
use crate::gateway::upstream::copying::CopyTask;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::copying::StopAnswer;
use crate::gateway::upstream::copying::StopOutcome;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::after_stop::STOP_ANSWER_TIMEOUT;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;

/// How long copies from a leaving engine are retried: the longest time that one keeps serving.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum number of engines without room that are tried as the target of a stop of a silent generation,
/// before the connection has to be found silent again: where all engines are full, each node would query
/// every engine for each of its generations.
const MAX_REJECTED_TARGETS: usize = 3;
/// Timeout of the remaining events of a stopped generation, and of each next event that has arrived.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(80);

impl Relay {
    pub(super) fn on_command(&mut self, command: StreamCommand) -> Result<(), StreamEnd> {
        let here = &self.engine_stream.run.placed.replica;
        match command {
            StreamCommand::Lost(of) if of.id == here.id && of.born > here.born => {
                return Err(StreamEnd::EngineLost(EngineLoss::Restarted));
            }
            StreamCommand::Lost(_) => {}
            StreamCommand::Rebalance(engine) if engine == here.id && self.move_task.is_none() => {
                self.start_copy(Duration::ZERO)
            }
            StreamCommand::Rebalance(_) => {}
            StreamCommand::Evacuate(engine) => {
                self.leaving_engines.push(engine);
                self.evacuate_if_leaving();
            }
        }
        Ok(())
    }

    /// Starts to move the generation if its engine is leaving and no move is in progress. A move in
    /// progress continues even if its target is leaving as well, as that engine leaves later.
    pub(super) fn evacuate_if_leaving(&mut self) {
        if self.move_task.is_none()
            && self.leaving_engines.contains(&self.engine_stream.run.placed.replica.id)
        {
            self.start_copy(EVACUATION_TIMEOUT);
        }
    }

    fn start_copy(&mut self, retry_for: Duration) {
        let task = self.copy_task(retry_for);
        self.spawn_move_task(task.copy());
    }

    /// Stops the generation at once, so that it resumes at the same engine on a new connection. In a
    /// closed hall it could not resume: there it is copied elsewhere while it keeps running.
    pub(super) fn stop_and_resume_here(&mut self) {
        if !self.traffic.shared.closed_halls().is_open(&self.engine_stream.run.placed.replica.hall) {
            return self.start_copy(Duration::ZERO);
        }
        let mut task = self.copy_task(Duration::ZERO);
        task.excluded_engines.extend(self.rejected_targets.iter().cloned());
        self.spawn_move_task(task.find_stop_target());
    }

    fn copy_task(&self, retry_for: Duration) -> CopyTask {
        CopyTask {
            traffic: self.traffic.clone(),
            req: self.req.clone(),
            handle: self.handle.clone(),
            source: self.engine_stream.run.placed.replica.clone(),
            excluded_engines: self.failed_engines.clone(),
            retry_for,
        }
    }

    /// Runs a part of a move next to the stream.
    fn spawn_move_task(&mut self, part: impl Future<Output = TaskEvent> + 'static) {
        let task_events = self.task_events_tx.clone();
        self.move_task = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            // The stream may have ended by now.
            let _ = task_events.send(part.await);
        })));
    }

    pub(super) async fn on_task_event(&mut self, event: TaskEvent) -> Result<(), StreamEnd> {
        match event {
            TaskEvent::EngineGone(engine) if engine == self.engine_stream.run.placed.replica.id => {
                Err(StreamEnd::EngineLost(EngineLoss::Gone))
            }
            TaskEvent::EngineGone(_) => Ok(()),
            TaskEvent::ConnectionSilent { engine, received } => {
                if engine == self.engine_stream.run.placed.replica.id {
                    self.on_silent_connection(received);
                }
                Ok(())
            }
            TaskEvent::Copied(move_target)
                if self.leaving_engines.contains(&move_target.target.placed.replica.id) =>
            {
                info!(event = "copy_dropped", request = self.req.id(), upstream = &*move_target.target.placed.replica.id; "the engine with the copy is leaving as well");
                self.move_task = None;
                drop(move_target);
                self.evacuate_if_leaving();
                Ok(())
            }
            TaskEvent::Copied(move_target) | TaskEvent::ReadyToStop(move_target) => {
                self.start_stop(move_target);
                Ok(())
            }
            TaskEvent::StopAnswered(answer) => self.on_stop_answer(answer).await,
            TaskEvent::CopyFailed(why) => {
                self.move_task = None;
                if why != CopyFailure::SourceGone {
                    self.evacuate_if_leaving();
                }
                Ok(())
            }
        }
    }

    /// Stops the generation at its engine, next to its stream.
    fn start_stop(&mut self, move_target: MoveTarget) {
        let source = self.engine_stream.run.placed.replica.clone();
        let target = move_target.target.placed.replica.address;
        let req = self.req.clone();
        self.move_target = Some(move_target);
        self.spawn_move_task(async move {
            TaskEvent::StopAnswered(copying::stop(&source, req.id(), target).await)
        });
    }

    /// Handles the answer to a stop. No engine is requested to resume a generation that may still be
    /// running: the engine that runs it would refuse, and its healthy stream would end.
    async fn on_stop_answer(&mut self, answer: StopAnswer) -> Result<(), StreamEnd> {
        let is_refused = matches!(answer, Ok(CopyOutcome::NoRoom { handle: None }));
        info!(event = "stop", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id, outcome:? = answer; "the call that stops a generation was answered or failed");
        let stop = self
            .move_target
            .as_mut()
            .map_or(StopOutcome::NotStopped, |move_target| move_target.record_stop(answer));
        if stop == StopOutcome::Stopped {
            return match self.drain(DRAIN_TIMEOUT).await {
                Some(end) => Err(end),
                None => self.resume_after_stop().await,
            };
        }
        self.move_task = None;
        if let Some(move_target) = self.move_target.take_if(|move_target| move_target.resumes_at_source) {
            // The generation is still running, and its connection is as silent as before: another engine
            // may be the target.
            if is_refused && self.rejected_targets.len() < MAX_REJECTED_TARGETS {
                self.rejected_targets.push(move_target.target.placed.replica.id.clone());
                self.stop_and_resume_here();
            }
            self.evacuate_if_leaving();
            return Ok(());
        }
        // The copy is kept for a generation that may have stopped: its stream is about to break.
        if stop == StopOutcome::NotStopped {
            self.move_target = None;
        }
        self.evacuate_if_leaving();
        Ok(())
    }

    /// Relays the events that are on their way, for `limit` at most. Returns how the stream ended if the generation had already
    /// ended by itself; the end of an unframed stream shows that only if the generation was not to be stopped.
    pub(super) async fn drain(&mut self, limit: Duration) -> Option<StreamEnd> {
        let until = Instant::now() + limit;
        loop {
            let next_until = until.min(Instant::now() + DRAIN_TIMEOUT);
            let frame = tokio::time::timeout_at(next_until, self.engine_stream.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Err(end) = self.on_frame(frame.into_data().unwrap_or_default()).await {
                        return Some(end);
                    }
                }
                Ok(None) if self.engine_stream.is_framed() || self.move_target.is_none() => {
                    return Some(self.on_stream_end().await);
                }
                Ok(None | Some(Err(_))) | Err(_) => return None,
            }
        }
    }

    /// Handles a broken stream. The generation resumes at the engine that has its copy.
    pub(super) async fn on_break(&mut self, reason: impl Display) -> Result<(), StreamEnd> {
        let replica = self.engine_stream.run.placed.replica.id.clone();
        info!(event = "stream_broke", request = self.req.id(), upstream = &*replica, moving = self.move_task.is_some(), stopping = self.move_target.is_some(), events = self.events.events(), reason:% = reason; "the engine's stream broke");
        if self.move_target.is_none() {
            let began = self.engine_stream.exchange.as_ref().map(|exchange| exchange.head_received);
            let events = self.events.events();
            self.traffic.on_broken_run(&self.req, &self.engine_stream.run.placed.replica, began, events);
            let move_target = self.await_copy().await.ok_or(StreamEnd::EngineLost(EngineLoss::Broken))?;
            self.move_target = Some(move_target);
        }
        self.resume_after_stop().await
    }

    /// Waits briefly for a copy that was in progress when the stream broke.
    async fn await_copy(&mut self) -> Option<MoveTarget> {
        self.move_task.as_ref()?;
        // The result of a query of the broken stream's engine would be mistaken for the copy's.
        self.probe_task = None;
        match tokio::time::timeout(STOP_ANSWER_TIMEOUT, self.task_events.recv()).await {
            Ok(Some(TaskEvent::Copied(move_target))) => Some(move_target),
            _ => None,
        }
    }
}
