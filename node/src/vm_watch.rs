//! Reads the VM list, and publishes the upstreams to the traffic threads.

use std::time::Duration;

use leadstage_lib::ids::VmId;
use leadstage_lib::upstreams::VmRole;
use rand::RngExt;

use crate::control::Control;
use crate::control::ControlRef;
use crate::shared::UpstreamAddress;

/// Mean time between two reads.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads for ever, with jitter so that nodes do not read in step.
pub async fn run(control: ControlRef) {
    let platform = control.borrow().platform.clone();
    loop {
        if let Ok(list) = platform.vms().await {
            let mut control = control.borrow_mut();
            let now = control.now();
            control.directory.on_list(list, now);
            let entries: Vec<VmId> =
                control.directory.with_role(VmRole::Entry).map(|r| r.id.clone()).collect();
            control.membership.on_list(&entries, now);
            publish(&control);
        }
        let jitter: f64 = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(INTERVAL.mul_f64(jitter)).await;
    }
}

/// Publishes the upstreams to the traffic threads.
pub fn publish(control: &Control) {
    let now = control.now();
    let directory = &control.directory;
    let roles = [VmRole::Engine, VmRole::Service];
    let records = roles.into_iter().flat_map(|role| directory.with_role(role));
    let table = records.map(|record| {
        let usable = directory.usable(&record.serves, now).any(|r| r.id == record.id);
        let address = UpstreamAddress {
            id: record.id.clone(),
            address: record.address,
            hall: record.hall.clone(),
            serves: record.serves.to_string(),
            usable,
        };
        (record.id.clone(), address)
    });
    control.shared.set_upstreams(table.collect());
}
