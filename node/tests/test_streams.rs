//! The fault matrix of streams: every fault at every step, walked by one runner.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::stream::Caller;
use crate::stream::End;
use crate::stream::Got;

/// How far the stream is when the fault happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// It waits in the lead's queue.
    Queued,
    /// It is at its engine and has no token.
    Placed,
    /// The caller has some of its tokens.
    Streaming,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    EngineDies,
    EngineFreezes,
    EngineFreezesAWhile,
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
    CallerLeaves,
}

/// What must come of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The caller gets the whole answer on its connection.
    Whole,
    /// The caller gets a code, and what it has is in order and of one generation.
    Code(u64),
    /// The caller comes back at another node and gets the rest of the same generation.
    GoesOn,
    /// The caller comes back at another node and gets a whole answer.
    StartsAnew,
    /// The generation is cancelled at its engine.
    Cancelled,
}

const TOKENS: u64 = 40;

#[rustfmt::skip]
const MATRIX: &[(Step, Fault, Expected)] = &[
    (Step::Queued,    Fault::EngineDies,          Expected::Whole),
    (Step::Queued,    Fault::EngineFreezes,       Expected::Whole),
    (Step::Queued,    Fault::EngineFreezesAWhile, Expected::Whole),
    (Step::Queued,    Fault::EngineFills,         Expected::Whole),
    (Step::Queued,    Fault::EngineLeaves,        Expected::Whole),
    (Step::Queued,    Fault::LinkCut,             Expected::Whole),
    (Step::Queued,    Fault::LinkStalls,          Expected::Whole),
    (Step::Queued,    Fault::LeadKilled,          Expected::Whole),
    (Step::Queued,    Fault::LeadFrozen,          Expected::Whole),
    (Step::Queued,    Fault::LeadStops,           Expected::Whole),
    (Step::Queued,    Fault::EntryKilled,         Expected::StartsAnew),
    (Step::Queued,    Fault::EntryStops,          Expected::Whole),
    (Step::Queued,    Fault::ObjectApiDown,       Expected::Whole),
    (Step::Placed,    Fault::EngineDies,          Expected::Whole),
    (Step::Placed,    Fault::EngineFreezes,       Expected::Whole),
    (Step::Placed,    Fault::EngineFreezesAWhile, Expected::Whole),
    (Step::Placed,    Fault::EngineFills,         Expected::Whole),
    (Step::Placed,    Fault::EngineLeaves,        Expected::Whole),
    (Step::Placed,    Fault::LinkCut,             Expected::Whole),
    (Step::Placed,    Fault::LinkStalls,          Expected::Whole),
    (Step::Placed,    Fault::LeadKilled,          Expected::Whole),
    (Step::Placed,    Fault::LeadFrozen,          Expected::Whole),
    (Step::Placed,    Fault::LeadStops,           Expected::Whole),
    (Step::Placed,    Fault::EntryKilled,         Expected::StartsAnew),
    (Step::Placed,    Fault::EntryStops,          Expected::Whole),
    (Step::Placed,    Fault::ObjectApiDown,       Expected::Whole),
    (Step::Streaming, Fault::EngineDies,          Expected::Code(4001)),
    (Step::Streaming, Fault::EngineFreezes,       Expected::Code(4001)),
    (Step::Streaming, Fault::EngineFreezesAWhile, Expected::Whole),
    (Step::Streaming, Fault::EngineFills,         Expected::Whole),
    (Step::Streaming, Fault::EngineLeaves,        Expected::Whole),
    (Step::Streaming, Fault::LinkCut,             Expected::Whole),
    (Step::Streaming, Fault::LinkStalls,          Expected::Whole),
    (Step::Streaming, Fault::LeadKilled,          Expected::Whole),
    (Step::Streaming, Fault::LeadFrozen,          Expected::Whole),
    (Step::Streaming, Fault::LeadStops,           Expected::Whole),
    (Step::Streaming, Fault::EntryKilled,         Expected::GoesOn),
    (Step::Streaming, Fault::EntryStops,          Expected::Whole),
    (Step::Streaming, Fault::ObjectApiDown,       Expected::Whole),
    (Step::Streaming, Fault::CallerLeaves,        Expected::Cancelled),
];

/// A step of 40 ms leaves time to act; a first token takes two of them.
const STEP_US: &str = "40000";
/// For the step "placed": a first token takes half a second or more.
const SLOW_STEP_US: &str = "500000";

struct Cell {
    env: Env,
    lead: usize,
    entry: usize,
    caller: Caller,
    others: Vec<Caller>,
    engine: usize,
}

impl Cell {
    /// A fleet whose stream is at `step`, through a node that is not the pool's lead.
    async fn reach(step: Step) -> Cell {
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
        let others = if step == Step::Queued { occupy(&env).await } else { Vec::new() };
        let tokens = if step == Step::Placed { 4 } else { TOKENS };
        let caller = Caller::ask(&env.client, &address, "token-a", tokens, None);
        let engine = reached(&env, step, lead, &caller).await;
        Cell { env, lead, entry, caller, others, engine }
    }

    async fn inject(&mut self, fault: Fault) {
        let engine = format!("engine-{}", self.engine);
        let (lead, entry) = (format!("entry-{}", self.lead), format!("entry-{}", self.entry));
        match fault {
            Fault::EngineDies => self.env.kill(&engine),
            Fault::EngineFreezes => self.env.signal(&engine, "-STOP"),
            Fault::EngineFreezesAWhile => {
                self.env.signal(&engine, "-STOP");
                tokio::time::sleep(Duration::from_millis(2_000)).await;
                self.env.signal(&engine, "-CONT");
            }
            Fault::EngineFills => self.env.fault(&engine, "fill").await,
            Fault::EngineLeaves => self.env.set_vm_state(&engine, "leaving").await,
            Fault::LinkCut => self.env.fault(&engine, "cut").await,
            Fault::LinkStalls => self.env.fault(&engine, "stall").await,
            Fault::LeadKilled => self.env.kill(&lead),
            Fault::LeadFrozen => self.env.signal(&lead, "-STOP"),
            Fault::LeadStops => self.env.signal(&lead, "-TERM"),
            Fault::EntryKilled => self.env.kill(&entry),
            Fault::EntryStops => self.env.signal(&entry, "-TERM"),
            Fault::ObjectApiDown => self.env.fault("platform", "down").await,
            Fault::CallerLeaves => self.caller.leave(),
        }
    }

    async fn check(mut self, fault: Fault, expected: Expected) {
        match expected {
            Expected::Whole => {
                let got = self.caller.finish_or(|| self.env.logs()).await;
                assert_eq!(got.end, Some(End::Whole), "{got:?}\n{}", self.env.logs());
                got.assert_in_order(0);
            }
            Expected::Code(code) => {
                let got = self.caller.finish_or(|| self.env.logs()).await;
                assert_eq!(got.end, Some(End::Code(code)), "{got:?}\n{}", self.env.logs());
                got.assert_in_order(0);
            }
            Expected::GoesOn => {
                let first = self.caller.finish().await;
                first.assert_in_order(0);
                let rest = come_back(&self.env, self.lead, first.last_id.clone()).await;
                assert_eq!(rest.end, Some(End::Whole), "{rest:?}");
                assert_eq!(rest.generation(), first.generation(), "another generation");
                rest.assert_in_order(first.texts.len() as u64);
                assert_eq!(first.texts.len() + rest.texts.len(), TOKENS as usize);
            }
            Expected::StartsAnew => {
                let first = self.caller.finish().await;
                assert!(first.texts.is_empty());
                let got = come_back(&self.env, self.lead, None).await;
                assert_eq!(got.end, Some(End::Whole), "{got:?}");
                got.assert_in_order(0);
            }
            Expected::Cancelled => {
                let engine = self.engine;
                self.env
                    .until("cancelled at the engine", async |env: &Env| {
                        env.engine_count(engine, "cancelled").await > 0
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
            assert!(self.env.wait_exit(&format!("entry-{node}")).await, "a planned stop that failed");
        }
        drop(self.others);
    }
}

async fn come_back(env: &Env, node: usize, last_id: Option<String>) -> Got {
    let address = env.address(&format!("entry-{node}"));
    Caller::ask(&env.client, &address, "token-a", TOKENS, last_id.as_deref()).finish().await
}

/// Fills both engines, whose batch is one, with streams of other callers.
async fn occupy(env: &Env) -> Vec<Caller> {
    let mut others = Vec::new();
    for node in 1..=2 {
        let address = env.address(&format!("entry-{node}"));
        others.push(Caller::ask(&env.client, &address, "token-a", 60, None));
        let want = others.len();
        env.until("an occupied engine", async |_: &Env| {
            others.iter().filter(|c| !c.got().texts.is_empty()).count() == want
        })
        .await;
    }
    others
}

/// Waits until the stream is at `step`, and returns the engine that matters.
async fn reached(env: &Env, step: Step, lead: usize, caller: &Caller) -> usize {
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
                env.engine_count(1, "started").await + env.engine_count(2, "started").await == 1
            })
            .await;
            if env.engine_count(1, "started").await == 1 { 1 } else { 2 }
        }
        Step::Streaming => {
            env.until("some tokens", async |_: &Env| caller.got().texts.len() >= 5).await;
            let id = caller.got().last_id.expect("an id");
            let engine = id.split(['@', ':']).nth(1).and_then(|name| name.strip_prefix("engine-"));
            engine.and_then(|n| n.parse().ok()).expect("an engine's name")
        }
    }
}

async fn walk(step: Step) {
    for (_, fault, expected) in MATRIX.iter().filter(|(s, _, _)| *s == step) {
        eprintln!("cell: {step:?} x {fault:?} -> {expected:?}");
        let mut cell = Cell::reach(step).await;
        cell.inject(*fault).await;
        cell.check(*fault, *expected).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_queued() {
    walk(Step::Queued).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_placed() {
    walk(Step::Placed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_faults_while_streaming() {
    walk(Step::Streaming).await;
}

/// A VM is asked to place a request as the lead was just killed, which it has not noticed itself: its next
/// review of the pools that it leads gave the new one up while the request waited for the engines' first
/// loads, and the request was never answered. Engines that answer nothing meanwhile make that wait long;
/// if it is too long, its caller is told when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_outlasts_a_review_of_its_new_pool() {
    let args = ["--step-us", STEP_US].map(str::to_owned).into();
    let bounds = "stall_within: 1500ms\nmax_wait: 60s".to_owned();
    let mut env = Env::start(Options { engine_args: args, bounds, nodes: 3, ..Options::default() }).await;
    let lead = env.lead().await;
    let entry = lead % 3 + 1;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-STOP"));
    env.kill(&format!("entry-{lead}"));
    let caller = Caller::ask(&env.client, &env.address(&format!("entry-{entry}")), "token-a", 4, None);
    tokio::time::sleep(Duration::from_millis(200)).await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-CONT"));
    let got = caller.finish_or(|| env.logs()).await;
    let is_told = got.end == Some(End::Code(2104)) && got.retry_after.is_some();
    assert!(got.end == Some(End::Whole) || is_told, "{got:?}\n{}", env.logs());
}

/// A pool that a review has just made does not know its engines' loads. A request that came then was refused
/// at once; one that comes waits for the first loads, as where it makes the pool itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_waits_for_the_first_loads_of_a_pool_that_a_review_made() {
    let args = ["--step-us", STEP_US].map(str::to_owned).into();
    let bounds = "stall_within: 1500ms\nmax_wait: 60s".to_owned();
    let mut env = Env::start(Options { engine_args: args, bounds, nodes: 3, ..Options::default() }).await;
    let lead = env.lead().await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-STOP"));
    env.kill(&format!("entry-{lead}"));
    let mut next = 0;
    env.until("another lead", async |env: &Env| {
        let others = (1..=3).filter(|node| *node != lead);
        next = others
            .into_iter()
            .find(|node| env.log(&format!("entry-{node}")).contains("leads the pool"))
            .unwrap_or(0);
        next > 0
    })
    .await;
    let asked = std::time::Instant::now();
    let caller = Caller::ask(&env.client, &env.address(&format!("entry-{next}")), "token-a", 4, None);
    tokio::time::sleep(Duration::from_millis(100)).await;
    ["engine-1", "engine-2"].iter().for_each(|engine| env.signal(engine, "-CONT"));
    let got = caller.finish_or(|| env.logs()).await;
    // Beside load the engines may go on after the time that a first load is waited for.
    let waited = asked.elapsed() >= Duration::from_millis(300);
    assert!(got.end == Some(End::Whole) || waited, "{got:?}\n{}", env.logs());
}

/// The matrix has every fault at every step, but for one that has no stream to leave.
#[test]
fn test_no_cell_is_missing() {
    let steps = [Step::Queued, Step::Placed, Step::Streaming];
    let faults: Vec<Fault> = MATRIX.iter().filter(|c| c.0 == Step::Streaming).map(|c| c.1).collect();
    for step in steps {
        for fault in &faults {
            let cells = MATRIX.iter().filter(|c| c.0 == step && c.1 == *fault).count();
            let none = *fault == Fault::CallerLeaves && step != Step::Streaming;
            assert_eq!(cells, usize::from(!none), "{step:?} x {fault:?}");
        }
    }
}

/// Another organisation cannot go on with a stream that is not its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stream_of_another_organisation() {
    let cell = Cell::reach(Step::Streaming).await;
    let id = cell.caller.got().last_id.expect("an id");
    let address = cell.env.address("entry-1");
    let thief = Caller::ask(&cell.env.client, &address, "token-b", TOKENS, Some(&id)).finish().await;
    assert_eq!(thief.end, Some(End::Code(4003)));
    let unknown = "00000000000000aa@engine-1:3";
    let lost = Caller::ask(&cell.env.client, &address, "token-a", TOKENS, Some(unknown)).finish().await;
    assert_eq!(lost.end, Some(End::Code(4002)));
}

/// The only engine dies with a generation that has no token yet: it may have run, so the
/// caller is not told "not run", although there is no engine to start it on again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_not_run_is_not_said_after_a_dispatch() {
    let args = ["--step-us", SLOW_STEP_US].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, engines: 1, ..Options::default() }).await;
    let caller = Caller::ask(&env.client, &env.address("entry-1"), "token-a", 4, None);
    env.until("a placed request", async |env: &Env| env.engine_count(1, "started").await == 1).await;
    env.kill("engine-1");
    let got = caller.finish().await;
    assert_eq!(got.end, Some(End::Code(3001)), "{}", env.logs());
    assert!(got.retry_after.is_some());
    let next = Caller::ask(&env.client, &env.address("entry-1"), "token-a", 4, None).finish().await;
    assert_eq!(next.end, Some(End::Code(2104)), "this one was sent nowhere");
}

/// Each engine that begins a request dies before its first token. Nobody knows whether that is because of the
/// request: it is sent to two engines and no more, of the four that there were.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_request_costs_two_engines_at_most() {
    const ENGINES: usize = 4;
    let args = ["--step-us", SLOW_STEP_US].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, engines: ENGINES, ..Options::default() }).await;
    let caller = Caller::ask(&env.client, &env.address("entry-1"), "token-a", 4, None);
    let mut killed = Vec::new();
    while killed.len() < ENGINES && caller.got().end.is_none() {
        for engine in 1..=ENGINES {
            if !killed.contains(&engine) && env.engine_count(engine, "started").await > 0 {
                env.kill(&format!("engine-{engine}"));
                killed.push(engine);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let got = caller.finish().await;
    assert_eq!(got.end, Some(End::Code(3001)), "{}", env.logs());
    assert_eq!(killed.len(), 2, "{}", env.logs());
}

/// Many callers at once, with links cut at random: each gets its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_answers_never_mix() {
    let args = ["--step-us", "10000"].map(str::to_owned).into();
    let env = Env::start(Options { engine_args: args, ..Options::default() }).await;
    let ask = |n: u64| {
        let address = env.address(&format!("entry-{}", n % 2 + 1));
        Caller::ask(&env.client, &address, "token-a", 20 + n, None)
    };
    let callers: Vec<Caller> = (0..60).map(ask).collect();
    for round in 0..10 {
        tokio::time::sleep(Duration::from_millis(60)).await;
        env.fault(&format!("engine-{}", round % 2 + 1), if round % 3 == 0 { "stall" } else { "cut" }).await;
    }
    let mut generations = std::collections::BTreeSet::new();
    for (n, caller) in callers.into_iter().enumerate() {
        let got = caller.finish().await;
        assert_eq!(got.end, Some(End::Whole), "{got:?}\n{}", env.logs());
        assert_eq!(got.texts.len(), 20 + n);
        got.assert_in_order(0);
        assert!(generations.insert(got.generation()), "two callers got one generation");
    }
}
