//! Fenced orders to engines, with holders whose lease expires while they are paused.

use leadstage_lib::claim_writer::WriteResult;
use leadstage_lib::fence::Fence;
use leadstage_lib::fence::FenceAction;
use leadstage_lib::fence::LEASE_DURATION;
use leadstage_lib::fence::MAX_ORDER_DELAY;
use leadstage_lib::fence::Order;
use leadstage_lib::fence::OrderSender;
use proptest::prelude::*;

fn order(n: usize) -> Order {
    Order { engine: "engine-1".into(), action: format!("load:{n}") }
}

/// Two VMs that both consider themselves the lead, one engine, and the object API.
struct Env {
    checks_fences: bool,
    senders: Vec<OrderSender>,
    version: u64,
    value: Vec<u8>,
    now: u64,
    engine_fence: u64,
    in_flight: Vec<(u64, u64, Order)>,
    executed_epochs: Vec<u64>,
}

impl Env {
    fn new(checks_fences: bool) -> Env {
        let sender = |name: &str| OrderSender::new(name.into(), checks_fences);
        Env {
            checks_fences,
            senders: vec![sender("vm-1"), sender("vm-2")],
            version: 0,
            value: Vec::new(),
            now: 1_000_000,
            engine_fence: 0,
            in_flight: Vec::new(),
            executed_epochs: Vec::new(),
        }
    }

    /// Lets a sender take one step. Depending on `fault`, its call fails or the response to it is lost. Its
    /// order takes effect after `delay` milliseconds.
    fn step(&mut self, sender_index: usize, wanted: usize, fault: u8, delay: u64) {
        let Some(action) = self.senders[sender_index].advance(Some(&order(wanted)), self.now) else {
            return;
        };
        match action {
            FenceAction::Read => {
                let found = (fault != 1).then(|| (self.version, self.value.clone()));
                self.senders[sender_index].on_read(found);
            }
            FenceAction::Write { expected, value } => {
                let done = fault != 1 && self.version == expected;
                if done {
                    self.version += 1;
                    self.value = value;
                }
                let result = match (fault, done) {
                    (1 | 2, _) => WriteResult::Unknown,
                    (_, true) => WriteResult::Done { version: self.version },
                    _ => WriteResult::Conflict,
                };
                self.senders[sender_index].on_write(result);
            }
            FenceAction::Send { epoch, order } => {
                assert!(self.senders[sender_index].may_send(self.now));
                let fence: Fence = serde_json::from_slice(&self.value).expect("a fence");
                assert!(self.checks_fences || fence.intent.is_some(), "sent without a recorded intent");
                self.in_flight.push((self.now + delay, epoch, order));
                self.senders[sender_index].on_sent(false);
            }
        }
    }

    fn advance_time(&mut self, millis: u64) {
        self.now += millis;
        self.in_flight.sort_by_key(|order| order.0);
        while self.in_flight.first().is_some_and(|order| order.0 <= self.now) {
            let (_, epoch, _) = self.in_flight.remove(0);
            if self.checks_fences && epoch < self.engine_fence {
                continue;
            }
            self.engine_fence = self.engine_fence.max(epoch);
            self.executed_epochs.push(epoch);
        }
    }
}

/// Pauses in milliseconds. Most are short, so that one VM acts while the other's order is in flight; some are
/// long enough for a lease to expire.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..200_u64, 1 => 0..15_000_u64]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// With arbitrary pauses and faults, an engine never executes an order of an older epoch after one of a
    /// newer epoch, whether it checks fences or not.
    #[test]
    fn test_older_epoch_never_executes_after_newer(
        checks_fences: bool,
        steps in prop::collection::vec((0..2_usize, 0..3_usize, 0..4_u8, 0..2_900_u64, pause()), 1..120),
    ) {
        let mut env = Env::new(checks_fences);
        for (sender_index, wanted, fault, delay, pause) in steps {
            env.step(sender_index, wanted, fault, delay);
            env.advance_time(pause);
        }
        env.advance_time(60_000);
        prop_assert!(
            env.executed_epochs.windows(2).all(|pair| pair[0] <= pair[1]),
            "{:?}",
            env.executed_epochs
        );
    }
}

/// A successor waits for the end of the lease and the maximum order delay if engines do not check fences, and
/// sends at once if they do.
#[test]
fn test_successor_waits_only_without_fence_checks() {
    for checks_fences in [false, true] {
        let mut env = Env::new(checks_fences);
        (0..3).for_each(|_| env.step(0, 1, 0, 0));
        let safe_after = (LEASE_DURATION + MAX_ORDER_DELAY).as_millis() as u64;
        let mut waited = 0;
        while env.in_flight.len() + env.executed_epochs.len() < 2 {
            (0..3).for_each(|_| env.step(1, 1, 0, 0));
            env.advance_time(100);
            waited += 100;
            assert!(waited < 60_000, "the successor never sends an order");
        }
        assert_eq!(waited > safe_after, !checks_fences, "waited {waited} ms");
    }
}
