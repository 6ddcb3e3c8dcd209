//! What is learned of engines: how fast they read prompts and make tokens.

use std::time::Duration;

use leadstage_lib::gateway::learned::Learned;
use leadstage_lib::gateway::reading::ReadingClocks;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::token_pace::TokenPaces;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const NOW: Duration = Duration::from_secs(100);
/// What a prompt token is guessed to take, in milliseconds.
const GUESS_MS: f64 = 0.14;

fn key(run: u64) -> RunKey {
    RunKey { entry: "n".into(), run }
}

/// An engine that has just started, and works at full speed after `cold`.
fn engine(id: &str, cold: Duration) -> Replica {
    let mut table = ReplicaTable::default();
    let mut record = record(id, false);
    record.cold = cold;
    table.on_list(vec![record], false, NOW);
    table.get(id).expect("it is known").clone()
}

fn warm(id: &str) -> Replica {
    engine(id, Duration::ZERO)
}

/// Has an engine read prompts one after another, `ms_per_token` each; returns when it is done.
fn read(
    clocks: &mut ReadingClocks,
    engine: &Replica,
    keys: std::ops::Range<u64>,
    ms_per_token: f64,
    from: Duration,
) -> Duration {
    let mut now = from;
    for n in keys {
        let tokens = 1_500 + 700 * (n as u32 % 3);
        clocks.on_assigned(&key(n), engine, tokens, now);
        now += Duration::from_secs_f64(f64::from(tokens) * ms_per_token / 1_000.0);
        clocks.on_first_event(&key(n), &engine.record.id, now);
    }
    now
}

fn ms_for_1000(clocks: &ReadingClocks, engine: &Replica, now: Duration) -> f64 {
    clocks.reading_time(engine, 1_000, now).as_secs_f64() * 1_000.0
}

proptest! {
    /// Whatever an engine's speed, ten prompts tell it to within a fifth, and another engine of the
    /// service is taken to be like it before it has read anything.
    #[test]
    fn test_speed_of_reading_is_learned(times in 0.3_f64..4.0) {
        let mut clocks = ReadingClocks::default();
        let (first, fresh) = (warm("e1"), warm("e2"));
        let now = read(&mut clocks, &first, 0..10, GUESS_MS * times, NOW);
        let actual = 1_000.0 * GUESS_MS * times;
        let known = ms_for_1000(&clocks, &first, now);
        prop_assert!((known / actual - 1.0).abs() < 0.2, "{} instead of {}", known, actual);
        let assumed = ms_for_1000(&clocks, &fresh, now);
        prop_assert!((assumed / actual - 1.0).abs() < 0.35, "{} instead of {}", assumed, actual);
    }

    /// An engine that slows down to a third is taken for at least half as slow after five prompts,
    /// and the others of its service for no more than half as slow again.
    #[test]
    fn test_an_engine_that_slows_down_is_noticed(times in 0.3_f64..4.0) {
        let mut clocks = ReadingClocks::default();
        let (slows, stays) = (warm("e1"), warm("e2"));
        let mut now = NOW;
        for round in 0..10 {
            now = read(&mut clocks, &slows, 4 * round..4 * round + 2, GUESS_MS * times, now);
            now = read(&mut clocks, &stays, 4 * round + 2..4 * round + 4, GUESS_MS * times, now);
        }
        let before = ms_for_1000(&clocks, &slows, now);
        now = read(&mut clocks, &slows, 100..105, 3.0 * GUESS_MS * times, now);
        prop_assert!(ms_for_1000(&clocks, &slows, now) > 1.5 * before);
        prop_assert!(ms_for_1000(&clocks, &stays, now) < 1.5 * before);
        let another = warm("e3");
        prop_assert!(ms_for_1000(&clocks, &another, now) < 1.5 * before);
    }

    /// One odd observation moves a quantity by no more than its weight allows.
    #[test]
    fn test_odd_observations_count_little(odd in prop_oneof![Just(f64::NAN), Just(0.0), Just(-1.0), Just(f64::INFINITY), 1e-9_f64..1e9]) {
        let mut learned = Learned::new(10.0, 0.1);
        (0..50).for_each(|_| learned.observe(10.0));
        learned.observe(odd);
        prop_assert!((8.7..=11.5).contains(&learned.value()), "{}", learned.value());
    }

    /// The pace of generations is learned from their progress, and a pause says nothing of it.
    #[test]
    fn test_pace_of_tokens_is_learned(pace in 30.0_f64..460.0) {
        let mut paces = TokenPaces::default();
        for tick in 0..400_u32 {
            for run in 0..5 {
                let pauses = run == 0 && tick % 40 > 30;
                let ticks = if pauses { tick - tick % 40 + 30 } else { tick };
                let made = pace * f64::from(ticks) * 0.1;
                paces.on_progress(&key(run), &"m".into(), made as u32, NOW + Duration::from_millis(u64::from(tick) * 100));
            }
        }
        let known = paces.tokens_per_second("m");
        prop_assert!((known / pace - 1.0).abs() < 0.2, "{} instead of {}", known, pace);
    }
}

#[test]
fn test_clock_moves_with_late_events() {
    let mut clocks = ReadingClocks::default();
    let engine = warm("e1");
    clocks.on_assigned(&key(1), &engine, 1_000, NOW);
    clocks.on_assigned(&key(2), &engine, 1_000, NOW);
    assert_eq!(clocks.wait("e1", NOW), Duration::from_millis(280));
    let later = NOW + Duration::from_millis(190);
    clocks.on_first_event(&key(1), "e1", later);
    assert_eq!(clocks.wait("e1", later), Duration::from_millis(140), "50 ms late, so is the next one");
    clocks.retain(|_| false);
    assert_eq!(clocks.wait("e1", later), Duration::ZERO);
}

/// How much slower engines are that have just started differs from fleet to fleet. It is guessed
/// until one was seen, and has no say in how fast engines are that have warmed up.
#[test]
fn test_engines_that_have_just_started_are_known_by_others() {
    let mut clocks = ReadingClocks::default();
    let now = read(&mut clocks, &warm("old"), 0..10, GUESS_MS, NOW);
    let cold = Duration::from_secs(60);
    let rows: Vec<String> = [(1.0, 100), (3.0, 200)]
        .into_iter()
        .map(|(factor, first)| {
            let before = ms_for_1000(&clocks, &engine("next", cold), now);
            for n in 0..8 {
                let started = engine(&format!("new-{first}-{n}"), cold);
                read(&mut clocks, &started, first + n..first + n + 1, factor * GUESS_MS, now);
            }
            let after = ms_for_1000(&clocks, &engine("next", cold), now);
            let warm = ms_for_1000(&clocks, &warm("next"), now);
            format!("{factor} times: {before:.0} before, {after:.0} after, {warm:.0} warm")
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"), @r"
    1 times: 210 before, 146 after, 140 warm
    3 times: 146 before, 240 after, 140 warm
    ");
}
