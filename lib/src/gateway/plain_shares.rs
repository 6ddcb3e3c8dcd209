//! Keeps each organisation to its share of a plain service while the service's replicas are full.
//!
//! Nodes place plain calls by themselves. Each counts its calls, and how replicas answer them; while that
//! looks as if the replicas were full, it reports the counts to one node for the service, which shares out
//! what the replicas can bear and says which part of whose calls to admit. The surplus is refused at once. A
//! node whose reports nobody answers, and whose shares have expired, shares what its own calls get.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::call_admission::CallAdmission;
use crate::gateway::call_admission::ShareChange;
use crate::gateway::call_sharing::CallSharer;
use crate::gateway::call_sharing::CallShares;
use crate::gateway::call_window::CallEnd;
use crate::gateway::call_window::CallReport;
use crate::gateway::call_window::CallWindow;
use crate::gateway::call_window::CallWindows;
use crate::gateway::call_window::WINDOW;
use crate::gateway::routing::ServiceId;
use crate::gateway::run_key::RunId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Interval between two reports about a service: each covers a window of its own.
const REPORT_INTERVAL: Duration = WINDOW;
/// How long a node goes on reporting after the last sign of a shortage.
const REPORT_FOR: Duration = Duration::from_secs(1);
/// Time after which answers that are still slow are taken for usual by and by.
const UNUSUAL_FOR: Duration = Duration::from_secs(5);
/// Time after which a report that has no answer counts as lost, and its receiver as silent.
const SILENT_AFTER: Duration = Duration::from_millis(700);
/// How long a silent node is passed over: membership reports a dead one after some seconds.
const AVOID_SILENT_FOR: Duration = Duration::from_secs(5);

/// A call at a replica.
#[derive(Debug)]
struct OpenCall {
    service: ServiceId,
    placed_at: Timestamp,
    objective: Duration,
}

/// Reports about a service that looks short.
#[derive(Debug, Default)]
struct Reporting {
    since: Timestamp,
    until: Timestamp,
    last: Option<Timestamp>,
    /// The receiver and the time of the first report since its last answer.
    unanswered: Option<(VmId, Timestamp)>,
    /// Whether receivers were silent until the shares expired, and none has answered since.
    is_alone: bool,
}

/// What a node sends to another one, or does by itself.
#[derive(Debug, PartialEq)]
pub enum ShareAction {
    /// Sends this node's counts to the node that shares the service.
    Report(VmId, ServiceId, CallReport),
    /// Sends the shares of a service to a node that reported.
    Tell(VmId, ServiceId, CallShares),
    /// The node that shares a service did not answer and is passed over for a while.
    Silent(VmId, ServiceId),
    /// An organisation's share has changed at this node.
    Changed(ShareChange),
}

/// The fleet as a node sees it.
pub trait SharingFleet {
    /// The other nodes that are alive.
    fn others(&self) -> impl Iterator<Item = &VmId>;
}

/// The shares of plain services at one node.
#[derive(Debug)]
pub struct PlainShares {
    own: VmId,
    windows: CallWindows,
    open: HashMap<RunId, OpenCall>,
    admission: CallAdmission,
    reporting: BTreeMap<ServiceId, Reporting>,
    sharers: BTreeMap<ServiceId, CallSharer>,
    /// Nodes that left reports unanswered, and until when they are passed over.
    avoided: HashMap<VmId, Timestamp>,
    last_cleanup: Timestamp,
}

/// Interval at which organisations that no longer use a service are forgotten.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

impl PlainShares {
    /// Creates the state of a node without calls.
    pub fn new(own: VmId) -> Self {
        let phase = (rendezvous::weight("admission", &own) >> 11) as f64 / (1_u64 << 53) as f64;
        PlainShares {
            own,
            windows: CallWindows::new(),
            open: HashMap::new(),
            admission: CallAdmission::new(phase),
            reporting: BTreeMap::new(),
            sharers: BTreeMap::new(),
            avoided: HashMap::new(),
            last_cleanup: Timestamp::ZERO,
        }
    }

    /// Counts a call that arrived, and admits it or returns the time after which its caller should retry.
    pub fn on_call(
        &mut self,
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        priority: u8,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let window = match self.windows.get_mut(service) {
            Some(window) => window,
            None => self.windows.entry(service.clone()).or_default(),
        };
        window.on_call(organisation, priority, now);
        organisation.map_or(Ok(()), |organisation| self.admission.admit(service, organisation, now))
    }

    /// A call was placed at a replica; `objective` is the latency within which it should be answered.
    pub fn on_placed(&mut self, run: RunId, service: &ServiceId, objective: Duration, now: Timestamp) {
        self.open.insert(run, OpenCall { service: service.clone(), placed_at: now, objective });
    }

    /// A call has left its replica, which turned it away or not.
    pub fn on_ended(&mut self, run: RunId, turned_away: bool, now: Timestamp) {
        let Some(call) = self.open.remove(&run) else {
            return;
        };
        if let Some(window) = self.windows.get_mut(&call.service) {
            let after = now.saturating_sub(call.placed_at);
            let end = if turned_away { CallEnd::TurnedAway } else { CallEnd::Answered(after) };
            window.on_end(end, call.objective, now);
        }
    }

    /// A call was withdrawn from its replica, which shows nothing about the replica.
    pub fn on_withdrawn(&mut self, run: RunId) {
        self.open.remove(&run);
    }

    /// Handles another node's report.
    pub fn on_report(&mut self, from: &VmId, service: ServiceId, report: CallReport, now: Timestamp) {
        self.sharers.entry(service).or_default().on_report(from, report, now);
    }

    /// Handles the shares that the node that shares a service has decided.
    pub fn on_shares(&mut self, service: &ServiceId, shares: CallShares, now: Timestamp) -> Vec<ShareChange> {
        if let Some(reporting) = self.reporting.get_mut(service) {
            reporting.unanswered = None;
            reporting.is_alone = false;
        }
        self.admission.on_shares(service, shares, now)
    }

    /// Does the periodic work, some times in a window.
    pub fn tick(&mut self, fleet: &impl SharingFleet, now: Timestamp) -> Vec<ShareAction> {
        let mut actions: Vec<ShareAction> =
            self.admission.expire(now).into_iter().map(ShareAction::Changed).collect();
        self.note_shortages(now);
        self.report(fleet, now, &mut actions);
        self.share(fleet, now, &mut actions);
        self.clean_up(now);
        actions
    }

    fn note_shortages(&mut self, now: Timestamp) {
        for (service, window) in &mut self.windows {
            let is_short = self.admission.is_short(service, now);
            if is_short || window.is_shared() && window.looks_short(now) {
                let reporting = self.reporting.entry(service.clone());
                let reporting = reporting.or_insert_with(|| Reporting { since: now, ..Reporting::default() });
                reporting.until = now + REPORT_FOR;
            }
            let reporting = self.reporting.get(service);
            let for_long = reporting.is_some_and(|reporting| reporting.since + UNUSUAL_FOR <= now);
            window.learn_usual(reporting.is_some(), for_long, now);
        }
        self.reporting.retain(|_, reporting| now < reporting.until);
    }

    fn report(&mut self, fleet: &impl SharingFleet, now: Timestamp, actions: &mut Vec<ShareAction>) {
        self.avoided.retain(|_, until| now < *until);
        for (service, reporting) in &mut self.reporting {
            if let Some((silent, _)) = reporting.unanswered.take_if(|(_, since)| *since + SILENT_AFTER <= now)
            {
                reporting.is_alone |= !self.admission.is_short(service, now);
                self.avoided.insert(silent.clone(), now + AVOID_SILENT_FOR);
                actions.push(ShareAction::Silent(silent, service.clone()));
            }
            if reporting.last.is_some_and(|last| now < last + REPORT_INTERVAL) {
                continue;
            }
            let Some(window) = self.windows.get(service) else {
                continue;
            };
            reporting.last = Some(now);
            let report = window.report(self.admission.is_short(service, now), now);
            let others = fleet.others().filter(|node| !self.avoided.contains_key(*node));
            let sharer = rendezvous::pick(service, others.chain(std::iter::once(&self.own)));
            let sharer = sharer.unwrap_or(&self.own).clone();
            if sharer == self.own || reporting.is_alone {
                let own = self.sharers.entry(service.clone()).or_default();
                own.on_report(&self.own, report.clone(), now);
            }
            if sharer != self.own {
                reporting.unanswered.get_or_insert((sharer.clone(), now));
                actions.push(ShareAction::Report(sharer, service.clone(), report));
            }
        }
    }

    /// Decides the shares of the services that this node shares, or that no other node does.
    fn share(&mut self, fleet: &impl SharingFleet, now: Timestamp, actions: &mut Vec<ShareAction>) {
        let mut own_shares = Vec::new();
        for (service, sharer) in &mut self.sharers {
            let is_alone = self.reporting.get(service).is_some_and(|reporting| reporting.is_alone);
            let nodes = if is_alone { 1 } else { fleet.others().count() + 1 };
            let Some((shares, receivers)) = sharer.decide(nodes, now) else {
                continue;
            };
            for node in receivers {
                if node == self.own {
                    own_shares.push((service.clone(), shares.clone()));
                } else {
                    actions.push(ShareAction::Tell(node, service.clone(), shares.clone()));
                }
            }
        }
        self.sharers.retain(|_, sharer| !sharer.is_idle());
        for (service, shares) in own_shares {
            let changes = self.admission.on_shares(&service, shares, now);
            actions.extend(changes.into_iter().map(ShareAction::Changed));
        }
    }

    fn clean_up(&mut self, now: Timestamp) {
        if now < self.last_cleanup + CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        self.windows.values_mut().for_each(|window: &mut CallWindow| window.forget_idle(now));
    }
}
