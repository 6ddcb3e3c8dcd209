//! Splits a stream into whole events, so that only whole events reach the caller. When the stream breaks,
//! a partial event is discarded; it is sent again by the engine that resumes the generation.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;

/// Maximum size of one event; the largest specified events have some kilobytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream is unusable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Unusable {
    /// An event exceeds the maximum size.
    #[display("an event is too large")]
    TooLarge,
    /// An event's id is not greater than that of the event before: the engine did not resume where it was
    /// asked to, and the caller would get events twice.
    #[display("ids of events do not rise")]
    NotIncreasing,
}

/// Splits received bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    last_id: Option<String>,
    events: u64,
    unusable: Option<Unusable>,
}

impl EventSplitter {
    /// Returns a splitter for a stream that resumes after the event `last_id`, or for a new stream.
    pub fn resuming_after(last_id: Option<&str>) -> Self {
        EventSplitter { last_id: last_id.map(str::to_owned), ..EventSplitter::default() }
    }

    /// Appends bytes; returns all events that are complete now, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let mut complete = 0;
        let mut at = self.scanned;
        while self.unusable.is_none()
            && let Some(end) = event_end(&self.buf, at)
        {
            if !self.record_event(complete, end) {
                self.unusable = Some(Unusable::NotIncreasing);
                break;
            }
            complete = end;
            at = end;
        }
        let out = self.buf.split_to(complete).freeze();
        // The end of an event may be split between two reads.
        self.scanned = self.buf.len().saturating_sub(3);
        if self.buf.len() > MAX_EVENT_BYTES {
            self.unusable.get_or_insert(Unusable::TooLarge);
        }
        out
    }

    /// Returns why the stream is unusable, if it is.
    pub fn unusable(&self) -> Option<Unusable> {
        self.unusable
    }

    /// Number of bytes received after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Discards a partial event.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
        self.unusable = None;
    }

    /// Returns the bytes that are left at a stream's regular end.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events that had an id.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Records a complete event; returns false if its id is not greater than the id before.
    fn record_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buf[start..end];
        let mut lines = event.split(|byte| *byte == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()).map(str::trim) else {
            return true;
        };
        if !is_increasing(self.last_id.as_deref(), id) {
            return false;
        }
        self.last_id = Some(id.to_owned());
        self.events += 1;
        true
    }
}

/// Whether an id may follow another one; ids that are not numbers are not compared.
fn is_increasing(last: Option<&str>, next: &str) -> bool {
    let number = |id: &str| id.parse::<u64>().ok();
    match (last.and_then(number), number(next)) {
        (Some(last), Some(next)) => next > last,
        _ => true,
    }
}

/// Returns where the first event that ends at or after `from` ends: after an empty line.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(offset) = buf[at..].iter().position(|byte| *byte == b'\n') {
        let newline = at + offset;
        let rest = &buf[newline + 1..];
        if rest.starts_with(b"\n") {
            return Some(newline + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(newline + 3);
        }
        at = newline + 1;
    }
    None
}
