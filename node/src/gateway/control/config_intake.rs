//! Takes configurations in: from the store, if this node follows it, or from another node that
//! has a newer one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
use crate::gateway::control::follow;
use crate::gateway::messages::HandedConfig;
use crate::gateway::messages::News;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fetching;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::shared::Shared;

/// A starting node with a small link waits so long for another node to tell that it has the
/// configuration: compressed it comes in a tenth of the time that it takes from the store.
const PEER_ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(250);

/// With a small link it waits no longer than this, whatever others tell: who told may stand still.
const MAX_PEER_CONFIG_WAIT: Duration = Duration::from_millis(700);
/// The way of configurations into this node.
pub struct ConfigIntake {
    shared: Arc<Shared>,
    /// When a configuration last came.
    last_update: Timestamp,
    sources: ConfigSources,
    /// What is here of an edition that broke off.
    partial: Option<PartialConfig>,
    /// What differs from the configuration that is here did not fit.
    needs_full_text: bool,
    /// A version that can't be read; it is not fetched again.
    unreadable_version: ConfigVersion,
    /// What is being fetched.
    transfers: Transfers,
    /// The store is being read, as other nodes did not hand a newer one over.
    is_reading_store: bool,
    /// When [`ToControl::ConfigurationDue`] comes.
    next_check: Option<Timestamp>,
}

impl ConfigIntake {
    /// None has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        ConfigIntake {
            shared,
            last_update: Timestamp::ZERO,
            sources: ConfigSources::default(),
            partial: None,
            needs_full_text: false,
            unreadable_version: 0,
            transfers: Transfers::default(),
            is_reading_store: false,
            next_check: None,
        }
    }

    /// When a configuration last came.
    pub fn last_update(&self) -> Timestamp {
        self.last_update
    }

    /// The store told of its configuration.
    pub fn on_store_news(&mut self, fleet: &Fleet, update: News<Bytes>) {
        let texts: Vec<Bytes> = match update {
            News::Listed { list, .. } => list.items,
            News::Changed(changes) => changes
                .events
                .into_iter()
                .filter_map(|event| match event {
                    Change::Put(text) => Some(text),
                    Change::Gone(_) | Change::Unreadable(_) => None,
                })
                .collect(),
        };
        // Only the newest of several counts.
        if let Some(newest) = texts.last() {
            self.apply(fleet, newest);
        }
    }

    /// Another node has this version.
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

    /// Another node answered, or did not.
    pub fn on_fetched(&mut self, fleet: &Fleet, from: SocketAddr, fetched: HandedConfig) {
        self.transfers.end(from);
        let now = self.shared.now();
        match fetched {
            HandedConfig::Text(version, text) => self.on_text(fleet, from, version, &text),
            HandedConfig::Busy(after, partial) => {
                self.keep_partial(partial);
                self.sources.on_busy(from, after, now);
            }
            HandedConfig::Failed(partial) => {
                self.keep_partial(partial);
                self.sources.on_failed(from, now);
            }
            HandedConfig::Unreadable => {
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
            // The same comes no second time; what is newer still is asked for anew.
            self.transfers.clear();
        } else {
            self.unreadable_version = version;
            self.sources.on_failed(from, self.shared.now());
        }
    }

    /// Keeps what came of an edition, if it is more than what is here.
    fn keep_partial(&mut self, partial: Option<PartialConfig>) {
        let bytes = |partial: &Option<PartialConfig>| partial.as_ref().map_or(0, |partial| partial.buf.len());
        if bytes(&partial) > bytes(&self.partial) {
            self.partial = partial;
        }
    }

    /// The store was read, or did not answer.
    pub fn on_read(&mut self, answered: bool) {
        self.is_reading_store = false;
        if answered {
            self.sources.on_store_read();
        }
        self.fetch_next();
    }

    /// A node may be asked that had to wait.
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

    /// Has the store read beside all else, as on a small link that may take long.
    fn read_store(&mut self) {
        self.sources.on_store_queried();
        if !self.is_reading_store {
            self.is_reading_store = true;
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move {
                let answered = read(&shared, Age::Newest).await;
                shared.tell(ToControl::ConfigurationRead(answered));
            });
        }
        self.fetch_next();
    }

    fn schedule_check(&mut self, until: Timestamp, delay: Duration) {
        if self.next_check.is_some_and(|at| at <= until) {
            return;
        }
        self.next_check = Some(until);
        self.shared.tell_after(delay, ToControl::ConfigurationDue);
    }

    /// Puts a configuration in force if it is newer; returns whether it can be read.
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
                warn!(event = "config_unreadable", reason:% = err; "the configuration can't be read; the old one stays");
                false
            }
        }
    }
}

/// Reads the store once; returns whether it answered.
async fn read(shared: &Arc<Shared>, age: Age) -> bool {
    follow::read_once::<Configuration>(shared.clone(), ToControl::Configuration, age).await
}

/// Reads the configuration when the node starts, unless another node has it and the link is small.
pub async fn read_at_start(shared: Arc<Shared>) {
    if !shared.settings.has_wide_link() {
        tokio::time::sleep(PEER_ANNOUNCEMENT_WAIT).await;
        if shared.lacks_newer_config() {
            tokio::time::sleep(MAX_PEER_CONFIG_WAIT - PEER_ANNOUNCEMENT_WAIT).await;
        }
    }
    if shared.table().is_none() {
        read(&shared, Age::SomeSeconds).await;
    }
}
