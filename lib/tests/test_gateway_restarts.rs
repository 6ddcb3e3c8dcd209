//! Replicas that start again under the id that they had.

use std::time::Duration;

use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadBook;
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

fn born(at: StartTime) -> ReplicaRecord {
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
    entry(&mut table, born(100));
    table.on_failure("a", NOW);
    table.on_sign(&born(100).incarnation(), LeavingSign::Replaced, NOW);
    let change = entry(&mut table, born(200));
    assert_eq!((change.added, change.restarted), (vec!["a".into()], vec!["a".into()]));
    let replica = table.get("a").expect("known");
    assert!(replica.is_usable(NOW), "it neither leaves nor rests");
    assert_eq!((replica.consecutive_failures(), replica.error_share(NOW)), (0, 0.0));
}

/// Where the start is not told, an entry is of the replica that is known, as it always was.
#[test]
fn test_entry_without_start_time_belongs_to_the_known_incarnation() {
    let mut table = ReplicaTable::default();
    entry(&mut table, born(0));
    assert_eq!(entry(&mut table, born(0)), ListChange::default());
    assert_eq!(entry(&mut table, born(100)), ListChange::default(), "its start is told from now on");
    assert_eq!(entry(&mut table, born(0)), ListChange::default());
    assert_eq!(table.get("a").expect("known").record.born, 100);
    let unknown = Incarnation { id: "a".into(), born: 0 };
    assert!(table.on_sign(&unknown, LeavingSign::Unhealthy, NOW));
}

/// A replica may turn cold again, which is news; a list that another node hands over tells how long it was to
/// be cold when that node read it.
#[test]
fn test_only_entries_of_the_store_make_a_known_replica_cold() {
    let cold = ReplicaRecord { cold: Duration::from_secs(1), ..born(100) };
    let mut table = ReplicaTable::default();
    entry(&mut table, cold.clone());
    let list = table.list(7);
    let later = NOW + Duration::from_secs(5);
    assert!(table.get("a").is_some_and(|a| a.is_cold(NOW) && !a.is_cold(later)));
    for is_whole in [true, false] {
        let handed = ReplicaList { is_whole, ..list.clone() };
        assert_eq!(table.on_peer_list(handed, later), ListChange::default());
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
    entry(&mut table, born(100));
    entry(&mut table, record("b", false));
    let mut book = LoadBook::new(Policy::default());
    let size = Some(GenerationSize { prompt: 3_000, expected: 700 });
    let runs = [("a", None), ("b", Some("a")), ("b", None)];
    let keys: Vec<RunKey> = (0..3).map(|run| RunKey { entry: "n".into(), run }).collect();
    for (key, (at, from)) in keys.iter().zip(runs) {
        let run = Run { replica: at.into(), size, produced: 0, copied_from: from.map(Into::into) };
        book.add(key.clone(), run, table.get(at).expect("known"), NOW);
    }
    assert_eq!((book.copies_from("a"), book.reading.wait("a", NOW) > Duration::ZERO), (1, true));
    book.on_restarted("a");
    assert!(book.get(&keys[0]).is_none() && book.get(&keys[1]).is_some() && book.get(&keys[2]).is_some());
    assert_eq!((book.copies_from("a"), book.reading.wait("a", NOW)), (0, Duration::ZERO));
}

/// What is said of some start of a replica.
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
    /// In whatever order entries and news come, and however often: only what is said of the newest start that
    /// an entry has told counts.
    #[test]
    fn test_reports_of_older_incarnations_are_ignored(reports in proptest::collection::vec(report(), 1..30)) {
        let mut table = ReplicaTable::default();
        let (mut newest, mut leaves, mut fails) = (0, false, false);
        for report in reports {
            match report {
                Report::Entry(start) => {
                    entry(&mut table, born(start));
                    if start > newest {
                        (newest, leaves, fails) = (start, false, false);
                    } else if start == newest {
                        // An entry that says that it stays is believed more than hearsay.
                        leaves = false;
                    }
                }
                Report::Leaves(start) => {
                    table.on_sign(&born(start).incarnation(), LeavingSign::ReportedByPeer, NOW);
                    leaves |= newest > 0 && start >= newest;
                }
                Report::Failed(start) => {
                    table.on_incarnation_failure(&born(start).incarnation(), NOW);
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
