//! The crash ledger: updates may arrive twice, late and in any order, and nodes that received the same ones
//! agree; ends expire, and are void after a successful run.

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::MAX_ENDS;
use leadstage_lib::gateway::crash_ledger::MAX_SUSPECTS;
use leadstage_lib::gateway::crash_ledger::MAX_SUSPECTS_PER_MESSAGE;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::quarantine::ENDS_TO_QUARANTINE;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::suspect::END_RETENTION;
use leadstage_lib::gateway::suspect::ReplicaEnd;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::ids::UnixMillis;
use proptest::prelude::*;

const NOW: UnixMillis = 1_800_000_000_000;
const RETENTION_MS: UnixMillis = END_RETENTION.as_millis() as UnixMillis;

pub fn fingerprint(n: usize) -> Fingerprint {
    let body = n.to_le_bytes();
    Fingerprint::of(&RequestParts { method: "POST", host: "h", path: "/", organisation: "o", body: &body })
}

pub fn request(n: usize) -> SuspectName {
    SuspectName::of_request(fingerprint(n))
}

pub fn replica(n: usize) -> Incarnation {
    Incarnation { id: format!("i-{n:08x}").into(), born: 0 }
}

fn end(n: usize, is_void: bool) -> ReplicaEnd {
    ReplicaEnd { replica: replica(n), at: NOW, is_void }
}

fn suspect(n: usize, ends: Vec<ReplicaEnd>) -> Suspect {
    Suspect { name: request(n), has_served: false, ends }
}

fn ends(ledger: &CrashLedger, n: usize) -> usize {
    ledger.table().ends_of(&fingerprint(n))
}

fn is_quarantined(ledger: &CrashLedger, n: usize) -> bool {
    ledger.table().quarantine_of(&[request(n)]).is_some()
}

#[test]
fn test_three_replicas_quarantine_and_each_counts_once() {
    let mut ledger = CrashLedger::default();
    for n in 0..ENDS_TO_QUARANTINE {
        assert!(!is_quarantined(&ledger, 1));
        assert!(!ledger.on_end(request(1), replica(n), NOW).is_empty());
        assert!(ledger.on_end(request(1), replica(n), NOW + 5).is_empty(), "the end is known already");
    }
    assert!(is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    // A restarted replica is another incarnation.
    let later = Incarnation { born: 7, ..replica(0) };
    ledger.on_end(request(1), later, NOW);
    assert_eq!(ends(&ledger, 1), ENDS_TO_QUARANTINE + 1);
}

#[test]
fn test_a_successful_run_voids_earlier_ends() {
    let mut ledger = CrashLedger::default();
    assert!(ledger.clear(fingerprint(1)).is_empty(), "nothing is announced for a request without ends");
    let announced: Vec<Suspect> = (0..3).flat_map(|n| ledger.on_end(request(1), replica(n), NOW)).collect();
    let cleared = ledger.clear(fingerprint(1));
    assert_eq!(ends(&ledger, 1), 0);
    // Older updates that arrive late don't make the ends valid again; another end counts.
    assert!(ledger.merge(announced.clone(), NOW).is_empty());
    assert_eq!(ends(&ledger, 1), 0);
    ledger.on_end(request(1), replica(9), NOW);
    assert_eq!(ends(&ledger, 1), 1);
    // A node that receives the updates in the opposite order agrees.
    let mut other = CrashLedger::default();
    other.merge(cleared, NOW);
    other.merge(announced, NOW);
    assert_eq!(ends(&other, 1), 0);
}

#[test]
fn test_ends_expire() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|n| drop(ledger.on_end(request(1), replica(n), NOW + n as u64)));
    let until = ledger.table().quarantine_of(&[request(1)]).expect("it is quarantined").until;
    assert_eq!(until, NOW + RETENTION_MS);
    assert!(!ledger.forget(until - 1));
    assert!(ledger.forget(until) && !is_quarantined(&ledger, 1));
    // Expired ends and ends from a clock that is far ahead are not merged.
    assert!(ledger.merge(vec![suspect(2, vec![end(0, false)])], NOW + RETENTION_MS).is_empty());
    assert!(ledger.merge(vec![suspect(2, vec![end(0, false)])], NOW - RETENTION_MS).is_empty());
    assert_eq!(ledger.get(&fingerprint(2)), None);
}

#[test]
fn test_the_ledger_is_bounded_and_quarantined_requests_are_evicted_last() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        ledger.on_end(request(0), replica(n), NOW);
    }
    for n in 1..3 * MAX_SUSPECTS {
        ledger.on_end(request(n), replica(n), NOW + n as u64);
    }
    assert_eq!(ledger.table().len(), MAX_SUSPECTS);
    assert!(is_quarantined(&ledger, 0));
    assert_eq!(ends(&ledger, 3 * MAX_SUSPECTS - 1), 1, "the newest of the other requests stay");
    (0..3 * MAX_ENDS).for_each(|n| drop(ledger.on_end(request(0), replica(n), NOW)));
    assert_eq!(ends(&ledger, 0), MAX_ENDS);
}

/// A request that was cleared many times can still be quarantined.
#[test]
fn test_void_ends_are_evicted_for_new_ones() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 * MAX_ENDS {
        assert_eq!(ledger.on_end(request(1), replica(n), NOW + n as u64).len(), 1, "{n}");
        ledger.clear(fingerprint(1));
    }
    (100..103).for_each(|n| drop(ledger.on_end(request(1), replica(n), NOW + 200)));
    assert!(is_quarantined(&ledger, 1));
}

#[test]
fn test_synchronised_suspects_fit_into_a_message() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 * MAX_SUSPECTS_PER_MESSAGE {
        for r in 0..MAX_ENDS {
            let replica = Incarnation { id: format!("i-{r:010x}").into(), born: NOW };
            ledger.on_end(request(n), replica, NOW + n as u64);
        }
    }
    let sent = ledger.suspects_to_sync();
    assert_eq!(sent.len(), MAX_SUSPECTS_PER_MESSAGE);
    let bytes = postcard::to_stdvec(&sent).expect("suspects can be encoded").len();
    assert!(bytes < 15 << 10, "{bytes}");
    let mut other = CrashLedger::default();
    other.merge(sent, NOW);
    assert_eq!(other.digest(), ledger.digest());
}

/// A single end may happen to any request: it must not make all nodes exchange full syncs again and again.
#[test]
fn test_a_single_end_does_not_change_the_digest() {
    let mut ledger = CrashLedger::default();
    ledger.on_end(request(1), replica(0), NOW);
    assert_eq!(ledger.digest(), 0);
    ledger.on_end(request(1), replica(1), NOW);
    let before = ledger.digest();
    assert_ne!(before, 0);
    ledger.clear(fingerprint(1));
    assert_ne!(ledger.digest(), before);
    assert_ne!(ledger.digest(), 0, "void ends are synchronised too");
}

fn any_suspect() -> impl Strategy<Value = Suspect> {
    let any_end = (0..6_usize, any::<bool>()).prop_map(|(n, is_void)| end(n, is_void));
    (0..4_usize, prop::collection::vec(any_end, 1..4)).prop_map(|(n, ends)| suspect(n, ends))
}

proptest! {
    /// The order and repetition of updates don't affect the final state.
    #[test]
    fn test_order_and_repeats_do_not_matter(
        updates in prop::collection::vec(any_suspect(), 1..12),
        order in any::<prop::sample::Index>(),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut ledger = CrashLedger::default();
        updates.iter().for_each(|suspect| drop(ledger.merge(vec![suspect.clone()], NOW)));
        let mut shuffled = updates.clone();
        shuffled.rotate_left(order.index(updates.len()));
        shuffled.reverse();
        shuffled.extend(repeats.iter().map(|index| updates[index.index(updates.len())].clone()));
        let mut other = CrashLedger::default();
        shuffled.into_iter().for_each(|suspect| drop(other.merge(vec![suspect], NOW)));
        prop_assert_eq!(ledger.table(), other.table());
        prop_assert_eq!(ledger.digest(), other.digest());
        prop_assert_eq!(ledger.suspects_to_sync(), other.suspects_to_sync());
    }

    /// The changes that a merge returns bring another node with the same earlier state up to date.
    #[test]
    fn test_returned_changes_are_what_equal_nodes_lack(
        known in prop::collection::vec(any_suspect(), 0..6),
        received in prop::collection::vec(any_suspect(), 1..6),
    ) {
        let mut ledger = CrashLedger::default();
        ledger.merge(known, NOW);
        let mut other = ledger.clone();
        let changes = ledger.merge(received, NOW);
        other.merge(changes, NOW);
        prop_assert_eq!(ledger.table(), other.table());
    }
}
