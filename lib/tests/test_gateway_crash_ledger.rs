//! The ledger of requests under which replicas ended: news may come twice, late and in any order, and all
//! who heard the same agree; ends count for their time, and are void after a run that ended well.

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::ENDS_TO_QUARANTINE;
use leadstage_lib::gateway::crash_ledger::End;
use leadstage_lib::gateway::crash_ledger::KEPT_FOR;
use leadstage_lib::gateway::crash_ledger::MOST_ENDS;
use leadstage_lib::gateway::crash_ledger::MOST_SUSPECTS;
use leadstage_lib::gateway::crash_ledger::MOST_TOLD;
use leadstage_lib::gateway::crash_ledger::Standing;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::ids::UnixMillis;
use proptest::prelude::*;

const NOW: UnixMillis = 1_800_000_000_000;
const KEPT_MS: UnixMillis = KEPT_FOR.as_millis() as UnixMillis;

pub fn fingerprint(n: usize) -> Fingerprint {
    let body = n.to_le_bytes();
    Fingerprint::of(&RequestParts { method: "POST", host: "h", path: "/", organisation: "o", body: &body })
}

pub fn replica(n: usize) -> Incarnation {
    Incarnation { id: format!("i-{n:08x}").into(), born: 0 }
}

fn end(n: usize, is_void: bool) -> End {
    End { replica: replica(n), at: NOW, is_void }
}

fn suspect(n: usize, ends: Vec<End>) -> Suspect {
    Suspect { fingerprint: fingerprint(n), ends }
}

fn ends(ledger: &CrashLedger, n: usize) -> usize {
    ledger.table().get(&fingerprint(n)).map_or(0, |standing| standing.ends)
}

fn is_quarantined(ledger: &CrashLedger, n: usize) -> bool {
    ledger.table().get(&fingerprint(n)).is_some_and(Standing::is_quarantined)
}

#[test]
fn test_three_replicas_are_enough_and_one_counts_once() {
    let mut ledger = CrashLedger::default();
    for n in 0..ENDS_TO_QUARANTINE {
        assert!(!is_quarantined(&ledger, 1));
        assert!(!ledger.on_end(fingerprint(1), replica(n), NOW).is_empty());
        assert!(ledger.on_end(fingerprint(1), replica(n), NOW + 5).is_empty(), "that one is known");
    }
    assert!(is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    // A later start of a replica is another one.
    let later = Incarnation { born: 7, ..replica(0) };
    ledger.on_end(fingerprint(1), later, NOW);
    assert_eq!(ends(&ledger, 1), ENDS_TO_QUARANTINE + 1);
}

#[test]
fn test_a_run_that_ends_well_voids_what_was_before_it() {
    let mut ledger = CrashLedger::default();
    assert!(ledger.clear(fingerprint(1)).is_empty(), "nothing is told of what nothing speaks against");
    let told: Vec<Suspect> = (0..3).flat_map(|n| ledger.on_end(fingerprint(1), replica(n), NOW)).collect();
    let cleared = ledger.clear(fingerprint(1));
    assert_eq!(ends(&ledger, 1), 0);
    // Older news, late, does not bring it back; news of another end counts.
    assert!(ledger.take(told.clone(), NOW).is_empty());
    assert_eq!(ends(&ledger, 1), 0);
    ledger.on_end(fingerprint(1), replica(9), NOW);
    assert_eq!(ends(&ledger, 1), 1);
    // A node that hears of it in the other order agrees.
    let mut other = CrashLedger::default();
    other.take(cleared, NOW);
    other.take(told, NOW);
    assert_eq!(ends(&other, 1), 0);
}

#[test]
fn test_ends_count_for_their_time() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|n| drop(ledger.on_end(fingerprint(1), replica(n), NOW + n as u64)));
    let until = ledger.table()[&fingerprint(1)].until;
    assert_eq!(until, NOW + KEPT_MS);
    assert!(!ledger.forget(until - 1));
    assert!(ledger.forget(until) && !is_quarantined(&ledger, 1));
    // An end that is over is not taken from others, nor one of a clock that is far ahead.
    assert!(ledger.take(vec![suspect(2, vec![end(0, false)])], NOW + KEPT_MS).is_empty());
    assert!(ledger.take(vec![suspect(2, vec![end(0, false)])], NOW - KEPT_MS).is_empty());
    assert_eq!(ledger.get(&fingerprint(2)), None);
}

#[test]
fn test_what_is_kept_is_bounded_and_the_quarantined_go_last() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        ledger.on_end(fingerprint(0), replica(n), NOW);
    }
    for n in 1..3 * MOST_SUSPECTS {
        ledger.on_end(fingerprint(n), replica(n), NOW + n as u64);
    }
    assert_eq!(ledger.table().len(), MOST_SUSPECTS);
    assert!(is_quarantined(&ledger, 0));
    assert_eq!(ends(&ledger, 3 * MOST_SUSPECTS - 1), 1, "the newest of the others stay");
    (0..3 * MOST_ENDS).for_each(|n| drop(ledger.on_end(fingerprint(0), replica(n), NOW)));
    assert_eq!(ends(&ledger, 0), MOST_ENDS);
}

/// A request is cleared again and again, and turns bad in the end.
#[test]
fn test_void_ends_leave_room_for_new_ones() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 * MOST_ENDS {
        assert_eq!(ledger.on_end(fingerprint(1), replica(n), NOW + n as u64).len(), 1, "{n}");
        ledger.clear(fingerprint(1));
    }
    (100..103).for_each(|n| drop(ledger.on_end(fingerprint(1), replica(n), NOW + 200)));
    assert!(is_quarantined(&ledger, 1));
}

#[test]
fn test_what_is_told_fits_into_a_message() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 * MOST_TOLD {
        for r in 0..MOST_ENDS {
            let replica = Incarnation { id: format!("i-{r:010x}").into(), born: NOW };
            ledger.on_end(fingerprint(n), replica, NOW + n as u64);
        }
    }
    let told = ledger.agreed();
    assert_eq!(told.len(), MOST_TOLD);
    let bytes = postcard::to_stdvec(&told).expect("it can be encoded").len();
    assert!(bytes < 15 << 10, "{bytes}");
    let mut other = CrashLedger::default();
    other.take(told, NOW);
    assert_eq!(other.digest(), ledger.digest());
}

/// One end is any request's fate: it must not have all nodes tell each other all again and again.
#[test]
fn test_one_end_does_not_count_in_the_digest() {
    let mut ledger = CrashLedger::default();
    ledger.on_end(fingerprint(1), replica(0), NOW);
    assert_eq!(ledger.digest(), 0);
    ledger.on_end(fingerprint(1), replica(1), NOW);
    let before = ledger.digest();
    assert_ne!(before, 0);
    ledger.clear(fingerprint(1));
    assert_ne!(ledger.digest(), before);
    assert_ne!(ledger.digest(), 0, "that it is void must be known too");
}

fn any_suspect() -> impl Strategy<Value = Suspect> {
    let any_end = (0..6_usize, any::<bool>()).prop_map(|(n, is_void)| end(n, is_void));
    (0..4_usize, prop::collection::vec(any_end, 1..4)).prop_map(|(n, ends)| suspect(n, ends))
}

proptest! {
    /// Whatever order news come in, and how often, the same is known in the end.
    #[test]
    fn test_order_and_repeats_do_not_matter(
        news in prop::collection::vec(any_suspect(), 1..12),
        order in any::<prop::sample::Index>(),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut ledger = CrashLedger::default();
        news.iter().for_each(|suspect| drop(ledger.take(vec![suspect.clone()], NOW)));
        let mut shuffled = news.clone();
        shuffled.rotate_left(order.index(news.len()));
        shuffled.reverse();
        shuffled.extend(repeats.iter().map(|index| news[index.index(news.len())].clone()));
        let mut other = CrashLedger::default();
        shuffled.into_iter().for_each(|suspect| drop(other.take(vec![suspect], NOW)));
        prop_assert_eq!(ledger.table(), other.table());
        prop_assert_eq!(ledger.digest(), other.digest());
        prop_assert_eq!(ledger.agreed(), other.agreed());
    }

    /// What was news to one node is all that another one lacks that knew the same.
    #[test]
    fn test_news_are_what_others_lack(
        known in prop::collection::vec(any_suspect(), 0..6),
        told in prop::collection::vec(any_suspect(), 1..6),
    ) {
        let mut ledger = CrashLedger::default();
        ledger.take(known, NOW);
        let mut other = ledger.clone();
        let news = ledger.take(told, NOW);
        other.take(news, NOW);
        prop_assert_eq!(ledger.table(), other.table());
    }
}
