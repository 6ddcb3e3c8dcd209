//! A replica loses the path to one node; requests of the route may be served in one region only.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Place;
use crate::Record;
use crate::replica::Replica;
use crate::store::Store;
use crate::system::Caller;
use crate::system::Callers;
use crate::system::Fleet;
use crate::system::Net;
use crate::system::REPLICA;

const HOME: &str = "busan";
const HALLS: [&str; 6] = ["busan-a", "busan-b", "incheon-a", "incheon-b", "incheon-a", "incheon-b"];
const REGIONS: [(&str, &str); 4] =
    [("busan-a", "busan"), ("busan-b", "busan"), ("incheon-a", "incheon"), ("incheon-b", "incheon")];
const REPLICAS: [&str; 5] = ["busan-a", "busan-a", "busan-b", "incheon-a", "incheon-b"];
/// The replica whose path is cut, and the node that it is cut from.
const CUT_REPLICA: usize = 0;
const CUT_NODE: usize = 0;
const CUT_FOR: Duration = Duration::from_secs(5);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-file","host":"charts.example","pathPrefix":"/file/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"chart-desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"allowedRegions":["busan"]}],"services":[{"name":"chart-desk","healthPath":"/healthz","maxConnections":500,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"org-a","apiKeys":["key-a"],"priority":1}]}"#;

pub fn run(place: &Place, record: &mut Record) -> Result<bool, Box<dyn std::error::Error>> {
    let net = Net::free().ok_or("no free ports")?;
    let store = Store::start(net.store(), Duration::from_secs(3))?;
    store.put("config", "main", CONFIG);
    let mut replicas = Vec::new();
    for (n, hall) in REPLICAS.iter().enumerate() {
        let address = SocketAddr::new(net.ip(101 + n as u8).into(), REPLICA);
        let replica =
            Replica::start(&format!("i-{}", n + 1), "chart-desk", hall, address, Duration::from_millis(60))?;
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
        host: "charts.example".into(),
        path: "/file/2f".into(),
        key: "key-a".into(),
        deadline: Duration::from_millis(2_000),
    };
    // Callers of the home region alone, at its two nodes.
    let callers = Callers::start(&fleet, &[0, 1], &caller, Duration::from_millis(50), &stop);
    thread::sleep(Duration::from_secs(8));
    if place.trouble {
        let (node, replica) = (&fleet.nodes[CUT_NODE], &replicas[CUT_REPLICA]);
        replica.cut_from(node.ip.into())?;
        record.add(format!("{} loses the path to {} ({})", replica.id, node.name, node.ip));
    }
    thread::sleep(CUT_FOR);
    stop.store(true, Ordering::SeqCst);
    let sent = callers.finish();
    let _ = balancer.join();

    let mut foreign = 0;
    for replica in &replicas {
        for run in replica.runs() {
            let Some(sent) = sent.iter().find(|sent| sent.request == run.request) else { continue };
            let entry = &fleet.nodes[sent.node];
            let came_from_entry = run.from == IpAddr::V4(entry.ip);
            let region = fleet.region_of(run.from).unwrap_or("?");
            // The callers are in the home region too.
            let is_foreign = !came_from_entry && region != HOME;
            let served_abroad = fleet.region_of_hall(&replica.hall) != Some(HOME);
            foreign += u32::from(is_foreign || served_abroad);
            let mark = if is_foreign { "  FOREIGN: its body went to that machine" } else { "" };
            record.add_at(
                run.at,
                format!("{} in {} runs {} of {} from {} in {region}{mark}", replica.id, replica.hall, run.request, entry.name, run.from),
            );
        }
    }
    for sent in &sent {
        let name = &fleet.nodes[sent.node].name;
        record.add_at(sent.at, format!("{} sent to {name}; after {} ms: {}", sent.request, sent.took.as_millis(), sent.end));
    }
    record.add(format!(
        "{} requests sent, which may be served in {HOME} only; the bodies of {foreign} went to a machine or replica of another region",
        sent.len()
    ));
    Ok(foreign > 0)
}
