//! Batching, splitting, forwarding and encoding of replica updates.

use std::time::Duration;

use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_updates::PackedUpdate;
use leadstage_lib::gateway::replica_updates::Part;
use leadstage_lib::gateway::replica_updates::ReplicaUpdate;
use leadstage_lib::gateway::replica_updates::UpdateBatcher;
use leadstage_lib::gateway::replica_updates::UpdateProgress;
use leadstage_lib::gateway::replica_updates::UpdateRelay;
use leadstage_lib::gateway::replicas::ReplicaTable;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_replicas::record;

const REPLICAS: usize = 3_000;

fn update(before: u64, added: &[&str], leaving: &[&str]) -> ReplicaUpdate {
    ReplicaUpdate {
        before,
        at: before + 1,
        added: added.iter().map(|id| record(id, false)).collect(),
        leaving: leaving.iter().map(|id| record(id, true).incarnation()).collect(),
        part: Part::default(),
    }
}

#[test]
fn test_first_update_is_sent_at_once_and_later_ones_are_batched() {
    let mut batcher = UpdateBatcher::default();
    let at = Duration::from_secs(7);
    assert_eq!(batcher.add(update(1, &["a"], &[]), at), Some(Duration::ZERO));
    assert_eq!(batcher.take(REPLICAS, at), Some(update(1, &["a"], &[])));
    let pause = batcher.add(update(2, &["b"], &[]), at);
    assert_eq!(pause, Some(Duration::from_millis(30)));
    assert_eq!(batcher.add(update(3, &["c"], &["a"]), at), None, "it is sent with the other");
    let sent = batcher.take(REPLICAS, at + Duration::from_millis(30)).expect("it was pending");
    assert_eq!((sent.before, sent.at, sent.added.len(), sent.leaving.len()), (2, 4, 2, 1));
    assert_eq!(batcher.take(REPLICAS, at), None);
}

/// Of several changes of one replica only the newest is sent.
#[test]
fn test_newer_changes_of_a_replica_replace_older_ones() {
    let mut batcher = UpdateBatcher::default();
    batcher.add(update(1, &["a", "b"], &["c"]), Duration::ZERO);
    batcher.add(update(2, &["c"], &["a"]), Duration::ZERO);
    let sent = batcher.take(REPLICAS, Duration::ZERO).expect("it was pending");
    let added: Vec<_> = sent.added.iter().map(|record| record.id.to_string()).collect();
    assert_eq!(added, ["b", "c"]);
    assert_eq!(sent.leaving, [record("a", true).incarnation()]);
}

/// An update with the given numbers of new and leaving replicas.
fn update_of_many(before: u64, added: usize, leaving: usize) -> ReplicaUpdate {
    let ids: Vec<String> = (0..added + leaving).map(|n| format!("engine-{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    update(before, &ids[..added], &ids[added..])
}

#[test]
fn test_many_changes_are_split_with_leaving_replicas_first() {
    let sizes = |update: ReplicaUpdate, replicas: usize| {
        let parts = update.into_parts(replicas)?;
        Some(parts.iter().map(|part| (part.leaving.len(), part.added.len())).collect::<Vec<_>>())
    };
    assert_eq!(sizes(update_of_many(1, 100, 20), 10_000), Some(vec![(20, 100)]));
    assert_eq!(sizes(update_of_many(1, 200, 193), 10_000), Some(vec![(150, 0), (43, 107), (0, 93)]));
    assert_eq!(sizes(ReplicaUpdate { at: 4, ..ReplicaUpdate::default() }, 10_000), Some(vec![(0, 0)]));
    assert_eq!(sizes(update_of_many(1, 0, 470), 10_000).map(|parts| parts.len()), Some(4));
    assert_eq!(
        sizes(update_of_many(1, 0, 2_100), 10_000),
        None,
        "more than a fifth: fetching the list takes less"
    );
    assert_eq!(sizes(update_of_many(1, 300, 0), 300), Some(vec![(0, 150), (0, 150)]), "sent in small fleets");
}

#[test]
fn test_update_is_applied_once_all_parts_and_earlier_updates_arrived() {
    let mut progress = UpdateProgress::default();
    progress.on_known(1);
    let first = update_of_many(1, 0, 400).into_parts(10_000).expect("parts");
    let second = update(2, &["x"], &[]);
    assert!(progress.on_part(&first[2]));
    assert!(progress.on_part(&second), "the earlier update is missing");
    assert!(progress.on_part(&first[0]));
    assert!(progress.on_part(&first[0]), "the same part again");
    assert_eq!(progress.at(), 1);
    assert!(!progress.on_part(&first[1]));
    assert_eq!(progress.at(), 3, "the update that arrived ahead counts as well");
    assert!(!progress.on_part(&first[1]), "an old update lacks nothing");
}

proptest! {
    /// Several updates are sent in parts, some of which get lost: everything up to the known revision has
    /// arrived.
    #[test]
    fn test_progress_never_exceeds_the_received_parts(
        sizes in prop::collection::vec(1_usize..500, 1..8),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut parts = Vec::new();
        for (step, size) in sizes.iter().enumerate() {
            parts.extend(update_of_many(step as u64, *size, 0).into_parts(10_000).expect("parts"));
        }
        let mut progress = UpdateProgress::default();
        let mut received = std::collections::BTreeSet::new();
        for index in order {
            let part = &parts[index.index(parts.len())];
            received.insert((part.at, part.part));
            progress.on_part(part);
            let all_received = |at: u64| parts
                .iter()
                .filter(|part| part.at <= at)
                .all(|part| received.contains(&(part.at, part.part)));
            prop_assert!(all_received(progress.at()), "at {}", progress.at());
        }
        for part in &parts {
            progress.on_part(part);
        }
        prop_assert_eq!(progress.at(), sizes.len() as u64);
    }
}

/// Guards against message storms. In a fleet where all nodes have missed an earlier change, no node can
/// advance its known revision; each node must still forward a message only once, so that the forwarding
/// ends.
#[test]
fn test_forwarding_ends_among_nodes_that_missed_an_earlier_change() {
    const NODES: usize = 66;
    const FAN_OUT: usize = 4;
    /// Far more messages than correct forwarding sends; a few rounds of repeated forwarding would reach it.
    const MESSAGE_STORM: usize = 100_000;
    let update = ReplicaUpdate {
        before: 262,
        at: 267,
        leaving: vec![record("e", true).incarnation()],
        ..ReplicaUpdate::default()
    };
    let mut relays = [UpdateRelay::default(); NODES];
    let mut knows = [false; NODES];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut in_flight = vec![0_usize];
    let mut messages = 0;
    while let Some(node) = in_flight.pop() {
        messages += 1;
        assert!(messages < MESSAGE_STORM, "message storm");
        let is_new = !std::mem::replace(&mut knows[node], true);
        if relays[node].should_forward(&update, is_new) {
            in_flight.extend((0..FAN_OUT).map(|_| rng.random_range(0..NODES)));
        }
    }
    assert!(messages <= 1 + NODES * FAN_OUT, "{messages} messages");
    assert!(knows.iter().filter(|knows| **knows).count() > NODES * 9 / 10);
}

#[test]
fn test_new_changes_are_forwarded_whatever_their_revision() {
    let mut relay = UpdateRelay::default();
    let at = |at| ReplicaUpdate { at, ..ReplicaUpdate::default() };
    let forwarded = [
        (at(5), true),
        (at(5), false),
        (at(4), false),
        (at(4), true),
        (at(0), true),
        (at(0), false),
        (at(6), false),
    ]
    .map(|(update, is_new)| relay.should_forward(&update, is_new));
    assert_eq!(forwarded, [true, false, false, true, true, false, true]);
}

/// A record as in a large deployment: names of realistic length, of which only the id differs from one
/// record to the next.
fn long_record(n: u64) -> ReplicaRecord {
    let id = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    ReplicaRecord {
        id: format!("i-{id:010x}").into(),
        service: "voye32a".into(),
        address: ([10, (n % 5) as u8, 64 + (n / 250 % 40) as u8, (n % 250) as u8], 8744).into(),
        hall: format!("lju-{}", ["a", "b", "c", "d", "e"][n as usize % 5]).into(),
        ..record("r", false)
    }
}

#[test]
fn test_updates_are_small_and_survive_encoding() {
    let added: Vec<ReplicaRecord> = (0..150).map(long_record).collect();
    let leaving = vec![record("x", true).incarnation()];
    let update = ReplicaUpdate { before: 3, at: 9, added, leaving, part: Part { number: 1, of: 4 } };
    let packed = update.pack().expect("it is packed");
    let bytes = postcard::to_stdvec(&packed).expect("it is encoded");
    let plain = postcard::to_stdvec(&update).expect("it is encoded");
    assert!(bytes.len() < 150 * 20, "{} bytes, {} plain", bytes.len(), plain.len());
    let received: PackedUpdate = postcard::from_bytes(&bytes).expect("it is decoded");
    assert_eq!(received.unpack().expect("it is unpacked"), update);
    let small_update =
        ReplicaUpdate { leaving: vec![record("x", true).incarnation()], ..ReplicaUpdate::default() };
    assert_eq!(small_update.pack().and_then(|packed| packed.unpack()).expect("it is unpacked"), small_update);
}

#[test]
fn test_lists_are_small_and_survive_encoding() {
    let mut table = ReplicaTable::default();
    table.on_list((0..10_000).map(long_record).collect(), None, Duration::ZERO);
    let list = table.since(5, 0);
    let packed = list.pack().expect("it is packed");
    assert!(packed.len() < 10_000 * 20, "{} bytes", packed.len());
    assert_eq!(ReplicaList::unpack(&packed).expect("it is unpacked"), list);
    assert!(ReplicaList::unpack(b"no list").is_err());
}

/// Guards against a few bytes of another node that fill the memory of a small VM when they are unpacked.
#[test]
fn test_lists_that_expand_without_end_are_rejected() {
    const UNPACKED_BYTES: usize = 32 << 20;
    let packed = zstd::bulk::compress(&vec![0; UNPACKED_BYTES], 3).expect("it is compressed");
    assert!(packed.len() < 10_000, "{} bytes", packed.len());
    let err = ReplicaList::unpack(&packed).expect_err("it is too large");
    assert!(err.to_string().starts_with("not unpacked"), "{err}");
    let mut table = ReplicaTable::default();
    table.on_list((0..20_000).map(long_record).collect(), None, Duration::ZERO);
    let list = table.since(5, 0);
    let packed = list.pack().expect("it is packed");
    assert_eq!(ReplicaList::unpack(&packed).expect("it is unpacked"), list);
}

proptest! {
    /// Arbitrary bytes from the network decode to an update or fail with an error.
    #[test]
    fn test_any_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(packed) = postcard::from_bytes::<PackedUpdate>(&bytes) {
            let _ = packed.unpack();
        }
        let _ = ReplicaList::unpack(&bytes);
    }
}
