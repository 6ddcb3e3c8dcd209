//! The retry budget and the back-off.

use std::time::Duration;

use leadstage_lib::retry::Backoff;
use leadstage_lib::retry::RetryBudget;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// During an outage in which every request fails, retries stay a small fraction of the requests.
#[test]
fn test_outage_causes_no_retry_storm() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.on_request();
        (0..3).for_each(|_| retries += u32::from(budget.take()));
    }
    assert!((900..=1_020).contains(&retries), "{retries} retries for 10000 requests");
}

/// Nodes that fail at the same time retry at different times.
#[test]
fn test_backoff_delays_are_spread() {
    let delays: Vec<Duration> = (0..100)
        .map(|seed| {
            let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
            let mut rng = SmallRng::seed_from_u64(seed);
            (0..5).for_each(|_| _ = backoff.next(&mut rng));
            backoff.next(&mut rng)
        })
        .collect();
    let (min, max) = (delays.iter().min().expect("some"), delays.iter().max().expect("some"));
    assert!(*max - *min > Duration::from_secs(1));
    assert!(*max <= Duration::from_millis(2_100));
}
