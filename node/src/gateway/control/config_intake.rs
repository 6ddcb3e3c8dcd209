//! Takes configurations in: from the store, if this node follows it, or from another node that
//! has a newer one.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::store::Age;
use leadstage_platform::store::Change;
use leadstage_platform::store::Configuration;
use log::info;
use log::warn;

use crate::gateway::control::follow;
use crate::gateway::messages::News;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_port;
use crate::gateway::shared::Shared;

/// The way of configurations into this node.
pub struct ConfigIntake {
    shared: Arc<Shared>,
    /// When a configuration last came.
    heard: Timestamp,
    /// The configuration that another node was last asked for.
    wanted: ConfigVersion,
    /// One is being fetched from another node.
    fetches: bool,
}

impl ConfigIntake {
    /// None has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        ConfigIntake { shared, heard: Timestamp::ZERO, wanted: 0, fetches: false }
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
                    Change::Gone(_) => None,
                })
                .collect(),
        };
        // Only the newest of several counts.
        if let Some(newest) = texts.last() {
            self.take(fleet, newest);
        }
    }

    /// Another node has this version; it is fetched there if it is newer.
    pub fn compare(&mut self, from: SocketAddr, theirs: ConfigVersion) {
        if self.fetches || theirs <= self.shared.config_version() {
            return;
        }
        self.fetches = true;
        self.wanted = theirs;
        let shared = self.shared.clone();
        // At once: who waits learns of it from the first few nodes that have it, and so do all
        // others, and their links are small.
        tokio::task::spawn_local(peer_port::fetch_configuration(shared, from));
    }

    /// Another node answered, or did not.
    pub fn on_fetched(&mut self, fleet: &Fleet, from: SocketAddr, text: Option<Bytes>) {
        self.fetches = false;
        if let Some(text) = text {
            info!(event = "config_fetched", from:% = from, bytes = text.len(); "another node handed its configuration over");
            self.take(fleet, &text);
        } else if self.shared.config_version() < self.wanted {
            let shared = self.shared.clone();
            let reading = follow::read_once::<Configuration>(shared, ToControl::Configuration, Age::Newest);
            tokio::task::spawn_local(reading);
        }
    }

    fn take(&mut self, fleet: &Fleet, text: &Bytes) {
        match leadstage_platform::config::decode(text) {
            Ok(config) => {
                let version = config.version;
                if self.shared.set_table(RoutingTable::new(config), text.clone()) {
                    self.heard = self.shared.now();
                    info!(event = "config_in_force", version, bytes = text.len(); "configuration in force");
                    fleet.pass_on(&PeerMessage::NewConfig);
                }
            }
            Err(err) => {
                warn!(event = "config_unreadable", reason:% = err; "the configuration can't be read; the old one stays")
            }
        }
    }
}
