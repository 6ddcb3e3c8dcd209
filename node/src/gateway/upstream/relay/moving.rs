//! Moves a stream's generation to another engine, with a copy of its KV cache memory.

use std::fmt::Display;
use std::time::Duration;

use log::info;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::StreamCommand;
use crate::gateway::upstream::copying::CopyFailure;
use crate::gateway::upstream::copying::CopyTask;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::after_stop::STOP_ANSWER_TIMEOUT;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;

/// How long copies from a leaving engine are retried: the longest time that one keeps serving.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(12);

impl Relay {
    pub(super) fn on_command(&mut self, command: StreamCommand) {
        match command {
            StreamCommand::Restarted(restarted) => self.on_restart(&restarted),
            StreamCommand::Rebalance(engine) => {
                if engine == self.engine_stream.run.placed.replica.id && self.move_task.is_none() {
                    self.start_copy(Duration::ZERO);
                }
            }
            StreamCommand::Evacuate(engine) => {
                self.leaving_engines.push(engine);
                self.evacuate_if_leaving();
            }
        }
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

    pub(super) fn start_copy(&mut self, retry_for: Duration) {
        let task = self.copy_task(retry_for);
        self.spawn_move_task(task.copy());
    }

    pub(super) fn copy_task(&self, retry_for: Duration) -> CopyTask {
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
    pub(super) fn spawn_move_task(&mut self, part: impl Future<Output = TaskEvent> + 'static) {
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
                if move_target.engine().is_some_and(|to| self.leaving_engines.contains(&to.id)) =>
            {
                let engine = move_target.engine().map_or("", |engine| &engine.id);
                info!(event = "copy_dropped", request = self.req.id(), upstream = engine; "the engine with the copy is leaving as well");
                self.move_task = None;
                drop(move_target);
                self.evacuate_if_leaving();
                Ok(())
            }
            TaskEvent::Copied(move_target) => {
                self.start_stop(move_target);
                Ok(())
            }
            TaskEvent::ReadyToStop(move_target) => {
                self.on_ready_to_stop(move_target);
                Ok(())
            }
            TaskEvent::StopOverdue => {
                self.move_task = None;
                self.evacuate_if_leaving();
                Ok(())
            }
            TaskEvent::CopyFailed(why) => {
                self.move_task = None;
                if why != CopyFailure::SourceGone {
                    self.evacuate_if_leaving();
                }
                Ok(())
            }
        }
    }

    /// Handles a broken stream. The generation resumes at the engine that has its copy, or where it was
    /// stopped.
    pub(super) async fn on_break(&mut self, reason: impl Display) -> Result<(), StreamEnd> {
        let replica = self.engine_stream.run.placed.replica.id.clone();
        info!(event = "stream_broke", request = self.req.id(), upstream = &*replica, moving = self.move_task.is_some(), stopping = self.may_be_stopped(), events = self.events.events(), reason:% = reason; "the engine's stream broke");
        if self.lost_at.is_some() && !self.may_be_stopped() {
            return Err(StreamEnd::EngineLost(EngineLoss::Restarted));
        }
        if !self.may_be_stopped() {
            let replica = &self.engine_stream.run.placed.replica;
            self.traffic.on_broken_run(&self.req, replica, self.run_progress());
        }
        if self.move_target.is_none() {
            self.move_target = self.await_copy().await;
        }
        if self.move_target.is_none() && self.stops.may_have_stopped() {
            self.move_target = Some(MoveTarget::at_source());
        }
        self.resume_after_stop().await
    }

    /// Waits briefly for a copy that was in progress when the stream broke. Other results may be unread: of
    /// queries of the engine, and of earlier steps.
    async fn await_copy(&mut self) -> Option<MoveTarget> {
        self.move_task.as_ref()?;
        let until = Instant::now() + STOP_ANSWER_TIMEOUT;
        while let Ok(Some(event)) = tokio::time::timeout_at(until, self.task_events.recv()).await {
            match event {
                TaskEvent::Copied(move_target) => return Some(move_target),
                TaskEvent::CopyFailed(_) | TaskEvent::ReadyToStop(_) => return None,
                TaskEvent::EngineGone(_) | TaskEvent::ConnectionSilent { .. } | TaskEvent::StopOverdue => {}
            }
        }
        None
    }
}
