//! Splits a stream into whole events, so that only those reach the caller: at a break, a
//! part of an event is dropped and comes again from where the generation goes on.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of one event at most; the largest that the sheets name have some kilobytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Takes bytes in and gives whole events out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched: usize,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes bytes in; returns all events that are whole now, as they came. `None` when an
    /// event is larger than any may be.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let mut whole = 0;
        let mut at = self.searched;
        while let Some(end) = event_end(&self.buf, at) {
            self.note_event(whole, end);
            whole = end;
            at = end;
        }
        let out = self.buf.split_to(whole).freeze();
        // An event's end may be split between two reads.
        self.searched = self.buf.len().saturating_sub(3);
        (self.buf.len() <= MAX_EVENT_BYTES).then_some(out)
    }

    /// Drops the part of an event that is there.
    pub fn drop_part(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// What is left at a stream's regular end.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn note_event(&mut self, start: usize, end: usize) {
        let event = &self.buf[start..end];
        let mut lines = event.split(|byte| *byte == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
            self.events += 1;
        }
    }
}

/// Where the first event that ends at or after `from` ends: behind an empty line.
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
