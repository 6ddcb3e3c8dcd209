//! Follows one kind of objects in the platform's store: lists it, then watches for changes.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::revision::Era;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::retry::Backoff;
use leadstage_platform::store::Revision;
use leadstage_platform::store::Store;
use leadstage_platform::store::StoreError;
use leadstage_platform::store_kinds::Age;
use leadstage_platform::store_kinds::Kind;
use log::info;
use log::warn;
use tokio::sync::oneshot;

use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;

/// Delay after the first failed call. Calls are billed, refused ones too.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Limit on the delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Limit on the undecided fields that are logged per kind.
const MAX_LOGGED_FIELDS: usize = 32;
/// Timeout of the first watch after a failed call: its prompt answer shows that the store is back.
const RECONNECT_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// The role in which this node follows the store; it may change meanwhile.
pub type Role = Rc<Cell<WatchRole>>;

/// Options that determine how often a follower calls the store.
pub struct FollowOptions {
    /// The node's role.
    pub role: Role,
    /// Whether changes are batched before the next watch, for the time that the role sets.
    pub is_batching: bool,
    /// Whether changes also arrive in another way if a watch's connection goes silent. Each watch then
    /// waits as long as a standby's.
    pub has_other_source: bool,
    /// Dropped once the first call has ended.
    pub first_call: Option<oneshot::Sender<()>>,
}

impl FollowOptions {
    /// How long one watch waits at the store.
    fn watch_timeout(&self) -> Duration {
        let role = if self.has_other_source { WatchRole::Standby } else { self.role.get() };
        role.watch_timeout()
    }

    /// Delay between a change and the next watch.
    fn batch_delay(&self) -> Duration {
        if self.is_batching { self.role.get().batch_delay() } else { Duration::ZERO }
    }
}

/// Lists a kind once; a failure is logged. A starting node can use a list that is some seconds old, which costs a
/// tenth: other nodes send it what is newer.
pub async fn list_once<K: Kind>(shared: &Shared, age: Age) -> Option<StoreUpdate<K::Item>> {
    let purpose = match age {
        Age::SomeSeconds => StoreCall::Start,
        Age::Newest => StoreCall::Read,
    };
    let listed = Store::new(shared.settings.store).list::<K>(age, log_unreadable::<K>).await;
    shared.metrics.on_store_call(purpose, listed.is_ok());
    match listed {
        Ok(list) => Some(StoreUpdate::Listed { list, after_outage: true }),
        Err(err) => {
            info!(event = "store_lost", kind = K::NAME, reason:% = err; "the store did not answer a single read");
            None
        }
    }
}

/// Follows the kind `K` until the process ends, and sends updates to the control loop.
pub async fn follow<K: Kind>(
    shared: Arc<Shared>,
    wrap: fn(StoreUpdate<K::Item>) -> ToControl,
    options: FollowOptions,
) {
    let store = Store::new(shared.settings.store);
    let backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut follower = Follower::<K> {
        store,
        shared,
        wrap,
        options,
        age: K::FIRST_AGE,
        watch_from: None,
        is_unwatched: true,
        era: None,
        is_lost: false,
        backoff,
        logged_fields: BTreeSet::new(),
    };
    loop {
        let result = follower.poll().await;
        follower.options.first_call = None;
        if let Err(err) = result {
            follower.on_error(err).await;
        }
    }
}

struct Follower<K: Kind> {
    store: Store,
    shared: Arc<Shared>,
    wrap: fn(StoreUpdate<K::Item>) -> ToControl,
    options: FollowOptions,
    /// The maximum age of the next list.
    age: Age,
    /// The revision to watch from; if `None`, the kind is listed.
    watch_from: Option<Revision>,
    /// No watch has succeeded since the last list.
    is_unwatched: bool,
    /// The era of the store at its last answer.
    era: Option<Era>,
    /// The store did not answer the last call.
    is_lost: bool,
    backoff: Backoff,
    /// Undecided fields that have been logged.
    logged_fields: BTreeSet<String>,
}

impl<K: Kind> Follower<K> {
    async fn poll(&mut self) -> Result<(), StoreError> {
        match self.watch_from {
            Some(at) => self.watch(at).await,
            None => self.list().await,
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let list = self.store.list::<K>(self.age, log_unreadable::<K>).await;
        self.shared.metrics.on_store_call(StoreCall::List, list.is_ok());
        let list = list?;
        self.log_undecided(&list.unknown_fields);
        // If the store's history does not reach back to an old list, the next list must be a current one.
        self.age = Age::Newest;
        self.is_unwatched = true;
        let after_outage = self.on_answer(list.at);
        self.shared.notify((self.wrap)(StoreUpdate::Listed { list, after_outage }));
        Ok(())
    }

    async fn watch(&mut self, at: Revision) -> Result<(), StoreError> {
        let timeout = if self.is_lost { RECONNECT_WATCH_TIMEOUT } else { self.options.watch_timeout() };
        let changes = self.store.watch::<K>(at, timeout, log_unreadable::<K>).await;
        self.shared.metrics.on_store_call(StoreCall::Watch, changes.is_ok());
        let changes = changes?;
        self.log_undecided(&changes.unknown_fields);
        self.is_unwatched = false;
        self.on_answer(changes.at);
        self.shared.notify((self.wrap)(StoreUpdate::Changed(changes)));
        let pause = self.options.batch_delay();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Logs each field that is neither read nor declared as ignored, once: the platform may require
    /// something that is not implemented.
    fn log_undecided(&mut self, unknown_fields: &BTreeSet<String>) {
        for field in unknown_fields {
            if self.logged_fields.len() < MAX_LOGGED_FIELDS && self.logged_fields.insert(field.clone()) {
                warn!(event = "field_undecided", kind = K::NAME, field = field.as_str(); "an object has a field that is neither read nor declared as ignored");
            }
        }
    }

    /// Records an answer of the store; returns whether the previous call had none.
    fn on_answer(&mut self, at: Revision) -> bool {
        let (era, number) = (revision::era(at), revision::number(at));
        let before = self.era.replace(era);
        if before.is_some_and(|before| before != era) {
            info!(event = "store_era", kind = K::NAME, before:? = before, now = era, revision = number; "the store was restored from a copy");
        }
        self.watch_from = Some(at);
        self.backoff.reset();
        self.shared.set_store_answers(true);
        let after_outage = std::mem::take(&mut self.is_lost);
        if after_outage {
            info!(event = "store_regained", kind = K::NAME, revision = number; "the store answers again");
        }
        after_outage
    }

    async fn on_error(&mut self, err: StoreError) {
        match err {
            StoreError::HistoryGone => {
                self.watch_from = None;
                info!(event = "store_history_gone", kind = K::NAME; "the store no longer has the history since the last revision; listing again");
                if self.is_unwatched {
                    // A store that keeps no history at all must not be listed in a tight loop.
                    tokio::time::sleep(MAX_BACKOFF).await;
                }
            }
            StoreError::OtherEra => {
                self.watch_from = None;
                info!(event = "store_era_ended", kind = K::NAME; "the store was restored from a copy; listing again");
            }
            StoreError::TooManyChanges(most) => {
                self.watch_from = None;
                info!(event = "store_changes_skipped", kind = K::NAME, most; "too many changes for a watch; listing again");
            }
            err => self.on_failure(err).await,
        }
    }

    async fn on_failure(&mut self, err: StoreError) {
        // Objects that do not expire during an outage are watched from the last revision instead of being
        // listed again: the configuration has up to 1 MB, which takes 0.84 s at 10 Mbit/s, and each list is
        // billed.
        if K::EXPIRES {
            self.watch_from = None;
        }
        self.shared.set_store_answers(false);
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(event = "store_lost", kind = K::NAME, reason:% = err; "the store does not answer");
        }
        let pause = self.backoff.next(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }
}

/// Logs an object that cannot be parsed.
pub fn log_unreadable<K: Kind>(name: &str, err: &serde_json::Error) {
    warn!(event = "object_unreadable", kind = K::NAME, name, reason:% = err; "cannot parse an object of the store");
}
