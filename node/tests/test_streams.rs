//! The fault matrix of streams: each fault at each step of a stream.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::stream::Caller;
use crate::stream::ReceivedStream;
use crate::stream::StreamEnd;

/// Progress of the stream when the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The request waits in the lead's queue.
    Queued,
    /// The request is at its engine and has produced no token.
    Placed,
    /// The caller has received some tokens.
    Streaming,
}

/// The fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    EngineDies,
    EngineFreezes,
    EngineFreezesBriefly,
    EngineFills,
    EngineLeaves,
    LinkCut,
    LinkStalls,
    LeadKilled,
    LeadFrozen,
    LeadStops,
    EntryKilled,
    EntryStops,
    ObjectApiDown,
    CallerDisconnects,
}

/// The required outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The caller receives the complete stream on its connection.
    Complete,
    /// The caller gets an error code, and the tokens that it has received are in order and of one generation.
    Code(u64),
    /// The caller reconnects to another node and receives the remaining tokens of the same generation.
    Resumes,
    /// The caller reconnects to another node and receives a complete stream.
    Restarts,
    /// The generation is cancelled at its engine.
    Cancelled,
}

const TOKENS: u64 = 40;

#[rustfmt::skip]
const MATRIX: &[(Step, Fault, Expected)] = &[
    (Step::Queued,    Fault::EngineDies,           Expected::Complete),
    (Step::Queued,    Fault::EngineFreezes,        Expected::Complete),
    (Step::Queued,    Fault::EngineFreezesBriefly, Expected::Complete),
    (Step::Queued,    Fault::EngineFills,          Expected::Complete),
    (Step::Queued,    Fault::EngineLeaves,         Expected::Complete),
    (Step::Queued,    Fault::LinkCut,              Expected::Complete),
    (Step::Queued,    Fault::LinkStalls,           Expected::Complete),
    (Step::Queued,    Fault::LeadKilled,           Expected::Complete),
    (Step::Queued,    Fault::LeadFrozen,           Expected::Complete),
    (Step::Queued,    Fault::LeadStops,            Expected::Complete),
    (Step::Queued,    Fault::EntryKilled,          Expected::Restarts),
    (Step::Queued,    Fault::EntryStops,           Expected::Complete),
    (Step::Queued,    Fault::ObjectApiDown,        Expected::Complete),
    (Step::Placed,    Fault::EngineDies,           Expected::Complete),
    (Step::Placed,    Fault::EngineFreezes,        Expected::Complete),
    (Step::Placed,    Fault::EngineFreezesBriefly, Expected::Complete),
    (Step::Placed,    Fault::EngineFills,          Expected::Complete),
    (Step::Placed,    Fault::EngineLeaves,         Expected::Complete),
    (Step::Placed,    Fault::LinkCut,              Expected::Complete),
    (Step::Placed,    Fault::LinkStalls,           Expected::Complete),
    (Step::Placed,    Fault::LeadKilled,           Expected::Complete),
    (Step::Placed,    Fault::LeadFrozen,           Expected::Complete),
    (Step::Placed,    Fault::LeadStops,            Expected::Complete),
    (Step::Placed,    Fault::EntryKilled,          Expected::Restarts),
    (Step::Placed,    Fault::EntryStops,           Expected::Complete),
    (Step::Placed,    Fault::ObjectApiDown,        Expected::Complete),
    (Step::Streaming, Fault::EngineDies,           Expected::Code(4001)),
    (Step::Streaming, Fault::EngineFreezes,        Expected::Code(4001)),
    (Step::Streaming, Fault::EngineFreezesBriefly, Expected::Complete),
    (Step::Streaming, Fault::EngineFills,          Expected::Complete),
    (Step::Streaming, Fault::EngineLeaves,         Expected::Complete),
    (Step::Streaming, Fault::LinkCut,              Expected::Complete),
    (Step::Streaming, Fault::LinkStalls,           Expected::Complete),
    (Step::Streaming, Fault::LeadKilled,           Expected::Complete),
    (Step::Streaming, Fault::LeadFrozen,           Expected::Complete),
    (Step::Streaming, Fault::LeadStops,            Expected::Complete),
    (Step::Streaming, Fault::EntryKilled,          Expected::Resumes),
    (Step::Streaming, Fault::EntryStops,           Expected::Complete),
    (Step::Streaming, Fault::ObjectApiDown,        Expected::Complete),
    (Step::Streaming, Fault::CallerDisconnects,    Expected::Cancelled),
];

/// Steps of 40 ms leave time to inject a fault; a first token takes two steps.
const STEP_US: &str = "40000";
/// For `Step::Placed`: a first token takes half a second or more.
const SLOW_STEP_US: &str = "500000";

struct TestCase {
    env: Env,
    lead: usize,
    entry: usize,
    caller: Caller,
    others: Vec<Caller>,
    engine: usize,
}

impl TestCase {
    /// Starts a fleet and brings a stream to `step`, through a node that is not the pool's lead.
    async fn start(step: Step) -> TestCase {
        let step_us = if step == Step::Placed { SLOW_STEP_US } else { STEP_US };
        let mut args: Vec<String> = ["--step-us", step_us, "--lag-ms", "100"].map(str::to_owned).into();
        if step == Step::Queued {
            args.extend(["--max-batch", "1"].map(str::to_owned));
        }
        let bounds = "stall_within: 1500ms\nmax_wait: 60s".to_owned();
        let env = Env::start(Options { engine_args: args, bounds, nodes: 3, ..Options::default() }).await;
        let lead = env.lead().await;
        let entry = lead % 3 + 1;
        let address = env.address(&format!("entry-{entry}"));
        let others = if step == Step::Queued { occupy_engines(&env).await } else { Vec::new() };
        let tokens = if step == Step::Placed { 4 } else { TOKENS };
        let caller = Caller::start(&env.client, &address, "token-a", tokens, None);
        let engine = wait_for_step(&env, step, lead, &caller).await;
        TestCase { env, lead, entry, caller, others, engine }
    }

    async fn inject(&mut self, fault: Fault) {
        let engine = format!("engine-{}", self.engine);
        let (lead, entry) = (format!("entry-{}", self.lead), format!("entry-{}", self.entry));
        match fault {
            Fault::EngineDies => self.env.kill(&engine),
            Fault::EngineFreezes => self.env.signal(&engine, "-STOP"),
            Fault::EngineFreezesBriefly => {
                self.env.signal(&engine, "-STOP");
                tokio::time::sleep(Duration::from_millis(2_000)).await;
                self.env.signal(&engine, "-CONT");
            }
            Fault::EngineFills => self.env.set_fault(&engine, "fill").await,
            Fault::EngineLeaves => self.env.set_vm_state(&engine, "leaving").await,
            Fault::LinkCut => self.env.set_fault(&engine, "cut").await,
            Fault::LinkStalls => self.env.set_fault(&engine, "stall").await,
            Fault::LeadKilled => self.env.kill(&lead),
            Fault::LeadFrozen => self.env.signal(&lead, "-STOP"),
            Fault::LeadStops => self.env.signal(&lead, "-TERM"),
            Fault::EntryKilled => self.env.kill(&entry),
            Fault::EntryStops => self.env.signal(&entry, "-TERM"),
            Fault::ObjectApiDown => self.env.set_fault("platform", "down").await,
            Fault::CallerDisconnects => self.caller.disconnect(),
        }
    }

    async fn check(mut self, fault: Fault, expected: Expected) {
        match expected {
            Expected::Complete => {
                let received = self.caller.finish_with_logs(|| self.env.logs()).await;
                assert_eq!(received.end, Some(StreamEnd::Complete), "{received:?}\n{}", self.env.logs());
                received.assert_in_order(0);
            }
            Expected::Code(code) => {
                let received = self.caller.finish_with_logs(|| self.env.logs()).await;
                assert_eq!(received.end, Some(StreamEnd::Code(code)), "{received:?}\n{}", self.env.logs());
                received.assert_in_order(0);
            }
            Expected::Resumes => {
                let first = self.caller.finish().await;
                first.assert_in_order(0);
                let resumed = reconnect(&self.env, self.lead, first.last_id.clone()).await;
                assert_eq!(resumed.end, Some(StreamEnd::Complete), "{resumed:?}");
                assert_eq!(
                    resumed.generation(),
                    first.generation(),
                    "resumed stream belongs to another generation"
                );
                resumed.assert_in_order(first.texts.len() as u64);
                assert_eq!(first.texts.len() + resumed.texts.len(), TOKENS as usize);
            }
            Expected::Restarts => {
                let first = self.caller.finish().await;
                assert!(first.texts.is_empty());
                let received = reconnect(&self.env, self.lead, None).await;
                assert_eq!(received.end, Some(StreamEnd::Complete), "{received:?}");
                received.assert_in_order(0);
            }
            Expected::Cancelled => {
                let engine = self.engine;
                self.env
                    .until("a cancellation", async |env: &Env| {
                        env.engine_load_field(engine, "cancelled").await > 0
                    })
                    .await;
            }
        }
        let stopping = match fault {
            Fault::EntryStops => Some(self.entry),
            Fault::LeadStops => Some(self.lead),
            _ => None,
        };
        if let Some(node) = stopping {
            assert!(
                self.env.wait_for_exit(&format!("entry-{node}")).await,
                "the planned stop exited with a failure status"
            );
        }
        drop(self.others);
    }
}

async fn reconnect(env: &Env, node: usize, last_id: Option<String>) -> ReceivedStream {
    let address = env.address(&format!("entry-{node}"));
    Caller::start(&env.client, &address, "token-a", TOKENS, last_id.as_deref()).finish().await
}

/// Occupies both engines, whose batch size is one, with streams of other callers.
async fn occupy_engines(env: &Env) -> Vec<Caller> {
    let mut others = Vec::new();
    for node in 1..=2 {
        let address = env.address(&format!("entry-{node}"));
        others.push(Caller::start(&env.client, &address, "token-a", 60, None));
        let want = others.len();
        env.until("an occupied engine", async |_: &Env| {
            others.iter().filter(|c| !c.received().texts.is_empty()).count() == want
        })
        .await;
    }
    others
}

/// Waits until the stream is at `step`, and returns the number of the engine that the fault is injected into.
async fn wait_for_step(env: &Env, step: Step, lead: usize, caller: &Caller) -> usize {
    match step {
        Step::Queued => {
            env.until("a queued request", async |env: &Env| {
                let status = env.status(lead).await.unwrap_or_default();
                status["pools"][0]["waiting"] == 1
            })
            .await;
            1
        }
        Step::Placed => {
            env.until("a placed request", async |env: &Env| {
                env.engine_load_field(1, "started").await + env.engine_load_field(2, "started").await == 1
            })
            .await;
            if env.engine_load_field(1, "started").await == 1 { 1 } else { 2 }
        }
        Step::Streaming => {
            env.until("some tokens", async |_: &Env| caller.received().texts.len() >= 5).await;
            let id = caller.received().last_id.expect("an event id");
            let engine = id.split(['@', ':']).nth(1).and_then(|name| name.strip_prefix("engine-"));
            engine.and_then(|n| n.parse().ok()).expect("an engine's name")
        }
    }
}

async fn run_cases(step: Step) {
    for (_, fault, expected) in MATRIX.iter().filter(|(s, _, _)| *s == step) {
        eprintln!("case: {step:?} x {fault:?} -> {expected:?}");
        let mut case = TestCase::start(step).await;
        case.inject(*fault).await;
        case.check(*fault, *expected).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_queued() {
    run_cases(Step::Queued).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_placed() {
    run_cases(Step::Placed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_streaming() {
    run_cases(Step::Streaming).await;
}

/// A node receives a request to place a generation right after the lead was killed, before it has noticed
/// that itself. Its next review of the pools that it leads must not drop the new pool while the request
/// waits for the engines' first load reports, or the request is never answered. Suspended engines prolong
/// that wait; if it takes too long, the caller gets `Retry-After`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_pool_review_keeps_a_new_pool_with_a_waiting_request() {
    let args = ["--step-us", STEP_US].map(str::to_owned).into();
    let bounds = "stall_within: 1500ms\nmax_wait: 60s".to_owned();
    let mut env = Env::start(Options { engine_args: args, bounds, nodes: 3, ..Options::default() }).await;
    let lead = env.lead().await;
    let entry = lead % 3 + 1;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-STOP"));
    env.kill(&format!("entry-{lead}"));
    let caller = Caller::start(&env.client, &env.address(&format!("entry-{entry}")), "token-a", 4, None);
    tokio::time::sleep(Duration::from_millis(200)).await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-CONT"));
    let received = caller.finish_with_logs(|| env.logs()).await;
    let has_retry_after = received.end == Some(StreamEnd::Code(2104)) && received.retry_after.is_some();
    assert!(received.end == Some(StreamEnd::Complete) || has_retry_after, "{received:?}\n{}", env.logs());
}

/// A pool that a review has just created does not know its engines' loads. A request that arrives then must
/// not be refused at once but wait for the first load reports, as if the request itself had created the
/// pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_waits_for_the_first_load_reports_of_a_pool_made_by_a_review() {
    let args = ["--step-us", STEP_US].map(str::to_owned).into();
    let bounds = "stall_within: 1500ms\nmax_wait: 60s".to_owned();
    let mut env = Env::start(Options { engine_args: args, bounds, nodes: 3, ..Options::default() }).await;
    let lead = env.lead().await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-STOP"));
    env.kill(&format!("entry-{lead}"));
    let mut next = 0;
    env.until("another node to lead the pool", async |env: &Env| {
        let others = (1..=3).filter(|node| *node != lead);
        next = others
            .into_iter()
            .find(|node| env.log(&format!("entry-{node}")).contains("leads the pool"))
            .unwrap_or(0);
        next > 0
    })
    .await;
    let sent_at = std::time::Instant::now();
    let caller = Caller::start(&env.client, &env.address(&format!("entry-{next}")), "token-a", 4, None);
    tokio::time::sleep(Duration::from_millis(100)).await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-CONT"));
    let received = caller.finish_with_logs(|| env.logs()).await;
    // On a loaded machine the engines may continue only after the wait for a first load report has timed out.
    let waited = sent_at.elapsed() >= Duration::from_millis(300);
    assert!(received.end == Some(StreamEnd::Complete) || waited, "{received:?}\n{}", env.logs());
}

/// The matrix has each fault at each step, except a disconnecting caller, which is only tested while
/// streaming.
#[test]
fn test_fault_matrix_is_complete() {
    let steps = [Step::Queued, Step::Placed, Step::Streaming];
    let faults: Vec<Fault> = MATRIX.iter().filter(|c| c.0 == Step::Streaming).map(|c| c.1).collect();
    for step in steps {
        for fault in &faults {
            let cases = MATRIX.iter().filter(|c| c.0 == step && c.1 == *fault).count();
            let not_applicable = *fault == Fault::CallerDisconnects && step != Step::Streaming;
            assert_eq!(cases, usize::from(!not_applicable), "{step:?} x {fault:?}");
        }
    }
}

/// An organisation cannot resume a stream of another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stream_of_another_organisation() {
    let case = TestCase::start(Step::Streaming).await;
    let id = case.caller.received().last_id.expect("an event id");
    let address = case.env.address("entry-1");
    let other_organisation =
        Caller::start(&case.env.client, &address, "token-b", TOKENS, Some(&id)).finish().await;
    assert_eq!(other_organisation.end, Some(StreamEnd::Code(4003)));
    let unknown = "00000000000000aa@engine-1:3";
    let unknown_stream =
        Caller::start(&case.env.client, &address, "token-a", TOKENS, Some(unknown)).finish().await;
    assert_eq!(unknown_stream.end, Some(StreamEnd::Code(4002)));
}

/// The only engine dies with a generation that has no token yet. The generation may have run, so the caller
/// must not get the code for "not run", although there is no engine left to restart it on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_not_run_is_not_reported_after_a_dispatch() {
    let args = ["--step-us", SLOW_STEP_US].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, engines: 1, ..Options::default() }).await;
    let caller = Caller::start(&env.client, &env.address("entry-1"), "token-a", 4, None);
    env.until("a placed request", async |env: &Env| env.engine_load_field(1, "started").await == 1).await;
    env.kill("engine-1");
    let received = caller.finish().await;
    assert_eq!(received.end, Some(StreamEnd::Code(3001)), "{}", env.logs());
    assert!(received.retry_after.is_some());
    let next = Caller::start(&env.client, &env.address("entry-1"), "token-a", 4, None).finish().await;
    assert_eq!(
        next.end,
        Some(StreamEnd::Code(2104)),
        "a request that is sent to no engine gets the code for \"not run\""
    );
}

/// Each engine that starts a request dies before its first token. As the request itself may be the cause,
/// it is sent to only two of the four engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_is_sent_to_two_engines_at_most() {
    const ENGINES: usize = 4;
    let args = ["--step-us", SLOW_STEP_US].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, engines: ENGINES, ..Options::default() }).await;
    let caller = Caller::start(&env.client, &env.address("entry-1"), "token-a", 4, None);
    let mut killed = Vec::new();
    while killed.len() < ENGINES && caller.received().end.is_none() {
        for engine in 1..=ENGINES {
            if !killed.contains(&engine) && env.engine_load_field(engine, "started").await > 0 {
                env.kill(&format!("engine-{engine}"));
                killed.push(engine);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let received = caller.finish().await;
    assert_eq!(received.end, Some(StreamEnd::Code(3001)), "{}", env.logs());
    assert_eq!(killed.len(), 2, "{}", env.logs());
}

/// Many concurrent callers while connections to the engines are cut and stalled: each gets its own stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_concurrent_streams_are_not_mixed_up() {
    let args = ["--step-us", "10000"].map(str::to_owned).into();
    let env = Env::start(Options { engine_args: args, ..Options::default() }).await;
    let open_stream = |n: u64| {
        let address = env.address(&format!("entry-{}", n % 2 + 1));
        Caller::start(&env.client, &address, "token-a", 20 + n, None)
    };
    let callers: Vec<Caller> = (0..60).map(open_stream).collect();
    for round in 0..10 {
        tokio::time::sleep(Duration::from_millis(60)).await;
        env.set_fault(&format!("engine-{}", round % 2 + 1), if round % 3 == 0 { "stall" } else { "cut" })
            .await;
    }
    let mut generations = std::collections::BTreeSet::new();
    for (n, caller) in callers.into_iter().enumerate() {
        let received = caller.finish().await;
        assert_eq!(received.end, Some(StreamEnd::Complete), "{received:?}\n{}", env.logs());
        assert_eq!(received.texts.len(), 20 + n);
        received.assert_in_order(0);
        assert!(generations.insert(received.generation()), "two callers received the same generation");
    }
}
