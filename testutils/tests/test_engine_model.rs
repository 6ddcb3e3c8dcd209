//! Tests of the engine model that the policy is measured with.

use std::collections::BTreeMap;

use leadstage_testutils::engine_model::EngineConfig;
use leadstage_testutils::engine_model::EngineEvent;
use leadstage_testutils::engine_model::EngineModel;
use leadstage_testutils::engine_model::Submission;
use proptest::prelude::*;

fn submission(generation: u64, prompt_tokens: u64, output_tokens: u64, priority: i32) -> Submission {
    Submission { generation, prompt_tokens, output_tokens, priority, prefix: 0, prefix_tokens: 0 }
}

fn small_config() -> EngineConfig {
    EngineConfig { blocks: 40, max_batch: 8, ..EngineConfig::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Every generation ends and produces each token once and in order, even if it is preempted; memory use
    /// stays within capacity and returns to zero.
    #[test]
    fn test_tokens_in_order(requests in prop::collection::vec((1..300_u64, 1..300_u64, 0..3_i32), 1..30)) {
        let mut engine = EngineModel::new(small_config());
        for (n, (prompt, output, priority)) in requests.iter().enumerate() {
            engine.submit(submission(n as u64, *prompt, *output, *priority));
        }
        let mut produced = BTreeMap::<u64, u64>::new();
        let mut finished = 0;
        for _ in 0..20_000 {
            for event in engine.step().events {
                match event {
                    EngineEvent::Token { generation, index } => {
                        let next = produced.entry(generation).or_default();
                        prop_assert_eq!(index, *next);
                        *next += 1;
                    }
                    EngineEvent::Finished { .. } => finished += 1,
                    _ => {}
                }
            }
            prop_assert!(engine.load().used_blocks <= 40);
            if engine.is_idle() {
                break;
            }
        }
        prop_assert_eq!(finished, requests.len());
        prop_assert_eq!(engine.load().used_blocks, 0);
    }
}

#[test]
fn test_lowest_priority_is_preempted() {
    let mut engine = EngineModel::new(small_config());
    engine.submit(submission(1, 200, 400, 0));
    engine.submit(submission(2, 200, 400, 5));
    let mut preempted = Vec::new();
    while !engine.is_idle() {
        for event in engine.step().events {
            if let EngineEvent::Preempted { generation } = event {
                preempted.push(generation);
            }
        }
    }
    assert!(!preempted.is_empty() && preempted.iter().all(|g| *g == 1), "{preempted:?}");
}

#[test]
fn test_step_duration_depends_on_batch_and_prefill() {
    let mut engine = EngineModel::new(EngineConfig::default());
    engine.submit(submission(1, 1, 1_000, 0));
    engine.step();
    let alone = engine.step().duration;
    (2..40).for_each(|g| engine.submit(submission(g, 50, 1_000, 0)));
    let with_prefill = engine.step().duration;
    let with_batch = engine.step().duration;
    assert!(alone < with_batch && with_batch < with_prefill);
    engine.set_slowdown(2.0);
    assert!(engine.step().duration > with_batch);
}

#[test]
fn test_prefix_cache_saves_prefill() {
    let mut engine = EngineModel::new(EngineConfig::default());
    let with_prefix =
        |generation| Submission { prefix: 9, prefix_tokens: 1_900, ..submission(generation, 2_000, 1, 0) };
    engine.submit(with_prefix(1));
    let cold = engine.step();
    assert!(cold.events.contains(&EngineEvent::PrefixStored { prefix: 9 }));
    engine.submit(with_prefix(2));
    assert!(engine.step().duration < cold.duration);
}
