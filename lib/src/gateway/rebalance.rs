//! Moves running generations from engines that fill up to engines with room, before the engine preempts
//! one of them: a move costs its caller some 20 ms, a preemption seconds.
//!
//! An engine is too full if its expected peak exceeds the limit for new generations. Judged by
//! near-term use instead, engines that have just been filled give some generations away again: in two
//! modelled fleets at 1.14 and 1.4 times their load there are 624 and 2,168 moves a day, compared with
//! 557 and 1,979 by the expected peak, with as many generations served.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::choice::MAX_EXPECTED_PEAK;
use crate::gateway::load::LoadTracker;
use crate::gateway::load::Run;
use crate::gateway::load::USUAL_REMAINING_TOKENS;
use crate::gateway::replica::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// An engine accepts a generation only up to this fill, so that none is passed on again and again.
const MAX_TARGET_FILL: f64 = 0.8;
/// An engine with this many more generations than another one gives one away even if both have room:
/// each running generation makes every step of its neighbours longer.
const MIN_RUN_DIFFERENCE: usize = 4;
/// Time between two passes, for each engine. A lead of a few engines checks them on each of its ticks,
/// a lead of 3,000 every 2.4 s, so that its work does not grow with their number.
const PASS_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(800);
/// Time before a generation is requested to move again: the time of a copy on a busy link.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum number of tokens that a generation must still be expected to produce for a move to pay off:
/// those of the time that it takes to copy a large one, at the usual pace.
const MIN_REMAINING_TOKENS: u32 = 100;

/// Cost of a move that keeps a generation's gaps within their objective: it occupies the links of two
/// engines for some tenths of a second, in which no engine that leaves can be evacuated over them.
const COST_PER_MOVE_MS: f64 = 1_000.0;

/// Largest loss by longer gaps at which a generation still moves only to even out the numbers of
/// generations: what those further runs cost a new one.
const MAX_LOSS_TO_BALANCE_RUNS_MS: f64 = 100.0;

/// A generation that should move away from its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RebalanceMove {
    /// The generation.
    pub key: RunKey,
    /// Its engine.
    pub from: UpstreamId,
}

/// Decides which generations move to balance the load of engines.
#[derive(Debug, Default)]
pub struct Rebalancer {
    requested: HashMap<RunKey, Timestamp>,
    next_pass: Timestamp,
}

/// The load of an engine.
struct Load<'a> {
    replica: &'a Replica,
    /// Part of its memory that is expected to be used soon.
    fill: f64,
    /// Largest part of its memory that is expected to be used.
    peak: f64,
    runs: usize,
    arriving: bool,
}

impl<'a> Load<'a> {
    fn new(tracker: &LoadTracker, replica: &'a Replica, traits: &EngineTraits) -> Self {
        let load = tracker.engine_load(replica);
        let (runs, arriving, fill) = (load.runs, load.arriving > 0, load.fill(traits));
        let peak = if tracker.policy.admit_by_peak { load.peak(traits) } else { fill };
        Load { replica, fill, peak, runs, arriving }
    }
}

/// Chance that a stream, which may run there, exceeds an objective at an engine before it has produced this
/// many tokens.
fn risk(
    tracker: &LoadTracker,
    load: &Load<'_>,
    stream: Option<&RunKey>,
    objective: Duration,
    tokens: u32,
) -> f64 {
    let others = tracker.endangered_at(&load.replica.record.id, stream);
    tracker.gap_risk(load.replica, objective).beside(others).over(tokens)
}

/// What a generation gains by a move for its gaps, in milliseconds; 0 if it has no objective to keep.
fn gain(tracker: &LoadTracker, key: &RunKey, run: &Run, source: &Load<'_>, target: &Load<'_>) -> f64 {
    let (Some(objective), Some(size), true) = (run.gap_objective, run.size, tracker.policy.protect_gaps)
    else {
        return 0.0;
    };
    let risk_at = |load| risk(tracker, load, Some(key), objective, run.remaining());
    (risk_at(source) - risk_at(target)) * tracker.loss_by_gap(&source.replica.record.service, size)
}

impl Rebalancer {
    /// Returns the generations that should move now, at most one for each pair of engines.
    pub fn due_moves<'a>(
        &mut self,
        tracker: &LoadTracker,
        engines: impl Iterator<Item = &'a Replica>,
        traits: &EngineTraits,
        now: Timestamp,
    ) -> Vec<RebalanceMove> {
        if now < self.next_pass {
            return Vec::new();
        }
        self.requested.retain(|_, at| *at + REQUEST_INTERVAL > now);
        let mut loads: Vec<Load<'_>> = engines.map(|replica| Load::new(tracker, replica, traits)).collect();
        self.next_pass = now + PASS_INTERVAL_PER_ENGINE * loads.len() as u32;
        loads.sort_by(|a, b| a.fill.total_cmp(&b.fill));
        let mut targets = loads.iter().filter(|load| !load.arriving && load.fill < MAX_TARGET_FILL);
        let mut moves = Vec::new();
        for source in loads.iter().rev() {
            let Some(target) = targets.next() else { break };
            let is_imbalanced = source.runs >= target.runs + MIN_RUN_DIFFERENCE;
            if source.peak <= MAX_EXPECTED_PEAK && !is_imbalanced {
                continue;
            }
            if self.has_pending_move(tracker, &source.replica.record.id) {
                continue;
            }
            let is_worth_it = |key: &RunKey, run: &Run| {
                source.peak > MAX_EXPECTED_PEAK
                    || gain(tracker, key, run, source, target) >= -MAX_LOSS_TO_BALANCE_RUNS_MS
            };
            if let Some(key) = self.pick_generation(tracker, source, target, traits, is_worth_it) {
                self.requested.insert(key.clone(), now);
                moves.push(RebalanceMove { key, from: source.replica.record.id.clone() });
            }
        }
        if tracker.policy.protect_gaps {
            self.add_moves_for_gaps(&mut moves, tracker, &loads, traits, now);
        }
        moves
    }

    /// Adds moves of generations whose gaps are likely to exceed their objective where they run and to keep
    /// it elsewhere, at most one for each pair of engines.
    fn add_moves_for_gaps(
        &mut self,
        moves: &mut Vec<RebalanceMove>,
        tracker: &LoadTracker,
        loads: &[Load<'_>],
        traits: &EngineTraits,
        now: Timestamp,
    ) {
        let objectives = loads.iter().flat_map(|load| tracker.runs_at(&load.replica.record.id));
        let Some(objective) = objectives.filter_map(|(_, run)| run.gap_objective).min() else {
            return;
        };
        let mut by_risk: Vec<(f64, &Load<'_>)> = loads
            .iter()
            .map(|load| (risk(tracker, load, None, objective, USUAL_REMAINING_TOKENS), load))
            .collect();
        by_risk.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let is_target = |load: &Load<'_>| !load.arriving && load.fill < MAX_TARGET_FILL;
        let mut targets = by_risk.iter().filter(|(_, load)| is_target(load)).peekable();
        for (risk, source) in by_risk.iter().rev() {
            let Some((target_risk, target)) = targets.peek() else { break };
            if target_risk >= risk {
                break;
            }
            let from = &source.replica.record.id;
            if self.has_pending_move(tracker, from) {
                continue;
            }
            if let Some(key) = self.pick_endangered(tracker, source, target, traits) {
                self.requested.insert(key.clone(), now);
                moves.push(RebalanceMove { key, from: from.clone() });
                targets.next();
            }
        }
    }

    /// The generation at an engine that gains most from a move to another one, if that pays off.
    fn pick_endangered(
        &self,
        tracker: &LoadTracker,
        source: &Load<'_>,
        target: &Load<'_>,
        traits: &EngineTraits,
    ) -> Option<RunKey> {
        let memory = f64::from(traits.memory_tokens.max(1));
        let gains = tracker.runs_at(&source.replica.record.id).filter_map(|(key, run)| {
            let is_movable = run.produced > 0
                && run.copied_from.is_none()
                && run.remaining() >= MIN_REMAINING_TOKENS
                && tracker.memory(run) / memory <= MAX_TARGET_FILL - target.fill;
            is_movable.then(|| (gain(tracker, key, run, source, target), key))
        });
        let (gain, key) = gains.max_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (gain > COST_PER_MOVE_MS).then(|| key.clone())
    }

    fn has_pending_move(&self, tracker: &LoadTracker, engine: &UpstreamId) -> bool {
        tracker.runs_at(engine).any(|(key, _)| self.requested.contains_key(key))
    }

    /// The generation with the most remaining tokens that fits into the target.
    fn pick_generation(
        &self,
        tracker: &LoadTracker,
        source: &Load<'_>,
        target: &Load<'_>,
        traits: &EngineTraits,
        is_worth_it: impl Fn(&RunKey, &Run) -> bool,
    ) -> Option<RunKey> {
        let memory = f64::from(traits.memory_tokens.max(1));
        let runs = tracker.runs_at(&source.replica.record.id).filter(|(key, run)| {
            run.produced > 0
                && run.copied_from.is_none()
                && !self.requested.contains_key(*key)
                && tracker.memory(run) / memory <= MAX_TARGET_FILL - target.fill
                && is_worth_it(key, run)
        });
        let remaining = runs.map(|(key, run)| (run.remaining(), key));
        let longest = remaining.max_by_key(|(remaining, _)| *remaining)?;
        (longest.0 >= MIN_REMAINING_TOKENS).then(|| longest.1.clone())
    }
}
