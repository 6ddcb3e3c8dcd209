//! Requests of which no two are alike, and which crash each replica that begins to answer on a part that they share.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::CrashTrigger;

use crate::crashing_fleet::CRASHING_PART;
use crate::crashing_fleet::CrashingFleet;
use crate::crashing_fleet::MAX_LATE_SENDS;
use crate::crashing_fleet::NODES;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::tag;

/// The number of crashed replicas after which a part must not be sent any more.
const CRASHES_UNTIL_PART_IS_KNOWN: usize = 5;
/// The number of attempts after that.
const LATE_ATTEMPTS: usize = 4 * NODES;

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
/// parts. Returns the crashed replicas, the late sends, and the sound requests that were served late.
async fn play(make: MakeRequest, shared: &[&str], position: usize) -> String {
    let mut fleet = start_fleet().await;
    let mut crashing = shared.to_vec();
    crashing.insert(position, CRASHING_PART);
    let crashing_request = |id: &str| with_parts(make(id), &crashing, id);
    while fleet.ended_count() < CRASHES_UNTIL_PART_IS_KNOWN {
        fleet.attempt(crashing_request).await;
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
    let mut rows = Vec::new();
    for (shared, position) in [(&["0a", "0b"][..], 1), (&["0a"][..], 0), (&["0a", "0b"][..], 2), (&[][..], 0)]
    {
        rows.push(play(chat, shared, position).await);
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
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
