//! Roll-outs of bundles: the number in force only rises, one of several racing operators wins, and a lost
//! response is resolved by reading the object again.

use ed25519_dalek::SigningKey;
use leadstage_lib::rollout::Rollout;
use leadstage_lib::rollout::RolloutError;
use leadstage_lib::rollout::RolloutStep;
use leadstage_lib::rollout::Trust;
use leadstage_lib::rollout::open_if_newer;
use leadstage_lib::signing::Envelope;
use leadstage_lib::signing::sign;
use proptest::prelude::*;

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn envelope(number: u64, operator: &str) -> Envelope {
    let yaml = format!("number: {number}\nfleet: {operator}\n");
    let signatures = vec![sign(&yaml, &key())];
    Envelope { number, operator: operator.to_owned(), yaml, signatures }
}

#[derive(Default)]
struct Store {
    version: u64,
    value: Option<Vec<u8>>,
    accepted: Vec<(u64, String)>,
}

impl Store {
    fn write(&mut self, expected: u64, envelope: &Envelope) -> bool {
        if self.version != expected {
            return false;
        }
        self.version += 1;
        self.value = Some(envelope.to_bytes());
        self.accepted.push((envelope.number, envelope.operator.clone()));
        true
    }
}

/// An operator's roll-out, carried out one call at a time.
struct Operator {
    envelope: Envelope,
    rollout: Rollout,
    step: RolloutStep,
}

impl Operator {
    fn new(envelope: Envelope) -> Operator {
        Operator { rollout: Rollout::new(&envelope), envelope, step: RolloutStep::Read }
    }

    fn call(&mut self, store: &mut Store, down: bool, lost: bool) {
        self.step = match self.step.clone() {
            RolloutStep::Read if down => self.rollout.on_failure(),
            RolloutStep::Read => {
                let found = store.value.as_ref().map(|value| (store.version, &value[..]));
                self.rollout.on_read(found)
            }
            RolloutStep::Write { .. } if down => self.rollout.on_failure(),
            RolloutStep::Write { expected } => {
                let written = store.write(expected, &self.envelope);
                match (lost, written) {
                    (true, _) => self.rollout.on_failure(),
                    (false, true) => self.rollout.on_written(),
                    (false, false) => self.rollout.on_conflict(),
                }
            }
            last => last,
        };
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Operators race under outages and lost responses: of each number at most one bundle is accepted,
    /// accepted numbers rise, and a roll-out reports "accepted" only if its bundle was accepted.
    #[test]
    fn test_racing_operators(
        numbers in prop::collection::vec(1..4_u64, 2..5),
        calls in prop::collection::vec((0..5_usize, any::<bool>(), 0..4_u8), 1..80),
    ) {
        let mut store = Store::default();
        let mut operators: Vec<Operator> = numbers
            .iter()
            .enumerate()
            .map(|(at, number)| Operator::new(envelope(*number, &format!("operator-{at}"))))
            .collect();
        for (index, down, lost) in calls {
            let index = index % operators.len();
            operators[index].call(&mut store, down, lost == 0);
        }
        let numbers: Vec<u64> = store.accepted.iter().map(|(number, _)| *number).collect();
        prop_assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", store.accepted);
        for operator in &operators {
            let accepted = store.accepted.contains(&(operator.envelope.number, operator.envelope.operator.clone()));
            match &operator.step {
                RolloutStep::Accepted => prop_assert!(accepted),
                RolloutStep::Failed(RolloutError::Overtaken { .. }) => {}
                _ => {}
            }
        }
    }

    /// The number in force on a node only rises, in whatever order bundles are offered.
    #[test]
    fn test_number_only_rises(offers in prop::collection::vec(1..9_u64, 1..30)) {
        let trust = Trust { keys: vec![key().verifying_key()], sign_offs: 1 };
        let mut current = None;
        for number in offers {
            let bytes = envelope(number, "operator").to_bytes();
            if let Some(new) = open_if_newer(&bytes, current, &trust).expect("valid") {
                prop_assert!(current.is_none_or(|old| old < new.bundle.number));
                current = Some(new.bundle.number);
            }
        }
    }
}

#[test]
fn test_loser_gets_the_winning_operator_and_number() {
    let mut store = Store::default();
    let mut first = Operator::new(envelope(5, "amina"));
    let mut second = Operator::new(envelope(5, "luka"));
    for _ in 0..3 {
        first.call(&mut store, false, false);
        second.call(&mut store, false, false);
    }
    assert_eq!(first.step, RolloutStep::Accepted);
    let RolloutStep::Failed(err) = second.step else { panic!("both roll-outs were accepted") };
    assert_eq!(err.to_string(), "number 5 is accepted already, rolled out by amina");
}

#[test]
fn test_lost_answer_is_settled_by_reading_back() {
    let mut store = Store::default();
    let mut operator = Operator::new(envelope(1, "amina"));
    operator.call(&mut store, false, false);
    operator.call(&mut store, false, true);
    operator.call(&mut store, false, false);
    assert_eq!(operator.step, RolloutStep::Accepted);
    assert_eq!(store.version, 1, "the write is not repeated");
}

#[test]
fn test_outage_throughout_is_unsettled() {
    let mut store = Store::default();
    let mut operator = Operator::new(envelope(1, "amina"));
    (0..20).for_each(|_| operator.call(&mut store, true, false));
    assert_eq!(operator.step, RolloutStep::Failed(RolloutError::Unsettled));
}
