//! Identifies a request by those parts that its caller repeats in a retry, and a part of prompts.
//!
//! A retry has another request id, deadline, trace and `Last-Event-ID`. Method, host, path, organisation and
//! body stay the same.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::gateway::prompt_parts::PartId;

/// Bytes of a fingerprint: finding a second request with a given fingerprint takes 2^128 tries.
const BYTES: usize = 16;

/// The parts of a request that make up its fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, as the caller sent it.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The organisation that sends it; empty where there are no organisations.
    pub organisation: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Identifies a request and its retries: the first half of a SHA-256 of its parts.
#[derive(Clone, Copy, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(parts: &RequestParts) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in [parts.method, parts.host, parts.path, parts.organisation] {
            // The length prefix keeps bytes from moving between parts without changing the hash.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(parts.body);
        Fingerprint::first_half(hash)
    }

    /// Returns the fingerprint of a part of the prompts that an organisation, or all of them, send to a service.
    pub fn of_part(service: &str, organisation: Option<&str>, part: PartId) -> Fingerprint {
        let mut hash = Sha256::new();
        // No request begins like this: its method would have this length.
        hash.update(u64::MAX.to_le_bytes());
        hash.update([u8::from(organisation.is_some())]);
        for part in [service, organisation.unwrap_or_default()] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(part.to_le_bytes());
        Fingerprint::first_half(hash)
    }

    fn first_half(hash: Sha256) -> Fingerprint {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Fingerprint(bytes)
    }

    /// Parses a fingerprint from its 32 hexadecimal digits.
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
