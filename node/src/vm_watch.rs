//! Polls the VM list, and publishes the upstreams to the traffic threads.

use std::time::Duration;

use leadstage_lib::ids::VmId;
use leadstage_lib::upstreams::VmRecord;
use leadstage_lib::upstreams::VmRole;
use log::warn;
use rand::RngExt;

use crate::control::Control;
use crate::control::ControlRef;
use crate::platform::VmList;
use crate::shared::UpstreamAddress;

/// Reads of the VM list within the bundle's `leaving_within`.
const READS_PER_LEAVING_BOUND: u32 = 3;
/// Mean interval between two reads while there is no bundle.
const FIRST_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the VM list without end, with jitter so that the reads of different nodes do not coincide.
pub async fn run(control: ControlRef) {
    let platform = control.borrow().platform.clone();
    let mut known_version = None;
    loop {
        match platform.read_vms(known_version).await {
            Ok(VmList::Changed { version, records }) => {
                known_version = version;
                apply_list(&mut control.borrow_mut(), records);
            }
            Ok(VmList::Unchanged) => {}
            Err(err) => warn!(event = "vms_not_read", reason:% = err; "failed to read the VM list"),
        }
        let bundle = control.borrow().shared.bundle();
        let interval = bundle.map_or(FIRST_INTERVAL, |b| b.bounds.leaving_within / READS_PER_LEAVING_BOUND);
        let jitter: f64 = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

fn apply_list(control: &mut Control, records: Vec<VmRecord>) {
    let now = control.now();
    control.directory.on_list(records, now);
    let entries: Vec<VmId> = control.directory.with_role(VmRole::Entry).map(|r| r.id.clone()).collect();
    control.membership.on_list(&entries, now);
    publish(control);
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
