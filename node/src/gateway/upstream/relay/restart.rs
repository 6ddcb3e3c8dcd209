//! Decides whether a stream is lost because its engine has restarted under the same id.
//!
//! The entry of a restart may arrive late, after streams have begun at the restarted engine, and nothing that
//! the node knows by then tells these from earlier ones: their requests were placed by the entry before. Their
//! events do: an engine that restarts breaks its connections, or leaves them silent.

use leadstage_lib::gateway::replica_record::Incarnation;
use log::info;
use tokio::time::Instant;

use crate::gateway::upstream::relay::Relay;
use crate::gateway::upstream::relay::StreamEnd;
use crate::gateway::upstream::relay::engine_loss::EngineLoss;

impl Relay {
    /// Handles the entry of a restarted engine. The stream is lost once it has been silent for as long as a
    /// stream may be before it is doubted, and for at least one gap objective from now.
    pub(super) fn on_restart(&mut self, restarted: &Incarnation) {
        let here = &self.engine_stream.run.placed.replica;
        if restarted.id != here.id || restarted.born <= here.born {
            return;
        }
        let lost_at = self.stall.due().max(Instant::now() + self.req.route.gap_objective);
        info!(event = "restart_doubted", request = self.req.id(), upstream = &*here.id, events = self.events.events(); "the engine of a stream restarted before or after the stream began");
        self.lost_at = Some(lost_at);
    }

    /// Handles an event, which the engine sent since it restarted.
    pub(super) fn on_event_after_restart(&mut self) {
        if self.lost_at.take().is_some() {
            info!(event = "restart_outlived", request = self.req.id(), upstream = &*self.engine_stream.run.placed.replica.id; "the stream began after the restart of its engine");
        }
    }

    /// Waits until the stream is lost; never completes unless its engine restarted.
    pub(super) async fn until_lost(lost_at: Option<Instant>) -> StreamEnd {
        match lost_at {
            Some(lost_at) => tokio::time::sleep_until(lost_at).await,
            None => std::future::pending().await,
        }
        StreamEnd::EngineLost(EngineLoss::Restarted)
    }
}
