//! The choice of replicas by their load.

use std::time::Duration;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::inventory::Inventory;
use leadstage_lib::gateway::lead::Leads;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::Growth;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::load::expected_peak;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::VmId;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::test_gateway_replicas::record;

const NOW: Duration = Duration::from_secs(100);
/// Tokens that a generation produces in a second.
const PACE: f64 = 115.0;

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

fn table(engines: &[(&str, &str)]) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    let records = engines.iter().map(|(id, hall)| {
        let mut record = record(id, false);
        record.hall = (*hall).into();
        record
    });
    table.on_list(records.collect(), None, Duration::ZERO);
    table
}

fn key(run: u64) -> RunKey {
    RunKey { entry: "n".into(), run }
}

fn run(engine: &str, prompt: u32, expected: u32, produced: u32) -> Run {
    let size = Some(GenerationSize { prompt, expected });
    Run { replica: engine.into(), size, produced, copied_from: None, ..Run::default() }
}

/// Records that a request is at its replica.
fn assign(tracker: &mut LoadTracker, table: &ReplicaTable, key: RunKey, run: Run) {
    let replica = table.get(&run.replica).expect("the replica is listed").clone();
    tracker.add(key, run, &replica, NOW);
}

fn choose(tracker: &LoadTracker, table: &ReplicaTable, prompt: u32, moves: bool) -> Option<String> {
    let (traits, hall) = (traits(), HallId::from("a"));
    let size = GenerationSize { prompt, expected: 900 };
    let produced = if moves { 400 } else { 0 };
    let request = EngineRequest { size, engine: &traits, hall: &hall, produced, moves, gap_objective: None };
    let rng = &mut SmallRng::seed_from_u64(1);
    let choice = tracker.choose_engine(table.of_service("m").into_iter(), &request, NOW, rng);
    choice.map(|choice| choice.replica.record.id.to_string())
}

#[test]
fn test_prompts_spread_over_engines() {
    let table = table(&[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let mut tracker = LoadTracker::default();
    let mut chosen = Vec::new();
    for n in 0..6 {
        let engine = choose(&tracker, &table, 3_000, false).expect("some engine has room");
        assign(&mut tracker, &table, key(n), run(&engine, 3_000, 900, 0));
        chosen.push(engine);
    }
    for engine in ["e1", "e2", "e3"] {
        assert_eq!(chosen.iter().filter(|e| *e == engine).count(), 2, "{chosen:?}");
    }
}

#[test]
fn test_full_engines_admit_moves_but_no_new_generations() {
    let table = table(&[("e1", "a")]);
    let mut tracker = LoadTracker::default();
    for n in 0..9 {
        assign(&mut tracker, &table, key(n), run("e1", 3_000, 300, 200));
    }
    let fill = tracker.engine_load(table.get("e1").expect("the engine is listed")).fill(&traits());
    assert!((0.80..0.90).contains(&fill), "{fill}");
    assert_eq!(choose(&tracker, &table, 3_000, false), None);
    assert_eq!(choose(&tracker, &table, 3_000, true), Some("e1".to_owned()));
}

/// Four generations that end one after another leave room for a fifth. Four that end together don't:
/// all five would have grown by then. What each holds at first is the same.
#[test]
fn test_generations_are_admitted_by_expected_peak() {
    let table = table(&[("e1", "a")]);
    let admits = |expected: [u32; 4]| {
        let mut tracker = LoadTracker::default();
        for (n, expected) in expected.into_iter().enumerate() {
            assign(&mut tracker, &table, key(n as u64), run("e1", 5_900, expected, 200));
        }
        choose(&tracker, &table, 5_900, false)
    };
    assert_eq!(admits([300, 400, 500, 700]), Some("e1".to_owned()));
    assert_eq!(admits([900; 4]), None);
}

fn peak_of(growths: &[(u32, u32)]) -> f64 {
    let growths =
        growths.iter().map(|(now, remaining)| Growth { held: (*now).into(), remaining: (*remaining).into() });
    expected_peak(growths.collect())
}

#[test]
fn test_expected_peak() {
    assert_eq!(peak_of(&[]), 0.0);
    assert_eq!(peak_of(&[(3_000, 700)]), 3_700.0);
    // The first ends when both have grown by 100; the second continues alone.
    assert_eq!(peak_of(&[(3_000, 100), (1_000, 700)]), 4_200.0);
    assert_eq!(peak_of(&[(100, 100), (1_000, 700)]), 1_700.0);
}

proptest! {
    /// The peak is the same as counted from the tokens held in each step.
    #[test]
    fn test_expected_peak_matches_a_step_by_step_count(
        growths in proptest::collection::vec((0..5_000_u32, 0..300_u32), 0..24)
    ) {
        let held = |step: u32| -> u32 {
            let running = growths.iter().filter(|(_, remaining)| *remaining >= step);
            running.map(|(now, _)| now + step).sum()
        };
        let peak = (0..=300).map(held).max().unwrap_or_default();
        prop_assert_eq!(peak_of(&growths), f64::from(peak));
    }
}

/// Links between halls sometimes lose packets, and a stream that crosses such a link stalls. A somewhat
/// busier engine in the caller's hall is preferred, a much busier one is not.
#[test]
fn test_generations_prefer_their_own_hall() {
    let table = table(&[("far", "b"), ("near", "a")]);
    let mut tracker = LoadTracker::default();
    for n in 0..3 {
        assign(&mut tracker, &table, key(n), run("near", 2_000, 900, 100));
    }
    assert_eq!(choose(&tracker, &table, 3_000, false), Some("near".to_owned()));
    for n in 3..10 {
        assign(&mut tracker, &table, key(n), run("near", 2_000, 900, 100));
    }
    assert_eq!(choose(&tracker, &table, 3_000, false), Some("far".to_owned()));
}

/// An engine that failed some of its last generations gets none while others have room, even if they
/// are busier. After enough successful generations it is used again.
#[test]
fn test_engines_with_recent_failures_are_avoided() {
    let mut table = table(&[("e1", "a"), ("e2", "a")]);
    let mut tracker = LoadTracker::default();
    for n in 0..4 {
        assign(&mut tracker, &table, key(n), run("e2", 2_000, 900, 100));
    }
    assert_eq!(choose(&tracker, &table, 3_000, false), Some("e1".to_owned()));
    let before = NOW - Duration::from_millis(400);
    table.on_answer("e1", false, before);
    table.on_failure("e1", before);
    table.on_answer("e1", false, before);
    assert_eq!(choose(&tracker, &table, 3_000, false), Some("e2".to_owned()), "one failure of three");
    assert_eq!(choose(&tracker, &table, 3_000, true), Some("e2".to_owned()));
    for _ in 0..10 {
        table.on_answer("e1", false, NOW);
    }
    assert_eq!(choose(&tracker, &table, 3_000, false), Some("e1".to_owned()));
}

#[test]
fn test_moves_prefer_their_own_hall_and_idle_links() {
    let table = table(&[("far", "b"), ("near1", "a"), ("near2", "a")]);
    let mut tracker = LoadTracker::default();
    let copy = Run { copied_from: Some("gone".into()), ..run("near1", 3_000, 900, 400) };
    assign(&mut tracker, &table, key(1), copy);
    assert_eq!(choose(&tracker, &table, 3_000, true), Some("near2".to_owned()));
    assert_eq!(tracker.copies_from("gone"), 1);
    tracker.on_copied(&key(1));
    assert_eq!(tracker.copies_from("gone"), 0);
}

/// An inventory ends the requests that it omits, but not those that were placed after it was written.
#[test]
fn test_inventory_keeps_what_is_newer() {
    let engines = table(&[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let mut tracker = LoadTracker::default();
    for n in 1..=3 {
        assign(&mut tracker, &engines, key(n), run("e1", 100, 100, 0));
    }
    let entry: VmId = "n".into();
    tracker.on_inventory(&entry, 0..=2, vec![(1, run("e2", 100, 100, 40))], NOW);
    let mut runs: Vec<String> = tracker
        .runs_of_entry(&entry)
        .map(|(id, run)| format!("{id} at {} made {}", run.replica, run.produced))
        .collect();
    runs.sort();
    assert_eq!(runs, ["1 at e2 made 40", "3 at e1 made 0"]);
    tracker.on_entry_gone(&entry);
    assert_eq!(tracker.iter().count(), 0);
}

proptest! {
    /// The two indexes of the tracker agree after any sequence of calls.
    #[test]
    fn test_indexes_of_the_load_tracker_agree(
        steps in proptest::collection::vec((0u8..4, 0u64..6, 0u8..3), 1..60)
    ) {
        let engines = table(&[("e0", "a"), ("e1", "a"), ("e2", "a")]);
        let mut tracker = LoadTracker::default();
        for (operation, n, engine) in steps {
            let engine = format!("e{engine}");
            match operation {
                0 => assign(&mut tracker, &engines, key(n), run(&engine, 100, 100, 0)),
                1 => { tracker.remove(&key(n)); }
                2 => {
                    let runs = vec![(n, run(&engine, 100, 100, 4))];
                    tracker.on_inventory(&"n".into(), 0..=n, runs, NOW);
                }
                _ => tracker.on_first_event(&key(n), NOW),
            }
            let by_engine: usize = (0..3).map(|e| tracker.runs_at(&format!("e{e}")).count()).sum();
            prop_assert_eq!(by_engine, tracker.iter().count());
        }
    }
}

#[test]
fn test_full_engines_move_generations_to_empty_ones_once() {
    let table = table(&[("empty", "a"), ("full", "a")]);
    let mut tracker = LoadTracker::default();
    for n in 0..9 {
        assign(&mut tracker, &table, key(n), run("full", 3_400, 500 + n as u32, 100));
    }
    let mut rebalancer = Rebalancer::default();
    let moves = rebalancer.due_moves(&tracker, table.iter(), &traits(), NOW);
    assert_eq!(moves.len(), 1);
    assert_eq!((moves[0].key.run, &*moves[0].from), (8, "full"), "most remaining tokens");
    let soon = NOW + Duration::from_millis(100);
    assert_eq!(rebalancer.due_moves(&tracker, table.iter(), &traits(), soon), []);
}

#[test]
fn test_evacuation_order() {
    let long = GenerationSize { prompt: 3_000, expected: 2_200 };
    let short = GenerationSize { prompt: 3_000, expected: 200 };
    assert!(evacuation::rank(long, 100) < evacuation::rank(short, 10));
    assert!(evacuation::start_delay(long, 100, PACE) < evacuation::start_delay(short, 10, PACE));
    assert!(evacuation::start_delay(short, 180, PACE) > Duration::from_millis(500), "it is about to end");
    assert!(evacuation::start_delay(short, 400, PACE) < Duration::from_millis(100), "outlived its estimate");
}

#[test]
fn test_silent_lead_is_skipped_for_a_while() {
    let own: VmId = "a".into();
    let others: Vec<VmId> = ["b", "c", "d"].map(VmId::from).into();
    let mut leads = Leads::default();
    let lead = leads.lead_of("m", &own, others.iter(), 1, NOW);
    leads.on_silence(&lead, NOW);
    let next = leads.lead_of("m", &own, others.iter(), 1, NOW);
    if lead != own {
        assert_ne!(next, lead);
    }
    let later = NOW + Duration::from_secs(2);
    assert_eq!(leads.lead_of("m", &own, others.iter(), 1, later), lead);
    let seen_by_b = leads.lead_of("m", &others[0], [&own, &others[1], &others[2]].into_iter(), 2, later);
    assert_eq!(seen_by_b, lead, "all nodes select the same lead");
}

proptest! {
    /// A lead that receives an inventory in parts, in any order, ends up with the same runs as one
    /// that receives it whole. If a part is lost, only the runs that it covers stay as they were.
    #[test]
    fn test_inventory_parts_match_the_whole(
        before in proptest::collection::btree_set(0u64..60, 0..40),
        now in proptest::collection::btree_set(0u64..60, 0..40),
        last in 0u64..60,
        max_bytes in 0usize..400,
        lost in 0usize..10,
        order in any::<u64>(),
    ) {
        let engines = table(&[("e1", "a")]);
        let entry: VmId = "n".into();
        let runs: Vec<_> = now.iter().map(|n| (*n, run("e1", 100, 100, 40))).collect();
        let runs_after = |parts: &[Inventory]| {
            let mut tracker = LoadTracker::default();
            for n in &before {
                assign(&mut tracker, &engines, key(*n), run("e1", 100, 100, 0));
            }
            for part in parts {
                tracker.on_inventory(&entry, part.ids.clone(), part.runs.clone(), NOW);
            }
            tracker.runs_of_entry(&entry).map(|(n, run)| (n, run.produced)).collect::<Vec<_>>()
        };
        let whole = runs_after(&[Inventory { runs: runs.clone(), ids: 0..=last }]);
        let mut parts = Inventory::parts(runs, last, max_bytes);
        parts.shuffle(&mut SmallRng::seed_from_u64(order));
        prop_assert_eq!(&runs_after(&parts), &whole);
        let lost = parts.remove(lost % parts.len());
        let is_lost = |n: &u64| lost.ids.contains(n) || lost.runs.iter().any(|(run, _)| run == n);
        let mut expected: Vec<_> = whole.into_iter().filter(|(n, _)| !is_lost(n)).collect();
        expected.extend(before.iter().filter(|n| is_lost(n)).map(|n| (*n, 0)));
        expected.sort();
        prop_assert_eq!(runs_after(&parts), expected);
    }
}

/// Each part of an inventory of 3,000 generations at engines with long names fits into a datagram when
/// encoded.
#[test]
fn test_inventory_parts_respect_the_size_limit() {
    let from = Some("e".repeat(80).into());
    let largest = Run {
        copied_from: from,
        organisation: Some("o".repeat(70).into()),
        gap_objective: Some(Duration::MAX),
        longest_gap: Duration::MAX,
        ..run(&"e".repeat(90), u32::MAX, u32::MAX, u32::MAX)
    };
    let runs: Vec<_> = (0..3_000).map(|n| (u64::MAX - 3_000 + n, largest.clone())).collect();
    let parts = Inventory::parts(runs, u64::MAX, 15 << 10);
    let named: usize = parts.iter().map(|part| part.runs.len()).sum();
    assert_eq!(named, 3_000);
    for part in parts {
        let bytes = postcard::to_stdvec(&part).expect("encodable").len();
        assert!(bytes < 16 << 10, "{bytes} bytes");
    }
}
