//! Planned stop of a node of the completions interface.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::error_code;

/// Guards against calls that are executed but not answered. A node without open requests at the end of the
/// load balancer's grace period exits 400 ms later; if it serves its port until then, calls that arrive
/// meanwhile are executed and get no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_at_the_end_of_a_stop_are_answered_or_not_executed() {
    let mut env = Env::start(Options { nodes: 1, engines: 1, ..Options::default() }).await;
    env.set_fault("booking-1", "slow?ms=400").await;
    env.signal("entry-1", "-TERM");
    let began = tokio::time::Instant::now();
    // The grace period is 3 s, checked every 50 ms.
    let calls = [3_150, 3_200, 3_250, 3_300].map(async |ms| {
        tokio::time::sleep_until(began + Duration::from_millis(ms)).await;
        env.book(1, None).await.is_ok_and(|reply| reply.status == 200)
    });
    let answered = futures::future::join_all(calls).await.into_iter().filter(|succeeded| *succeeded).count();
    let executed = env.bookings().await.get("").copied().unwrap_or(0);
    assert_eq!(executed, answered as u64, "numbers of executed and of answered calls");
    assert!(env.wait_for_exit("entry-1").await, "the planned stop exited with a failure status");
}

/// Guards against calls that the end of a stop cuts without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_that_outlast_a_stop_get_an_answer() {
    let bounds = "stop_within: 4s".to_owned();
    let mut env = Env::start(Options { nodes: 1, engines: 1, bounds, ..Options::default() }).await;
    env.set_fault("booking-1", "slow?ms=3000").await;
    env.signal("entry-1", "-TERM");
    let began = tokio::time::Instant::now();
    let calls = [500, 2_000, 2_500].map(async |ms| {
        tokio::time::sleep_until(began + Duration::from_millis(ms)).await;
        let reply = env.book(1, None).await?;
        Ok::<_, String>((reply.status, if reply.status == 200 { 0 } else { error_code(&reply) }))
    });
    let answers = futures::future::join_all(calls).await;
    assert_eq!(answers, [Ok((200, 0)), Ok((504, 3005)), Ok((504, 3005))], "{}", env.logs());
    assert!(env.wait_for_exit("entry-1").await, "the planned stop exited with a failure status");
}
