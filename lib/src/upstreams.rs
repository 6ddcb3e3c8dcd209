//! Directory of upstreams and entry VMs, combined from the VM list, reclaim notices and failed calls.

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

/// Time for which an upstream gets no new work after it refused a connection or was lost.
const FAILURE_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which a notice that an upstream leaves is kept after the VM list last contained the upstream.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// The role of a VM.
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

/// A VM's state in the VM list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be reclaimed by the platform.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct VmRecord {
    /// The VM's id.
    pub id: VmId,
    /// The VM's role.
    pub role: VmRole,
    /// The hall that the VM is in.
    pub hall: HallId,
    /// The VM's address: of the HTTP server for upstreams, of the peer port for entries.
    pub address: SocketAddr,
    /// The model or service that the VM serves; empty for entries.
    #[serde(default = "no_model")]
    pub serves: ModelId,
    /// The VM's state.
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

/// All known upstreams and entries.
#[derive(Debug, Default)]
pub struct Directory {
    vms: BTreeMap<VmId, KnownVm>,
    notices: BTreeMap<UpstreamId, Timestamp>,
}

impl Directory {
    /// Replaces the VMs by those of the VM list. A VM that stays listed is avoided after a failure as before.
    /// Returns the ids of the VMs that are no longer listed.
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

    /// Records that an upstream is leaving, even if the VM list says otherwise. Returns true if that was not
    /// known.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, now: Timestamp) -> bool {
        self.notices.insert(upstream.clone(), now).is_none()
    }

    /// Records that an upstream refused a connection or was lost.
    pub fn on_failed(&mut self, upstream: &UpstreamId, now: Timestamp) {
        if let Some(vm) = self.vms.get_mut(upstream) {
            vm.avoid_until = now + FAILURE_AVOIDANCE;
        }
    }

    /// Upstreams for which there is a leaving notice, for sending to peers.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        self.notices.keys()
    }

    /// Whether a VM is leaving according to the VM list or a notice.
    pub fn is_leaving(&self, id: &str) -> bool {
        let listed = self.vms.get(id).is_some_and(|k| k.record.state == VmState::Leaving);
        listed || self.notices.contains_key(id)
    }

    /// The VM with an id.
    pub fn get(&self, id: &str) -> Option<&VmRecord> {
        self.vms.get(id).map(|k| &k.record)
    }

    /// The VMs with a role, ordered by id.
    pub fn with_role(&self, role: VmRole) -> impl Iterator<Item = &VmRecord> {
        self.vms.values().map(|k| &k.record).filter(move |r| r.role == role)
    }

    /// Upstreams that serve a model or service and may get new work now.
    pub fn usable<'a>(&'a self, serves: &'a str, now: Timestamp) -> impl Iterator<Item = &'a VmRecord> {
        self.vms
            .values()
            .filter(move |k| &*k.record.serves == serves && k.record.role != VmRole::Entry)
            .filter(move |k| !self.is_leaving(&k.record.id) && k.avoid_until <= now)
            .map(|k| &k.record)
    }
}
