//! The pace of each engine, and the chance that a stream's gaps exceed their objective there.

use std::time::Duration;

use leadstage_lib::gateway::engine_pace::EnginePaces;
use leadstage_lib::gateway::engine_pace::GapRisk;
use leadstage_lib::gateway::engine_pace::StreamProgress;
use leadstage_lib::gateway::gap_spread::GapSpread;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::ids::UpstreamId;

const OBJECTIVE: Duration = Duration::from_millis(180);

fn key(run: RunId) -> RunKey {
    RunKey { entry: "node".into(), run }
}

fn progress(engine: &UpstreamId, produced: u32, gap: Duration, is_reading: bool) -> StreamProgress<'_> {
    StreamProgress { engine, produced, is_copied: false, reported_gap: Some(gap), is_reading }
}

/// Reports 60 s of a stream at an engine that needs `ms_per_token`. Prompts are prefilled in every second
/// second, in which tokens take 1.5 times as long; the longest gap of a second is `usual_gap` times, and
/// in one of eight seconds three times as long as that of the tokens of an event.
fn observe(paces: &mut EnginePaces, id: RunId, engine: &str, ms_per_token: f64) {
    let (service, engine): (ServiceId, UpstreamId) = ("m".into(), engine.into());
    let mut produced = 1.0;
    for second in 0..60 {
        let is_reading = second % 2 == 1;
        let ms_per_token = if is_reading { ms_per_token * 1.5 } else { ms_per_token };
        produced += 1_000.0 / ms_per_token;
        let slowness = if second % 8 == 3 { 2.5 } else { 1.1 };
        let gap = Duration::from_secs_f64(4.0 * ms_per_token * slowness / 1_000.0);
        let now = Duration::from_secs(100 + second);
        paces.on_progress(&key(id), &service, &progress(&engine, produced as u32, gap, is_reading), now);
    }
}

fn risks(paces: &EnginePaces, engines: &[&str]) -> String {
    let line = |engine: &&str| {
        let GapRisk { quiet, reading, reading_share, .. } = paces.risk("m", engine, OBJECTIVE, None);
        let over = paces.risk("m", engine, OBJECTIVE, None).over(700);
        format!("{engine}: {quiet:.2} {reading:.2} {reading_share:.2}, {over:.2} over 700 tokens\n")
    };
    engines.iter().map(line).collect()
}

/// A fast engine keeps the objective also beside prompts in slow moments. A slow one exceeds it only then.
/// An engine without observations is taken for a slower one.
#[test]
fn test_only_slow_engines_beside_prompts_exceed_the_objective() {
    let mut paces = EnginePaces::default();
    for round in 0..10 {
        observe(&mut paces, round * 2, "fast", 6.0);
        observe(&mut paces, round * 2 + 1, "slow", 13.0);
    }
    insta::assert_snapshot!(risks(&paces, &["fast", "slow", "new"]), @r"
    fast: 0.00 0.00 0.53, 0.00 over 700 tokens
    slow: 0.00 0.27 0.53, 0.85 over 700 tokens
    new: 0.00 0.27 0.51, 0.85 over 700 tokens
    ");
}

/// Without observations nothing is at risk, so placing goes by the other costs.
#[test]
fn test_nothing_is_at_risk_without_observations() {
    let paces = EnginePaces::default();
    assert_eq!(paces.risk("m", "e1", OBJECTIVE, None), GapRisk::default());
    assert_eq!(GapRisk::default().over(10_000), 0.0);
}

/// The first event after a move says nothing of the new engine's pace.
#[test]
fn test_a_moved_stream_is_observed_anew() {
    let mut paces = EnginePaces::default();
    let service: ServiceId = "m".into();
    let (first, second) = (UpstreamId::from("e1"), UpstreamId::from("e2"));
    let gap = Duration::from_millis(50);
    let mut observe = |progress: StreamProgress<'_>, millis: u64| {
        paces.on_progress(&key(1), &service, &progress, Duration::from_millis(millis))
    };
    assert_eq!(observe(progress(&first, 4, gap, false), 1_000), None);
    assert_eq!(observe(progress(&first, 104, gap, false), 2_000), Some(gap));
    let copy = StreamProgress { is_copied: true, ..progress(&second, 104, gap, false) };
    assert_eq!(observe(copy, 2_100), None);
    assert_eq!(observe(progress(&second, 112, gap, false), 2_600), None);
    assert_eq!(observe(progress(&second, 212, gap, false), 3_600), Some(gap));
}

/// An engine that was slow and has no streams since is taken for an average one after a while.
#[test]
fn test_a_passing_slowdown_is_forgotten() {
    let mut paces = EnginePaces::default();
    for round in 0..10 {
        observe(&mut paces, round * 2, "fast", 6.0);
        observe(&mut paces, round * 2 + 1, "slow", 13.0);
    }
    let pace = |paces: &EnginePaces| paces.risk("m", "slow", OBJECTIVE, None).ms_per_token;
    let before = pace(&paces);
    let (service, engine): (ServiceId, UpstreamId) = ("m".into(), "fast".into());
    let mut after = Vec::new();
    for second in 0..=30_u64 {
        let now = Duration::from_secs(160 + second);
        let gap = Duration::from_millis(40);
        let fast = progress(&engine, 4 + 166 * second as u32, gap, false);
        paces.on_progress(&key(100), &service, &fast, now);
        after.push(pace(&paces));
    }
    assert!(after[4] > before * 0.85, "{before} {after:?}");
    assert!(after[30] < before * 0.75, "{before} {after:?}");
}

/// A node that begins to lead a service learns anew; figures of other services stay.
#[test]
fn test_figures_of_a_service_are_forgotten() {
    let mut paces = EnginePaces::default();
    observe(&mut paces, 1, "e1", 13.0);
    paces.forget_service("other", |_| false);
    assert!(paces.ms_per_token("e1").is_some());
    paces.forget_service("m", |engine| engine == "e1");
    assert_eq!(paces.ms_per_token("e1"), None);
    assert_eq!(paces.risk("m", "e1", OBJECTIVE, None), GapRisk::default());
}

/// A gap of a stream of this node is reported with the span of an inventory, however often progress is
/// recorded in between.
#[test]
fn test_own_gaps_are_reported_for_the_span_of_an_inventory() {
    let mut paces = EnginePaces::default();
    let (service, engine): (ServiceId, UpstreamId) = ("m".into(), "e1".into());
    let mut reports = Vec::new();
    for step in 0..=10_u64 {
        let (now, produced) = (Duration::from_millis(1_000 + 100 * step), 4 + 12 * step as u32);
        let gap = Duration::from_millis(if step == 2 { 300 } else { 50 });
        paces.on_gap(&key(1), gap);
        let own = StreamProgress { reported_gap: None, ..progress(&engine, produced, gap, false) };
        reports.extend(paces.on_progress(&key(1), &service, &own, now));
    }
    assert_eq!(reports, [Duration::from_millis(300)]);
}

#[test]
fn test_share_above_a_ratio() {
    let mut spread = GapSpread::default();
    (0..19).for_each(|_| spread.observe(5.0));
    assert_eq!(spread.share_above(1.0), 0.0);
    (0..81).for_each(|at| spread.observe(if at % 4 == 0 { 20.0 } else { 5.0 }));
    let shares = [1.0, 4.0, 10.0, 18.0, 22.0, 1e9].map(|ratio| format!("{:.2}", spread.share_above(ratio)));
    insta::assert_snapshot!(shares.join(" "), @"1.00 1.00 0.21 0.21 0.00 0.00");
}
