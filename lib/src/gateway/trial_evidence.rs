//! Evidence of a judge: the counts that the nodes of the fleet have reported in the trial of a new version.
//!
//! Reports are cumulative since the start of the sender's process, so a report may be lost, duplicated or
//! reordered. Counts are kept per process start: the answers that callers got still count after the node has
//! ended or restarted. Each report has its sender's timestamp, since it may have waited in the queue of a
//! suspended judge.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::answer_counts::AnswerCounts;
use crate::ids::UnixMillis;
use crate::ids::VmId;

/// Fraction of the healthy nodes that counts as most of them.
const MOST_OF_HEALTHY: f64 = 0.9;
/// Fraction of the recent fleet size that counts as half of it. Less than 0.5, since after the loss of
/// exactly half of the nodes the reports of a few others are missing as well.
const HALF_OF_FLEET: f64 = 0.45;

/// What a node has counted since its process started.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct TrialReport {
    /// When its process started.
    pub started: UnixMillis,
    /// Time from the order to the report.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub as_of: Duration,
    /// The answers.
    pub counts: AnswerCounts,
}

/// A node's view of the other nodes.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Nodes that are considered alive and are not suspected.
    pub healthy: Vec<VmId>,
    /// Recent number of nodes, including this one; `None` if this node has seeds but has reached no other
    /// node yet.
    pub size: Option<usize>,
}

/// How much of the fleet a judge has recent reports of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Coverage {
    /// Less than half of the recent fleet size.
    Few,
    /// About half of the recent fleet size or more, but not nearly all healthy nodes.
    Half,
    /// About half of the recent fleet size or more, and nearly all healthy nodes.
    Most,
}

/// The reports that a judge has received from other nodes.
#[derive(Clone, Debug, Default)]
pub struct TrialEvidence {
    by_node: HashMap<VmId, BTreeMap<UnixMillis, TrialReport>>,
    sum: AnswerCounts,
}

impl TrialEvidence {
    /// Adds a report of a node. A report that is older than the last one of the same process is ignored.
    pub fn add_report(&mut self, node: VmId, report: TrialReport) {
        let known = self.by_node.entry(node).or_default().entry(report.started).or_default();
        if report.as_of >= known.as_of {
            self.sum.add_delta(&known.counts, &report.counts);
            *known = report;
        }
    }

    /// All counts, including those of the judge itself.
    pub fn all(&self, own: &AnswerCounts) -> AnswerCounts {
        let mut all = self.sum.clone();
        all.add(own);
        all
    }

    /// Number of nodes that have reported.
    pub fn nodes(&self) -> usize {
        self.by_node.len()
    }

    /// How much of the fleet has sent a report dated `since` or later, as time since the order.
    pub fn coverage(&self, fleet: &FleetView, since: Duration) -> Coverage {
        let reporting = 1 + fleet.healthy.iter().filter(|node| self.has_report_since(node, since)).count();
        match fleet.size {
            Some(size) if reporting as f64 >= HALF_OF_FLEET * size as f64 => {
                let healthy = fleet.healthy.len() + 1;
                if reporting as f64 >= MOST_OF_HEALTHY * healthy as f64 {
                    Coverage::Most
                } else {
                    Coverage::Half
                }
            }
            _ => Coverage::Few,
        }
    }

    fn has_report_since(&self, node: &VmId, since: Duration) -> bool {
        let reports = self.by_node.get(node).into_iter().flat_map(BTreeMap::values);
        reports.map(|report| report.as_of).max().is_some_and(|as_of| as_of >= since)
    }
}
