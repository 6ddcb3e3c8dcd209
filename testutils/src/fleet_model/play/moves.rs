//! Engines that are taken away, and generations that are copied off them.

use std::time::Duration;

use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::run_key::RunId;
use rand::seq::SliceRandom;

use crate::fleet_model::experiment::Reclaims;
use crate::fleet_model::lead::key;
use crate::fleet_model::play::Event;
use crate::fleet_model::play::Play;
use crate::fleet_model::tally::Outcome;

/// What a stream pauses for when it goes on at another engine.
const SWITCH: Duration = Duration::from_millis(20);

impl Play<'_> {
    pub(super) fn notice(&mut self) {
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
            self.push(self.now + Duration::from_secs_f64(notice_s), Event::Ends(engine));
            self.push(self.now + Duration::from_secs_f64(replaced_after_s), Event::Starts { place });
            self.empty(engine);
        }
    }

    /// Has generations of an engine that leaves go, the worth-most first.
    pub(super) fn empty(&mut self, engine: usize) {
        let mut there: Vec<(u8, RunId)> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.engine == Some(engine) && caller.produced > 0 && !caller.is_copied)
            .map(|(run, caller)| (evacuation::rank(caller.size, caller.produced), *run))
            .collect();
        there.sort_unstable();
        for (_, run) in there {
            if !self.copy(run, engine) {
                return;
            }
        }
    }

    /// Begins to copy a generation away; returns whether it does.
    pub(super) fn copy(&mut self, run: RunId, from: usize) -> bool {
        let Some(caller) = self.callers.get(&run) else { return false };
        let (produced, tokens) = (caller.produced, caller.size.prompt + caller.produced);
        self.lead.fleet.book.on_progress(&key(run), produced, self.now);
        let id = self.engines[from].id.clone();
        let Some(target) = self.lead.fleet.choose_target(run, &id, self.now, &mut self.rng) else {
            return false;
        };
        self.callers.entry(run).and_modify(|caller| caller.is_copied = true);
        let to = self.engine_at(&target);
        let takes = self.lead.fleet.copy_time(tokens);
        let begins = self.now.max(self.engines[from].link_free_at).max(self.engines[to].link_free_at);
        let done = begins + takes;
        self.engines[from].link_free_at = done;
        self.engines[to].link_free_at = done;
        self.push(done + SWITCH, Event::Copied { run, to });
        true
    }

    pub(super) fn copied(&mut self, run: RunId, to: usize) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.is_copied = false;
        let Some(from) = caller.engine else { return };
        self.lead.fleet.book.on_copied(&key(run));
        if self.engines[to].is_gone {
            return self.over(run, Outcome::Broken);
        }
        self.tally.moved += 1;
        self.engines[from].model.cancel(run);
        self.run_at(run, to, true);
        if self.engines[from].is_leaving {
            self.empty(from);
        }
        if self.engines[to].is_leaving {
            self.empty(to);
        }
    }

    pub(super) fn ends(&mut self, engine: usize) {
        self.engines[engine].is_gone = true;
        let there = self.callers.iter().filter(|(_, caller)| caller.engine == Some(engine));
        let there: Vec<RunId> = there.map(|(run, _)| *run).collect();
        for run in there {
            self.over(run, Outcome::Broken);
        }
    }
}
