//! Structured logs on standard output: one `key=value` line for each event, with a limit on the lines
//! per second, written by a thread of its own so that no request waits for a slow reader.
//!
//! Code that ends the process calls [`flush`] first: the writer thread ends with the process, and
//! lines that it has not written by then are lost.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
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

/// Maximum number of lines that wait to be written; several seconds' worth on a busy node.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum number of lines written per second, about 50 KB. A node under the documented loads writes
/// 20 to 60.
const MAX_LINES_PER_SECOND: u32 = 300;

/// Maximum length of a value; the rest is left out. Values may quote what others sent, and lines wait in memory.
const MAX_VALUE_BYTES: usize = 512;

/// Number of the latest lines over that limit that are kept in case the process ends in the same second.
/// Otherwise a node that logs 500 lines in its last second does not log that it stopped.
const MAX_DEFERRED_LINES: usize = 32;
/// How long the end of a process waits for a reader that is slow or does not read at all. 100 ms are too
/// short: of twelve processes that failed at startup at the same time, with a load of 28 on 12 cores, two
/// had not had their writer thread scheduled by then.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two attempts to reach the writer thread while its queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The channel to the writer thread.
static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// A message to the writer thread.
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Requests a signal once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Starts logging; the level comes from `RUST_LOG`, `info` by default.
pub fn start() -> io::Result<()> {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Writer::new(dropped.clone());
    std::thread::Builder::new().name("logs".to_owned()).spawn(move || writer.run(&rx))?;
    QUEUE.get_or_init(|| tx.clone());
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(format_line)
        .target(env_logger::Target::Pipe(Box::new(Queue { tx, dropped })))
        .init();
    Ok(())
}

/// Waits until all lines logged so far are written, 200 ms at most. Does nothing if logging was not
/// started.
pub fn flush() {
    let Some(tx) = QUEUE.get() else {
        return;
    };
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let (written_tx, written) = sync_channel(1);
    while tx.try_send(Entry::Flush(written_tx.clone())).is_err() {
        if Instant::now() >= deadline {
            return;
        }
        std::thread::sleep(FLUSH_RETRY_INTERVAL);
    }
    // If standard output is not read, the loss of lines can't be reported anywhere.
    let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
}

/// Passes formatted lines to the writer thread; never blocks.
struct Queue {
    tx: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(Entry::Line(buf.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends, and reports how many were dropped.
struct Writer {
    /// Start of the second in which lines are being counted.
    window_start: Instant,
    /// Lines written in that second.
    written: u32,
    /// The latest lines over the limit of that second, not written yet.
    deferred: VecDeque<Vec<u8>>,
    /// Dropped lines that were not reported yet.
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn new(dropped: Arc<AtomicU64>) -> Self {
        Writer { window_start: Instant::now(), written: 0, deferred: VecDeque::new(), dropped }
    }

    fn run(mut self, rx: &Receiver<Entry>) {
        while let Ok(entry) = rx.recv() {
            match entry {
                Entry::Line(line) => self.line(line),
                Entry::Flush(written) => {
                    self.write_deferred();
                    // The caller of `flush` may have timed out.
                    let _ = written.try_send(());
                }
            }
        }
    }

    fn line(&mut self, line: Vec<u8>) {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.begin_window();
        }
        if self.written < MAX_LINES_PER_SECOND {
            self.written += 1;
            write_line(&line);
            return;
        }
        self.deferred.push_back(line);
        if self.deferred.len() > MAX_DEFERRED_LINES {
            self.deferred.pop_front();
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn begin_window(&mut self) {
        self.window_start = Instant::now();
        self.written = 0;
        self.dropped.fetch_add(self.deferred.len() as u64, Ordering::Relaxed);
        self.deferred.clear();
        self.report_dropped();
    }

    fn write_deferred(&mut self) {
        self.report_dropped();
        self.deferred.drain(..).for_each(|line| write_line(&line));
    }

    fn report_dropped(&self) {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            write_line(format!("level=WARN event=log_lines_left_out count={count}\n").as_bytes());
        }
    }
}

/// Ignores errors: if standard output can't be written, they can't be reported anywhere.
fn write_line(line: &[u8]) {
    let _ = io::stdout().lock().write_all(line);
}

/// Formats one line: time, level, key-value pairs of the event, then the message.
fn format_line(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    write!(buf, "ts={} level={}", buf.timestamp_millis(), record.level())?;
    let mut formatter = PairFormatter { buf, result: Ok(()) };
    let visited = record.key_values().visit(&mut formatter);
    formatter.result?;
    visited.map_err(io::Error::other)?;
    writeln!(buf, " msg={:?}", record.args().to_string())
}

struct PairFormatter<'a> {
    buf: &'a mut Formatter,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for PairFormatter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let mut text = value.to_string();
        if text.len() > MAX_VALUE_BYTES {
            text.truncate(text.floor_char_boundary(MAX_VALUE_BYTES));
            text.push('…');
        }
        let is_bare = !text.is_empty() && !text.contains([' ', '"', '=', '\n', '\\']);
        self.result =
            if is_bare { write!(self.buf, " {key}={text}") } else { write!(self.buf, " {key}={text:?}") };
        Ok(())
    }
}
