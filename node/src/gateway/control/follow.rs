//! Follows a kind of objects in the platform's store: lists it, then waits for changes.

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

use crate::gateway::messages::News;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;

/// Pause after the first failed call. Calls are priced, refused ones too.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// Fields without a decision that the log tells of a kind at most.
const MOST_NOTED: usize = 32;
/// The first watch after a failed call waits so long: its answer shows that the store is back.
const FIRST_AFTER_FAILURE: Duration = Duration::from_millis(1);

/// How this node follows the store; it changes while it does.
pub type Role = Rc<Cell<WatchRole>>;

/// How often a follower asks the store.
pub struct Pace {
    /// The node's role.
    pub role: Role,
    /// Whether changes are gathered, as long as the role says, before the next question.
    pub gathers: bool,
    /// Whether something else tells of changes too, should a watch's connection fall silent: then each
    /// watch waits as long as a standby's.
    pub is_backed: bool,
}

impl Pace {
    /// How long one watch waits at the store.
    fn watch_timeout(&self) -> Duration {
        let role = if self.is_backed { WatchRole::Standby } else { self.role.get() };
        role.watch_timeout()
    }

    /// Pause between a change and the next watch.
    fn batch_delay(&self) -> Duration {
        if self.gathers { self.role.get().batch_delay() } else { Duration::ZERO }
    }
}

/// Reads a kind once; returns whether the store answered. For a starting node what may be some
/// seconds old is enough, as other nodes tell what is newer, and costs a tenth.
pub async fn read_once<K: Kind>(shared: Arc<Shared>, wrap: fn(News<K::Item>) -> ToControl, age: Age) -> bool {
    let mut store = Store::new(shared.settings.store);
    let purpose = match age {
        Age::SomeSeconds => StoreCall::Start,
        Age::Newest => StoreCall::Read,
    };
    match store.list::<K>(age, note_unreadable::<K>).await {
        Ok(list) => {
            shared.metrics.on_store_call(purpose, true);
            shared.tell(wrap(News::Listed { list, after_outage: true }));
            true
        }
        Err(err) => {
            shared.metrics.on_store_call(purpose, false);
            info!(event = "store_lost", kind = K::NAME, reason:% = err; "the store does not answer a node that reads once");
            false
        }
    }
}

/// Follows the kind `K` until the process ends, and tells the control loop what it learns.
pub async fn follow<K: Kind>(shared: Arc<Shared>, wrap: fn(News<K::Item>) -> ToControl, pace: Pace) {
    let store = Store::new(shared.settings.store);
    let backoff = Backoff::new(LEAST_PAUSE, LONGEST_PAUSE);
    let mut follower = Follower::<K> {
        store,
        shared,
        wrap,
        pace,
        age: K::FIRST_AGE,
        at: None,
        is_new: true,
        era: None,
        lost: false,
        backoff,
        noted: BTreeSet::new(),
    };
    loop {
        if let Err(err) = follower.ask().await {
            follower.on_error(err).await;
        }
    }
}

struct Follower<K: Kind> {
    store: Store,
    shared: Arc<Shared>,
    wrap: fn(News<K::Item>) -> ToControl,
    pace: Pace,
    /// How old the next list may be.
    age: Age,
    /// The revision to watch from; without one the kind is listed.
    at: Option<Revision>,
    /// The revision to watch from has not been watched from yet.
    is_new: bool,
    /// The era of the last answer.
    era: Option<Era>,
    /// The last call had no answer.
    lost: bool,
    backoff: Backoff,
    /// Fields that nobody has decided on, as far as the log has told them.
    noted: BTreeSet<String>,
}

impl<K: Kind> Follower<K> {
    async fn ask(&mut self) -> Result<(), StoreError> {
        match self.at {
            Some(at) => self.watch(at).await,
            None => self.list().await,
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let list = self.store.list::<K>(self.age, note_unreadable::<K>).await;
        self.shared.metrics.on_store_call(StoreCall::List, list.is_ok());
        let list = list?;
        self.note_undecided(&list.unknown_fields);
        // If the history does not reach back to an old list, the next one is to be new.
        self.age = Age::Newest;
        self.is_new = true;
        let after_outage = self.on_answer(list.at);
        self.shared.tell((self.wrap)(News::Listed { list, after_outage }));
        Ok(())
    }

    async fn watch(&mut self, at: Revision) -> Result<(), StoreError> {
        let wait = if self.lost { FIRST_AFTER_FAILURE } else { self.pace.watch_timeout() };
        let changes = self.store.watch::<K>(at, wait, note_unreadable::<K>).await;
        self.shared.metrics.on_store_call(StoreCall::Watch, changes.is_ok());
        let changes = changes?;
        self.note_undecided(&changes.unknown_fields);
        self.is_new = false;
        self.on_answer(changes.at);
        self.shared.tell((self.wrap)(News::Changed(changes)));
        let pause = self.pace.batch_delay();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Logs each field once that nobody has decided on: the platform may ask for something that is not built.
    fn note_undecided(&mut self, unknown_fields: &BTreeSet<String>) {
        for field in unknown_fields {
            if self.noted.len() < MOST_NOTED && self.noted.insert(field.clone()) {
                warn!(event = "field_undecided", kind = K::NAME, field = field.as_str(); "an object has a field that is not read, and nobody has said why");
            }
        }
    }

    /// Returns whether calls before had no answer.
    fn on_answer(&mut self, at: Revision) -> bool {
        let (era, number) = (revision::era(at), revision::number(at));
        let before = self.era.replace(era);
        if before.is_some_and(|before| before != era) {
            info!(event = "store_era", kind = K::NAME, before:? = before, now = era, revision = number; "the store has come back from a copy");
        }
        self.at = Some(at);
        self.backoff.reset();
        self.shared.set_store_answers(true);
        let after_outage = std::mem::take(&mut self.lost);
        if after_outage {
            info!(event = "store_regained", kind = K::NAME, revision = number; "the store answers again");
        }
        after_outage
    }

    async fn on_error(&mut self, err: StoreError) {
        match err {
            StoreError::HistoryGone => {
                self.at = None;
                info!(event = "store_history_gone", kind = K::NAME; "the store's history is gone: lists anew");
                if self.is_new {
                    // A store that keeps no history at all must not be listed without end.
                    tokio::time::sleep(LONGEST_PAUSE).await;
                }
            }
            StoreError::OtherEra => {
                self.at = None;
                info!(event = "store_era_ended", kind = K::NAME; "the store came back from a copy: lists anew");
            }
            StoreError::TooManyChanges(most) => {
                self.at = None;
                info!(event = "store_changes_skipped", kind = K::NAME, most; "much has changed: lists anew");
            }
            err => self.on_failure(err).await,
        }
    }

    async fn on_failure(&mut self, err: StoreError) {
        // What does not lapse in an outage is watched on from where it was: the configuration is up to
        // 1 MB, 0.84 s of a link of 10 Mbit/s, and each list is priced.
        if K::EXPIRES {
            self.at = None;
        }
        self.shared.set_store_answers(false);
        if !std::mem::replace(&mut self.lost, true) {
            warn!(event = "store_lost", kind = K::NAME, reason:% = err; "the store does not answer");
        }
        let pause = self.backoff.next(&mut rand::rng());
        tokio::time::sleep(pause).await;
    }
}

/// Logs that an object can't be read.
pub fn note_unreadable<K: Kind>(name: &str, err: &serde_json::Error) {
    warn!(event = "object_unreadable", kind = K::NAME, name, reason:% = err; "an object of the store can't be read");
}
