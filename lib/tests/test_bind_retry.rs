//! Attempts to bind a port that is not available.

use std::time::Duration;

use leadstage_lib::bind_retry::BindRetry;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A port that becomes free is bound soon, however long it was taken.
#[test]
fn test_a_port_that_was_taken_for_an_hour_is_tried_again_soon() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retry = BindRetry::default();
    let mut now = Duration::from_secs(5);
    let (mut attempts, mut lines) = (0, 0);
    while now < Duration::from_secs(3_605) {
        let next = retry.on_failure(now, &mut rng);
        assert!((Duration::from_millis(25)..Duration::from_millis(500)).contains(&next.delay), "{next:?}");
        assert_eq!(next.waited, now - Duration::from_secs(5));
        now += next.delay;
        attempts += 1;
        lines += u32::from(next.is_logged);
    }
    assert!(attempts > 3_600 * 2, "{attempts} attempts");
    assert!((100..=121).contains(&lines), "{lines} lines in an hour");
    assert_eq!(retry.on_bound(now), Some(now - Duration::from_secs(5)));
}

/// The first failure is logged, and not the attempts that follow it.
#[test]
fn test_repeated_attempts_are_not_logged() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut retry = BindRetry::default();
    let logged = (0..20).map(|n| retry.on_failure(Duration::from_millis(n * 100), &mut rng).is_logged);
    assert_eq!(logged.filter(|logged| *logged).count(), 1);
    assert!(BindRetry::default().on_failure(Duration::ZERO, &mut rng).is_logged);
}

#[test]
fn test_a_port_that_is_bound_at_once_has_no_wait() {
    assert_eq!(BindRetry::default().on_bound(Duration::from_secs(5)), None);
}
