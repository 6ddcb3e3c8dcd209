//! Model of the judges of an upgrade in fleets of several sizes, while judges end or are suspended. Schemes:
//! one judge selected by a hash, three of them, or three and each node by its own counts.
//!
//! Failed nodes are suspected after 1.5 to 2.5 s and declared dead after 3 to 5 s. CI runs one seed; to run
//! more:
//! `LEADSTAGE_MODEL_SEEDS=60 cargo test --release -p leadstage-lib --test runner judges_model -- --nocapture`.

use std::time::Duration;
use std::time::Instant;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Measure;
use leadstage_lib::gateway::answer_counts::Phase;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::canary;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::trial_evidence::FleetView;
use leadstage_lib::gateway::trial_evidence::TrialEvidence;
use leadstage_lib::gateway::trial_evidence::TrialReport;
use leadstage_lib::gateway::trial_reports;
use leadstage_lib::gateway::trial_reports::Pending;
use leadstage_lib::gateway::trial_reports::TrialReports;
use leadstage_lib::gateway::upgrade::Stage;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade_judge;
use leadstage_lib::gateway::upgrade_judge::Capacity;
use leadstage_lib::gateway::upgrade_judge::ExposureBounds;
use leadstage_lib::gateway::upgrade_judge::Situation;
use leadstage_lib::gateway::upgrade_verdict;
use leadstage_lib::gateway::upgrade_verdict::Verdict;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOUNDS: ExposureBounds = ExposureBounds { share: 0.1, slack: 50.0 };
const STEP_S: f64 = 0.1;
const WITHIN_S: f64 = 14.0;
/// Simulations continue past the deadline of the order.
const SIMULATED_S: f64 = 22.0;
/// Requests per second of the whole fleet.
const REQUESTS_PER_S: f64 = 500.0;
/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.03;
const TURNS_BAD_AT_S: f64 = 8.0;
/// Fraction of a bad version's answers that are bad.
const BAD_ANSWER_RATE: f64 = 0.3;
/// Fraction of the answers of any version without a fault that fail.
const BASELINE_FAILURE_RATE: f64 = 0.005;
/// When the disturbance of a simulation with a good version starts.
const DISTURBS_GOOD_AT_S: f64 = 10.0;
const SUSPENDED_FOR_S: f64 = 4.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum JudgeScheme {
    One,
    Three,
    ThreeAndEach,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    None,
    JudgeEnds,
    TwoJudgesEnd,
    JudgeSuspended,
    HalfEnd,
}

enum Message {
    Report { from: usize, counted: u64, report: TrialReport },
    Ack { from: usize, counted: u64 },
    Stage(Stage),
}

struct Node {
    id: VmId,
    own: AnswerCounts,
    counted: u64,
    requests: u64,
    reports: TrialReports,
    evidence: TrialEvidence,
    last_report_at: Option<f64>,
    upgrade: Upgrade,
    inbox: Vec<(f64, Message)>,
    ended_at: Option<f64>,
    suspended_until: f64,
    suspected_at: f64,
    declared_dead_at: f64,
}

impl Node {
    fn is_running(&self, at: f64) -> bool {
        self.ended_at.is_none() && self.suspended_until <= at
    }

    /// Handles the messages that are due; returns the messages to send, with their recipients.
    fn receive(&mut self, own: usize, at: f64) -> Vec<(usize, Message)> {
        let (now, later) = std::mem::take(&mut self.inbox).into_iter().partition(|(due, _)| *due <= at);
        self.inbox = later;
        let mut sent = Vec::new();
        for (_, message) in now {
            match message {
                Message::Report { from, counted, report } => {
                    self.last_report_at = Some(at);
                    self.evidence.add_report(node_id(from), report);
                    sent.push((from, Message::Ack { from: own, counted }));
                }
                Message::Ack { from, counted } => self.reports.on_acknowledged(&node_id(from), counted),
                Message::Stage(stage) => self.advance(stage, at),
            }
        }
        sent
    }

    fn advance(&mut self, stage: Stage, at: f64) {
        if stage > self.upgrade.stage {
            (self.upgrade.stage, self.upgrade.stage_since) = (stage, secs(at));
        }
    }
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn node_id(n: usize) -> VmId {
    format!("10.0.{}.{}:7003", n / 250, n % 250).into()
}

fn node_index(node: &VmId) -> usize {
    let mut parts = node.split([':', '.']).map(|part| part.parse::<usize>().expect("a number"));
    parts.nth(2).expect("an address") * 250 + parts.next().expect("an address")
}

#[derive(Debug, Default)]
struct Outcome {
    succeeded_at: Option<f64>,
    reverted_at: Option<f64>,
    /// Requests that the new version got after it turned bad, and the time of the last one since then.
    exposed: u32,
    last_exposed: f64,
    sent: u64,
    longest_inbox: u64,
    judging: Duration,
}

struct Simulation {
    scheme: JudgeScheme,
    is_bad: bool,
    nodes: Vec<Node>,
    rng: SmallRng,
    outcome: Outcome,
}

impl Simulation {
    fn new(count: usize, scheme: JudgeScheme, is_bad: bool, seed: u64) -> Simulation {
        let order = UpgradeOrder { target: "v2".into(), within: secs(WITHIN_S), made: seed };
        let upgrade =
            Upgrade { order, began: Duration::ZERO, stage: Stage::Trial, stage_since: Duration::ZERO };
        let node = |n| Node {
            id: node_id(n),
            own: AnswerCounts::default(),
            counted: 0,
            requests: 0,
            reports: TrialReports::default(),
            evidence: TrialEvidence::default(),
            last_report_at: None,
            upgrade: upgrade.clone(),
            inbox: Vec::new(),
            ended_at: None,
            suspended_until: 0.0,
            suspected_at: f64::MAX,
            declared_dead_at: f64::MAX,
        };
        let rng = SmallRng::seed_from_u64(seed);
        Simulation { scheme, is_bad, nodes: (0..count).map(node).collect(), rng, outcome: Outcome::default() }
    }

    fn ranked(&self, at: f64, count: usize) -> Vec<VmId> {
        let alive = self.nodes.iter().filter(|node| node.declared_dead_at > at).map(|node| &node.id);
        rendezvous::ranked("judge of s", alive, count).into_iter().cloned().collect()
    }

    fn apply(&mut self, disturbance: Disturbance, at: f64) {
        let judges: Vec<usize> = self.ranked(at, 2).iter().map(node_index).collect();
        let (affected, ends) = match disturbance {
            Disturbance::None => (Vec::new(), true),
            Disturbance::JudgeEnds => (judges[..1].to_vec(), true),
            Disturbance::TwoJudgesEnd => (judges, true),
            Disturbance::JudgeSuspended => (judges[..1].to_vec(), false),
            Disturbance::HalfEnd => (self.random_half(), true),
        };
        for n in affected {
            let node = &mut self.nodes[n];
            node.suspected_at = at + self.rng.random_range(1.5..2.5);
            node.declared_dead_at = at + self.rng.random_range(3.0..5.0);
            if ends {
                node.ended_at = Some(at);
            } else {
                node.suspended_until = at + SUSPENDED_FOR_S;
            }
        }
    }

    /// A random half of the nodes.
    fn random_half(&mut self) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        for at in (1..nodes.len()).rev() {
            nodes.swap(at, self.rng.random_range(0..=at));
        }
        nodes.truncate(self.nodes.len() / 2);
        nodes
    }

    fn call(&mut self, at: f64) {
        let node = loop {
            let n = self.rng.random_range(0..self.nodes.len());
            if self.nodes[n].is_running(at) {
                break &mut self.nodes[n];
            }
        };
        node.requests += 1;
        let key = RunKey { entry: node.id.clone(), run: node.requests };
        let share = canary::trial_share(BOUNDS.share);
        let (to_target, phase) = match node.upgrade.stage {
            Stage::Trial => (canary::is_sampled(&key, &node.upgrade.order, share), Phase::Trial),
            stage => (matches!(stage, Stage::Switch | Stage::Proven), Phase::Switch),
        };
        let is_bad = to_target && self.is_bad && at >= TURNS_BAD_AT_S;
        if is_bad {
            self.outcome.exposed += 1;
            self.outcome.last_exposed = at - TURNS_BAD_AT_S;
        }
        let fails = self.rng.random_bool(if is_bad { BAD_ANSWER_RATE } else { BASELINE_FAILURE_RATE });
        let took = secs(0.06 * 2.0_f64.powf(self.rng.random_range(-1.0..1.0)));
        let sample = if fails { Sample::Failed } else { Sample::Took(Measure::Answer, took) };
        let side = if to_target { Side::Target } else { Side::Present };
        node.own.on_sample(&"r".into(), phase, side, sample);
        node.counted += 1;
    }

    fn send(&mut self, to: usize, message: Message, delay: f64, at: f64) {
        self.outcome.sent += 1;
        if !self.rng.random_bool(LOSS_RATE) {
            self.nodes[to].inbox.push((at + delay, message));
        }
    }

    fn announce_stage(&mut self, stage: Stage, at: f64) {
        for n in 0..self.nodes.len() {
            let delay = if self.rng.random_bool(LOSS_RATE) { 0.8 } else { self.rng.random_range(0.0..0.3) };
            self.nodes[n].inbox.push((at + delay, Message::Stage(stage)));
        }
    }

    fn report(&mut self, n: usize, ranked: &[&VmId], at: f64) -> bool {
        let nodes = self.nodes.len();
        let node = &mut self.nodes[n];
        let switch_report_at = upgrade_judge::switch_report_at(&node.upgrade);
        let pending = Pending { counted: node.counted, nodes, since: Duration::ZERO, switch_report_at };
        let due = node.reports.due(ranked, &node.id.clone(), &pending, secs(at));
        let report = TrialReport { started: 1, as_of: secs(at), counts: node.own.clone() };
        let (counted, has_recent_report) =
            (node.counted, node.last_report_at.is_some_and(|received| received + 2.0 > at));
        for to in &due.to {
            let message = Message::Report { from: n, counted, report: report.clone() };
            self.send(node_index(to), message, STEP_S / 2.0, at);
        }
        due.judges || (has_recent_report && self.scheme != JudgeScheme::One)
    }

    fn coverage(&self, n: usize, at: f64) -> Coverage {
        let alive = self.nodes.iter().filter(|node| node.declared_dead_at > at).count();
        let node = &self.nodes[n];
        if self.scheme == JudgeScheme::One {
            let is_most = (node.evidence.nodes() + 1) as f64 >= 0.75 * alive as f64;
            return if is_most { Coverage::Most } else { Coverage::Few };
        }
        let others = self.nodes.iter().filter(|other| other.id != node.id && other.suspected_at > at);
        let healthy = others.map(|other| other.id.clone()).collect();
        let fleet = FleetView { healthy, size: Some(self.nodes.len()) };
        let since = upgrade_judge::report_cutoff(&node.upgrade, self.nodes.len(), secs(at));
        node.evidence.coverage(&fleet, since)
    }

    fn judge(&mut self, n: usize, at: f64) {
        let hearing = self.coverage(n, at);
        let began = Instant::now();
        let node = &self.nodes[n];
        let counts = node.evidence.all(&node.own);
        let situation = Situation {
            upgrade: &node.upgrade,
            counts: &counts,
            capacity: Capacity { present: 42, target: 42 },
            has_streams: false,
            store_answers: true,
            hearing,
            bounds: BOUNDS,
        };
        let next = situation.next(secs(at));
        self.outcome.judging += began.elapsed();
        if let Some(next) = next {
            self.decide(n, next.stage, at);
        }
    }

    fn decide(&mut self, n: usize, stage: Stage, at: f64) {
        self.nodes[n].advance(stage, at);
        match stage {
            Stage::Proven => drop(self.outcome.succeeded_at.get_or_insert(at)),
            Stage::Reverted => drop(self.outcome.reverted_at.get_or_insert(at)),
            _ => {}
        }
        self.announce_stage(stage, at);
    }

    fn step(&mut self, at: f64) {
        let ranked =
            self.ranked(at, if self.scheme == JudgeScheme::One { 1 } else { trial_reports::CANDIDATES });
        let ranked: Vec<&VmId> = ranked.iter().collect();
        let running: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_running(at)).collect();
        for n in &running {
            let inbox = self.nodes[*n].inbox.len() as u64;
            self.outcome.longest_inbox = self.outcome.longest_inbox.max(inbox);
            for (to, message) in self.nodes[*n].receive(*n, at) {
                self.send(to, message, STEP_S / 2.0, at);
            }
        }
        for n in running {
            if !self.nodes[n].upgrade.stage.is_judged() {
                continue;
            }
            if self.report(n, &ranked, at) {
                self.judge(n, at);
            }
            let is_worse = || matches!(upgrade_verdict::verdict(&self.nodes[n].own), Verdict::Worse(_));
            if self.scheme == JudgeScheme::ThreeAndEach && is_worse() {
                self.decide(n, Stage::Reverted, at);
            }
        }
    }
}

fn simulate(count: usize, scheme: JudgeScheme, is_bad: bool, disturbance: Disturbance, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(count, scheme, is_bad, seed);
    let disturbed_at = if is_bad { TURNS_BAD_AT_S } else { DISTURBS_GOOD_AT_S };
    let mut is_disturbed = false;
    for step in 0..(SIMULATED_S / STEP_S) as usize {
        let at = step as f64 * STEP_S;
        if at >= disturbed_at && !is_disturbed {
            is_disturbed = true;
            simulation.apply(disturbance, at);
        }
        for _ in 0..(REQUESTS_PER_S * STEP_S) as usize {
            simulation.call(at);
        }
        simulation.step(at);
    }
    simulation.outcome
}

/// Number of seeds set by the environment, for runs by hand.
fn requested_seeds() -> Option<u64> {
    let seeds = std::env::var("LEADSTAGE_MODEL_SEEDS").ok()?;
    Some(seeds.parse().expect("LEADSTAGE_MODEL_SEEDS is a number"))
}

/// Outcomes of all seeds. A simulation that reports both a success and a reversal counts as both.
struct Row {
    text: String,
    outcomes: Vec<Outcome>,
}

fn row(count: usize, scheme: JudgeScheme, is_bad: bool, disturbance: Disturbance) -> Row {
    let outcomes: Vec<Outcome> = (0..requested_seeds().unwrap_or(1))
        .map(|seed| simulate(count, scheme, is_bad, disturbance, seed))
        .collect();
    let max_of = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    let succeeded = outcomes.iter().filter(|outcome| outcome.succeeded_at.is_some()).count();
    let reverted = outcomes.iter().filter(|outcome| outcome.reverted_at.is_some()).count();
    let succeeded_by = max_of(|outcome| outcome.succeeded_at.unwrap_or(0.0));
    let sent = max_of(|outcome| outcome.sent as f64) / count as f64 / SIMULATED_S;
    let version = if is_bad { "bad" } else { "good" };
    let judging = outcomes.iter().map(|outcome| outcome.judging).max().unwrap_or_default();
    let text = format!(
        "{count:4} {:<12} {version:<4} {:<14} succeeded {succeeded}, reported by {succeeded_by:4.1} s; reverted {reverted}; {:3.0} exposed, the last {:3.1} s after; {sent:.2} messages per second and node, at most {:.0} at one node in a step; judging {judging:?}",
        format!("{scheme:?}"),
        format!("{disturbance:?}"),
        max_of(|outcome| f64::from(outcome.exposed)),
        max_of(|outcome| outcome.last_exposed),
        max_of(|outcome| outcome.longest_inbox as f64),
    );
    Row { text, outcomes }
}

const BAD_DISTURBANCES: [Disturbance; 5] = [
    Disturbance::None,
    Disturbance::JudgeEnds,
    Disturbance::TwoJudgesEnd,
    Disturbance::JudgeSuspended,
    Disturbance::HalfEnd,
];
const GOOD_DISTURBANCES: [Disturbance; 4] =
    [Disturbance::None, Disturbance::JudgeEnds, Disturbance::JudgeSuspended, Disturbance::HalfEnd];

/// Asserts that with three judges no bad version succeeds and no good one is reverted, and that the success
/// of a good one is reported in time whatever happens to one judge. Runs by hand compare the schemes.
#[test]
fn test_three_judges_decide_while_one_is_unavailable() {
    let (sizes, schemes): (&[usize], &[JudgeScheme]) = match requested_seeds() {
        Some(_) => (&[6, 66, 410, 985], &[JudgeScheme::One, JudgeScheme::Three, JudgeScheme::ThreeAndEach]),
        None => (&[6, 66, 410], &[JudgeScheme::Three]),
    };
    for count in sizes {
        for scheme in schemes {
            let bad = BAD_DISTURBANCES.map(|disturbance| (true, disturbance));
            let good = GOOD_DISTURBANCES.map(|disturbance| (false, disturbance));
            for (is_bad, disturbance) in bad.into_iter().chain(good) {
                let row = row(*count, *scheme, is_bad, disturbance);
                println!("{}", row.text);
                if *scheme == JudgeScheme::Three {
                    check(&row, is_bad, disturbance);
                }
            }
        }
    }
}

fn check(row: &Row, is_bad: bool, disturbance: Disturbance) {
    for outcome in &row.outcomes {
        if is_bad {
            assert_eq!(outcome.succeeded_at, None, "{}", row.text);
            assert!(outcome.reverted_at.is_some(), "{}", row.text);
        } else {
            assert_eq!(outcome.reverted_at, None, "{}", row.text);
            let succeeded_by = outcome.succeeded_at.expect("it succeeds");
            assert!(disturbance == Disturbance::HalfEnd || succeeded_by <= WITHIN_S, "{}", row.text);
        }
    }
}
