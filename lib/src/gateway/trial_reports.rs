//! To whom, and when, a node reports what it has counted in the trial of a new version.
//!
//! Several nodes judge at once, so that the others see on while the death of one is not believed yet. Judges
//! acknowledge reports: what was lost is sent again soon, and a judge that is silent is replaced by the next one without a
//! wait for the fleet's word on it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Nodes that judge at once.
pub const JUDGE_COUNT: usize = 3;
/// Nodes that may be asked to judge: where all of them are silent it is this node that is cut off.
pub const CANDIDATES: usize = 8;
/// Time between two reports of a node that has counted more.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reports of a node that has not, in a small fleet.
const MIN_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// In a large one, for each node, so that a judge gets no more than some 200 of these a second.
const IDLE_INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
/// Where all nodes have something to report at once, a judge gets the reports spread over this, for each node.
const SPREAD_PER_NODE: Duration = Duration::from_micros(500);
/// A judge that acknowledges nothing for so long is silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// How many samples a node has counted.
pub type SampleCount = u64;

/// What a node has told a judge.
#[derive(Clone, Debug)]
struct SentReport {
    sent_at: Timestamp,
    acknowledged: SampleCount,
    /// When the first report was sent that nothing was heard to.
    unanswered_since: Option<Timestamp>,
}

impl SentReport {
    fn is_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since.is_some_and(|since| since + SILENT_AFTER <= now)
    }
}

/// What there is to report.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// What the node has counted.
    pub counted: SampleCount,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// When this node learnt of the trial.
    pub since: Timestamp,
    /// All nodes report once more from this moment on.
    pub switch_report_at: Option<Timestamp>,
}

/// What a node is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Report to these.
    pub to: Vec<VmId>,
    /// It is one of the judges itself.
    pub judges: bool,
}

/// What a node has told the judges of one trial.
#[derive(Clone, Debug, Default)]
pub struct TrialReports {
    sent: BTreeMap<VmId, SentReport>,
}

/// A report is no older than this where none is lost, or only one.
pub fn max_report_age(nodes: usize) -> Duration {
    2 * idle_interval(nodes) + REPORT_INTERVAL
}

fn idle_interval(nodes: usize) -> Duration {
    MIN_IDLE_INTERVAL.max(IDLE_INTERVAL_PER_NODE * nodes as u32)
}

impl TrialReports {
    /// To whom a report is due, which counts as sent. `ranked` are the [`CANDIDATES`], perhaps this node among
    /// them, the first one first.
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

    /// A judge has a report of so many samples.
    pub fn on_acknowledged(&mut self, judge: &VmId, counted: SampleCount) {
        if let Some(sent) = self.sent.get_mut(judge) {
            sent.acknowledged = sent.acknowledged.max(counted);
            sent.unanswered_since = None;
        }
    }
}

/// How much later than others a node reports to a judge.
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
