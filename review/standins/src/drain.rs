//! A node is stopped and started as planned while a replica drains.
//!
//! With `RELEASE=1` in the environment all replicas are replaced meanwhile: the new ones start first, and the old
//! ones drain. That shows what else follows; the check is the same.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Place;
use crate::Record;
use crate::replica::Replica;
use crate::store::Store;
use crate::system::Caller;
use crate::system::Callers;
use crate::system::Fleet;
use crate::system::Net;
use crate::system::REPLICA;

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contactMs`: a node is in touch once it has run for so long.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How old the answers to stale reads are.
const STALE_BY: Duration = Duration::from_secs(3);
/// How long the draining replica serves on.
const SERVES_ON: Duration = Duration::from_secs(9);
/// How long new replicas run before the old ones drain, if all are replaced.
const REPLACED_AFTER: Duration = Duration::from_millis(1_000);
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Allowed for the threads of the stand-ins.
const SLACK: Duration = Duration::from_millis(50);

const HALLS: [&str; 6] = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-c"];
const REGIONS: [(&str, &str); 3] = [("hall-a", "north"), ("hall-b", "north"), ("hall-c", "north")];
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"booking","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"booking","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org-a","apiKeys":["key-a"],"priority":1}]}"#;

pub fn run(place: &Place, record: &mut Record) -> Result<bool, Box<dyn std::error::Error>> {
    let net = Net::free().ok_or("no free ports")?;
    let store = Store::start(net.store(), STALE_BY)?;
    store.put("config", "main", CONFIG);
    let mut replicas = Vec::new();
    for (n, hall) in ["hall-a", "hall-b", "hall-c"].iter().enumerate() {
        let address = SocketAddr::new(net.ip(101 + n as u8).into(), REPLICA);
        let replica = Replica::start(&format!("i-{}", n + 1), "booking", hall, address, WORK)?;
        store.put("servers", &replica.id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let mut fleet = Fleet::new(net, &place.binary, &place.dir, &HALLS, &REGIONS);
    for n in 0..fleet.nodes.len() {
        fleet.start(n)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let balancer = fleet.balance(stop.clone());
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        return Err("the nodes are not ready".into());
    }
    record.add("all nodes are ready; callers begin");
    let caller = Caller {
        host: "desk.example".into(),
        path: "/book/2f".into(),
        key: "key-a".into(),
        deadline: Duration::from_millis(1_500),
    };
    let all: Vec<usize> = (0..fleet.nodes.len()).collect();
    let callers = Callers::start(&fleet, &all, &caller, Duration::from_millis(60), &stop);
    thread::sleep(Duration::from_secs(8));

    // Any seed would do; one that doesn't follow the store shows it for longer.
    let followers = fleet.followers();
    let seeds: Vec<usize> = all.iter().copied().filter(|n| fleet.is_seed(*n)).collect();
    let restarted = seeds.iter().copied().find(|n| !followers.contains(n)).unwrap_or(seeds[0]);
    if place.trouble {
        record.add(format!("SIGTERM to {} ({})", fleet.nodes[restarted].name, fleet.nodes[restarted].ip));
        fleet.stop(restarted);
        record.add(format!("{} has ended", fleet.nodes[restarted].name));
    }
    let is_release = std::env::var("RELEASE").is_ok_and(|value| value == "1");
    let leaving: Vec<usize> = if is_release { vec![0, 2, 1] } else { vec![1] };
    if is_release {
        for n in 0..3_u8 {
            let address = SocketAddr::new(net.ip(111 + n).into(), REPLICA);
            let replica = Replica::start(&format!("i-new-{}", n + 1), "booking", "hall-a", address, WORK)?;
            store.put("servers", &replica.id, &replica.entry("ready"));
            record.add(format!("{} is ready, and listed by the store", replica.id));
            replicas.push(replica);
        }
        thread::sleep(REPLACED_AFTER);
    }
    let draining = &replicas[1];
    let mut acknowledged = Instant::now();
    for n in &leaving {
        let replica = &replicas[*n];
        replica.drain();
        acknowledged = store.put("servers", &replica.id, &replica.entry("draining"));
        record.add_at(acknowledged, format!("the store takes that {} drains", replica.id));
    }
    thread::sleep(Duration::from_millis(300));
    let mut in_touch_from = vec![Instant::now(); fleet.nodes.len()];
    in_touch_from.fill(fleet.nodes[(restarted + 1) % fleet.nodes.len()].started + CONTACT);
    if place.trouble {
        fleet.start(restarted)?;
        record.add(format!("{} is started", fleet.nodes[restarted].name));
        in_touch_from[restarted] = fleet.nodes[restarted].started + CONTACT;
        record.add_at(in_touch_from[restarted], format!("{} is in touch", fleet.nodes[restarted].name));
    }
    thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    for n in &leaving {
        replicas[*n].end();
        store.remove("servers", &replicas[*n].id);
        record.add(format!("{} ends, and its entry goes", replicas[*n].id));
    }
    let ended = Instant::now();
    thread::sleep(if is_release { Duration::from_secs(15) } else { Duration::from_millis(1_500) });
    stop.store(true, Ordering::SeqCst);
    let sent = callers.finish();
    let _ = balancer.join();

    let by_id = |id: &str| sent.iter().find(|sent| sent.request == id);
    let (mut late, mut lost) = (0, 0);
    for replica in &replicas {
        for run in replica.runs() {
            let Some(sent) = by_id(&run.request) else { continue };
            let node = &fleet.nodes[sent.node];
            let is_late = replica.id == draining.id
                && run.at > acknowledged + DRAIN + SLACK
                && run.at > in_touch_from[sent.node] + SLACK;
            late += u32::from(is_late);
            lost += u32::from(is_late && !run.answered);
            let mark = match (is_late, run.answered) {
                (true, true) => "  LATE: it drains",
                (true, false) => "  LATE: it drains; it ended before it answered",
                _ => "",
            };
            record.add_at(run.at, format!("{} runs {} from {} ({}){mark}", replica.id, run.request, node.name, run.from));
        }
    }
    for sent in &sent {
        let name = &fleet.nodes[sent.node].name;
        record.add_at(sent.at, format!("{} sent to {name}; after {} ms: {}", sent.request, sent.took.as_millis(), sent.end));
    }
    for (n, node) in fleet.nodes.iter().enumerate() {
        let after = sent.iter().filter(|sent| sent.node == n && sent.at > ended + SLACK);
        let (all, served) = after.fold((0, 0), |(all, served), sent| {
            (all + 1, served + u32::from(sent.end.starts_with("200")))
        });
        record.add(format!("{}: {served} of {all} requests served that were sent after the end", node.name));
    }
    record.add(format!(
        "{} requests sent; {late} reached {} more than {DRAIN:?} after the store took that it drains, from nodes in touch; {lost} of them it ended with and never answered",
        sent.len(),
        draining.id
    ));
    Ok(late > 0)
}
