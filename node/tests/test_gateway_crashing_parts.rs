//! Requests of which no two are alike, and which crash each replica that begins to answer on a part that they share.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::CrashTrigger;

use crate::crashing_fleet::CRASHING_PART;
use crate::crashing_fleet::CrashingFleet;
use crate::crashing_fleet::MAX_LATE_SENDS;
use crate::crashing_fleet::NODES;
use crate::crashing_fleet::REPLICAS;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::tag;

/// The number of crashed replicas after which a part must not be sent any more.
const CRASHES_UNTIL_PART_IS_KNOWN: usize = 5;
/// The number of attempts after that.
const LATE_ATTEMPTS: usize = 4 * NODES;
/// The code of a refusal because of a part.
const PART_QUARANTINED: u64 = 2113;

/// The sound parts of prompts, and where the crashing part stands among them.
const PROMPTS: [(&[&str], usize); 4] = [(&["0a", "0b"], 1), (&["0a"], 0), (&["0a", "0b"], 2), (&[], 0)];

type MakeRequest = fn(&str) -> Request<Full<Bytes>>;

/// A request with these parts in its prompt and a last part and a body of its own.
fn with_parts(mut req: Request<Full<Bytes>>, parts: &[&str], id: &str) -> Request<Full<Bytes>> {
    let last = format!("0c{}", id.replace(|c: char| !c.is_ascii_digit(), ""));
    let parts: Vec<String> = parts.iter().chain([&&*last]).map(|part| format!("{part}:100")).collect();
    req.headers_mut().insert("leadstage-prompt-prefix", parts.join(",").parse().expect("valid"));
    req.map(|_| Full::from(id.to_owned()))
}

/// A fleet whose replicas crash on [`CRASHING_PART`].
async fn start_fleet() -> CrashingFleet {
    let trigger = CrashTrigger::Part(CRASHING_PART.to_owned());
    CrashingFleet::start_crashing_on(trigger, MODEL, Gateway::start_node).await
}

/// Sends requests with the crashing part at `position` among `shared`, and beside each a sound one with all other
/// parts. Returns how many sound requests were served after the part had to be known.
async fn play(make: MakeRequest, shared: &[&str], position: usize) -> String {
    let mut fleet = start_fleet().await;
    let mut crashing = shared.to_vec();
    crashing.insert(position, CRASHING_PART);
    let crashing_request = |id: &str| with_parts(make(id), &crashing, id);
    while fleet.ended_count() < CRASHES_UNTIL_PART_IS_KNOWN {
        if fleet.attempt(crashing_request).await.code() == PART_QUARANTINED {
            break;
        }
        sound_call(&fleet, make, shared, 0).await;
    }
    let sent = fleet.until_quarantined_after(0, crashing_request).await;
    let mut served = 0;
    for n in 0..LATE_ATTEMPTS {
        fleet.attempt(crashing_request).await;
        served += usize::from(sound_call(&fleet, make, shared, n).await);
    }
    let late = fleet.sends() - sent;
    assert!(late <= MAX_LATE_SENDS, "{late} late sends\n{}", fleet.gateway.logs());
    format!("part {position} of {}: {served} of {LATE_ATTEMPTS} sound requests served", crashing.len())
}

/// Sends a sound request to the `n`th node in turn; returns whether it is served.
async fn sound_call(fleet: &CrashingFleet, make: MakeRequest, shared: &[&str], n: usize) -> bool {
    let id = format!("r-sound-{n}{}", fleet.ended_count());
    let called = fleet.gateway.call(n % NODES, with_parts(make(&id), shared, &id)).await;
    called.status == 200 && called.whole
}

#[tokio::test]
async fn test_a_part_that_crashes_its_replicas_is_no_longer_sent() {
    let plays = PROMPTS.map(|(shared, position)| play(chat, shared, position));
    insta::assert_snapshot!(futures::future::join_all(plays).await.join("\n"), @r"
    part 1 of 3: 12 of 12 sound requests served
    part 0 of 2: 12 of 12 sound requests served
    part 2 of 3: 12 of 12 sound requests served
    part 0 of 1: 12 of 12 sound requests served
    ");
}

#[tokio::test]
async fn test_a_part_that_crashes_replicas_of_resumable_streams_is_no_longer_sent() {
    insta::assert_snapshot!(play(tag, &["0a", "0b"], 1).await, @"part 1 of 3: 12 of 12 sound requests served");
}

/// Sends requests with the crashing part until it is quarantined at all nodes, after a sound one with the other
/// part.
async fn until_quarantined(fleet: &mut CrashingFleet) {
    assert!(sound_call(fleet, chat, &["0a"], 0).await);
    let crashing_request = |id: &str| with_parts(chat(id), &["0a", CRASHING_PART], id);
    while fleet.attempt(crashing_request).await.code() != PART_QUARANTINED {}
    for node in 0..NODES {
        let is_known = async || !fleet.quarantined(node).await.is_empty();
        fleet.gateway.until("the part is quarantined", is_known).await;
    }
}

#[tokio::test]
async fn test_a_quarantined_part_is_refused_by_name_until_an_operator_lifts_it() {
    let mut fleet = start_fleet().await;
    until_quarantined(&mut fleet).await;
    for node in 0..NODES {
        let called = fleet.gateway.call(node, with_parts(tag("r-1"), &[CRASHING_PART], "r-1")).await;
        assert_eq!((called.status, called.code()), (503, PART_QUARANTINED), "{called:?}");
        let retry_after: f64 = called.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
        assert!((3_000.0..=3_600.0).contains(&retry_after), "{retry_after}");
        assert!(fleet.quarantined(node).await[0].contains(&format!("(part {CRASHING_PART})")));
    }
    let status = fleet.quarantined(0).await;
    let name = status[0].split(' ').next().expect("a fingerprint");
    let is_stored = async || fleet.gateway.store.names("crash-suspects").iter().any(|stored| stored == name);
    fleet.gateway.until("the quarantine is stored", is_stored).await;
    fleet.replicas.iter().for_each(|running| running.replica.set_crash_on(None));
    fleet.gateway.store.delete("crash-suspects", name);
    for node in 0..NODES {
        let is_lifted = async || fleet.quarantined(node).await.is_empty();
        fleet.gateway.until("the quarantine is lifted", is_lifted).await;
        let called = fleet.gateway.call(node, with_parts(chat("r-2"), &["0a", CRASHING_PART], "r-2")).await;
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
}

#[tokio::test]
async fn test_a_quarantine_of_a_part_survives_a_restart_of_all_nodes() {
    let mut fleet = start_fleet().await;
    until_quarantined(&mut fleet).await;
    let before = fleet.quarantined(0).await;
    let name = before[0].split(' ').next().expect("a fingerprint");
    let is_stored = async || fleet.gateway.store.names("crash-suspects").iter().any(|stored| stored == name);
    fleet.gateway.until("the quarantine is stored", is_stored).await;
    (0..NODES).for_each(|node| fleet.gateway.kill(node));
    (0..NODES).for_each(|node| fleet.gateway.restart_node(node));
    for node in 0..NODES {
        let is_known = async || fleet.quarantined(node).await == before;
        fleet.gateway.until("the quarantine is read from the store", is_known).await;
    }
    assert!(sound_call(&fleet, chat, &["0a"], 0).await, "{}", fleet.gateway.logs());
}

#[tokio::test]
async fn test_a_node_that_starts_later_receives_the_quarantine_of_a_part() {
    let mut fleet = start_fleet().await;
    until_quarantined(&mut fleet).await;
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let node = fleet.gateway.start_node_at(nowhere);
    let is_known = async || !fleet.quarantined(node).await.is_empty();
    fleet.gateway.until("the other nodes report it", is_known).await;
}

/// Half of all replicas end at once, repeatedly, under requests that share all parts but the last.
#[tokio::test]
async fn test_parts_are_served_while_replicas_end_for_other_reasons() {
    const ROUNDS: usize = 4;
    let mut fleet = CrashingFleet::start(MODEL).await;
    for round in 0..ROUNDS {
        let ids: Vec<String> = (0..2 * REPLICAS).map(|n| format!("r-{round}{n}")).collect();
        let calls = ids
            .iter()
            .map(|id| fleet.gateway.call(id.len() % NODES, with_parts(chat(id), &["0a", "0b"], id)));
        let ends = async {
            let live: Vec<_> =
                fleet.replicas.iter().filter(|running| !running.replica.has_crashed()).collect();
            let all_run = async || live.iter().all(|running| running.replica.running() > 0);
            fleet.gateway.until("all replicas run requests", all_run).await;
            live.iter().take(REPLICAS / 2).for_each(|running| running.replica.crash());
        };
        tokio::join!(futures::future::join_all(calls), ends);
        for _ in 0..REPLICAS / 2 {
            fleet.add_replica().await;
        }
        for n in 0..NODES {
            assert!(
                sound_call(&fleet, chat, &["0a", "0b"], n).await,
                "round {round}\n{}",
                fleet.gateway.logs()
            );
        }
    }
    assert!(!fleet.gateway.logs().contains("event=part_quarantined"), "{}", fleet.gateway.logs());
}
