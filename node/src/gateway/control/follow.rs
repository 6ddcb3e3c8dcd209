//! Follows a kind of objects in the platform's store: lists it, then waits for changes.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::retry::Backoff;
use leadstage_platform::store::Age;
use leadstage_platform::store::Kind;
use leadstage_platform::store::Store;
use leadstage_platform::store::StoreError;
use log::info;
use log::warn;

use crate::gateway::messages::News;
use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Pause after the first failed call. Calls are priced, refused ones too.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// How this node follows the store; it changes while it does.
pub type Role = Rc<Cell<WatchRole>>;

/// How often a follower asks the store.
pub struct Pace {
    /// The node's role.
    pub role: Role,
    /// Whether changes are gathered, as long as the role says, before the next question.
    pub gathers: bool,
}

impl Pace {
    /// How long one watch waits at the store.
    fn waits_for(&self) -> Duration {
        self.role.get().waits_for()
    }

    /// Pause between a change and the next watch.
    fn gathers_for(&self) -> Duration {
        if self.gathers { self.role.get().gathers_for() } else { Duration::ZERO }
    }
}

/// Reads a kind once; returns whether the store answered. For a starting node what may be some
/// seconds old is enough, as other nodes tell what is newer, and costs a tenth.
pub async fn read_once<K: Kind>(shared: Arc<Shared>, wrap: fn(News<K::Item>) -> ToControl, age: Age) -> bool {
    let mut store = Store::new(shared.settings.store);
    match store.list::<K>(age, note_unreadable::<K>).await {
        Ok(list) => {
            shared.metrics.on_store_call("read", "answered");
            shared.tell(wrap(News::Listed { list, after_outage: true }));
            true
        }
        Err(err) => {
            shared.metrics.on_store_call("read", "failed");
            info!(event = "store_lost", kind = K::NAME, reason:% = err; "the store does not answer a node that reads once");
            false
        }
    }
}

/// Follows the kind `K` until the process ends, and tells the control loop what it learns.
pub async fn follow<K: Kind>(shared: Arc<Shared>, wrap: fn(News<K::Item>) -> ToControl, pace: Pace) {
    let mut store = Store::new(shared.settings.store);
    let mut backoff = Backoff::new(LEAST_PAUSE, LONGEST_PAUSE);
    let lost = Cell::new(false);
    loop {
        let err = match follow_once::<K>(&mut store, &shared, wrap, &pace, &mut backoff, &lost).await {
            StoreError::HistoryGone => {
                info!(event = "store_history_gone", kind = K::NAME; "the store's history is gone: lists anew");
                continue;
            }
            err => err,
        };
        shared.metrics.on_store_call("any", "failed");
        shared.set_store_answers(false);
        if !lost.replace(true) {
            warn!(event = "store_lost", kind = K::NAME, reason:% = err; "the store does not answer");
        }
        let pause = backoff.next(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }
}

async fn follow_once<K: Kind>(
    store: &mut Store,
    shared: &Shared,
    wrap: fn(News<K::Item>) -> ToControl,
    pace: &Pace,
    backoff: &mut Backoff,
    lost: &Cell<bool>,
) -> StoreError {
    let list = match store.list::<K>(Age::Newest, note_unreadable::<K>).await {
        Ok(list) => list,
        Err(err) => return err,
    };
    let after_outage = lost.replace(false);
    if after_outage {
        info!(event = "store_regained", kind = K::NAME, revision = list.at; "the store answers again");
    }
    backoff.reset();
    shared.set_store_answers(true);
    shared.metrics.on_store_call("list", "answered");
    let mut at = list.at;
    shared.tell(wrap(News::Listed { list, after_outage }));
    loop {
        match store.watch::<K>(at, pace.waits_for(), note_unreadable::<K>).await {
            Ok(changes) => {
                at = changes.at;
                shared.metrics.on_store_call("watch", "answered");
                shared.set_store_answers(true);
                shared.tell(wrap(News::Changed(changes)));
                if !pace.gathers_for().is_zero() {
                    tokio::time::sleep(pace.gathers_for()).await;
                }
            }
            Err(err) => return err,
        }
    }
}

fn note_unreadable<K: Kind>(name: &str, err: &serde_json::Error) {
    warn!(event = "object_unreadable", kind = K::NAME, name, reason:% = err; "an object of the store can't be read");
}
