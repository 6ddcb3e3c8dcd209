//! Replicas that restart under the same id.

use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_record::StartTime;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::run_key::RunKey;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const NOW: Duration = Duration::from_secs(10);

fn record_started_at(at: StartTime) -> ReplicaRecord {
    ReplicaRecord { born: at, ..record("a", false) }
}

fn entry(table: &mut ReplicaTable, record: ReplicaRecord) -> ListChange {
    let mut change = ListChange::default();
    table.on_entry(record, NOW, &mut change);
    change
}

#[test]
fn test_restart_clears_the_state_of_the_earlier_incarnation() {
    let mut table = ReplicaTable::default();
    entry(&mut table, record_started_at(100));
    table.on_failure("a", NOW);
    table.on_sign(&record_started_at(100).incarnation(), LeavingSign::Replaced, NOW);
    let change = entry(&mut table, record_started_at(200));
    assert_eq!((change.added, change.restarted), (vec!["a".into()], vec!["a".into()]));
    let replica = table.get("a").expect("known");
    assert!(replica.is_usable(NOW), "it is neither leaving nor in back-off");
    assert_eq!((replica.consecutive_failures(), replica.error_share(NOW)), (0, 0.0));
}

/// Without a start time, an entry belongs to the known incarnation.
#[test]
fn test_entry_without_start_time_belongs_to_the_known_incarnation() {
    let mut table = ReplicaTable::default();
    entry(&mut table, record_started_at(0));
    assert_eq!(entry(&mut table, record_started_at(0)), ListChange::default());
    assert_eq!(
        entry(&mut table, record_started_at(100)),
        ListChange::default(),
        "its start time is known from now on"
    );
    assert_eq!(entry(&mut table, record_started_at(0)), ListChange::default());
    assert_eq!(table.get("a").expect("known").record.born, 100);
    let unknown = Incarnation { id: "a".into(), born: 0 };
    assert!(table.on_sign(&unknown, LeavingSign::Unhealthy, NOW));
}

/// A replica may turn cold again, which counts as a change. A list from another node, however, carries the
/// cold time as of when that node read the entry.
#[test]
fn test_only_entries_of_the_store_make_a_known_replica_cold() {
    let cold = ReplicaRecord { cold: Duration::from_secs(1), ..record_started_at(100) };
    let mut table = ReplicaTable::default();
    entry(&mut table, cold.clone());
    let list = table.list(7);
    let later = NOW + Duration::from_secs(5);
    assert!(table.get("a").is_some_and(|a| a.is_cold(NOW) && !a.is_cold(later)));
    for is_whole in [true, false] {
        let fetched = ReplicaList { is_whole, ..list.clone() };
        assert_eq!(table.on_peer_list(fetched, later), ListChange::default());
        assert!(table.get("a").is_some_and(|a| !a.is_cold(later)));
    }
    let mut change = ListChange::default();
    table.on_entry(cold, later, &mut change);
    assert_eq!(change.added, ["a".into()]);
    assert!(table.get("a").is_some_and(|a| a.is_cold(later)));
}

#[test]
fn test_restart_drops_runs_of_the_earlier_incarnation() {
    let mut table = ReplicaTable::default();
    entry(&mut table, record_started_at(100));
    entry(&mut table, record("b", false));
    let mut tracker = LoadTracker::new(Policy::default());
    let size = Some(GenerationSize { prompt: 3_000, expected: 700 });
    let runs = [("a", None), ("b", Some("a")), ("b", None)];
    let keys: Vec<RunKey> = (0..3).map(|run| RunKey { entry: "n".into(), run }).collect();
    for (key, (at, from)) in keys.iter().zip(runs) {
        let run = Run {
            replica: at.into(),
            size,
            produced: 0,
            copied_from: from.map(Into::into),
            ..Run::default()
        };
        tracker.add(key.clone(), run, table.get(at).expect("known"), NOW);
    }
    assert_eq!((tracker.copies_from("a"), tracker.prefill.wait("a", NOW) > Duration::ZERO), (1, true));
    tracker.on_restarted("a");
    assert!(
        tracker.get(&keys[0]).is_none() && tracker.get(&keys[1]).is_some() && tracker.get(&keys[2]).is_some()
    );
    assert_eq!((tracker.copies_from("a"), tracker.prefill.wait("a", NOW)), (0, Duration::ZERO));
}

/// A report about some incarnation of a replica.
#[derive(Clone, Debug)]
enum Report {
    Entry(StartTime),
    Leaves(StartTime),
    Failed(StartTime),
}

fn report() -> impl Strategy<Value = Report> {
    let start = 1..4_u64;
    prop_oneof![
        start.clone().prop_map(Report::Entry),
        start.clone().prop_map(Report::Leaves),
        start.prop_map(Report::Failed)
    ]
}

proptest! {
    /// Entries and reports arrive in any order and any number of times: only reports about the newest
    /// incarnation that an entry named count.
    #[test]
    fn test_reports_of_older_incarnations_are_ignored(reports in proptest::collection::vec(report(), 1..30)) {
        let mut table = ReplicaTable::default();
        let (mut newest, mut leaves, mut fails) = (0, false, false);
        for report in reports {
            match report {
                Report::Entry(start) => {
                    entry(&mut table, record_started_at(start));
                    if start > newest {
                        (newest, leaves, fails) = (start, false, false);
                    } else if start == newest {
                        // An entry that lists the replica as staying overrides a report of another node.
                        leaves = false;
                    }
                }
                Report::Leaves(start) => {
                    table.on_sign(&record_started_at(start).incarnation(), LeavingSign::ReportedByPeer, NOW);
                    leaves |= newest > 0 && start >= newest;
                }
                Report::Failed(start) => {
                    table.on_incarnation_failure(&record_started_at(start).incarnation(), NOW);
                    fails |= newest > 0 && start >= newest;
                }
            }
            let known = table.get("a");
            prop_assert_eq!(known.map_or(0, |replica| replica.record.born), newest);
            prop_assert_eq!(known.is_some_and(|replica| replica.leaving.is_some()), leaves);
            prop_assert_eq!(known.is_some_and(|replica| replica.consecutive_failures() > 0), fails);
        }
    }
}
