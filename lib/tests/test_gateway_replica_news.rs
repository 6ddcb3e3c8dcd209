//! How a watcher's news of the replicas is gathered.

use std::time::Duration;

use leadstage_lib::gateway::replica_news::NewsGathering;
use leadstage_lib::gateway::replica_news::ReplicaNews;

use crate::test_gateway_replicas::record;

const REPLICAS: usize = 3_000;

fn news(before: u64, added: &[&str], leaving: &[&str]) -> ReplicaNews {
    ReplicaNews {
        before,
        at: before + 1,
        added: added.iter().map(|id| record(id, false)).collect(),
        leaving: leaving.iter().map(|id| (*id).into()).collect(),
    }
}

#[test]
fn test_the_first_is_told_at_once_and_what_follows_together() {
    let mut gathering = NewsGathering::default();
    let at = Duration::from_secs(7);
    assert_eq!(gathering.add(news(1, &["a"], &[]), at), Some(Duration::ZERO));
    assert_eq!(gathering.take(REPLICAS, at), Some(news(1, &["a"], &[])));
    let pause = gathering.add(news(2, &["b"], &[]), at);
    assert_eq!(pause, Some(Duration::from_millis(30)));
    assert_eq!(gathering.add(news(3, &["c"], &["a"]), at), None, "it is told with the other");
    let told = gathering.take(REPLICAS, at + Duration::from_millis(30)).expect("it waited");
    assert_eq!((told.before, told.at, told.added.len(), told.leaving.len()), (2, 4, 2, 1));
    assert_eq!(gathering.take(REPLICAS, at), None);
}

/// Of several news of one replica only the newest is told.
#[test]
fn test_newer_news_of_a_replica_replace_older_ones() {
    let mut gathering = NewsGathering::default();
    gathering.add(news(1, &["a", "b"], &["c"]), Duration::ZERO);
    gathering.add(news(2, &["c"], &["a"]), Duration::ZERO);
    let told = gathering.take(REPLICAS, Duration::ZERO).expect("it waited");
    let added: Vec<_> = told.added.iter().map(|record| record.id.to_string()).collect();
    assert_eq!(added, ["b", "c"]);
    assert_eq!(told.leaving, ["a".into()]);
}

#[test]
fn test_too_many_changes_are_not_one_message() {
    let ids: Vec<String> = (0..200).map(|n| format!("engine-{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert!(news(1, &ids[..100], &ids[100..120]).fits());
    assert!(!news(1, &ids, &[]).fits());
}
