//! Callers: they come, are let in, wait or are refused, come back once, and leave.

use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::waiting;
use rand::RngExt;

use crate::fleet_model::lead::Answer;
use crate::fleet_model::lead::Ask;
use crate::fleet_model::play::Caller;
use crate::fleet_model::play::Event;
use crate::fleet_model::play::Play;
use crate::fleet_model::play::START;
use crate::fleet_model::tally::Outcome;
use crate::lengths;

/// Attempts of a caller: it comes back once after a refusal.
const ATTEMPTS: u32 = 2;

impl Play<'_> {
    pub(super) fn arrives(&mut self, kind: usize) {
        if self.is_over() {
            return;
        }
        let of = &self.experiment.kinds[kind];
        let per_second = of.per_second * self.experiment.rate_factor(self.now - START);
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
        let output = of.output.draw(&mut self.rng, of.most_output) as u32;
        let hint = (of.hint_spread * lengths::standard_normal(&mut self.rng)).exp();
        let expected = (f64::from(output) * hint).round().clamp(1.0, of.most_output as f64) as u32;
        let prompt = of.prompt.draw(&mut self.rng, of.most_prompt) as u32;
        let leaves_after = of.leaves_after();
        self.push(self.now + Duration::from_secs_f64(pause), Event::Arrives(kind));
        self.last_run += 1;
        let run = self.last_run;
        let caller = Caller {
            kind,
            size: GenerationSize { prompt, expected },
            output,
            came: self.now,
            attempts_left: ATTEMPTS,
            engine: None,
            is_copied: false,
            produced: 0,
            last_event: None,
            is_late: false,
            has_paused: false,
        };
        self.callers.insert(run, caller);
        self.push(self.now + leaves_after, Event::Leaves(run));
        self.ask(run);
    }

    pub(super) fn ask(&mut self, run: RunId) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.attempts_left -= 1;
        let kind = &self.experiment.kinds[caller.kind];
        let waited = self.now - caller.came;
        let ask = Ask {
            run,
            size: caller.size,
            priority: caller.kind as u8,
            patience: kind.objective().saturating_sub(waited),
            leaves_after: kind.leaves_after().saturating_sub(waited),
        };
        let answer = self.lead.ask(ask, self.now, &mut self.rng);
        self.answered(answer);
    }

    pub(super) fn answered(&mut self, answer: Answer) {
        match answer {
            Answer::Placed(run, engine) => {
                let at = self.engine_at(&engine);
                self.run_at(run, at, false);
            }
            Answer::Refused(run, expected) => self.refused(run, expected),
            Answer::Waits => {}
        }
    }

    pub(super) fn refused(&mut self, run: RunId, expected: Option<Duration>) {
        self.tally.refusals += 1;
        let Some(caller) = self.callers.get(&run) else { return };
        if caller.attempts_left == 0 {
            return self.over(run, Outcome::Refused);
        }
        let after = waiting::retry_delay(expected, &mut self.rng);
        self.push(self.now + after, Event::Returns(run));
    }

    pub(super) fn leaves(&mut self, run: RunId) {
        let Some(caller) = self.callers.get(&run).filter(|caller| caller.last_event.is_none()) else {
            return;
        };
        if let Some(engine) = caller.engine {
            self.engines[engine].model.cancel(run);
        }
        self.over(run, Outcome::Left);
    }

    /// A request is over, whatever became of it.
    pub(super) fn over(&mut self, run: RunId, outcome: Outcome) {
        if let Some(caller) = self.callers.remove(&run) {
            self.tally.kinds[caller.kind].add(outcome);
            self.lead.fleet.on_ended(run, self.now);
        }
    }
}
