//! Tells the operator what became of an order to upgrade a service: in the status of its object.
//!
//! Each write names the revision of the object that it was decided on, so that a success and a failure, or a new
//! order, never overwrite each other. What is final stays.

use std::sync::Arc;

use leadstage_lib::gateway::upgrade::Stage;
use leadstage_platform::store::Store;
use leadstage_platform::store::WriteOutcome;
use leadstage_platform::store_kinds::StoredUpgrade;
use leadstage_platform::store_kinds::UpgradeReport;
use leadstage_platform::store_kinds::UpgradeState;
use leadstage_platform::store_kinds::Upgrades;
use log::info;

use crate::gateway::messages::StoredWord;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;

/// The stage that an order has by what the operator was told of it; `None` where that is still open.
pub fn stage_of(state: UpgradeState) -> Option<Stage> {
    match state {
        UpgradeState::Running => None,
        UpgradeState::Succeeded => Some(Stage::Succeeded),
        UpgradeState::RolledBack => Some(Stage::Failed),
    }
}

/// What the operator is to be told, if the store says something else. `stage` is that of the order, unless it can't
/// be followed.
pub fn word_due(held: &StoredUpgrade, stage: Option<Stage>) -> Option<UpgradeReport> {
    if held.state.and_then(stage_of).is_some() {
        return None;
    }
    let order = match &held.order {
        Ok(order) => order,
        Err(reason) => {
            let (state, target) = (UpgradeState::RolledBack, "".into());
            return Some(UpgradeReport { state, target, reason: Some(reason.clone()) });
        }
    };
    let state = match stage? {
        Stage::Trial | Stage::Switch => UpgradeState::Running,
        Stage::Proven => UpgradeState::Succeeded,
        Stage::Reverted => UpgradeState::RolledBack,
        Stage::Failed | Stage::Succeeded => return None,
    };
    let word = UpgradeReport { state, target: order.target.clone(), reason: None };
    (held.state != Some(state)).then_some(word)
}

/// Writes it, and tells the control loop what the store holds then, if that is known.
pub async fn write(shared: Arc<Shared>, held: StoredUpgrade, word: UpgradeReport) {
    let mut store = Store::new(shared.settings.store);
    let written = store.replace_status::<Upgrades>(&held.service, &word, held.revision).await;
    shared.metrics.on_store_call(StoreCall::Write, written.is_ok());
    let service = held.service.clone();
    let held = match written {
        Ok(WriteOutcome::Done(revision)) => Some(StoredUpgrade { revision, state: Some(word.state), ..held }),
        Ok(WriteOutcome::Conflict(other, _)) => Some(other),
        Ok(WriteOutcome::Missing) => None,
        Err(err) => {
            info!(event = "upgrade_not_stored", service = &*service, reason:% = err; "the store did not take what became of an upgrade");
            None
        }
    };
    shared.tell(ToControl::UpgradeWritten(StoredWord { service, held }));
}
