//! Shares of a plain service whose replicas are full: what the callers of each organisation get.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use leadstage_lib::gateway::call_sharing::Asked;
use leadstage_lib::gateway::call_sharing::CallSharer;
use leadstage_lib::gateway::call_sharing::share_out;
use leadstage_lib::gateway::call_window::AskedCalls;
use leadstage_lib::gateway::call_window::CallReport;
use leadstage_lib::gateway::plain_shares::PlainShares;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::OrganisationId;

use crate::plain_fleet;
use crate::plain_fleet::Day;
use crate::plain_fleet::Load;
use crate::plain_fleet::Outcome;
use crate::plain_fleet::Served;

const NODES: usize = 30;
const SEEDS: Range<u64> = 1..9;
/// The organisation that floods.
const FLOODER: &str = "org-05";
/// Calls per second of all organisations on a usual day: half of what the replicas can bear.
const USUAL_PER_SECOND: f64 = 300.0;
const FLOOD_FACTOR: f64 = 40.0;
const FLOOD: Range<u64> = 5..17;
const DAY_SECONDS: u64 = 22;
/// Largest part of the others' calls that may be late or refused because of the flood.
const MAX_LOSS: f64 = 0.03;
/// Part of the replicas' room that is used at least in a flood, from the third second on.
const MIN_USED: f64 = 0.6;
/// Bytes that a node may send to others in a second for all its decisions.
const MAX_BYTES_PER_SECOND: usize = 7_000;
const ORGANISATIONS: [&str; 24] = [
    "org-00", "org-01", "org-02", "org-03", "org-04", "org-05", "org-06", "org-07", "org-08", "org-09",
    "org-10", "org-11", "org-12", "org-13", "org-14", "org-15", "org-16", "org-17", "org-18", "org-19",
    "org-20", "org-21", "org-22", "org-23",
];

fn load(organisation: &'static str, per_second: f64, seconds: Range<u64>) -> Load {
    let (from, until) = (Duration::from_secs(seconds.start), Duration::from_secs(seconds.end));
    Load { organisation, per_second, from, until }
}

/// The loads of a usual day: a few organisations are large.
fn usual_loads() -> Vec<Load> {
    let weights: Vec<f64> = (0..ORGANISATIONS.len()).map(|n| 1.0 / (n + 1) as f64).collect();
    let total: f64 = weights.iter().sum();
    let rates = weights.iter().map(|weight| USUAL_PER_SECOND * weight / total);
    ORGANISATIONS.iter().zip(rates).map(|(name, rate)| load(name, rate, 0..DAY_SECONDS)).collect()
}

fn usual_day(seed: u64) -> Day {
    Day { seed, ..Day::new(NODES, Duration::from_secs(DAY_SECONDS), usual_loads()) }
}

/// A usual day on which an organisation sends `factor` times its usual for a while.
fn flood_day(seed: u64, organisation: &'static str, factor: f64) -> Day {
    let mut day = usual_day(seed);
    let usual = day.loads.iter().find(|load| load.organisation == organisation).expect("a load").per_second;
    day.loads.push(load(organisation, usual * (factor - 1.0), FLOOD));
    day
}

fn others(outcome: &Outcome, seconds: Range<u64>) -> Served {
    outcome.served(seconds, |name| name != FLOODER)
}

/// Part of the others' calls of the whole day that are in time, on a usual day, in a flood without shares, and in
/// one with them, and the used part of the room in the latter.
fn parts_in_time(seed: u64, change: impl Fn(Day) -> Day) -> (f64, f64, f64, f64) {
    let usual = plain_fleet::play(&usual_day(seed));
    let day = change(flood_day(seed, FLOODER, FLOOD_FACTOR));
    let shared = plain_fleet::play(&day);
    let unshared = plain_fleet::play(&Day { shares: false, ..day });
    let part = |outcome: &Outcome| others(outcome, 0..DAY_SECONDS).in_time_part();
    let used = shared.used(FLOOD.start + 2..FLOOD.end);
    (part(&usual), part(&unshared), part(&shared), used)
}

#[test]
fn test_a_flood_of_one_organisation_costs_the_others_little() {
    for seed in SEEDS {
        let (usual, unshared, shared, used) = parts_in_time(seed, |day| day);
        println!("seed {seed}: usual {usual:.3}, unshared {unshared:.3}, shared {shared:.3}, used {used:.2}");
        assert!(
            shared >= usual - MAX_LOSS,
            "seed {seed}: usual {usual}, unshared {unshared}, shared {shared}"
        );
        assert!(unshared < usual - 0.2, "the flood is none: seed {seed}: {unshared} in time");
        assert!(used >= MIN_USED, "seed {seed}: {used} used");
    }
}

/// Guards against shares that end with the node that decides them.
#[test]
fn test_others_lose_little_when_the_sharing_node_is_killed_in_a_flood() {
    for seed in SEEDS {
        let killed_at = FLOOD.start + 5;
        let day = flood_day(seed, FLOODER, FLOOD_FACTOR);
        let usual = plain_fleet::play(&usual_day(seed));
        let outcome =
            plain_fleet::play(&Day { sharer_killed_at: Some(Duration::from_secs(killed_at)), ..day });
        let after = killed_at + 2..FLOOD.end;
        let (usual, shared) = (others(&usual, after.clone()), others(&outcome, after.clone()));
        let (usual, shared) = (usual.in_time_part(), shared.in_time_part());
        println!("seed {seed}: usual {usual:.3}, 2 s after the kill {shared:.3}");
        assert!(shared >= usual - MAX_LOSS, "seed {seed}: usual {usual}, shared {shared}");
    }
}

/// Three tenths of all messages are lost: shares are told often enough, and last long enough, that the flood
/// hurts the others far less than without shares.
#[test]
fn test_shares_work_while_messages_are_lost() {
    for seed in SEEDS {
        let (usual, unshared, shared, _) = parts_in_time(seed, |day| Day { lost_messages: 0.3, ..day });
        println!("seed {seed}: usual {usual:.3}, unshared {unshared:.3}, shared {shared:.3}");
        assert!(usual - shared < (usual - unshared) / 4.0, "seed {seed}: {usual}, {unshared}, {shared}");
    }
}

/// Without any messages, each node goes by its own counts.
#[test]
fn test_nodes_that_hear_nothing_go_by_their_own_counts() {
    for seed in SEEDS {
        let (usual, unshared, shared, _) = parts_in_time(seed, |day| Day { lost_messages: 1.0, ..day });
        println!("seed {seed}: usual {usual:.3}, unshared {unshared:.3}, shared {shared:.3}");
        assert!(usual - shared < (usual - unshared) / 2.0, "seed {seed}: {usual}, {unshared}, {shared}");
    }
}

/// A small organisation that sends many times its usual and is still within its share loses nothing, beside one
/// that floods.
#[test]
fn test_a_small_organisation_that_floods_within_its_share_loses_nothing() {
    const SMALL: &str = "org-23";
    let mut total = Served::default();
    for seed in SEEDS {
        let mut day = flood_day(seed, FLOODER, FLOOD_FACTOR);
        // An equal part of what the replicas can bear is 25 calls a second.
        day.loads.push(load(SMALL, 12.0, FLOOD));
        let outcome = plain_fleet::play(&day);
        let small = outcome.served(FLOOD.start + 2..FLOOD.end, |name| name == SMALL);
        assert_eq!(small.over_share, 0, "seed {seed}: {small:?}");
        total.asked += small.asked;
        total.in_time += small.in_time;
    }
    println!("{} of {} in time", total.in_time, total.asked);
    assert!(total.in_time_part() >= 1.0 - MAX_LOSS, "{total:?}");
}

/// Guards against refusals while places are free: a flood that the replicas can bear, and a node whose calls
/// alone are slow, are no shortage.
#[test]
fn test_nothing_is_refused_and_no_message_sent_while_there_is_room() {
    let flood_with_room = flood_day(1, FLOODER, 10.0);
    let slow_path = Day { slow_path: Some((3, Duration::from_millis(300))), ..usual_day(1) };
    for (what, day) in [("usual", usual_day(1)), ("a flood with room", flood_with_room)] {
        let outcome = plain_fleet::play(&day);
        assert_eq!(outcome.messages, 0, "{what}");
    }
    let outcome = plain_fleet::play(&slow_path);
    let all = outcome.served(0..DAY_SECONDS, |_| true);
    assert_eq!(all.refused, 0, "{all:?}");
}

/// Where one organisation alone asks, there is nothing to share: no message is sent, and the replicas decide.
#[test]
fn test_one_organisation_alone_is_not_shared() {
    let loads = vec![load(FLOODER, 900.0, 0..DAY_SECONDS)];
    let outcome = plain_fleet::play(&Day::new(NODES, Duration::from_secs(DAY_SECONDS), loads));
    assert_eq!(outcome.messages, 0);
    assert!(outcome.used(2..20) > 0.95, "{}", outcome.used(2..20));
}

/// An organisation that floods on after all others have left is no longer kept to a share.
#[test]
fn test_shares_end_when_one_organisation_is_left() {
    let loads = vec![load(FLOODER, 900.0, 0..DAY_SECONDS), load("org-00", 60.0, 0..8)];
    let outcome = plain_fleet::play(&Day::new(NODES, Duration::from_secs(DAY_SECONDS), loads));
    let over_share = |seconds| outcome.served(seconds, |name| name == FLOODER).over_share;
    assert!(over_share(2..8) > 0);
    assert_eq!(over_share(12..DAY_SECONDS), 0);
}

/// Guards against shares that refuse ever more calls while answers are slow for another reason than load.
#[test]
fn test_shares_end_while_all_replicas_are_slower_and_have_room() {
    for seed in SEEDS {
        let mut day = Day { slower: Some((Duration::from_secs(5), 3.0)), ..usual_day(seed) };
        day.length = Duration::from_secs(30);
        for load in &mut day.loads {
            load.per_second /= 3.0;
            load.until = day.length;
        }
        let outcome = plain_fleet::play(&day);
        let slow = outcome.served(5..28, |_| true);
        let end = outcome.served(15..28, |_| true);
        println!("seed {seed}: {slow:?}, at the end {end:?}");
        // All calls fit into the places.
        assert_eq!(slow.refused, 0, "seed {seed}: {slow:?}");
        assert_eq!(end.over_share, 0, "seed {seed}: {end:?}");
    }
}

#[test]
fn test_messages_stay_small_while_a_service_is_short() {
    let outcome = plain_fleet::play(&flood_day(1, FLOODER, FLOOD_FACTOR));
    let seconds = (FLOOD.end - FLOOD.start) as usize;
    let mean = outcome.bytes / NODES / seconds;
    println!("{mean} bytes per node and second in the mean, at most {}", outcome.max_bytes_per_node);
    assert!(mean < MAX_BYTES_PER_SECOND && outcome.max_bytes_per_node < MAX_BYTES_PER_SECOND);
}

/// A new sharing node takes over shares in force, also if a node without any reports first.
#[test]
fn test_shares_in_force_are_taken_over_after_a_first_report_without_any() {
    let calls = |name: &str, calls| AskedCalls { organisation: name.into(), priority: 1, calls };
    let mut sharer = CallSharer::default();
    sharer.on_report(&"10.0.0.1:7003".into(), CallReport::default(), Duration::ZERO);
    sharer.decide(NODES, Duration::ZERO);
    let asked = vec![calls(FLOODER, 500), calls("org-00", 10)];
    let report = CallReport { asked, answered: 100, is_short: true, ..CallReport::default() };
    sharer.on_report(&"10.0.0.2:7003".into(), report, Duration::from_millis(100));
    let (shares, _) = sharer.decide(NODES, Duration::from_millis(100)).expect("shares");
    assert_eq!(shares.capacity, Some(200.0));
    assert_eq!(shares.admitted.len(), 1);
}

#[test]
fn test_share_out() {
    let shares = |capacity, rates: &[(u8, f64)]| {
        let asked: Vec<Asked> =
            rates.iter().map(|(priority, rate)| Asked { priority: *priority, rate: *rate }).collect();
        format!("{:.1?}", share_out(capacity, &asked))
    };
    // All fit.
    insta::assert_snapshot!(shares(100.0, &[(1, 10.0), (1, 20.0)]), @"[10.0, 20.0]");
    // What the small ones leave goes to the large ones in equal parts.
    let asked = [(1, 10.0), (1, 200.0), (1, 45.0), (1, 30.0)];
    insta::assert_snapshot!(shares(100.0, &asked), @"[10.0, 30.0, 30.0, 30.0]");
    // The more urgent one gets what is left beyond equal parts.
    insta::assert_snapshot!(shares(90.0, &[(3, 200.0), (0, 40.0), (3, 5.0)]), @"[45.0, 40.0, 5.0]");
    insta::assert_snapshot!(shares(0.0, &[(1, 10.0)]), @"[0.0]");
    insta::assert_snapshot!(shares(10.0, &[]), @"[]");
}

/// Prints what a call costs, for `cargo test --release`.
#[test]
fn test_a_call_costs_little() {
    const CALLS: u64 = 200_000;
    let organisations: Vec<OrganisationId> = ORGANISATIONS.iter().map(|name| (*name).into()).collect();
    let service: ServiceId = "reads".into();
    let mut shares = PlainShares::new("10.0.0.1:7003".into());
    let began = Instant::now();
    for n in 0..CALLS {
        let now = Duration::from_micros(n * 100);
        let organisation = &organisations[n as usize % organisations.len()];
        assert!(shares.on_call(&service, Some(organisation), 1, now).is_ok());
        shares.on_placed(n, &service, Duration::from_millis(150), now);
        shares.on_ended(n, false, now + Duration::from_millis(30));
    }
    println!("{:?} per call", began.elapsed() / CALLS as u32);
}
