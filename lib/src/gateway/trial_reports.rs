//! Schedules a node's reports of its counts in the trial of a new version: which judges get one, and when.
//!
//! Several nodes judge at the same time, so that judging continues while the failure of one is not yet
//! detected. Judges acknowledge reports: a lost report is resent soon, and a silent judge is replaced by the
//! next candidate without waiting for the membership to declare it dead.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Number of nodes that judge at the same time.
pub const JUDGE_COUNT: usize = 3;
/// Number of nodes that may be used as judges: if all of them are silent, this node itself is cut off.
pub const CANDIDATES: usize = 8;
/// Time between two reports of a node that has new samples.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reports of a node without new samples, in a small fleet.
const MIN_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports of a node without new samples in a large fleet, per node of the fleet, so that a
/// judge gets no more than about 200 of these reports a second.
const IDLE_INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
/// If all nodes have something to report at the same time, their reports to a judge are spread over this
/// time per node of the fleet.
const SPREAD_PER_NODE: Duration = Duration::from_micros(500);
/// A judge that has acknowledged nothing for this long is considered silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Number of samples that a node has counted.
pub type SampleCount = u64;

/// State of a node's reports to one judge.
#[derive(Clone, Debug)]
struct SentReport {
    sent_at: Timestamp,
    acknowledged: SampleCount,
    /// When the first of the reports that have got no acknowledgement was sent.
    unanswered_since: Option<Timestamp>,
}

impl SentReport {
    fn is_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since.is_some_and(|since| since + SILENT_AFTER <= now)
    }
}

/// Inputs of the decision whether reports are due.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// Number of samples that the node has counted.
    pub counted: SampleCount,
    /// Number of nodes of the fleet.
    pub nodes: usize,
    /// When this node learned of the trial.
    pub since: Timestamp,
    /// Time from which on each node sends one more report, whether it has new samples or not.
    pub switch_report_at: Option<Timestamp>,
}

/// What a node has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Judges to send a report to.
    pub to: Vec<VmId>,
    /// Whether the node is a judge itself.
    pub judges: bool,
}

/// State of a node's reports to the judges of one trial.
#[derive(Clone, Debug, Default)]
pub struct TrialReports {
    sent: BTreeMap<VmId, SentReport>,
}

/// Maximum age of a judge's last report of a node if at most one report is lost.
pub fn max_report_age(nodes: usize) -> Duration {
    2 * idle_interval(nodes) + REPORT_INTERVAL
}

fn idle_interval(nodes: usize) -> Duration {
    MIN_IDLE_INTERVAL.max(IDLE_INTERVAL_PER_NODE * nodes as u32)
}

impl TrialReports {
    /// Returns the judges that a report is due to, and counts these reports as sent. `ranked` holds the
    /// [`CANDIDATES`] in the order of their rank and may include this node.
    pub fn due(&mut self, ranked: &[&VmId], own: &VmId, pending: &Pending, now: Timestamp) -> Due {
        let mut due = Due::default();
        let mut recipients = Vec::new();
        let mut answering = 0;
        for node in ranked {
            if answering == JUDGE_COUNT {
                break;
            }
            if *node == own {
                due.judges = true;
                answering += 1;
                continue;
            }
            recipients.push(*node);
            let sent = self.sent.get(*node);
            answering += usize::from(!sent.is_some_and(|sent| sent.is_silent(now)));
            let spread = spread(own, node, pending.nodes);
            let is_due = match sent {
                Some(sent) => is_due(sent, pending, spread, now),
                None => pending.since + spread <= now,
            };
            if is_due {
                due.to.push((*node).clone());
            }
        }
        self.sent.retain(|node, _| recipients.contains(&node));
        due.to.iter().for_each(|node| self.on_sent(node, now));
        due
    }

    fn on_sent(&mut self, judge: &VmId, now: Timestamp) {
        let sent = self.sent.entry(judge.clone()).or_insert(SentReport {
            sent_at: now,
            acknowledged: 0,
            unanswered_since: None,
        });
        sent.sent_at = now;
        sent.unanswered_since.get_or_insert(now);
    }

    /// A judge acknowledged a report of `counted` samples.
    pub fn on_acknowledged(&mut self, judge: &VmId, counted: SampleCount) {
        if let Some(sent) = self.sent.get_mut(judge) {
            sent.acknowledged = sent.acknowledged.max(counted);
            sent.unanswered_since = None;
        }
    }
}

/// Delay of a node's reports to a judge, which differs between nodes.
fn spread(own: &VmId, judge: &VmId, nodes: usize) -> Duration {
    let part = rendezvous::weight(own, judge) as f64 / u64::MAX as f64;
    (SPREAD_PER_NODE * nodes as u32).mul_f64(part)
}

fn is_due(sent: &SentReport, pending: &Pending, spread: Duration, now: Timestamp) -> bool {
    let has_more = sent.acknowledged < pending.counted && !sent.is_silent(now);
    let interval = if has_more { REPORT_INTERVAL } else { idle_interval(pending.nodes) };
    let is_switch_report_due =
        pending.switch_report_at.is_some_and(|at| sent.sent_at < at && at + spread <= now);
    is_switch_report_due || sent.sent_at + interval <= now
}
