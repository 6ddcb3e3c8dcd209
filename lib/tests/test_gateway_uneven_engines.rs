//! Placing and moving long streams on engines of different speed.

use std::time::Duration;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::ids::HallId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_replicas::record;

const START: Duration = Duration::from_secs(100);
/// Time for which the engines were observed.
const OBSERVED: Duration = Duration::from_secs(40);
const NOW: Duration = START.saturating_add(OBSERVED);
const OBJECTIVE: Option<Duration> = Some(Duration::from_millis(180));
const LONG: GenerationSize = GenerationSize { prompt: 3_000, expected: 900 };
const SHORT: GenerationSize = GenerationSize { prompt: 3_000, expected: 12 };
/// Milliseconds per token of an engine that keeps the objective, and of one that exceeds it in slow moments
/// beside prompts.
const FAST_MS: f64 = 6.0;
const SLOW_MS: f64 = 13.0;

fn traits() -> EngineTraits {
    EngineTraits {
        batch: 24,
        memory_tokens: 34_000,
        bytes_per_token: 300_000,
        link_bits_per_second: 47e9,
        moves: true,
        backups: true,
        tokens_per_event: 4,
    }
}

fn key(run: RunId) -> RunKey {
    RunKey { entry: "n".into(), run }
}

struct Fleet {
    table: ReplicaTable,
    tracker: LoadTracker,
    last_run: RunId,
}

impl Fleet {
    /// Engines that were observed with these times per token. Each had a stream, and a prompt in every second
    /// second; in one of eight seconds they were 2.5 times slower.
    fn observed(policy: Policy, engines: &[(&str, f64)]) -> Fleet {
        let mut table = ReplicaTable::default();
        table.on_list(engines.iter().map(|(id, _)| record(id, false)).collect(), None, Duration::ZERO);
        let mut fleet = Fleet { table, tracker: LoadTracker::new(policy), last_run: 0 };
        let streams: Vec<RunId> = engines.iter().map(|(id, _)| fleet.add(id, LONG, 4, None)).collect();
        for second in 1..=OBSERVED.as_secs() {
            let now = START + Duration::from_secs(second);
            for (run, (engine, ms_per_token)) in streams.iter().zip(engines) {
                fleet.observe(*run, engine, *ms_per_token, second, now);
            }
        }
        for run in streams {
            fleet.tracker.remove(&key(run));
        }
        fleet
    }

    fn observe(&mut self, run: RunId, engine: &str, ms_per_token: f64, second: u64, now: Duration) {
        let is_reading = second % 2 == 1;
        if is_reading {
            let prompt = self.add_at(engine, SHORT, 0, None, now);
            self.tracker.on_first_event(&key(prompt), now + Duration::from_millis(400));
            self.tracker.remove(&key(prompt));
        }
        let slowdown = if is_reading { 1.5 } else { 1.0 } * if second % 8 == 3 { 2.5 } else { 1.1 };
        let gap = Duration::from_secs_f64(4.0 * ms_per_token * slowdown / 1_000.0);
        let produced = 4 + (second as f64 * 1_000.0 / ms_per_token) as u32;
        let reported = Run { longest_gap: gap, ..self.run(engine, LONG, produced, None) };
        self.tracker.on_inventory(&"n".into(), run..=run, vec![(run, reported)], now);
    }

    fn run(&self, engine: &str, size: GenerationSize, produced: u32, gap_objective: Option<Duration>) -> Run {
        Run { replica: engine.into(), size: Some(size), produced, gap_objective, ..Run::default() }
    }

    fn add(
        &mut self,
        engine: &str,
        size: GenerationSize,
        produced: u32,
        objective: Option<Duration>,
    ) -> RunId {
        self.add_at(engine, size, produced, objective, START)
    }

    fn add_at(
        &mut self,
        engine: &str,
        size: GenerationSize,
        produced: u32,
        objective: Option<Duration>,
        now: Duration,
    ) -> RunId {
        self.last_run += 1;
        let replica = self.table.get(engine).expect("the engine is listed").clone();
        let run = self.run(engine, size, produced, objective);
        self.tracker.add(key(self.last_run), run, &replica, now);
        self.last_run
    }

    /// The engine of a new generation, with its cost without the random part.
    fn choose(&self, size: GenerationSize, gap_objective: Option<Duration>) -> String {
        let (traits, hall) = (traits(), HallId::from("hall"));
        let request =
            EngineRequest { size, engine: &traits, hall: &hall, produced: 0, moves: false, gap_objective };
        let engines = self.table.of_service("m").into_iter();
        let rng = &mut SmallRng::seed_from_u64(1);
        let choice = self.tracker.choose_engine(engines, &request, NOW, rng).expect("some engine has room");
        format!("{} {:.0}", choice.replica.record.id, choice.cost)
    }

    fn moves(&self) -> Vec<(RunId, String)> {
        let moves = Rebalancer::default().due_moves(&self.tracker, self.table.iter(), &traits(), NOW);
        moves.into_iter().map(|due| (due.key.run, due.from.to_string())).collect()
    }
}

fn off() -> Policy {
    Policy { protect_gaps: false, ..Policy::default() }
}

/// A long stream goes to the fast engine although three others run there.
#[test]
fn test_long_streams_prefer_engines_where_their_objective_holds() {
    let choice = |policy, objective| {
        let mut fleet = Fleet::observed(policy, &[("fast", FAST_MS), ("slow", SLOW_MS)]);
        (0..3).for_each(|_| {
            fleet.add("fast", LONG, 100, OBJECTIVE);
        });
        fleet.choose(LONG, objective).split(' ').next().map(str::to_owned)
    };
    let choices =
        [choice(Policy::default(), OBJECTIVE), choice(off(), OBJECTIVE), choice(Policy::default(), None)];
    assert_eq!(choices.map(Option::unwrap_or_default), ["fast", "slow", "slow"]);
}

/// A prompt stays away from a slow engine with streams that have kept their objective. Streams that have
/// missed it have nothing more to lose.
#[test]
fn test_prompts_avoid_slow_engines_with_long_streams() {
    let choice = |policy, objective| {
        let mut fleet = Fleet::observed(policy, &[("fast", FAST_MS), ("slow", SLOW_MS)]);
        (0..4).for_each(|_| {
            fleet.add("fast", LONG, 100, OBJECTIVE);
        });
        fleet.add("slow", LONG, 100, objective);
        fleet.choose(SHORT, OBJECTIVE).split(' ').next().map(str::to_owned)
    };
    let choices =
        [choice(Policy::default(), OBJECTIVE), choice(Policy::default(), None), choice(off(), OBJECTIVE)];
    assert_eq!(choices.map(Option::unwrap_or_default), ["fast", "slow", "slow"]);
}

/// On engines that are alike and far from the objective, costs are the same as without the protection.
#[test]
fn test_even_engines_far_from_the_objective_are_chosen_as_before() {
    let engines = ["e1", "e2", "e3"].map(|id| (id, FAST_MS));
    let choices = |policy| {
        let mut fleet = Fleet::observed(policy, &engines);
        let mut choices = Vec::new();
        for at in 0..9 {
            let size = if at % 3 == 0 { SHORT } else { LONG };
            let choice = fleet.choose(size, OBJECTIVE);
            let engine = choice.split(' ').next().unwrap_or_default().to_owned();
            fleet.add_at(&engine, size, 0, OBJECTIVE, NOW);
            choices.push(choice);
        }
        (choices, fleet.moves())
    };
    assert_eq!(choices(Policy::default()), choices(off()));
}

/// A stream whose objective is in danger moves to a fast engine with room, unless it is about to end.
#[test]
fn test_endangered_streams_move_to_fast_engines() {
    let moves = |policy, produced, objective| {
        let mut fleet = Fleet::observed(policy, &[("fast", FAST_MS), ("slow", SLOW_MS)]);
        fleet.add("slow", LONG, produced, objective);
        fleet.moves().len()
    };
    let counts = [
        moves(Policy::default(), 100, OBJECTIVE),
        moves(Policy::default(), 850, OBJECTIVE),
        moves(Policy::default(), 100, None),
        moves(off(), 100, OBJECTIVE),
    ];
    assert_eq!(counts, [1, 0, 0, 0]);
}
