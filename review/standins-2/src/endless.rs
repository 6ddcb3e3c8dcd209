//! Replicas that send without end to a node of the smallest machine, while other callers are served.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
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
use crate::replica::Replica;
use crate::replica::stream_events;
use crate::store::Store;

/// Memory of the smallest machine of the sheets.
const MEMORY_MB: u32 = 88;
const CALLS: usize = 60;
const SILENT: usize = 30;
const ROUNDS: usize = 5;

/// Head (after the status line and the signature) and repeated part of each kind of endless answer.
const BODIES: [(&str, &str); 6] = [
    ("x: ", "x"),
    ("", "x: y\r\n"),
    ("Transfer-Encoding: chunked\r\n\r\n1;x=", "x"),
    ("Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n", "x: y\r\n"),
    ("Transfer-Encoding: chunked\r\n\r\n", "10\r\n                \r\n"),
    ("Content-Length: 4000000\r\n\r\n", "                                "),
];
const STREAMS: [(&str, &str); 3] = [
    ("Content-Type: text/event-stream\r\n\r\n", "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n"),
    ("Content-Type: text/event-stream\r\n\r\ndata: ", "x"),
    ("Content-Type: text/event-stream\r\n\r\n", ": still here\n\n"),
];

fn send_without_end(
    replica: &Replica,
    request: &Message,
    stream: &mut TcpStream,
    (head, repeated): (&str, &str),
) -> io::Result<bool> {
    write!(stream, "HTTP/1.1 200 OK\r\n{}{head}", replica.signed(request))?;
    let part = repeated.repeat((32 << 10) / repeated.len());
    loop {
        stream.write_all(part.as_bytes())?;
    }
}

/// Sends a request and reads nothing of its answer.
fn silent_caller(front: SocketAddr, id: &str, route: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(front)?;
    let headers = "Leadstage-Model: m\r\nLeadstage-Token-Usage: 10,200\r\n";
    stream.write_all(config::request("POST", route, id, 6_000, headers, "").as_bytes())?;
    Ok(stream)
}

/// Reads an answer to its end; the status.
fn caller(front: SocketAddr, id: &str, route: &str, method: &str) -> u16 {
    let headers = "Leadstage-Model: m\r\nLeadstage-Token-Usage: 10,200\r\n";
    let mut text = Vec::new();
    let Ok(mut stream) = TcpStream::connect(front) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let _ = stream.write_all(config::request(method, route, id, 1_500, headers, "").as_bytes());
    let _ = (&stream).take(100_000).read_to_end(&mut text);
    let head = String::from_utf8_lossy(&text[..text.len().min(12)]).into_owned();
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn peak_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0);
    kib * 1_024 / 1_000_000
}

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", ""));
    for n in 0..16 {
        let endless = move |replica: &Replica, request: &Message, stream: &mut TcpStream| {
            if request.target().1.starts_with("/chat") {
                if has_trouble() {
                    return send_without_end(replica, request, stream, STREAMS[n % STREAMS.len()]);
                }
                return stream_events(replica, request, stream, 20);
            }
            if has_trouble() {
                return send_without_end(replica, request, stream, BODIES[n % BODIES.len()]);
            }
            http::answer(stream, "200 OK", &replica.signed(request), "done").map(|()| true)
        };
        let replica = Replica::start(&format!("server-{n}"), &format!("{net}.2"), Arc::new(endless));
        let service = if n < 10 { "booking" } else { "model" };
        replica.list(&store, service, "zone-a", 0);
    }
    let mut fleet = Fleet::new(&net, address);
    fleet.memory_mb = MEMORY_MB;
    fleet.add("zone-a");
    if !fleet.start_all(true) {
        return Verdict::NotRun("the node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let front = fleet.nodes[0].front();
    let pid = fleet.nodes[0].pid();
    record.say(format!("the node is ready, peak {} MB", peak_mb(pid)));
    let mut silent = Vec::new();
    for round in 0..ROUNDS {
        for n in 0..SILENT {
            silent.push(silent_caller(
                front,
                &format!("cc{:014x}", round * SILENT + n),
                ["chat", "book"][n % 2],
            ));
        }
        let calls: Vec<_> = (0..CALLS * 3)
            .map(|n| {
                let (route, method) = [("read", "GET"), ("book", "POST"), ("chat", "POST")][n % 3];
                thread::spawn(move || {
                    caller(front, &format!("dd{:014x}", round * CALLS * 3 + n), route, method)
                })
            })
            .collect();
        let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
        for call in calls {
            *statuses.entry(call.join().unwrap_or(0)).or_default() += 1;
        }
        record.say(format!("round {round}: statuses {statuses:?}, peak {} MB", peak_mb(pid)));
    }
    let peak = peak_mb(pid);
    let summary = format!("the node's process had {peak} MB at most, of {MEMORY_MB}");
    if peak >= u64::from(MEMORY_MB) { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
