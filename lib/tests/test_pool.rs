//! Properties of a pool's lead under sequences of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::bundle::Bounds;
use leadstage_lib::bundle::Objective;
use leadstage_lib::code::Code;
use leadstage_lib::pool::Pool;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::EngineLimits;
use leadstage_lib::pool_event::LoadReport;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::pool_event::PoolAction;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::pool_event::PoolPolicy;
use leadstage_lib::pool_event::RunningReport;
use proptest::prelude::*;

const LIMITS: EngineLimits = EngineLimits { blocks: 64, block_tokens: 16, max_batch: 8 };
const ENGINES: usize = 3;

fn policy() -> PoolPolicy {
    let mut policy = PoolPolicy::new(Objective::TokenGap, &Bounds::default());
    policy.max_queue = 8;
    policy.max_wait = Duration::from_secs(4);
    policy
}

fn engine(index: usize) -> std::sync::Arc<str> {
    format!("engine-{index}").into()
}

fn request(generation: u64, organisation: &str, prompt_tokens: u32) -> PlaceRequest {
    PlaceRequest {
        generation,
        organisation: organisation.into(),
        entry: "entry-1".into(),
        prompt_tokens,
        max_tokens: 400,
        priority: 0,
        prefix: 0,
    }
}

/// A pool with its engines up, and a record of the actions that it returned.
struct Env {
    pool: Pool,
    now: Duration,
    granted: BTreeMap<u64, (String, PlaceRequest)>,
    requested: BTreeMap<u64, PlaceRequest>,
    answered: BTreeSet<u64>,
    refused: Vec<(u64, Code, Duration)>,
    leaving: BTreeSet<String>,
    log: Vec<PoolAction>,
}

impl Env {
    fn new(seed: u64) -> Env {
        let mut env = Env {
            pool: Pool::new(policy(), seed),
            now: Duration::from_secs(1),
            granted: BTreeMap::new(),
            requested: BTreeMap::new(),
            answered: BTreeSet::new(),
            refused: Vec::new(),
            leaving: BTreeSet::new(),
            log: Vec::new(),
        };
        (0..ENGINES).for_each(|e| env.event(PoolEvent::EngineUp { engine: engine(e), limits: LIMITS }));
        env
    }

    fn event(&mut self, event: PoolEvent) {
        if let PoolEvent::Place(request) = &event {
            self.requested.insert(request.generation, request.clone());
        }
        let mut actions = Vec::new();
        self.pool.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                PoolAction::Grant { generation, engine, .. } => {
                    assert!(self.answered.insert(*generation), "answered twice: {generation}");
                    assert!(!self.leaving.contains(&**engine), "granted on leaving {engine}");
                    let request = self.requested[generation].clone();
                    self.granted.insert(*generation, (engine.to_string(), request));
                }
                PoolAction::Refuse { generation, code, retry_after } => {
                    assert!(self.answered.insert(*generation), "answered twice: {generation}");
                    assert!(!retry_after.is_zero(), "refused without a retry_after");
                    self.refused.push((*generation, *code, *retry_after));
                }
                PoolAction::SetPriority { .. } | PoolAction::Cancel { .. } => {}
            }
        }
        self.log.extend(actions);
        self.check_memory();
    }

    /// Checks for each engine with more than one generation that the prompts fit its memory and that the
    /// batch is within its maximum size.
    fn check_memory(&self) {
        for tracker in self.pool.engines().filter(|t| t.runs.len() > 1) {
            let memory = LIMITS.blocks * u64::from(LIMITS.block_tokens);
            let prompts: u64 = tracker.runs.iter().map(|r| u64::from(r.request.prompt_tokens)).sum();
            assert!(prompts <= memory, "{} prompt tokens on {}", prompts, tracker.id);
            assert!(tracker.runs.len() <= LIMITS.max_batch as usize);
        }
    }

    fn advance_time(&mut self, time: Duration) {
        let ticks = (time.as_millis() / 100).max(1);
        for _ in 0..ticks {
            self.now += Duration::from_millis(100);
            self.event(PoolEvent::Tick);
        }
    }

    /// Finishes the nth running generation.
    fn end(&mut self, nth: usize, tokens: u32) {
        let running: Vec<u64> = self.granted.keys().copied().collect();
        if let Some(generation) = running.get(nth % running.len().max(1)) {
            self.granted.remove(generation);
            self.event(PoolEvent::Ended { generation: *generation, tokens, how: EndKind::Finished });
        }
    }
}

/// A step of a random sequence of events.
#[derive(Clone, Debug)]
enum Step {
    Place { organisation: u8, prompt: u32 },
    Withdraw { nth: usize },
    End { nth: usize, tokens: u32 },
    Progress { nth: usize, tokens: u32 },
    Leaving { engine: usize },
    Gone { engine: usize },
    Up { engine: usize },
    Wait { tenths: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_u8, 1..900_u32).prop_map(|(organisation, prompt)| Step::Place { organisation, prompt }),
        1 => (0..20_usize).prop_map(|nth| Step::Withdraw { nth }),
        4 => (0..20_usize, 1..400_u32).prop_map(|(nth, tokens)| Step::End { nth, tokens }),
        3 => (0..20_usize, 1..400_u32).prop_map(|(nth, tokens)| Step::Progress { nth, tokens }),
        1 => (0..ENGINES).prop_map(|engine| Step::Leaving { engine }),
        1 => (0..ENGINES).prop_map(|engine| Step::Gone { engine }),
        2 => (0..ENGINES).prop_map(|engine| Step::Up { engine }),
        3 => (1..15_u64).prop_map(|tenths| Step::Wait { tenths }),
    ]
}

fn run(steps: &[Step], seed: u64) -> Env {
    let mut env = Env::new(seed);
    let mut withdrawn = BTreeSet::new();
    for (index, step) in steps.iter().enumerate() {
        match *step {
            Step::Place { organisation, prompt } => {
                let name = format!("org-{organisation}");
                env.event(PoolEvent::Place(request(index as u64 + 1, &name, prompt)));
            }
            Step::Withdraw { nth } => {
                let open: Vec<u64> =
                    env.requested.keys().filter(|g| !env.answered.contains(g)).copied().collect();
                if let Some(generation) = open.get(nth % open.len().max(1)) {
                    withdrawn.insert(*generation);
                    env.answered.insert(*generation);
                    env.event(PoolEvent::Withdraw(*generation));
                }
            }
            Step::End { nth, tokens } => env.end(nth, tokens),
            Step::Progress { nth, tokens } => {
                let running: Vec<u64> = env.granted.keys().copied().collect();
                if let Some(generation) = running.get(nth % running.len().max(1)) {
                    env.event(PoolEvent::Progress { generation: *generation, tokens });
                }
            }
            Step::Leaving { engine: e } => {
                env.leaving.insert(engine(e).to_string());
                env.event(PoolEvent::EngineLeaving(engine(e)));
            }
            Step::Gone { engine: e } => {
                env.leaving.insert(engine(e).to_string());
                env.granted.retain(|_, (granted_engine, _)| **granted_engine != *engine(e));
                env.event(PoolEvent::EngineGone(engine(e)));
            }
            Step::Up { engine: e } => {
                env.leaving.remove(&*engine(e));
                env.event(PoolEvent::EngineUp { engine: engine(e), limits: LIMITS });
            }
            Step::Wait { tenths } => env.advance_time(Duration::from_millis(tenths * 100)),
        }
    }
    env.advance_time(policy().max_wait + Duration::from_millis(200));
    env
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request is granted, refused or withdrawn exactly once, and none waits longer than `max_wait`.
    #[test]
    fn test_every_request_is_answered_once(steps in prop::collection::vec(step(), 1..120), seed: u64) {
        let env = run(&steps, seed);
        let requested: BTreeSet<u64> = env.requested.keys().copied().collect();
        prop_assert_eq!(env.answered, requested);
        prop_assert_eq!(env.pool.status().waiting, 0);
    }

    /// The same seed and events produce the same actions.
    #[test]
    fn test_same_seed_same_actions(steps in prop::collection::vec(step(), 1..80), seed: u64) {
        prop_assert_eq!(run(&steps, seed).log, run(&steps, seed).log);
    }

    /// A new lead that receives the entries' full reports has the same state as the old lead.
    #[test]
    fn test_new_lead_converges(steps in prop::collection::vec(step(), 1..80), seed: u64) {
        let old = run(&steps, seed);
        let mut new = Pool::new(policy(), seed + 1);
        for tracker in old.pool.engines() {
            new.handle(
                old.now,
                PoolEvent::EngineUp { engine: tracker.id.clone(), limits: LIMITS },
                &mut Vec::new()
            );
            for run in &tracker.runs {
                let report = RunningReport {
                    request: run.request.clone(),
                    engine: tracker.id.clone(),
                    tokens: run.tokens
                };
                new.handle(old.now, PoolEvent::Running(report), &mut Vec::new());
            }
        }
        let held = |pool: &Pool| -> Vec<(String, u64, usize)> {
            pool.engines().map(|t| (t.id.to_string(), t.held_tokens(), t.runs.len())).collect()
        };
        prop_assert_eq!(held(&new), held(&old.pool));
    }
}

#[test]
fn test_full_queue_refuses_at_once_with_retry_after() {
    let mut env = Env::new(1);
    (1..=60).for_each(|g| env.event(PoolEvent::Place(request(g, "a", 300))));
    let full: Vec<_> = env.refused.iter().filter(|(_, code, _)| *code == Code::QueueFull).collect();
    assert!(!full.is_empty());
    assert_eq!(env.granted.len() + env.refused.len() + env.pool.status().waiting, 60);
}

#[test]
fn test_request_without_engine_is_refused_at_once() {
    let mut env = Env::new(1);
    (0..ENGINES).for_each(|e| env.event(PoolEvent::EngineGone(engine(e))));
    env.event(PoolEvent::Place(request(1, "a", 10)));
    assert_eq!(env.refused.iter().map(|r| r.1).collect::<Vec<_>>(), [Code::NoUpstream]);
}

/// A new lead without any placements does not fill engines that report a full memory.
#[test]
fn test_new_lead_applies_first_load_report_at_once() {
    let mut env = Env::new(1);
    for e in 0..ENGINES {
        let report = LoadReport { running: 6, waiting: 0, used_blocks: 62, step: Duration::from_millis(25) };
        env.event(PoolEvent::Load { engine: engine(e), report });
    }
    env.event(PoolEvent::Place(request(1, "a", 300)));
    assert_eq!((env.granted.len(), env.pool.status().waiting), (0, 1));
    for e in 0..ENGINES {
        let report = LoadReport { step: Duration::from_millis(25), ..LoadReport::default() };
        env.event(PoolEvent::Load { engine: engine(e), report });
    }
    assert_eq!(env.granted.len(), 1);
}

/// The waiting requests of an entry that is considered dead are refused at once, as it may only be
/// partitioned.
#[test]
fn test_requests_of_dead_entry_are_refused() {
    let mut env = Env::new(1);
    (1..=20).for_each(|g| env.event(PoolEvent::Place(request(g, "a", 400))));
    let waiting = env.pool.status().waiting;
    assert!(waiting > 0);
    let before = env.refused.len();
    env.event(PoolEvent::EntryGone("entry-1".into()));
    assert_eq!(env.refused.len() - before, waiting);
}

/// One organisation floods the queue; the requests of another one are still admitted and served.
#[test]
fn test_no_organisation_is_starved() {
    let mut env = Env::new(1);
    let mut served = BTreeMap::<String, u32>::new();
    for round in 0..400_u64 {
        for flood in 0..5 {
            env.event(PoolEvent::Place(request(round * 10 + flood + 1, "flood", 300)));
        }
        if round % 2 == 0 {
            env.event(PoolEvent::Place(request(round * 10 + 9, "quiet", 300)));
        }
        env.advance_time(Duration::from_millis(100));
        let running: Vec<u64> = env.granted.keys().copied().take(2).collect();
        for generation in running {
            let (_, request) = env.granted.remove(&generation).expect("listed");
            *served.entry(request.organisation.to_string()).or_default() += 1;
            env.event(PoolEvent::Ended { generation, tokens: 100, how: EndKind::Finished });
        }
    }
    let quiet = served["quiet"];
    assert!(
        quiet >= 190,
        "served {quiet} of 200 requests of the quiet organisation, {} of the flooding one",
        served["flood"]
    );
}

/// A generation that no entry reports any more is cancelled and its memory is freed.
#[test]
fn test_abandoned_generation_is_cancelled() {
    let mut env = Env::new(1);
    env.event(PoolEvent::Place(request(7, "a", 100)));
    env.advance_time(Duration::from_secs(21));
    let cancelled = PoolAction::Cancel { engine: env.granted[&7].0.as_str().into(), generation: 7 };
    assert_eq!(env.log.last(), Some(&cancelled));
    assert_eq!(env.pool.status().running, 0);
}

/// A large prompt that fits nowhere does not block small ones that fit, and is not overtaken by them forever.
#[test]
fn test_large_prompt_neither_blocks_nor_starves() {
    let mut env = Env::new(1);
    for generation in 1_000..1_200 {
        env.event(PoolEvent::Place(request(generation, "a", 10)));
        env.advance_time(Duration::from_millis(100));
        env.granted.remove(&generation);
        env.event(PoolEvent::Ended { generation, tokens: 5, how: EndKind::Finished });
    }
    for generation in 1..=6 {
        env.event(PoolEvent::Place(request(generation, "a", 150)));
        env.advance_time(Duration::from_millis(100));
    }
    let run_counts: Vec<usize> = env.pool.engines().map(|tracker| tracker.runs.len()).collect();
    assert_eq!(run_counts, [2, 2, 2]);
    env.event(PoolEvent::Place(request(100, "a", 900)));
    env.event(PoolEvent::Place(request(101, "a", 10)));
    env.advance_time(Duration::from_millis(100));
    assert!(!env.granted.contains_key(&100));
    assert!(env.granted.contains_key(&101), "the small request waits behind the large one");
    for round in 0..36 {
        env.advance_time(Duration::from_millis(100));
        (0..2).for_each(|n| env.event(PoolEvent::Place(request(200 + round * 2 + n, "a", 150))));
        let oldest = env.granted.keys().copied().find(|g| *g != 100);
        if let Some(generation) = oldest {
            env.granted.remove(&generation);
            env.event(PoolEvent::Ended { generation, tokens: 5, how: EndKind::Finished });
        }
    }
    assert!(env.granted.contains_key(&100), "the large request never started");
}

/// A generation that has stalled gets a higher priority once, so that it is not preempted again.
#[test]
fn test_stalled_generation_is_protected() {
    let mut env = Env::new(1);
    env.event(PoolEvent::Place(request(7, "a", 100)));
    env.now += Duration::from_secs(1);
    env.event(PoolEvent::Progress { generation: 7, tokens: 30 });
    env.now += Duration::from_secs(1);
    env.event(PoolEvent::Progress { generation: 7, tokens: 32 });
    let priority_changes =
        env.log.iter().filter(|a| matches!(a, PoolAction::SetPriority { generation: 7, priority: 1000, .. }));
    assert_eq!(priority_changes.count(), 1);
}
