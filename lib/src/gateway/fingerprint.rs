//! Names a request by what its caller sends again when it comes back.
//!
//! A caller that tries again has another request id, deadline, trace and `Last-Event-ID`. What stays is
//! whom it asks, what for, in whose name, and the body.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of a fingerprint: a second request with the same one takes 2^128 tries on purpose.
const BYTES: usize = 16;

/// What a request is made of.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, as the caller names it.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// In whose name it comes; empty where there are no organisations.
    pub organisation: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The name of a request and of all that are like it: the first half of a SHA-256 of its parts.
#[derive(Clone, Copy, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(parts: &RequestParts) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in [parts.method, parts.host, parts.path, parts.organisation] {
            // With its length before it, no part can be taken for a piece of the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(parts.body);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Fingerprint(bytes)
    }

    /// The fingerprint that is written so, in 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Fingerprint> {
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; BYTES];
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).ok()?;
        }
        Some(Fingerprint(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
