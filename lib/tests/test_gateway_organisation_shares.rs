//! Shares of scarce engines between organisations: who has to wait, who is refused, and that nothing changes
//! for a single organisation.

use std::time::Duration;

use leadstage_lib::gateway::lead_queue::Engines;
use leadstage_lib::gateway::lead_queue::LeadQueue;
use leadstage_lib::gateway::lead_queue::QueueReply;
use leadstage_lib::gateway::lead_queue::QueueTerms;
use leadstage_lib::gateway::organisation_shares::Need;
use leadstage_lib::gateway::organisation_shares::OrganisationShares;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::Timestamp;
use proptest::prelude::*;

/// Engines that hold `capacity` tokens together and free `per_second` tokens.
struct ModelEngines {
    capacity: f64,
    per_second: f64,
    held: Vec<(Option<OrganisationId>, f64)>,
    shares: Option<OrganisationShares>,
}

type Generation = (Option<OrganisationId>, f64);

impl ModelEngines {
    fn new(shared: bool) -> Self {
        let shares = shared.then(OrganisationShares::default);
        ModelEngines { capacity: 100.0, per_second: 10.0, held: Vec::new(), shares }
    }

    fn measure(&mut self, now: Timestamp) {
        let held = self.held.iter().filter_map(|(organisation, held)| Some((organisation.clone()?, *held)));
        let mut by_organisation = std::collections::HashMap::new();
        held.for_each(|(organisation, held)| *by_organisation.entry(organisation).or_default() += held);
        if let Some(shares) = self.shares.as_mut().filter(|shares| shares.is_measurement_due(now)) {
            shares.on_measured(by_organisation, now);
        }
    }
}

impl Engines<Generation> for ModelEngines {
    type Place = ();

    fn choose(&mut self, item: &Generation) -> Result<(), Shortage> {
        if self.held.iter().map(|(_, held)| held).sum::<f64>() + item.1 > self.capacity {
            return Err(Shortage::Memory);
        }
        self.held.push(item.clone());
        Ok(())
    }

    fn time_until(&self, tokens: f64) -> Option<Duration> {
        Some(Duration::from_secs_f64(tokens / self.per_second))
    }

    fn shares(&mut self) -> Option<&mut OrganisationShares> {
        self.shares.as_mut()
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms(organisation: &str, tokens: f64) -> QueueTerms {
    QueueTerms {
        organisation: Some(organisation.into()),
        priority: 0,
        in_time: ms(2_000),
        may_wait: ms(8_000),
        tokens,
        prompt: 0,
    }
}

/// Asks for 10 tokens; returns what becomes of it.
fn ask(
    queue: &mut LeadQueue<Generation>,
    engines: &mut ModelEngines,
    organisation: &str,
    now: Timestamp,
) -> String {
    let terms = terms(organisation, 10.0);
    match queue.ask((terms.organisation.clone(), 10.0), &terms, engines, now) {
        QueueReply::Placed(..) => "placed".to_owned(),
        QueueReply::Refused(_, after) => format!("refused, {after:?}"),
        QueueReply::OverShare(_, after) => format!("over its share, back in {after:?}"),
        QueueReply::Waits => "waits".to_owned(),
    }
}

/// One organisation fills all engines. As soon as another asks, the first has to leave what is freed to it,
/// and its further callers are refused at once, each to return after the one before it.
#[test]
fn test_one_that_fills_all_engines_leaves_room_to_others() {
    let (mut queue, mut engines) = (LeadQueue::new(Policy::default()), ModelEngines::new(true));
    let asks = |queue: &mut _, engines: &mut _, organisation, count, now| -> Vec<String> {
        (0..count).map(|_| ask(queue, engines, organisation, now)).collect()
    };
    let first = asks(&mut queue, &mut engines, "large", 12, ms(0));
    assert_eq!(first.iter().filter(|outcome| *outcome == "placed").count(), 10);
    let small = asks(&mut queue, &mut engines, "small", 2, ms(10));
    engines.measure(ms(100));
    insta::assert_debug_snapshot!((&first[10..], small, asks(&mut queue, &mut engines, "large", 3, ms(110))));
    // Of the next four that end, two go to each: both then have what they asked for, or their shares.
    engines.held.drain(..2);
    engines.measure(ms(210));
    let settled = queue.settle(&mut engines, ms(220));
    let placed: Vec<&str> = settled
        .iter()
        .filter(|settled| settled.outcome.is_ok())
        .filter_map(|settled| settled.item.0.as_deref())
        .collect();
    assert_eq!(placed, ["small", "small"]);
}

/// Levels by what is measured: who demands less than an equal part has no limit.
#[test]
fn test_who_demands_little_is_not_limited() {
    let mut shares = OrganisationShares::default();
    let [a, b, c]: [OrganisationId; 3] = ["a", "b", "c"].map(OrganisationId::from);
    shares.on_short(Shortage::Memory, ms(0));
    shares.on_waits(&a, Need { memory: 500.0, prompt: 0.0 });
    shares.on_waits(&b, Need { memory: 5.0, prompt: 0.0 });
    shares.on_measured([(a.clone(), 70.0), (b.clone(), 20.0), (c.clone(), 10.0)], ms(0));
    // The capacity is 100: b and c demand 35 of it, and 65 are left for a.
    assert_eq!([&a, &b, &c].map(|one| shares.is_over(one, ms(0))), [true, false, false]);
    shares.on_measured([(a.clone(), 60.0), (b.clone(), 25.0), (c.clone(), 10.0)], ms(100));
    assert!(!shares.is_over(&a, ms(100)), "it has room again");
}

/// The limit ends some seconds after nothing was short, and room that was added is found.
#[test]
fn test_levels_are_forgotten() {
    let mut shares = OrganisationShares::default();
    let [a, b]: [OrganisationId; 2] = ["a", "b"].map(OrganisationId::from);
    shares.on_short(Shortage::Memory, ms(0));
    shares.on_waits(&a, Need { memory: 50.0, prompt: 0.0 });
    let mut now = ms(0);
    shares.on_measured([(a.clone(), 90.0), (b.clone(), 10.0)], now);
    assert!(shares.is_over(&a, now));
    shares.on_waited(&a, Need { memory: 50.0, prompt: 0.0 });
    while shares.is_measurement_due(now + ms(100)) {
        now += ms(100);
        shares.on_measured([(a.clone(), 90.0), (b.clone(), 10.0)], now);
        assert!(now < ms(10_000), "measured without end");
    }
    assert!(!shares.is_over(&a, now));
}

proptest! {
    /// For one organisation, or none, decisions are the same as without shares.
    #[test]
    fn test_nothing_changes_for_a_single_organisation(
        organisation in proptest::option::of(Just("org")),
        steps in proptest::collection::vec((0_u64..300, 0_u8..3, 1_u32..40, 0_usize..3), 1..120),
    ) {
        let organisation: Option<OrganisationId> = organisation.map(OrganisationId::from);
        let run = |shared: bool| {
            let (mut queue, mut engines) = (LeadQueue::new(Policy::default()), ModelEngines::new(shared));
            let mut now = ms(1_000);
            let mut log = String::new();
            for (pause, priority, tokens, ends) in &steps {
                now += ms(*pause);
                let ends = (*ends).min(engines.held.len());
                engines.held.drain(..ends);
                engines.measure(now);
                for settled in queue.settle(&mut engines, now) {
                    log += &format!("{:?} {:?}\n", settled.item.1, settled.outcome);
                }
                let tokens = f64::from(*tokens);
                let terms = QueueTerms {
                    organisation: organisation.clone(),
                    priority: *priority,
                    ..terms("", tokens)
                };
                log += &format!("{:?}\n", queue.ask((organisation.clone(), tokens), &terms, &mut engines, now));
            }
            log
        };
        prop_assert_eq!(run(true), run(false));
    }
}
