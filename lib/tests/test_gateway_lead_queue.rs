//! The queue of a lead whose engines are short of memory or of prefill capacity.

use std::time::Duration;

use leadstage_lib::gateway::lead_queue::Engines;
use leadstage_lib::gateway::lead_queue::LeadQueue;
use leadstage_lib::gateway::lead_queue::QueueReply;
use leadstage_lib::gateway::lead_queue::QueueTerms;
use leadstage_lib::gateway::lead_queue::Settled;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::shortage::Shortage;

/// Model engines with `tokens` of free memory in total; either all of them have prefill capacity soon or
/// none.
struct ModelEngines {
    tokens: f64,
    has_prefill_capacity: bool,
    attempts: usize,
}

/// A generation: its name and the memory that it needs.
type Generation = (&'static str, f64);

impl Engines<Generation> for ModelEngines {
    type Place = ();

    fn choose(&mut self, (_, tokens): &Generation) -> Result<(), Shortage> {
        self.attempts += 1;
        if *tokens > self.tokens {
            return Err(Shortage::Memory);
        }
        if !self.has_prefill_capacity {
            return Err(Shortage::Prefill);
        }
        self.tokens -= tokens;
        Ok(())
    }

    fn time_until(&self, _tokens: f64) -> Option<Duration> {
        None
    }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn engines_with_memory(tokens: f64) -> ModelEngines {
    ModelEngines { tokens, has_prefill_capacity: true, attempts: 0 }
}

/// Returns a queue of generations that wait up to 10 s each and can begin in time for 5 s.
fn queue(policy: Policy, generations: &[Generation]) -> LeadQueue<Generation> {
    let mut queue = LeadQueue::new(policy);
    for (name, tokens) in generations.iter().copied() {
        let terms =
            QueueTerms { priority: 0, in_time: s(5), may_wait: s(10), tokens, ..QueueTerms::default() };
        assert!(matches!(
            queue.ask((name, tokens), &terms, &mut engines_with_memory(0.0), s(0)),
            QueueReply::Waits
        ));
    }
    queue
}

fn placed(settled: Vec<Settled<Generation, ()>>) -> Vec<&'static str> {
    settled.into_iter().filter(|settled| settled.outcome.is_ok()).map(|settled| settled.item.0).collect()
}

const LONG_AND_SHORT: [Generation; 3] = [("long", 5.0), ("short", 1.0), ("shorter", 0.5)];

/// Memory that suffices for a shorter prompt is not kept free for a longer one, which is placed once it
/// fits.
#[test]
fn test_shorter_prompts_are_placed_while_the_first_does_not_fit() {
    let mut queue = queue(Policy::default(), &LONG_AND_SHORT);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(1.2), s(1))), ["short"]);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(5.5), s(2))), ["long", "shorter"]);
    assert!(queue.is_empty());
}

#[test]
fn test_none_are_skipped_where_the_policy_disables_it() {
    let policy = Policy { pass_over: false, ..Policy::default() };
    let mut queue = queue(policy, &LONG_AND_SHORT);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(1.2), s(1))), [""; 0]);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(5.5), s(2))), ["long"]);
}

/// Where no engine has prefill capacity soon, one pass tries a single placement.
#[test]
fn test_none_are_skipped_for_lack_of_prefill_capacity() {
    let mut queue = queue(Policy::default(), &LONG_AND_SHORT);
    let mut engines = ModelEngines { tokens: 9.0, has_prefill_capacity: false, attempts: 0 };
    assert_eq!(placed(queue.settle(&mut engines, s(1))), [""; 0]);
    assert_eq!((engines.attempts, queue.len()), (1, 3));
}

/// In a long queue, one pass tries at most five placements without success.
#[test]
fn test_few_are_skipped_in_one_pass() {
    let generations: Vec<Generation> = (0..50).map(|_| ("long", 5.0)).collect();
    let mut queue = queue(Policy::default(), &generations);
    let mut engines = engines_with_memory(1.0);
    assert_eq!(placed(queue.settle(&mut engines, s(1))), [""; 0]);
    assert_eq!((engines.attempts, queue.len()), (5, 50));
}

/// A skipped generation keeps its place before later ones, and is refused like any other when it can no
/// longer begin.
#[test]
fn test_skipped_generations_keep_their_place_and_deadline() {
    let mut queue = queue(Policy::default(), &[("first", 5.0), ("second", 5.0), ("short", 1.0)]);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(1.0), s(1))), ["short"]);
    assert_eq!(placed(queue.settle(&mut engines_with_memory(5.0), s(2))), ["first"]);
    let refused = queue.settle(&mut engines_with_memory(0.0), s(10));
    assert_eq!(
        refused.iter().map(|settled| (settled.item.0, settled.outcome)).collect::<Vec<_>>(),
        [("second", Err(None))]
    );
    assert_eq!(refused[0].waited.memory, s(10));
}
