//! Streams of a route that states no longest gap between events.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
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

const NODES: usize = 2;
const ENGINES: usize = 2;
const CLIENTS: usize = 12;
/// The largest streams of the sheet have 439 events, of 340 bytes on average.
const EVENTS: u32 = 60;
const EVENT_BYTES: usize = 340;
const EVENT_GAP: Duration = Duration::from_millis(50);
const DEADLINE_MS: u32 = 39_000;
/// Receive buffer of a client; the kernel doubles it.
const RECEIVE_BUFFER: i32 = 8 << 10;
/// What a client reads before it pauses.
const READ_FIRST: usize = 64;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn shrink_receive_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // The socket is open and the value lives for the call.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) };
    assert_eq!(result, 0, "the receive buffer can be set");
}

/// Opens a kept connection by a plain call, then requests a stream on it. Returns how many bytes of the stream's
/// body came and whether it was complete.
fn stream(front: SocketAddr, n: usize) -> io::Result<(usize, bool, Duration)> {
    let mut stream = TcpStream::connect(front)?;
    shrink_receive_buffer(&stream);
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS))))?;
    let first = config::request("GET", "read", &format!("aa{n:014x}"), 1_500, "", "");
    stream.write_all(first.replace("Connection: close\r\n", "").as_bytes())?;
    let mut reader = BufReader::with_capacity(1 << 10, stream.try_clone()?);
    http::read(&mut reader)?;
    let headers = "Leadstage-Model: m\r\nLeadstage-Token-Usage: 1460,2000\r\n";
    let text = config::request("POST", "chat", &format!("bb{n:014x}"), DEADLINE_MS, headers, "{}");
    stream.write_all(text.replace("Connection: close\r\n", "").as_bytes())?;
    let began = Instant::now();
    let mut head = http::read_head(&mut reader)?.unwrap_or_default();
    let mut first = vec![0; READ_FIRST];
    reader.read_exact(&mut first)?;
    let chained = first.chain(&mut reader);
    let mut rest = BufReader::new(chained);
    let result = read_chunks(&mut rest, &mut head);
    Ok((head.body.len(), result.is_ok(), began.elapsed()))
}

fn read_chunks(reader: &mut impl io::BufRead, message: &mut Message) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::UnexpectedEof, "no chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        chunk.truncate(size);
        message.body.extend(chunk);
    }
}

fn engine(replica: &Replica, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    let signed = replica.signed(request);
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    write!(stream, "HTTP/1.1 200 OK\r\n{signed}{head}\r\n")?;
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: ");
        let text = format!("{text}{}\n\n", "t".repeat(EVENT_BYTES - text.len() - 2));
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        thread::sleep(EVENT_GAP);
    }
    write!(stream, "0\r\n\r\n")?;
    Ok(true)
}

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    let resumable = if std::env::var_os("ONCE").is_none() { ",\"resumable\":true" } else { "" };
    let text = config::text(resumable, "").replace("\"timeoutMs\":6000", "\"timeoutMs\":39000");
    let text = text.replace("\"maxAttempts\":1", "\"maxAttempts\":2");
    let text = if has_trouble() { text.replace(",\"gap_aim_ms\":180", "") } else { text };
    store.put("config", "main", &text);
    let mut replicas = Vec::new();
    for n in 1..=ENGINES {
        let replica = Replica::start(&format!("engine-{n}"), &format!("{net}.2"), Arc::new(engine));
        replica.list(&store, "model", "zone-a", 0);
        replicas.push(replica);
    }
    let plain = |replica: &Replica, request: &Message, stream: &mut TcpStream| {
        http::answer(stream, "200 OK", &replica.signed(request), "done").map(|()| true)
    };
    Replica::start("booking-1", &format!("{net}.2"), Arc::new(plain)).list(&store, "booking", "zone-a", 0);
    let mut fleet = Fleet::new(&net, address);
    for _ in 0..NODES {
        fleet.add("zone-a");
    }
    if !fleet.start_all(true) {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    record.say("SIGHUP to all nodes, whose settings have not changed");
    fleet.nodes.iter().for_each(fleet::Node::hang_up);
    let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(fleet::Node::front).collect();
    let streams: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = fronts[n % NODES];
            thread::spawn(move || stream(front, n))
        })
        .collect();
    let whole = EVENTS as usize * EVENT_BYTES;
    let mut cut = 0;
    for (n, stream) in streams.into_iter().enumerate() {
        let result = stream.join().expect("sound");
        let text = match &result {
            Ok((bytes, is_complete, took)) => {
                cut += usize::from(!is_complete);
                let end = if *is_complete { "complete" } else { "cut off" };
                format!("{bytes} of {whole} bytes, {end} after {:.1} s", took.as_secs_f64())
            }
            Err(err) => {
                cut += 1;
                format!("no stream: {err}")
            }
        };
        record.line(format!("client {n}: request bb{n:014x} on a kept connection: {text}"));
    }
    for replica in &replicas {
        for arrival in replica.arrivals.lock().expect("sound").iter() {
            let id = arrival.request.header("leadstage-request-id").unwrap_or("");
            record.line_at(arrival.at, format!("{} runs {id}", replica.id));
        }
    }
    for at in 0..NODES {
        for line in fleet.log(at).lines().filter(|line| line.contains("event=stream_end")) {
            record.line(format!("edge-{at}: {line}"));
        }
    }
    let summary = format!(
        "{cut} of {CLIENTS} streams were cut off before their end; no replica broke off and no deadline passed"
    );
    if cut > 3 { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
