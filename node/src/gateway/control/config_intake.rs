//! Receives configurations from the store, if this node follows it, and otherwise from nodes that have a
//! newer one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::catch_up_age::CatchUpAge;
use leadstage_lib::gateway::config_sources::ConfigSources;
use leadstage_lib::gateway::config_sources::NextSource;
use leadstage_lib::gateway::config_sources::VersionNotice;
use leadstage_lib::gateway::config_text::PartialConfig;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::store::Change;
use leadstage_platform::store_kinds::Age;
use leadstage_platform::store_kinds::Configuration;
use log::info;
use log::warn;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::control::config_transfers;
use crate::gateway::control::config_transfers::Transfers;
use crate::gateway::control::first_read;
use crate::gateway::control::follow;
use crate::gateway::messages::FetchedConfig;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fetching;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::shared::Shared;

/// How long a starting node with a narrow link waits for another node to announce that it has the
/// configuration. Nodes send it compressed, which takes a tenth of the time of a read from the store.
const PEER_ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(250);

/// The longest time that a starting node with a narrow link waits for the configuration from another node:
/// one that announced it may hang.
const MAX_PEER_CONFIG_WAIT: Duration = Duration::from_millis(700);

/// Receives configurations and puts the newest one in force.
pub struct ConfigIntake {
    shared: Arc<Shared>,
    /// When a configuration was last put in force.
    last_update: Timestamp,
    sources: ConfigSources,
    age: CatchUpAge<ConfigVersion>,
    /// The received part of a configuration whose transfer was interrupted.
    partial: Option<PartialConfig>,
    /// The next transfer must send the full text: the last difference could not be applied to the
    /// configuration in force.
    needs_full_text: bool,
    /// A version that could not be parsed; it is not fetched again.
    unreadable_version: ConfigVersion,
    /// Transfers in progress.
    transfers: Transfers,
    /// The store is being read because other nodes did not deliver a newer configuration.
    is_reading_store: bool,
    /// When the next [`ToControl::ConfigurationDue`] is due.
    next_check: Option<Timestamp>,
}

impl ConfigIntake {
    /// Creates the state of a node that has received no configuration.
    pub fn new(shared: Arc<Shared>) -> Self {
        ConfigIntake {
            shared,
            last_update: Timestamp::ZERO,
            sources: ConfigSources::default(),
            age: CatchUpAge::default(),
            partial: None,
            needs_full_text: false,
            unreadable_version: 0,
            transfers: Transfers::default(),
            is_reading_store: false,
            next_check: None,
        }
    }

    /// When a configuration was last put in force.
    pub fn last_update(&self) -> Timestamp {
        self.last_update
    }

    /// Up to when this node knows the configurations in the store if another node has a newer one;
    /// `answered_at` is when the store last answered a node.
    pub fn lags_since(&mut self, answered_at: Timestamp) -> Option<Timestamp> {
        let own = self.shared.config_version();
        self.age.update(own, self.sources.newest().unwrap_or(own), answered_at)
    }

    /// The store reported its configuration.
    pub fn on_store_update(&mut self, fleet: &Fleet, update: StoreUpdate<Bytes>) {
        let texts: Vec<Bytes> = match update {
            StoreUpdate::Listed { list, .. } => list.items,
            StoreUpdate::Changed(changes) => changes
                .events
                .into_iter()
                .filter_map(|event| match event {
                    Change::Put(text) => Some(text),
                    Change::Gone(_) | Change::Unreadable(_) => None,
                })
                .collect(),
        };
        // Only the newest one matters.
        if let Some(newest) = texts.last() {
            self.apply(fleet, newest);
        }
    }

    /// Another node has the version `peer_version`; fetches it if it is newer.
    pub fn compare(
        &mut self,
        fleet: &Fleet,
        from: SocketAddr,
        peer_version: ConfigVersion,
        notice: VersionNotice,
    ) {
        if peer_version <= self.shared.config_version() || peer_version == self.unreadable_version {
            return;
        }
        let now = self.shared.now();
        self.sources.on_version(from, peer_version, fleet.has_wide_link(from), notice, now, &mut rand::rng());
        self.fetch_next();
    }

    /// Another node is gone.
    pub fn on_node_gone(&mut self, node: SocketAddr) {
        self.sources.on_gone(node);
        self.transfers.end(node);
        self.fetch_next();
    }

    /// A transfer from another node ended.
    pub fn on_fetched(&mut self, fleet: &Fleet, from: SocketAddr, fetched: FetchedConfig) {
        self.transfers.end(from);
        let now = self.shared.now();
        match fetched {
            FetchedConfig::Text(version, text) => self.on_text(fleet, from, version, &text),
            FetchedConfig::Busy(after, partial) => {
                self.keep_partial(partial);
                self.sources.on_busy(from, after, now);
            }
            FetchedConfig::Failed(partial) => {
                self.keep_partial(partial);
                self.sources.on_failed(from, now);
            }
            FetchedConfig::Unreadable => {
                self.needs_full_text = true;
                self.sources.on_failed(from, now);
            }
        }
        self.fetch_next();
    }

    fn on_text(&mut self, fleet: &Fleet, from: SocketAddr, version: ConfigVersion, text: &Bytes) {
        self.needs_full_text = false;
        if self.apply(fleet, text) {
            self.sources.on_delivered(from);
            // The other transfers are of the same version; a newer one is requested again.
            self.transfers.clear();
        } else {
            self.unreadable_version = version;
            self.sources.on_failed(from, self.shared.now());
        }
    }

    /// Keeps the received part of a configuration if it is longer than the one kept so far.
    fn keep_partial(&mut self, partial: Option<PartialConfig>) {
        let bytes = |partial: &Option<PartialConfig>| partial.as_ref().map_or(0, |partial| partial.buf.len());
        if bytes(&partial) > bytes(&self.partial) {
            self.partial = partial;
        }
    }

    /// A read of the store ended; `answered` says whether the store answered.
    pub fn on_read(&mut self, answered: bool) {
        self.is_reading_store = false;
        if answered {
            self.sources.on_store_read();
        }
        self.fetch_next();
    }

    /// A source that was not available before may be queried now.
    pub fn on_due(&mut self) {
        self.next_check = None;
        self.fetch_next();
    }

    fn fetch_next(&mut self) {
        let (own, now) = (self.shared.config_version(), self.shared.now());
        let is_queried = |node| self.transfers.is_from(node);
        let next = self.sources.next(own, is_queried, now, &mut rand::rng());
        self.shared.set_newest_config(self.sources.newest().unwrap_or(0).max(self.unreadable_version));
        match next {
            NextSource::Nothing if self.transfers.is_empty() => self.partial = None,
            NextSource::Nothing => {}
            NextSource::Node(from) => match self.transfers.next_due(now) {
                Some(delay) => self.schedule_check(now + delay, delay),
                None => self.fetch(from, own, now),
            },
            NextSource::Store => self.read_store(),
            NextSource::Later(delay) => self.schedule_check(now + delay, delay),
        }
    }

    fn fetch(&mut self, from: SocketAddr, own: ConfigVersion, now: Timestamp) {
        let text = if self.needs_full_text { None } else { self.shared.config_text() };
        let partial = self.partial.take().filter(|partial| partial.is_usable_with(own));
        let fetching = fetching::fetch_configuration(self.shared.clone(), from, text, partial);
        let task = AbortOnDropHandle::new(tokio::task::spawn_local(fetching));
        self.transfers.begin(from, task, now);
        self.schedule_check(
            now + config_transfers::NEXT_TRANSFER_DELAY,
            config_transfers::NEXT_TRANSFER_DELAY,
        );
    }

    /// Reads the store in a task of its own: on a narrow link the read may take long.
    fn read_store(&mut self) {
        self.sources.on_store_queried();
        if !self.is_reading_store {
            self.is_reading_store = true;
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move {
                let answered = read(&shared, Age::Newest).await;
                shared.notify(ToControl::ConfigurationRead(answered));
            });
        }
        self.fetch_next();
    }

    fn schedule_check(&mut self, until: Timestamp, delay: Duration) {
        if self.next_check.is_some_and(|at| at <= until) {
            return;
        }
        self.next_check = Some(until);
        self.shared.notify_after(delay, ToControl::ConfigurationDue);
    }

    /// Puts a configuration in force if it is newer; returns whether it could be parsed.
    fn apply(&mut self, fleet: &Fleet, text: &Bytes) -> bool {
        match leadstage_platform::config::decode(text) {
            Ok(config) => {
                let version = config.version;
                if self.shared.set_table(RoutingTable::new(config), text.clone()) {
                    self.last_update = self.shared.now();
                    info!(event = "config_in_force", version, bytes = text.len(); "configuration in force");
                    fleet.announce_config();
                }
                true
            }
            Err(err) => {
                warn!(event = "config_unreadable", reason:% = err; "cannot parse the configuration; the previous one stays in force");
                false
            }
        }
    }
}

/// Reads the store once; returns whether it answered.
async fn read(shared: &Shared, age: Age) -> bool {
    let listed = follow::list_once::<Configuration>(shared, age).await;
    let answered = listed.is_some();
    listed.into_iter().for_each(|update| shared.notify(ToControl::Configuration(update)));
    answered
}

/// Reads the configuration from the store when the node starts, and again if that failed and it is this node's
/// turn. With a narrow link, first waits for another node to deliver it.
pub async fn read_at_start(shared: Arc<Shared>) {
    if !shared.settings.has_wide_link() {
        tokio::time::sleep(PEER_ANNOUNCEMENT_WAIT).await;
        if shared.lacks_newer_config() {
            tokio::time::sleep(MAX_PEER_CONFIG_WAIT - PEER_ANNOUNCEMENT_WAIT).await;
        }
    }
    while shared.table().is_none() && !read(&shared, Age::SomeSeconds).await {
        first_read::wait_for_turn(&shared).await;
    }
}
