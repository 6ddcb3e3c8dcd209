//! Tracks the generations of requests that arrived at this VM, and reports them to the pools' leads.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::pool_event::RunningReport;

use crate::control::Control;
use crate::control::ControlRef;
use crate::control_message::RunningGeneration;
use crate::engine_polls;
use crate::leads;
use crate::leads::PoolKey;
use crate::peers;

/// Interval between two reports of running generations. The lead extrapolates between reports.
/// docs/CAPACITY.md states the cost of this interval, and docs/design/placement.md shows that the policy does
/// not need a shorter one.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(3_000);
/// The end of a generation that no lead accepted within this time is dropped; the lead then abandons the
/// generation without it.
const END_RETENTION: Duration = Duration::from_secs(10);

/// The state of one generation in a report to a lead.
#[derive(Clone, Debug)]
pub struct GenerationReport {
    /// The generation.
    pub running: RunningGeneration,
    /// The number of tokens delivered.
    pub tokens: u32,
    /// How it ended; `None` while it runs.
    pub ended: Option<EndKind>,
    /// Whether the lead already has the complete record, so that only the token count is sent.
    pub brief: bool,
}

struct OwnGeneration {
    running: RunningGeneration,
    announced_to: Option<VmId>,
}

struct PendingEnd {
    report: GenerationReport,
    since: Timestamp,
}

/// The running generations of this entry, and the ends that are not yet reported.
#[derive(Default)]
pub struct EntryGenerations {
    own: HashMap<GenerationId, OwnGeneration>,
    ends: Vec<PendingEnd>,
    last_report: Timestamp,
}

impl EntryGenerations {
    /// Adds a generation that was dispatched.
    pub fn start(&mut self, running: RunningGeneration) {
        let announced_to = running.known_to.clone();
        self.own.insert(running.request.generation, OwnGeneration { running, announced_to });
    }

    /// Includes the complete records of these generations in the next report, as their leads requested.
    pub fn resend_in_full(&mut self, unknown: &[GenerationId]) {
        for generation in unknown {
            if let Some(own) = self.own.get_mut(generation) {
                own.announced_to = None;
            }
        }
    }
}

/// Ends a generation at this entry. Unless it finished normally it is also cancelled at its engine, which may
/// still run it if only the connection was lost.
pub fn end(control: &ControlRef, generation: GenerationId, how: EndKind) {
    let mut control = control.borrow_mut();
    let Some(own) = control.entry_generations.own.remove(&generation) else {
        return;
    };
    if how != EndKind::Finished
        && let Some(address) = control.directory.get(&own.running.upstream).map(|r| r.address)
    {
        tokio::task::spawn_local(control.engines.clone().cancel(address, generation));
    }
    let tokens = own.running.tokens.load(Ordering::Relaxed);
    let report = GenerationReport {
        running: own.running,
        tokens,
        ended: Some(how),
        brief: own.announced_to.is_some(),
    };
    let since = control.now();
    control.entry_generations.ends.push(PendingEnd { report, since });
}

/// Reports ends at once, and running generations every [`REPORT_INTERVAL`]; a lead that does not have a
/// generation's record yet gets it at once.
pub fn tick(control: &ControlRef) {
    let batches = collect(&mut control.borrow_mut());
    for ((lead, key), reports) in batches {
        if lead == control.borrow().settings.vm {
            let unknown = apply_report(&mut control.borrow_mut(), &lead, &key, &reports);
            control.borrow_mut().entry_generations.resend_in_full(&unknown);
            continue;
        }
        let control = control.clone();
        tokio::task::spawn_local(async move {
            match peers::report(&control, &lead, &key, &reports).await {
                Ok(unknown) => control.borrow_mut().entry_generations.resend_in_full(&unknown),
                Err(_) => requeue(&mut control.borrow_mut(), reports),
            }
        });
    }
}

type Batches = BTreeMap<(VmId, PoolKey), Vec<GenerationReport>>;

fn collect(control: &mut Control) -> Batches {
    let now = control.now();
    let mut batches = Batches::new();
    let ends = std::mem::take(&mut control.entry_generations.ends);
    for end in ends.into_iter().filter(|e| now.saturating_sub(e.since) < END_RETENTION) {
        add_to_batch(control, &mut batches, end.report);
    }
    let due = now.saturating_sub(control.entry_generations.last_report) >= REPORT_INTERVAL;
    if due {
        control.entry_generations.last_report = now;
    }
    let reports: Vec<(Option<VmId>, GenerationReport)> = control
        .entry_generations
        .own
        .values()
        .map(|own| (own.announced_to.clone(), own_report(own)))
        .collect();
    for (announced_to, mut report) in reports {
        let Some(lead) = lead_for(control, &report) else {
            continue;
        };
        report.brief = announced_to.as_ref() == Some(&lead);
        if report.brief && !due {
            continue;
        }
        if let Some(own) = control.entry_generations.own.get_mut(&report.running.request.generation) {
            own.announced_to = Some(lead.clone());
        }
        batches.entry((lead, pool_of(&report))).or_default().push(report);
    }
    batches
}

fn own_report(own: &OwnGeneration) -> GenerationReport {
    let tokens = own.running.tokens.load(Ordering::Relaxed);
    GenerationReport { running: own.running.clone(), tokens, ended: None, brief: false }
}

fn pool_of(report: &GenerationReport) -> PoolKey {
    PoolKey { model: report.running.model.clone(), hall: report.running.hall.clone() }
}

fn lead_for(control: &Control, report: &GenerationReport) -> Option<VmId> {
    leads::lead_of(control, &pool_of(report), &[])
}

fn add_to_batch(control: &Control, batches: &mut Batches, report: GenerationReport) {
    if let Some(lead) = lead_for(control, &report) {
        batches.entry((lead, pool_of(&report))).or_default().push(report);
    }
}

/// Handles a report that did not reach the lead: ends are sent again, and running generations are sent in
/// full with the next report.
fn requeue(control: &mut Control, reports: Vec<GenerationReport>) {
    let since = control.now();
    for report in reports {
        if report.ended.is_some() {
            control.entry_generations.ends.push(PendingEnd { report, since });
        } else if let Some(own) = control.entry_generations.own.get_mut(&report.running.request.generation) {
            own.announced_to = None;
        }
    }
}

/// Applies an entry's report to a pool that this VM leads. Returns the generations whose complete records the
/// lead needs.
pub fn apply_report(
    control: &mut Control,
    entry: &VmId,
    key: &PoolKey,
    reports: &[GenerationReport],
) -> Vec<GenerationId> {
    let mut unknown = Vec::new();
    for report in reports {
        let generation = report.running.request.generation;
        if report.brief && report.ended.is_none() && !leads::has_generation(control, key, generation) {
            unknown.push(generation);
            continue;
        }
        match report.ended {
            Some(how) => {
                leads::handle(control, key, PoolEvent::Ended { generation, tokens: report.tokens, how });
                if how == EndKind::Lost {
                    engine_polls::on_engine_lost(control, key, &report.running.upstream);
                }
            }
            None if report.brief => {
                leads::handle(control, key, PoolEvent::Progress { generation, tokens: report.tokens });
            }
            None => {
                let mut request = report.running.request.clone();
                request.entry = entry.clone();
                let engine = report.running.upstream.clone();
                let running = RunningReport { request, engine, tokens: report.tokens };
                leads::handle(control, key, PoolEvent::Running(running));
            }
        }
    }
    unknown
}
