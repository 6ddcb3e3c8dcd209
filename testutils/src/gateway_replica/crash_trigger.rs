//! Requests that crash a stand-in replica.

use bytes::Bytes;
use http::HeaderMap;

/// Requests that crash a replica which begins to run them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashTrigger {
    /// Those with this body.
    Body(Bytes),
    /// Those with this part in their prompts, before the last one.
    Part(String),
}

impl CrashTrigger {
    /// Whether a request crashes the replica.
    pub fn matches(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        match self {
            CrashTrigger::Body(crashing) => crashing == body,
            CrashTrigger::Part(crashing) => {
                let parts = headers.get("leadstage-prompt-prefix").and_then(|parts| parts.to_str().ok());
                let shared = parts.and_then(|parts| parts.rsplit_once(',')).map_or("", |(shared, _)| shared);
                shared.split(',').any(|part| part.split(':').next() == Some(crashing))
            }
        }
    }
}
