//! All nodes are killed at the same moment and start again while the replicas of a service are cold.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
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

/// The sheet has 66 machines, 27 cold requests a second, `coldOvershoot` 1.5 and `coldSlack` 5.
const NODES: usize = 24;
const REPLICAS: usize = 2;
const WARMUP_PER_S: f64 = 27.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
const COLD: Duration = Duration::from_secs(14);
const DEADLINE_MS: u32 = 1_500;
const WORK: Duration = Duration::from_millis(30);
/// Requests of all clients in a second; the sheet has 165 for four such replicas.
const REQUESTS_PER_S: usize = 165;
/// Time in which all nodes learn that the replicas are cold.
const NEWS: Duration = Duration::from_secs(1);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A cold replica falls over "well above" the bound; this one at 1.25 times as much.
const FALLS_OVER_AT: f64 = 1.25;

/// Whether a replica has fallen over: it was sent far too many requests within a second while it was cold.
fn falls_over(replica: &Replica, is_cold: &AtomicBool) -> bool {
    let now = Instant::now();
    let arrivals = replica.arrivals.lock().expect("sound");
    let recent =
        arrivals.iter().rev().take_while(|arrival| now - arrival.at < Duration::from_secs(1)).count();
    is_cold.load(Ordering::Relaxed) && recent as f64 > FALLS_OVER_AT * (WARMUP_PER_S * OVERSHOOT + SLACK)
}

/// The most arrivals in any second, and when it begins.
fn most_in_a_second(mut times: Vec<Instant>) -> (usize, Option<Instant>) {
    times.sort();
    let mut most = (0, None);
    for (first, from) in times.iter().enumerate() {
        let count = times[first..].iter().take_while(|at| **at - *from < Duration::from_secs(1)).count();
        if count > most.0 {
            most = (count, Some(*from));
        }
    }
    most
}

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", r#","coldStartS":1.0,"warmupPerS":27.0"#));
    let is_cold = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let replicas: Vec<Arc<Replica>> = (1..=REPLICAS)
        .map(|n| {
            let (is_cold, lost, has_fallen) = (is_cold.clone(), lost.clone(), AtomicBool::new(false));
            let behaviour = move |replica: &Replica, request: &Message, stream: &mut TcpStream| {
                let has_ended = has_fallen.load(Ordering::Relaxed);
                if !has_ended && falls_over(replica, &is_cold) {
                    has_fallen.store(true, Ordering::Relaxed);
                }
                thread::sleep(WORK);
                if has_fallen.load(Ordering::Relaxed) {
                    if !has_ended {
                        lost.lock().expect("sound").push((
                            Instant::now(),
                            request.header("leadstage-request-id").unwrap_or("").to_owned(),
                        ));
                    }
                    return Ok(false);
                }
                http::answer(stream, "200 OK", &replica.signed(request), "done").map(|()| true)
            };
            let replica = Replica::start(&format!("booking-{n}"), &format!("{net}.2"), Arc::new(behaviour));
            replica.list(&store, "booking", "zone-a", 0);
            replica
        })
        .collect();
    let mut fleet = Fleet::new(&net, address);
    fleet.bounds = format!("  cold_overshoot: {OVERSHOOT}\n  cold_slack: {SLACK}\n");
    for _ in 0..NODES {
        fleet.add("zone-a");
    }
    if !fleet.start_all(true) {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<_> = fleet.nodes.iter().map(fleet::Node::front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let pacer = {
        let (is_over, counts) = (is_over.clone(), counts.clone());
        thread::spawn(move || {
            let began = Instant::now();
            let mut n = 0;
            while !is_over.load(Ordering::Relaxed) {
                let due = began + Duration::from_secs_f64(n as f64 / REQUESTS_PER_S as f64);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let (front, counts) = (fronts[n * 7 % fronts.len()], counts.clone());
                thread::spawn(move || {
                    let text = config::request("POST", "book", &format!("{n:016x}"), DEADLINE_MS, "", "");
                    let status = http::call(front, &text, Duration::from_millis(1_500)).map(|a| a.status());
                    let mut counts = counts.lock().expect("sound");
                    match status {
                        Ok(200) => counts.0 += 1,
                        Ok(_) => counts.1 += 1,
                        Err(_) => counts.2 += 1,
                    }
                });
                n += 1;
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    let cold_at = Instant::now();
    record.line("the replicas are cold from now on");
    let becomes_cold = is_cold.clone();
    thread::spawn(move || {
        // Time for the news that they are cold.
        thread::sleep(NEWS);
        becomes_cold.store(true, Ordering::Relaxed);
    });
    replicas.iter().for_each(|replica| replica.list(&store, "booking", "zone-a", COLD.as_millis() as u64));
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        record.say(format!("all {NODES} nodes are killed"));
        fleet.nodes.iter_mut().for_each(fleet::Node::kill);
        thread::sleep(RESTART_DELAY);
        (0..NODES).for_each(|at| fleet.start(at, false));
        record.line("all nodes are started again");
    }
    thread::sleep(Duration::from_secs(6));
    let cold_until = cold_at + COLD;
    is_over.store(true, Ordering::Relaxed);
    let _ = pacer.join();
    thread::sleep(Duration::from_millis(1_600));
    let bound = WARMUP_PER_S * OVERSHOOT + SLACK;
    let mut worst = 0;
    let from = cold_at + NEWS + Duration::from_secs(1);
    for replica in &replicas {
        let arrivals = replica.arrivals.lock().expect("sound");
        let times: Vec<Instant> =
            arrivals.iter().map(|arrival| arrival.at).filter(|at| *at > from && *at < cold_until).collect();
        for arrival in arrivals.iter().filter(|arrival| arrival.at > from) {
            record.line_at(
                arrival.at,
                format!(
                    "{} gets {} from {}",
                    replica.id,
                    arrival.request.header("leadstage-request-id").unwrap_or(""),
                    arrival.from.ip()
                ),
            );
        }
        let (most, at) = most_in_a_second(times);
        let text = format!(
            "{}: at most {most} requests in one second while it is cold; {bound} are allowed",
            replica.id
        );
        println!("{text}");
        record.line_at(at.unwrap_or(cold_at), text);
        worst = worst.max(most);
    }
    for (at, id) in lost.lock().expect("sound").iter() {
        record.line_at(*at, format!("{id} was running at a replica that fell over: its answer is lost"));
    }
    let lost = lost.lock().expect("sound").len();
    let (served, refused, failed) = *counts.lock().expect("sound");
    let summary = format!(
        "{worst} requests in one second at a cold replica, {bound} are allowed; {lost} requests were running at a replica that fell over; {served} were served, {refused} refused or failed, {failed} without an answer"
    );
    if worst as f64 > bound { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
