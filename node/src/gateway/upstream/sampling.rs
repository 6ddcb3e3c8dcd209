//! Reports to the control loop how replicas of services under upgrade respond.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::Measure;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::upgrade::Admission;

use crate::gateway::messages::AnswerSample;
use crate::gateway::messages::ToControl;
use crate::gateway::request::CallerRequest;
use crate::gateway::upstream::traffic::Traffic;

impl Traffic {
    /// Records how long a replica took to answer a request, or that it answered with an error of its own.
    pub fn sample_answer(
        &self,
        req: &CallerRequest,
        replica: &ReplicaRecord,
        is_error: bool,
        took: Duration,
    ) {
        let sample = if is_error { Sample::Failed } else { Sample::Took(Measure::Answer, took) };
        self.sample(req, replica, took, sample);
    }

    /// Records the pace at which a replica produced a stream's events.
    pub fn sample_pace(&self, req: &CallerRequest, replica: &ReplicaRecord, pace: Duration) {
        self.sample(req, replica, req.received_at.elapsed(), Sample::Took(Measure::Pace, pace));
    }

    /// Whether the version of a replica was rolled back, so that it receives no requests.
    pub fn is_reverted(&self, req: &CallerRequest, replica: &ReplicaRecord) -> bool {
        let upgrades = self.shared.upgrades();
        let upgrade = upgrades.of(&req.service);
        upgrade.is_some_and(|upgrade| upgrade.admission(&replica.version) == Admission::None)
    }

    /// `lasted` is the time since the request began.
    fn sample(&self, req: &CallerRequest, replica: &ReplicaRecord, lasted: Duration, sample: Sample) {
        let upgrades = self.shared.upgrades();
        let Some(upgrade) = upgrades.of(&req.service).filter(|upgrade| upgrade.stage.is_judged()) else {
            return;
        };
        let is_target = replica.version == upgrade.order.target;
        let side = if is_target { Side::Target } else { Side::Present };
        let began = self.shared.now().saturating_sub(lasted);
        let (service, route) = (req.service.clone(), req.route.name.clone());
        self.shared.notify(ToControl::Sampled(AnswerSample { service, route, side, began, sample }));
    }
}
