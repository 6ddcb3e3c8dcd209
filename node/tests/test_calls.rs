//! The fault matrix of non-idempotent calls: a call is executed at most once, whatever fails and however
//! often the caller retries it with its idempotency key.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::error_code;

/// The fault while the first request is handled.
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

/// The allowed codes of the first request (0 for no response), those of a second request with the same key
/// through another node, and how often the call is executed in total.
struct Case {
    fault: Fault,
    first: &'static [u64],
    second: &'static [u64],
    ran: u64,
}

const fn case(fault: Fault, first: &'static [u64], second: &'static [u64], ran: u64) -> Case {
    Case { fault, first, second, ran }
}

/// 200 stands for a response of the service.
#[rustfmt::skip]
const MATRIX: &[Case] = &[
    case(Fault::None,                   &[200],        &[200],              1),
    case(Fault::ObjectApiDown,          &[2105],       &[200],              1),
    case(Fault::ClaimAnswerLost,        &[200],        &[200],              1),
    case(Fault::OutcomeAnswerLost,      &[200],        &[200],              1),
    case(Fault::ServiceDead,            &[2104, 2109], &[2104, 2109],       0),
    case(Fault::ServiceCutsAfterRun,    &[3001],       &[3001],             1),
    case(Fault::EntryKilledWhileItRuns, &[0],          &[3002, 3003],       1),
    case(Fault::EntryFrozenWhileItRuns, &[200],        &[3002, 3003],       1),
    case(Fault::WriterKilled,           &[200],        &[200],              1),
    case(Fault::WriterFrozen,           &[200],        &[200],              1),
];

fn status_or_code(reply: &Result<leadstage_testutils::http_client::Reply, String>) -> u64 {
    match reply {
        Err(_) => 0,
        Ok(reply) if reply.status == 200 => 200,
        Ok(reply) => error_code(reply),
    }
}

async fn start() -> Env {
    let bounds = "call_within: 20s\nclaim_shards: 1".to_owned();
    Env::start(Options { nodes: 3, engines: 0, bounds, ..Options::default() }).await
}

/// The node that writes the only claim shard, once each node sees all others as alive.
async fn writer(env: &Env) -> usize {
    let alive: Vec<String> = (1..=3).map(|n| format!("entry-{n}")).collect();
    let writer = leadstage_lib::rendezvous::pick("claims/0", &alive).expect("three candidates");
    env.until("all nodes to see each other", async |env: &Env| {
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

async fn run_case(case: &Case) {
    let mut env = start().await;
    let writer = writer(&env).await;
    let first_node = writer % 3 + 1;
    let second_node = first_node % 3 + 1;
    let key = Some("trip");
    let name = format!("entry-{first_node}");
    let writer_name = format!("entry-{writer}");
    match case.fault {
        Fault::ObjectApiDown => env.set_fault("platform", "down").await,
        Fault::ClaimAnswerLost => env.set_fault("platform", "lose?count=1").await,
        Fault::ServiceDead => env.kill("booking-1"),
        Fault::ServiceCutsAfterRun => env.set_fault("booking-1", "drop").await,
        Fault::EntryKilledWhileItRuns | Fault::EntryFrozenWhileItRuns | Fault::OutcomeAnswerLost => {
            env.set_fault("booking-1", "slow?ms=1500").await;
        }
        Fault::WriterKilled => env.kill(&writer_name),
        Fault::WriterFrozen => env.signal(&writer_name, "-STOP"),
        Fault::None => {}
    }
    let (first, second) = match case.fault {
        Fault::EntryKilledWhileItRuns | Fault::EntryFrozenWhileItRuns => {
            let (first, ()) = tokio::join!(env.book(first_node, key), async {
                env.until("an executed call", async |env: &Env| !env.bookings().await.is_empty()).await;
                env.signal(
                    &name,
                    if case.fault == Fault::EntryKilledWhileItRuns { "-KILL" } else { "-STOP" },
                );
                let second = env.book(second_node, key).await;
                assert!(
                    case.second.contains(&status_or_code(&second)),
                    "{:?}: second {second:?}",
                    case.fault
                );
                if case.fault == Fault::EntryFrozenWhileItRuns {
                    env.signal(&name, "-CONT");
                }
            });
            (first, env.book(second_node, key).await)
        }
        Fault::OutcomeAnswerLost => {
            let (first, ()) = tokio::join!(env.book(first_node, key), async {
                env.until("an executed call", async |env: &Env| !env.bookings().await.is_empty()).await;
                env.set_fault("platform", "lose?count=1").await;
            });
            (first, book_until_settled(&env, second_node, key).await)
        }
        _ => {
            let first = env.book(first_node, key).await;
            if case.fault == Fault::ObjectApiDown {
                let has_retry_after = first.as_ref().is_ok_and(|r| r.headers.contains_key("retry-after"));
                assert!(has_retry_after, "{:?}: first {first:?}\n{}", case.fault, env.logs());
                env.set_fault("platform", "up").await;
            }
            (first, book_until_settled(&env, second_node, key).await)
        }
    };
    let (first, second) = (status_or_code(&first), status_or_code(&second));
    assert!(case.first.contains(&first), "{:?}: first {first}\n{}", case.fault, env.logs());
    let late_outcome = matches!(case.fault, Fault::EntryFrozenWhileItRuns) && second == 200;
    assert!(
        late_outcome || case.second.contains(&second),
        "{:?}: second {second}\n{}",
        case.fault,
        env.logs()
    );
    if case.fault != Fault::ServiceDead {
        assert_eq!(env.bookings().await.get("trip").copied().unwrap_or(0), case.ran, "{:?}", case.fault);
    }
}

/// Retries until the key is no longer in progress: the outcome is recorded shortly after the response.
async fn book_until_settled(
    env: &Env,
    node: usize,
    key: Option<&str>,
) -> Result<leadstage_testutils::http_client::Reply, String> {
    for _ in 0..100 {
        let reply = env.book(node, key).await;
        if status_or_code(&reply) != 3002 {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("still in progress".to_owned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_non_idempotent_calls_1() {
    for case in MATRIX.iter().step_by(2) {
        eprintln!("case: {:?}", case.fault);
        run_case(case).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_non_idempotent_calls_2() {
    for case in MATRIX.iter().skip(1).step_by(2) {
        eprintln!("case: {:?}", case.fault);
        run_case(case).await;
    }
}

/// Many concurrent calls with few keys through all nodes: the call of each key is executed once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_concurrent_calls_with_shared_keys() {
    let env = start().await;
    let bookings = (0..60).map(|n| {
        let key = format!("key-{}", n % 5);
        let env = &env;
        async move { status_or_code(&book_until_settled(env, n % 3 + 1, Some(&key)).await) }
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
    let codes = [first, other_body, other_organisation, without_key].map(|r| status_or_code(&r));
    assert_eq!(codes, [200, 2009, 200, 200]);
}

/// Replaces the service with one that answers one call with `body`, without a length or chunks. Its port is closed
/// before the connection is if the service `ends`.
async fn answer_unframed(env: &mut Env, body: &str, ends: bool) -> JoinHandle<TcpListener> {
    env.kill("booking-1");
    let listen = || TcpListener::bind(env.address("booking-1"));
    let listener = listen().await.expect("the port is free");
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n{body}");
    let address = env.address("booking-1");
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4 << 10];
        let read = connection.read(&mut buf).await.expect("a request");
        assert!(read > 0);
        connection.write_all(answer.as_bytes()).await.expect("the answer is read");
        if !ends {
            drop(connection);
            return listener;
        }
        drop(listener);
        drop(connection);
        tokio::time::sleep(Duration::from_secs(1)).await;
        TcpListener::bind(address).await.expect("the port is free")
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_an_unframed_answer_whose_service_ends_is_not_taken_for_whole() {
    let mut rows = Vec::new();
    for (body, ends) in [("whole", false), ("par", true)] {
        let mut env = Env::start(Options { engines: 0, ..Options::default() }).await;
        let service = answer_unframed(&mut env, body, ends).await;
        let reply = env.book(1, None).await;
        rows.push(format!("{body}: {}", status_or_code(&reply)));
        service.await.expect("the service answers");
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    whole: 200
    par: 3001
    ");
}

/// Guards against an empty success that looks whole: a service closes its connection after a head that names neither
/// a length nor chunks, and runs on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_an_empty_success_without_a_length_is_not_passed_on() {
    let mut env = Env::start(Options { engines: 0, ..Options::default() }).await;
    let service = answer_unframed(&mut env, "", false).await;
    let reply = env.book(1, None).await;
    assert_eq!(status_or_code(&reply), 3001);
    service.await.expect("the service answers");
}
