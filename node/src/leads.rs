//! The pools that this VM leads: drives [`leadstage_lib::pool::Pool`] with placement requests, reports of
//! generations and the engines' loads.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::code::Code;
use leadstage_lib::fence::Order;
use leadstage_lib::fence::OrderSender;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::ModelId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::pool::Pool;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::pool_event::PoolAction;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::pool_event::PoolPolicy;
use leadstage_lib::rendezvous;
use leadstage_lib::upstreams::VmRole;
use log::info;
use rand::RngExt;
use tokio::sync::oneshot;

use crate::control::Control;
use crate::control::ControlRef;
use crate::engine_polls;
use crate::engine_polls::PolledEngine;

/// `Retry-After` when this VM stopped leading the pool while the request waited.
const LEAD_CHANGE_RETRY: Duration = Duration::from_millis(1_000);
/// How long a new lead waits for the first load reports of the engines before it places requests.
const FIRST_LOADS_TIMEOUT: Duration = Duration::from_millis(300);

/// Identifies a pool: the engines of one model in one hall.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The model.
    pub model: ModelId,
    /// The hall.
    pub hall: HallId,
}

/// The result of a placement request to a lead.
#[derive(Clone, Debug)]
pub enum Placement {
    /// The request may start on this engine.
    Granted {
        /// The engine.
        upstream: UpstreamId,
        /// The priority to send to the engine with the request.
        priority: i32,
    },
    /// The request is not placed.
    Refused {
        /// The reason.
        code: Code,
        /// When the caller may retry.
        retry_after: Duration,
    },
}

/// A pool that this VM leads.
pub struct LedPool {
    /// The placement state and policy.
    pub pool: Pool,
    /// Sends the pool's orders to engines.
    pub orders: OrderSender,
    created: Timestamp,
    replies: HashMap<GenerationId, oneshot::Sender<Placement>>,
    /// The polling state of the pool's engines.
    pub engines: HashMap<UpstreamId, PolledEngine>,
}

/// All pools that this VM leads.
#[derive(Default)]
pub struct Leads {
    /// The pools by key.
    pub pools: BTreeMap<PoolKey, LedPool>,
}

impl Leads {
    /// The order sender of a pool.
    pub fn orders_mut(&mut self, key: &PoolKey) -> Option<&mut OrderSender> {
        self.pools.get_mut(key).map(|led| &mut led.orders)
    }

    /// Applies the policy of a new bundle to all pools.
    pub fn set_bundle(&mut self, bundle: &Bundle, now: Timestamp) {
        self.notify_all_pools(now, |_| PoolEvent::Policy(policy(bundle)));
    }

    /// Passes an event to all pools. Actions for engines that follow from it are dropped.
    pub fn notify_all_pools(&mut self, now: Timestamp, event: impl Fn(&PoolKey) -> PoolEvent) {
        for (key, led) in &mut self.pools {
            led.handle(now, event(key));
        }
    }
}

impl LedPool {
    /// The order to load a missing adapter on the first engine, by id, that answers polls and lacks one of
    /// `adapters`.
    pub fn next_adapter_load(&self, adapters: &[String]) -> Option<Order> {
        let mut engines: Vec<_> = self.engines.iter().filter(|(_, e)| e.answered_last).collect();
        engines.sort_by_key(|(id, _)| (*id).clone());
        engines.into_iter().find_map(|(id, engine)| {
            let adapter = adapters.iter().find(|a| !engine.loaded.contains(a))?;
            Some(Order { engine: id.clone(), action: format!("load:{adapter}") })
        })
    }

    /// Marks an adapter as loaded after the engine accepted the order to load it.
    pub fn on_loaded(&mut self, order: &Order) {
        if let (Some(engine), Some(adapter)) =
            (self.engines.get_mut(&order.engine), order.action.strip_prefix("load:"))
        {
            engine.loaded.push(adapter.to_owned());
        }
    }

    /// Whether the pool is new and the first load report of an engine may still arrive.
    fn awaits_first_loads(&self, now: Timestamp) -> bool {
        let may_come =
            self.engines.is_empty() || self.engines.values().any(|e| !e.answered_last && e.failures == 0);
        now < self.created + FIRST_LOADS_TIMEOUT && may_come
    }

    /// The number of placement requests that wait for this pool's answer.
    pub fn waiting(&self) -> usize {
        self.replies.len()
    }

    /// Passes an event to the pool and answers the placement requests that it settles. Returns the actions
    /// for engines.
    fn handle(&mut self, now: Timestamp, event: PoolEvent) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        let mut for_engines = Vec::new();
        self.pool.handle(now, event, &mut actions);
        while let Some(action) = actions.pop() {
            match action {
                PoolAction::Grant { generation, engine, priority } => {
                    let granted = Placement::Granted { upstream: engine, priority };
                    if !self.reply(generation, granted) {
                        let ended = PoolEvent::Ended { generation, tokens: 0, how: EndKind::Cancelled };
                        self.pool.handle(now, ended, &mut actions);
                    }
                }
                PoolAction::Refuse { generation, code, retry_after } => {
                    self.reply(generation, Placement::Refused { code, retry_after });
                }
                other => for_engines.push(other),
            }
        }
        for_engines
    }

    /// Answers a placement request. Returns false if its sender no longer waits.
    fn reply(&mut self, generation: GenerationId, placement: Placement) -> bool {
        let reply = self.replies.remove(&generation);
        reply.is_some_and(|reply| reply.send(placement).is_ok())
    }
}

fn policy(bundle: &Bundle) -> PoolPolicy {
    let mut policy = PoolPolicy::new(bundle.objective, &bundle.bounds);
    policy.shares = bundle.organisations.iter().map(|o| (o.id.clone(), o.share)).collect();
    policy
}

/// The VM that leads a pool according to this VM's view of the fleet, with the VMs in `except` left out. It
/// is chosen by rendezvous hashing among the live entry VMs of the pool's hall, or of all halls if that hall
/// has none.
pub fn lead_of(control: &Control, key: &PoolKey, except: &[VmId]) -> Option<VmId> {
    let name = format!("{}/{}", key.model, key.hall);
    let is_alive = |vm: &VmId| control.membership.liveness(vm) == Some(Liveness::Alive);
    let entries = control.directory.with_role(VmRole::Entry);
    let mut alive: Vec<(VmId, bool)> = entries
        .filter(|r| r.id != control.settings.vm && is_alive(&r.id) && !except.contains(&r.id))
        .map(|r| (r.id.clone(), r.hall == key.hall))
        .collect();
    let stopping = control.shared.readiness() == crate::shared::Readiness::Stopping;
    if !stopping && !except.contains(&control.settings.vm) {
        alive.push((control.settings.vm.clone(), control.settings.hall == key.hall));
    }
    let in_hall: Vec<&VmId> = alive.iter().filter(|(_, in_hall)| *in_hall).map(|(vm, _)| vm).collect();
    if in_hall.is_empty() {
        return rendezvous::pick(&name, alive.iter().map(|(vm, _)| vm)).cloned();
    }
    rendezvous::pick(&name, in_hall).cloned()
}

/// Passes an event to a pool and executes the resulting actions.
pub fn handle(control: &mut Control, key: &PoolKey, event: PoolEvent) {
    let now = control.now();
    let Some(led) = control.leads.pools.get_mut(key) else {
        return;
    };
    for action in led.handle(now, event) {
        execute(control, action);
    }
}

fn execute(control: &Control, action: PoolAction) {
    let api = control.engines.clone();
    let address = |engine: &UpstreamId| control.directory.get(engine).map(|r| r.address);
    match action {
        PoolAction::SetPriority { engine, generation, priority } => {
            if let Some(address) = address(&engine) {
                tokio::task::spawn_local(api.set_priority(address, generation, priority));
            }
        }
        PoolAction::Cancel { engine, generation } => {
            info!(event = "abandoned", generation:% = format!("{generation:016x}"), engine = &*engine; "cancelled");
            if let Some(address) = address(&engine) {
                tokio::task::spawn_local(api.cancel(address, generation));
            }
        }
        PoolAction::Grant { .. } | PoolAction::Refuse { .. } => {}
    }
}

/// Places a request in a pool that this VM leads, and waits in its queue until it is answered. Dropping the
/// future withdraws the request.
pub async fn place_here(control: &ControlRef, key: &PoolKey, request: PlaceRequest) -> Placement {
    let refusal = Placement::Refused { code: Code::NoUpstream, retry_after: LEAD_CHANGE_RETRY };
    let generation = request.generation;
    let withdrawal = Withdrawal { control, key, generation };
    let registered = register_request(&mut control.borrow_mut(), key, generation);
    let Some(rx) = registered else {
        return refusal;
    };
    await_first_loads(control, key).await;
    handle(&mut control.borrow_mut(), key, PoolEvent::Place(request));
    let placement = rx.await;
    std::mem::forget(withdrawal);
    placement.unwrap_or(refusal)
}

/// Creates the pool if it does not exist here, and registers a request that waits for its answer. While a
/// request waits, [`review_leads`] keeps the pool: the requesting entry may know earlier than this VM that
/// the previous lead is gone. Returns `None` if there is no bundle.
fn register_request(
    control: &mut Control,
    key: &PoolKey,
    generation: GenerationId,
) -> Option<oneshot::Receiver<Placement>> {
    create_pool(control, key);
    let (reply, rx) = oneshot::channel();
    control.leads.pools.get_mut(key)?.replies.insert(generation, reply);
    Some(rx)
}

/// Withdraws a request from the queue on drop, when its entry no longer waits.
struct Withdrawal<'a> {
    control: &'a ControlRef,
    key: &'a PoolKey,
    generation: GenerationId,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let Ok(mut control) = self.control.try_borrow_mut() else {
            return;
        };
        if let Some(led) = control.leads.pools.get_mut(self.key) {
            led.replies.remove(&self.generation);
        }
        handle(&mut control, self.key, PoolEvent::Withdraw(self.generation));
    }
}

/// Waits up to [`FIRST_LOADS_TIMEOUT`] for the first load reports of a new pool's engines, because the pool
/// refuses all requests until it has one. This applies to pools created by a request and by [`review_leads`].
async fn await_first_loads(control: &ControlRef, key: &PoolKey) {
    let awaits_loads = || {
        let control = control.borrow();
        control.leads.pools.get(key).is_some_and(|led| led.awaits_first_loads(control.now()))
    };
    if !awaits_loads() {
        return;
    }
    engine_polls::poll_due(control);
    while awaits_loads() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn create_pool(control: &mut Control, key: &PoolKey) {
    let Some(bundle) = control.shared.bundle() else {
        return;
    };
    if control.leads.pools.contains_key(key) {
        return;
    }
    info!(event = "lead", model = &*key.model, hall = &*key.hall; "leads the pool");
    let pool = Pool::new(policy(&bundle), rand::rng().random());
    let checks_fences = bundle.model(&key.model).is_some_and(|m| m.checks_fences);
    let orders = OrderSender::new(control.settings.vm.clone(), checks_fences);
    let created = control.now();
    let led = LedPool { pool, orders, created, replies: HashMap::new(), engines: HashMap::new() };
    control.leads.pools.insert(key.clone(), led);
    engine_polls::sync_engines(control);
}

/// Creates or drops pools as this VM becomes or ceases to be their lead, advances them, and starts the polls
/// that are due.
pub fn tick(control: &ControlRef) {
    {
        let mut control = control.borrow_mut();
        review_leads(&mut control);
        engine_polls::sync_engines(&mut control);
        let keys: Vec<PoolKey> = control.leads.pools.keys().cloned().collect();
        for key in keys {
            handle(&mut control, &key, PoolEvent::Tick);
        }
    }
    engine_polls::poll_due(control);
}

fn review_leads(control: &mut Control) {
    let engines = control.directory.with_role(VmRole::Engine);
    let mut keys: Vec<PoolKey> =
        engines.map(|r| PoolKey { model: r.serves.clone(), hall: r.hall.clone() }).collect();
    keys.sort();
    keys.dedup();
    keys.retain(|key| lead_of(control, key, &[]).as_ref() == Some(&control.settings.vm));
    for key in &keys {
        create_pool(control, key);
    }
    control.leads.pools.retain(|key, led| {
        let kept = keys.contains(key) || !led.replies.is_empty();
        if !kept {
            info!(event = "lead_over", model = &*key.model, hall = &*key.hall; "no longer leads the pool");
        }
        kept
    });
}

/// Whether a pool that this VM leads has a record of a generation.
pub fn has_generation(control: &Control, key: &PoolKey, generation: GenerationId) -> bool {
    control.leads.pools.get(key).is_some_and(|led| led.pool.contains(generation))
}
