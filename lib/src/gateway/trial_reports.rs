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
pub const JUDGES: usize = 3;
/// Nodes that may be asked to judge: where all of them are silent it is this node that is cut off.
pub const CANDIDATES: usize = 8;
/// Time between two reports of a node that has counted more.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reports of a node that has not, in a small fleet.
const LEAST_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// In a large one, for each node, so that a judge gets no more than some 200 of these a second.
const IDLE_INTERVAL_A_NODE: Duration = Duration::from_millis(5);
/// Where all nodes have something to report at once, a judge gets the reports spread over this, for each node.
const SPREAD_A_NODE: Duration = Duration::from_micros(500);
/// A judge that acknowledges nothing for so long is silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// How many samples a node has counted.
pub type SampleCount = u64;

/// What a node has told a judge.
#[derive(Clone, Debug)]
struct Told {
    at: Timestamp,
    acknowledged: SampleCount,
    /// When the first report was sent that nothing was heard to.
    unanswered_since: Option<Timestamp>,
}

impl Told {
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
    pub roll_call: Option<Timestamp>,
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
    told: BTreeMap<VmId, Told>,
}

/// A report is no older than this where none is lost, or only one.
pub fn fresh_for(nodes: usize) -> Duration {
    2 * idle_interval(nodes) + REPORT_INTERVAL
}

fn idle_interval(nodes: usize) -> Duration {
    LEAST_IDLE_INTERVAL.max(IDLE_INTERVAL_A_NODE * nodes as u32)
}

impl TrialReports {
    /// To whom a report is due, which counts as sent. `ranked` are the [`CANDIDATES`], perhaps this node among
    /// them, the first one first.
    pub fn due(&mut self, ranked: &[&VmId], own: &VmId, pending: &Pending, now: Timestamp) -> Due {
        let mut due = Due::default();
        let mut asked = Vec::new();
        let mut answering = 0;
        for node in ranked {
            if answering == JUDGES {
                break;
            }
            if *node == own {
                due.judges = true;
                answering += 1;
                continue;
            }
            asked.push(*node);
            let told = self.told.get(*node);
            answering += usize::from(!told.is_some_and(|told| told.is_silent(now)));
            let spread = spread(own, node, pending.nodes);
            let is_due = match told {
                Some(told) => is_due(told, pending, spread, now),
                None => pending.since + spread <= now,
            };
            if is_due {
                due.to.push((*node).clone());
            }
        }
        self.told.retain(|node, _| asked.contains(&node));
        due.to.iter().for_each(|node| self.on_sent(node, now));
        due
    }

    fn on_sent(&mut self, judge: &VmId, now: Timestamp) {
        let told = self.told.entry(judge.clone()).or_insert(Told {
            at: now,
            acknowledged: 0,
            unanswered_since: None,
        });
        told.at = now;
        told.unanswered_since.get_or_insert(now);
    }

    /// A judge has a report of so many samples.
    pub fn on_acknowledged(&mut self, judge: &VmId, counted: SampleCount) {
        if let Some(told) = self.told.get_mut(judge) {
            told.acknowledged = told.acknowledged.max(counted);
            told.unanswered_since = None;
        }
    }
}

/// How much later than others a node reports to a judge.
fn spread(own: &VmId, judge: &VmId, nodes: usize) -> Duration {
    let part = rendezvous::weight(own, judge) as f64 / u64::MAX as f64;
    (SPREAD_A_NODE * nodes as u32).mul_f64(part)
}

fn is_due(told: &Told, pending: &Pending, spread: Duration, now: Timestamp) -> bool {
    let has_news = told.acknowledged < pending.counted && !told.is_silent(now);
    let interval = if has_news { REPORT_INTERVAL } else { idle_interval(pending.nodes) };
    let is_called = pending.roll_call.is_some_and(|at| told.at < at && at + spread <= now);
    is_called || told.at + interval <= now
}
