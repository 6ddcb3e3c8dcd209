//! Requests that succeeded lately are remembered for a limited time and up to a maximum number.

use std::time::Duration;

use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::recent_successes::RecentSuccesses;
use leadstage_lib::gateway::recent_successes::RequestHash;
use leadstage_lib::ids::Timestamp;

fn hash(successes: &RecentSuccesses, n: u64) -> RequestHash {
    let body = n.to_le_bytes();
    successes.hash(&RequestParts { method: "GET", host: "h", path: "/", organisation: "o", body: &body })
}

fn at(seconds: f64) -> Timestamp {
    Duration::from_secs_f64(seconds)
}

#[test]
fn test_a_success_counts_for_ten_seconds() {
    let mut successes = RecentSuccesses::default();
    let (one, other) = (hash(&successes, 1), hash(&successes, 2));
    successes.on_success(one, at(1.0));
    assert!(successes.succeeded_recently(one, at(10.9)) && !successes.succeeded_recently(other, at(1.0)));
    assert!(!successes.succeeded_recently(one, at(11.0)));
    successes.on_success(one, at(12.0));
    assert!(successes.succeeded_recently(one, at(21.9)));
}

/// A frequent request is rarely missing although many requests that are sent once are added.
#[test]
fn test_a_popular_request_is_remembered_among_many() {
    let mut successes = RecentSuccesses::default();
    let popular = hash(&successes, 0);
    let mut missed = 0;
    for n in 1..=100_000_u64 {
        let now = at(n as f64 / 1_000.0);
        if n % 20 == 0 {
            missed += usize::from(n > 20 && !successes.succeeded_recently(popular, now));
            successes.on_success(popular, now);
        }
        let once = hash(&successes, n);
        successes.on_success(once, now);
    }
    assert!(missed <= 50, "{missed} of 5,000 times the request was not remembered");
}
