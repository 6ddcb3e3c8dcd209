//! Shares what the replicas of a plain service can bear between the organisations that ask for it.
//!
//! One node for each service sums what the nodes count. While answers are slow or replicas turn calls away,
//! the rate of answers shows what the replicas can bear; the estimate then follows the answers: down while
//! they are bad, up while they are good and calls are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::call_window::CallReport;
use crate::gateway::call_window::MAX_ORGANISATIONS;
use crate::gateway::call_window::SHORT_BAD_PART;
use crate::gateway::call_window::WINDOW;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::VmId;

/// Interval of decisions: a window shows only the effect of one decision.
const DECISION_INTERVAL: Duration = WINDOW;
/// How long a report counts: some of the following ones may be lost.
const REPORT_VALID_FOR: Duration = Duration::from_millis(1_200);
/// One node in this many must report before the service is taken for short; a few nodes with bad answers have
/// bad paths.
const REPORTING_PART: usize = 8;
/// Excess of bad answers above which the replicas bear less than estimated.
const BAD_PART: f64 = 0.1;
/// Excess of bad answers below which they may bear more.
const GOOD_PART: f64 = 0.04;
/// Part of the rate of answers of full replicas that may be sent to them while their queues drain: queues of
/// the objective's length are empty after about a window.
const DRAIN_PART: f64 = 0.75;
/// The same afterwards: below it, replicas that nodes choose without knowing of each other's calls hardly queue.
const STEADY_PART: f64 = 0.88;
/// What replicas bear at least, as a multiple of the rate of answers while they were not short: those who ask for
/// that rate need some room, as a window may hold more of their calls.
const USUAL_HEADROOM: f64 = 1.25;
/// Factors by which the estimate changes in a decision: while answers are somewhat bad, while it is below
/// [`STEADY_PART`], and above it, where queues soon grow.
const DECREASE: f64 = 0.95;
const INCREASE: f64 = 1.1;
const SLOW_INCREASE: f64 = 1.015;
/// Largest decrease of the rate of answers of full replicas in one decision.
const MAX_DECREASE: f64 = 0.9;
/// Decisions in a row that leave answers bad before shares end: the answers are slow for another reason than load.
const MAX_VAIN_DECISIONS: u32 = 8;
/// Standard deviations by which the calls of a window exceed the usual ones hardly ever by chance.
const CHANCE: f64 = 2.0;
/// Weight of the newest excess of bad answers in the one that shares did not lower.
const VAIN_WEIGHT: f64 = 0.2;
/// Largest expected growth of what an organisation asks for from one window to the next.
const MAX_GROWTH: f64 = 0.15;
/// Part of the capacity that organisations without a name in the reports may take off the shares.
const MAX_UNNAMED_PART: f64 = 0.5;

/// The shares of a plain service's organisations.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct CallShares {
    /// Calls per second that the replicas can bear; `None` if the service is not short.
    pub capacity: Option<f64>,
    /// Part of the calls, 0 to 1, that is admitted of organisations over their share; others send all.
    pub admitted: Vec<(OrganisationId, f64)>,
}

/// What an organisation asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Calls per second.
    pub rate: f64,
}

/// Shares `capacity` between organisations: each gets what it asks for up to an equal part. What some leave
/// goes to the others, those of the most urgent priority first. Returns the rates in the order of `asked`.
pub fn share_out(capacity: f64, asked: &[Asked]) -> Vec<f64> {
    let equal = capacity / asked.len().max(1) as f64;
    let mut shares: Vec<f64> = asked.iter().map(|asked| asked.rate.min(equal)).collect();
    let mut left = capacity - shares.iter().sum::<f64>();
    let mut by_priority: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
    for (at, asked) in asked.iter().enumerate().filter(|(_, asked)| asked.rate > equal) {
        by_priority.entry(asked.priority).or_default().push(at);
    }
    for mut group in by_priority.into_values() {
        group.sort_by(|a, b| asked[*a].rate.total_cmp(&asked[*b].rate));
        for (served, at) in group.iter().enumerate() {
            let part = left / (group.len() - served) as f64;
            let more = (asked[*at].rate - shares[*at]).min(part);
            shares[*at] += more;
            left -= more;
        }
    }
    shares
}

/// The sum of the nodes' reports of a window.
struct Totals {
    asked: BTreeMap<OrganisationId, Asked>,
    unnamed: f64,
    answered: f64,
    /// Usual number of answers per second.
    usual_answered: f64,
    excess_bad: f64,
    is_turning_away: bool,
}

impl Totals {
    fn of<'a>(reports: impl Iterator<Item = &'a CallReport>) -> Totals {
        let (mut asked, mut unnamed, mut is_turning_away) = (BTreeMap::new(), 0.0, false);
        let (mut answered, mut usual_answered, mut ended, mut bad, mut usual) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for report in reports {
            for calls in &report.asked {
                let of_organisation = asked
                    .entry(calls.organisation.clone())
                    .or_insert(Asked { priority: calls.priority, rate: 0.0 });
                of_organisation.priority = of_organisation.priority.min(calls.priority);
                of_organisation.rate += per_second(calls.calls);
            }
            unnamed += per_second(report.others);
            answered += per_second(report.answered);
            usual_answered += report.usual_answered;
            ended += f64::from(report.ended());
            bad += f64::from(report.slow) + f64::from(report.turned_away);
            usual += report.usual_slow * f64::from(report.ended());
            is_turning_away |= report.turned_away > 0;
        }
        let excess_bad = (bad - usual) / f64::max(ended, 1.0);
        Totals { asked, unnamed, answered, usual_answered, excess_bad, is_turning_away }
    }

    /// Whether load may be the reason of slow answers: replicas turn calls away, or are asked for more than usual
    /// by more than chance.
    fn shows_load(&self) -> bool {
        let asked = self.unnamed + self.asked.values().map(|asked| asked.rate).sum::<f64>();
        let usual = self.usual_answered * USUAL_HEADROOM;
        self.is_turning_away || asked > usual + CHANCE * (usual / WINDOW.as_secs_f64()).sqrt()
    }
}

/// Whether an organisation that asks for a rate is over its share by more than chance: few calls in a window vary
/// by about the square root of their number, and one call is no flood.
fn is_over(asked: f64, share: f64) -> bool {
    let (asked, share) = (asked * WINDOW.as_secs_f64(), share * WINDOW.as_secs_f64());
    asked > share + share.sqrt() + 1.0
}

/// Answers per second that replicas have shown to bear of a node.
fn borne_by(report: &CallReport) -> f64 {
    per_second(report.answered).max(report.usual_answered)
}

fn per_second(calls: u32) -> f64 {
    f64::from(calls) / WINDOW.as_secs_f64()
}

/// The newest report of a node.
#[derive(Debug)]
struct Reported {
    report: CallReport,
    at: Timestamp,
    /// Whether the capacity includes what the node's calls get.
    is_in_capacity: bool,
    /// Whether the node was told the shares since.
    is_answered: bool,
}

/// Shares one service; kept at the node that shares it.
#[derive(Debug, Default)]
pub struct CallSharer {
    reports: BTreeMap<VmId, Reported>,
    capacity: Option<f64>,
    /// Answers per second when the replicas were last full.
    when_full: f64,
    /// Whether this node has decided shares, so that those in force are its own.
    has_shared: bool,
    /// Decisions in a row after which the answers were as bad as when replicas are full.
    vain_decisions: u32,
    /// Excess of bad answers, 0 to 1, that shares did not lower; no organisation is over its share then.
    vain_bad: Option<f64>,
    decided_at: Option<Timestamp>,
    /// What organisations asked for in the window before the last decision, in calls per second.
    asked_before: BTreeMap<OrganisationId, f64>,
    shares: CallShares,
}

impl CallSharer {
    /// Handles a node's report.
    pub fn on_report(&mut self, node: &VmId, report: CallReport, now: Timestamp) {
        let is_in_capacity = self.reports.get(node).is_some_and(|known| known.is_in_capacity);
        let reported = Reported { report, at: now, is_in_capacity, is_answered: false };
        self.reports.insert(node.clone(), reported);
    }

    /// Whether no node has reported lately.
    pub fn is_idle(&self) -> bool {
        self.reports.is_empty()
    }

    /// Decides the shares if that is due in a fleet of `nodes` nodes, and returns them with the nodes that are
    /// to know them.
    pub fn decide(&mut self, nodes: usize, now: Timestamp) -> Option<(CallShares, Vec<VmId>)> {
        self.forget_silent(now);
        if self.reports.is_empty() {
            *self = CallSharer::default();
            return None;
        }
        let is_due = self.decided_at.is_none_or(|at| now >= at + DECISION_INTERVAL);
        let was_short = self.capacity.is_some();
        if is_due || !was_short {
            self.shares = self.next_shares(nodes);
            self.decided_at = Some(now);
        }
        let is_for_all = is_due && (was_short || self.capacity.is_some());
        let receivers = self.receivers(is_for_all);
        (!receivers.is_empty()).then(|| (self.shares.clone(), receivers))
    }

    fn next_shares(&mut self, nodes: usize) -> CallShares {
        let mut totals = Totals::of(self.reports.values().map(|reported| &reported.report));
        self.expect_growth(&mut totals);
        if self.is_in_vain(totals.excess_bad) && totals.asked.len() > 1 {
            return CallShares { capacity: self.capacity, admitted: Vec::new() };
        }
        self.capacity = self.next_capacity(&totals, nodes);
        self.has_shared |= self.capacity.is_some();
        let shares = self.share(&totals);
        let is_over = shares.admitted.is_empty() && totals.excess_bad < BAD_PART;
        if is_over || totals.asked.len() < 2 {
            self.capacity = None;
            return CallShares::default();
        }
        self.reports.values_mut().for_each(|reported| reported.is_in_capacity = self.capacity.is_some());
        shares
    }

    /// Whether shares do not make the answers better, so that all calls are admitted until the answers are good or
    /// much worse. The nodes go on reporting meanwhile.
    fn is_in_vain(&mut self, excess_bad: f64) -> bool {
        if let Some(vain_bad) = self.vain_bad {
            let is_over = excess_bad < BAD_PART || excess_bad >= vain_bad + SHORT_BAD_PART;
            let lower = vain_bad.min(vain_bad + (excess_bad - vain_bad) * VAIN_WEIGHT);
            self.vain_bad = (!is_over).then_some(lower);
        } else if self.capacity.is_none() || excess_bad < SHORT_BAD_PART {
            self.vain_decisions = 0;
        } else {
            self.vain_decisions += 1;
            self.vain_bad = (self.vain_decisions > MAX_VAIN_DECISIONS).then_some(excess_bad);
        }
        self.vain_bad.is_some()
    }

    /// The nodes that are to know the shares: all that reported, or those that wait for an answer.
    fn receivers(&mut self, all: bool) -> Vec<VmId> {
        let receivers = self.reports.iter_mut().filter(|(_, reported)| all || !reported.is_answered);
        let answered = receivers.map(|(node, reported)| {
            reported.is_answered = true;
            node.clone()
        });
        answered.collect()
    }

    fn next_capacity(&mut self, totals: &Totals, nodes: usize) -> Option<f64> {
        let Some(capacity) = self.capacity else {
            return self.first_capacity(totals, nodes);
        };
        let new = self.reports.values().filter(|reported| !reported.is_in_capacity);
        let by_new = new.map(|reported| borne_by(&reported.report)).sum::<f64>();
        self.when_full = f64::max(self.when_full, capacity) + by_new;
        let capacity = capacity + by_new;
        let capacity = if totals.excess_bad >= SHORT_BAD_PART {
            self.when_full = totals.answered.max(self.when_full * MAX_DECREASE);
            self.when_full * DRAIN_PART
        } else if totals.excess_bad >= BAD_PART {
            capacity * DECREASE
        } else if totals.excess_bad >= GOOD_PART {
            capacity
        } else if capacity < self.when_full * STEADY_PART {
            capacity * INCREASE
        } else {
            capacity * SLOW_INCREASE
        };
        // Fewer answers than before the shortage show that fewer calls were admitted, not what replicas bear.
        let some_room = (totals.usual_answered * USUAL_HEADROOM).min(self.when_full * STEADY_PART);
        Some(capacity.max(totals.usual_answered).max(some_room))
    }

    /// Raises what organisations ask for by as much as it grew since the last window, as the shares are for the
    /// next one.
    fn expect_growth(&mut self, totals: &mut Totals) {
        let rates = totals.asked.iter().map(|(organisation, asked)| (organisation.clone(), asked.rate));
        let before = std::mem::replace(&mut self.asked_before, rates.collect());
        for (organisation, asked) in &mut totals.asked {
            let grown = before.get(organisation).map_or(0.0, |before| asked.rate - before);
            asked.rate += grown.clamp(0.0, asked.rate * MAX_GROWTH);
        }
    }

    /// The capacity if the service has just become short. Where another node shared it before, its shares hold
    /// the replicas below their capacity.
    fn first_capacity(&mut self, totals: &Totals, nodes: usize) -> Option<f64> {
        let mut reports = self.reports.values();
        if !self.has_shared && reports.any(|reported| reported.report.is_short) {
            self.when_full = totals.answered / STEADY_PART;
            return Some(totals.answered);
        }
        let enough = nodes.div_ceil(REPORTING_PART).max(2).min(nodes);
        let is_short = totals.excess_bad >= SHORT_BAD_PART && self.reports.len() >= enough;
        // At the beginning of a flood, the answers of a window are those to the calls before it.
        self.when_full = totals.answered.max(totals.usual_answered);
        let capacity = (totals.answered * DRAIN_PART).max(totals.usual_answered * USUAL_HEADROOM);
        (is_short && totals.asked.len() > 1 && totals.shows_load()).then_some(capacity)
    }

    /// Forgets nodes that no longer report, and what their calls got.
    fn forget_silent(&mut self, now: Timestamp) {
        let mut gone = 0.0;
        self.reports.retain(|_, reported| {
            let is_valid = now < reported.at + REPORT_VALID_FOR;
            if !is_valid && reported.is_in_capacity {
                gone += per_second(reported.report.answered);
            }
            is_valid
        });
        self.capacity = self.capacity.map(|capacity| (capacity - gone).max(0.0));
        self.when_full = (self.when_full - gone).max(0.0);
    }

    fn share(&self, totals: &Totals) -> CallShares {
        let Some(capacity) = self.capacity else {
            return CallShares::default();
        };
        if !totals.shows_load() {
            return CallShares { capacity: self.capacity, admitted: Vec::new() };
        }
        let asked: Vec<Asked> = totals.asked.values().copied().collect();
        let unnamed = totals.unnamed.min(capacity * MAX_UNNAMED_PART);
        let shares = share_out(capacity - unnamed, &asked);
        let thinned =
            totals.asked.iter().zip(shares).filter(|((_, asked), share)| is_over(asked.rate, *share));
        let mut admitted: Vec<_> = thinned
            .map(|((organisation, asked), share)| (organisation.clone(), share / asked.rate))
            .collect();
        admitted.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        admitted.truncate(MAX_ORGANISATIONS);
        CallShares { capacity: self.capacity, admitted }
    }
}
