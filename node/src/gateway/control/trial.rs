//! What a node has counted in the trial of a new version, what it has told the judges, and what it has heard as one of them.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::trial_evidence::TrialEvidence;
use leadstage_lib::gateway::trial_evidence::TrialReport;
use leadstage_lib::gateway::trial_reports;
use leadstage_lib::gateway::trial_reports::Due;
use leadstage_lib::gateway::trial_reports::Pending;
use leadstage_lib::gateway::trial_reports::SampleCount;
use leadstage_lib::gateway::trial_reports::TrialReports;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade_judge;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UnixMillis;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;

use crate::gateway::messages::AnswerSample;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::peer_message::CountsReport;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::ReportId;
use crate::gateway::peers::peer_message::TrialId;

/// What the judges of a service's upgrade are hashed by, before the service's name.
const JUDGE: &str = "judge of ";
/// Whoever was sent a report judges for so long, whatever it thinks of the other nodes.
const ASKED_FOR: Duration = Duration::from_secs(2);

/// What is counted for one order.
pub struct Trial {
    service: ServiceId,
    /// When this node learnt of it.
    since: Timestamp,
    /// The order.
    pub order: UpgradeOrder,
    own: AnswerCounts,
    counted: SampleCount,
    reports: TrialReports,
    evidence: TrialEvidence,
    /// When another node last reported to this one.
    asked: Option<Timestamp>,
    /// Time from the order to the last report that a judge has.
    judged_as_of: Duration,
}

impl Trial {
    /// Nothing is counted yet.
    pub fn new(service: ServiceId, order: UpgradeOrder, since: Timestamp) -> Self {
        Trial {
            service,
            since,
            order,
            own: AnswerCounts::default(),
            counted: 0,
            reports: TrialReports::default(),
            evidence: TrialEvidence::default(),
            asked: None,
            judged_as_of: Duration::ZERO,
        }
    }

    fn id(&self) -> TrialId {
        TrialId { service: self.service.clone(), made: self.order.made }
    }

    /// Whether it is the trial that a message names.
    pub fn is(&self, id: &TrialId) -> bool {
        self.order.made == id.made
    }

    /// A replica answered a request of this node.
    pub fn on_sample(&mut self, AnswerSample { route, side, sample, .. }: AnswerSample) {
        self.own.on_sample(&route, side, sample);
        self.counted += 1;
    }

    /// Another node reports, and is told that its report has come.
    pub fn on_report(&mut self, fleet: &Fleet, from: VmId, report: CountsReport, now: Timestamp) {
        self.asked = Some(now);
        if let Some(address) = address_of(&from) {
            fleet.send(address, &PeerMessage::CountsTaken(report.id));
        }
        self.evidence.add_report(from, report.report);
    }

    /// A judge has a report of this node.
    pub fn on_acknowledged(&mut self, judge: &VmId, report: &ReportId) {
        self.reports.on_acknowledged(judge, report.counted);
        self.judged_as_of = self.judged_as_of.max(report.as_of);
    }

    /// Whether what this node sees is known to a judge, and what judges find to this node: until when it may be
    /// taken to be so.
    pub fn is_judged_until(&self, fleet: &Fleet, upgrade: &Upgrade, now: Timestamp) -> Timestamp {
        let max_report_age = trial_reports::max_report_age(fleet.nodes());
        if fleet.is_alone() {
            now + max_report_age
        } else {
            upgrade.began + self.judged_as_of + max_report_age
        }
    }

    /// Reports to the judges what is due; returns whether this node is one of them.
    pub fn report(&mut self, fleet: &Fleet, upgrade: &Upgrade, started: UnixMillis, now: Timestamp) -> bool {
        let pending = Pending {
            counted: self.counted,
            nodes: fleet.nodes(),
            since: self.since,
            switch_report_at: upgrade_judge::switch_report_at(upgrade),
        };
        let key = format!("{JUDGE}{}", self.service);
        let nodes = fleet.alive().chain(std::iter::once(fleet.own()));
        let ranked = rendezvous::ranked(&key, nodes, trial_reports::CANDIDATES);
        let Due { to, judges } = self.reports.due(&ranked, fleet.own(), &pending, now);
        if !to.is_empty() {
            let as_of = now.saturating_sub(upgrade.began);
            let report = TrialReport { started, as_of, counts: self.own.clone() };
            let id = ReportId { trial: self.id(), counted: self.counted, as_of };
            let message = PeerMessage::AnswerCounts(CountsReport { id, report });
            to.iter().filter_map(address_of).for_each(|judge| fleet.send(judge, &message));
        }
        judges || self.asked.is_some_and(|asked| asked + ASKED_FOR > now)
    }

    /// All counts that this node knows.
    pub fn all(&self) -> AnswerCounts {
        self.evidence.all(&self.own)
    }

    /// How much of the fleet it has heard of late.
    pub fn coverage(&self, fleet: &Fleet, upgrade: &Upgrade, now: Timestamp) -> Coverage {
        let since = upgrade_judge::report_cutoff(upgrade, fleet.nodes(), now);
        self.evidence.coverage(&fleet.fleet_view(), since)
    }

    /// Nodes that it has heard, itself included.
    pub fn nodes(&self) -> usize {
        self.evidence.nodes() + 1
    }
}
