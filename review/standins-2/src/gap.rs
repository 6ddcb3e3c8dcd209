//! The store turns away the three of nine nodes that follow it, silently, while replicas leave.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::config;
use crate::fleet;
use crate::fleet::Fleet;
use crate::has_trouble;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const NODES: usize = 9;
const REPLICAS: usize = 14;
/// `scale_in`: 0.15 of the replicas of a service leave, here 2 of 14.
const LEAVE: usize = 2;
/// `platform_down` with `nodes`: 0.35 of the machines, for 9 s.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);
/// When the replicas of a round leave, after the store has begun to turn nodes away.
const LEAVE_AFTER_MS: [u64; 4] = [500, 900, 700, 1_200];
const CALM: Duration = Duration::from_secs(9);
const DRAIN: Duration = Duration::from_millis(2_000);
/// Of each node's caller; the sheet has 38 plain calls a second for nine nodes.
const REQUEST_PAUSE: Duration = Duration::from_millis(230);
const DEADLINE_MS: u32 = 1_500;

/// The last role of a node as a watcher of the store, by its log.
fn role(log: &str) -> Option<&'static str> {
    let line = log.lines().rev().find(|line| line.contains("event=store_watch "))?;
    [("now=Some(First)", "first"), ("now=Some(Standby)", "standby")]
        .into_iter()
        .find_map(|(text, role)| line.contains(text).then_some(role))
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    (0..NODES).filter(|at| role(&fleet.log(*at)).is_some()).collect()
}

/// A sound replica; one that leaves says so and serves what still comes.
fn plain(replica: &Replica, request: &Message, stream: &mut std::net::TcpStream) -> std::io::Result<bool> {
    thread::sleep(Duration::from_millis(5));
    let is_leaving = replica.is_leaving.load(Ordering::Relaxed);
    let close = if is_leaving { "Connection: close\r\n" } else { "" };
    http::answer(stream, "200 OK", &format!("{}{close}", replica.signed(request)), "done")
        .map(|()| !is_leaving)
}

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", ""));
    let mut replicas = Vec::new();
    for n in 1..=REPLICAS {
        let replica = Replica::start(&format!("booking-{n}"), &format!("{net}.2"), Arc::new(plain));
        replica.list(&store, "booking", "zone-a", 0);
        replicas.push(replica);
    }
    let mut fleet = Fleet::new(&net, address);
    for _ in 0..NODES {
        fleet.add("zone-a");
        fleet.stores.push(store.serve_also(&format!("{net}.1")));
    }
    if !fleet.start_all(true) {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..NODES)
        .map(|at| {
            let (front, is_over) = (fleet.nodes[at].front(), is_over.clone());
            thread::spawn(move || {
                let mut n = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("{at:02x}{n:014x}");
                    let text = config::request("GET", "read", &id, DEADLINE_MS, "", "");
                    let _ = http::call(front, &text, Duration::from_millis(1_500));
                    thread::sleep(REQUEST_PAUSE);
                    n += 1;
                }
            })
        })
        .collect();
    let (mut late, mut worst, mut rounds_broken) = (0, Duration::ZERO, 0);
    for (round, leave_after) in LEAVE_AFTER_MS.into_iter().enumerate() {
        thread::sleep(CALM);
        let mut struck = watchers(&fleet);
        struck.truncate(NODES * 35 / 100);
        if struck.is_empty() {
            return Verdict::NotRun("no node follows the store".to_owned());
        }
        if has_trouble() {
            struck.iter().for_each(|at| store.turn_away(fleet.stores[*at]));
            record.say(format!("the store turns nodes {struck:?} away, silently"));
        }
        let began = Instant::now();
        thread::sleep(Duration::from_millis(leave_after));
        let leaving = &replicas[round * LEAVE..(round + 1) * LEAVE];
        for replica in leaving {
            store.remove("servers", &replica.id);
            replica.is_leaving.store(true, Ordering::Relaxed);
        }
        let gone_at = Instant::now();
        record.say(format!("{} and {} leave", leaving[0].id, leaving[1].id));
        thread::sleep((began + TURNED_AWAY_FOR).saturating_duration_since(Instant::now()));
        store.turn_nobody_away();
        let mut late_now = 0;
        for replica in leaving {
            let arrivals = replica.arrivals.lock().expect("sound");
            for arrival in arrivals.iter().filter(|arrival| arrival.at > gone_at) {
                let id = arrival.request.header("leadstage-request-id").unwrap_or("");
                let taken_by = usize::from_str_radix(id.get(..2).unwrap_or(""), 16).unwrap_or(NODES);
                let after = arrival.at - gone_at;
                // Nodes that are turned away are not in touch.
                if !struck.contains(&taken_by) {
                    worst = worst.max(after);
                    late_now += usize::from(after > DRAIN);
                }
                let text =
                    format!("{} gets {id} from node {taken_by} after {} ms", replica.id, after.as_millis());
                record.line_at(arrival.at, text);
            }
        }
        record.say(format!("round {round}: {late_now} requests of the other nodes came later than 2,000 ms"));
        late += late_now;
        rounds_broken += usize::from(late_now > 0);
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let summary = format!(
        "{late} requests reached replicas later than 2,000 ms after they had left, in {rounds_broken} of {} rounds, the last one after {} ms",
        LEAVE_AFTER_MS.len(),
        worst.as_millis()
    );
    if late > 0 { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
