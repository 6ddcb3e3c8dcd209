//! The generations of this VM's own callers, and their reports to the pools' leads.

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

/// Time between two reports of running generations. The lead extrapolates between them;
/// docs/CAPACITY.md has what the interval costs and docs/design/placement.md that the
/// policy does not need a shorter one.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(3_000);
/// An end that no lead took is dropped after this; the lead gives it up by itself.
const END_RETENTION: Duration = Duration::from_secs(10);

/// A generation in a report.
#[derive(Clone, Debug)]
pub struct GenerationReport {
    /// The generation.
    pub running: RunningGeneration,
    /// Tokens delivered.
    pub tokens: u32,
    /// How it ended, if it did.
    pub ended: Option<EndKind>,
    /// Whether the lead has all about it, so that only the tokens need to be sent.
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

/// The generations.
#[derive(Default)]
pub struct EntryGenerations {
    own: HashMap<GenerationId, OwnGeneration>,
    ends: Vec<PendingEnd>,
    last_report: Timestamp,
}

impl EntryGenerations {
    /// A generation was dispatched.
    pub fn start(&mut self, running: RunningGeneration) {
        let announced_to = running.known_to.clone();
        self.own.insert(running.request.generation, OwnGeneration { running, announced_to });
    }

    /// Leads that ask for all about these generations get it with the next report.
    pub fn resend_in_full(&mut self, unknown: &[GenerationId]) {
        for generation in unknown {
            if let Some(own) = self.own.get_mut(generation) {
                own.announced_to = None;
            }
        }
    }
}

/// A generation is over for this entry. Unless it ended by itself it is cancelled at
/// its engine, which may only have been out of reach.
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

/// Sends ends at once, and running generations once in the interval; at once to a lead
/// that does not know them.
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

/// The lead was not reached: ends are sent again, running ones come with the next report.
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

/// Takes an entry's report into a pool that this VM leads; returns the generations of
/// which the lead needs to know all.
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
