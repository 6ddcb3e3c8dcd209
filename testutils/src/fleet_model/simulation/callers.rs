//! Callers: arrival, placement, refusal with one retry, and departure.

use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::waiting;
use leadstage_lib::gateway::waiting::NoRoom;
use rand::RngExt;

use crate::fleet_model::lead::PlacementReply;
use crate::fleet_model::lead::PlacementRequest;
use crate::fleet_model::report::Outcome;
use crate::fleet_model::simulation::Caller;
use crate::fleet_model::simulation::Event;
use crate::fleet_model::simulation::START;
use crate::fleet_model::simulation::Simulation;
use crate::lengths;

/// Maximum attempts of a caller, which retries once after a refusal.
const MAX_ATTEMPTS: u32 = 2;

impl Simulation<'_> {
    pub(super) fn on_arrival(&mut self, kind: usize) {
        if self.is_over() {
            return;
        }
        let per_second =
            self.experiment.kinds[kind].per_second * self.experiment.rate_factor(self.now - START);
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
        let organisation = self.experiment.organisations.as_ref().map(|organisations| {
            let mut left = self.rng.random::<f64>();
            let at = organisations.parts.iter().position(|part| {
                left -= part;
                left < 0.0
            });
            at.unwrap_or(organisations.parts.len() - 1)
        });
        let caller = self.new_caller(kind, organisation);
        self.push(self.now + Duration::from_secs_f64(interval), Event::Arrival(kind));
        self.admit(caller);
    }

    pub(super) fn on_flood_arrival(&mut self, kind: usize) {
        let experiment = self.experiment;
        let Some((organisations, flood)) = experiment.organisations.as_ref().zip(experiment.flood()) else {
            return;
        };
        if self.now - START >= Duration::from_secs_f64(flood.until_s) {
            return;
        }
        let usual = experiment.kinds[kind].per_second * organisations.parts[flood.organisation];
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / (usual * (flood.factor - 1.0));
        self.push(self.now + Duration::from_secs_f64(interval), Event::FloodArrival(kind));
        let caller = self.new_caller(kind, Some(flood.organisation));
        self.admit(Caller { is_flood: true, ..caller });
    }

    fn new_caller(&mut self, kind: usize, organisation: Option<usize>) -> Caller {
        let traits = &self.experiment.kinds[kind];
        let output = traits.output.draw(&mut self.rng, traits.most_output) as u32;
        let hint = (traits.hint_spread * lengths::standard_normal(&mut self.rng)).exp();
        let expected = (f64::from(output) * hint).round().clamp(1.0, traits.most_output as f64) as u32;
        let prompt = traits.prompt.draw(&mut self.rng, traits.most_prompt) as u32;
        Caller {
            kind,
            organisation,
            is_flood: false,
            is_queued: false,
            size: GenerationSize { prompt, expected },
            output,
            arrived: self.now,
            attempts_left: MAX_ATTEMPTS,
            engine: None,
            is_copying: false,
            produced: 0,
            last_event: None,
            is_late: false,
            longest_gap: Duration::ZERO,
            longest_gap_at_engine: Duration::ZERO,
            is_moved: false,
        }
    }

    fn admit(&mut self, caller: Caller) {
        let leaves_after = self.experiment.kinds[caller.kind].leaves_after();
        self.last_run += 1;
        let run = self.last_run;
        self.callers.insert(run, caller);
        self.push(self.now + leaves_after, Event::Departure(run));
        self.place(run);
    }

    /// Another node takes over as the lead, and the nodes place again what waited at the old one.
    pub(super) fn on_take_over(&mut self) {
        self.lead.take_over(self.now);
        let queued: Vec<RunId> =
            self.callers.iter().filter(|(_, caller)| caller.is_queued).map(|(run, _)| *run).collect();
        queued.into_iter().for_each(|run| self.request_place(run));
    }

    pub(super) fn place(&mut self, run: RunId) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.attempts_left -= 1;
        self.request_place(run);
    }

    fn request_place(&mut self, run: RunId) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.is_queued = true;
        let kind = &self.experiment.kinds[caller.kind];
        let waited = self.now - caller.arrived;
        let request = PlacementRequest {
            run,
            organisation: caller.organisation.map(|at| format!("org-{at}").into()),
            size: caller.size,
            priority: caller.kind as u8,
            first_event_due_in: kind.objective().saturating_sub(waited),
            leaves_after: kind.leaves_after().saturating_sub(waited),
            gap_objective: kind.gap(),
        };
        let reply = self.lead.place(request, self.now, &mut self.rng);
        self.on_reply(reply);
    }

    pub(super) fn on_reply(&mut self, reply: PlacementReply) {
        match reply {
            PlacementReply::Placed(run, engine) => {
                self.set_dequeued(run);
                let at = self.engine_index(&engine);
                self.start_run(run, at, false);
            }
            PlacementReply::Refused(run, no_room) => self.on_refused(run, no_room),
            PlacementReply::Queued => {}
        }
    }

    fn set_dequeued(&mut self, run: RunId) {
        if let Some(caller) = self.callers.get_mut(&run) {
            caller.is_queued = false;
        }
    }

    pub(super) fn on_refused(&mut self, run: RunId, no_room: NoRoom) {
        self.set_dequeued(run);
        self.report.refusals += 1;
        let Some(caller) = self.callers.get(&run) else { return };
        if caller.attempts_left == 0 {
            return self.finish(run, Outcome::Refused);
        }
        let delay = waiting::retry_delay_for(no_room, &mut self.rng);
        self.push(self.now + delay, Event::Retry(run));
    }

    pub(super) fn on_departure(&mut self, run: RunId) {
        let Some(caller) = self.callers.get(&run).filter(|caller| caller.last_event.is_none()) else {
            return;
        };
        if let Some(engine) = caller.engine {
            self.engines[engine].model.cancel(run);
        }
        self.finish(run, Outcome::Left);
    }

    /// Ends a request and records its outcome.
    pub(super) fn finish(&mut self, run: RunId, outcome: Outcome) {
        if let Some(caller) = self.callers.remove(&run) {
            self.report.kinds[caller.kind].add(outcome);
            if caller.is_flood {
                self.report.flood.add(outcome);
            } else if let Some(organisation) = caller.organisation {
                self.report.organisations[organisation].add(outcome);
            }
            self.lead.fleet.on_ended(run, self.now);
        }
    }
}
