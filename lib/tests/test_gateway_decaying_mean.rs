//! Estimates of the speed of engines: how fast they prefill prompts and produce tokens.

use std::time::Duration;

use leadstage_lib::gateway::decaying_mean::DecayingMean;
use leadstage_lib::gateway::prefill::PrefillClocks;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::token_pace::TokenPaces;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const NOW: Duration = Duration::from_secs(100);
/// Default prefill time of a prompt token, in milliseconds.
const MS_PER_TOKEN: f64 = 0.14;

fn key(run: u64) -> RunKey {
    RunKey { entry: "n".into(), run }
}

/// An engine that has just started and reaches its full speed after `cold`.
fn engine(id: &str, cold: Duration) -> Replica {
    let mut table = ReplicaTable::default();
    let mut record = record(id, false);
    record.cold = cold;
    table.on_list(vec![record], None, NOW);
    table.get(id).expect("the engine is listed").clone()
}

fn warm(id: &str) -> Replica {
    engine(id, Duration::ZERO)
}

/// Lets an engine prefill prompts one after another, `ms_per_token` each; returns when it is done.
fn prefill_prompts(
    clocks: &mut PrefillClocks,
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

fn ms_per_1000_tokens(clocks: &PrefillClocks, engine: &Replica, now: Duration) -> f64 {
    clocks.prefill_time(engine, 1_000, now).as_secs_f64() * 1_000.0
}

proptest! {
    /// Whatever an engine's speed, ten prompts determine it to within a fifth, and another engine of
    /// the service is assumed to be like it before its first prefill.
    #[test]
    fn test_prefill_speed_is_learned(times in 0.3_f64..4.0) {
        let mut clocks = PrefillClocks::default();
        let (first, fresh) = (warm("e1"), warm("e2"));
        let now = prefill_prompts(&mut clocks, &first, 0..10, MS_PER_TOKEN * times, NOW);
        let actual = 1_000.0 * MS_PER_TOKEN * times;
        let known = ms_per_1000_tokens(&clocks, &first, now);
        prop_assert!((known / actual - 1.0).abs() < 0.2, "estimated {} instead of {}", known, actual);
        let assumed = ms_per_1000_tokens(&clocks, &fresh, now);
        prop_assert!((assumed / actual - 1.0).abs() < 0.35, "estimated {} instead of {}", assumed, actual);
    }

    /// An engine that slows down to a third is estimated as at least half as slow after five prompts,
    /// and the others of its service as no more than half as slow again.
    #[test]
    fn test_engine_slowdown_is_detected(times in 0.3_f64..4.0) {
        let mut clocks = PrefillClocks::default();
        let (slows, stays) = (warm("e1"), warm("e2"));
        let mut now = NOW;
        for round in 0..10 {
            now = prefill_prompts(&mut clocks, &slows, 4 * round..4 * round + 2, MS_PER_TOKEN * times, now);
            now = prefill_prompts(
                &mut clocks, &stays, 4 * round + 2..4 * round + 4, MS_PER_TOKEN * times, now
            );
        }
        let before = ms_per_1000_tokens(&clocks, &slows, now);
        now = prefill_prompts(&mut clocks, &slows, 100..105, 3.0 * MS_PER_TOKEN * times, now);
        prop_assert!(ms_per_1000_tokens(&clocks, &slows, now) > 1.5 * before);
        prop_assert!(ms_per_1000_tokens(&clocks, &stays, now) < 1.5 * before);
        let another = warm("e3");
        prop_assert!(ms_per_1000_tokens(&clocks, &another, now) < 1.5 * before);
    }

    /// One outlier moves a mean by no more than its weight allows.
    #[test]
    fn test_outliers_have_little_weight(
        outlier in prop_oneof![
            Just(f64::NAN), Just(0.0), Just(-1.0), Just(f64::INFINITY), 1e-9_f64..1e9
        ]
    ) {
        let mut mean = DecayingMean::new(10.0, 0.1);
        (0..50).for_each(|_| mean.observe(10.0));
        mean.observe(outlier);
        prop_assert!((8.7..=11.5).contains(&mean.value()), "{}", mean.value());
    }

    /// The pace of generations is learned from their progress, and a pause does not affect it.
    #[test]
    fn test_pace_of_tokens_is_learned(pace in 30.0_f64..460.0) {
        let mut paces = TokenPaces::default();
        for tick in 0..400_u32 {
            for run in 0..5 {
                let pauses = run == 0 && tick % 40 > 30;
                let ticks = if pauses { tick - tick % 40 + 30 } else { tick };
                let made = pace * f64::from(ticks) * 0.1;
                paces.on_progress(
                    &key(run), &"m".into(), made as u32, NOW + Duration::from_millis(u64::from(tick) * 100)
                );
            }
        }
        let known = paces.tokens_per_second("m");
        prop_assert!((known / pace - 1.0).abs() < 0.2, "estimated {} instead of {}", known, pace);
    }
}

#[test]
fn test_late_first_events_delay_the_clock() {
    let mut clocks = PrefillClocks::default();
    let engine = warm("e1");
    clocks.on_assigned(&key(1), &engine, 1_000, NOW);
    clocks.on_assigned(&key(2), &engine, 1_000, NOW);
    assert_eq!(clocks.wait("e1", NOW), Duration::from_millis(280));
    let later = NOW + Duration::from_millis(190);
    clocks.on_first_event(&key(1), "e1", later);
    assert_eq!(clocks.wait("e1", later), Duration::from_millis(140), "the first event was 50 ms late");
    clocks.retain(|_| false);
    assert_eq!(clocks.wait("e1", later), Duration::ZERO);
}

/// How much slower engines are just after their start differs between fleets. A default holds until the
/// first observation, and cold engines don't affect the speed of warm ones.
#[test]
fn test_cold_factor_is_learned_from_other_engines() {
    let mut clocks = PrefillClocks::default();
    let now = prefill_prompts(&mut clocks, &warm("old"), 0..10, MS_PER_TOKEN, NOW);
    let cold = Duration::from_secs(60);
    let rows: Vec<String> = [(1.0, 100), (3.0, 200)]
        .into_iter()
        .map(|(factor, first)| {
            let before = ms_per_1000_tokens(&clocks, &engine("next", cold), now);
            for n in 0..8 {
                let started = engine(&format!("new-{first}-{n}"), cold);
                prefill_prompts(&mut clocks, &started, first + n..first + n + 1, factor * MS_PER_TOKEN, now);
            }
            let after = ms_per_1000_tokens(&clocks, &engine("next", cold), now);
            let warm = ms_per_1000_tokens(&clocks, &warm("next"), now);
            format!("{factor} times: {before:.0} before, {after:.0} after, {warm:.0} warm")
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"), @r"
    1 times: 210 before, 146 after, 140 warm
    3 times: 146 before, 240 after, 140 warm
    ");
}
