//! Signals to a node of the completions interface.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;

/// Sends signals to the node while a call is open; returns the call's status.
async fn status_of_a_call_during(env: &mut Env, signals: &[&str]) -> Option<u16> {
    env.set_fault("booking-1", "slow?ms=1000").await;
    let call = env.book(1, None);
    let signalling = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for signal in signals {
            env.signal("entry-1", signal);
        }
    };
    let (reply, ()) = tokio::join!(call, signalling);
    reply.ok().map(|reply| reply.status)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_quit_stops_a_completions_node_as_planned() {
    let mut env = Env::start(Options { nodes: 1, engines: 1, ..Options::default() }).await;
    assert_eq!(status_of_a_call_during(&mut env, &["-QUIT", "-TERM", "-INT", "-HUP"]).await, Some(200));
    assert!(env.wait_for_exit("entry-1").await, "the planned stop exited with a failure status");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_other_signals_do_not_end_a_completions_node() {
    let mut env = Env::start(Options { nodes: 1, engines: 1, ..Options::default() }).await;
    assert_eq!(status_of_a_call_during(&mut env, &["-HUP", "-HUP", "-USR1", "-ALRM"]).await, Some(200));
    assert_eq!(status_of_a_call_during(&mut env, &[]).await, Some(200));
}
