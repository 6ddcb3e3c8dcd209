//! The control loop of a gateway node: receives each message and dispatches it to the component that
//! handles it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::config_sources::VersionNotice;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::start_progress::Source;
use leadstage_lib::gateway::watch_takeover::TakeoverSchedule;
use leadstage_lib::gateway::watchers;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::Watchers;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;
use log::info;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::gateway::control::config_intake::ConfigIntake;
use crate::gateway::control::crash_intake::CrashIntake;
use crate::gateway::control::hall_intake::HallIntake;
use crate::gateway::control::limit_intake::LimitIntake;
use crate::gateway::control::path_probes::PathProbes;
use crate::gateway::control::placing::Placing;
use crate::gateway::control::replica_intake::ReplicaIntake;
use crate::gateway::control::start_log;
use crate::gateway::control::start_log::StartLog;
use crate::gateway::control::store_watcher::StoreWatcher;
use crate::gateway::control::upgrade_intake::UpgradeIntake;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::GaugeValues;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::observability::metrics::StoreCalls;
use crate::gateway::observability::peer_traffic::MessageKind;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::Datagram;
use crate::gateway::peers::peer_message::Gossip;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::Pulse;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Interval at which periodic work is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the status and the gauge values are published.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the gauge values are logged.
const LEVELS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The components of the control thread.
pub struct Control {
    shared: Arc<Shared>,
    callers_port_listens: bool,
    fleet: Fleet,
    placing: Placing,
    configs: ConfigIntake,
    replicas: ReplicaIntake,
    halls: HallIntake,
    crashes: CrashIntake,
    limits: LimitIntake,
    upgrades: UpgradeIntake,
    path_probes: PathProbes,
    watchers: Watchers,
    store_watcher: StoreWatcher,
    start_log: StartLog,
    last_status: Timestamp,
    last_levels_log: Timestamp,
    /// The counts of calls to the store that were last logged.
    logged_calls: StoreCalls,
}

impl Control {
    /// Creates a control loop without any state from the store or from other nodes.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        let settings = &shared.settings;
        let fleet = Fleet::new(settings, outbox.clone());
        Control {
            placing: Placing::new(shared.clone(), outbox, fleet.own().clone()),
            configs: ConfigIntake::new(shared.clone()),
            replicas: ReplicaIntake::new(shared.clone()),
            halls: HallIntake::new(shared.clone()),
            crashes: CrashIntake::new(shared.clone()),
            limits: LimitIntake::new(shared.clone()),
            upgrades: UpgradeIntake::new(shared.clone()),
            path_probes: PathProbes::new(shared.clone()),
            watchers: Watchers::new(fleet.own().clone(), takeover_schedule(&shared)),
            store_watcher: StoreWatcher::new(shared.clone()),
            start_log: StartLog::new(shared.clone()),
            callers_port_listens: false,
            last_status: Timestamp::ZERO,
            last_levels_log: Timestamp::ZERO,
            logged_calls: StoreCalls::default(),
            fleet,
            shared,
        }
    }

    pub async fn run(mut self, mut rx: UnboundedReceiver<ToControl>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: ToControl) {
        let source = start_log::source_of(&message);
        match message {
            ToControl::Place(request, reply) => self.placing.place(&self.fleet, request, reply),
            ToControl::LeadSilent(run) => self.placing.on_lead_silent(run),
            ToControl::FirstEvent(run) => self.placing.on_own_first_event(&self.fleet, run),
            ToControl::Copied(run) => self.placing.on_own_copied(&self.fleet, run),
            ToControl::Ended(run, outcome) => self.placing.on_ended(&self.fleet, run, outcome),
            ToControl::Backoff(of, backoff) => self.placing.on_backoff(&of, backoff),
            ToControl::LeavingSign(of, sign) => {
                self.replicas.on_sign(&mut self.placing, &self.fleet, &of, sign)
            }
            ToControl::Health(of, health) => {
                self.replicas.on_health(&mut self.placing, &self.fleet, of, health)
            }
            ToControl::SendNextUpdatePart => self.replicas.send_next_part(&self.fleet),
            ToControl::SendReplicaUpdates => self.replicas.send_updates(&self.placing, &self.fleet),
            ToControl::Replicas(mut update) => {
                if let StoreUpdate::Listed { after_outage, .. } = &mut update
                    && *after_outage
                {
                    *after_outage = self.watchers.on_own_regained(self.shared.now());
                }
                self.replicas.on_store_update(&mut self.placing, &self.fleet, update)
            }
            ToControl::ClosedHalls(update) => {
                self.halls.on_store_update(&mut self.placing, &self.fleet, update)
            }
            ToControl::Upgrades(update) => {
                self.upgrades.on_store_update(&mut self.placing, &self.fleet, update)
            }
            ToControl::UpgradeWritten(written) => {
                self.upgrades.on_written(&mut self.placing, &self.fleet, written)
            }
            ToControl::Sampled(sample) => self.upgrades.on_sample(sample),
            ToControl::LimitReport(of, report, times) => {
                self.limits.on_answer(&mut self.placing.state, &self.fleet, &of, report, times)
            }
            ToControl::Brittle(of, is_brittle) => self.placing.state.on_brittle_report(&of, is_brittle),
            ToControl::GrantSilent(id) => self.placing.on_grant_silent(&self.fleet, id),
            ToControl::RunBroke(run) => self.crashes.on_break(&self.placing, run),
            ToControl::RunSucceeded(suspects) => self.crashes.on_run_succeeded(&self.fleet, &suspects),
            ToControl::CheckedAfterBreak(of, result) => {
                self.crashes.on_checked_after_break(&self.placing, &self.fleet, &of, result)
            }
            ToControl::Suspects(update) => self.crashes.on_store_update(&self.fleet, update),
            ToControl::SuspectStored(of, stored) => self.crashes.on_stored(&self.fleet, of, stored),
            ToControl::Configuration(update) => self.configs.on_store_update(&self.fleet, update),
            ToControl::Fetched(from, Fetched::Configuration(fetched)) => {
                self.configs.on_fetched(&self.fleet, from, fetched)
            }
            ToControl::ConfigurationRead(answered) => self.configs.on_read(answered),
            ToControl::ConfigurationDue => self.configs.on_due(),
            ToControl::ServeReplicas(known, reply) => self.replicas.serve_list(&self.placing, known, reply),
            // The path was the reason for the failures so far.
            ToControl::PathLost(service) => self.placing.on_path_lost(&service),
            ToControl::PathRestored(service) => {
                self.path_probes.on_path_restored(&mut self.placing.state, &service)
            }
            ToControl::ServiceAt(address, reply) => {
                // The other node may have given up.
                let _ = reply.send(self.placing.state.service_at(address));
            }
            ToControl::Fetched(from, Fetched::Replicas(list)) => {
                self.replicas.on_fetched(&mut self.placing, &self.fleet, from, list)
            }
            ToControl::OwnPulse(number, store) => self.on_own_pulse(number, store),
            ToControl::Datagram(datagram) => self.on_datagram(datagram),
            ToControl::Seeds(seeds) => self.fleet.set_seeds(&seeds, self.shared.now()),
            ToControl::CallersPortListens => self.callers_port_listens = true,
            ToControl::Stopping => {
                self.watchers.leave();
                self.fleet.leave();
            }
        }
        self.check_ready(source);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let gone = self.fleet.tick(now);
        self.on_gone(gone);
        self.shared.set_nodes(self.fleet.nodes());
        self.shared.observe_fleet_size(self.fleet.nodes());
        self.shared.set_has_neighbour(self.fleet.has_neighbour());
        self.path_probes.tick(&self.fleet, &self.placing.state);
        self.placing.send_inventories(&self.fleet);
        self.placing.lead(&self.fleet);
        self.placing.tick_ramps(&self.fleet);
        self.placing.share_plain_calls(&self.fleet);
        self.watchers.set_schedule(takeover_schedule(&self.shared));
        self.watchers.tick(now);
        let lags_since = self.lags_since();
        self.watchers.set_lag(lags_since);
        self.fleet.hears_watchers = self.watchers.fresh_pulses(now).next().is_some();
        let has_wide_link = |node: &VmId| self.fleet.node_has_wide_link(node);
        let role = self.watchers.role(self.fleet.alive(), has_wide_link, now);
        self.store_watcher.set(role, self.watchers.answer_age(now), self.watchers.staleness(now));
        self.halls.tick(&mut self.placing, &self.fleet);
        self.crashes.tick(&self.placing, &self.fleet, role.is_some());
        let store_answers = self.watchers.store_answers(now);
        self.upgrades.tick(&mut self.placing, &self.fleet, role, store_answers);
        self.update_health_polls(now);
        self.replicas.tick(&mut self.placing, &self.fleet, role.is_some());
        self.start_log.tick(&self.replicas);
        self.publish_status(now);
    }

    /// Up to when this node knows the configurations and replicas in the store, if it lacks some that other nodes
    /// have.
    fn lags_since(&mut self) -> Option<Timestamp> {
        let answered_at = self.watchers.answered_at()?;
        let lags = [self.configs.lags_since(answered_at), self.replicas.lags_since(answered_at)];
        lags.into_iter().flatten().min()
    }

    /// Polls the health of engines while the store may be unable to report that they are leaving.
    fn update_health_polls(&mut self, now: Timestamp) {
        if self.watchers.is_store_away(now) {
            self.replicas.on_store_unavailable();
        } else if self.watchers.is_store_partly_away(now) {
            self.replicas.on_outage_refuted(&mut self.placing, &self.fleet);
        }
        if !self.watchers.store_answers(now) || self.watchers.store_may_be_down(now) {
            self.replicas.poll_health(&self.placing, &self.fleet);
        }
    }

    fn publish_status(&mut self, now: Timestamp) {
        if now < self.last_status + STATUS_INTERVAL {
            return;
        }
        self.last_status = now;
        self.log_store_calls();
        self.placing.state.forget_gone();
        self.limits.publish(&self.placing.state);
        self.placing.publish_paces();
        self.shared.set_status(self.placing.status(&self.fleet));
        let crashes = self.shared.crashes();
        let levels = GaugeValues {
            waiting: self.placing.waiting(),
            open: self.shared.open_requests(),
            held: self.shared.held.held(),
            nodes: self.shared.nodes(),
            suspects: crashes.len(),
            limited: self.shared.limits().len(),
            ramping: self.placing.state.ramps.len(),
            quarantined: crashes.quarantines().len(),
            start_time: self.start_log.time(),
            config_age: now.saturating_sub(self.configs.last_update()),
            replicas_age: now.saturating_sub(self.replicas.last_update()),
            store_answer_age: self.watchers.answer_age(now),
            staleness: self.watchers.staleness(now),
        };
        self.shared.metrics.record_gauges(&levels);
        if now >= self.last_levels_log + LEVELS_LOG_INTERVAL {
            self.last_levels_log = now;
            let replicas_at = self.shared.replicas_at();
            let peer_bytes = self.shared.metrics.peer_bytes_so_far();
            info!(event = "levels", open = levels.open, waiting = levels.waiting, nodes = levels.nodes, config = self.shared.config_version(), config_age_ms = levels.config_age.as_millis() as u64, replicas_age_ms = levels.replicas_age.as_millis() as u64, store_answer_age_ms = levels.store_answer_age.as_millis() as u64, staleness_ms = levels.staleness.as_millis() as u64, replicas_at = revision::number(replicas_at), store_era = revision::era(replicas_at), peer_bytes; "levels");
            self.log_peer_traffic();
            self.placing.log_engine_paces(&self.fleet);
        }
    }

    /// Logs the messages and bytes of each kind that were sent to other nodes since the start.
    fn log_peer_traffic(&self) {
        let traffic = &self.shared.metrics.peer_traffic;
        let of = |kind| traffic.of(kind);
        info!(event = "peer_traffic", membership:% = of(MessageKind::Membership), placing:% = of(MessageKind::Placing), inventory:% = of(MessageKind::Inventory), replicas:% = of(MessageKind::Replicas), pulse:% = of(MessageKind::Pulse), config:% = of(MessageKind::Config), halls:% = of(MessageKind::Halls), suspects:% = of(MessageKind::Suspects), limits:% = of(MessageKind::Limits), upgrades:% = of(MessageKind::Upgrades), shares:% = of(MessageKind::Shares), config_handed_out:% = of(MessageKind::ConfigServed), replicas_handed_out:% = of(MessageKind::ReplicasServed); "sent to other nodes so far");
    }

    /// Logs the calls to the store so far if there were new ones.
    fn log_store_calls(&mut self) {
        let calls = self.shared.metrics.store_calls_so_far();
        if calls == self.logged_calls {
            return;
        }
        self.logged_calls = calls;
        let of = |purpose| calls.of(purpose);
        info!(event = "store_calls", start = of(StoreCall::Start), read = of(StoreCall::Read), list = of(StoreCall::List), watch = of(StoreCall::Watch), pulse = of(StoreCall::Pulse), write = of(StoreCall::Write); "calls to the store so far");
    }

    fn on_datagram(&mut self, datagram: Datagram) {
        let now = self.shared.now();
        let from = datagram.from;
        let mut gone = self.fleet.on_message_from(from, now);
        self.watchers.on_contact(now);
        let how = match datagram.message {
            PeerMessage::NewConfig => VersionNotice::Announced,
            _ => VersionNotice::Observed,
        };
        self.configs.compare(&self.fleet, from, datagram.config, how);
        self.replicas.compare(&self.placing, &self.fleet, from, datagram.replicas_at);
        self.halls.on_announced(&mut self.placing, &self.fleet, datagram.closed_halls);
        self.upgrades.on_announced(&mut self.placing, &self.fleet, datagram.upgrades);
        self.crashes.compare(&self.fleet, from, datagram.crash_digest);
        self.limits.compare(&self.placing.state, &self.fleet, from, datagram.limits_digest);
        match datagram.message {
            PeerMessage::Probe(id, gossip) => {
                self.on_gossip(from, &gossip, now);
                gone.extend(self.fleet.on_probe(from, id, gossip, now));
            }
            PeerMessage::ProbeAnswer(id, gossip) => {
                self.watchers.on_node_count(gossip.nodes as usize);
                self.shared.observe_fleet_size(gossip.nodes as usize);
                gone.extend(self.fleet.on_answer(from, id, gossip, now));
            }
            PeerMessage::ProbeFor(id, target) => self.fleet.on_probe_for(from, id, target, now),
            PeerMessage::Place(remote) => self.placing.on_place(from, remote),
            PeerMessage::Placed(run, record) => self.placing.on_placed(run, record),
            PeerMessage::Waits(run) => self.placing.on_waits(run),
            PeerMessage::FirstEvent(run) => self.placing.on_first_event(from, run),
            PeerMessage::Ended(run) => self.placing.on_remote_ended(from, run),
            PeerMessage::EngineFailed(engine) => self.placing.on_engine_failed(&engine),
            PeerMessage::Copied(run) => self.placing.on_copied(from, run),
            PeerMessage::MoveAway(run, engine) => self.placing.on_move_away(run, engine),
            PeerMessage::Inventory(inventory) => self.placing.on_inventory(from, inventory),
            PeerMessage::Replicas(update) => {
                self.replicas.on_peer_update(&mut self.placing, &self.fleet, from, update)
            }
            PeerMessage::Pulse(pulse) => self.on_pulse(pulse),
            PeerMessage::Ramps(news) => self.placing.on_ramp_news(&self.fleet, news),
            PeerMessage::Suspects(announced) => self.crashes.on_announced(&self.fleet, announced),
            PeerMessage::Limits(announced) => {
                self.limits.on_announced(&mut self.placing.state, &self.fleet, announced)
            }
            PeerMessage::AskGrant(request) => {
                self.limits.on_announced(&mut self.placing.state, &self.fleet, vec![request.limit.clone()]);
                self.placing.on_grant_request(&self.fleet, from, request)
            }
            PeerMessage::Granted(id, grant) => self.placing.on_granted(&self.fleet, id, grant),
            PeerMessage::AnswerCounts(report) => self.upgrades.on_report(&self.fleet, node_id(from), report),
            PeerMessage::CountsTaken(report) => {
                self.upgrades.on_acknowledged(&mut self.placing, &self.fleet, &node_id(from), &report)
            }
            PeerMessage::CallCounts(service, report) => self.placing.on_call_counts(from, service, report),
            PeerMessage::CallShares(service, shares) => self.placing.on_call_shares(&service, shares),
            PeerMessage::NewConfig
            | PeerMessage::NewReplicas
            | PeerMessage::HallsChanged
            | PeerMessage::UpgradesChanged => {}
        }
        self.on_gone(gone);
    }

    fn on_gone(&mut self, gone: Vec<VmId>) {
        for node in gone {
            self.placing.on_node_gone(&node);
            if self.fleet.has_left(&node) {
                self.watchers.on_left(&node, self.shared.now());
            }
            if let Some(address) = address_of(&node) {
                self.configs.on_node_gone(address);
            }
        }
    }

    fn on_own_pulse(&mut self, number: PulseNumber, store: StoreState) {
        let now = self.shared.now();
        self.watchers.on_own_pulse(store, now);
        self.update_health_polls(now);
        let settings = &self.shared.settings;
        let (watcher, has_wide_link) = (settings.peer, settings.has_wide_link());
        self.fleet.notify(&PeerMessage::Pulse(Pulse { watcher, has_wide_link, number, store, age_ms: 0 }));
    }

    /// Handles a probe from another node. A sender that receives no pulses from watchers, because it has
    /// just started or was partitioned, is sent the current ones; it would otherwise receive them some
    /// tenths of a second later.
    fn on_gossip(&mut self, from: SocketAddr, gossip: &Gossip, now: Timestamp) {
        self.watchers.on_node_count(gossip.nodes as usize);
        if gossip.hears_watchers {
            return;
        }
        for (watcher, watchers::Pulse { number, state, at }) in self.watchers.fresh_pulses(now) {
            let has_wide_link = self.fleet.node_has_wide_link(watcher);
            let age_ms = now.saturating_sub(at).as_millis() as u32;
            if let Some(watcher) = address_of(watcher) {
                let pulse = Pulse { watcher, has_wide_link, number, store: state, age_ms };
                self.fleet.send(from, &PeerMessage::Pulse(pulse));
            }
        }
    }

    fn on_pulse(&mut self, pulse: Pulse) {
        let watcher = node_id(pulse.watcher);
        let now = self.shared.now();
        if pulse.has_wide_link {
            self.fleet.on_wide_link(&watcher);
        }
        let at = now.saturating_sub(Duration::from_millis(pulse.age_ms.into()));
        let answering_since = self.watchers.answering_since();
        if self.watchers.on_pulse(&watcher, watchers::Pulse { number: pulse.number, state: pulse.store, at })
        {
            let answers_again = self.watchers.answering_since() != answering_since;
            if answers_again && self.watchers.is_own_unanswered() {
                self.store_watcher.check_soon();
            }
            self.update_health_polls(now);
            self.fleet.forward(&PeerMessage::Pulse(pulse));
        }
    }

    /// Begins to serve once the callers' port listens and the configuration and the replicas are known;
    /// `source` is where the last message came from.
    fn check_ready(&mut self, source: Option<Source>) {
        if self.shared.phase() != Phase::Starting {
            return;
        }
        self.start_log.on_message(source, &self.replicas);
        let is_known = self.replicas.is_known() && self.shared.table().is_some();
        if self.callers_port_listens && is_known && self.shared.advance(Phase::Serving) {
            self.start_log.on_serving();
        }
    }
}

/// How long this node waits for news of the store before it asks the store itself, by its settings.
fn takeover_schedule(shared: &Shared) -> TakeoverSchedule {
    TakeoverSchedule::new(shared.bounds().max_staleness, shared.settings.link_bits_per_second())
}
