//! Reclaims of engines, and the copies of their generations to other engines.

use std::time::Duration;

use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::run_key::RunId;
use rand::seq::SliceRandom;

use crate::fleet_model::experiment::Reclaims;
use crate::fleet_model::lead::key;
use crate::fleet_model::report::Outcome;
use crate::fleet_model::simulation::Event;
use crate::fleet_model::simulation::Simulation;

/// Time for which a stream pauses when it is resumed at another engine.
const SWITCH_PAUSE: Duration = Duration::from_millis(20);

impl Simulation<'_> {
    pub(super) fn on_notice(&mut self) {
        let Some(reclaims) = &self.experiment.reclaims else { return };
        let Reclaims { every_s, share, notice_s, replaced_after_s, .. } = reclaims.clone();
        if self.is_over() {
            return;
        }
        self.push(self.now + Duration::from_secs_f64(every_s), Event::Notice);
        let mut staying: Vec<usize> =
            (0..self.engines.len()).filter(|at| !self.engines[*at].is_leaving).collect();
        staying.shuffle(&mut self.rng);
        let count = (self.experiment.engines.count as f64 * share).round() as usize;
        for engine in staying.into_iter().take(count) {
            self.engines[engine].is_leaving = true;
            let (id, place) = (self.engines[engine].id.clone(), self.engines[engine].place);
            self.lead.fleet.on_entry(&id, true, self.now);
            self.push(self.now + Duration::from_secs_f64(notice_s), Event::EngineEnd(engine));
            self.push(self.now + Duration::from_secs_f64(replaced_after_s), Event::EngineStart { place });
            self.evacuate(engine);
        }
    }

    /// Starts to copy generations off a leaving engine, the most valuable first.
    pub(super) fn evacuate(&mut self, engine: usize) {
        let mut runs: Vec<(u8, RunId)> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.engine == Some(engine) && caller.produced > 0 && !caller.is_copying)
            .map(|(run, caller)| (evacuation::rank(caller.size, caller.produced), *run))
            .collect();
        runs.sort_unstable();
        for (_, run) in runs {
            if !self.start_copy(run, engine) {
                return;
            }
        }
    }

    /// Starts to copy a generation to another engine; returns whether there is one for it.
    pub(super) fn start_copy(&mut self, run: RunId, from: usize) -> bool {
        let Some(caller) = self.callers.get(&run) else { return false };
        let (produced, tokens) = (caller.produced, caller.size.prompt + caller.produced);
        self.lead.fleet.load.on_progress(&key(run), produced, self.now);
        let id = self.engines[from].id.clone();
        let Some(target) = self.lead.fleet.choose_target(run, &id, self.now, &mut self.rng) else {
            return false;
        };
        self.callers.entry(run).and_modify(|caller| caller.is_copying = true);
        let to = self.engine_index(&target);
        let duration = self.lead.fleet.copy_time(tokens);
        let start = self.now.max(self.engines[from].link_free_at).max(self.engines[to].link_free_at);
        let done = start + duration;
        self.engines[from].link_free_at = done;
        self.engines[to].link_free_at = done;
        self.push(done + SWITCH_PAUSE, Event::Copied { run, to });
        true
    }

    pub(super) fn on_copied(&mut self, run: RunId, to: usize) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.is_copying = false;
        caller.is_moved = true;
        let Some(from) = caller.engine else { return };
        self.lead.fleet.load.on_copied(&key(run));
        if self.engines[to].is_gone {
            return self.finish(run, Outcome::Broken);
        }
        self.report.moved += 1;
        self.engines[from].model.cancel(run);
        self.start_run(run, to, true);
        if self.engines[from].is_leaving {
            self.evacuate(from);
        }
        if self.engines[to].is_leaving {
            self.evacuate(to);
        }
    }

    pub(super) fn on_engine_end(&mut self, engine: usize) {
        self.engines[engine].is_gone = true;
        let running = self.callers.iter().filter(|(_, caller)| caller.engine == Some(engine));
        let runs: Vec<RunId> = running.map(|(run, _)| *run).collect();
        for run in runs {
            self.finish(run, Outcome::Broken);
        }
    }
}
