//! Passes one stream on to its caller, from one engine after the other if engines leave.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::engine;
use leadstage_platform::engine::CopySource;
use leadstage_platform::engine::Resume;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::messages::Order;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::reply::BrokenStream;
use crate::gateway::request::CallerRequest;
use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::copying::COPY_LIMIT;
use crate::gateway::upstream::copying::Copied;
use crate::gateway::upstream::copying::Copying;
use crate::gateway::upstream::copying::NotCopied;
use crate::gateway::upstream::copying::Step;
use crate::gateway::upstream::event_stream::EventSplitter;
use crate::gateway::upstream::exchange::Exchange;
use crate::gateway::upstream::pace::Pace;
use crate::gateway::upstream::resuming;
use crate::gateway::upstream::resuming::NotResumed;
use crate::gateway::upstream::stall;
use crate::gateway::upstream::stall::Silence;
use crate::gateway::upstream::stall::StallWatch;
use crate::gateway::upstream::traffic::Traffic;

/// How long an engine that is leaving is asked for copies: the longest that one serves on.
const EVACUATE_WITHIN: Duration = Duration::from_secs(12);
/// Time for the rest of a stopped generation's events to arrive.
const DRAIN_LIMIT: Duration = Duration::from_millis(80);
/// Time for the answer to a stop, once the stream has ended.
const STOP_ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// A generation at one engine.
pub struct Leg {
    /// Its place there.
    pub run: RunGuard,
    /// Its answer; `None` once this node has hung up.
    pub exchange: Option<Exchange>,
}

impl Leg {
    /// The next part of the answer's body; never comes once this node has hung up.
    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        match &mut self.exchange {
            Some(exchange) => exchange.body.frame().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the answer's end can be told from a connection that just closes.
    fn is_framed(&self) -> bool {
        self.exchange.as_ref().is_some_and(Exchange::is_framed)
    }
}

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

/// Passes one stream on to its caller.
pub struct Relay {
    traffic: Traffic,
    req: Arc<CallerRequest>,
    handle: StreamHandle,
    leg: Leg,
    tx: mpsc::Sender<Result<Bytes, BrokenStream>>,
    events: EventSplitter,
    tokens_per_event: u32,
    steps_tx: UnboundedSender<Step>,
    steps: UnboundedReceiver<Step>,
    /// The task that moves the generation.
    moving: Option<AbortOnDropHandle<()>>,
    /// The task that asks a silent engine for its health.
    asking: Option<AbortOnDropHandle<()>>,
    /// Where the generation goes on once it has stopped.
    stopping: Option<Copied>,
    /// Engines that leave, of those that the generation ran or was to run on.
    leaving: Vec<UpstreamId>,
    /// Engines that could not go on with it.
    failing: Vec<UpstreamId>,
    moves: u32,
    pace: Pace,
    /// Engines that the request was sent to, those that went on from a copy aside.
    sent: u32,
    stall: StallWatch,
}

impl Relay {
    /// A relay that begins at its first engine.
    pub fn new(
        traffic: Traffic,
        req: CallerRequest,
        handle: StreamHandle,
        leg: Leg,
        sent: u32,
        tx: mpsc::Sender<Result<Bytes, BrokenStream>>,
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
            sent,
            steps_tx,
            steps,
            moving: None,
            asking: None,
            stopping: None,
            leaving: Vec::new(),
            failing: Vec::new(),
            moves: 0,
            pace: Pace::default(),
            req: Arc::new(req),
        }
    }

    /// Passes events on until the stream ends.
    pub async fn run(mut self, mut orders: UnboundedReceiver<Order>) {
        let end = self.relay(&mut orders).await;
        if end != End::Done && end != End::CallerLeft {
            // Nobody may be there any more to see it.
            let _ = self.tx.send(Err(BrokenStream)).await;
        }
        let took = self.req.came.elapsed().as_millis() as u64;
        info!(event = "stream_end", request = self.req.id(), route = &*self.req.route.name, end:% = end, upstream = &*self.leg.run.placed.replica.id, events = self.events.events(), moves = self.moves, first_ms = self.pace.first.unwrap_or_default().as_millis() as u64, gap_ms = self.pace.longest_gap.as_millis() as u64, took_ms = took; "stream ended");
        let metrics = &self.traffic.shared.metrics;
        metrics.on_stream(self.pace.first, self.pace.longest_gap);
        metrics.on_answer(&self.req.route.name, if end == End::Done { 200 } else { 0 });
        let outcome = match end {
            End::Done => Outcome::Answered,
            End::CallerLeft | End::OutOfTime => Outcome::Withdrawn,
            End::EngineLost => Outcome::Failed,
        };
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

    /// Does what comes next; an error if the stream cannot go on by itself.
    async fn next(&mut self, orders: &mut UnboundedReceiver<Order>) -> Result<(), End> {
        let tx = self.tx.clone();
        tokio::select! {
            biased;
            () = tx.closed() => Err(End::CallerLeft),
            () = tokio::time::sleep_until(self.req.until) => Err(End::OutOfTime),
            Some(order) = orders.recv() => {
                self.on_order(order);
                Ok(())
            }
            Some(step) = self.steps.recv() => self.on_step(step).await,
            frame = self.leg.frame() => match frame {
                Some(Ok(frame)) => self.on_frame(frame.into_data().unwrap_or_default()).await,
                None => Err(self.on_regular_end().await),
                Some(Err(err)) => self.on_break(&err).await,
            },
            () = tokio::time::sleep_until(self.stall.due()), if self.req.route.resumable => self.on_silence().await,
        }
    }

    /// The engine has been silent for too long.
    async fn on_silence(&mut self) -> Result<(), End> {
        if self.stall.on_due() == Silence::Leave {
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
        if self.pace.first.is_none() {
            self.traffic.shared.tell(ToControl::FirstEvent(self.leg.run.placed.run));
        }
        self.pace.on_event(self.req.came);
        let tokens = self.events.events() as u32 * self.tokens_per_event;
        self.handle.produced.store(tokens, Ordering::Relaxed);
        self.tx.send(Ok(whole)).await.map_err(|_| End::CallerLeft)
    }

    async fn on_regular_end(&mut self) -> End {
        let rest = self.events.rest();
        if !rest.is_empty() && self.tx.send(Ok(rest)).await.is_err() {
            return End::CallerLeft;
        }
        End::Done
    }

    fn on_order(&mut self, order: Order) {
        let here = &self.leg.run.placed.replica.id;
        match order {
            Order::Relieve(engine) if engine == *here && self.moving.is_none() => {
                self.start_copy(Duration::ZERO)
            }
            Order::Relieve(_) => {}
            Order::Evacuate(engine) => {
                self.leaving.push(engine);
                self.leave();
            }
        }
    }

    /// Starts to move the generation if its engine leaves and no move is under way. One that
    /// is under way goes on, even to an engine that leaves as well: that is still later.
    fn leave(&mut self) {
        if self.moving.is_none() && self.leaving.contains(&self.leg.run.placed.replica.id) {
            self.start_copy(EVACUATE_WITHIN);
        }
    }

    fn start_copy(&mut self, insist: Duration) {
        let copying = Copying {
            traffic: self.traffic.clone(),
            req: self.req.clone(),
            handle: self.handle.clone(),
            source: self.leg.run.placed.replica.clone(),
            avoid: self.failing.clone(),
            insist,
        };
        let steps = self.steps_tx.clone();
        self.moving = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            let step = copying.copy().await;
            let _ = steps.send(step);
        })));
    }

    async fn on_step(&mut self, step: Step) -> Result<(), End> {
        match step {
            Step::EngineGone(engine) if engine == self.leg.run.placed.replica.id => Err(End::EngineLost),
            Step::EngineGone(_) => Ok(()),
            Step::Copied(copied) if self.leaving.contains(&copied.target.placed.replica.id) => {
                info!(event = "copy_dropped", request = self.req.id(), upstream = &*copied.target.placed.replica.id; "the copy's engine leaves as well");
                self.moving = None;
                drop(copied);
                self.leave();
                Ok(())
            }
            Step::Copied(copied) => {
                self.start_stop(copied);
                Ok(())
            }
            Step::StopAnswered(outcome) => {
                let stopped = self.stopping.as_mut().is_some_and(|copied| copied.note_stop(outcome));
                if !stopped {
                    self.stopping = None;
                    self.moving = None;
                    return Ok(());
                }
                match self.drain().await {
                    Some(end) => Err(end),
                    None => self.go_on_elsewhere().await,
                }
            }
            Step::GaveUp(why) => {
                self.moving = None;
                if why != NotCopied::SourceGone {
                    self.leave();
                }
                Ok(())
            }
        }
    }

    /// Stops the generation at its engine; the call also copies the rest, behind all other
    /// copies on these links.
    fn start_stop(&mut self, copied: Copied) {
        let source = self.leg.run.placed.replica.clone();
        let target = copied.target.placed.replica.address;
        let (req, steps) = (self.req.clone(), self.steps_tx.clone());
        self.stopping = Some(copied);
        self.moving = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            let called = engine::copy_generation(source.address, req.id(), target, true, COPY_LIMIT).await;
            let outcome = called.inspect_err(|err| {
                info!(event = "stop_unanswered", request = req.id(), upstream = &*source.id, reason:% = err; "no answer to a stop");
            });
            let _ = steps.send(Step::StopAnswered(outcome.ok()));
        })));
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
    async fn on_break(&mut self, err: &hyper::Error) -> Result<(), End> {
        let replica = self.leg.run.placed.replica.id.clone();
        info!(event = "stream_broke", request = self.req.id(), upstream = &*replica, moving = self.moving.is_some(), stopping = self.stopping.is_some(), events = self.events.events(), reason:% = err; "an engine's stream broke");
        if self.stopping.is_none() {
            let copied = self.await_copy().await.ok_or(End::EngineLost)?;
            self.stopping = Some(copied);
        }
        self.go_on_elsewhere().await
    }

    /// Waits a little for a copy that was being made when the stream broke.
    async fn await_copy(&mut self) -> Option<Copied> {
        self.moving.as_ref()?;
        match tokio::time::timeout(STOP_ANSWER_LIMIT, self.steps.recv()).await {
            Ok(Some(Step::Copied(copied))) => Some(copied),
            _ => None,
        }
    }

    /// Goes on with a stopped generation where its copy is. The engine there reads again
    /// what the copy lacks, so the end of the last copy is not waited for unless that
    /// engine wants it.
    async fn go_on_elsewhere(&mut self) -> Result<(), End> {
        self.events.drop_part();
        let mut copied = self.stopping.take().ok_or(End::EngineLost)?;
        let mut resumed = self.resume_copy(&copied.target.placed.replica, &copied).await;
        if matches!(resumed, Err(NotResumed::Refused)) && self.await_stop(&mut copied).await {
            resumed = self.resume_copy(&copied.target.placed.replica, &copied).await;
        }
        match resumed {
            Ok(exchange) => {
                self.move_to(Leg { run: copied.target, exchange: Some(exchange) }, Outcome::Withdrawn)
            }
            Err(NotResumed::Unknown) => return Err(End::EngineLost),
            Err(why) => self.go_back(copied, why).await?,
        }
        self.moving = None;
        self.leave();
        Ok(())
    }

    /// The engine is lost, and so is the generation's memory. Where the route allows it, another
    /// engine reads the prompt again and goes on after the last event that the caller has.
    async fn go_on_after_last_event(&mut self) -> Result<(), End> {
        self.give_up_leg();
        while self.traffic.may_send_again(&self.req, self.sent) {
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

    /// Hangs up, so that the lost engine does not work beside the next one, and drops what was
    /// under way for it.
    fn give_up_leg(&mut self) {
        self.leg.exchange = None;
        self.events.drop_part();
        (self.moving, self.stopping, self.asking) = (None, None, None);
        (self.steps_tx, self.steps) = mpsc::unbounded_channel();
        self.failing.push(self.leg.run.placed.replica.id.clone());
    }

    /// Sends the request to one more engine; returns whether the stream goes on there.
    async fn begin_again(&mut self) -> Result<bool, End> {
        let request = PlaceRequest {
            request: self.req.id().to_owned(),
            wanted: Wanted {
                service: self.req.service.clone(),
                size: Some(self.req.generation_size()),
                produced: 0,
                from: None,
                hall: self.traffic.shared.settings.hall.clone(),
                exclude: self.failing.clone(),
            },
            priority: self.req.priority(),
            patience: self.req.first_event_due(),
            stream: Some(self.handle.clone()),
        };
        let run = self.traffic.shared.place(request).await.map_err(|_| End::EngineLost)?;
        self.sent += 1;
        let engine = run.placed.replica.clone();
        let resume = Resume { copy: None, last_event: self.events.last_id().map(str::to_owned) };
        match self.resume(&engine, &resume, "go on").await {
            Ok(exchange) => {
                self.stall.on_resumed(&self.req.route);
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

    fn move_to(&mut self, leg: Leg, before: Outcome) {
        info!(event = "moved", request = self.req.id(), from = &*self.leg.run.placed.replica.id, upstream = &*leg.run.placed.replica.id, events = self.events.events(); "generation moved");
        let old = std::mem::replace(&mut self.leg, leg);
        old.run.end(before);
        self.moves += 1;
    }

    /// The engine with the copy does not go on: the one where the generation stopped keeps
    /// its memory, and goes on if it is still there. Another engine is tried next.
    async fn go_back(&mut self, mut copied: Copied, why: NotResumed) -> Result<(), End> {
        let here = self.leg.run.placed.replica.clone();
        let failing = copied.target.placed.replica.id.clone();
        self.await_stop(&mut copied).await;
        let exchange = self.resume_copy(&here, &copied).await.map_err(|_| End::EngineLost)?;
        info!(event = "went_back", request = self.req.id(), upstream = &*here.id, failing = &*failing, reason:% = why; "the generation goes on where it stopped");
        copied.target.end(if why == NotResumed::Failed { Outcome::Failed } else { Outcome::Refused });
        self.failing.push(failing);
        self.leg.exchange = Some(exchange);
        Ok(())
    }

    /// Waits for the answer to the stop, if it has not come yet. Returns whether it came
    /// now, and says that the generation stopped.
    async fn await_stop(&mut self, copied: &mut Copied) -> bool {
        if copied.stop_is_known {
            return false;
        }
        match tokio::time::timeout(STOP_ANSWER_LIMIT, self.steps.recv()).await {
            Ok(Some(Step::StopAnswered(outcome))) => copied.note_stop(outcome),
            _ => false,
        }
    }

    /// Goes on at `engine` with a copy of the generation's memory.
    async fn resume_copy(&self, engine: &ReplicaRecord, copied: &Copied) -> Result<Exchange, NotResumed> {
        let copy = CopySource { engine: self.leg.run.placed.replica.address, handle: copied.handle.clone() };
        let resume = Resume { copy: Some(copy), last_event: self.events.last_id().map(str::to_owned) };
        self.resume(engine, &resume, "resume").await
    }

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
