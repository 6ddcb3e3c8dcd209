//! Streams whose prompts have no tokens, then streams with prompts of usual size, three times. A process that has
//! ended by itself is started again, as the platform does.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::config;
use crate::fleet;
use crate::fleet::Fleet;
use crate::has_trouble;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::replica;
use crate::replica::Replica;
use crate::store::Store;

const NODES: usize = 3;
const ENGINES: usize = 2;
/// How often the streams are sent: RULES.md counts processes that end three times in a day.
const ROUNDS: usize = 3;
/// Streams of a round before the last ones, to each node in turn, one after the other.
const STREAMS: usize = 900;
/// Streams to each node with prompts of usual size, one after the other.
const LAST_STREAMS: usize = 6;
/// Time that an engine needs for a prompt.
const PREFILL: Duration = Duration::from_millis(5);
const EVENTS: u32 = 20;
const DEADLINE_MS: u32 = 6_000;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The tokens of a prompt of usual size, and the most out.
const USUAL: &str = "1460,80";

/// Sends a stream to a node; returns whether it was answered.
fn send(record: &Record, fleet: &Fleet, node: usize, id: &str, usage: &str) -> bool {
    let headers = format!("Leadstage-Model: m\r\nLeadstage-Token-Usage: {usage}\r\n");
    let text = config::request("POST", "chat", id, DEADLINE_MS, &headers, "{}");
    let limit = Duration::from_millis(u64::from(DEADLINE_MS));
    let answer = http::call(fleet.nodes[node].front(), &text, limit);
    let result = match &answer {
        Ok(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
        Err(err) => format!("no answer: {err}"),
    };
    record.line(format!("request {id} ({usage}) to edge-{node}: {result}"));
    answer.is_ok()
}

fn run_round(record: &Record, fleet: &Fleet, round: usize, usage: &str) -> usize {
    let mut unanswered = 0;
    for n in 0..STREAMS {
        if !send(record, fleet, n % NODES, &format!("{round:02x}00{n:04x}"), usage) {
            unanswered += 1;
        }
    }
    for n in 0..LAST_STREAMS * NODES {
        if !send(record, fleet, n % NODES, &format!("{round:02x}ff{n:04x}"), USUAL) {
            unanswered += 1;
        }
    }
    unanswered
}

/// The last line of a node's log about a panic.
fn panic_line(log: &str) -> &str {
    log.lines().rev().find(|line| line.contains("panicked")).unwrap_or("no line in its log")
}

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", ""));
    let engines: Vec<Arc<Replica>> = (1..=ENGINES)
        .map(|n| {
            let behaviour = |replica: &Replica, request: &Message, stream: &mut _| {
                thread::sleep(PREFILL);
                replica::stream_events(replica, request, stream, EVENTS)
            };
            let engine = Replica::start(&format!("engine-{n}"), &format!("{net}.2"), Arc::new(behaviour));
            engine.list(&store, "model", "zone-a", 0);
            engine
        })
        .collect();
    let mut fleet = Fleet::new(&net, address);
    for _ in 0..NODES {
        fleet.add("zone-a");
    }
    if !fleet.start_all(true) {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let usage = if has_trouble() { "0,80" } else { USUAL };
    let mut ends = [0; NODES];
    let mut unanswered = 0;
    for round in 1..=ROUNDS {
        record.say(format!(
            "round {round}: {STREAMS} streams with Leadstage-Token-Usage: {usage}, then {} with {USUAL}",
            LAST_STREAMS * NODES
        ));
        unanswered += run_round(record, &fleet, round, usage);
        let ended: Vec<usize> = (0..NODES).filter(|at| fleet.nodes[*at].ended().is_some()).collect();
        for &at in &ended {
            ends[at] += 1;
            let status = fleet.nodes[at].ended().map(|status| status.to_string()).unwrap_or_default();
            record.say(format!("edge-{at} ended by itself ({status}): {}", panic_line(&fleet.log(at))));
        }
        thread::sleep(RESTART_DELAY);
        ended.into_iter().for_each(|at| fleet.start(at, false));
        if !fleet.wait_until_ready() {
            return Verdict::NotRun("the nodes did not become ready again".to_owned());
        }
    }
    let arrived: usize = engines.iter().map(|engine| engine.arrivals.lock().expect("sound").len()).sum();
    record.line(format!("{arrived} streams arrived at the engines"));
    let counted = ends.iter().filter(|ends| **ends >= ROUNDS).count();
    let all: usize = ends.iter().sum();
    let summary = format!(
        "processes ended by themselves {all} times, on {counted} of {NODES} machines three times; {unanswered} requests got no answer"
    );
    if counted >= 2 { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
