//! Nodes that are suspended while a response arrives.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::stream::Caller;
use crate::stream::StreamEnd;

/// Longer than a call may take, and than an engine may be silent.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Tokens that the caller has before the suspension.
const TOKENS_BEFORE: usize = 5;

async fn start() -> Env {
    let bounds = "call_within: 2s\nstall_within: 500ms".to_owned();
    let env = Env::start(Options { nodes: 1, bounds, ..Options::default() }).await;
    env.until_ready(1).await;
    env
}

async fn suspend(env: &Env) {
    env.signal("entry-1", "-STOP");
    tokio::time::sleep(PAUSE).await;
    env.signal("entry-1", "-CONT");
}

/// Guards against a call that fails although its response arrived within the time that a call may take.
#[tokio::test]
async fn test_a_response_that_arrived_during_a_suspension_is_passed_on() {
    let env = start().await;
    env.set_fault("booking-1", "slow?ms=800").await;
    let (reply, ()) = tokio::join!(env.book(1, Some("trip")), async {
        env.until("an executed call", async |env: &Env| !env.bookings().await.is_empty()).await;
        suspend(&env).await;
    });
    assert_eq!(reply.as_ref().map(|reply| reply.status), Ok(200), "{reply:?}\n{}", env.logs());
    assert_eq!(env.bookings().await.get("trip"), Some(&1));
}

/// Guards against an engine that is taken for stalled because its node did not run.
#[tokio::test]
async fn test_a_stream_goes_on_after_a_suspension() {
    let env = start().await;
    let caller = Caller::start(&env.client, &env.address("entry-1"), "token-a", 100, None);
    env.until("some tokens", async |_: &Env| caller.received().texts.len() > TOKENS_BEFORE).await;
    suspend(&env).await;
    let received = caller.finish_with_logs(|| env.logs()).await;
    assert_eq!(received.end, Some(StreamEnd::Complete), "{}", env.logs());
    assert!(!env.log("entry-1").contains("resumes at"), "{}", env.logs());
}
