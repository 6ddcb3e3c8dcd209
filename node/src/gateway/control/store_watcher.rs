//! Follows the store while this node is one of its watchers, and sends a watcher's pulse.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::watchers::PULSE_INTERVAL;
use leadstage_lib::gateway::watchers::PULSE_LATE_AFTER;
use leadstage_lib::gateway::watchers::PULSE_TIMEOUT;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_platform::store::Store;
use leadstage_platform::store::StoreProbe;
use leadstage_platform::store_kinds::Configuration;
use leadstage_platform::store_kinds::Evacuations;
use leadstage_platform::store_kinds::Replicas;
use leadstage_platform::store_kinds::Suspects;
use leadstage_platform::store_kinds::Upgrades;
use log::info;
use log::warn;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::control::follow;
use crate::gateway::control::follow::FollowOptions;
use crate::gateway::control::follow::Role;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Fraction of the interval by which pulses are sent earlier or later at random, so that those of the three
/// watchers spread over it: the first watcher that misses an answer warns all nodes.
const PULSE_JITTER: f64 = 0.3;

/// The tasks of a watcher, which end when this is dropped.
struct Tasks {
    _configuration: AbortOnDropHandle<()>,
    _replicas: AbortOnDropHandle<()>,
    _closed_halls: AbortOnDropHandle<()>,
    _suspects: AbortOnDropHandle<()>,
    /// Only where the operator can order upgrades.
    _upgrades: Option<AbortOnDropHandle<()>>,
    _pulse: AbortOnDropHandle<()>,
    /// Wakes the task that sends pulses.
    check_soon: Rc<Notify>,
}

/// Follows the store while this node has a role as one of its watchers.
pub struct StoreWatcher {
    shared: Arc<Shared>,
    role: Option<WatchRole>,
    /// The role that the tasks use, once they are started.
    tasks_role: Role,
    tasks: Option<Tasks>,
}

impl StoreWatcher {
    /// Creates a watcher without a role.
    pub fn new(shared: Arc<Shared>) -> Self {
        StoreWatcher { shared, role: None, tasks_role: Rc::new(Cell::new(WatchRole::Standby)), tasks: None }
    }

    /// Starts or stops watching, or changes the role. `answer_age` is the time since the store last answered any
    /// node that this one hears of, and `staleness` the time for which this node may not know its changes.
    pub fn set(&mut self, role: Option<WatchRole>, answer_age: Duration, staleness: Duration) {
        if role == self.role {
            return;
        }
        let (answer_age_ms, staleness_ms) = (answer_age.as_millis() as u64, staleness.as_millis() as u64);
        info!(event = "store_watch", before:? = self.role, now:? = role, answer_age_ms, staleness_ms; "this node's role as a watcher of the store changed");
        self.role = role;
        let Some(role) = role else {
            self.tasks = None;
            return;
        };
        self.tasks_role.set(role);
        if self.tasks.is_none() {
            self.tasks = Some(self.start());
        }
    }

    /// Checks soon whether the store answers this node, as it answers another one again.
    pub fn check_soon(&self) {
        if let Some(tasks) = &self.tasks {
            tasks.check_soon.notify_one();
        }
    }

    fn start(&self) -> Tasks {
        let (shared, role) = (&self.shared, &self.tasks_role);
        // Each watcher reads a new configuration at once: all nodes fetch it from those that have it, and a
        // single watcher may have a narrow link.
        let options = |is_batching, first_call| FollowOptions {
            role: role.clone(),
            is_batching,
            has_other_source: false,
            first_call,
        };
        let (config_call, config_read) = oneshot::channel();
        let configuration = follow::follow::<Configuration>(
            shared.clone(),
            ToControl::Configuration,
            options(false, Some(config_call)),
        );
        let (replicas_call, replicas_read) = oneshot::channel();
        let replicas = follow::follow::<Replicas>(
            shared.clone(),
            ToControl::Replicas,
            options(true, Some(replicas_call)),
        );
        let first_reads = async move { drop(tokio::join!(config_read, replicas_read)) };
        // Pulses read the closed halls as well. Without faults, 66 nodes then make 387 calls to the store
        // instead of 411.
        let with_other_source = || FollowOptions { has_other_source: true, ..options(false, None) };
        let closed_halls =
            follow::follow::<Evacuations>(shared.clone(), ToControl::ClosedHalls, with_other_source());
        // Nodes also send suspects to each other, with or without the store.
        let suspects = follow::follow::<Suspects>(shared.clone(), ToControl::Suspects, with_other_source());
        let upgrades = self.shared.bounds().exposure.map(|_| {
            let upgrades =
                follow::follow::<Upgrades>(shared.clone(), ToControl::Upgrades, with_other_source());
            AbortOnDropHandle::new(tokio::task::spawn_local(upgrades))
        });
        let check_soon = Rc::<Notify>::default();
        let pulse = pulse(shared.clone(), first_reads, check_soon.clone());
        Tasks {
            _configuration: AbortOnDropHandle::new(tokio::task::spawn_local(configuration)),
            _replicas: AbortOnDropHandle::new(tokio::task::spawn_local(replicas)),
            _closed_halls: AbortOnDropHandle::new(tokio::task::spawn_local(closed_halls)),
            _suspects: AbortOnDropHandle::new(tokio::task::spawn_local(suspects)),
            _upgrades: upgrades,
            _pulse: AbortOnDropHandle::new(tokio::task::spawn_local(pulse)),
            check_soon,
        }
    }
}

/// Checks periodically whether the store answers: a pending watch does not show that it is unavailable.
/// Each check costs a tenth of a usual call. It reads the closed halls, as they were some seconds ago, so
/// that a closed hall is noticed even if the answer of its watch was lost.
///
/// Other nodes take a pulse as a sign that its sender knows the store's latest changes, so the first one is sent
/// after `first_reads`. A read that takes longer than a call without an answer is not waited for: meanwhile, more
/// nodes would begin to watch.
///
/// After `check_soon` the next check begins when others know that a call which fails was made afterwards.
async fn pulse(shared: Arc<Shared>, first_reads: impl Future<Output = ()>, check_soon: Rc<Notify>) {
    if tokio::time::timeout(PULSE_TIMEOUT, first_reads).await.is_err() {
        info!(event = "first_reads_late"; "the store is still being read; sending pulses meanwhile");
    }
    let mut store = Store::new(shared.settings.store);
    let mut number: PulseNumber = unix_millis();
    loop {
        let mut report = |state| {
            number += 1;
            shared.notify(ToControl::OwnPulse(number, state));
        };
        let StoreProbe { answers, listed } = {
            // The task that follows this kind logs what can't be parsed.
            let probe = store.probe::<Evacuations>(PULSE_TIMEOUT, |_, _| {});
            let mut answer = std::pin::pin!(probe);
            match tokio::time::timeout(PULSE_LATE_AFTER, &mut answer).await {
                Ok(probe) => probe,
                Err(_) => {
                    report(StoreState::Late);
                    answer.await
                }
            }
        };
        if let Some(list) = listed {
            shared.notify(ToControl::ClosedHalls(StoreUpdate::Listed { list, after_outage: false }));
        }
        report(if answers { StoreState::Answers } else { StoreState::Away });
        shared.metrics.on_store_call(StoreCall::Pulse, answers);
        if shared.set_store_answers(answers) {
            if answers {
                info!(event = "store_regained", by = "pulse"; "the store answers again");
            } else {
                warn!(event = "store_lost", by = "pulse"; "the store does not answer");
            }
        }
        let jitter = rand::rng().random_range(1.0 - PULSE_JITTER..=1.0 + PULSE_JITTER);
        tokio::select! {
            () = tokio::time::sleep(PULSE_INTERVAL.mul_f64(jitter)) => {}
            () = check_soon.notified() => tokio::time::sleep(PULSE_LATE_AFTER).await,
        }
    }
}
