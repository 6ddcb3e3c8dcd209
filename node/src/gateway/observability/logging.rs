//! Structured logs on standard output: one `key=value` line for each event, at most so many
//! a second, written by a thread of its own so that no request waits for a reader.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

/// Lines that wait to be written at most; some seconds' worth of a busy node.
const LINES_WAITING: usize = 1_024;
/// Lines written in a second at most, about 50 KB. A node of the sheets writes 20 to 60.
const LINES_PER_SECOND: u32 = 300;

/// Starts logging; the level comes from `RUST_LOG`, `info` by default.
pub fn start() -> io::Result<()> {
    let (tx, rx) = sync_channel(LINES_WAITING);
    let left_out = Arc::new(AtomicU64::new(0));
    let counted = left_out.clone();
    std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&rx, &counted))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(format_line)
        .target(env_logger::Target::Pipe(Box::new(Queue { tx, left_out })))
        .init();
    Ok(())
}

/// Takes formatted lines; never blocks.
struct Queue {
    tx: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends, and says how many were left out.
fn write_lines(rx: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    let mut second = Instant::now();
    let mut written = 0;
    while let Ok(line) = rx.recv() {
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            written = 0;
            report_left_out(left_out);
        }
        written += 1;
        if written > LINES_PER_SECOND {
            left_out.fetch_add(1, Ordering::Relaxed);
        } else {
            put(&line);
        }
    }
}

fn report_left_out(left_out: &AtomicU64) {
    let count = left_out.swap(0, Ordering::Relaxed);
    if count > 0 {
        put(format!("level=WARN event=log_lines_left_out count={count}\n").as_bytes());
    }
}

/// Without a reader there is nobody to tell of the failure.
fn put(line: &[u8]) {
    let _ = io::stdout().lock().write_all(line);
}

/// One line: time, level, the event's key-values, then the message.
fn format_line(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    write!(buf, "ts={} level={}", buf.timestamp_millis(), record.level())?;
    let mut pairs = Pairs { buf, result: Ok(()) };
    let visited = record.key_values().visit(&mut pairs);
    pairs.result?;
    visited.map_err(io::Error::other)?;
    writeln!(buf, " msg={:?}", record.args().to_string())
}

struct Pairs<'a> {
    buf: &'a mut Formatter,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let is_bare = !text.is_empty() && !text.contains([' ', '"', '=', '\n', '\\']);
        self.result =
            if is_bare { write!(self.buf, " {key}={text}") } else { write!(self.buf, " {key}={text:?}") };
        Ok(())
    }
}
