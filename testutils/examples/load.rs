//! An open-loop load generator: sends requests at fixed times.
//!
//! With an engine, requests go alternately to the engine and through a node, so that one run measures both
//! under the same conditions. Without one, they go through several nodes in turn, to measure the effect of
//! faults.
//!
//! Usage: `load [--engine IP:PORT] --node IP:PORT [--node ...] --token TOKEN [--rate N] [--seconds N]
//! [--tokens N] [--node-pid PID] [--model M]`. Prints Markdown: the time to the first token and the time
//! between tokens on both paths, the difference, and the node's memory per open stream; without an engine,
//! the failures by the second in which the request was due.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use leadstage_testutils::http_client;
use leadstage_testutils::http_client::HttpClient;
use lexopt::prelude::*;
use rand::Rng;

/// Number of HTTP clients; each has its own connection pool.
const CLIENTS: usize = 4;

struct Options {
    engine: Option<SocketAddr>,
    nodes: Vec<SocketAddr>,
    token: String,
    model: String,
    rate: f64,
    seconds: u64,
    tokens: u64,
    node_pid: Option<u32>,
}

/// Measurements of one path, either to the engine or through the nodes.
struct PathStats {
    first: Mutex<Histogram<u64>>,
    gaps: Mutex<Histogram<u64>>,
    open: AtomicUsize,
    max_open: AtomicUsize,
    tokens: AtomicUsize,
    failed: AtomicUsize,
    failures: Mutex<BTreeMap<(Failure, u64), usize>>,
}

impl PathStats {
    fn new() -> Arc<PathStats> {
        let histogram = || Mutex::new(Histogram::new(3).expect("three significant digits are valid"));
        Arc::new(PathStats {
            first: histogram(),
            gaps: histogram(),
            open: AtomicUsize::new(0),
            max_open: AtomicUsize::new(0),
            tokens: AtomicUsize::new(0),
            failed: AtomicUsize::new(0),
            failures: Mutex::default(),
        })
    }

    fn quantile(histogram: &Mutex<Histogram<u64>>, quantile: f64) -> f64 {
        histogram.lock().expect("no holder panics").value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        engine: None,
        nodes: Vec::new(),
        token: String::new(),
        model: "assistant".to_owned(),
        rate: 200.0,
        seconds: 30,
        tokens: 200,
        node_pid: None,
    };
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("engine") => options.engine = Some(args.value()?.parse()?),
            Long("node") => options.nodes.push(args.value()?.parse()?),
            Long("token") => options.token = args.value()?.string()?,
            Long("model") => options.model = args.value()?.string()?,
            Long("rate") => options.rate = args.value()?.parse()?,
            Long("seconds") => options.seconds = args.value()?.parse::<u64>()?.min(300),
            Long("tokens") => options.tokens = args.value()?.parse()?,
            Long("node-pid") => options.node_pid = Some(args.value()?.parse()?),
            _ => return Err(arg.unexpected()),
        }
    }
    if options.nodes.is_empty() {
        return Err("--node IP:PORT is missing".into());
    }
    if !options.engine.iter().chain(&options.nodes).all(|address| address.ip().is_loopback()) {
        return Err("only loopback addresses are allowed".into());
    }
    Ok(options)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options()?;
    let before = options.node_pid.and_then(resident_kb);
    let (direct, via_node) = (PathStats::new(), PathStats::new());
    let clients: Vec<HttpClient> = (0..CLIENTS).map(|_| http_client::client()).collect();
    let count = (options.rate * options.seconds as f64) as usize;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..count {
        let due = start + Duration::from_secs_f64(n as f64 / options.rate);
        tokio::time::sleep_until(due.into()).await;
        let (stats, address) = match options.engine {
            Some(engine) if n % 2 == 0 => (&direct, engine),
            Some(_) => (&via_node, options.nodes[n / 2 % options.nodes.len()]),
            None => (&via_node, options.nodes[n % options.nodes.len()]),
        };
        let req = request(&options, address);
        tasks.push(tokio::spawn(run_request(
            clients[n / 2 % CLIENTS].clone(),
            req,
            due,
            due - start,
            stats.clone(),
        )));
    }
    let at_peak = options.node_pid.and_then(resident_kb);
    for task in tasks {
        task.await?;
    }
    match options.engine {
        Some(_) => report(&options, &direct, &via_node, before.zip(at_peak)),
        None => report_failures(&via_node, count),
    }
    Ok(())
}

fn request(options: &Options, address: SocketAddr) -> Request<Full<Bytes>> {
    let body = format!(
        r#"{{"model":"{}","stream":true,"stand_in_tokens":{tokens},"max_tokens":{tokens},"messages":[{{"role":"user","content":"How long is it?"}}]}}"#,
        options.model,
        tokens = options.tokens,
    );
    Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", options.token))
        .header("x-generation-id", format!("{:016x}", rand::rng().next_u64()))
        .header("x-organisation", "load")
        .body(Full::from(body))
        .expect("a valid request")
}

/// Sends a request and records its outcome. Times count from when the request was due, so that a late start
/// is not hidden.
async fn run_request(
    client: HttpClient,
    req: Request<Full<Bytes>>,
    due: Instant,
    at: Duration,
    stats: Arc<PathStats>,
) {
    let open = stats.open.fetch_add(1, Ordering::Relaxed) + 1;
    stats.max_open.fetch_max(open, Ordering::Relaxed);
    if let Err(failure) = read_stream(client, req, due, &stats).await {
        stats.failed.fetch_add(1, Ordering::Relaxed);
        let mut failures = stats.failures.lock().expect("no holder panics");
        *failures.entry((failure, at.as_secs())).or_default() += 1;
    }
    stats.open.fetch_sub(1, Ordering::Relaxed);
}

/// Reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Failure {
    /// An error status before the first token, usually with `Retry-After`.
    Refused,
    /// The stream ended before `[DONE]`.
    Ended,
    /// No response.
    NoAnswer,
}

async fn read_stream(
    client: HttpClient,
    req: Request<Full<Bytes>>,
    due: Instant,
    stats: &PathStats,
) -> Result<(), Failure> {
    let Ok(res) = client.request(req).await else {
        return Err(Failure::NoAnswer);
    };
    if res.status() != 200 {
        return Err(Failure::Refused);
    }
    let mut events = res.into_body().into_data_stream().eventsource();
    let mut last: Option<Instant> = None;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            return Ok(());
        }
        if event.event == "error" {
            return Err(Failure::Ended);
        }
        let now = Instant::now();
        let (histogram, since) = match last {
            None => (&stats.first, due),
            Some(last) => (&stats.gaps, last),
        };
        let _ = histogram.lock().expect("no holder panics").record((now - since).as_micros() as u64);
        stats.tokens.fetch_add(1, Ordering::Relaxed);
        last = Some(now);
    }
    Err(Failure::Ended)
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn report(options: &Options, direct: &PathStats, via_node: &PathStats, memory: Option<(u64, u64)>) {
    let rate = |stats: &PathStats| stats.tokens.load(Ordering::Relaxed) as f64 / (options.seconds as f64);
    println!("| ms | direct | through the node | added |");
    println!("|---|---|---|---|");
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (d, t) =
            (PathStats::quantile(&direct.first, quantile), PathStats::quantile(&via_node.first, quantile));
        println!("| first token {name} | {d:.2} | {t:.2} | {:.2} |", t - d);
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let (d, t) =
            (PathStats::quantile(&direct.gaps, quantile), PathStats::quantile(&via_node.gaps, quantile));
        println!("| between tokens {name} | {d:.2} | {t:.2} | {:.2} |", t - d);
    }
    println!();
    let max_open = via_node.max_open.load(Ordering::Relaxed);
    println!(
        "Most streams open at once: {} direct, {max_open} through the node.",
        direct.max_open.load(Ordering::Relaxed)
    );
    println!("Tokens a second: {:.0} direct, {:.0} through the node.", rate(direct), rate(via_node));
    let failed = |stats: &PathStats| stats.failed.load(Ordering::Relaxed);
    println!("Failed: {} direct, {} through the node.", failed(direct), failed(via_node));
    if let Some((before, at_peak)) = memory {
        let each = (at_peak.saturating_sub(before)) as f64 / max_open.max(1) as f64;
        println!(
            "Memory of the node: {before} KB before, {at_peak} KB at the peak, {each:.1} KB for each open stream."
        );
    }
}

fn report_failures(stats: &PathStats, offered: usize) {
    let failed = stats.failed.load(Ordering::Relaxed);
    let (p50, p99) = (PathStats::quantile(&stats.first, 0.5), PathStats::quantile(&stats.first, 0.99));
    let max_gap = PathStats::quantile(&stats.gaps, 1.0);
    println!(
        "{offered} offered, {failed} failed; first token p50 {p50:.0} ms, p99 {p99:.0} ms; longest gap {max_gap:.0} ms"
    );
    for ((failure, second), count) in stats.failures.lock().expect("no holder panics").iter() {
        println!("  due in second {second}: {count} {failure:?}");
    }
}
