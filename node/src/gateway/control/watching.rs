//! Follows the store while this node is one of its watchers, and sends their pulse.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::watchers::PULSE_INTERVAL;
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
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::control::follow;
use crate::gateway::control::follow::Pace;
use crate::gateway::control::follow::Role;
use crate::gateway::messages::News;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// The store is away if it does not answer within this; a slow one takes a quarter of a
/// second.
const PULSE_LIMIT: Duration = Duration::from_millis(500);
/// The store is late if it does not answer within this: it usually takes some 4 ms, and the
/// turn of a busy node some tens.
const PULSE_LATE: Duration = Duration::from_millis(120);
/// Part of the interval by which pulses come earlier or later, so that those of three
/// watchers spread over it: the first to miss an answer warns all.
const PULSE_JITTER: f64 = 0.3;

/// The tasks of a watcher; they end when this is dropped.
struct Tasks {
    _configuration: AbortOnDropHandle<()>,
    _replicas: AbortOnDropHandle<()>,
    _closed_halls: AbortOnDropHandle<()>,
    _suspects: AbortOnDropHandle<()>,
    /// Where the operator orders upgrades.
    _upgrades: Option<AbortOnDropHandle<()>>,
    _pulse: AbortOnDropHandle<()>,
}

/// This node's watching.
pub struct Watching {
    shared: Arc<Shared>,
    role: Option<WatchRole>,
    /// The role that the tasks have, once there are some.
    tasks_role: Role,
    tasks: Option<Tasks>,
}

impl Watching {
    /// Does not watch yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Watching { shared, role: None, tasks_role: Rc::new(Cell::new(WatchRole::Standby)), tasks: None }
    }

    /// Begins or ends to watch, or changes how.
    pub fn set(&mut self, role: Option<WatchRole>) {
        if role == self.role {
            return;
        }
        info!(event = "store_watch", before:? = self.role, now:? = role; "this node follows the store for others, or no longer");
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

    fn start(&self) -> Tasks {
        let (shared, role) = (&self.shared, &self.tasks_role);
        // Each watcher takes a configuration at once: all nodes fetch it from those that have it,
        // and one alone may have a small link.
        let pace = |gathers| Pace { role: role.clone(), gathers, is_backed: false };
        let configuration =
            follow::follow::<Configuration>(shared.clone(), ToControl::Configuration, pace(false));
        let replicas = follow::follow::<Replicas>(shared.clone(), ToControl::Replicas, pace(true));
        // The pulses tell them too: a calm day on 66 nodes takes 387 calls to the store in place of 411.
        let backed_pace = || Pace { is_backed: true, ..pace(false) };
        let closed_halls =
            follow::follow::<Evacuations>(shared.clone(), ToControl::ClosedHalls, backed_pace());
        // Nodes tell each other of suspects too, with or without the store.
        let suspects = follow::follow::<Suspects>(shared.clone(), ToControl::Suspects, backed_pace());
        let upgrades = self.shared.bounds().exposure.map(|_| {
            let upgrades = follow::follow::<Upgrades>(shared.clone(), ToControl::Upgrades, backed_pace());
            AbortOnDropHandle::new(tokio::task::spawn_local(upgrades))
        });
        Tasks {
            _configuration: AbortOnDropHandle::new(tokio::task::spawn_local(configuration)),
            _replicas: AbortOnDropHandle::new(tokio::task::spawn_local(replicas)),
            _closed_halls: AbortOnDropHandle::new(tokio::task::spawn_local(closed_halls)),
            _suspects: AbortOnDropHandle::new(tokio::task::spawn_local(suspects)),
            _upgrades: upgrades,
            _pulse: AbortOnDropHandle::new(tokio::task::spawn_local(pulse(self.shared.clone()))),
        }
    }
}

/// Asks the store again and again whether it answers: a waiting watch looks the same when the store is
/// away. Each question costs a tenth of a usual call. It is for the closed halls, some seconds old, so
/// that a watch of them whose answer was lost is not all that tells of one.
async fn pulse(shared: Arc<Shared>) {
    let mut store = Store::new(shared.settings.store);
    let mut number: PulseNumber = unix_millis();
    loop {
        let mut tell = |state| {
            number += 1;
            shared.tell(ToControl::OwnPulse(number, state));
        };
        let StoreProbe { answers, listed } = {
            let probe = store.probe::<Evacuations>(PULSE_LIMIT, follow::note_unreadable::<Evacuations>);
            let mut answer = std::pin::pin!(probe);
            match tokio::time::timeout(PULSE_LATE, &mut answer).await {
                Ok(probe) => probe,
                Err(_) => {
                    tell(StoreState::Late);
                    answer.await
                }
            }
        };
        if let Some(list) = listed {
            shared.tell(ToControl::ClosedHalls(News::Listed { list, after_outage: false }));
        }
        tell(if answers { StoreState::Answers } else { StoreState::Away });
        shared.metrics.on_store_call(StoreCall::Pulse, answers);
        if shared.set_store_answers(answers) {
            if answers {
                info!(event = "store_regained", by = "pulse"; "the store answers again");
            } else {
                warn!(event = "store_lost", by = "pulse"; "the store does not answer");
            }
        }
        let jitter = rand::rng().random_range(1.0 - PULSE_JITTER..=1.0 + PULSE_JITTER);
        tokio::time::sleep(PULSE_INTERVAL.mul_f64(jitter)).await;
    }
}
