//! Decides whether a stream whose engine ended its response in order is whole.
//!
//! A length or chunks show that a body is whole. Without them it ends with its connection, and the kernel closes
//! the connections of an engine that ends like the engine itself does after a whole stream.

use log::info;

use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;

impl Relay {
    /// Handles the end of the body of the engine's response.
    pub(super) async fn on_body_end(&mut self) -> Result<(), StreamEnd> {
        self.log_body_end();
        if self.is_cut_off() {
            return self.on_break("ended inside an event, or before the first one").await;
        }
        if self.engine_stream.is_framed() {
            return Err(self.on_stream_end().await);
        }
        if self.may_be_stopped() {
            return self.on_unframed_end().await;
        }
        self.on_unstopped_end().await
    }

    /// Whether the body that has ended shows by itself that it is not whole. An unframed one without any event may
    /// be whole only if the caller may have had all events before.
    pub(super) fn is_cut_off(&self) -> bool {
        let may_be_empty =
            self.engine_stream.is_framed() || (self.moves == 0 && self.req.last_event().is_some());
        self.events.is_inside_event() || (self.awaits_first_event && !may_be_empty)
    }

    /// Handles the end of an unframed stream that was not stopped: it is whole if its engine runs on.
    pub(super) async fn on_unstopped_end(&mut self) -> Result<(), StreamEnd> {
        if self.outlived_by_engine().await {
            return Err(self.on_stream_end().await);
        }
        self.on_break("closed by an engine that has ended").await
    }

    async fn outlived_by_engine(&self) -> bool {
        let engine = &self.engine_stream.run.placed.replica;
        self.lost_at.is_none() && self.traffic.outlives_response(&self.req, engine).await
    }

    pub(super) fn log_body_end(&self) {
        let engine = &self.engine_stream;
        info!(event = "body_ended", request = self.req.id(), upstream = &*engine.run.placed.replica.id, framed = engine.is_framed(), direct = engine.is_direct(), events = self.events.events(), partial_bytes = self.events.partial_bytes(); "the body of the engine's response ended");
    }

    /// Whether the end of the body that was received between two events is that of the stream.
    pub(super) async fn is_end_regular(&self) -> bool {
        self.engine_stream.is_framed() || (!self.may_be_stopped() && self.outlived_by_engine().await)
    }

    /// Sends what follows the last event of a whole stream.
    pub(super) async fn on_stream_end(&mut self) -> StreamEnd {
        let remainder = self.events.take_remainder();
        if remainder.is_empty() {
            return StreamEnd::Done;
        }
        self.send_to_caller(remainder).await.err().unwrap_or(StreamEnd::Done)
    }
}
