//! Relays one stream to its caller, from one engine after another.
//!
//! `moving` moves the generation away from engines that are leaving or overloaded, with a copy of its KV
//! cache memory; `stopping` stops it, and `after_stop` resumes it once it has stopped; `after_loss` resumes
//! it at another engine after the last event when its engine is lost; `silent_connection` takes it off
//! connections that deliver nothing; `restart` finds streams that a restart of their engine ended; `ending`
//! decides whether a stream whose engine ended its response is whole; `engine_loss` names why an engine is
//! abandoned.

mod after_loss;
mod after_stop;
mod ending;
mod engine_loss;
mod moving;
mod restart;
mod silent_connection;
mod stopping;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::event_splitter::EventSplitter;
use leadstage_lib::gateway::part_blame;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::arrival;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Outcome;
use crate::gateway::messages::StreamCommand;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::RequestOutcome;
use crate::gateway::reply_body::StreamingBodySender;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::copying::MoveTarget;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::engine_stream::EngineStream;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::pace::Pace;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;
use crate::gateway::upstream::resuming;
use crate::gateway::upstream::resuming::ResumeFailure;
use crate::gateway::upstream::stall::StallWatch;
use crate::gateway::upstream::stopping::StopCalls;
use crate::gateway::upstream::suspicion::RunProgress;
use crate::gateway::upstream::traffic::Traffic;

/// Minimum number of intervals between events for a sample of an engine's pace.
const MIN_GAPS_FOR_PACE: u64 = 4;

/// Time in which the events that arrived during a suspension are relayed past the deadline. An engine that is
/// still producing events then is abandoned.
const ARRIVED_EVENTS_TIMEOUT: Duration = Duration::from_millis(400);

/// How a relay ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum StreamEnd {
    #[display("done")]
    Done,
    #[display("caller left")]
    CallerLeft,
    #[display("out of time")]
    TimedOut,
    #[display("engine lost")]
    EngineLost(EngineLoss),
}

/// Relays one stream to its caller.
pub struct Relay {
    traffic: Traffic,
    req: Arc<CallerRequest>,
    handle: StreamHandle,
    engine_stream: EngineStream,
    tx: StreamingBodySender,
    events: EventSplitter,
    tokens_per_event: u32,
    task_events_tx: UnboundedSender<TaskEvent>,
    task_events: UnboundedReceiver<TaskEvent>,
    /// The task that moves the generation.
    move_task: Option<AbortOnDropHandle<()>>,
    /// The task that queries a silent engine.
    probe_task: Option<AbortOnDropHandle<()>>,
    /// The calls that stop the generation at its engine.
    stops: StopCalls,
    /// Where the generation resumes once it has stopped.
    move_target: Option<MoveTarget>,
    /// Engines that are leaving, among those that the generation ran on or was to run on.
    leaving_engines: Vec<UpstreamId>,
    /// Engines that failed to run or resume the generation.
    failed_engines: Vec<UpstreamId>,
    /// Engines that refused to be the target of a stop of the silent generation.
    rejected_targets: Vec<UpstreamId>,
    /// Number of events received when the connection was last found silent.
    silent_after: Option<u64>,
    moves: u32,
    pace: Pace,
    /// No event has been received from the engine yet: it may still be in prefill.
    awaits_first_event: bool,
    /// Number of events received before the request was last sent.
    events_before_run: u64,
    /// Whether the current run has shown that its replica does not crash on the prompt.
    serves_parts: bool,
    /// Number of engines that the request was sent to, not counting those that resumed from a copy.
    sent: u32,
    stall: StallWatch,
    /// When the stream is lost without another event, because its engine has restarted.
    lost_at: Option<Instant>,
    /// Whether the stream is checked for silence: only if it could be resumed or moved.
    watches_stalls: bool,
}

impl Relay {
    /// Returns a relay that starts at its first engine.
    pub fn new(
        traffic: Traffic,
        req: CallerRequest,
        handle: StreamHandle,
        engine_stream: EngineStream,
        sent: u32,
        tx: StreamingBodySender,
    ) -> Self {
        let service = req.table.service(&req.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let (task_events_tx, task_events) = mpsc::unbounded_channel();
        Relay {
            tokens_per_event: engine.map_or(1, |e| e.tokens_per_event),
            traffic,
            handle,
            engine_stream,
            tx,
            events: EventSplitter::resuming_after(req.last_event()),
            stall: StallWatch::new(&req.route),
            watches_stalls: req.route.resumable || engine.is_some_and(|e| e.moves),
            lost_at: None,
            sent,
            task_events_tx,
            task_events,
            move_task: None,
            probe_task: None,
            stops: StopCalls::default(),
            move_target: None,
            leaving_engines: Vec::new(),
            failed_engines: Vec::new(),
            rejected_targets: Vec::new(),
            silent_after: None,
            moves: 0,
            pace: Pace::default(),
            awaits_first_event: true,
            events_before_run: 0,
            serves_parts: false,
            req: Arc::new(req),
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self, mut commands: UnboundedReceiver<StreamCommand>) {
        let end = self.relay(&mut commands).await;
        let took = self.req.received_at.elapsed().as_millis() as u64;
        info!(event = "stream_end", request = self.req.id(), route = &*self.req.route.name, organisation = self.req.organisation_label(), end:% = end, upstream = &*self.engine_stream.run.placed.replica.id, events = self.events.events(), moves = self.moves, first_ms = self.pace.first.unwrap_or_default().as_millis() as u64, gap_ms = self.pace.longest_gap.as_millis() as u64, took_ms = took; "stream ended");
        let metrics = &self.traffic.shared.metrics;
        metrics.on_stream(self.pace.first, self.pace.longest_gap);
        metrics.on_answer(&self.req.route.name, if end == StreamEnd::Done { 200 } else { 0 });
        metrics.on_organisation_request(self.req.organisation.as_deref(), self.organisation_outcome(end));
        if end == StreamEnd::Done {
            self.traffic.on_successful_run(&self.req);
            if self.run_progress().events_here > 0 {
                self.on_parts_served();
            }
            self.report_pace();
        }
        let outcome = match end {
            StreamEnd::Done => Outcome::Answered,
            StreamEnd::CallerLeft | StreamEnd::TimedOut => Outcome::Withdrawn,
            StreamEnd::EngineLost(loss) => loss.outcome(),
        };
        let tx = self.tx.clone();
        self.close(outcome);
        if end == StreamEnd::Done {
            tx.end();
        }
    }

    fn organisation_outcome(&self, end: StreamEnd) -> RequestOutcome {
        let route = &self.req.route;
        let first = self.pace.first.unwrap_or_default();
        let is_late = route.is_late(first) || route.is_gap_late(self.pace.longest_gap);
        match end {
            StreamEnd::Done if is_late => RequestOutcome::Late,
            StreamEnd::Done => RequestOutcome::InTime,
            StreamEnd::CallerLeft => RequestOutcome::CallerLeft,
            StreamEnd::TimedOut | StreamEnd::EngineLost(_) => RequestOutcome::Failed,
        }
    }

    /// Reports how fast the engine produced events, if a single engine produced all of them.
    fn report_pace(&self) {
        let (first, gaps) = (self.pace.first.unwrap_or_default(), self.events.events().saturating_sub(1));
        if self.moves == 0 && gaps >= MIN_GAPS_FOR_PACE {
            let took = self.req.received_at.elapsed().saturating_sub(first) / gaps as u32;
            self.traffic.sample_pace(&self.req, &self.engine_stream.run.placed.replica, took);
        }
    }

    /// Closes the connection to the engine and ends the tasks in progress, so that neither waits for the
    /// caller to read the remaining events.
    fn close(self, outcome: Outcome) {
        drop(self.engine_stream.exchange);
        self.engine_stream.run.end(outcome);
    }

    async fn relay(&mut self, commands: &mut UnboundedReceiver<StreamCommand>) -> StreamEnd {
        loop {
            match self.process_next(commands).await {
                Ok(()) => {}
                Err(StreamEnd::EngineLost(loss)) => {
                    if let Err(end) = self.resume_after_last_event(loss).await {
                        return end;
                    }
                }
                Err(end) => return end,
            }
        }
    }

    /// Handles what happens next; returns an error if the stream can't continue by itself.
    async fn process_next(
        &mut self,
        commands: &mut UnboundedReceiver<StreamCommand>,
    ) -> Result<(), StreamEnd> {
        let tx = self.tx.clone();
        tokio::select! {
            biased;
            () = tx.closed() => Err(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(self.req.deadline()) => Err(self.on_deadline().await),
            Some(command) = commands.recv() => {
                self.on_command(command);
                Ok(())
            }
            Some(event) = self.task_events.recv() => self.on_task_event(event).await,
            outcome = self.stops.next() => self.on_stop_outcome(outcome).await,
            frame = self.engine_stream.frame() => match frame {
                Some(Ok(frame)) => self.on_frame(frame.into_data().unwrap_or_default()).await,
                None => self.on_body_end().await,
                Some(Err(err)) => self.on_break(&err).await,
            },
            end = Self::until_lost(self.lost_at) => Err(end),
            () = tokio::time::sleep_until(self.stall.due()), if self.watches_stalls =>
                self.on_silence().await,
        }
    }

    /// Handles the deadline. If the process was suspended at that time, events that have arrived are relayed,
    /// and the stream may turn out to be complete.
    async fn on_deadline(&mut self) -> StreamEnd {
        let arrived = if arrival::is_late(self.req.deadline()) {
            self.drain(ARRIVED_EVENTS_TIMEOUT).await
        } else {
            None
        };
        arrived.unwrap_or(StreamEnd::TimedOut)
    }

    async fn on_frame(&mut self, bytes: Bytes) -> Result<(), StreamEnd> {
        let events_before = self.events.complete_events();
        let complete = self.events.push(&bytes);
        if self.events.complete_events() > events_before || (!complete.is_empty() && !self.bounds_comments())
        {
            self.on_events();
        }
        if !complete.is_empty() {
            self.send_to_caller(complete).await?;
        }
        match self.events.unusable() {
            Some(why) => {
                info!(event = "stream_unusable", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id, reason:% = why; "the engine's stream is unusable");
                Err(StreamEnd::EngineLost(EngineLoss::Unusable))
            }
            None => Ok(()),
        }
    }

    /// Whether comments and blank lines are no sign that a generation makes progress.
    fn bounds_comments(&self) -> bool {
        self.traffic.shared.settings.policy.bound_heads
    }

    fn on_events(&mut self) {
        self.stall.on_event(&self.req.route);
        self.on_event_after_restart();
        if std::mem::take(&mut self.awaits_first_event) {
            let run = &self.engine_stream.run;
            self.traffic.shared.notify(ToControl::FirstEvent(run.placed.run));
            let took = run.placed_at.elapsed();
            self.traffic.sample_answer(&self.req, &run.placed.replica, false, took);
        }
        self.pace.on_event(self.req.received_at, &self.handle.gaps);
        if part_blame::speaks_for_parts(self.run_progress().events_here) {
            self.on_parts_served();
        }
        let tokens = self.events.events() as u32 * self.tokens_per_event;
        self.handle.produced.store(tokens, Ordering::Relaxed);
    }

    /// Sends events to the caller's connection until the deadline. Without the timeout, a caller with a
    /// deadline of 3 s that reads large events at 40 kB/s held its engine for 20.6 s.
    async fn send_to_caller(&self, events: Bytes) -> Result<(), StreamEnd> {
        let sending = tokio::time::timeout_at(self.req.deadline(), self.tx.send(events));
        sending.await.map_err(|_| StreamEnd::TimedOut)?.map_err(|_| StreamEnd::CallerLeft)
    }

    /// Drops the tasks next to the stream and their unread results: they concern an engine or a move that
    /// is over.
    fn drop_tasks(&mut self) {
        (self.move_task, self.move_target, self.probe_task) = (None, None, None);
        (self.task_events_tx, self.task_events) = mpsc::unbounded_channel();
    }

    /// Continues the stream at another engine.
    fn switch_to(&mut self, engine_stream: EngineStream, outcome: Outcome) {
        info!(event = "moved", request = self.req.id(), from = &*self.engine_stream.run.placed.replica.id, upstream = &*engine_stream.run.placed.replica.id, events = self.events.events(); "stream continues at another engine");
        let old = std::mem::replace(&mut self.engine_stream, engine_stream);
        self.stops = StopCalls::default();
        self.on_resumed();
        old.run.end(outcome);
        self.moves += 1;
    }

    /// Handles the start of a further run, at the same engine or another one.
    fn on_resumed(&mut self) {
        self.lost_at = None;
        self.pace.on_new_engine();
        self.events_before_run = self.events.events();
        self.serves_parts = false;
    }

    fn on_parts_served(&mut self) {
        if !std::mem::replace(&mut self.serves_parts, true) {
            self.traffic.on_parts_served(&self.req);
        }
    }

    /// How far the current run got.
    fn run_progress(&self) -> RunProgress {
        let events = self.events.events();
        RunProgress {
            began: self.engine_stream.exchange.as_ref().map(|exchange| exchange.head_received),
            events,
            events_here: events - self.events_before_run,
        }
    }

    /// Sends the request to an engine that is to resume the generation.
    async fn resume(
        &self,
        engine: &ReplicaRecord,
        resume: &Resume,
        step: &'static str,
    ) -> Result<Exchange, ResumeFailure> {
        // On the heap: with all of its callers' state this future would not fit into the thread's stack.
        let resumed = Box::pin(resuming::resume(&self.traffic, &self.req, engine, resume)).await;
        let outcome = resumed.as_ref().map_or_else(|why| why.label(), |_| "done");
        self.traffic.shared.metrics.on_move(step, outcome);
        resumed
    }
}
