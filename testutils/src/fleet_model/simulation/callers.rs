//! Callers: arrival, placement, refusal with one retry, and departure.

use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::waiting;
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
        let traits = &self.experiment.kinds[kind];
        let per_second = traits.per_second * self.experiment.rate_factor(self.now - START);
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
        let output = traits.output.draw(&mut self.rng, traits.most_output) as u32;
        let hint = (traits.hint_spread * lengths::standard_normal(&mut self.rng)).exp();
        let expected = (f64::from(output) * hint).round().clamp(1.0, traits.most_output as f64) as u32;
        let prompt = traits.prompt.draw(&mut self.rng, traits.most_prompt) as u32;
        let leaves_after = traits.leaves_after();
        self.push(self.now + Duration::from_secs_f64(interval), Event::Arrival(kind));
        self.last_run += 1;
        let run = self.last_run;
        let caller = Caller {
            kind,
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
        };
        self.callers.insert(run, caller);
        self.push(self.now + leaves_after, Event::Departure(run));
        self.place(run);
    }

    pub(super) fn place(&mut self, run: RunId) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.attempts_left -= 1;
        let kind = &self.experiment.kinds[caller.kind];
        let waited = self.now - caller.arrived;
        let request = PlacementRequest {
            run,
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
                let at = self.engine_index(&engine);
                self.start_run(run, at, false);
            }
            PlacementReply::Refused(run, expected) => self.on_refused(run, expected),
            PlacementReply::Queued => {}
        }
    }

    pub(super) fn on_refused(&mut self, run: RunId, expected: Option<Duration>) {
        self.report.refusals += 1;
        let Some(caller) = self.callers.get(&run) else { return };
        if caller.attempts_left == 0 {
            return self.finish(run, Outcome::Refused);
        }
        let delay = waiting::retry_delay(expected, &mut self.rng);
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
            self.lead.fleet.on_ended(run, self.now);
        }
    }
}
