//! Counts of a trial as reported to judges, and how much of the fleet they cover.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Phase;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::fleet_size::FleetSize;
use leadstage_lib::gateway::process_pauses::ProcessPauses;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::trial_evidence::FleetView;
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
    (0..count).for_each(|_| counts.on_sample(&"r".into(), Phase::Trial, Side::Target, Sample::Failed));
    counts
}

fn report(started: u64, as_of: f64, count: u32) -> TrialReport {
    TrialReport { started, as_of: secs(as_of), counts: failed(count) }
}

fn target_answers(evidence: &TrialEvidence) -> u32 {
    evidence.all(&AnswerCounts::default()).answered().1
}

fn fleet(healthy: std::ops::Range<usize>, size: usize) -> FleetView {
    FleetView { healthy: healthy.map(node).collect(), size: Some(size) }
}

#[test]
fn test_counts_of_a_node_outlast_its_process() {
    let mut evidence = TrialEvidence::default();
    evidence.add_report(node(1), report(100, 1.0, 5));
    evidence.add_report(node(2), report(100, 1.0, 2));
    // The process of the node has restarted.
    evidence.add_report(node(1), report(200, 3.0, 1));
    assert_eq!(target_answers(&evidence), 8);
    // A reordered report, a duplicate, and a late report of the previous process.
    evidence.add_report(node(1), report(200, 4.0, 4));
    evidence.add_report(node(1), report(200, 3.5, 2));
    evidence.add_report(node(1), report(200, 4.0, 4));
    evidence.add_report(node(1), report(100, 2.0, 6));
    assert_eq!(target_answers(&evidence), 12);
}

proptest! {
    /// Judges that receive the same reports, in any order and some of them twice, reach the same counts.
    #[test]
    fn test_judges_reach_the_same_counts(
        reports in prop::collection::vec((0_usize..4, 1_u64..3, 1_u32..20), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        // The counts of a process grow with time.
        let report = |(n, started, count): (usize, u64, u32)| (node(n), report(started, f64::from(count), count));
        let mut one = TrialEvidence::default();
        let mut other = TrialEvidence::default();
        for sample in &reports {
            let (from, report) = report(*sample);
            one.add_report(from, report);
        }
        for sample in order.iter().map(|index| reports[index.index(reports.len())]).chain(reports.clone()) {
            let (from, report) = report(sample);
            other.add_report(from, report);
        }
        prop_assert_eq!(target_answers(&one), target_answers(&other));
        let mut highest = std::collections::BTreeMap::new();
        for (n, started, count) in reports {
            let known = highest.entry((n, started)).or_insert(0);
            *known = count.max(*known);
        }
        prop_assert_eq!(target_answers(&one), highest.values().sum::<u32>());
    }
}

#[test]
fn test_old_reports_do_not_count_as_coverage() {
    let mut evidence = TrialEvidence::default();
    (1..10).for_each(|n| evidence.add_report(node(n), report(1, 1.0, 1)));
    assert_eq!(evidence.coverage(&fleet(1..10, 10), secs(0.5)), Coverage::Most);
    assert_eq!(evidence.coverage(&fleet(1..10, 10), secs(1.5)), Coverage::Few);
    (1..5).for_each(|n| evidence.add_report(node(n), report(1, 2.0, 1)));
    assert_eq!(evidence.coverage(&fleet(1..10, 10), secs(1.5)), Coverage::Half);
    // Nodes without recent reports are suspected by now.
    assert_eq!(evidence.coverage(&fleet(1..5, 10), secs(1.5)), Coverage::Most);
}

/// Guards against a node that considers itself and the few nodes that it sees the whole fleet, because it is
/// on the smaller side of a network partition or has just started.
#[test]
fn test_a_small_side_of_a_partition_is_not_the_fleet() {
    let mut evidence = TrialEvidence::default();
    evidence.add_report(node(1), report(1, 1.0, 1));
    assert_eq!(evidence.coverage(&fleet(1..2, 2), secs(0.5)), Coverage::Most);
    assert_eq!(evidence.coverage(&fleet(1..2, 5), secs(0.5)), Coverage::Few);
    let no_node_met = FleetView { healthy: Vec::new(), size: None };
    assert_eq!(evidence.coverage(&no_node_met, secs(0.5)), Coverage::Few);
    let alone = fleet(1..1, 1);
    assert_eq!(TrialEvidence::default().coverage(&alone, secs(0.5)), Coverage::Most);
}

#[test]
fn test_times_that_overlap_a_pause_or_its_backlog_are_disturbed() {
    let mut pauses = ProcessPauses::default();
    (0..=100).for_each(|tenth| pauses.tick(secs(f64::from(tenth) / 10.0)));
    assert!(!pauses.may_affect(secs(9.0), secs(10.3)));
    // The process resumes at 14 s. Checks before the first tick, after it, and once the backlog is processed.
    assert!(pauses.may_affect(secs(13.9), secs(14.0)));
    pauses.tick(secs(14.0));
    assert!(pauses.may_affect(secs(9.9), secs(14.1)));
    (141..170).for_each(|tenth| pauses.tick(secs(f64::from(tenth) / 10.0)));
    assert!(pauses.may_affect(secs(15.9), secs(16.8)));
    assert!(!pauses.may_affect(secs(16.1), secs(16.9)));
}

#[test]
fn test_fleet_size_is_kept_for_a_while() {
    let mut size = FleetSize::default();
    size.observe(410, secs(20.0));
    // From here on the node is cut off together with two others.
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
