//! Parts of prompts, which requests share: the prompt of a caller's system, a document, a session.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::digest;

/// Maximum number of digits of a part's name that identify it as they are.
const MAX_DIGITS: usize = 16;

/// Identifies a part of prompts, as far as its caller says.
#[derive(Clone, Copy, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(u64);

impl PartId {
    /// Returns the id for a part's name in hexadecimal digits. A name of another form is hashed.
    pub fn of(name: &str) -> PartId {
        let number = (name.len() <= MAX_DIGITS).then(|| u64::from_str_radix(name, 16).ok());
        PartId(number.flatten().unwrap_or_else(|| digest::of(std::iter::once(name))))
    }

    /// The id as bytes.
    pub fn to_le_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
