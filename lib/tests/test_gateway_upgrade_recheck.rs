//! Slow moments in the switch of an upgrade, when the present version answers nothing to compare with: they lead
//! to a recheck side by side, not to a reversal.

use std::collections::BTreeMap;
use std::time::Duration;

use leadstage_lib::gateway::answer_counts::AnswerCounts;
use leadstage_lib::gateway::answer_counts::Measure;
use leadstage_lib::gateway::answer_counts::Phase;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::stage_history::StageHistory;
use leadstage_lib::gateway::trial_evidence::Coverage;
use leadstage_lib::gateway::upgrade::Stage;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade_judge;
use leadstage_lib::gateway::upgrade_judge::Capacity;
use leadstage_lib::gateway::upgrade_judge::ExposureBounds;
use leadstage_lib::gateway::upgrade_judge::Situation;

const WITHIN: Duration = Duration::from_secs(12);
const NODES: usize = 10;
/// Steps per second.
const STEPS: u32 = 10;
/// The usual age of a report at the judge, in steps.
const REPORT_STEPS: usize = 2;
/// In the trial and the recheck, one request of this many goes to the new version.
const TRIAL_SHARE: u32 = 20;
/// Time from the 50th bad answer within which a version that is really slow gets no more requests.
const BAD_ANSWERS_ALLOWED: usize = 50;
const REVERTED_WITHIN: Duration = Duration::from_secs(5);
/// Room for the counts in a datagram between nodes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// What determines whether an answer is slow.
#[derive(Clone, Copy)]
struct Moment {
    side: Side,
    stage: Stage,
    /// Time since the first switch began, if it has.
    since_switch: Option<Duration>,
}

/// How an upgrade went.
#[derive(Default)]
struct Course {
    /// The stages with the times at which they were reached, and why.
    stages: Vec<(Stage, String)>,
    /// When the new version answered slowly.
    slow: Vec<Duration>,
    ended: Duration,
}

impl Course {
    fn last(&self) -> Stage {
        self.stages.last().expect("the upgrade advances").0
    }

    fn reached(&self) -> Vec<Stage> {
        self.stages.iter().map(|(stage, _)| *stage).collect()
    }

    fn lines(&self) -> String {
        let lines: Vec<String> = self.stages.iter().map(|(stage, text)| format!("{stage} {text}")).collect();
        lines.join("\n")
    }

    fn assert_reverted_in_time(&self) {
        assert_eq!(self.last(), Stage::Reverted, "{}", self.lines());
        let late = self.slow.get(BAD_ANSWERS_ALLOWED - 1).map(|at| self.ended.saturating_sub(*at));
        let late = late.unwrap_or_default();
        assert!(late <= REVERTED_WITHIN, "{late:?} after the 50th bad answer\n{}", self.lines());
    }
}

/// Plays an upgrade under `per_second` requests, of whose answers a fraction is slow. Answers are slow in
/// turn, not by chance. The slack is that of one second, so that the switch is not cut short by it: slow
/// answers have to come before its end to be seen.
fn play(per_second: u32, report_steps: usize, slow_rate: impl Fn(Moment) -> f64) -> Course {
    let order = UpgradeOrder { target: "v2".into(), within: WITHIN, made: 7 };
    let zero = Duration::ZERO;
    let mut upgrade = Upgrade { order, began: zero, stage: Stage::Trial, stage_since: zero };
    let (mut history, mut switch_began) = (StageHistory::default(), None);
    history.on_stage(Stage::Trial, zero);
    let (mut counts, mut unreported) = (AnswerCounts::default(), Vec::new());
    let (mut course, mut due, mut sent) = (Course::default(), BTreeMap::new(), 0);
    for step in 0..60 * STEPS {
        let now = Duration::from_secs(1) * step / STEPS;
        for _ in 0..per_second / STEPS {
            sent += 1;
            let is_target = upgrade.stage.is_switch() || sent % TRIAL_SHARE == 0;
            let side = if is_target { Side::Target } else { Side::Present };
            let since_switch = switch_began.map(|at| now - at);
            let due: &mut f64 = due.entry(is_target).or_default();
            *due += slow_rate(Moment { side, stage: upgrade.stage, since_switch });
            let is_slow = *due >= 1.0;
            if is_slow {
                *due -= 1.0;
            }
            if is_slow && is_target {
                course.slow.push(now);
            }
            let took = Duration::from_millis(if is_slow { 300 } else { 60 });
            // An answer is reported only once it is there.
            let answered = step as usize + took.as_millis() as usize * STEPS as usize / 1_000;
            unreported.push((answered, history.phase_at(now), side, took));
        }
        for (_, phase, side, took) in
            unreported.extract_if(.., |(at, ..)| *at + report_steps <= step as usize)
        {
            counts.on_sample(&"r".into(), phase, side, Sample::Took(Measure::Answer, took));
        }
        let reported_at = now.saturating_sub(Duration::from_secs(1) * report_steps as u32 / STEPS);
        let is_recent = reported_at >= upgrade_judge::report_cutoff(&upgrade, NODES, now);
        let hearing = if is_recent { Coverage::Most } else { Coverage::Few };
        let situation = Situation {
            upgrade: &upgrade,
            counts: &counts,
            capacity: Capacity { present: 40, target: 40 },
            has_streams: false,
            store_answers: true,
            hearing,
            bounds: ExposureBounds { share: 0.1, slack: f64::from(per_second) },
        };
        let Some(next) = situation.next(now) else {
            continue;
        };
        course.stages.push((next.stage, format!("after {now:?}: {}", next.reason)));
        (upgrade.stage, upgrade.stage_since) = (next.stage, now);
        history.on_stage(next.stage, now);
        switch_began.get_or_insert(now);
        if !next.stage.is_judged() {
            course.ended = now;
            break;
        }
    }
    course
}

fn good(_: Moment) -> f64 {
    0.01
}

#[test]
fn test_a_slow_moment_in_the_switch_reverts_no_good_version() {
    // A surge, or the backlog of nodes that were suspended, slows whichever version gets the requests.
    for per_second in [50, 100, 1_000] {
        let course = play(per_second, REPORT_STEPS, |moment| match moment.since_switch {
            Some(since) if since < Duration::from_millis(1_500) => 0.8,
            _ => good(moment),
        });
        assert_eq!(
            course.reached(),
            [Stage::Switch, Stage::Recheck, Stage::SecondSwitch, Stage::Proven],
            "{per_second}\n{}",
            course.lines()
        );
        if per_second == 100 {
            insta::assert_snapshot!(course.lines());
        }
    }
}

#[test]
fn test_a_version_that_is_slow_from_the_switch_on_is_reverted_in_time() {
    for per_second in [100, 200, 1_000, 5_000] {
        for rate in [0.6, 1.0] {
            let course = play(per_second, REPORT_STEPS, |moment| match (moment.side, moment.since_switch) {
                (Side::Target, Some(_)) => rate,
                _ => good(moment),
            });
            assert_eq!(
                course.reached(),
                [Stage::Switch, Stage::Recheck, Stage::Reverted],
                "{per_second} {rate}\n{}",
                course.lines()
            );
            course.assert_reverted_in_time();
            if (per_second, rate) == (100, 1.0) {
                insta::assert_snapshot!(course.lines());
            }
        }
    }
}

#[test]
fn test_a_version_that_is_slow_under_full_load_only_is_reverted_in_the_second_switch() {
    for per_second in [100, 1_000] {
        let course = play(per_second, REPORT_STEPS, |moment| match (moment.side, moment.stage.is_switch()) {
            (Side::Target, true) => 0.6,
            _ => good(moment),
        });
        assert_eq!(
            course.reached(),
            [Stage::Switch, Stage::Recheck, Stage::SecondSwitch, Stage::Reverted],
            "{per_second}\n{}",
            course.lines()
        );
        if per_second == 100 {
            insta::assert_snapshot!(course.lines());
        }
    }
}

/// A few slow answers in the switch, as a busy machine makes them, don't delay a success.
#[test]
fn test_noise_in_the_switch_does_not_delay_a_success() {
    let undisturbed = play(500, 1, good);
    assert_eq!(undisturbed.reached(), [Stage::Switch, Stage::Proven], "{}", undisturbed.lines());
    let course = play(500, 1, |moment| match moment.since_switch {
        Some(_) => 17.0 / 314.0,
        None => good(moment),
    });
    assert_eq!(course.reached(), undisturbed.reached(), "{}", course.lines());
    assert_eq!(course.ended, undisturbed.ended, "{}", course.lines());
}

/// Noise of one switch that can't be told apart from a version that is often slow leads to a recheck.
#[test]
fn test_strong_noise_in_one_switch_reverts_no_good_version() {
    for (bad, of) in [(55, 239), (52, 214), (38, 118), (50, 133), (28, 31)] {
        let course = play(500, 1, |moment| match moment.stage {
            Stage::Switch => f64::from(bad) / f64::from(of),
            _ => good(moment),
        });
        let reached = [Stage::Switch, Stage::Recheck, Stage::SecondSwitch, Stage::Proven];
        assert_eq!(course.reached(), reached, "{bad} of {of}\n{}", course.lines());
    }
}

#[test]
fn test_requests_count_for_the_phase_in_which_they_began() {
    let secs = Duration::from_secs;
    let mut history = StageHistory::default();
    assert_eq!(history.phase_at(secs(1)), Phase::Trial);
    let stages = [(Stage::Trial, 2), (Stage::Switch, 10), (Stage::Recheck, 12), (Stage::SecondSwitch, 20)];
    for (stage, since) in stages {
        history.on_stage(stage, secs(since));
        // Nodes hear of a stage repeatedly.
        history.on_stage(stage, secs(since + 1));
    }
    let phases = [1, 9, 10, 11, 12, 13, 14, 19, 20, 30].map(|began| history.phase_at(secs(began)));
    assert_eq!(
        phases,
        [
            Phase::Trial,
            Phase::Trial,
            Phase::Switch,
            Phase::Switch,
            Phase::Settling,
            Phase::Settling,
            Phase::Recheck,
            Phase::Recheck,
            Phase::SecondSwitch,
            Phase::SecondSwitch,
        ]
    );
}

/// A report is one datagram, so the number of cells is limited over all phases.
#[test]
fn test_phases_do_not_multiply_the_size_of_a_report() {
    let mut counts = AnswerCounts::default();
    for phase in Phase::ALL {
        for route in 0..200 {
            for measure in [Measure::Answer, Measure::Pace] {
                for n in 0..24 {
                    let side = if n % 2 == 0 { Side::Present } else { Side::Target };
                    let took = Duration::from_millis(20 << (n / 2));
                    let route = format!("route-{route}").into();
                    counts.on_sample(&route, phase, side, Sample::Took(measure, took));
                }
            }
        }
        // Answers beyond the limit are counted together.
        assert_eq!(counts.answered_in(&[phase]), (24 * 200, 12 * 200));
    }
    let bytes = postcard::to_stdvec(&counts).expect("counts are encodable").len();
    assert!(bytes <= MAX_REPORT_BYTES, "{bytes} bytes");
}
