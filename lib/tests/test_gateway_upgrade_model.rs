//! Model of an upgrade in fleets of several sizes: callers, replicas of both versions, nodes that select
//! requests and report counts, lost reports and delayed announcements. It compares two methods to keep to
//! the share: each node selects from its own requests, or one node distributes the share.

use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Measure;
use leadstage_lib::gateway::answer_counts::Phase;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::canary;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::stage_history::StageHistory;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::upgrade::Stage;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade_judge::Capacity;
use leadstage_lib::gateway::upgrade_judge::ExposureBounds;
use leadstage_lib::gateway::upgrade_judge::Situation;
use leadstage_lib::ids::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOUNDS: ExposureBounds = ExposureBounds { share: 0.1, slack: 50.0 };
const STEP_S: f64 = 0.1;
const WITHIN_S: f64 = 14.0;
/// Requests per second of the whole fleet.
const REQUESTS_PER_S: f64 = 126.0;
/// Steps between two reports of a node.
const REPORT_STEPS: usize = 4;
/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.03;
/// Fraction of a bad version's answers that are bad.
const BAD_ANSWER_RATE: f64 = 0.3;
const SEEDS: u64 = 20;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Errors,
    Slow,
    ErrorsLater,
    ErrorsOnOneRoute,
    ErrorsUnderLoad,
}

/// Method to keep to the share.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ShareMethod {
    /// Each node selects from its own requests.
    Drawn,
    /// The judge distributes the share: each report that reaches it grants its sender a share of the
    /// requests counted in it.
    HandedOut,
}

struct Outcome {
    exposed: u32,
    bound: f64,
    stage: Stage,
    /// When the last node learned of the last stage, in seconds since the order.
    known_to_all_s: f64,
    /// Requests that the new version had answered when the judge decided.
    answers_seen: u32,
}

struct Node {
    id: VmId,
    /// Samples that the judge does not have yet. Reports are cumulative, so the next report makes up for a
    /// lost one.
    unreported: Vec<(usize, Phase, Side, Sample)>,
    requests: u64,
    /// Requests that the node may still send to the new version if the judge distributes the share.
    allowance: f64,
    allowance_up_to: u64,
    /// The stages that the node knows, with the times since when.
    stages: Vec<(f64, Stage)>,
}

impl Node {
    /// Latest known stage; `None` before the node knows of the order, when no replica of the new version
    /// exists yet.
    fn stage(&self, at: f64) -> Option<Stage> {
        self.stages.iter().filter(|(from, _)| *from <= at).map(|(_, stage)| *stage).max()
    }

    /// The phase in which a request begins now.
    fn phase(&self, at: f64) -> Phase {
        let mut history = StageHistory::default();
        for (from, stage) in self.stages.iter().filter(|(from, _)| *from <= at) {
            history.on_stage(*stage, Duration::from_secs_f64(*from));
        }
        history.phase_at(Duration::from_secs_f64(at))
    }
}

fn is_bad(fault: Fault, route: usize, at: f64, load: f64, rng: &mut SmallRng) -> bool {
    let applies = match fault {
        Fault::None => false,
        Fault::Errors | Fault::Slow => true,
        Fault::ErrorsLater => at > WITHIN_S * 0.6,
        Fault::ErrorsOnOneRoute => route == 1,
        Fault::ErrorsUnderLoad => load > 0.6,
    };
    applies && rng.random_bool(BAD_ANSWER_RATE)
}

/// Time of an answer without a fault, which varies by up to a factor of two either way.
fn typical_time_s(rng: &mut SmallRng) -> f64 {
    0.06 * 2.0_f64.powf(rng.random_range(-1.0..1.0) * rng.random_range(0.0..1.0))
}

fn simulate(nodes: usize, method: ShareMethod, fault: Fault, seed: u64) -> Outcome {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let order = UpgradeOrder { target: "v2".into(), within: Duration::from_secs_f64(WITHIN_S), made: seed };
    let share = canary::trial_share(BOUNDS.share);
    let mut fleet: Vec<Node> = (0..nodes)
        .map(|n| Node {
            id: format!("10.0.{}.{}:7080", n / 250, n % 250).into(),
            unreported: Vec::new(),
            requests: 0,
            allowance: 0.0,
            allowance_up_to: 0,
            stages: vec![(rng.random_range(0.0..0.3), Stage::Trial)],
        })
        .collect();
    let mut counts = AnswerCounts::default();
    let mut upgrade = Upgrade {
        order: order.clone(),
        began: Duration::ZERO,
        stage: Stage::Trial,
        stage_since: Duration::ZERO,
    };
    let (mut exposed, mut answers_seen, mut decided) = (0, 0, 0.0);
    let steps = (WITHIN_S / STEP_S) as usize;
    for step in 0..steps {
        let at = step as f64 * STEP_S;
        let arrivals = (REQUESTS_PER_S * STEP_S) as usize
            + usize::from(rng.random_bool((REQUESTS_PER_S * STEP_S).fract()));
        // In the trial a few new replicas have the load of a present one each, in the switch all of them.
        let load = 0.9;
        for _ in 0..arrivals {
            let node = &mut fleet[rng.random_range(0..nodes)];
            node.requests += 1;
            let key = RunKey { entry: node.id.clone(), run: node.requests };
            let to_target = match (node.stage(at), method) {
                (Some(Stage::Trial), ShareMethod::Drawn) => canary::is_sampled(&key, &order, share),
                (Some(Stage::Trial), ShareMethod::HandedOut) => node.allowance >= 1.0,
                (stage, _) => matches!(stage, Some(Stage::Switch | Stage::Proven)),
            };
            if to_target && method == ShareMethod::HandedOut {
                node.allowance = (node.allowance - 1.0).max(0.0);
            }
            exposed += u32::from(to_target);
            let side = if to_target { Side::Target } else { Side::Present };
            let route = usize::from(rng.random_bool(0.4));
            let bad = to_target && is_bad(fault, route, at, load, rng);
            let sample = match (bad, fault) {
                (true, Fault::Slow) => {
                    Sample::Took(Measure::Answer, Duration::from_secs_f64(typical_time_s(rng) * 5.0))
                }
                (true, _) => Sample::Failed,
                (false, _) => Sample::Took(Measure::Answer, Duration::from_secs_f64(typical_time_s(rng))),
            };
            let phase = node.phase(at);
            node.unreported.push((route, phase, side, sample));
        }
        for (n, node) in fleet.iter_mut().enumerate() {
            if (step + n) % REPORT_STEPS == 0 && !rng.random_bool(LOSS_RATE) {
                for (route, phase, side, sample) in node.unreported.drain(..) {
                    counts.on_sample(&["a", "b"][route].into(), phase, side, sample);
                }
                node.allowance += share * (node.requests - node.allowance_up_to) as f64;
                node.allowance_up_to = node.requests;
            }
        }
        let now = Duration::from_secs_f64(at);
        let situation = Situation {
            upgrade: &upgrade,
            counts: &counts,
            capacity: Capacity { present: 42, target: 42 },
            has_streams: false,
            store_answers: true,
            hearing: Coverage::Most,
            bounds: BOUNDS,
        };
        if let Some(next) = situation.next(now) {
            (upgrade.stage, upgrade.stage_since, decided) = (next.stage, now, at);
            answers_seen = counts.answered().1;
            for node in &mut fleet {
                let delay = if rng.random_bool(LOSS_RATE) { 0.8 } else { rng.random_range(0.0..0.3) };
                node.stages.push((at + delay, next.stage));
            }
        }
    }
    let bound = BOUNDS.share * REQUESTS_PER_S * WITHIN_S + BOUNDS.slack;
    let learned_at = |node: &Node| node.stages.last().map_or(0.0, |(at, _)| *at);
    let known_to_all_s = fleet.iter().map(learned_at).fold(decided, f64::max);
    Outcome { exposed, bound, stage: upgrade.stage, known_to_all_s, answers_seen }
}

fn row(nodes: usize, method: ShareMethod, fault: Fault) -> (String, Vec<Outcome>) {
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(nodes, method, fault, seed)).collect();
    let max_exposure = outcomes.iter().map(|o| f64::from(o.exposed) / o.bound).fold(0.0, f64::max);
    let stage = |stage: Stage| outcomes.iter().filter(|o| o.stage == stage).count();
    let mut times: Vec<f64> = outcomes.iter().map(|o| o.known_to_all_s).collect();
    times.sort_by(f64::total_cmp);
    let answers_seen =
        outcomes.iter().map(|o| f64::from(o.answers_seen)).sum::<f64>() / outcomes.len() as f64;
    let text = format!(
        "{nodes:4}  {:<10} {:<17} exposed {max_exposure:.2} of the bound at most; proven {:2}, reverted {:2}, on trial {:2}; known to all after {:.1} s, {:.1} at most; {answers_seen:.0} answers seen",
        format!("{method:?}"),
        format!("{fault:?}"),
        stage(Stage::Proven),
        stage(Stage::Reverted),
        stage(Stage::Trial),
        times[times.len() / 2],
        times[times.len() - 1],
    );
    (text, outcomes)
}

#[test]
fn test_bad_versions_are_found_and_good_ones_proven_in_fleets_of_each_size() {
    let faults = [
        Fault::None,
        Fault::Errors,
        Fault::Slow,
        Fault::ErrorsLater,
        Fault::ErrorsOnOneRoute,
        Fault::ErrorsUnderLoad,
    ];
    let mut table = String::new();
    for nodes in [6, 66, 410, 985] {
        for fault in faults {
            let (text, outcomes) = row(nodes, ShareMethod::Drawn, fault);
            writeln!(table, "{text}").expect("it is text");
            for (seed, outcome) in outcomes.iter().enumerate() {
                let case = format!("{nodes} nodes, {fault:?}, seed {seed}");
                let expected = if fault == Fault::None { Stage::Proven } else { Stage::Reverted };
                assert_eq!(outcome.stage, expected, "{case}");
                let is_within_bound = fault == Fault::None || f64::from(outcome.exposed) <= outcome.bound;
                assert!(is_within_bound, "{case}: {} of {}", outcome.exposed, outcome.bound);
            }
        }
    }
    // The other method, for comparison: with few requests at each node hardly any share is distributed.
    for nodes in [6, 66, 410, 985] {
        for fault in [Fault::None, Fault::ErrorsLater] {
            writeln!(table, "{}", row(nodes, ShareMethod::HandedOut, fault).0).expect("it is text");
        }
    }
    insta::assert_snapshot!(table);
}
