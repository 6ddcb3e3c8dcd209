//! State of replicas as known to a node.

use std::time::Duration;

use leadstage_lib::gateway::leaving_announcements::MAX_LEAVING_TIME;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::retry_window::RetryShare;
use leadstage_lib::gateway::retry_window::RetryWindow;
use leadstage_lib::gateway::store_outages::RELIST_GRACE;
use leadstage_lib::gateway::store_outages::StoreOutages;

/// An entry of service `m`.
pub fn record(id: &str, leaving: bool) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        service: "m".into(),
        address: "127.0.0.1:9000".parse().expect("valid"),
        hall: "a".into(),
        slots: 4,
        leaving,
        cold: Duration::ZERO,
        born: 0,
        version: "v1".into(),
    }
}

fn usable(table: &ReplicaTable, now: Duration) -> Vec<String> {
    table.of_service("m").into_iter().filter(|r| r.is_usable(now)).map(|r| r.record.id.to_string()).collect()
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn test_announced_or_unlisted_replicas_are_leaving() {
    let mut table = ReplicaTable::default();
    let change = table.on_list(vec![record("a", false), record("b", false)], None, seconds(1));
    assert_eq!(change.added.len(), 2);
    let mut change = ListChange::default();
    table.on_entry(record("a", true), seconds(2), &mut change);
    table.on_unlisted("b", seconds(2), &mut change);
    table.on_unlisted("b", seconds(3), &mut change);
    assert_eq!(change.leaving, ["a".into(), "b".into()], "each is reported once");
    assert_eq!(usable(&table, seconds(3)), Vec::<String>::new());
}

/// Entries that expired while the store was unavailable may come back; after the grace period their
/// replicas are gone.
#[test]
fn test_expired_entries_get_a_grace_period() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, seconds(1));
    let change = table.on_list(vec![], Some(seconds(10)), seconds(10));
    assert_eq!(change, ListChange::default());
    assert_eq!(usable(&table, seconds(10)).len(), 2);
    table.on_entry(record("a", false), seconds(11), &mut ListChange::default());
    let change = table.tick(seconds(10) + RELIST_GRACE + Duration::from_millis(1), seconds(30));
    assert_eq!(change.leaving, ["b".into()]);
    assert_eq!(usable(&table, seconds(13)), ["a"]);
}

/// An entry whose removal is reported while the store is disturbed gets the same grace period, counted from
/// the first report.
#[test]
fn test_grace_period_counts_from_the_first_absence() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false)], None, seconds(1));
    table.on_missing("a", seconds(10));
    table.on_missing("a", seconds(11));
    assert_eq!(usable(&table, seconds(11)), ["a"]);
    assert_eq!(table.tick(seconds(13), seconds(30)).leaving, ["a".into()]);
}

#[test]
fn test_an_entry_revokes_only_indirect_signs() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, seconds(1));
    assert!(table.on_sign(&record("a", false).incarnation(), LeavingSign::ReportedByPeer, seconds(2)));
    assert!(
        !table.on_sign(&record("a", false).incarnation(), LeavingSign::Unhealthy, seconds(2)),
        "not recorded again"
    );
    assert!(table.on_sign(&record("b", false).incarnation(), LeavingSign::Replaced, seconds(2)));
    for id in ["a", "b"] {
        table.on_entry(record(id, false), seconds(3), &mut ListChange::default());
    }
    assert_eq!(usable(&table, seconds(3)), ["a"]);
}

/// An announcement stays in force even if the replica was considered to be leaving before because of a weaker
/// sign.
#[test]
fn test_no_entry_revokes_an_announcement() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, seconds(1));
    let of = |id| record(id, false).incarnation();
    assert!(table.on_sign(&of("a"), LeavingSign::Announced, seconds(2)));
    assert!(!table.on_sign(&of("a"), LeavingSign::Announced, seconds(2)), "not recorded again");
    assert!(table.on_sign(&of("b"), LeavingSign::Unhealthy, seconds(2)));
    assert!(table.on_sign(&of("b"), LeavingSign::Announced, seconds(2)), "no entry revokes it now");
    let mut change = ListChange::default();
    for id in ["a", "b"] {
        table.on_entry(record(id, false), seconds(3), &mut change);
    }
    assert_eq!((change, usable(&table, seconds(3))), (ListChange::default(), Vec::new()));
}

/// A replica that announced that it is leaving keeps serving while the store is unavailable, and its old
/// entry may still exist. It is forgotten once its entry is gone, or when it must have ended.
#[test]
fn test_announced_replica_is_kept_while_it_may_serve() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, seconds(1));
    for id in ["a", "b"] {
        table.on_sign(&record(id, false).incarnation(), LeavingSign::Announced, seconds(2));
    }
    let forget_after = seconds(30);
    table.tick(seconds(100), forget_after);
    assert_eq!(table.len(), 2);
    table.on_unlisted("a", seconds(100), &mut ListChange::default());
    table.tick(seconds(131), forget_after);
    assert!(table.get("a").is_none() && table.get("b").is_some());
    table.tick(seconds(33) + MAX_LEAVING_TIME, forget_after);
    assert!(table.is_empty());
}

#[test]
fn test_backoff_grows_with_consecutive_failures() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false)], None, seconds(1));
    table.on_failure("a", seconds(1));
    assert_eq!(usable(&table, seconds(1)), Vec::<String>::new());
    assert_eq!(usable(&table, seconds(2)), ["a"]);
    for _ in 0..5 {
        table.on_failure("a", seconds(2));
    }
    assert_eq!(usable(&table, seconds(4)), Vec::<String>::new());
    table.on_answer("a", false, seconds(4));
    assert_eq!(usable(&table, seconds(4)), ["a"]);
}

#[test]
fn test_replicas_that_left_are_forgotten() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false)], None, seconds(1));
    table.on_unlisted("a", seconds(2), &mut ListChange::default());
    table.tick(seconds(20), seconds(30));
    assert!(table.get("a").is_some());
    table.tick(seconds(40), seconds(30));
    assert!(table.get("a").is_none());
}

#[test]
fn test_retries_stay_within_the_window() {
    let share = RetryShare { window: seconds(10), ratio: 0.2, slack: 2.0 };
    let mut window = RetryWindow::default();
    for n in 0..50 {
        window.on_request(Duration::from_millis(100 * n));
    }
    let taken = (0..100).filter(|_| window.take(seconds(5), &share)).count();
    assert_eq!(taken, 8, "0.7 of 50 x 0.2 + 2");
    assert!(!window.take(seconds(14), &share), "the window still holds them");
    assert!(window.take(seconds(16), &share), "the slack is available again");
}

#[test]
fn test_error_share_decays() {
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false)], None, seconds(1));
    let error_share = |table: &ReplicaTable, now| table.get("a").expect("known").error_share(now);
    for _ in 0..20 {
        table.on_answer("a", true, seconds(2));
    }
    assert!(error_share(&table, seconds(2)) > 0.95);
    assert!(error_share(&table, seconds(12)) < 0.15);
    assert_eq!(usable(&table, seconds(2)), ["a"], "it answers: errors only raise its cost");
}

/// A replica whose entry disappears after an outage is considered gone two seconds after the store was
/// back, whenever the removal is reported: the two periods do not add up.
#[test]
fn test_grace_period_counts_from_the_end_of_the_outage() {
    let second = Duration::from_secs(1);
    let mut outages = StoreOutages::default();
    assert_eq!(outages.missing_since(5 * second), None, "the store was never unavailable");
    outages.on_store_unavailable(10 * second);
    for reported in [10 * second, 11 * second, 12 * second - Duration::from_millis(1)] {
        let since = outages.missing_since(reported).expect("it may have expired");
        let mut table = ReplicaTable::default();
        table.on_list(vec![record("r", false)], None, Duration::ZERO);
        table.on_missing("r", since);
        assert!(table.tick(12 * second, 60 * second).leaving.is_empty());
        let gone = table.tick(12 * second + Duration::from_millis(1), 60 * second).leaving;
        assert_eq!(gone, ["r".into()], "reported at {reported:?}");
    }
    assert_eq!(outages.missing_since(12 * second), None, "live replicas are listed again by then");
}

/// Guards against a grace period that each new reader of the store starts again with its list.
#[test]
fn test_lists_do_not_extend_the_grace_period() {
    let second = Duration::from_secs(1);
    let mut outages = StoreOutages::default();
    outages.on_store_unavailable(10 * second);
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, Duration::ZERO);
    for read in [10 * second + Duration::from_millis(500), 11 * second + Duration::from_millis(900)] {
        table.on_list(vec![record("a", false)], outages.missing_since(read), read);
        assert!(table.missing().map(|id| &**id).eq(["b"]), "read at {read:?}");
        assert_eq!(usable(&table, read), ["a", "b"], "read at {read:?}");
    }
    assert_eq!(table.tick(12 * second + Duration::from_millis(1), 60 * second).leaving, ["b".into()]);
}

/// If the store answered other nodes in what seemed to be an outage, entries that were missing have been removed; a
/// store that was restored from a copy may lack entries all the same.
#[test]
fn test_missing_replicas_are_gone_once_an_outage_is_refuted() {
    let second = Duration::from_secs(1);
    let mut outages = StoreOutages::default();
    assert!(!outages.on_refuted(9 * second), "there was no outage");
    outages.on_store_unavailable(10 * second);
    let mut table = ReplicaTable::default();
    table.on_list(vec![record("a", false), record("b", false)], None, Duration::ZERO);
    table.on_missing("a", outages.missing_since(11 * second).expect("it may have expired"));
    assert!(outages.on_refuted(11 * second));
    assert_eq!(table.end_missing(11 * second).leaving, ["a".into()]);
    assert_eq!(usable(&table, 11 * second), ["b"]);
    assert_eq!(outages.missing_since(11 * second), None);
    assert!(!outages.on_refuted(11 * second), "it was refuted before");

    outages.on_store_restored(20 * second);
    outages.on_store_unavailable(20 * second);
    assert!(!outages.on_refuted(21 * second));
    assert!(outages.missing_since(21 * second).is_some());
}
