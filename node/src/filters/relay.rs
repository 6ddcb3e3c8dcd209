//! Forwards a generation's tokens to its caller, each once and in order, all from one generation, over as
//! many engine links as needed.

use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Event;
use leadstage_lib::code::Code;
use leadstage_lib::code::Ran;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::loss_limit;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::stream_cursor::AfterBreak;
use leadstage_lib::stream_cursor::EventAction;
use leadstage_lib::stream_cursor::StreamCursor;
use leadstage_lib::stream_cursor::StreamPosition;
use leadstage_lib::stream_cursor::parse_engine_event_id;
use log::info;
use rand::RngExt;

use crate::chunk;
use crate::control_message::ControlMessage;
use crate::control_message::Granted;
use crate::control_message::RunningGeneration;
use crate::filters::account::Account;
use crate::filters::authenticate::Authenticated;
use crate::filters::dispatch;
use crate::filters::dispatch::Link;
use crate::filters::dispatch::LinkError;
use crate::filters::place;
use crate::filters::place::GenerationRequest;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Mean delay before a broken link is resumed; the actual delay is jittered.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// While a link is silent, how often to check whether the time limit of a planned stop is reached.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The next item for the caller.
#[derive(Debug)]
pub enum Relayed {
    /// An event of the engine.
    Event {
        /// The position in the stream after this event.
        position: StreamPosition,
        /// The JSON data of the engine's event.
        data: String,
    },
    /// The generation is complete.
    Done,
    /// The generation ended early.
    Failed(Refusal),
}

/// Relays one generation to its caller.
pub struct Relay {
    shared: Arc<Shared>,
    cx: Authenticated,
    req: GenerationRequest,
    account: Account,
    cursor: StreamCursor,
    granted: Option<Granted>,
    link: Option<Link>,
    may_have_run: bool,
    /// Number of engines lost after they may have started the generation.
    lost_engines: usize,
    finished: bool,
}

impl Relay {
    /// Creates a relay for a new generation, which is not placed yet.
    pub fn new(shared: Arc<Shared>, cx: Authenticated, req: GenerationRequest, account: Account) -> Self {
        let cursor = StreamCursor::new(new_generation(), 0);
        Relay {
            shared,
            cx,
            req,
            account,
            cursor,
            granted: None,
            link: None,
            may_have_run: false,
            lost_engines: 0,
            finished: false,
        }
    }

    /// Returns the tracker of the request.
    pub fn account(&mut self) -> &mut Account {
        &mut self.account
    }

    /// Places and starts the generation. Once an engine may have started it, a refusal no longer states that
    /// it did not run.
    pub async fn start(&mut self) -> Result<(), Refusal> {
        let started = self.start_on_engine().await;
        started.map_err(|refusal| self.with_actual_outcome(refusal))
    }

    fn with_actual_outcome(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.code.ran() == Ran::No {
            return Refusal::with_retry_after(Code::UpstreamLost, refusal.retry_after);
        }
        refusal
    }

    /// Places the generation and starts it. If the engine cannot be reached or refuses, retries on another
    /// one, within the retry budget.
    async fn start_on_engine(&mut self) -> Result<(), Refusal> {
        loop {
            let generation = self.cursor.generation();
            let granted = place::place(&self.shared, &self.cx, &self.req, generation).await?;
            let lead = granted.lead.as_deref().unwrap_or("none, alone");
            let what = format!("generation {generation:016x} on {} by lead {lead}", granted.upstream);
            self.account.note("place", what);
            self.report_start(&granted);
            let organisation = &self.cx.organisation.id;
            let started =
                dispatch::start(granted.address, generation, organisation, granted.priority, &self.req).await;
            self.granted = Some(granted);
            self.may_have_run |= !matches!(started, Err(LinkError::NotSent | LinkError::Rejected));
            match started {
                Ok(link) => {
                    self.link = Some(link);
                    return Ok(());
                }
                Err(LinkError::Broken) => return Ok(()),
                Err(LinkError::Rejected) => {
                    self.account.on_generation_end(EndKind::Cancelled);
                    return Err(Refusal::with_detail(
                        Code::BadRequest,
                        "the engine does not take this request",
                    ));
                }
                Err(LinkError::NotSent | LinkError::Refused) => self.abandon_engine()?,
            }
        }
    }

    /// Resumes a generation that may have been started by another entry.
    pub async fn resume_at(&mut self, position: &StreamPosition) -> Result<(), Refusal> {
        let upstreams = self.shared.upstreams();
        let engine = upstreams.get(&position.engine).ok_or_else(|| Refusal::new(Code::GenerationUnknown))?;
        let from = position.index.saturating_add(1);
        let linked =
            dispatch::resume(engine.address, position.generation, from, self.req.kind, &self.req.model).await;
        let link = linked.map_err(|_| Refusal::new(Code::GenerationUnknown))?;
        if link.organisation.as_deref() != Some(&*self.cx.organisation.id) {
            return Err(Refusal::new(Code::NotYourGeneration));
        }
        self.cursor = StreamCursor::new(position.generation, from);
        let granted = Granted {
            upstream: engine.id.clone(),
            hall: engine.hall.clone(),
            address: engine.address,
            priority: self.cx.organisation.priority,
            lead: None,
        };
        self.account.note("relay", format!("taken over at {position}"));
        self.report_start(&granted);
        self.granted = Some(granted);
        self.link = Some(link);
        Ok(())
    }

    fn report_start(&mut self, granted: &Granted) {
        let generation = self.cursor.generation();
        let tokens = self.account.on_start(generation, self.cursor.next() as u32);
        let running = RunningGeneration {
            request: place::place_request(&self.shared, &self.cx, &self.req, generation),
            model: self.req.model.clone(),
            hall: granted.hall.clone(),
            upstream: granted.upstream.clone(),
            tokens,
            known_to: granted.lead.clone(),
        };
        let _ = self.shared.control.send(ControlMessage::Started(running));
    }

    /// Returns the next item for the caller.
    pub async fn next(&mut self) -> Relayed {
        if self.finished {
            return Relayed::Done;
        }
        loop {
            if self.shared.stop_now.is_cancelled() {
                return self.fail(Refusal::new(Code::StopBound));
            }
            let event = match self.next_event().await {
                Some(event) => event,
                None => match self.recover_link().await {
                    Ok(()) => continue,
                    Err(refusal) => return self.fail(refusal),
                },
            };
            if event.data == "[DONE]" {
                continue;
            }
            if let Some(relayed) = self.on_event(event) {
                return relayed;
            }
        }
    }

    /// Returns the next event of the link, or `None` when it broke or stalled.
    async fn next_event(&mut self) -> Option<Event> {
        let link = self.link.as_mut()?;
        let max_silence = self.cx.bundle.bounds.stall_within;
        let mut waited = Duration::ZERO;
        while waited < max_silence {
            let wait = STOP_CHECK_INTERVAL.min(max_silence - waited);
            let started = tokio::time::Instant::now();
            if let Some(event) = link.next(wait).await {
                return Some(event);
            }
            let broke = started.elapsed() < wait;
            if broke || self.shared.stop_now.is_cancelled() {
                return None;
            }
            waited += wait;
        }
        None
    }

    fn on_event(&mut self, event: Event) -> Option<Relayed> {
        let action = match parse_engine_event_id(&event.id) {
            Some((generation, index)) => self.cursor.on_event(generation, index),
            None => EventAction::BreakLink,
        };
        match action {
            EventAction::Repeated => return None,
            EventAction::BreakLink => {
                self.link = None;
                return None;
            }
            EventAction::Deliver => {}
        }
        if chunk::is_last(&event.data) {
            self.finished = true;
            self.account.on_generation_end(EndKind::Finished);
            self.account.on_answer(Code::Done);
        } else {
            self.account.on_token();
        }
        Some(Relayed::Event { position: self.position(), data: event.data })
    }

    fn position(&self) -> StreamPosition {
        let engine = self.granted.as_ref().map_or_else(|| "".into(), |g| g.upstream.clone());
        StreamPosition {
            generation: self.cursor.generation(),
            engine,
            index: self.cursor.next().saturating_sub(1),
        }
    }

    /// After the link broke or stalled, resumes it, restarts the generation elsewhere, or ends the stream.
    async fn recover_link(&mut self) -> Result<(), Refusal> {
        self.link = None;
        let mut after = self.cursor.on_break();
        loop {
            match after {
                AfterBreak::Resume { from } => match self.resume(from).await {
                    Ok(link) => {
                        self.link = Some(link);
                        return Ok(());
                    }
                    Err(LinkError::Refused | LinkError::Rejected) => after = self.cursor.on_engine_lost(),
                    Err(LinkError::NotSent | LinkError::Broken) => after = self.cursor.on_break(),
                },
                AfterBreak::Restart => {
                    self.lost_engines += 1;
                    self.abandon_engine()?;
                    // The request itself may crash its engines: without this limit, one request cost all
                    // four engines of a pool.
                    if !loss_limit::may_retry_after_loss(0, self.lost_engines) {
                        return Err(Refusal::new(Code::UpstreamLost));
                    }
                    return Box::pin(self.start_on_engine()).await;
                }
                AfterBreak::End => {
                    self.account.on_generation_end(EndKind::Lost);
                    return Err(Refusal::new(Code::StreamLost));
                }
            }
        }
    }

    async fn resume(&mut self, from: u64) -> Result<Link, LinkError> {
        let Some(granted) = &self.granted else {
            return Err(LinkError::Refused);
        };
        let jitter: f64 = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(RESUME_DELAY.mul_f64(jitter)).await;
        self.shared.metrics.on_resume();
        self.account.note("relay", format!("resumes at {} from {from}", granted.upstream));
        let generation = self.cursor.generation();
        dispatch::resume(granted.address, generation, from, self.req.kind, &self.req.model).await
    }

    /// Abandons an engine that was lost before the caller received a token. A new generation may start on
    /// another engine, within the retry budget.
    fn abandon_engine(&mut self) -> Result<(), Refusal> {
        self.account.on_generation_end(EndKind::Lost);
        if let Some(granted) = self.granted.take() {
            info!(event = "engine_lost", upstream = &*granted.upstream, generation:% = format_args!("{:016x}", self.cursor.generation()); "engine lost before its first token");
            self.account.note("dispatch", format!("{} lost before a token", granted.upstream));
            let _ = self.shared.control.send(ControlMessage::UpstreamFailed(granted.upstream));
        }
        if !self.shared.take_retry() {
            return Err(Refusal::new(Code::UpstreamRefused));
        }
        self.cursor = StreamCursor::new(new_generation(), 0);
        Ok(())
    }

    fn fail(&mut self, refusal: Refusal) -> Relayed {
        let refusal = self.with_actual_outcome(refusal);
        self.finished = true;
        self.account.on_answer(refusal.code);
        Relayed::Failed(refusal)
    }
}

fn new_generation() -> GenerationId {
    rand::rng().random()
}
