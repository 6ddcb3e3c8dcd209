//! Which upstreams and entry VMs there are, from the VM list, reclaim notices and
//! failed calls together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallId;
use crate::ids::ModelId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;
use crate::ids::VmId;

/// An upstream that refused a connection is avoided this long, then tried again.
const FAILURE_AVOIDANCE: Duration = Duration::from_secs(2);
/// A notice that an upstream leaves is kept this long after the list last named it.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs leadstaged.
    Entry,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// A VM's state in the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken back.
    Leaving,
}

/// A line of the VM list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct VmRecord {
    /// Its id.
    pub id: VmId,
    /// What it is for.
    pub role: VmRole,
    /// Where it is.
    pub hall: HallId,
    /// Its address: HTTP for upstreams, the peer port for entries.
    pub address: SocketAddr,
    /// The model or service that it serves; empty for entries.
    #[serde(default = "no_model")]
    pub serves: ModelId,
    /// Its state.
    pub state: VmState,
}

fn no_model() -> ModelId {
    "".into()
}

#[derive(Debug)]
struct KnownVm {
    record: VmRecord,
    avoid_until: Timestamp,
}

/// All upstreams and entries that are known.
#[derive(Debug, Default)]
pub struct Directory {
    vms: BTreeMap<VmId, KnownVm>,
    notices: BTreeMap<UpstreamId, Timestamp>,
}

impl Directory {
    /// Takes the VM list in. A VM that it names again is no news; one that it no
    /// longer names is gone. Returns the ids that are gone.
    pub fn on_list(&mut self, list: Vec<VmRecord>, now: Timestamp) -> Vec<VmId> {
        let mut previous = std::mem::take(&mut self.vms);
        for record in list {
            let avoid_until = previous.remove(&record.id).map_or(Timestamp::ZERO, |k| k.avoid_until);
            if self.notices.contains_key(&record.id) {
                self.notices.insert(record.id.clone(), now);
            }
            self.vms.insert(record.id.clone(), KnownVm { record, avoid_until });
        }
        self.notices.retain(|_, at| now.saturating_sub(*at) < NOTICE_RETENTION);
        previous.into_keys().collect()
    }

    /// An upstream is leaving, whatever the list says; true when that is news.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, now: Timestamp) -> bool {
        self.notices.insert(upstream.clone(), now).is_none()
    }

    /// An upstream refused a connection, or was lost.
    pub fn on_failed(&mut self, upstream: &UpstreamId, now: Timestamp) {
        if let Some(vm) = self.vms.get_mut(upstream) {
            vm.avoid_until = now + FAILURE_AVOIDANCE;
        }
    }

    /// Upstreams known to be leaving, for the peers.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        self.notices.keys()
    }

    /// Whether a VM is leaving, by the list or a notice.
    pub fn is_leaving(&self, id: &str) -> bool {
        let listed = self.vms.get(id).is_some_and(|k| k.record.state == VmState::Leaving);
        listed || self.notices.contains_key(id)
    }

    /// A VM by id.
    pub fn get(&self, id: &str) -> Option<&VmRecord> {
        self.vms.get(id).map(|k| &k.record)
    }

    /// VMs with a role, by id.
    pub fn with_role(&self, role: VmRole) -> impl Iterator<Item = &VmRecord> {
        self.vms.values().map(|k| &k.record).filter(move |r| r.role == role)
    }

    /// Upstreams that serve this and may get new work now.
    pub fn usable<'a>(&'a self, serves: &'a str, now: Timestamp) -> impl Iterator<Item = &'a VmRecord> {
        self.vms
            .values()
            .filter(move |k| &*k.record.serves == serves && k.record.role != VmRole::Entry)
            .filter(move |k| !self.is_leaving(&k.record.id) && k.avoid_until <= now)
            .map(|k| &k.record)
    }
}
