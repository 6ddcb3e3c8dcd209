//! Reports the state of an order to upgrade a service to the operator, in the status of the order's object.
//!
//! Each write names the revision of the object that it is based on, so that a success, a failure and a new
//! order never overwrite each other. A final state is never changed.

use std::sync::Arc;

use leadstage_lib::gateway::upgrade::Stage;
use leadstage_platform::store::Store;
use leadstage_platform::store::WriteOutcome;
use leadstage_platform::store_kinds::StoredUpgrade;
use leadstage_platform::store_kinds::UpgradeState;
use leadstage_platform::store_kinds::UpgradeStatus;
use leadstage_platform::store_kinds::Upgrades;
use log::info;

use crate::gateway::messages::ToControl;
use crate::gateway::messages::UpgradeWriteResult;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;

/// The final stage of an order according to its stored status; `None` if the upgrade has not ended.
pub fn stage_of(state: UpgradeState) -> Option<Stage> {
    match state {
        UpgradeState::Running => None,
        UpgradeState::Succeeded => Some(Stage::Succeeded),
        UpgradeState::RolledBack => Some(Stage::Failed),
    }
}

/// The status to write, if it differs from the stored one. `stage` is the stage of the order; it is `None`
/// if the order is invalid or unknown.
pub fn due_status(held: &StoredUpgrade, stage: Option<Stage>) -> Option<UpgradeStatus> {
    if held.state.and_then(stage_of).is_some() {
        return None;
    }
    let order = match &held.order {
        Ok(order) => order,
        Err(reason) => {
            let (state, target) = (UpgradeState::RolledBack, "".into());
            return Some(UpgradeStatus { state, target, reason: Some(reason.clone()) });
        }
    };
    let state = match stage? {
        Stage::Trial | Stage::Switch | Stage::Recheck | Stage::SecondSwitch => UpgradeState::Running,
        Stage::Proven => UpgradeState::Succeeded,
        Stage::Reverted => UpgradeState::RolledBack,
        Stage::Failed | Stage::Succeeded => return None,
    };
    let status = UpgradeStatus { state, target: order.target.clone(), reason: None };
    (held.state != Some(state)).then_some(status)
}

/// Writes a status, and reports to the control loop what the store holds afterwards, if that is known.
pub async fn write(shared: Arc<Shared>, held: StoredUpgrade, status: UpgradeStatus) {
    let mut store = Store::new(shared.settings.store);
    let written = store.replace_status::<Upgrades>(&held.service, &status, held.revision).await;
    shared.metrics.on_store_call(StoreCall::Write, written.is_ok());
    let service = held.service.clone();
    let held = match written {
        Ok(WriteOutcome::Done(revision)) => {
            Some(StoredUpgrade { revision, state: Some(status.state), ..held })
        }
        Ok(WriteOutcome::Conflict(other, _)) => Some(other),
        Ok(WriteOutcome::Missing) => None,
        Err(err) => {
            info!(event = "upgrade_not_stored", service = &*service, reason:% = err; "could not store the status of an upgrade");
            None
        }
    };
    shared.notify(ToControl::UpgradeWritten(UpgradeWriteResult { service, held }));
}
