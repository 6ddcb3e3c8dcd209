//! A key is claimed by at most one arrival under faults of the object API and races between writers.

use std::collections::BTreeMap;
use std::time::Duration;

use leadstage_lib::claim_writer::ClaimAction;
use leadstage_lib::claim_writer::ClaimWriter;
use leadstage_lib::claim_writer::WriteResult;
use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::ClaimRequest;
use leadstage_lib::claims::ClaimShard;
use leadstage_lib::claims::ClaimVerdict;
use leadstage_lib::claims::FULL_SHARD_BYTES;
use leadstage_lib::code::Code;
use proptest::prelude::*;

const RETENTION: Duration = Duration::from_secs(600);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of one call of a writer to the object API.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Down,
    AnswerLost,
    /// The writer is paused during the write, which reaches the store after the next calls of other writers.
    Paused,
}

#[derive(Default)]
struct Store {
    version: u64,
    value: Vec<u8>,
}

impl Store {
    fn write(&mut self, expected: u64, value: Vec<u8>) -> WriteResult {
        if self.version != expected {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.value = value;
        WriteResult::Done { version: self.version }
    }
}

struct Env {
    store: Store,
    writers: Vec<ClaimWriter>,
    paused_writes: Vec<(usize, u64, Vec<u8>)>,
    answers: BTreeMap<u64, ClaimVerdict>,
    now: Duration,
}

impl Env {
    fn new(writers: usize) -> Env {
        let writer = || ClaimWriter::new(Duration::from_millis(100), RETENTION, REQUEST_TIMEOUT);
        Env {
            store: Store::default(),
            writers: (0..writers).map(|_| writer()).collect(),
            paused_writes: Vec::new(),
            answers: BTreeMap::new(),
            now: Duration::from_secs(1),
        }
    }

    fn claim(&mut self, writer: usize, ticket: u64, key: &str, digest: &str) {
        let request = ClaimRequest::Claim { nonce: ticket, by: "entry-1".into(), digest: digest.to_owned() };
        self.writers[writer].submit(ticket, key.to_owned(), request, self.now);
    }

    fn record(&mut self, writer: usize, ticket: u64, key: &str, nonce: u64, outcome: ClaimOutcome) {
        self.writers[writer].submit(
            ticket,
            key.to_owned(),
            ClaimRequest::Record { nonce, outcome },
            self.now,
        );
    }

    fn unix_now(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Runs a writer until it has no more actions; the n-th call has the n-th fault, later calls have none.
    fn advance(&mut self, writer: usize, faults: &[Fault]) {
        self.now += Duration::from_millis(150);
        let mut faults = faults.iter().copied().chain(std::iter::repeat(Fault::None));
        let unix_now = self.unix_now();
        let mut actions = self.writers[writer].advance(self.now, unix_now);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                next.extend(self.carry_out(writer, action, &mut faults));
            }
            actions = next;
        }
    }

    fn carry_out(
        &mut self,
        writer: usize,
        action: ClaimAction,
        faults: &mut impl Iterator<Item = Fault>,
    ) -> Vec<ClaimAction> {
        let unix_now = self.unix_now();
        match action {
            ClaimAction::Answer { ticket, verdict } => {
                assert!(self.answers.insert(ticket, verdict).is_none(), "a request is answered twice");
                Vec::new()
            }
            ClaimAction::Read => {
                let found = match faults.next() {
                    Some(Fault::Down) => None,
                    _ => Some((self.store.version, self.store.value.clone())),
                };
                self.writers[writer].on_read(found, self.now, unix_now)
            }
            ClaimAction::Write { expected, value } => match faults.next() {
                Some(Fault::Down) => self.writers[writer].on_write(WriteResult::Unknown),
                Some(Fault::AnswerLost) => {
                    self.store.write(expected, value);
                    self.writers[writer].on_write(WriteResult::Unknown)
                }
                Some(Fault::Paused) => {
                    self.paused_writes.push((writer, expected, value));
                    Vec::new()
                }
                _ => {
                    let result = self.store.write(expected, value);
                    self.writers[writer].on_write(result)
                }
            },
        }
    }

    /// Resumes paused writers: their writes reach the store now.
    fn resume_paused(&mut self) {
        for (writer, expected, value) in std::mem::take(&mut self.paused_writes) {
            let result = self.store.write(expected, value);
            let actions = self.writers[writer].on_write(result);
            for action in actions {
                let mut pending = self.carry_out(writer, action, &mut std::iter::repeat(Fault::None));
                while let Some(action) = pending.pop() {
                    pending.extend(self.carry_out(writer, action, &mut std::iter::repeat(Fault::None)));
                }
            }
        }
    }

    fn owner_count(&self) -> usize {
        self.answers.values().filter(|v| **v == ClaimVerdict::Claimed).count()
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![Just(Fault::None), Just(Fault::Down), Just(Fault::AnswerLost), Just(Fault::Paused)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Of any number of arrivals of a key at several writers under any faults, at most one owns the key, and
    /// every arrival gets an answer.
    #[test]
    fn test_at_most_one_owner(
        arrivals in prop::collection::vec((0..3_usize, prop::collection::vec(fault(), 0..4)), 1..12),
    ) {
        let mut env = Env::new(3);
        for (ticket, (writer, faults)) in arrivals.iter().enumerate() {
            env.claim(*writer, ticket as u64 + 1, "key", "digest");
            env.advance(*writer, faults);
            if ticket % 3 == 2 {
                env.resume_paused();
            }
        }
        env.resume_paused();
        for writer in 0..3 {
            (0..20).for_each(|_| env.advance(writer, &[]));
        }
        prop_assert!(env.owner_count() <= 1, "{:?}", env.answers);
        prop_assert_eq!(env.answers.len(), arrivals.len());
    }
}

fn done() -> ClaimOutcome {
    ClaimOutcome { code: 1000, status: 200, content_type: "application/json".into(), body: Some("{}".into()) }
}

#[test]
fn test_second_arrival_gets_the_recorded_outcome() {
    let mut env = Env::new(2);
    env.claim(0, 1, "key", "digest");
    env.advance(0, &[]);
    env.claim(1, 2, "key", "digest");
    env.advance(1, &[]);
    env.record(0, 3, "key", 1, done());
    env.advance(0, &[]);
    env.advance(0, &[]);
    env.claim(1, 4, "key", "digest");
    (0..3).for_each(|_| env.advance(1, &[]));
    env.claim(0, 5, "key", "other request");
    env.advance(0, &[]);
    let text: Vec<String> =
        env.answers.iter().map(|(ticket, verdict)| format!("{ticket}: {verdict:?}")).collect();
    insta::assert_snapshot!(text.join("\n"), @r#"
    1: Claimed
    2: Known { by: "entry-1", outcome: None }
    3: Recorded
    4: Known { by: "entry-1", outcome: Some(ClaimOutcome { code: 1000, status: 200, content_type: "application/json", body: Some("{}") }) }
    5: KeyReused
    "#);
}

/// A writer with an outdated copy of the shard reads it again: it must neither drop an outcome nor report a
/// key as in progress whose outcome another writer has recorded.
#[test]
fn test_writer_rereads_a_stale_shard() {
    let mut env = Env::new(2);
    env.claim(1, 1, "other", "digest");
    env.advance(1, &[]);
    env.claim(0, 2, "key", "digest");
    env.advance(0, &[]);
    env.record(1, 3, "key", 2, done());
    (0..2).for_each(|_| env.advance(1, &[]));
    assert_eq!(env.answers[&3], ClaimVerdict::Recorded);
    env.claim(0, 4, "key", "digest");
    (0..2).for_each(|_| env.advance(0, &[]));
    assert_eq!(env.answers[&4], ClaimVerdict::Known { by: "entry-1".into(), outcome: Some(done()) });
}

#[test]
fn test_lost_answer_is_settled_by_the_nonce() {
    let mut env = Env::new(1);
    env.claim(0, 1, "key", "digest");
    env.advance(0, &[Fault::None, Fault::AnswerLost]);
    (0..3).for_each(|_| env.advance(0, &[]));
    assert_eq!(env.answers[&1], ClaimVerdict::Claimed);
    assert_eq!(env.store.version, 1, "the write is not repeated blindly");
}

#[test]
fn test_unreachable_object_api_is_answered_at_once() {
    let mut env = Env::new(1);
    env.claim(0, 1, "key", "digest");
    env.advance(0, &[Fault::Down]);
    assert_eq!(env.answers[&1], ClaimVerdict::Unreachable);
}

/// A failed read answers only requests that were submitted before the read began; later ones are retried.
#[test]
fn test_failed_read_answers_only_earlier_requests() {
    let mut env = Env::new(1);
    env.claim(0, 1, "one", "digest");
    assert_eq!(env.writers[0].advance(env.now, 0), [ClaimAction::Read]);
    env.claim(0, 2, "two", "digest");
    let answers = env.writers[0].on_read(None, env.now, 0);
    assert_eq!(answers, [ClaimAction::Answer { ticket: 1, verdict: ClaimVerdict::Unreachable }]);
    env.advance(0, &[]);
    assert_eq!(env.answers[&2], ClaimVerdict::Claimed);
}

#[test]
fn test_key_that_did_not_run_may_be_claimed_again() {
    let mut env = Env::new(1);
    env.claim(0, 1, "key", "digest");
    env.advance(0, &[]);
    env.record(0, 2, "key", 1, ClaimOutcome::not_run(Code::UpstreamRefused));
    env.advance(0, &[]);
    env.claim(0, 3, "key", "digest");
    env.advance(0, &[]);
    assert_eq!(env.answers[&3], ClaimVerdict::Claimed);
}

/// A full shard rejects new keys but still records the outcomes of claimed ones.
#[test]
fn test_full_shard_takes_no_key_but_every_outcome() {
    let mut env = Env::new(1);
    let digest = "d".repeat(32);
    let count = 8_000;
    (1..=count).for_each(|n| env.claim(0, n, &format!("{n:032}"), &digest));
    env.advance(0, &[]);
    let full = env.answers.values().filter(|v| **v == ClaimVerdict::Full).count();
    assert!(full > 0 && env.owner_count() > 4_000, "{} owners, {full} refused", env.owner_count());
    assert!(env.store.value.len() <= FULL_SHARD_BYTES);
    let body = ClaimOutcome { body: Some("b".repeat(2_000)), ..done() };
    for n in 1..=200 {
        env.record(0, count + n, &format!("{n:032}"), n, body.clone());
    }
    env.advance(0, &[]);
    let shard: ClaimShard = serde_json::from_slice(&env.store.value).expect("a shard");
    assert!(shard.claims.values().filter(|c| c.outcome.is_some()).count() == 200);
    assert!(env.store.value.len() < 1_000_000, "{} bytes", env.store.value.len());
}

#[test]
fn test_many_claims_are_one_write() {
    let mut env = Env::new(1);
    (1..=500).for_each(|n| env.claim(0, n, &format!("key-{n}"), "digest"));
    env.advance(0, &[]);
    assert_eq!((env.store.version, env.owner_count()), (1, 500));
}
