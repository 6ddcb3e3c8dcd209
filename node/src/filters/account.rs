//! Tracks a request for metrics, service levels and the request log, and reports the end of its
//! generation to the pool's lead.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::burn::Indicator;
use leadstage_lib::code::Code;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::pool_event::EndKind;
use log::info;

use crate::control_message::ControlMessage;
use crate::shared::OpenGuard;
use crate::shared::Shared;

/// Gaps between tokens that are longer than this count as time without progress.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Tracks one request until it is dropped. A request that is dropped without an answer counts as one whose
/// caller disconnected.
pub struct Account {
    shared: Arc<Shared>,
    bundle: Arc<Bundle>,
    organisation: String,
    request: u64,
    started: Instant,
    last_token: Option<Instant>,
    stalled: Duration,
    running: Option<GenerationId>,
    tokens: Arc<AtomicU32>,
    code: Option<Code>,
    _open: OpenGuard,
}

impl Account {
    /// Starts tracking a request.
    pub fn new(
        shared: Arc<Shared>,
        bundle: Arc<Bundle>,
        organisation: &str,
        request: u64,
        open: OpenGuard,
    ) -> Self {
        shared.metrics.on_open(1);
        Account {
            shared,
            bundle,
            organisation: organisation.to_owned(),
            request,
            started: Instant::now(),
            last_token: None,
            stalled: Duration::ZERO,
            running: None,
            tokens: Arc::default(),
            code: None,
            _open: open,
        }
    }

    /// Called when a generation is dispatched; `tokens` is the number that the caller has received already.
    /// Returns the counter of delivered tokens.
    pub fn on_start(&mut self, generation: GenerationId, tokens: u32) -> Arc<AtomicU32> {
        self.running = Some(generation);
        self.tokens = Arc::new(AtomicU32::new(tokens));
        self.tokens.clone()
    }

    /// Called when a token is sent to the caller.
    pub fn on_token(&mut self) {
        let now = Instant::now();
        self.tokens.fetch_add(1, Ordering::Relaxed);
        self.shared.metrics.on_tokens(1);
        let levels = &self.bundle.service_levels;
        match self.last_token.replace(now) {
            None => {
                let after = now - self.started;
                self.shared.metrics.on_first_token(after);
                self.shared.observe(Indicator::FirstToken, after <= levels.first_token.within);
            }
            Some(last) => {
                let gap = now - last;
                self.shared.metrics.on_token_gap(gap);
                self.shared.observe(Indicator::TokenGap, gap <= levels.token_gap.within);
                if gap > STALL_THRESHOLD {
                    self.stalled += gap;
                }
            }
        }
    }

    /// Called when the generation ended or was abandoned at its engine.
    pub fn on_generation_end(&mut self, how: EndKind) {
        if let Some(generation) = self.running.take() {
            let _ = self.shared.control.send(ControlMessage::Ended { generation, how });
        }
    }

    /// Called when the request is answered with `code`.
    pub fn on_answer(&mut self, code: Code) {
        self.code = Some(code);
    }

    /// Called when a plain call was answered.
    pub fn on_call(&self) {
        let took = self.started.elapsed();
        self.shared.metrics.on_call(took);
        self.shared.observe(Indicator::Calls, took <= self.bundle.service_levels.calls.within);
    }

    /// Records a decision for `leadstage explain`.
    pub fn note(&self, filter: &'static str, what: String) {
        self.shared.note(self.request, filter, what);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.on_generation_end(EndKind::Cancelled);
        self.shared.metrics.on_open(-1);
        if self.last_token.is_some() {
            let within = self.bundle.service_levels.stall.within;
            self.shared.metrics.on_stall(self.stalled);
            self.shared.observe(Indicator::Stall, self.stalled <= within);
        }
        let number = self.code.map_or(0, Code::number);
        if let Some(code) = self.code {
            self.shared.metrics.on_answer(&self.organisation, code);
        }
        info!(
            event = "request",
            request:% = format_args!("{:016x}", self.request),
            organisation = &*self.organisation,
            code = number,
            tokens = self.tokens.load(Ordering::Relaxed),
            ms = self.started.elapsed().as_millis() as u64;
            "{}", if self.code.is_some() { "answered" } else { "caller left" }
        );
    }
}
