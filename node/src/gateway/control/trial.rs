//! State of a node in the trial of a new version: its own counts, its reports to the judges, and the
//! reports that it received as a judge.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::stage_history::StageHistory;
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

/// Prefix of the key, followed by the service's name, by which the judges of a service's upgrade are
/// ranked.
const JUDGE_KEY_PREFIX: &str = "judge of ";
/// How long a node that received a report acts as a judge, even if it does not rank itself among the
/// judges.
const JUDGE_DUTY_TIME: Duration = Duration::from_secs(2);

/// The trial of one order.
pub struct Trial {
    service: ServiceId,
    /// When this node learned of the order.
    since: Timestamp,
    /// The order.
    pub order: UpgradeOrder,
    /// The stages that this node learned of.
    pub stages: StageHistory,
    own: AnswerCounts,
    counted: SampleCount,
    reports: TrialReports,
    evidence: TrialEvidence,
    /// When another node last sent a report to this one.
    last_report_received: Option<Timestamp>,
    /// Time from the order to the newest report that a judge acknowledged.
    judged_as_of: Duration,
}

impl Trial {
    /// Creates a trial without samples.
    pub fn new(service: ServiceId, order: UpgradeOrder, since: Timestamp) -> Self {
        Trial {
            service,
            since,
            order,
            stages: StageHistory::default(),
            own: AnswerCounts::default(),
            counted: 0,
            reports: TrialReports::default(),
            evidence: TrialEvidence::default(),
            last_report_received: None,
            judged_as_of: Duration::ZERO,
        }
    }

    fn id(&self) -> TrialId {
        TrialId { service: self.service.clone(), made: self.order.made }
    }

    /// Whether `id`, from a message, names this trial.
    pub fn has_id(&self, id: &TrialId) -> bool {
        self.order.made == id.made
    }

    /// A replica answered a request of this node.
    pub fn on_sample(&mut self, AnswerSample { route, side, began, sample, .. }: AnswerSample) {
        self.own.on_sample(&route, self.stages.phase_at(began), side, sample);
        self.counted += 1;
    }

    /// Adds another node's report, and acknowledges it.
    pub fn on_report(&mut self, fleet: &Fleet, from: VmId, report: CountsReport, now: Timestamp) {
        self.last_report_received = Some(now);
        if let Some(address) = address_of(&from) {
            fleet.send(address, &PeerMessage::CountsTaken(report.id));
        }
        self.evidence.add_report(from, report.report);
    }

    /// A judge acknowledged a report of this node.
    pub fn on_acknowledged(&mut self, judge: &VmId, report: &ReportId) {
        self.reports.on_acknowledged(judge, report.counted);
        self.judged_as_of = self.judged_as_of.max(report.as_of);
    }

    /// Returns the time until which this node may assume that a judge has its samples and that it knows the
    /// judges' decisions.
    pub fn judged_until(&self, fleet: &Fleet, upgrade: &Upgrade, now: Timestamp) -> Timestamp {
        let max_report_age = trial_reports::max_report_age(fleet.nodes());
        if fleet.is_alone() {
            now + max_report_age
        } else {
            upgrade.began + self.judged_as_of + max_report_age
        }
    }

    /// Sends the reports that are due to the judges; returns whether this node is a judge.
    pub fn report(&mut self, fleet: &Fleet, upgrade: &Upgrade, started: UnixMillis, now: Timestamp) -> bool {
        let pending = Pending {
            counted: self.counted,
            nodes: fleet.nodes(),
            since: self.since,
            switch_report_at: upgrade_judge::switch_report_at(upgrade),
        };
        let key = format!("{JUDGE_KEY_PREFIX}{}", self.service);
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
        judges || self.last_report_received.is_some_and(|received| received + JUDGE_DUTY_TIME > now)
    }

    /// The counts of all nodes, as far as this node knows them.
    pub fn all(&self) -> AnswerCounts {
        self.evidence.all(&self.own)
    }

    /// How much of the fleet recent reports cover.
    pub fn coverage(&self, fleet: &Fleet, upgrade: &Upgrade, now: Timestamp) -> Coverage {
        let since = upgrade_judge::report_cutoff(upgrade, fleet.nodes(), now);
        self.evidence.coverage(&fleet.fleet_view(), since)
    }

    /// Number of nodes whose counts are known, this one included.
    pub fn nodes(&self) -> usize {
        self.evidence.nodes() + 1
    }
}
