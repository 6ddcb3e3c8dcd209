//! Upgrades: merging of stages, the replicas that a request may go to, verdicts, and the course of stages.

use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Measure;
use leadstage_lib::gateway::answer_counts::Phase;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::canary;
use leadstage_lib::gateway::canary::VersionPool;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrade;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use leadstage_lib::gateway::upgrade::Stage;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade::Upgrades;
use leadstage_lib::gateway::upgrade_judge::Capacity;
use leadstage_lib::gateway::upgrade_judge::ExposureBounds;
use leadstage_lib::gateway::upgrade_judge::Situation;
use leadstage_lib::gateway::upgrade_verdict;
use leadstage_lib::gateway::upgrade_verdict::Verdict;
use proptest::prelude::*;

const BOUNDS: ExposureBounds = ExposureBounds { share: 0.1, slack: 50.0 };
const STAGES: [Stage; 8] = [
    Stage::Trial,
    Stage::Switch,
    Stage::Recheck,
    Stage::SecondSwitch,
    Stage::Proven,
    Stage::Reverted,
    Stage::Failed,
    Stage::Succeeded,
];

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn order(target: &str, made: u64) -> UpgradeOrder {
    UpgradeOrder { target: target.into(), within: secs(12.0), made }
}

fn announced(at: u64, orders: &[(&str, u64, Stage)]) -> AnnouncedUpgrades {
    let upgrades = orders.iter().map(|(service, made, stage)| AnnouncedUpgrade {
        service: (*service).into(),
        order: order("v2", *made),
        age: secs(1.0),
        stage: *stage,
    });
    AnnouncedUpgrades { at, upgrades: upgrades.collect() }
}

fn upgrade(stage: Stage) -> Upgrade {
    Upgrade { order: order("v2", 7), began: secs(100.0), stage, stage_since: secs(100.0) }
}

#[test]
fn test_a_later_stage_wins_in_any_order_of_announcements() {
    let mut upgrades = Upgrades::default();
    assert_eq!(upgrades.merge(announced(5, &[("s", 4, Stage::Reverted)]), secs(2.0)), ["s".into()]);
    // A node that missed the stage announces the trial, with a newer revision of the store.
    assert!(upgrades.merge(announced(9, &[("s", 4, Stage::Trial)]), secs(3.0)).is_empty());
    assert_eq!(upgrades.of("s").expect("there").stage, Stage::Reverted);
    // Another order for the same service starts over.
    assert_eq!(upgrades.merge(announced(10, &[("s", 10, Stage::Trial)]), secs(4.0)), ["s".into()]);
    assert_eq!(upgrades.of("s").expect("there").stage, Stage::Trial);
    // An older announcement does not know the new order.
    assert!(upgrades.merge(announced(9, &[("s", 4, Stage::Succeeded)]), secs(5.0)).is_empty());
    assert_eq!(upgrades.merge(announced(11, &[]), secs(6.0)), ["s".into()]);
    assert!(upgrades.is_empty());
}

/// An order that is missing in a restored copy of the store was not withdrawn. If it is missing in a later
/// announcement of the same era, it was.
#[test]
fn test_an_order_that_a_copy_of_the_store_lacks_stays() {
    let mut upgrades = Upgrades::default();
    upgrades.merge(announced(revision::in_era(0, 90), &[("s", 4, Stage::Reverted)]), secs(2.0));
    assert!(upgrades.merge(announced(revision::in_era(1, 5), &[]), secs(3.0)).is_empty());
    assert_eq!(upgrades.of("s").expect("there").stage, Stage::Reverted);
    assert_eq!(upgrades.merge(announced(revision::in_era(1, 6), &[]), secs(4.0)), ["s".into()]);
}

proptest! {
    /// Nodes that get all announcements of one history of the store, in any order and repeatedly, reach the
    /// same orders.
    #[test]
    fn test_nodes_converge_in_any_order_of_announcements(
        announcements in prop::collection::vec((0_u64..4, 0..STAGES.len(), 0..STAGES.len()), 1..12),
        shuffle in prop::collection::vec(any::<prop::sample::Index>(), 24),
    ) {
        // At revision 0 there is no order, at 1 an order for one service, at 2 also one for a second
        // service, and at 3 the first order is replaced.
        let announcement = |(at, a, b): (u64, usize, usize)| {
            let (a, b) = (STAGES[a], STAGES[b]);
            match at {
                0 => announced(0, &[]),
                1 => announced(1, &[("s", 1, a)]),
                2 => announced(2, &[("s", 1, a), ("t", 2, b)]),
                _ => announced(3, &[("s", 3, a), ("t", 2, b)]),
            }
        };
        let mut in_order = Upgrades::default();
        let mut sorted = announcements.clone();
        sorted.sort();
        sorted.iter().for_each(|w| drop(in_order.merge(announcement(*w), secs(10.0))));
        let mut shuffled = Upgrades::default();
        for index in shuffle {
            shuffled.merge(announcement(announcements[index.index(announcements.len())]), secs(10.0));
        }
        // Each announcement is merged at least once.
        announcements.iter().rev().for_each(|w| drop(shuffled.merge(announcement(*w), secs(10.0))));
        let view = |upgrades: &Upgrades| {
            upgrades.iter().map(|(s, u)| (s.clone(), u.order.clone(), u.stage)).collect::<Vec<_>>()
        };
        prop_assert_eq!(in_order.at(), shuffled.at());
        let orders = |upgrades: &Upgrades| {
            view(upgrades).into_iter().map(|(s, order, _)| (s, order)).collect::<Vec<_>>()
        };
        prop_assert_eq!(orders(&in_order), orders(&shuffled));
    }
}

fn replica(id: &str, version: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".into(),
        slots: 8,
        leaving: false,
        cold: Duration::ZERO,
        born: 0,
        version: version.into(),
    }
}

fn table() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    let mut change = ListChange::default();
    for n in 0..20 {
        table.on_entry(replica(&format!("old-{n}"), "v1"), Duration::ZERO, &mut change);
        table.on_entry(replica(&format!("new-{n}"), "v2"), Duration::ZERO, &mut change);
    }
    table
}

/// Ids of the replicas that a request may go to, by pool.
fn candidates_of(table: &ReplicaTable, stage: Stage, run: u64) -> Vec<Vec<String>> {
    let key = RunKey { entry: "10.0.0.9:7080".into(), run };
    let upgrade = upgrade(stage);
    let canaries = || canary::canary_replicas(table, "s", &upgrade.order, 0.1);
    let pools = canary::pools(&upgrade, &key, 0.1, canaries);
    let replicas = table.of_service("s");
    let ids = |pool: &VersionPool| -> Vec<String> {
        let members = replicas.iter().filter(|replica| pool.has(replica));
        members.map(|replica| replica.record.id.to_string()).collect()
    };
    pools.iter().map(ids).collect()
}

#[test]
fn test_a_share_of_the_requests_goes_to_few_new_replicas() {
    let table = table();
    let selected = (0..20_000).filter(|run| candidates_of(&table, Stage::Trial, *run).len() == 2).count();
    assert!((1_800..2_200).contains(&selected), "{selected} of 20,000 for a share of a tenth");
    for run in 0..200 {
        let candidates = candidates_of(&table, Stage::Trial, run);
        assert_eq!(candidates, candidates_of(&table, Stage::Trial, run), "a request is selected once");
        let present = candidates.last().expect("a pool");
        assert!(present.len() == 20 && present.iter().all(|id| id.starts_with("old")), "{candidates:?}");
        if candidates.len() == 2 {
            assert_eq!(candidates[0].len(), 2, "a tenth of 20 present ones: {candidates:?}");
            assert!(candidates[0].iter().all(|id| id.starts_with("new")), "{candidates:?}");
        }
    }
}

#[test]
fn test_a_reverted_version_gets_no_requests() {
    let table = table();
    for stage in [Stage::Reverted, Stage::Failed] {
        for run in 0..200 {
            let candidates = candidates_of(&table, stage, run);
            assert!(candidates.iter().flatten().all(|id| id.starts_with("old")), "{stage}: {candidates:?}");
        }
    }
    for stage in [Stage::Switch, Stage::Proven, Stage::Succeeded] {
        let candidates = candidates_of(&table, stage, 1);
        assert!(
            candidates[0].len() == 20 && candidates[0].iter().all(|id| id.starts_with("new")),
            "{candidates:?}"
        );
    }
}

/// Answers of both versions on one route, as numbers of good answers, of 60 ms each, and of bad answers.
fn counts(present: (u32, u32), target: (u32, u32), bad: Sample) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    for (side, (good_count, bad_count)) in [(Side::Present, present), (Side::Target, target)] {
        let good_answer = Sample::Took(Measure::Answer, secs(0.06));
        (0..good_count).for_each(|_| counts.on_sample(&"r".into(), Phase::Trial, side, good_answer));
        (0..bad_count).for_each(|_| counts.on_sample(&"r".into(), Phase::Trial, side, bad));
    }
    counts
}

#[test]
fn test_errors_and_slow_answers_show_a_worse_version() {
    let slow = Sample::Took(Measure::Answer, secs(0.3));
    for bad in [Sample::Failed, slow] {
        let verdict = |present, target| upgrade_verdict::verdict(&counts(present, target, bad));
        assert!(matches!(verdict((200, 1), (12, 5)), Verdict::Worse(_)), "a third is bad");
        assert_eq!(verdict((200, 1), (20, 1)), Verdict::NotWorse, "one may be the request's fault");
        assert_eq!(verdict((150, 50), (20, 7)), Verdict::NotWorse, "the present version has the same rate");
        assert!(matches!(verdict((150, 50), (10, 30)), Verdict::Worse(_)), "many more are bad than usual");
    }
    assert_eq!(upgrade_verdict::verdict(&AnswerCounts::default()), Verdict::Unknown);
    // Without enough answers of the present version there is no baseline: only errors count.
    assert!(matches!(upgrade_verdict::verdict(&counts((0, 0), (2, 6), Sample::Failed)), Verdict::NotWorse));
    assert!(matches!(upgrade_verdict::verdict(&counts((6, 0), (2, 6), slow)), Verdict::NotWorse));
}

/// A fifth of the present version's answers take several times as long as the others, and none fail.
#[test]
fn test_errors_show_a_worse_version_of_a_service_with_uneven_times() {
    let mut counts = counts((272, 0), (27, 11), Sample::Failed);
    let slow = Sample::Took(Measure::Answer, secs(0.3));
    (0..68).for_each(|_| counts.on_sample(&"r".into(), Phase::Trial, Side::Present, slow));
    (0..8).for_each(|_| counts.on_sample(&"r".into(), Phase::Trial, Side::Target, slow));
    let verdict = upgrade_verdict::verdict(&counts);
    assert!(matches!(verdict, Verdict::Worse(_)), "a quarter fails, with a baseline of none: {verdict:?}");
}

#[test]
fn test_chances_are_those_of_the_binomial_distribution() {
    let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(close(upgrade_verdict::binomial_tail(1, 2, 0.5), 0.75));
    assert!(close(upgrade_verdict::binomial_tail(2, 2, 0.5), 0.25));
    assert!(close(upgrade_verdict::binomial_tail(3, 10, 0.1), 0.070_190_826_4));
    assert!(close(upgrade_verdict::binomial_tail(0, 10, 0.1), 1.0));
}

/// The number of good answers of the switch that are enough at 100 requests per second.
const SWITCH_ANSWERS: u32 = 11;

fn add_switch_answers(counts: &mut AnswerCounts, count: u32) {
    let answer = Sample::Took(Measure::Answer, secs(0.06));
    (0..count).for_each(|_| counts.on_sample(&"r".into(), Phase::Switch, Side::Target, answer));
}

/// The stages that an upgrade reaches, with the elapsed seconds. `counts` gives the counts for the elapsed
/// seconds and does not depend on the stage.
fn stage_course(
    counts: impl Fn(f64) -> AnswerCounts,
    capacity: Capacity,
    store_answers: bool,
    hearing: Coverage,
) -> Vec<(Stage, f64)> {
    let mut upgrade = upgrade(Stage::Trial);
    let mut stages = Vec::new();
    for tenth in 0..300 {
        let elapsed = f64::from(tenth) / 10.0;
        let now = secs(100.0 + elapsed);
        let mut counts = counts(elapsed);
        if upgrade.stage.is_switch() {
            add_switch_answers(&mut counts, SWITCH_ANSWERS);
        }
        let situation = Situation {
            upgrade: &upgrade,
            counts: &counts,
            capacity,
            has_streams: false,
            store_answers,
            hearing,
            bounds: BOUNDS,
        };
        if let Some(next) = situation.next(now) {
            stages.push((next.stage, elapsed));
            (upgrade.stage, upgrade.stage_since) = (next.stage, now);
        }
    }
    stages
}

/// Counts of 100 requests per second, a twentieth of them to the new version, all good.
fn good(elapsed: f64) -> AnswerCounts {
    counts(((95.0 * elapsed) as u32, 0), ((5.0 * elapsed) as u32, 0), Sample::Failed)
}

#[test]
fn test_a_good_version_is_reported_before_the_time_is_over() {
    let capacity = Capacity { present: 40, target: 40 };
    insta::assert_debug_snapshot!(stage_course(good, capacity, true, Coverage::Most));
}

#[test]
fn test_no_stage_follows_without_the_store_or_capacity() {
    let capacity = Capacity { present: 40, target: 40 };
    assert_eq!(stage_course(good, capacity, false, Coverage::Most), []);
    assert_eq!(stage_course(good, Capacity { present: 40, target: 8 }, true, Coverage::Most), []);
    let none = |_| counts((500, 0), (0, 0), Sample::Failed);
    assert_eq!(stage_course(none, capacity, true, Coverage::Most), [], "nothing is known of the new version");
    let stages = stage_course(none, Capacity { present: 40, target: 0 }, true, Coverage::Most);
    assert_eq!(stages.iter().map(|(stage, _)| *stage).collect::<Vec<_>>(), [Stage::Reverted]);
}

/// A judge that takes over from another one has few reports at first, which are enough to revert a version
/// only.
#[test]
fn test_a_judge_with_reports_of_few_nodes_only_reverts() {
    let capacity = Capacity { present: 40, target: 40 };
    assert_eq!(stage_course(good, capacity, true, Coverage::Few), []);
    let bad = |_| counts((500, 0), (10, 12), Sample::Failed);
    assert_eq!(stage_course(bad, capacity, true, Coverage::Few), [(Stage::Reverted, 0.0)]);
}

/// Guards against a success that rests on a handful of answers, of which a clearly bad version may have few
/// bad ones by chance.
#[test]
fn test_few_answers_support_no_version() {
    let supports =
        |good, bad| upgrade_verdict::supports_target(&counts((200, 0), (good, bad), Sample::Failed));
    assert_eq!(
        [supports(2, 0), supports(12, 2), supports(30, 0), supports(60, 2)],
        [false, false, true, true]
    );
    let with_few_present = upgrade_verdict::supports_target(&counts((9, 0), (78, 25), Sample::Failed));
    assert!(!with_few_present, "the present version has hardly answered");
    let capacity = Capacity { present: 40, target: 40 };
    let few = |_| counts((200, 0), (12, 2), Sample::Failed);
    let late = stage_course(few, capacity, true, Coverage::Most);
    assert_eq!(late.iter().map(|(stage, _)| *stage).collect::<Vec<_>>(), [Stage::Switch], "{late:?}");
    let enough = |_| counts((200, 0), (60, 2), Sample::Failed);
    assert_eq!(stage_course(enough, capacity, true, Coverage::Most).len(), 2);
}

/// Guards against a success that rests on the trial alone: the version may have turned bad when it got all
/// requests, and its answers are not there yet.
#[test]
fn test_a_success_needs_answers_of_the_switch() {
    let switch = Upgrade { stage_since: secs(110.9), ..upgrade(Stage::Switch) };
    let next = |switch_answers| {
        let mut counts = good(10.9);
        add_switch_answers(&mut counts, switch_answers);
        let situation = Situation {
            upgrade: &switch,
            counts: &counts,
            capacity: Capacity { present: 40, target: 40 },
            has_streams: false,
            store_answers: true,
            hearing: Coverage::Most,
            bounds: BOUNDS,
        };
        situation.next(secs(111.6)).map(|next| next.stage)
    };
    let stages = [0, SWITCH_ANSWERS - 2, SWITCH_ANSWERS].map(next);
    assert_eq!(stages, [None, None, Some(Stage::Proven)]);
}

/// If only half of the nodes have reported, the others may have ended a moment ago: the decision waits for
/// them as long as there is time.
#[test]
fn test_a_success_by_half_of_the_nodes_is_decided_as_late_as_possible() {
    let capacity = Capacity { present: 40, target: 40 };
    let stages = stage_course(good, capacity, true, Coverage::Half);
    assert_eq!(stages, [(Stage::Switch, 10.9), (Stage::Proven, 11.5)]);
}

#[test]
fn test_a_version_that_turns_bad_late_or_in_the_switch_is_reverted() {
    let capacity = Capacity { present: 40, target: 40 };
    for from in [0.5, 6.0, 10.9] {
        let turns_bad = |elapsed: f64| match elapsed > from {
            true => counts(((95.0 * elapsed) as u32, 0), ((5.0 * from) as u32, 12), Sample::Failed),
            false => good(elapsed),
        };
        let last =
            stage_course(turns_bad, capacity, true, Coverage::Most).pop().expect("the upgrade advances");
        assert_eq!(last, (Stage::Reverted, from + 0.1), "{from}");
    }
}
