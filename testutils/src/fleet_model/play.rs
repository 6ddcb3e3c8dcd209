//! Plays a modelled day.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::waiting;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::engine_model::EngineEvent;
use crate::engine_model::EngineModel;
use crate::engine_model::Submission;
use crate::fleet_model::experiment::Experiment;
use crate::fleet_model::experiment::Reclaims;
use crate::fleet_model::lead::Answer;
use crate::fleet_model::lead::Ask;
use crate::fleet_model::lead::Lead;
use crate::fleet_model::lead::key;
use crate::fleet_model::tally::Got;
use crate::fleet_model::tally::Outcome;
use crate::fleet_model::tally::Tally;
use crate::lengths;

/// When the day begins: clocks of a fleet don't start at 0.
const START: Duration = Duration::from_secs(100);
/// Time between two looks of the lead.
const TICK: Duration = Duration::from_millis(100);
/// The lead hears how far generations are once in so many ticks.
const TICKS_PER_INVENTORY: u64 = 10;
/// What a stream pauses for when it goes on at another engine.
const SWITCH: Duration = Duration::from_millis(20);
/// Attempts of a caller: it comes back once after a refusal.
const ATTEMPTS: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Callers of a kind.
    Arrives(usize),
    /// A caller that was refused.
    Returns(RunId),
    /// A caller that has had no event goes.
    Leaves(RunId),
    /// A step of an engine is over.
    Stepped(usize),
    /// A generation's memory is at another engine.
    Copied {
        run: RunId,
        to: usize,
    },
    /// Engines are told that they end.
    Notice,
    /// An engine ends.
    Ends(usize),
    /// A new engine takes a place.
    Starts {
        place: usize,
    },
    Tick,
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Caller {
    kind: usize,
    size: GenerationSize,
    output: u32,
    came: Timestamp,
    attempts_left: u32,
    /// Where it runs.
    engine: Option<usize>,
    is_copied: bool,
    produced: u32,
    last_event: Option<Timestamp>,
    is_late: bool,
    has_paused: bool,
}

struct Engine {
    id: UpstreamId,
    place: usize,
    model: EngineModel,
    /// What the step brings that is under way.
    stepping: Option<Vec<EngineEvent>>,
    is_leaving: bool,
    is_gone: bool,
    link_free_at: Timestamp,
}

struct Play<'a> {
    experiment: &'a Experiment,
    lead: Lead,
    engines: Vec<Engine>,
    callers: BTreeMap<RunId, Caller>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    count: u64,
    now: Timestamp,
    ticks: u64,
    last_run: RunId,
    tally: Tally,
    rng: SmallRng,
}

/// Plays one day with a seed.
pub fn play(experiment: &Experiment, seed: u64) -> Tally {
    let mut play = Play {
        experiment,
        lead: Lead::new(&experiment.engines, experiment.policy),
        engines: Vec::new(),
        callers: BTreeMap::new(),
        events: BinaryHeap::new(),
        count: 0,
        now: START,
        ticks: 0,
        last_run: 0,
        tally: Tally { kinds: vec![Got::default(); experiment.kinds.len()], ..Tally::default() },
        rng: SmallRng::seed_from_u64(seed),
    };
    play.begin();
    while let Some(Reverse((at, _, event))) = play.events.pop() {
        play.now = at;
        play.handle(event);
    }
    play.tally
}

impl Play<'_> {
    fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn begin(&mut self) {
        for place in 0..self.experiment.engines.count {
            self.start_engine(place);
        }
        for kind in 0..self.experiment.kinds.len() {
            self.push(START, Event::Arrives(kind));
        }
        if let Some(reclaims) = &self.experiment.reclaims {
            self.push(START + Duration::from_secs_f64(reclaims.first_s), Event::Notice);
        }
        self.push(START, Event::Tick);
    }

    fn is_over(&self) -> bool {
        self.now >= START + Duration::from_secs_f64(self.experiment.seconds)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(kind) => self.arrives(kind),
            Event::Returns(run) => self.ask(run),
            Event::Leaves(run) => self.leaves(run),
            Event::Stepped(engine) => self.stepped(engine),
            Event::Copied { run, to } => self.copied(run, to),
            Event::Notice => self.notice(),
            Event::Ends(engine) => self.ends(engine),
            Event::Starts { place } => self.start_engine(place),
            Event::Tick => self.tick(),
        }
    }

    // Callers.

    fn arrives(&mut self, kind: usize) {
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

    fn ask(&mut self, run: RunId) {
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

    fn answered(&mut self, answer: Answer) {
        match answer {
            Answer::Placed(run, engine) => {
                let at = self.engine_at(&engine);
                self.run_at(run, at, false);
            }
            Answer::Refused(run, expected) => self.refused(run, expected),
            Answer::Waits => {}
        }
    }

    fn refused(&mut self, run: RunId, expected: Option<Duration>) {
        self.tally.refusals += 1;
        let Some(caller) = self.callers.get(&run) else { return };
        if caller.attempts_left == 0 {
            return self.over(run, Outcome::Refused);
        }
        let after = waiting::come_back_after(expected, &mut self.rng);
        self.push(self.now + after, Event::Returns(run));
    }

    fn leaves(&mut self, run: RunId) {
        let Some(caller) = self.callers.get(&run).filter(|caller| caller.last_event.is_none()) else {
            return;
        };
        if let Some(engine) = caller.engine {
            self.engines[engine].model.cancel(run);
        }
        self.over(run, Outcome::Left);
    }

    /// A request is over, whatever became of it.
    fn over(&mut self, run: RunId, outcome: Outcome) {
        if let Some(caller) = self.callers.remove(&run) {
            self.tally.kinds[caller.kind].add(outcome);
            self.lead.on_ended(run, self.now);
        }
    }

    // Engines.

    fn start_engine(&mut self, place: usize) {
        let at = self.engines.len();
        let id: UpstreamId = format!("engine-{at:05}").into();
        self.lead.on_entry(&id, false, self.now);
        self.engines.push(Engine {
            id,
            place,
            model: EngineModel::new(self.experiment.engines.config(place)),
            stepping: None,
            is_leaving: false,
            is_gone: false,
            link_free_at: self.now,
        });
    }

    fn engine_at(&self, id: &UpstreamId) -> usize {
        self.engines.iter().position(|engine| engine.id == *id).expect("the lead knows no others")
    }

    fn run_at(&mut self, run: RunId, engine: usize, is_copied: bool) {
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
        self.step(engine);
    }

    fn step(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        if it.stepping.is_some() || it.is_gone || it.model.is_idle() {
            return;
        }
        let outcome = it.model.step();
        it.stepping = Some(outcome.events);
        self.push(self.now + outcome.duration, Event::Stepped(engine));
    }

    fn stepped(&mut self, engine: usize) {
        if self.engines[engine].is_gone {
            return;
        }
        let mut has_room = false;
        for event in self.engines[engine].stepping.take().unwrap_or_default() {
            match event {
                EngineEvent::Token { generation, index } => {
                    has_room |= self.on_token(generation, engine, index as u32 + 1);
                }
                EngineEvent::Finished { generation, .. } => {
                    has_room = true;
                    self.finished(generation);
                }
                EngineEvent::Preempted { .. } => self.tally.preempted += 1,
                EngineEvent::PrefixStored { .. } | EngineEvent::PrefixEvicted { .. } => {}
            }
        }
        self.step(engine);
        if has_room {
            self.settle();
        }
    }

    /// A token was made; returns whether it was the first event's last one.
    fn on_token(&mut self, run: RunId, engine: usize, produced: u32) -> bool {
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
        let got = &mut self.tally.kinds[caller.kind];
        match caller.last_event {
            None => {
                got.first_events.push(self.now - caller.came);
                caller.is_late = self.now - caller.came > kind.objective();
            }
            Some(last) => {
                got.pauses = (got.pauses.0 + (self.now - last), got.pauses.1 + 1);
                caller.has_paused |= self.now - last > kind.gap();
            }
        }
        caller.last_event = Some(self.now);
        if is_first {
            self.lead.book.on_first_event(&key(run), self.now);
        }
        is_first
    }

    fn finished(&mut self, run: RunId) {
        let Some(caller) = self.callers.get(&run) else { return };
        let outcome = match caller {
            Caller { is_late: true, .. } => Outcome::Late,
            Caller { has_paused: true, .. } => Outcome::Paused,
            _ => Outcome::InTime,
        };
        self.over(run, outcome);
    }

    // Reclaims and moves.

    fn notice(&mut self) {
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
            self.lead.on_entry(&id, true, self.now);
            self.push(self.now + Duration::from_secs_f64(notice_s), Event::Ends(engine));
            self.push(self.now + Duration::from_secs_f64(replaced_after_s), Event::Starts { place });
            self.empty(engine);
        }
    }

    /// Has generations of an engine that leaves go, the worth-most first.
    fn empty(&mut self, engine: usize) {
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
    fn copy(&mut self, run: RunId, from: usize) -> bool {
        let Some(caller) = self.callers.get(&run) else { return false };
        let (produced, tokens) = (caller.produced, caller.size.prompt + caller.produced);
        self.lead.book.on_progress(&key(run), produced, self.now);
        let id = self.engines[from].id.clone();
        let Some(target) = self.lead.choose_target(run, &id, self.now, &mut self.rng) else {
            return false;
        };
        self.callers.entry(run).and_modify(|caller| caller.is_copied = true);
        let to = self.engine_at(&target);
        let takes = self.lead.copy_time(tokens);
        let begins = self.now.max(self.engines[from].link_free_at).max(self.engines[to].link_free_at);
        let done = begins + takes;
        self.engines[from].link_free_at = done;
        self.engines[to].link_free_at = done;
        self.push(done + SWITCH, Event::Copied { run, to });
        true
    }

    fn copied(&mut self, run: RunId, to: usize) {
        let Some(caller) = self.callers.get_mut(&run) else { return };
        caller.is_copied = false;
        let Some(from) = caller.engine else { return };
        self.lead.book.on_copied(&key(run));
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

    fn ends(&mut self, engine: usize) {
        self.engines[engine].is_gone = true;
        let there = self.callers.iter().filter(|(_, caller)| caller.engine == Some(engine));
        let there: Vec<RunId> = there.map(|(run, _)| *run).collect();
        for run in there {
            self.over(run, Outcome::Broken);
        }
    }

    // The lead's looks.

    fn settle(&mut self) {
        for answer in self.lead.settle(self.now, &mut self.rng) {
            self.answered(answer);
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_INVENTORY) {
            for (run, caller) in &self.callers {
                self.lead.book.on_progress(&key(*run), caller.produced, self.now);
            }
        }
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_leaving && !self.engines[engine].is_gone {
                self.empty(engine);
            }
        }
        self.settle();
        for relief in self.lead.reliefs(self.now) {
            let from = self.engine_at(&relief.from);
            self.copy(relief.key.run, from);
        }
        self.note_fills();
        if !self.is_over() || !self.callers.is_empty() {
            self.push(self.now + TICK, Event::Tick);
        }
    }

    fn note_fills(&mut self) {
        for engine in self.engines.iter().filter(|engine| !engine.is_leaving) {
            let load = engine.model.load();
            self.tally.fills.0 += load.used_blocks as f64 / load.total_blocks as f64;
            self.tally.fills.1 += 1;
        }
    }
}
