//! Revisions across restores of the store from a copy.

use std::time::Duration;

use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_updates::ReplicaUpdate;
use leadstage_lib::gateway::replica_updates::UpdateProgress;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::revision::Revision;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const SECOND: Duration = Duration::from_secs(1);

fn change(id: &str) -> ListChange {
    ListChange { leaving: vec![id.into()], ..ListChange::default() }
}

proptest! {
    /// Revisions are ordered by era first, and within an era by the store's numbers.
    #[test]
    fn test_revisions_are_ordered_by_era_then_number(
        a in (0u64..1 << 20, 0u64..1 << 39),
        b in (0u64..1 << 20, 0u64..1 << 39)
    ) {
        let of = |(era, number)| revision::in_era(era, number);
        prop_assert_eq!(of(a).cmp(&of(b)), a.cmp(&b));
        prop_assert_eq!((revision::era(of(a)), revision::number(of(a))), a);
    }
}

#[test]
fn test_values_out_of_range_are_clamped() {
    let largest = revision::in_era(u64::MAX, u64::MAX);
    assert_eq!(largest, Revision::MAX);
    assert_eq!(revision::era(revision::in_era(3, u64::MAX)), 3);
}

#[test]
fn test_updates_of_a_later_era_are_newer() {
    let mut progress = UpdateProgress::default();
    progress.on_known(revision::in_era(0, 90));
    let at = revision::in_era(1, 5);
    let update = ReplicaUpdate { before: revision::in_era(0, 90), at, ..ReplicaUpdate::default() };
    assert!(!progress.has(&update.pack().expect("small")));
    assert!(!progress.on_part(&update), "nothing is missing");
    assert_eq!(progress.at(), at);
    let late = ReplicaUpdate { before: 80, at: revision::in_era(0, 95), ..ReplicaUpdate::default() };
    assert!(progress.has(&late.pack().expect("small")), "of the previous era");
}

/// If a copy lists a replica whose end was learnt before the restore, the end is newer; a replica whose
/// entry only expired comes back.
#[test]
fn test_list_of_a_restored_store_revives_no_ended_replica() {
    let mut table = ReplicaTable::default();
    let all = || ["a", "b", "c", "d"].map(|id| record(id, false)).to_vec();
    table.on_list(all(), None, SECOND);
    let mut gone = ListChange::default();
    table.on_unlisted("a", SECOND, &mut gone);
    table.on_missing("b", Duration::ZERO);
    let expired_change = table.tick(3 * SECOND, 30 * SECOND);
    assert_eq!(expired_change.leaving, ["b".into()]);
    assert!(table.on_sign(&record("c", false).incarnation(), LeavingSign::ReportedByPeer, SECOND));
    for id in ["a", "b", "c"] {
        table.set_changed_at(&change(id), revision::in_era(0, 90));
    }
    let staying = |table: &ReplicaTable| {
        let mut ids: Vec<String> = table.staying("m").map(|replica| replica.record.id.to_string()).collect();
        ids.sort();
        ids
    };
    let at = revision::in_era(1, 5);
    let change = table.on_store_list(all(), at, revision::in_era(0, 90), Some(4 * SECOND), 4 * SECOND);
    assert_eq!((change.added, staying(&table)), (vec!["b".into()], vec!["b".to_owned(), "d".to_owned()]));
    let mut change = ListChange::default();
    table.on_entry(record("a", false), 5 * SECOND, &mut change);
    assert_eq!(change.added, ["a".into()], "the entry was written in the new era");
}

/// A list of the same era as a replica's end is newer than the end.
#[test]
fn test_list_of_the_same_era_revives_a_replica() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false)], None, SECOND);
    table.on_unlisted("a", SECOND, &mut ListChange::default());
    table.set_changed_at(&change("a"), revision::in_era(1, 4));
    let (at, known) = (revision::in_era(1, 5), revision::in_era(1, 4));
    let change = table.on_store_list(vec![record("a", false)], at, known, None, 2 * SECOND);
    assert_eq!(change.added, ["a".into()]);
}
