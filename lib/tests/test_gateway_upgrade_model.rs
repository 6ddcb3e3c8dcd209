//! Model of an upgrade in fleets of several sizes: callers, replicas of both versions, nodes that select
//! requests and report counts, lost reports and delayed announcements. It compares two methods to keep to
//! the share: each node selects from its own requests, or one node distributes the share.

use std::borrow::Cow;
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
/// The same for a version that is really slow, and for all versions in a surge.
const SLOW_ANSWER_RATE: f64 = 0.8;
/// How long a surge lasts that begins with the switch.
const SURGE_S: f64 = 1.5;
/// Time for which upgrades are played that may end in a second switch.
const PLAYED_WITH_RECHECK_S: f64 = 40.0;
/// Number of bad answers, and the time after it within which a bad version gets no more requests.
const BAD_ANSWERS_ALLOWED: usize = 50;
const REVERTED_WITHIN_S: f64 = 5.0;
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
    SlowSinceSwitch,
    OftenSlowSinceSwitch,
}

/// How the answers of the switch are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SwitchJudging {
    /// Together with those of the trial.
    AsTrial,
    /// By their own phase, with a recheck.
    ByPhase,
}

/// More answers of the switch than a success needs here.
const MIN_SWITCH_ANSWERS: u32 = 16;

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
    /// When requests were sent whose answers were bad because of the fault.
    bad: Vec<f64>,
}

impl Outcome {
    /// Time from the 50th bad answer to the last one.
    fn late_s(&self) -> f64 {
        self.bad.get(BAD_ANSWERS_ALLOWED - 1).map_or(0.0, |at| self.bad[self.bad.len() - 1] - at)
    }
}

/// What is played.
#[derive(Clone, Copy)]
struct Play {
    nodes: usize,
    method: ShareMethod,
    fault: Fault,
    judging: SwitchJudging,
    has_surge: bool,
    lasts_s: f64,
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

fn is_bad(fault: Fault, route: usize, at: f64, load: f64, has_switched: bool, rng: &mut SmallRng) -> bool {
    let applies = match fault {
        Fault::None => false,
        Fault::Errors | Fault::Slow => true,
        Fault::ErrorsLater => at > WITHIN_S * 0.6,
        Fault::ErrorsOnOneRoute => route == 1,
        Fault::ErrorsUnderLoad => load > 0.6,
        Fault::SlowSinceSwitch | Fault::OftenSlowSinceSwitch => has_switched,
    };
    let rate = if fault == Fault::OftenSlowSinceSwitch { SLOW_ANSWER_RATE } else { BAD_ANSWER_RATE };
    applies && rng.random_bool(rate)
}

/// Time of an answer without a fault, which varies by up to a factor of two either way.
fn typical_time_s(rng: &mut SmallRng) -> f64 {
    0.06 * 2.0_f64.powf(rng.random_range(-1.0..1.0) * rng.random_range(0.0..1.0))
}

fn simulate(play: Play, seed: u64) -> Outcome {
    let Play { nodes, method, fault, judging, has_surge, lasts_s } = play;
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
    let (mut switched_at, mut bad_at) = (None, Vec::new());
    let steps = (lasts_s / STEP_S) as usize;
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
                (Some(Stage::Recheck), _) => canary::is_sampled(&key, &order, share),
                (stage, _) => stage.is_some_and(|stage| stage.is_switch() || stage == Stage::Proven),
            };
            if to_target && method == ShareMethod::HandedOut {
                node.allowance = (node.allowance - 1.0).max(0.0);
            }
            exposed += u32::from(to_target && at < WITHIN_S);
            let side = if to_target { Side::Target } else { Side::Present };
            let route = usize::from(rng.random_bool(0.4));
            let bad = to_target && is_bad(fault, route, at, load, switched_at.is_some(), rng);
            let in_surge = has_surge && switched_at.is_some_and(|since| at < since + SURGE_S);
            let is_slow = in_surge && rng.random_bool(SLOW_ANSWER_RATE);
            if bad {
                bad_at.push(at);
            }
            let sample = match (bad, fault) {
                (true, Fault::Slow | Fault::SlowSinceSwitch | Fault::OftenSlowSinceSwitch) => {
                    Sample::Took(Measure::Answer, Duration::from_secs_f64(typical_time_s(rng) * 5.0))
                }
                (true, _) => Sample::Failed,
                (false, _) if is_slow => {
                    Sample::Took(Measure::Answer, Duration::from_secs_f64(typical_time_s(rng) * 5.0))
                }
                (false, _) => Sample::Took(Measure::Answer, Duration::from_secs_f64(typical_time_s(rng))),
            };
            let phase = if judging == SwitchJudging::AsTrial { Phase::Trial } else { node.phase(at) };
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
        let judged = with_answers_of_the_switch(&counts, judging, &upgrade);
        let situation = Situation {
            upgrade: &upgrade,
            counts: &judged,
            capacity: Capacity { present: 42, target: 42 },
            has_streams: false,
            store_answers: true,
            hearing: Coverage::Most,
            bounds: BOUNDS,
        };
        if let Some(next) = situation.next(now) {
            (upgrade.stage, upgrade.stage_since, decided) = (next.stage, now, at);
            answers_seen = counts.answered().1;
            switched_at.get_or_insert(at);
            for node in &mut fleet {
                let delay = if rng.random_bool(LOSS_RATE) { 0.8 } else { rng.random_range(0.0..0.3) };
                node.stages.push((at + delay, next.stage));
            }
        }
    }
    let bound = BOUNDS.share * REQUESTS_PER_S * WITHIN_S + BOUNDS.slack;
    let learned_at = |node: &Node| node.stages.last().map_or(0.0, |(at, _)| *at);
    let known_to_all_s = fleet.iter().map(learned_at).fold(decided, f64::max);
    Outcome { exposed, bound, stage: upgrade.stage, known_to_all_s, answers_seen, bad: bad_at }
}

fn row(nodes: usize, method: ShareMethod, fault: Fault) -> (String, Vec<Outcome>) {
    let (judging, has_surge, lasts_s) = (SwitchJudging::ByPhase, false, WITHIN_S);
    let play = Play { nodes, method, fault, judging, has_surge, lasts_s };
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(play, seed)).collect();
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

fn switch_row(play: Play) -> (String, Vec<Outcome>) {
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(play, seed)).collect();
    let max = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let stage = |stage: Stage| outcomes.iter().filter(|o| o.stage == stage).count();
    let mut times: Vec<f64> = outcomes.iter().map(|o| o.known_to_all_s).collect();
    times.sort_by(f64::total_cmp);
    let text = format!(
        "{:4}  {:<8} {:<20} {:<8} exposed {:.2} of the bound at most; proven {:2}, reverted {:2}; known to all after {:.1} s, {:.1} at most; last bad request {:.1} s after the 50th at most",
        play.nodes,
        format!("{:?}", play.judging),
        format!("{:?}", play.fault),
        if play.has_surge { "surge" } else { "no surge" },
        max(|o| f64::from(o.exposed) / o.bound),
        stage(Stage::Proven),
        stage(Stage::Reverted),
        times[times.len() / 2],
        times[times.len() - 1],
        max(Outcome::late_s),
    );
    (text, outcomes)
}

/// A surge in the switch slows every version. A version whose part of slow answers is no greater than that of
/// a surge can't be told from it: only one that is often slow has to be found.
#[test]
fn test_a_surge_in_the_switch_reverts_no_good_version() {
    let mut table = String::new();
    for nodes in [6, 66] {
        for fault in [Fault::None, Fault::SlowSinceSwitch, Fault::OftenSlowSinceSwitch] {
            for has_surge in [false, true] {
                for judging in [SwitchJudging::AsTrial, SwitchJudging::ByPhase] {
                    let (method, lasts_s) = (ShareMethod::Drawn, PLAYED_WITH_RECHECK_S);
                    let (text, outcomes) =
                        switch_row(Play { nodes, method, fault, judging, has_surge, lasts_s });
                    writeln!(table, "{text}").expect("it is text");
                    if judging == SwitchJudging::AsTrial {
                        continue;
                    }
                    for (seed, outcome) in outcomes.iter().enumerate() {
                        let case = format!("{nodes} nodes, {fault:?}, surge {has_surge}, seed {seed}");
                        let expected = if fault == Fault::None { Stage::Proven } else { Stage::Reverted };
                        assert_eq!(outcome.stage, expected, "{case}");
                        if fault != Fault::None {
                            assert!(f64::from(outcome.exposed) <= outcome.bound, "{case}: exposed");
                            assert!(outcome.late_s() <= REVERTED_WITHIN_S, "{case}: {}", outcome.late_s());
                        }
                    }
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// The counts that are judged. Judged as the trial, the switch has no answers of its own, which a success needs:
/// as many as that are added.
fn with_answers_of_the_switch<'a>(
    counts: &'a AnswerCounts,
    judging: SwitchJudging,
    upgrade: &Upgrade,
) -> Cow<'a, AnswerCounts> {
    if judging == SwitchJudging::ByPhase || !upgrade.stage.is_switch() {
        return Cow::Borrowed(counts);
    }
    let mut counts = counts.clone();
    for _ in 0..MIN_SWITCH_ANSWERS {
        let sample = Sample::Took(Measure::Answer, Duration::from_millis(60));
        counts.on_sample(&"a".into(), Phase::Switch, Side::Target, sample);
    }
    Cow::Owned(counts)
}
