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
const OTHERS_FIRST: Duration = Duration::from_millis(250);

/// With a small link it waits no longer than this, whatever others tell: who told may stand still.
const OTHERS_AT_MOST: Duration = Duration::from_millis(700);
/// The way of configurations into this node.
pub struct ConfigIntake {
    shared: Arc<Shared>,
    /// When a configuration last came.
    heard: Timestamp,
    sources: ConfigSources,
    /// What is here of an edition that broke off.
    part: Option<PartialConfig>,
    /// What differs from the configuration that is here did not fit.
    wants_whole: bool,
    /// A version that can't be read; it is not fetched again.
    unreadable: ConfigVersion,
    /// What is being fetched.
    transfers: Transfers,
    /// The store is being read, as other nodes did not hand a newer one over.
    reads_store: bool,
    /// When [`ToControl::ConfigurationDue`] comes.
    due: Option<Timestamp>,
}

impl ConfigIntake {
    /// None has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        ConfigIntake {
            shared,
            heard: Timestamp::ZERO,
            sources: ConfigSources::default(),
            part: None,
            wants_whole: false,
            unreadable: 0,
            transfers: Transfers::default(),
            reads_store: false,
            due: None,
        }
    }

    /// When a configuration last came.
    pub fn heard(&self) -> Timestamp {
        self.heard
    }

    /// The store told of its configuration.
    pub fn on_store_news(&mut self, fleet: &Fleet, news: News<Bytes>) {
        let texts: Vec<Bytes> = match news {
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
            self.take(fleet, newest);
        }
    }

    /// Another node has this version.
    pub fn compare(&mut self, fleet: &Fleet, from: SocketAddr, theirs: ConfigVersion, how: VersionNotice) {
        if theirs <= self.shared.config_version() || theirs == self.unreadable {
            return;
        }
        let now = self.shared.now();
        self.sources.on_version(from, theirs, fleet.has_wide_link(from), how, now, &mut rand::rng());
        self.fetch_next();
    }

    /// Another node is gone.
    pub fn on_node_gone(&mut self, node: SocketAddr) {
        self.sources.on_gone(node);
        self.transfers.end(node);
        self.fetch_next();
    }

    /// Another node answered, or did not.
    pub fn on_fetched(&mut self, fleet: &Fleet, from: SocketAddr, handed: HandedConfig) {
        self.transfers.end(from);
        let now = self.shared.now();
        match handed {
            HandedConfig::Text(version, text) => self.on_text(fleet, from, version, &text),
            HandedConfig::Busy(after, part) => {
                self.keep(part);
                self.sources.on_busy(from, after, now);
            }
            HandedConfig::Failed(part) => {
                self.keep(part);
                self.sources.on_failed(from, now);
            }
            HandedConfig::Unreadable => {
                self.wants_whole = true;
                self.sources.on_failed(from, now);
            }
        }
        self.fetch_next();
    }

    fn on_text(&mut self, fleet: &Fleet, from: SocketAddr, version: ConfigVersion, text: &Bytes) {
        self.wants_whole = false;
        if self.take(fleet, text) {
            self.sources.on_delivered(from);
            // The same comes no second time; what is newer still is asked for anew.
            self.transfers.clear();
        } else {
            self.unreadable = version;
            self.sources.on_failed(from, self.shared.now());
        }
    }

    /// Keeps what came of an edition, if it is more than what is here.
    fn keep(&mut self, part: Option<PartialConfig>) {
        let bytes = |part: &Option<PartialConfig>| part.as_ref().map_or(0, |part| part.buf.len());
        if bytes(&part) > bytes(&self.part) {
            self.part = part;
        }
    }

    /// The store was read, or did not answer.
    pub fn on_read(&mut self, answered: bool) {
        self.reads_store = false;
        if answered {
            self.sources.on_store_read();
        }
        self.fetch_next();
    }

    /// A node may be asked that had to wait.
    pub fn on_due(&mut self) {
        self.due = None;
        self.fetch_next();
    }

    fn fetch_next(&mut self) {
        let (own, now) = (self.shared.config_version(), self.shared.now());
        let is_asked = |node| self.transfers.is_from(node);
        let next = self.sources.next(own, is_asked, now, &mut rand::rng());
        self.shared.set_newest_config(self.sources.newest().unwrap_or(0).max(self.unreadable));
        match next {
            NextSource::Nothing if self.transfers.is_empty() => self.part = None,
            NextSource::Nothing => {}
            NextSource::Node(from) => match self.transfers.next_due(now) {
                Some(pause) => self.wait(now + pause, pause),
                None => self.fetch(from, own, now),
            },
            NextSource::Store => self.read_store(),
            NextSource::Later(pause) => self.wait(now + pause, pause),
        }
    }

    fn fetch(&mut self, from: SocketAddr, own: ConfigVersion, now: Timestamp) {
        let text = if self.wants_whole { None } else { self.shared.config_text() };
        let part = self.part.take().filter(|part| part.is_usable_with(own));
        let fetching = fetching::fetch_configuration(self.shared.clone(), from, text, part);
        let task = AbortOnDropHandle::new(tokio::task::spawn_local(fetching));
        self.transfers.begin(from, task, now);
        self.wait(now + config_transfers::NEXT_AFTER, config_transfers::NEXT_AFTER);
    }

    /// Has the store read beside all else, as on a small link that may take long.
    fn read_store(&mut self) {
        self.sources.on_store_queried();
        if !self.reads_store {
            self.reads_store = true;
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move {
                let answered = read(&shared, Age::Newest).await;
                shared.notify(ToControl::ConfigurationRead(answered));
            });
        }
        self.fetch_next();
    }

    fn wait(&mut self, until: Timestamp, pause: Duration) {
        if self.due.is_some_and(|due| due <= until) {
            return;
        }
        self.due = Some(until);
        self.shared.notify_after(pause, ToControl::ConfigurationDue);
    }

    /// Puts a configuration in force if it is newer; returns whether it can be read.
    fn take(&mut self, fleet: &Fleet, text: &Bytes) -> bool {
        match leadstage_platform::config::decode(text) {
            Ok(config) => {
                let version = config.version;
                if self.shared.set_table(RoutingTable::new(config), text.clone()) {
                    self.heard = self.shared.now();
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
        tokio::time::sleep(OTHERS_FIRST).await;
        if shared.lacks_newer_config() {
            tokio::time::sleep(OTHERS_AT_MOST - OTHERS_FIRST).await;
        }
    }
    if shared.table().is_none() {
        read(&shared, Age::SomeSeconds).await;
    }
}
