//! Engines: their steps, and the stream events that these produce for callers.

use std::time::Duration;

use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::ids::UpstreamId;
use rand::RngExt;

use crate::engine_model::EngineEvent;
use crate::engine_model::EngineModel;
use crate::engine_model::Submission;
use crate::fleet_model::lead::key;
use crate::fleet_model::report::Outcome;
use crate::fleet_model::simulation::Caller;
use crate::fleet_model::simulation::Engine;
use crate::fleet_model::simulation::Event;
use crate::fleet_model::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn start_engine(&mut self, place: usize) {
        let index = self.engines.len();
        let id: UpstreamId = format!("engine-{index:05}").into();
        self.lead.fleet.on_entry(&id, false, self.now);
        self.engines.push(Engine {
            id,
            place,
            model: EngineModel::new(self.experiment.engines.config(place)),
            current_step: None,
            is_leaving: false,
            is_gone: false,
            link_free_at: self.now,
        });
        self.on_moment(index);
    }

    /// Draws whether an engine is slow until the next moment.
    pub(super) fn on_moment(&mut self, index: usize) {
        let config = &self.experiment.engines;
        let (Some(moments), false) = (config.slow_moments, self.engines[index].is_gone) else { return };
        let usual = config.config(self.engines[index].place).slowdown;
        let is_slow = self.rng.random::<f64>() < moments.share;
        let factor = if is_slow { moments.factor } else { 1.0 };
        self.engines[index].model.set_slowdown(usual * factor);
        if !self.is_over() {
            self.push(self.now + Duration::from_millis(moments.moment_ms), Event::Moment(index));
        }
    }

    pub(super) fn engine_index(&self, id: &UpstreamId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.id == *id)
            .expect("the lead knows only engines of the fleet")
    }

    pub(super) fn start_run(&mut self, run: RunId, engine: usize, is_copied: bool) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.engine = Some(engine);
        let submission = Submission {
            generation: run,
            prompt_tokens: u64::from(caller.size.prompt),
            output_tokens: u64::from(caller.output),
            priority: 0,
            prefix: 0,
            prefix_tokens: 0,
        };
        let model = &mut self.engines[engine].model;
        if is_copied {
            model.submit_copied(submission, u64::from(caller.produced));
        } else {
            model.submit(submission);
        }
        self.start_step(engine);
    }

    pub(super) fn start_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.current_step.is_some() || engine.is_gone || engine.model.is_idle() {
            return;
        }
        let outcome = engine.model.step();
        engine.current_step = Some(outcome.events);
        self.push(self.now + outcome.duration, Event::StepDone(index));
    }

    pub(super) fn on_step_done(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        let mut has_room = false;
        for event in self.engines[engine].current_step.take().unwrap_or_default() {
            match event {
                EngineEvent::Token { generation, index } => {
                    has_room |= self.on_token(generation, engine, index as u32 + 1);
                }
                EngineEvent::Finished { generation, .. } => {
                    has_room = true;
                    self.on_finished(generation);
                }
                EngineEvent::Preempted { .. } => self.report.preempted += 1,
                EngineEvent::PrefixStored { .. } | EngineEvent::PrefixEvicted { .. } => {}
            }
        }
        self.start_step(engine);
        if has_room {
            self.settle();
        }
    }

    /// Handles a token; returns whether it completed the first event of its stream.
    pub(super) fn on_token(&mut self, run: RunId, engine: usize, produced: u32) -> bool {
        let per_event = self.experiment.engines.tokens_per_event;
        let Some(caller) = self.callers.get_mut(&run).filter(|caller| caller.engine == Some(engine)) else {
            return false;
        };
        caller.produced = caller.produced.max(produced);
        if !caller.produced.is_multiple_of(per_event) && caller.produced < caller.output {
            return false;
        }
        let kind = &self.experiment.kinds[caller.kind];
        let is_first = caller.last_event.is_none();
        let report = &mut self.report.kinds[caller.kind];
        match caller.last_event {
            None => {
                report.first_events.push(self.now - caller.arrived);
                caller.is_late = self.now - caller.arrived > kind.objective();
            }
            Some(last) => {
                let gap = self.now - last;
                report.gaps = (report.gaps.0 + gap, report.gaps.1 + 1);
                caller.longest_gap = caller.longest_gap.max(gap);
                if !std::mem::take(&mut caller.is_moved) {
                    caller.longest_gap_at_engine = caller.longest_gap_at_engine.max(gap);
                }
            }
        }
        caller.last_event = Some(self.now);
        if is_first {
            self.lead.fleet.load.on_first_event(&key(run), self.now);
        }
        is_first
    }

    pub(super) fn on_finished(&mut self, run: RunId) {
        let Some(caller) = self.callers.get(&run) else { return };
        let outcome = match caller {
            Caller { is_late: true, .. } => Outcome::Late,
            Caller { longest_gap, kind, .. } if *longest_gap > self.experiment.kinds[*kind].gap() => {
                Outcome::Paused
            }
            _ => Outcome::InTime,
        };
        self.finish(run, outcome);
    }
}
