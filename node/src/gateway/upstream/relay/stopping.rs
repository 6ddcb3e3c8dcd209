//! Stops a stream's generation at its engine.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::messages::Outcome;
use crate::gateway::upstream::copying::COPY_TIMEOUT;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::stopping::StopCall;
use crate::gateway::upstream::stopping::StopOutcome;

/// Maximum number of engines without room that are tried as the target of a stop of a silent generation,
/// before the connection has to be found silent again: where all engines are full, each node would query
/// every engine for each of its generations.
const MAX_REJECTED_TARGETS: usize = 3;
/// Timeout of the remaining events of a stopped generation, and of each next event that has arrived.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(80);

impl Relay {
    /// Stops the generation at once, so that it resumes at the same engine on a new connection. Where nothing
    /// may be sent any more it could not resume: there it is copied elsewhere while it keeps running.
    pub(super) fn stop_and_resume_here(&mut self) {
        let here = &self.engine_stream.run.placed.replica;
        let is_open = self.traffic.shared.closed_halls().is_open(&here.hall);
        if !is_open || self.traffic.is_reverted(&self.req, here) {
            return self.start_copy(Duration::ZERO);
        }
        let mut task = self.copy_task(Duration::ZERO);
        task.excluded_engines.extend(self.rejected_targets.iter().cloned());
        self.spawn_move_task(task.find_stop_target());
    }

    /// A target for the stop of a silent generation was found. An event received meanwhile shows that its
    /// connection is healthy.
    pub(super) fn on_ready_to_stop(&mut self, move_target: MoveTarget) {
        if self.is_still_silent() {
            return self.start_stop(move_target);
        }
        self.move_task = None;
        move_target.end(Outcome::Withdrawn);
        self.evacuate_if_leaving();
    }

    /// Whether nothing was received since the connection was found silent.
    fn is_still_silent(&self) -> bool {
        self.silent_after == Some(self.events.events())
    }

    /// Stops the generation at its engine, next to its stream. The call stays open until it is answered, but
    /// holds up another move only for a while.
    pub(super) fn start_stop(&mut self, move_target: MoveTarget) {
        let Some(target) = move_target.engine().map(|engine| engine.address) else {
            return;
        };
        let source = self.engine_stream.run.placed.replica.clone();
        self.stops.start(StopCall {
            dialer: self.traffic.dialer(&self.req.service),
            req: self.req.clone(),
            source,
            target,
        });
        self.move_target = Some(move_target);
        self.spawn_move_task(async {
            tokio::time::sleep(COPY_TIMEOUT).await;
            TaskEvent::StopOverdue
        });
    }

    /// Whether a call that stops the generation for a move has not been answered yet.
    pub(super) fn awaits_stop(&self) -> bool {
        self.move_target.is_some() && self.stops.is_unanswered()
    }

    /// Whether a call may have stopped the generation, so that its stream may break for that reason.
    pub(super) fn may_be_stopped(&self) -> bool {
        self.move_target.is_some() || self.stops.may_have_stopped()
    }

    /// Handles the outcome of a call that stops the generation. No engine is requested to resume a generation
    /// that may still be running: the engine that runs it would refuse, and its healthy stream would end.
    pub(super) async fn on_stop_outcome(&mut self, outcome: StopOutcome) -> Result<(), StreamEnd> {
        match (outcome, &mut self.move_target) {
            (StopOutcome::Stopped(handle), Some(move_target)) => {
                move_target.on_stopped(handle);
                self.resume_stopped().await
            }
            (StopOutcome::Stopped(handle), None) => {
                self.stops.keep_handle(handle);
                Ok(())
            }
            (_, None) => Ok(()),
            _ if self.stops.is_unanswered() => Ok(()),
            (outcome, Some(_)) => {
                self.on_not_stopped(&outcome);
                Ok(())
            }
        }
    }

    async fn resume_stopped(&mut self) -> Result<(), StreamEnd> {
        match self.drain(DRAIN_TIMEOUT).await {
            Some(end) => Err(end),
            None => self.resume_after_stop().await,
        }
    }

    /// Handles the outcome of a stop that stopped nothing as far as is known.
    fn on_not_stopped(&mut self, outcome: &StopOutcome) {
        self.move_task = None;
        if let Some(move_target) = self.move_target.take_if(|move_target| move_target.resumes_at_source) {
            // The generation is still running: if its connection is as silent as before, another engine may
            // be the target.
            let may_try_another = self.rejected_targets.len() < MAX_REJECTED_TARGETS;
            if *outcome == StopOutcome::NoRoom && may_try_another && self.is_still_silent() {
                self.rejected_targets.extend(move_target.engine().map(|engine| engine.id.clone()));
                self.stop_and_resume_here();
            }
        } else if !matches!(outcome, StopOutcome::Unknown | StopOutcome::NoRoom) {
            // Otherwise the copy is kept for a generation that may have stopped: its stream is about to break.
            self.move_target = None;
        }
        self.evacuate_if_leaving();
    }

    /// Relays the events that are on their way, for `limit` at most. Returns how the stream ended if the
    /// generation had already ended by itself; the end of an unframed stream shows that only if nothing may
    /// have stopped the generation.
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
                Ok(None) => {
                    self.log_body_end();
                    if self.is_cut_off() || !self.is_end_regular().await {
                        return None;
                    }
                    return Some(self.on_stream_end().await);
                }
                Ok(Some(Err(_))) | Err(_) => return None,
            }
        }
    }
}
