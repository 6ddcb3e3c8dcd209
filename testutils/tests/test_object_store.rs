//! Tests of the object API's stand-in.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::object_store::CallBudget;
use leadstage_testutils::object_store::MAX_VALUE_BYTES;
use leadstage_testutils::object_store::ObjectStore;
use leadstage_testutils::object_store::WriteError;

#[test]
fn test_conditional_writes() {
    let mut store = ObjectStore::default();
    let first = store.put("a/1", 0, vec![1]).expect("the object is absent");
    assert_eq!(store.put("a/1", 0, vec![2]), Err(WriteError::Conflict { current: first }));
    let second = store.put("a/1", first, vec![2]).expect("the version is current");
    assert!(second > first);
    assert_eq!(store.put("b", 0, vec![0; MAX_VALUE_BYTES + 1]), Err(WriteError::TooLarge));
    store.put("a/2", 0, vec![]).expect("the object is absent");
    assert_eq!(store.list("a/"), ["a/1", "a/2"]);
}

#[test]
fn test_call_budget_limits_calls_per_second() {
    let start = Instant::now();
    let mut budget = CallBudget::new(100.0, start);
    let taken = (0..1_000).filter(|_| budget.try_take(start)).count();
    assert_eq!(taken, 100);
    let later = start + Duration::from_millis(500);
    assert_eq!((0..1_000).filter(|_| budget.try_take(later)).count(), 50);
}
