//! The fault matrix of calls that may not repeat: at most once, whatever fails and
//! however often the caller asks again with its key.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::code;

/// What is wrong while the first arrival is handled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    ObjectApiDown,
    ClaimAnswerLost,
    OutcomeAnswerLost,
    ServiceDead,
    ServiceCutsAfterRun,
    EntryKilledWhileItRuns,
    EntryFrozenWhileItRuns,
    WriterKilled,
    WriterFrozen,
}

/// Codes of the first arrival (0 for no answer), codes of the second one through
/// another node with the same key, and how often it ran in the end.
struct Row {
    fault: Fault,
    first: &'static [u64],
    second: &'static [u64],
    ran: u64,
}

const fn row(fault: Fault, first: &'static [u64], second: &'static [u64], ran: u64) -> Row {
    Row { fault, first, second, ran }
}

/// 200 stands for an answer of the service.
#[rustfmt::skip]
const MATRIX: &[Row] = &[
    row(Fault::None,                   &[200],        &[200],              1),
    row(Fault::ObjectApiDown,          &[2105],       &[200],              1),
    row(Fault::ClaimAnswerLost,        &[200],        &[200],              1),
    row(Fault::OutcomeAnswerLost,      &[200],        &[200],              1),
    row(Fault::ServiceDead,            &[2104, 2109], &[2104, 2109],       0),
    row(Fault::ServiceCutsAfterRun,    &[3001],       &[3001],             1),
    row(Fault::EntryKilledWhileItRuns, &[0],          &[3002, 3003],       1),
    row(Fault::EntryFrozenWhileItRuns, &[200],        &[3002, 3003],       1),
    row(Fault::WriterKilled,           &[200],        &[200],              1),
    row(Fault::WriterFrozen,           &[200],        &[200],              1),
];

fn meaning(reply: &Result<leadstage_testutils::http_client::Reply, String>) -> u64 {
    match reply {
        Err(_) => 0,
        Ok(reply) if reply.status == 200 => 200,
        Ok(reply) => code(reply),
    }
}

async fn start() -> Env {
    let bounds = "call_within: 20s\nclaim_shards: 1".to_owned();
    Env::start(Options { nodes: 3, engines: 0, bounds, ..Options::default() }).await
}

/// The node that writes the only claim shard, by a claim that every node can see.
async fn writer(env: &Env) -> usize {
    let alive: Vec<String> = (1..=3).map(|n| format!("entry-{n}")).collect();
    let writer = leadstage_lib::rendezvous::pick("claims/0", &alive).expect("three");
    env.until("every node sees the others", async |env: &Env| {
        for node in 1..=3 {
            let status = env.status(node).await.unwrap_or_default();
            if !status["peers"].as_array().is_some_and(|p| p.iter().all(|p| p["liveness"] == "alive")) {
                return false;
            }
        }
        true
    })
    .await;
    writer.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number")
}

async fn walk(row: &Row) {
    let mut env = start().await;
    let writer = writer(&env).await;
    let first_node = writer % 3 + 1;
    let second_node = first_node % 3 + 1;
    let key = Some("trip");
    let name = format!("entry-{first_node}");
    let writer_name = format!("entry-{writer}");
    match row.fault {
        Fault::ObjectApiDown => env.fault("platform", "down").await,
        Fault::ClaimAnswerLost => env.fault("platform", "lose?count=1").await,
        Fault::ServiceDead => env.kill("booking-1"),
        Fault::ServiceCutsAfterRun => env.fault("booking-1", "drop").await,
        Fault::EntryKilledWhileItRuns | Fault::EntryFrozenWhileItRuns | Fault::OutcomeAnswerLost => {
            env.fault("booking-1", "slow?ms=1500").await;
        }
        Fault::WriterKilled => env.kill(&writer_name),
        Fault::WriterFrozen => env.signal(&writer_name, "-STOP"),
        Fault::None => {}
    }
    let (first, second) = match row.fault {
        Fault::EntryKilledWhileItRuns | Fault::EntryFrozenWhileItRuns => {
            let (first, ()) = tokio::join!(env.book(first_node, key), async {
                env.until("it runs", async |env: &Env| !env.bookings().await.is_empty()).await;
                env.signal(&name, if row.fault == Fault::EntryKilledWhileItRuns { "-KILL" } else { "-STOP" });
                let second = env.book(second_node, key).await;
                assert!(row.second.contains(&meaning(&second)), "{:?}: second {second:?}", row.fault);
                if row.fault == Fault::EntryFrozenWhileItRuns {
                    env.signal(&name, "-CONT");
                }
            });
            (first, env.book(second_node, key).await)
        }
        Fault::OutcomeAnswerLost => {
            let (first, ()) = tokio::join!(env.book(first_node, key), async {
                env.until("it runs", async |env: &Env| !env.bookings().await.is_empty()).await;
                env.fault("platform", "lose?count=1").await;
            });
            (first, settled(&env, second_node, key).await)
        }
        _ => {
            let first = env.book(first_node, key).await;
            if row.fault == Fault::ObjectApiDown {
                let tells_when = first.as_ref().is_ok_and(|r| r.headers.contains_key("retry-after"));
                assert!(tells_when, "{:?}: first {first:?}\n{}", row.fault, env.logs());
                env.fault("platform", "up").await;
            }
            (first, settled(&env, second_node, key).await)
        }
    };
    let (first, second) = (meaning(&first), meaning(&second));
    assert!(row.first.contains(&first), "{:?}: first {first}\n{}", row.fault, env.logs());
    let late = matches!(row.fault, Fault::EntryFrozenWhileItRuns) && second == 200;
    assert!(late || row.second.contains(&second), "{:?}: second {second}\n{}", row.fault, env.logs());
    if row.fault != Fault::ServiceDead {
        assert_eq!(env.bookings().await.get("trip").copied().unwrap_or(0), row.ran, "{:?}", row.fault);
    }
}

/// Asks again until the key is no longer in progress: its outcome is recorded a moment
/// after its answer.
async fn settled(
    env: &Env,
    node: usize,
    key: Option<&str>,
) -> Result<leadstage_testutils::http_client::Reply, String> {
    for _ in 0..100 {
        let reply = env.book(node, key).await;
        if meaning(&reply) != 3002 {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("still in progress".to_owned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_that_may_not_repeat_1() {
    for row in MATRIX.iter().step_by(2) {
        eprintln!("cell: {:?}", row.fault);
        walk(row).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_that_may_not_repeat_2() {
    for row in MATRIX.iter().skip(1).step_by(2) {
        eprintln!("cell: {:?}", row.fault);
        walk(row).await;
    }
}

/// Many arrivals of few keys through all nodes at once: each key runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_racing_arrivals() {
    let env = start().await;
    let bookings = (0..60).map(|n| {
        let key = format!("key-{}", n % 5);
        let env = &env;
        async move { meaning(&settled(env, n % 3 + 1, Some(&key)).await) }
    });
    let codes = futures::future::join_all(bookings).await;
    assert!(codes.iter().all(|c| *c == 200), "{codes:?}\n{}", env.logs());
    let ran = env.bookings().await;
    assert_eq!(ran.len(), 5);
    assert!(ran.values().all(|n| *n == 1), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_keys_of_organisations_and_requests() {
    let env = start().await;
    let first = env.book_for("token-a", 1, Some("k"), "one").await;
    let other_body = env.book_for("token-a", 2, Some("k"), "two").await;
    let other_organisation = env.book_for("token-b", 1, Some("k"), "two").await;
    let without_key = env.book(1, None).await;
    let codes = [first, other_body, other_organisation, without_key].map(|r| meaning(&r));
    assert_eq!(codes, [200, 2009, 200, 200]);
}
