//! Indices of replicas by service, hall, revision and deadline: they agree with the table, and the work per
//! operation does not grow with its size.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HALLS: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 2] = ["m", "n"];
const FORGET_AFTER: Duration = Duration::from_secs(30);

fn record(n: usize, leaving: bool) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{n:05}").into(),
        service: SERVICES[n / 7 % 2].into(),
        address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
        hall: HALLS[n % 3].into(),
        slots: 8,
        leaving,
        cold: Duration::ZERO,
        born: 0,
        version: "v1".into(),
    }
}

fn table(replicas: usize) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.on_list((0..replicas).map(|n| record(n, false)).collect(), None, Duration::ZERO);
    table
}

fn ids<'a>(replicas: impl IntoIterator<Item = &'a Replica>) -> BTreeSet<String> {
    replicas.into_iter().map(|replica| replica.record.id.to_string()).collect()
}

proptest! {
    /// After any sequence of events, each index contains exactly the replicas that it should.
    #[test]
    fn test_indices_agree_with_the_table(steps in prop::collection::vec((0u8..8, 0usize..40), 1..120)) {
        let mut table = ReplicaTable::default();
        let mut now = Duration::from_secs(1);
        let mut at = 0;
        for (step, n) in steps {
            let mut change = ListChange::default();
            let id = format!("i-{n:05}");
            match step {
                0 | 1 => table.on_entry(record(n, false), now, &mut change),
                2 => table.on_entry(record(n, true), now, &mut change),
                3 => table.on_unlisted(&id, now, &mut change),
                4 => table.on_missing(&id, now),
                5 => {
                    if table.on_sign(&record(n, false).incarnation(), LeavingSign::Unhealthy, now) {
                        change.leaving.push(id.as_str().into());
                    }
                }
                6 => table.on_entry(
                    ReplicaRecord { born: n as u64 + at, address: record(n + 1, false).address, ..record(n, false) },
                    now,
                    &mut change,
                ),
                _ => {
                    now += Duration::from_secs(n as u64 / 2);
                    change = table.tick(now, FORGET_AFTER);
                }
            }
            at += 1;
            table.set_changed_at(&change, at);
            let all: Vec<&Replica> = table.iter().collect();
            prop_assert_eq!(all.len(), table.len());
            for service in SERVICES {
                let stays = |r: &&&Replica| r.leaving.is_none() && &*r.record.service == service;
                let expected = ids(all.iter().filter(stays).copied());
                prop_assert_eq!(ids(table.staying(service)), expected.clone());
                let by_hall: usize = table.staying_by_hall(service).map(|(_, count)| count).sum();
                prop_assert_eq!(by_hall, expected.len());
                let rng = &mut SmallRng::seed_from_u64(at);
                prop_assert_eq!(ids(table.sample(service, "b", 100, rng, |_| true)), expected);
            }
            for replica in &all {
                let address = replica.record.address;
                let at_address = all.iter().filter(|other| other.record.address == address).copied();
                prop_assert_eq!(ids(table.at_address(address)), ids(at_address));
            }
            let whole = table.list(at);
            prop_assert_eq!(whole.staying.len() + whole.leaving.len(), all.len());
            let newest = table.since(at, at - 1);
            prop_assert!(newest.is_whole || newest.staying.iter().all(|changed| changed.at == at));
        }
    }
}

/// Half of a sample is from the near hall, and all replicas of a hall are equally likely to be sampled.
#[test]
fn test_samples_are_uniform_and_half_near() {
    let table = table(3_000);
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut seen = std::collections::BTreeMap::new();
    for _ in 0..4_000 {
        let sample = table.sample("m", "a", 64, rng, |_| true);
        assert_eq!(sample.len(), 64);
        assert_eq!(sample.iter().filter(|replica| &*replica.record.hall == "a").count(), 32);
        assert_eq!(ids(sample.iter().copied()).len(), 64, "no replica is sampled twice");
        for replica in sample {
            *seen.entry(replica.record.id.clone()).or_insert(0_u32) += 1;
        }
    }
    // 4,000 samples of 32 among some 500 near ones, and 32 among some 1,000 far ones.
    let counts = |near: bool| {
        let its = seen.iter().filter(|(id, _)| (&*table.get(id).expect("there").record.hall == "a") == near);
        let mut counts: Vec<u32> = its.map(|(_, count)| *count).collect();
        counts.sort_unstable();
        counts
    };
    for (near, expected) in [(true, 256.0), (false, 128.0)] {
        let counts = counts(near);
        let (least, most) = (f64::from(counts[0]), f64::from(counts[counts.len() - 1]));
        assert!(least > 0.7 * expected && most < 1.3 * expected, "near {near}: {least} to {most}");
    }
}

/// Replicas that are not accepted do not displace accepted ones from a sample.
#[test]
fn test_sample_finds_the_few_accepted_replicas() {
    let table = table(9_000);
    let rng = &mut SmallRng::seed_from_u64(2);
    let is_accepted = |replica: &Replica| replica.record.id.ends_with("777");
    let expected = ids(table.staying("m").filter(|replica| is_accepted(replica)));
    assert!(expected.len() >= 3);
    assert_eq!(ids(table.sample("m", "a", 64, rng, is_accepted)), expected);
    let one_hall = table.sample("m", "a", 64, rng, |replica| &*replica.record.hall == "a");
    assert_eq!(one_hall.len(), 64, "a sample may come from one hall alone");
}

/// The number of replicas inspected for one sample, and the changes returned for one query, stay the same
/// with one hundred times as many replicas.
#[test]
fn test_work_does_not_grow_with_the_number_of_replicas() {
    let inspected_with = |replicas: usize| {
        let table = table(replicas);
        let inspected = Cell::new(0);
        let rng = &mut SmallRng::seed_from_u64(3);
        for _ in 0..100 {
            table.sample("m", "a", 64, rng, |replica| {
                inspected.set(inspected.get() + 1);
                // One of five is full, in back-off or cold.
                !replica.record.id.ends_with(['3', '8'])
            });
        }
        inspected.get()
    };
    let small = inspected_with(400);
    for replicas in [4_000, 40_000] {
        let large = inspected_with(replicas);
        assert!(large <= small * 21 / 20, "{replicas} replicas: {large} inspected, {small} with 400");
    }
    let mut table = table(20_000);
    table.set_changed_at(&ListChange { added: vec![record(7, false).id], ..ListChange::default() }, 50);
    let since = table.since(50, 40);
    assert_eq!((since.is_whole, since.staying.len()), (false, 1));
}

/// A replica that is listed as leaving is forgotten some time after its entry is gone, like any other
/// replica.
#[test]
fn test_replicas_listed_as_leaving_are_forgotten() {
    let mut table = table(10);
    let mut change = ListChange::default();
    let now = Duration::from_secs(100);
    table.on_entry(record(1, true), now, &mut change);
    table.tick(now + 10 * FORGET_AFTER, FORGET_AFTER);
    assert_eq!(table.len(), 10, "its entry still exists");
    table.on_unlisted("i-00001", now + 10 * FORGET_AFTER, &mut change);
    table.tick(now + 11 * FORGET_AFTER, FORGET_AFTER);
    assert_eq!(table.len(), 10, "other nodes may have missed its end");
    table.tick(now + 12 * FORGET_AFTER, FORGET_AFTER);
    assert_eq!(table.len(), 9);
}
