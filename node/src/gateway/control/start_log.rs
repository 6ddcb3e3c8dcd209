//! Logs what a starting node still waits for, and what came from where once it serves.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::start_progress::Arrival;
use leadstage_lib::gateway::start_progress::Part;
use leadstage_lib::gateway::start_progress::Source;
use leadstage_lib::gateway::start_progress::StartProgress;
use log::info;
use log::warn;

use crate::gateway::control::replica_intake::ReplicaIntake;
use crate::gateway::messages::ToControl;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Follows a start until the node serves.
pub struct StartLog {
    shared: Arc<Shared>,
    progress: StartProgress,
    /// Time from the start until the node served.
    took: Option<Duration>,
}

impl StartLog {
    /// Creates the log of a node that has just started.
    pub fn new(shared: Arc<Shared>) -> Self {
        StartLog { shared, progress: StartProgress::default(), took: None }
    }

    /// Records the parts that the node has after a message from `from`.
    pub fn on_message(&mut self, from: Option<Source>, replicas: &ReplicaIntake) {
        let now = self.shared.now();
        if self.shared.table().is_some() {
            self.progress.on_part(Part::Config, from, now);
        }
        if replicas.is_known() {
            self.progress.on_part(Part::Replicas, from, now);
        }
    }

    /// Logs the parts that the node has lacked for long. Called a few times a second.
    pub fn tick(&mut self, replicas: &ReplicaIntake) {
        if self.shared.phase() != Phase::Starting {
            return;
        }
        let now = self.shared.now();
        for part in self.progress.due_reports(now) {
            let seen_elsewhere = match part {
                Part::Config => self.shared.lacks_newer_config(),
                Part::Replicas => replicas.is_known_elsewhere(),
            };
            let (store_calls, store_failed) = self.shared.metrics.store_answers_so_far();
            let nodes = self.shared.nodes();
            warn!(event = "start_waits", for:% = part, age_ms = now.as_millis() as u64, nodes, seen_elsewhere, store_calls, store_failed; "the start still waits");
        }
    }

    /// Returns the time from the start until the node served, or so far.
    pub fn time(&self) -> Duration {
        self.took.unwrap_or_else(|| self.shared.now())
    }

    /// Logs that the node serves.
    pub fn on_serving(&mut self) {
        let took = *self.took.insert(self.shared.now());
        let took_ms = took.as_millis() as u64;
        let (config_ms, config_from) = arrival_fields(self.progress.arrival(Part::Config));
        let (replicas_ms, replicas_from) = arrival_fields(self.progress.arrival(Part::Replicas));
        info!(event = "serving", took_ms, config_ms, config_from, replicas_ms, replicas_from; "the callers' port listens; configuration and replicas are known");
    }
}

/// The time in milliseconds and the source of an arrival.
fn arrival_fields(arrival: Option<Arrival>) -> (u64, String) {
    let after_ms = arrival.map_or(0, |arrival| arrival.after.as_millis() as u64);
    let from = arrival.and_then(|arrival| arrival.from);
    (after_ms, from.map_or_else(|| "unknown".to_owned(), |from| from.to_string()))
}

/// Where the content of a message comes from, if it may complete a start.
pub fn source_of(message: &ToControl) -> Option<Source> {
    match message {
        ToControl::Configuration(_) | ToControl::Replicas(_) => Some(Source::Store),
        ToControl::Fetched(from, _) => Some(Source::Node(*from)),
        ToControl::Datagram(datagram) => Some(Source::Node(datagram.from)),
        _ => None,
    }
}
