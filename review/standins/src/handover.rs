//! The nodes that follow the store are stopped and started as planned, and a replica leaves without a word.

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
const DRAIN: Duration = Duration::from_millis(3_000);
/// `contactMs`: a node is in touch once it has run for so long.
const CONTACT: Duration = Duration::from_millis(4_000);
/// How old the answers to stale reads are.
const STALE_BY: Duration = Duration::from_secs(3);
/// How long the leaving replica serves on.
const SERVES_ON: Duration = Duration::from_secs(9);
/// How long the platform takes to start a process again.
const RESTARTED_AFTER: Duration = Duration::from_millis(500);
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Allowed for the threads of the stand-ins.
const SLACK: Duration = Duration::from_millis(50);

const HALLS: [&str; 7] = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
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

    let followers = fleet.followers();
    if place.trouble {
        for n in &followers {
            record.add(format!("SIGTERM to {} ({})", fleet.nodes[*n].name, fleet.nodes[*n].ip));
        }
        fleet.stop_all(&followers);
        record.add("these have ended");
    }
    let leaving = &replicas[1];
    leaving.drain();
    let acknowledged = store.remove("servers", &leaving.id);
    record.add_at(acknowledged, format!("the entry of {} goes", leaving.id));
    // The nodes that were not stopped are in touch all the time.
    let mut in_touch_from = vec![acknowledged; fleet.nodes.len()];
    if place.trouble {
        thread::sleep(RESTARTED_AFTER);
        for n in &followers {
            fleet.start(*n)?;
            record.add(format!("{} is started", fleet.nodes[*n].name));
            in_touch_from[*n] = fleet.nodes[*n].started + CONTACT;
        }
    }
    thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.end();
    record.add(format!("{} ends", leaving.id));
    thread::sleep(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    let sent = callers.finish();
    let _ = balancer.join();

    let by_id = |id: &str| sent.iter().find(|sent| sent.request == id);
    let (mut late, mut lost) = (0, 0);
    for replica in &replicas {
        for run in replica.runs() {
            let Some(sent) = by_id(&run.request) else { continue };
            let node = &fleet.nodes[sent.node];
            let is_late = replica.id == leaving.id
                && run.at > acknowledged + DRAIN + SLACK
                && run.at > in_touch_from[sent.node] + SLACK;
            late += u32::from(is_late);
            lost += u32::from(is_late && !run.answered);
            let mark = match (is_late, run.answered) {
                (true, true) => "  LATE: it has left",
                (true, false) => "  LATE: it has left; it ended before it answered",
                _ => "",
            };
            record.add_at(run.at, format!("{} runs {} from {} ({}){mark}", replica.id, run.request, node.name, run.from));
        }
    }
    for sent in &sent {
        let name = &fleet.nodes[sent.node].name;
        record.add_at(sent.at, format!("{} sent to {name}; after {} ms: {}", sent.request, sent.took.as_millis(), sent.end));
    }
    record.add(format!(
        "{} requests sent; {late} reached {} more than {DRAIN:?} after its entry went, from nodes in touch; {lost} of them it ended with and never answered",
        sent.len(),
        leaving.id
    ));
    Ok(late > 0)
}
