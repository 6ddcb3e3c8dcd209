//! The end of a node of the completions interface.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;

/// A node that had nothing open when the balancer's grace was over ended 400 ms later and served
/// its port until then: calls that came meanwhile were carried out and got no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_at_the_end_of_a_stop_are_answered_or_not_executed() {
    let mut env = Env::start(Options { nodes: 1, engines: 1, ..Options::default() }).await;
    env.set_fault("booking-1", "slow?ms=400").await;
    env.signal("entry-1", "-TERM");
    let began = tokio::time::Instant::now();
    // The grace is 3 s, looked at every 50 ms.
    let calls = [3_150, 3_200, 3_250, 3_300].map(async |ms| {
        tokio::time::sleep_until(began + Duration::from_millis(ms)).await;
        env.book(1, None).await.is_ok_and(|reply| reply.status == 200)
    });
    let answered = futures::future::join_all(calls).await.into_iter().filter(|succeeded| *succeeded).count();
    let executed = env.bookings().await.get("").copied().unwrap_or(0);
    assert_eq!(executed, answered as u64, "were carried out, and answered");
    assert!(env.wait_for_exit("entry-1").await, "the stop is no failure");
}
