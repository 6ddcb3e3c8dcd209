//! Drives [`leadstage_lib::fence`]: orders the engines of the pools that this VM leads to load the adapters
//! that the bundle lists, one order per pool at a time.

use leadstage_lib::fence;
use leadstage_lib::fence::FenceAction;
use leadstage_lib::fence::Order;
use log::info;

use crate::control::Control;
use crate::control::ControlRef;
use crate::engine_api::OrderAnswer;
use crate::leads::PoolKey;
use crate::shared::unix_millis;

/// Advances the order of each pool that has an engine with a missing adapter.
pub fn tick(control: &ControlRef) {
    for (key, action) in due(&mut control.borrow_mut()) {
        tokio::task::spawn_local(execute(control.clone(), key, action));
    }
}

fn due(control: &mut Control) -> Vec<(PoolKey, FenceAction)> {
    let Some(bundle) = control.shared.bundle() else {
        return Vec::new();
    };
    let missing: Vec<(PoolKey, Order)> = control
        .leads
        .pools
        .iter()
        .filter_map(|(key, led)| {
            let model = bundle.model(&key.model)?;
            Some((key.clone(), led.next_adapter_load(&model.adapters)?))
        })
        .collect();
    let now = unix_millis();
    let advance = |(key, order): (PoolKey, Order)| {
        let action = control.leads.orders_mut(&key)?.advance(Some(&order), now)?;
        Some((key, action))
    };
    missing.into_iter().filter_map(advance).collect()
}

async fn execute(control: ControlRef, key: PoolKey, action: FenceAction) {
    let platform = control.borrow().platform.clone();
    let object = fence::object_key(&key.model, &key.hall);
    match action {
        FenceAction::Read => {
            let found = platform.read_value(&object).await;
            if let Some(orders) = control.borrow_mut().leads.orders_mut(&key) {
                orders.on_read(found);
            }
        }
        FenceAction::Write { expected, value } => {
            let result = platform.write_value(&object, expected, value).await;
            if let Some(orders) = control.borrow_mut().leads.orders_mut(&key) {
                orders.on_write(result);
            }
        }
        FenceAction::Send { epoch, order } => send(&control, &key, epoch, &order).await,
    }
}

async fn send(control: &ControlRef, key: &PoolKey, epoch: u64, order: &Order) {
    let (api, address) = {
        let mut control = control.borrow_mut();
        let address = control.directory.get(&order.engine).map(|r| r.address);
        let held = control.leads.orders_mut(key).is_some_and(|orders| orders.may_send(unix_millis()));
        (control.engines.clone(), address.filter(|_| held))
    };
    let answer = match address {
        Some(address) => api.send_order(address, epoch, &order.action).await,
        None => OrderAnswer::Unknown,
    };
    info!(event = "order", engine = &*order.engine, action = &*order.action, epoch = epoch, answer:? = answer; "order sent");
    let mut control = control.borrow_mut();
    if let Some(led) = control.leads.pools.get_mut(key) {
        led.orders.on_sent(answer == OrderAnswer::OldFence);
        if answer == OrderAnswer::Taken {
            led.on_loaded(order);
        }
    }
}
