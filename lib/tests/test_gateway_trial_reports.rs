//! Schedule of the reports of nodes to the judges of a trial.

use std::time::Duration;

use leadstage_lib::gateway::trial_reports::Due;
use leadstage_lib::gateway::trial_reports::Pending;
use leadstage_lib::gateway::trial_reports::TrialReports;
use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn node(n: usize) -> VmId {
    format!("10.0.0.{n}:7003").into()
}

/// Offset of the times in these tests: the trial is known for longer than the time that first reports are
/// spread over.
const KNOWN_FOR: Duration = Duration::from_secs(10);

/// A node whose judges are nodes 1, 2 and 3, with 4 and 5 as the next candidates.
struct Reporter {
    reports: TrialReports,
    candidates: Vec<VmId>,
    counted: u64,
    nodes: usize,
}

impl Reporter {
    fn new() -> Reporter {
        Reporter {
            reports: TrialReports::default(),
            candidates: (1..6).map(node).collect(),
            counted: 1,
            nodes: 6,
        }
    }

    fn due(&mut self, own: usize, at: f64, switch_report_at: Option<f64>) -> Due {
        let switch_report_at = switch_report_at.map(|at| KNOWN_FOR + secs(at));
        let pending =
            Pending { counted: self.counted, nodes: self.nodes, since: Duration::ZERO, switch_report_at };
        let ranked: Vec<&VmId> = self.candidates.iter().collect();
        self.reports.due(&ranked, &node(own), &pending, KNOWN_FOR + secs(at))
    }

    /// Recipients of the reports of a node that is no candidate, for times `at` in tenths of a second. Nodes
    /// in `answers` acknowledge each report.
    fn reported_to(&mut self, at: impl Iterator<Item = u32>, answers: &[usize]) -> Vec<(u32, Vec<usize>)> {
        let mut reported = Vec::new();
        for tenth in at {
            let due = self.due(9, f64::from(tenth) / 10.0, None).to;
            let due: Vec<usize> = (1..6).filter(|n| due.contains(&node(*n))).collect();
            for n in due.iter().filter(|n| answers.contains(n)) {
                self.reports.on_acknowledged(&node(*n), self.counted);
            }
            if !due.is_empty() {
                reported.push((tenth, due));
            }
        }
        reported
    }
}

#[test]
fn test_a_lost_report_is_resent_soon() {
    let mut reporter = Reporter::new();
    assert_eq!(reporter.reported_to(0..1, &[2, 3]), [(0, vec![1, 2, 3])]);
    // The two judges that have the report get another one a little later, although the node has no new
    // samples.
    assert_eq!(reporter.reported_to(1..6, &[1, 2, 3]), [(4, vec![1]), (5, vec![2, 3])]);
    reporter.counted += 1;
    assert_eq!(reporter.reported_to(6..10, &[1, 2, 3]), [(8, vec![1]), (9, vec![2, 3])]);
}

#[test]
fn test_a_silent_judge_is_replaced_before_its_death_is_known() {
    let mut reporter = Reporter::new();
    reporter.reported_to(0..10, &[1, 2, 3]);
    let reported = reporter.reported_to(10..24, &[2, 3, 4]);
    let first = reported.iter().find(|(_, due)| due.contains(&4)).expect("the next candidate gets a report");
    assert!(first.0 <= 21, "{reported:?}");
    // Reports are still sent to the silent judge, which is used again once it answers.
    reporter.reported_to(24..40, &[1, 2, 3, 4]);
    let reported = reporter.reported_to(40..60, &[1, 2, 3]);
    assert!(reported.iter().any(|(_, due)| due.contains(&1)), "{reported:?}");
    assert!(!reported.iter().any(|(_, due)| due.contains(&4)), "{reported:?}");
}

#[test]
fn test_a_judge_reports_to_the_others() {
    let mut reporter = Reporter::new();
    let due = reporter.due(2, 0.0, None);
    assert_eq!(due, Due { to: vec![node(1), node(3)], judges: true });
    let due = Reporter::new().due(4, 0.0, None);
    assert_eq!(due, Due { to: vec![node(1), node(2), node(3)], judges: false });
}

#[test]
fn test_all_nodes_report_once_in_the_switch() {
    let mut reporter = Reporter::new();
    // In a fleet of this size, nodes without new samples report every 5 s.
    reporter.nodes = 1_000;
    reporter.reported_to(0..1, &[1, 2, 3]);
    assert_eq!(reporter.due(9, 1.1, Some(1.2)).to, []);
    let at = (12..20).map(|tenth| f64::from(tenth) / 10.0);
    let mut recipients: Vec<VmId> = at.flat_map(|at| reporter.due(9, at, Some(1.2)).to).collect();
    recipients.sort();
    assert_eq!(recipients, (1..4).map(node).collect::<Vec<_>>());
}

/// If a thousand nodes learn of a trial at the same time, their reports are spread over half a second: in a
/// tenth of a second no judge gets many more than a fifth of them.
#[test]
fn test_first_reports_are_spread() {
    let candidates: Vec<VmId> = (0..3).map(node).collect();
    let ranked: Vec<&VmId> = candidates.iter().collect();
    let mut fleet: Vec<(VmId, TrialReports)> = (0..1_000)
        .map(|n| (format!("10.1.{}.{}:7003", n / 250, n % 250).into(), TrialReports::default()))
        .collect();
    let pending = Pending { counted: 1, nodes: 1_000, since: Duration::ZERO, switch_report_at: None };
    let sent: Vec<usize> = (0..7)
        .map(|tenth| {
            let now = secs(f64::from(tenth) / 10.0);
            let due = fleet.iter_mut().map(|(own, reports)| {
                let to = reports.due(&ranked, own, &pending, now).to;
                to.iter().for_each(|judge| reports.on_acknowledged(judge, 1));
                to
            });
            due.filter(|to| to.contains(&candidates[0])).count()
        })
        .collect();
    assert!(sent.iter().all(|sent| *sent < 260), "{sent:?}");
    assert_eq!(sent.iter().sum::<usize>(), 1_000, "{sent:?}");
}

#[test]
fn test_the_first_ranks_are_those_of_the_highest_hashes() {
    let members: Vec<VmId> = (0..50).map(node).collect();
    let ranked = rendezvous::ranked("k", &members, 3);
    assert_eq!(rendezvous::pick("k", &members), Some(ranked[0]));
    let mut sorted: Vec<&VmId> = members.iter().collect();
    sorted.sort_by_key(|member| std::cmp::Reverse(rendezvous::weight("k", member)));
    assert_eq!(ranked, sorted[..3]);
    assert_eq!(rendezvous::ranked("k", &members[..2], 3).len(), 2);
}
