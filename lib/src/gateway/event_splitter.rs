//! Splits a stream into whole events, so that only whole events reach the caller. When the stream breaks,
//! a partial event is discarded; it is sent again by the engine that resumes the generation.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;

/// Maximum size of one event; the largest specified events have some kilobytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// First byte of a line that is a comment.
const COMMENT_MARK: u8 = b':';

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

/// What ends a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEnd {
    Lf,
    CrLf,
    Cr,
}

impl LineEnd {
    fn bytes(self) -> usize {
        match self {
            LineEnd::Lf | LineEnd::Cr => 1,
            LineEnd::CrLf => 2,
        }
    }
}

/// Splits received bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes after the last complete event.
    buf: BytesMut,
    /// Where the first line begins in `buf` whose end is not known yet.
    line_start: usize,
    /// The bytes of `buf` before this offset hold no end of that line.
    scanned: usize,
    last_line_end: Option<LineEnd>,
    /// Whether the partial event has a complete line other than a comment.
    has_field: bool,
    last_id: Option<String>,
    events: u64,
    complete_events: u64,
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
        while self.unusable.is_none()
            && let Some(is_blank) = self.next_line()
        {
            if !is_blank {
                continue;
            }
            if !self.record_event(complete, self.line_start) {
                self.unusable = Some(Unusable::NotIncreasing);
                break;
            }
            complete = self.line_start;
            self.complete_events += u64::from(std::mem::take(&mut self.has_field));
        }
        let out = self.buf.split_to(complete).freeze();
        self.line_start -= complete;
        self.scanned -= complete;
        if self.buf.len() > MAX_EVENT_BYTES {
            self.unusable.get_or_insert(Unusable::TooLarge);
        }
        out
    }

    /// Takes the next line if its end is known; returns whether it is blank.
    fn next_line(&mut self) -> Option<bool> {
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let Some(offset) = self.buf[self.scanned..].iter().position(is_end) else {
            self.scanned = self.buf.len();
            return None;
        };
        let end = self.scanned + offset;
        self.scanned = end;
        let is_blank = end == self.line_start;
        let line_end = match (self.buf[end], self.buf.get(end + 1)) {
            (b'\n', _) => LineEnd::Lf,
            (_, Some(b'\n')) => LineEnd::CrLf,
            (_, Some(_)) => LineEnd::Cr,
            // Whether LF follows is not known yet. In a stream whose lines end with CR alone, waiting for the
            // next byte would delay each event until the next one.
            (_, None) if is_blank && self.last_line_end == Some(LineEnd::Cr) => LineEnd::Cr,
            (_, None) => return None,
        };
        self.has_field |= !is_blank && self.buf[self.line_start] != COMMENT_MARK;
        self.last_line_end = Some(line_end);
        self.line_start = end + line_end.bytes();
        self.scanned = self.line_start;
        Some(is_blank)
    }

    /// Returns why the stream is unusable, if it is.
    pub fn unusable(&self) -> Option<Unusable> {
        self.unusable
    }

    /// Number of bytes received after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether the bytes received so far end inside an event. Comments and blank lines are no part of one.
    pub fn is_inside_event(&self) -> bool {
        let line = &self.buf[self.line_start..];
        let ends_event = line == b"\r";
        !ends_event && (self.has_field || line.first().is_some_and(|first| *first != COMMENT_MARK))
    }

    /// Discards a partial event.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        (self.line_start, self.scanned, self.has_field) = (0, 0, false);
        self.unusable = None;
    }

    /// Returns the bytes that are left at a stream's regular end.
    pub fn take_remainder(&mut self) -> Bytes {
        let remainder = self.buf.split().freeze();
        self.discard_partial();
        remainder
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events that had an id.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Number of complete events, with or without an id. Comments and blank lines are none.
    pub fn complete_events(&self) -> u64 {
        self.complete_events
    }

    /// Records a complete event; returns false if its id is not greater than the id before.
    fn record_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buf[start..end];
        let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
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
