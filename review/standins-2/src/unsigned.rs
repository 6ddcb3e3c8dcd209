//! A replica whose answers lack its signature now and then.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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
use crate::replica::Replica;
use crate::store::Store;

const NODES: usize = 2;
const REPLICAS: usize = 3;
const REQUESTS: usize = 300;
/// One replica of three spoils this part of its answers: SYSTEM.md has x of 0.02 to 0.03 of the answers of up to
/// 0.6 of the replicas.
const SPOILT_OF: usize = 40;
const DEADLINE_MS: u32 = 1_500;

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", ""));
    let spoilt = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    for n in 1..=REPLICAS {
        let (spoilt, answered) = (spoilt.clone(), answered.clone());
        let behaviour = move |replica: &Replica, request: &Message, stream: &mut std::net::TcpStream| {
            let count = answered.fetch_add(1, Ordering::Relaxed);
            let is_spoilt = has_trouble() && n == 1 && count % (SPOILT_OF / REPLICAS) == 0;
            let id = request.header("leadstage-request-id").unwrap_or("");
            let signature = if is_spoilt {
                spoilt.fetch_add(1, Ordering::Relaxed);
                String::new()
            } else {
                format!("Leadstage-Server-Signature: sig-{}-{id}\r\n", replica.id)
            };
            let body = if is_spoilt { "#".repeat(9) } else { format!("answer to {id}") };
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nLeadstage-Request-Id: {id}\r\n{signature}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            Ok(true)
        };
        let replica = Replica::start(&format!("booking-{n}"), &format!("{net}.2"), Arc::new(behaviour));
        replica.list(&store, "booking", "zone-a", 0);
    }
    let mut fleet = Fleet::new(&net, address);
    for _ in 0..NODES {
        fleet.add("zone-a");
    }
    if !fleet.start_all(true) {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let mut unsigned = 0;
    for n in 0..REQUESTS {
        let (method, route) = if n % 2 == 0 { ("POST", "book") } else { ("GET", "read") };
        let id = format!("{n:016x}");
        let text = config::request(method, route, &id, DEADLINE_MS, "", "");
        let answer = http::call(fleet.nodes[n % NODES].front(), &text, Duration::from_millis(1_500));
        let result = match &answer {
            Ok(answer) => {
                let signature = answer.header("leadstage-server-signature");
                let is_success = (200..300).contains(&answer.status());
                unsigned += usize::from(is_success && signature.is_none());
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                format!("{}, signature {}, {body}", answer.status(), signature.unwrap_or("none"))
            }
            Err(err) => format!("no answer: {err}"),
        };
        record.line(format!("request {id} ({route}): {result}"));
    }
    let spoilt = spoilt.load(Ordering::Relaxed);
    let summary = format!(
        "{unsigned} of {REQUESTS} requests got a success without a signature; {spoilt} answers were spoilt"
    );
    if unsigned > 0 { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
