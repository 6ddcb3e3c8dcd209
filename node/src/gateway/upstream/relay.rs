//! Relays one stream to its caller, from one engine after another.
//!
//! `moving` moves the generation away from engines that are leaving or overloaded, with a copy of its KV
//! cache memory; `after_stop` resumes it once it has stopped; `after_loss` resumes it at another engine
//! after the last event when its engine is lost; `silent_connection` takes it off connections that
//! deliver nothing.

mod after_stop;
mod going_on;
mod moving;
mod silent_connection;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Order;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::reply_body::PartsSender;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::copying::Copied;
use crate::gateway::upstream::copying::Step;
use crate::gateway::upstream::event_stream::EventSplitter;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::leg::Leg;
use crate::gateway::upstream::pace::Pace;
use crate::gateway::upstream::resuming;
use crate::gateway::upstream::resuming::NotResumed;
use crate::gateway::upstream::stall::StallWatch;
use crate::gateway::upstream::traffic::Traffic;

/// Minimum number of intervals between events for a sample of an engine's pace.
const LEAST_PAUSES: u64 = 4;

/// How a relay ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum End {
    #[display("done")]
    Done,
    #[display("caller left")]
    CallerLeft,
    #[display("out of time")]
    OutOfTime,
    #[display("engine lost")]
    EngineLost,
}

/// Relays one stream to its caller.
pub struct Relay {
    traffic: Traffic,
    req: Arc<CallerRequest>,
    handle: StreamHandle,
    leg: Leg,
    tx: PartsSender,
    events: EventSplitter,
    tokens_per_event: u32,
    steps_tx: UnboundedSender<Step>,
    steps: UnboundedReceiver<Step>,
    /// The task that moves the generation.
    moving: Option<AbortOnDropHandle<()>>,
    /// The task that queries a silent engine.
    asking: Option<AbortOnDropHandle<()>>,
    /// Where the generation resumes once it has stopped.
    stopping: Option<Copied>,
    /// Engines that are leaving, among those that the generation ran on or was to run on.
    leaving: Vec<UpstreamId>,
    /// Engines that failed to run or resume the generation.
    failing: Vec<UpstreamId>,
    /// Engines that refused to be the target of a stop of the silent generation.
    unfit: Vec<UpstreamId>,
    moves: u32,
    pace: Pace,
    /// No event has been received from the engine yet: it may still be in prefill.
    is_reading: bool,
    /// Number of engines that the request was sent to, not counting those that resumed from a copy.
    sent: u32,
    stall: StallWatch,
    /// Whether the stream is checked for silence: only if it could be resumed or moved.
    is_watched: bool,
}

impl Relay {
    /// Returns a relay that starts at its first engine.
    pub fn new(
        traffic: Traffic,
        req: CallerRequest,
        handle: StreamHandle,
        leg: Leg,
        sent: u32,
        tx: PartsSender,
    ) -> Self {
        let service = req.table.service(&req.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let (steps_tx, steps) = mpsc::unbounded_channel();
        Relay {
            tokens_per_event: engine.map_or(1, |e| e.tokens_per_event),
            traffic,
            handle,
            leg,
            tx,
            events: EventSplitter::after(req.last_event()),
            stall: StallWatch::new(&req.route),
            is_watched: req.route.resumable || engine.is_some_and(|e| e.moves),
            sent,
            steps_tx,
            steps,
            moving: None,
            asking: None,
            stopping: None,
            leaving: Vec::new(),
            failing: Vec::new(),
            unfit: Vec::new(),
            moves: 0,
            pace: Pace::default(),
            is_reading: true,
            req: Arc::new(req),
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self, mut orders: UnboundedReceiver<Order>) {
        let end = self.relay(&mut orders).await;
        let took = self.req.came.elapsed().as_millis() as u64;
        info!(event = "stream_end", request = self.req.id(), route = &*self.req.route.name, end:% = end, upstream = &*self.leg.run.placed.replica.id, events = self.events.events(), moves = self.moves, first_ms = self.pace.first.unwrap_or_default().as_millis() as u64, gap_ms = self.pace.longest_gap.as_millis() as u64, took_ms = took; "stream ended");
        let metrics = &self.traffic.shared.metrics;
        metrics.on_stream(self.pace.first, self.pace.longest_gap);
        metrics.on_answer(&self.req.route.name, if end == End::Done { 200 } else { 0 });
        if end == End::Done {
            self.traffic.on_sound_run(&self.req);
            self.sample_pace();
        }
        let outcome = match end {
            End::Done => Outcome::Answered,
            End::CallerLeft | End::OutOfTime => Outcome::Withdrawn,
            End::EngineLost => Outcome::Failed,
        };
        let tx = self.tx.clone();
        self.hang_up(outcome);
        if end != End::Done && end != End::CallerLeft {
            tx.break_off();
        }
    }

    /// Reports how fast the engine produced events, if a single engine produced all of them.
    fn sample_pace(&self) {
        let (first, pauses) = (self.pace.first.unwrap_or_default(), self.events.events().saturating_sub(1));
        if self.moves == 0 && pauses >= LEAST_PAUSES {
            let took = self.req.came.elapsed().saturating_sub(first) / pauses as u32;
            self.traffic.sample_pace(&self.req, &self.leg.run.placed.replica, took);
        }
    }

    /// Closes the connection to the engine and ends the tasks in progress, so that neither waits for the
    /// caller to read the remaining events.
    fn hang_up(self, outcome: Outcome) {
        drop(self.leg.exchange);
        self.leg.run.end(outcome);
    }

    async fn relay(&mut self, orders: &mut UnboundedReceiver<Order>) -> End {
        loop {
            match self.next(orders).await {
                Ok(()) => {}
                Err(End::EngineLost) => {
                    if let Err(end) = self.go_on_after_last_event().await {
                        return end;
                    }
                }
                Err(end) => return end,
            }
        }
    }

    /// Handles what happens next; returns an error if the stream can't continue by itself.
    async fn next(&mut self, orders: &mut UnboundedReceiver<Order>) -> Result<(), End> {
        let tx = self.tx.clone();
        tokio::select! {
            biased;
            () = tx.closed() => Err(End::CallerLeft),
            () = tokio::time::sleep_until(self.req.until()) => Err(End::OutOfTime),
            Some(order) = orders.recv() => self.on_order(order),
            Some(step) = self.steps.recv() => self.on_step(step).await,
            frame = self.leg.frame() => match frame {
                Some(Ok(frame)) => self.on_frame(frame.into_data().unwrap_or_default()).await,
                None if self.stopping.is_some() && !self.leg.is_framed() => self.on_unframed_end().await,
                None => Err(self.on_regular_end().await),
                Some(Err(err)) => self.on_break(&err).await,
            },
            () = tokio::time::sleep_until(self.stall.due()), if self.is_watched => self.on_silence().await,
        }
    }

    async fn on_frame(&mut self, bytes: Bytes) -> Result<(), End> {
        let whole = self.events.push(&bytes);
        if !whole.is_empty() {
            self.pass_on(whole).await?;
        }
        match self.events.unusable() {
            Some(why) => {
                info!(event = "stream_unusable", request = self.req.id(), upstream = &*self.leg.run.placed.replica.id, reason:% = why; "an engine's stream is of no use");
                Err(End::EngineLost)
            }
            None => Ok(()),
        }
    }

    async fn pass_on(&mut self, whole: Bytes) -> Result<(), End> {
        self.stall.on_event(&self.req.route);
        if std::mem::take(&mut self.is_reading) {
            let run = &self.leg.run;
            self.traffic.shared.tell(ToControl::FirstEvent(run.placed.run));
            let took = run.placed_at.elapsed();
            self.traffic.sample_answer(&self.req, &run.placed.replica, false, took);
        }
        self.pace.on_event(self.req.came);
        let tokens = self.events.events() as u32 * self.tokens_per_event;
        self.handle.produced.store(tokens, Ordering::Relaxed);
        self.hand_over(whole).await
    }

    /// Sends events to the caller's connection until the deadline. Without the timeout, a caller that
    /// reads large events at 40 kB a second held its engine for 20.6 s instead of the 3 s that it waits,
    /// by the test of such a caller.
    async fn hand_over(&self, events: Bytes) -> Result<(), End> {
        let sending = tokio::time::timeout_at(self.req.until(), self.tx.send(events));
        sending.await.map_err(|_| End::OutOfTime)?.map_err(|_| End::CallerLeft)
    }

    async fn on_regular_end(&mut self) -> End {
        let rest = self.events.rest();
        if rest.is_empty() {
            return End::Done;
        }
        self.hand_over(rest).await.err().unwrap_or(End::Done)
    }

    /// Drops the tasks next to the stream and their unread results: they concern an engine or a move that
    /// is over.
    fn drop_tasks(&mut self) {
        (self.moving, self.stopping, self.asking) = (None, None, None);
        (self.steps_tx, self.steps) = mpsc::unbounded_channel();
    }

    /// Continues the stream at another engine.
    fn move_to(&mut self, leg: Leg, before: Outcome) {
        info!(event = "moved", request = self.req.id(), from = &*self.leg.run.placed.replica.id, upstream = &*leg.run.placed.replica.id, events = self.events.events(); "generation moved");
        let old = std::mem::replace(&mut self.leg, leg);
        old.run.end(before);
        self.moves += 1;
    }

    /// Sends the request to an engine that is to resume the generation.
    async fn resume(
        &self,
        engine: &ReplicaRecord,
        resume: &Resume,
        step: &'static str,
    ) -> Result<Exchange, NotResumed> {
        let resumed = resuming::resume(&self.traffic, &self.req, engine, resume).await;
        let outcome = resumed.as_ref().map_or_else(|why| why.label(), |_| "done");
        self.traffic.shared.metrics.on_move(step, outcome);
        resumed
    }
}
