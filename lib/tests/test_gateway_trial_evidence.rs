//! Counts of a trial: what judges have heard, and how much of the fleet that is.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::fleet_size::FleetSize;
use leadstage_lib::gateway::pauses::Pauses;
use leadstage_lib::gateway::trial_evidence::Census;
use leadstage_lib::gateway::trial_evidence::Hearing;
use leadstage_lib::gateway::trial_evidence::TrialEvidence;
use leadstage_lib::gateway::trial_evidence::TrialReport;
use leadstage_lib::ids::VmId;
use proptest::prelude::*;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn node(n: usize) -> VmId {
    format!("10.0.0.{n}:7003").into()
}

fn failed(count: u32) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    (0..count).for_each(|_| counts.on_sample(&"r".into(), Side::Target, Sample::Failed));
    counts
}

fn report(started: u64, as_of: f64, count: u32) -> TrialReport {
    TrialReport { started, as_of: secs(as_of), counts: failed(count) }
}

fn exposed(evidence: &TrialEvidence) -> u32 {
    evidence.all(&AnswerCounts::default()).answered().1
}

fn census(well: std::ops::Range<usize>, size: usize) -> Census {
    Census { well: well.map(node).collect(), size: Some(size) }
}

#[test]
fn test_what_a_node_has_counted_outlasts_its_process() {
    let mut evidence = TrialEvidence::default();
    evidence.take(node(1), report(100, 1.0, 5));
    evidence.take(node(2), report(100, 1.0, 2));
    // It has begun anew.
    evidence.take(node(1), report(200, 3.0, 1));
    assert_eq!(exposed(&evidence), 8);
    // A report that was overtaken, one that came twice, and a late one of the process before.
    evidence.take(node(1), report(200, 4.0, 4));
    evidence.take(node(1), report(200, 3.5, 2));
    evidence.take(node(1), report(200, 4.0, 4));
    evidence.take(node(1), report(100, 2.0, 6));
    assert_eq!(exposed(&evidence), 12);
}

proptest! {
    /// Judges that get the same reports, in any order and some of them twice, come to the same counts.
    #[test]
    fn test_judges_come_to_the_same_counts(
        reports in prop::collection::vec((0_usize..4, 1_u64..3, 1_u32..20), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        // What a process has counted grows with time.
        let report = |(n, started, count): (usize, u64, u32)| (node(n), report(started, f64::from(count), count));
        let mut one = TrialEvidence::default();
        let mut other = TrialEvidence::default();
        for told in &reports {
            let (from, report) = report(*told);
            one.take(from, report);
        }
        for told in order.iter().map(|index| reports[index.index(reports.len())]).chain(reports.clone()) {
            let (from, report) = report(told);
            other.take(from, report);
        }
        prop_assert_eq!(exposed(&one), exposed(&other));
        let mut most = std::collections::BTreeMap::new();
        for (n, started, count) in reports {
            let known = most.entry((n, started)).or_insert(0);
            *known = count.max(*known);
        }
        prop_assert_eq!(exposed(&one), most.values().sum::<u32>());
    }
}

#[test]
fn test_only_reports_that_are_not_old_are_heard() {
    let mut evidence = TrialEvidence::default();
    (1..10).for_each(|n| evidence.take(node(n), report(1, 1.0, 1)));
    assert_eq!(evidence.hearing(&census(1..10, 10), secs(0.5)), Hearing::Most);
    assert_eq!(evidence.hearing(&census(1..10, 10), secs(1.5)), Hearing::Few);
    (1..5).for_each(|n| evidence.take(node(n), report(1, 2.0, 1)));
    assert_eq!(evidence.hearing(&census(1..10, 10), secs(1.5)), Hearing::Half);
    // Those that are not heard are suspected by now.
    assert_eq!(evidence.hearing(&census(1..5, 10), secs(1.5)), Hearing::Most);
}

/// Guards against a side of a cut, or a node that has just started, that takes itself for the fleet.
#[test]
fn test_a_small_side_of_a_cut_is_not_the_fleet() {
    let mut evidence = TrialEvidence::default();
    evidence.take(node(1), report(1, 1.0, 1));
    assert_eq!(evidence.hearing(&census(1..2, 2), secs(0.5)), Hearing::Most);
    assert_eq!(evidence.hearing(&census(1..2, 5), secs(0.5)), Hearing::Few);
    let met_nobody = Census { well: Vec::new(), size: None };
    assert_eq!(evidence.hearing(&met_nobody, secs(0.5)), Hearing::Few);
    let alone = census(1..1, 1);
    assert_eq!(TrialEvidence::default().hearing(&alone, secs(0.5)), Hearing::Most);
}

#[test]
fn test_times_of_a_pause_and_of_what_queued_up_in_it_are_disturbed() {
    let mut pauses = Pauses::default();
    (0..=100).for_each(|tenth| pauses.tick(secs(f64::from(tenth) / 10.0)));
    assert!(!pauses.disturb(secs(9.0), secs(10.3)));
    // The process goes on at 14 s: before the first tick, after it, and once it has recovered.
    assert!(pauses.disturb(secs(13.9), secs(14.0)));
    pauses.tick(secs(14.0));
    assert!(pauses.disturb(secs(9.9), secs(14.1)));
    (141..170).for_each(|tenth| pauses.tick(secs(f64::from(tenth) / 10.0)));
    assert!(pauses.disturb(secs(15.9), secs(16.8)));
    assert!(!pauses.disturb(secs(16.1), secs(16.9)));
}

#[test]
fn test_a_size_is_kept_for_a_while() {
    let mut size = FleetSize::default();
    size.observe(410, secs(20.0));
    // From here on it is cut off with two others.
    let kept: Vec<usize> = (21..60)
        .map(|s| {
            size.observe(3, secs(f64::from(s)));
            size.recent_max()
        })
        .collect();
    let lasts = kept.iter().take_while(|most| **most == 410).count();
    assert!((15..=30).contains(&lasts), "{lasts}");
    assert!(kept[lasts..].iter().all(|most| *most == 3), "{kept:?}");
}
