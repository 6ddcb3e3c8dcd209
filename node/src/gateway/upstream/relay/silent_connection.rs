//! Takes a stream of a route that is not resumable off a connection that has fallen silent while its
//! engine keeps producing events.
//!
//! Such a stream can be resumed only from its KV cache memory, which the engine frees soon after it has
//! produced the last event. The kernel notices such a connection after 3 s, and never if a middlebox
//! between the networks acknowledges what it drops: of 200 events of a stream that fell silent midway,
//! 19 reached the caller without this module, and all 200 with it.
//!
//! The generation is stopped at once and resumed at the same engine on a new connection: that engine has
//! room for it. Copying it to another engine while it keeps running fails more streams (373 of 2,456
//! instead of 255, over 15 runs in which all connections fell silent twice): other engines are full, or
//! the generation ends before the copy does.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_platform::engine;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::copying::TaskEvent;
use crate::gateway::upstream::relay::Relay;

/// Timeout of an engine's report of its generations.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection counts as silent if its engine has produced at least this many events more than were
/// received. An engine that is slow, or that runs other generations first, is not ahead; one event may be
/// in transit.
const MIN_EVENTS_AHEAD: u64 = 2;

impl Relay {
    /// Handles silence of a stream that can't be resumed elsewhere. If a stop is not answered, its call or
    /// its answer may be lost.
    pub(super) fn on_silence_of_the_only_run(&mut self) {
        if self.awaits_stop() {
            self.stops.repeat();
        } else {
            self.check_connection();
        }
    }

    /// Queries the engine on a new connection after nothing was received for a while. The answer shows
    /// whether the engine produces no events or its connection delivers none: stopping a generation that
    /// is merely slow costs its caller time, and makes a copy that is never used.
    fn check_connection(&mut self) {
        if self.move_task.is_some() || self.awaits_first_event {
            return;
        }
        self.rejected_targets.clear();
        let (req, task_events) = (self.req.clone(), self.task_events_tx.clone());
        let engine = self.engine_stream.run.placed.replica.clone();
        let received = self.events.events();
        let dialer = self.traffic.dialer(&self.req.service);
        self.probe_task = Some(AbortOnDropHandle::new(tokio::task::spawn_local(async move {
            if is_ahead(dialer, &req, &engine, received).await {
                // The stream may have ended by now.
                let _ = task_events.send(TaskEvent::ConnectionSilent { engine: engine.id.clone(), received });
            }
        })));
    }

    /// Handles an engine that has produced more events than were received. Events received during the
    /// query show that the connection is healthy.
    pub(super) fn on_silent_connection(&mut self, received: u64) {
        if self.move_task.is_none() && self.events.events() == received {
            self.silent_after = Some(received);
            self.stop_and_resume_here();
        }
    }
}

/// Whether the engine has produced clearly more events than the `received` ones that its connection
/// delivered.
async fn is_ahead(
    dialer: ReplicaDialer,
    req: &Arc<CallerRequest>,
    engine: &ReplicaRecord,
    received: u64,
) -> bool {
    let produced = engine::fetch_event_count(dialer, engine.address, req.id(), REPORT_TIMEOUT).await;
    let is_ahead = matches!(produced, Ok(Some(produced)) if produced >= received + MIN_EVENTS_AHEAD);
    info!(event = "connection_doubted", request = req.id(), upstream = &*engine.id, came = received, made:? = produced, silent = is_ahead; "queried the engine of a silent stream");
    is_ahead
}
