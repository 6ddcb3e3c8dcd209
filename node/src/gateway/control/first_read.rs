//! Reads the state of the fleet from the store after a start, unless other nodes send it earlier.

use std::sync::Arc;

use leadstage_lib::gateway::startup_read;
use leadstage_platform::store_kinds::Age;
use leadstage_platform::store_kinds::Evacuations;
use leadstage_platform::store_kinds::Kind;
use leadstage_platform::store_kinds::Replicas;
use leadstage_platform::store_kinds::Suspects;
use leadstage_platform::store_kinds::Upgrades;

use crate::gateway::control::follow;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Reads everything but the configuration from the store once it is this node's turn, and again if that
/// failed; returns when the replicas are known.
pub async fn read_until_replicas_known(shared: Arc<Shared>) {
    let settings = &shared.settings;
    let is_seed =
        settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == settings.peer.ip());
    while shared.replicas_at() == 0 {
        if startup_read::should_read_store(is_seed, shared.fleet_size(), shared.now(), &mut rand::rng()) {
            read(&shared).await;
        }
        tokio::time::sleep(startup_read::CHECK_INTERVAL).await;
    }
}

/// Reads the replicas last, so that a node that gets them from this one gets the other state as well.
async fn read(shared: &Arc<Shared>) {
    read_kind::<Evacuations>(shared, ToControl::ClosedHalls).await;
    read_kind::<Suspects>(shared, ToControl::Suspects).await;
    if shared.bounds().exposure.is_some() {
        read_kind::<Upgrades>(shared, ToControl::Upgrades).await;
    }
    read_kind::<Replicas>(shared, ToControl::Replicas).await;
}

async fn read_kind<K: Kind>(shared: &Arc<Shared>, wrap: fn(StoreUpdate<K::Item>) -> ToControl) {
    // A failure is logged; nodes that follow the store send what is missing.
    follow::read_once::<K>(shared.clone(), wrap, Age::SomeSeconds).await;
}
