//! What the nodes of a fleet have counted in the trial of a new version, as one that judges it has heard.
//!
//! A node reports all that it has counted since it began, so a report may be lost, come twice or be overtaken. Counts are
//! kept by the run of the process that made them: what callers were given stays true after its node has ended or
//! started again. Each report is dated by its sender, as it may have waited in a queue of a judge that was suspended.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::answer_counts::AnswerCounts;
use crate::ids::UnixMillis;
use crate::ids::VmId;

/// The part of the nodes that seem to be well which most of them are.
const MOST_OF_HEALTHY: f64 = 0.9;
/// The part of the nodes that there were lately which half of them is: where just half of them has ended, a few of the
/// others are not heard, either.
const HALF_OF_FLEET: f64 = 0.45;

/// What a node has counted since its process began.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct TrialReport {
    /// When its process began.
    pub started: UnixMillis,
    /// Time from the order to the report.
    pub as_of: Duration,
    /// The answers.
    pub counts: AnswerCounts,
}

/// The other nodes, as one of them knows.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Those that are taken to be alive and are not suspected.
    pub healthy: Vec<VmId>,
    /// How many nodes there were lately, this one included; `None` where it was told of others and has met none.
    pub size: Option<usize>,
}

/// How much of the fleet a judge has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Coverage {
    /// Less than half of the nodes that there were lately.
    Few,
    /// Half of them, nearly.
    Half,
    /// And nearly all that seem to be well.
    Most,
}

/// What a judge has heard of other nodes.
#[derive(Clone, Debug, Default)]
pub struct TrialEvidence {
    by_node: HashMap<VmId, BTreeMap<UnixMillis, TrialReport>>,
    sum: AnswerCounts,
}

impl TrialEvidence {
    /// A node reports.
    pub fn add_report(&mut self, node: VmId, report: TrialReport) {
        let known = self.by_node.entry(node).or_default().entry(report.started).or_default();
        if report.as_of >= known.as_of {
            self.sum.add_delta(&known.counts, &report.counts);
            *known = report;
        }
    }

    /// All counts, with those of the judge itself.
    pub fn all(&self, own: &AnswerCounts) -> AnswerCounts {
        let mut all = self.sum.clone();
        all.add(own);
        all
    }

    /// How many nodes have reported.
    pub fn nodes(&self) -> usize {
        self.by_node.len()
    }

    /// How much of the fleet was heard whose reports are of `since` or later, as time from the order.
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
