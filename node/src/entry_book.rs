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
use crate::control_message::Running;
use crate::engine_polls;
use crate::leads;
use crate::leads::PoolKey;
use crate::peers;

/// Time between two reports of running generations. The lead extrapolates between them;
/// docs/CAPACITY.md has what the interval costs and docs/design/placement.md that the
/// policy does not need a shorter one.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(3_000);
/// An end that no lead took is dropped after this; the lead gives it up by itself.
const KEEP_ENDS: Duration = Duration::from_secs(10);

/// A generation in a report.
#[derive(Clone, Debug)]
pub struct Line {
    /// The generation.
    pub running: Running,
    /// Tokens delivered.
    pub tokens: u32,
    /// How it ended, if it did.
    pub ended: Option<EndKind>,
    /// Whether the lead has all about it, so that only the tokens need to be sent.
    pub brief: bool,
}

struct Own {
    running: Running,
    told: Option<VmId>,
}

struct End {
    line: Line,
    since: Timestamp,
}

/// The generations.
#[derive(Default)]
pub struct EntryBook {
    own: HashMap<GenerationId, Own>,
    ends: Vec<End>,
    last_report: Timestamp,
}

impl EntryBook {
    /// A generation was dispatched.
    pub fn start(&mut self, running: Running) {
        let told = running.known_to.clone();
        self.own.insert(running.request.generation, Own { running, told });
    }

    /// Leads that ask for all about these generations get it with the next report.
    pub fn tell_again(&mut self, unknown: &[GenerationId]) {
        for generation in unknown {
            if let Some(own) = self.own.get_mut(generation) {
                own.told = None;
            }
        }
    }
}

/// A generation is over for this entry. Unless it ended by itself it is cancelled at
/// its engine, which may only have been out of reach.
pub fn end(control: &ControlRef, generation: GenerationId, how: EndKind) {
    let mut control = control.borrow_mut();
    let Some(own) = control.book.own.remove(&generation) else {
        return;
    };
    if how != EndKind::Finished
        && let Some(address) = control.directory.get(&own.running.upstream).map(|r| r.address)
    {
        tokio::task::spawn_local(control.engines.clone().cancel(address, generation));
    }
    let tokens = own.running.tokens.load(Ordering::Relaxed);
    let line = Line { running: own.running, tokens, ended: Some(how), brief: own.told.is_some() };
    let since = control.now();
    control.book.ends.push(End { line, since });
}

/// Sends ends at once, and running generations once in the interval; at once to a lead
/// that does not know them.
pub fn tick(control: &ControlRef) {
    let batches = collect(&mut control.borrow_mut());
    for ((lead, key), lines) in batches {
        if lead == control.borrow().settings.vm {
            let unknown = take_report(&mut control.borrow_mut(), &lead, &key, &lines);
            control.borrow_mut().book.tell_again(&unknown);
            continue;
        }
        let control = control.clone();
        tokio::task::spawn_local(async move {
            match peers::report(&control, &lead, &key, &lines).await {
                Ok(unknown) => control.borrow_mut().book.tell_again(&unknown),
                Err(_) => give_back(&mut control.borrow_mut(), lines),
            }
        });
    }
}

type Batches = BTreeMap<(VmId, PoolKey), Vec<Line>>;

fn collect(control: &mut Control) -> Batches {
    let now = control.now();
    let mut batches = Batches::new();
    let ends = std::mem::take(&mut control.book.ends);
    for end in ends.into_iter().filter(|e| now.saturating_sub(e.since) < KEEP_ENDS) {
        add(control, &mut batches, end.line);
    }
    let due = now.saturating_sub(control.book.last_report) >= REPORT_INTERVAL;
    if due {
        control.book.last_report = now;
    }
    let lines: Vec<(Option<VmId>, Line)> =
        control.book.own.values().map(|own| (own.told.clone(), own_line(own))).collect();
    for (told, mut line) in lines {
        let Some(lead) = lead_for(control, &line) else {
            continue;
        };
        line.brief = told.as_ref() == Some(&lead);
        if line.brief && !due {
            continue;
        }
        if let Some(own) = control.book.own.get_mut(&line.running.request.generation) {
            own.told = Some(lead.clone());
        }
        batches.entry((lead, pool_of(&line))).or_default().push(line);
    }
    batches
}

fn own_line(own: &Own) -> Line {
    let tokens = own.running.tokens.load(Ordering::Relaxed);
    Line { running: own.running.clone(), tokens, ended: None, brief: false }
}

fn pool_of(line: &Line) -> PoolKey {
    PoolKey { model: line.running.model.clone(), hall: line.running.hall.clone() }
}

fn lead_for(control: &Control, line: &Line) -> Option<VmId> {
    leads::lead_of(control, &pool_of(line), &[])
}

fn add(control: &Control, batches: &mut Batches, line: Line) {
    if let Some(lead) = lead_for(control, &line) {
        batches.entry((lead, pool_of(&line))).or_default().push(line);
    }
}

/// The lead was not reached: ends are sent again, running ones come with the next report.
fn give_back(control: &mut Control, lines: Vec<Line>) {
    let since = control.now();
    for line in lines {
        if line.ended.is_some() {
            control.book.ends.push(End { line, since });
        } else if let Some(own) = control.book.own.get_mut(&line.running.request.generation) {
            own.told = None;
        }
    }
}

/// Takes an entry's report into a pool that this VM leads; returns the generations of
/// which the lead needs to know all.
pub fn take_report(control: &mut Control, entry: &VmId, key: &PoolKey, lines: &[Line]) -> Vec<GenerationId> {
    let mut unknown = Vec::new();
    for line in lines {
        let generation = line.running.request.generation;
        if line.brief && line.ended.is_none() && !leads::knows(control, key, generation) {
            unknown.push(generation);
            continue;
        }
        match line.ended {
            Some(how) => {
                leads::handle(control, key, PoolEvent::Ended { generation, tokens: line.tokens, how });
                if how == EndKind::Lost {
                    engine_polls::on_lost(control, key, &line.running.upstream);
                }
            }
            None if line.brief => {
                leads::handle(control, key, PoolEvent::Progress { generation, tokens: line.tokens });
            }
            None => {
                let mut request = line.running.request.clone();
                request.entry = entry.clone();
                let engine = line.running.upstream.clone();
                let report = RunningReport { request, engine, tokens: line.tokens };
                leads::handle(control, key, PoolEvent::Running(report));
            }
        }
    }
    unknown
}
