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
    while shared.replicas_at() == 0 {
        if is_own_turn(&shared) {
            read(&shared).await;
        }
        tokio::time::sleep(startup_read::CHECK_INTERVAL).await;
    }
}

/// Waits until it is this node's turn to read the store again.
pub async fn wait_for_turn(shared: &Shared) {
    loop {
        tokio::time::sleep(startup_read::CHECK_INTERVAL).await;
        if is_own_turn(shared) {
            return;
        }
    }
}

fn is_own_turn(shared: &Shared) -> bool {
    let settings = &shared.settings;
    let is_seed =
        settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == settings.peer.ip());
    startup_read::should_read_store(is_seed, shared.fleet_size(), shared.now(), &mut rand::rng())
}

/// Reads all kinds at once, as a slow store would otherwise delay the start by the time of each. The replicas are
/// handed on last, so that a node that gets them from this one gets the other state as well.
async fn read(shared: &Shared) {
    let upgrades = async {
        if shared.bounds().exposure.is_some() {
            hand_on(shared, list::<Upgrades>(shared).await.map(ToControl::Upgrades));
        }
    };
    let ((), (), (), replicas) = tokio::join!(
        async { hand_on(shared, list::<Evacuations>(shared).await.map(ToControl::ClosedHalls)) },
        async { hand_on(shared, list::<Suspects>(shared).await.map(ToControl::Suspects)) },
        upgrades,
        list::<Replicas>(shared),
    );
    hand_on(shared, replicas.map(ToControl::Replicas));
}

/// Lists a kind. A failure is logged; nodes that follow the store send what is missing.
async fn list<K: Kind>(shared: &Shared) -> Option<StoreUpdate<K::Item>> {
    follow::list_once::<K>(shared, Age::SomeSeconds).await
}

fn hand_on(shared: &Shared, update: Option<ToControl>) {
    update.into_iter().for_each(|update| shared.notify(update));
}
