//! Measures what a peer sends before the head of its answer or request is complete, and decides when it is too
//! much.
//!
//! Informational heads (status 100 to 199, without 101) may come before the head of the answer itself. The
//! HTTP library skips them, however many there are.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::ids::Timestamp;

/// Maximum size in bytes of all heads of one answer that come without a pause. Twice the largest head that a
/// connection to a replica reads, so that informational heads fit beside it.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of informational heads of one answer that come without a pause. Servers send one
/// `100 Continue` or `103 Early Hints`, and `102 Processing` seconds apart.
pub const MAX_INFORMATIONAL_HEADS: usize = 32;
/// Time after which one more informational head may come, so that a sender that reports now and then that it
/// works on a long call is never given up.
pub const TIME_PER_HEAD: Duration = Duration::from_millis(125);
/// Bytes of heads that may come once more after [`TIME_PER_HEAD`].
pub const BYTES_PER_HEAD: usize = MAX_HEAD_BYTES / MAX_INFORMATIONAL_HEADS;
/// Maximum time from the first byte of a head to its end, where a request may be repeated. A segment that is
/// lost once arrives within this time, and after it another sender is likely to answer sooner. The time between
/// two heads does not count: the sender may be working on the answer.
pub const MAX_HEAD_TIME: Duration = Duration::from_millis(2_500);

/// Bytes of a status line up to the end of the status.
const STATUS_END: usize = "HTTP/1.1 200".len();
/// Where the status begins in a status line.
const STATUS_START: usize = "HTTP/1.1 ".len();

/// Why an answer is given up before its head is complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EndlessHead {
    /// Its heads exceed [`MAX_HEAD_BYTES`], or a smaller read buffer.
    #[display("too many bytes before the end of its head")]
    TooManyBytes,
    /// More than [`MAX_INFORMATIONAL_HEADS`] informational heads came before its own without a pause.
    #[display("more than {MAX_INFORMATIONAL_HEADS} informational heads without pause")]
    TooManyHeads,
    /// A head is not complete after [`MAX_HEAD_TIME`].
    #[display("head not complete after {MAX_HEAD_TIME:?}")]
    TooSlow,
}

/// The heads of one answer, or the head of one request.
#[derive(Debug, Default)]
pub struct HeadMeter {
    /// Whether the answer's own head is expected.
    is_expecting: bool,
    /// Whether a head that takes too long is waited for.
    is_patient: bool,
    /// Bytes of heads that count against the maximum; some are forgiven with time.
    bytes: usize,
    /// Informational heads that count against the maximum; some are forgiven with time.
    informational_heads: usize,
    /// Up to when bytes and heads have been forgiven.
    forgiven_until: Option<Timestamp>,
    /// When the head that is being received began.
    began: Option<Timestamp>,
    /// Whether that head is informational; `None` before the end of its status line.
    is_informational: Option<bool>,
    line: Line,
}

impl HeadMeter {
    /// Starts to measure the answer to a request that is about to be sent, or the next request.
    pub fn expect_head(&mut self) {
        *self = HeadMeter { is_expecting: true, ..HeadMeter::default() };
    }

    /// Like [`Self::expect_head`], where nobody else may answer: a head is waited for however long it takes.
    pub fn expect_head_patiently(&mut self) {
        *self = HeadMeter { is_expecting: true, is_patient: true, ..HeadMeter::default() };
    }

    /// Ignores what is received until the next head is expected.
    pub fn expect_no_head(&mut self) {
        *self = HeadMeter::default();
    }

    /// Measures received bytes up to the end of the answer's head; those after it are ignored.
    pub fn on_bytes(&mut self, bytes: &[u8], now: Timestamp) -> Result<(), EndlessHead> {
        for &byte in bytes {
            if !self.is_expecting {
                return Ok(());
            }
            // Blank lines may precede a head, and do not begin it.
            if self.began.is_none() && !matches!(byte, b'\r' | b'\n') {
                self.began = Some(now);
                self.forgive(now);
            }
            self.bytes += 1;
            if self.bytes > MAX_HEAD_BYTES {
                return Err(EndlessHead::TooManyBytes);
            }
            if byte != b'\n' {
                self.line.push(byte);
                continue;
            }
            self.on_line()?;
        }
        Ok(())
    }

    /// Returns when the head that is being received takes too long; `None` if none is, or if it is waited for.
    pub fn due(&self) -> Option<Timestamp> {
        let began = self.began.filter(|_| self.is_expecting && !self.is_patient);
        began.map(|began| began + MAX_HEAD_TIME)
    }

    /// Forgives earlier heads when another one begins. The time that one head takes forgives none of its bytes.
    fn forgive(&mut self, now: Timestamp) {
        let since = *self.forgiven_until.get_or_insert(now);
        let heads = now.saturating_sub(since).as_millis() / TIME_PER_HEAD.as_millis();
        let heads = u32::try_from(heads).unwrap_or(u32::MAX);
        self.forgiven_until = Some(since + TIME_PER_HEAD.saturating_mul(heads));
        self.informational_heads = self.informational_heads.saturating_sub(heads as usize);
        self.bytes = self.bytes.saturating_sub((heads as usize).saturating_mul(BYTES_PER_HEAD));
    }

    fn on_line(&mut self) -> Result<(), EndlessHead> {
        let line = std::mem::take(&mut self.line);
        match self.is_informational {
            // Blank lines may precede a head.
            None if line.is_blank() => {}
            None => self.is_informational = Some(line.has_informational_status()),
            Some(_) if !line.is_blank() => {}
            Some(true) => {
                self.informational_heads += 1;
                if self.informational_heads > MAX_INFORMATIONAL_HEADS {
                    return Err(EndlessHead::TooManyHeads);
                }
                (self.began, self.is_informational) = (None, None);
            }
            Some(false) => self.is_expecting = false,
        }
        Ok(())
    }
}

/// The line that is being received.
#[derive(Debug, Default)]
struct Line {
    bytes: usize,
    start: [u8; STATUS_END],
}

impl Line {
    fn push(&mut self, byte: u8) {
        if let Some(slot) = self.start.get_mut(self.bytes) {
            *slot = byte;
        }
        self.bytes += 1;
    }

    fn is_blank(&self) -> bool {
        self.bytes == 0 || (self.bytes == 1 && self.start[0] == b'\r')
    }

    /// Whether this is the status line of an informational head. After status 101 the connection no longer
    /// carries HTTP.
    fn has_informational_status(&self) -> bool {
        let (version, status) = self.start.split_at(STATUS_START);
        let is_status_line = self.bytes >= STATUS_END && version.starts_with(b"HTTP/1.");
        is_status_line && status[0] == b'1' && status != b"101"
    }
}
