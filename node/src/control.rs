//! The control thread: handles the platform, the peers, the pools that this VM leads, and the requests of the
//! traffic threads. All of this runs on one thread because capnp-rpc is `!Send`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::ids::Timestamp;
use leadstage_lib::membership::Liveness;
use leadstage_lib::membership::Membership;
use leadstage_lib::membership::MembershipAction;
use leadstage_lib::membership::PAUSE_THRESHOLD;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::rollout::BundleInForce;
use leadstage_lib::upstreams::Directory;
use log::info;
use rand::RngExt;
use tokio::runtime::Runtime;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;

use crate::bundle_watch;
use crate::claim_driver;
use crate::claim_driver::ClaimShards;
use crate::clock;
use crate::control_message::ControlMessage;
use crate::engine_api::EngineApi;
use crate::entry;
use crate::entry_generations;
use crate::entry_generations::EntryGenerations;
use crate::leads;
use crate::leads::Leads;
use crate::membership_driver;
use crate::orders;
use crate::peer_server;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::readiness;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::shared::unix_millis;
use crate::signals::Signals;
use crate::status_report;
use crate::stop;
use crate::vm_watch;

/// Interval between two runs of the periodic tasks.
pub const TICK: Duration = Duration::from_millis(100);

/// The control thread's state.
pub struct Control {
    /// The node's settings.
    pub settings: Settings,
    /// State shared with the traffic threads.
    pub shared: Arc<Shared>,
    /// The object API and the VM list.
    pub platform: Platform,
    /// Client for calls to engines other than generations: load reports, orders, priorities and
    /// cancellations.
    pub engines: EngineApi,
    /// Time since boot at which this process started; [`Control::now`] counts from here.
    pub started: Timestamp,
    /// The upstreams and entry VMs of the VM list.
    pub directory: Directory,
    /// The liveness of the entry VMs.
    pub membership: Membership,
    /// Connections to other entry VMs.
    pub peers: Peers,
    /// Whether a peer's bundle is being fetched.
    pub fetching_bundle: bool,
    /// The pools that this VM leads.
    pub leads: Leads,
    /// The generations of requests that arrived at this VM.
    pub entry_generations: EntryGenerations,
    /// Claim shards that this VM writes.
    pub claims: ClaimShards,
    /// When the object API last answered; `None` if it did not since the start or the latest process pause.
    pub platform_contact: Option<Timestamp>,
    /// Whether the latest call to the object API succeeded.
    pub platform_reached: bool,
    /// Restarts the bundle watch, whose connection may have broken unnoticed while the process was paused.
    pub restart_watch: Rc<Notify>,
    last_tick: Timestamp,
}

/// The control thread's state, shared by its tasks; never borrowed across an await.
pub type ControlRef = Rc<RefCell<Control>>;

impl Control {
    fn new(settings: Settings, shared: Arc<Shared>) -> Self {
        let incarnation = unix_millis();
        let seed = rand::rng().random();
        Control {
            platform: Platform::new(settings.platform),
            engines: EngineApi::new(),
            started: clock::since_boot(),
            directory: Directory::default(),
            membership: Membership::new(settings.vm.clone(), incarnation, seed),
            peers: Peers::default(),
            fetching_bundle: false,
            leads: Leads::default(),
            entry_generations: EntryGenerations::default(),
            claims: ClaimShards::default(),
            platform_contact: None,
            platform_reached: false,
            restart_watch: Rc::new(Notify::new()),
            last_tick: Timestamp::ZERO,
            settings,
            shared,
        }
    }

    /// Time since the process started, including the time that the VM was suspended.
    pub fn now(&self) -> Timestamp {
        clock::since_boot().saturating_sub(self.started)
    }

    /// The periodic tasks begin now; the time before was no pause of the process.
    fn begin_ticks(&mut self) {
        self.last_tick = self.now();
    }

    /// Updates the state of the object API after a call to it.
    pub fn on_platform_call(&mut self, succeeded: bool) {
        self.platform_reached = succeeded;
        if succeeded {
            self.platform_contact = Some(self.now());
        }
    }

    /// Puts a bundle in force if it is newer than the current one.
    pub fn put_in_force(&mut self, new: BundleInForce) {
        let bundle = new.bundle.clone();
        let hash = new.hash.clone();
        if !self.shared.set_in_force(new) {
            return;
        }
        info!(event = "bundle_in_force", number = bundle.number, hash = &*hash; "bundle in force");
        let now = self.now();
        self.leads.set_bundle(&bundle, now);
        self.claims.set_bounds(&bundle.bounds);
        readiness::update(self);
    }

    /// Applies membership changes to the connections to peers and to the pools.
    pub fn on_membership(&mut self, actions: &[MembershipAction]) {
        for action in actions {
            let MembershipAction::Changed(update) = action else {
                continue;
            };
            info!(event = "member", vm = &*update.vm, liveness:? = update.liveness; "member changed");
            if matches!(update.liveness, Liveness::Dead | Liveness::Left) {
                self.peers.forget(&update.vm);
            }
            if update.liveness == Liveness::Dead {
                let now = self.now();
                self.leads.notify_all_pools(now, |_| PoolEvent::EntryGone(update.vm.clone()));
            }
        }
    }
}

/// Runs the control thread until the graceful shutdown has finished.
pub fn run(
    runtime: &Runtime,
    signals: &Signals,
    settings: Settings,
    shared: Arc<Shared>,
    rx: UnboundedReceiver<ControlMessage>,
) -> std::io::Result<()> {
    let local = LocalSet::new();
    let control = Rc::new(RefCell::new(Control::new(settings, shared)));
    local.block_on(runtime, async move {
        tokio::select! {
            () = stop::wait(control.clone(), signals) => Ok(()),
            Err(failed) = start(control, rx) => Err(failed),
        }
    })
}

/// Starts the tasks of the control thread once other nodes can connect to this one.
async fn start(control: ControlRef, rx: UnboundedReceiver<ControlMessage>) -> std::io::Result<()> {
    peer_server::listen(control.clone()).await?;
    control.borrow_mut().begin_ticks();
    tokio::task::spawn_local(bundle_watch::run(control.clone()));
    tokio::task::spawn_local(vm_watch::run(control.clone()));
    tokio::task::spawn_local(run_ticks(control.clone()));
    tokio::task::spawn_local(serve_traffic(control, rx));
    Ok(())
}

async fn run_ticks(control: ControlRef) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        detect_pause(&control);
        membership_driver::tick(&control);
        leads::tick(&control);
        orders::tick(&control);
        entry_generations::tick(&control);
        claim_driver::tick(&control);
        readiness::update(&mut control.borrow_mut());
        status_report::tick(&control);
    }
}

/// Detects that the process was paused, for example by a suspension of the VM. As changes may have been
/// missed, the last contact with the object API no longer counts, and the bundle is read again.
fn detect_pause(control: &ControlRef) {
    let mut control = control.borrow_mut();
    let now = control.now();
    let paused = now.saturating_sub(control.last_tick) > PAUSE_THRESHOLD;
    control.last_tick = now;
    if paused {
        info!(event = "pause"; "the process was paused");
        control.platform_contact = None;
        control.restart_watch.notify_one();
    }
}

async fn serve_traffic(control: ControlRef, mut rx: UnboundedReceiver<ControlMessage>) {
    while let Some(message) = rx.recv().await {
        match message {
            ControlMessage::Place { request, model, mut reply } => {
                let control = control.clone();
                tokio::task::spawn_local(async move {
                    let outcome = tokio::select! {
                        outcome = entry::place(&control, request, model) => outcome,
                        () = reply.closed() => return,
                    };
                    let _ = reply.send(outcome);
                });
            }
            ControlMessage::Started(running) => control.borrow_mut().entry_generations.start(running),
            ControlMessage::Ended { generation, how } => entry_generations::end(&control, generation, how),
            ControlMessage::UpstreamFailed(upstream) => {
                let mut control = control.borrow_mut();
                let now = control.now();
                control.directory.on_failed(&upstream, now);
                vm_watch::publish(&control);
            }
            ControlMessage::Claim { key, nonce, digest, reply } => {
                let control = control.clone();
                tokio::task::spawn_local(async move {
                    let _ = reply.send(claim_driver::claim(&control, key, nonce, digest).await);
                });
            }
            ControlMessage::Record { key, nonce, outcome } => {
                tokio::task::spawn_local(claim_driver::record(control.clone(), key, nonce, outcome));
            }
        }
    }
}
