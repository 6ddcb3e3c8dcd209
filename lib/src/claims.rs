//! Claims of `Idempotency-Key`s, stored in shards in the object API.
//!
//! A key is claimed by a conditional update before its request may be dispatched, so that the request runs
//! at most once even if other VMs write the same shard. [`crate::claim_writer`] commits the claims.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Ran;
use crate::ids::UnixMillis;
use crate::ids::VmId;
use crate::rendezvous;

/// Size of a shard in bytes above which no new key is claimed; the object API stores values of up to 1 MB.
pub const FULL_SHARD_BYTES: usize = 900_000;
/// Maximum size of a recorded response body; a longer body is not recorded.
pub const MAX_RECORDED_BODY_BYTES: usize = 2_048;

/// Identifies an arrival of a request: the same when its claim is retried, unique among arrivals.
pub type Nonce = u64;
/// Identifies a request to the writer and its answer.
pub type Ticket = u64;

/// Returns the shard of a key.
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (rendezvous::weight("claim", key) % u64::from(shards.max(1))) as u32
}

/// Returns the key of the object that stores a shard.
pub fn object_key(shard: u32) -> String {
    format!("claims/{shard}")
}

/// The recorded response to a request.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ClaimOutcome {
    /// Number of the result [`Code`].
    pub code: u16,
    /// HTTP status that was sent to the caller.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// The body, if it is text and short enough to be recorded.
    pub body: Option<String>,
}

impl ClaimOutcome {
    /// Returns the outcome of a request that did not run.
    pub fn not_run(code: Code) -> Self {
        ClaimOutcome {
            code: code.number(),
            status: code.http_status(),
            content_type: String::new(),
            body: None,
        }
    }

    /// Whether the request did not run, so that its key may be claimed again.
    pub fn is_not_run(&self) -> bool {
        Code::from_number(self.code).is_some_and(|code| code.ran() == Ran::No)
    }
}

/// A claim of a key.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Claim {
    /// The arrival that owns the key.
    pub nonce: Nonce,
    /// The VM where the request arrived.
    pub by: VmId,
    /// Hash of the request, to detect that a key is reused for another request.
    pub digest: String,
    /// Time of the claim.
    pub at: UnixMillis,
    /// The outcome, once it is recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<ClaimOutcome>,
}

/// A shard in its stored form.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ClaimShard {
    /// Claims by the hash of the key.
    pub claims: BTreeMap<String, Claim>,
}

/// A request to change a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimRequest {
    /// Claim a key for an arrival.
    Claim {
        /// The arrival that claims the key.
        nonce: Nonce,
        /// The VM where it arrived.
        by: VmId,
        /// Hash of the request.
        digest: String,
    },
    /// Record the outcome of an owned key.
    Record {
        /// The arrival that owns the key.
        nonce: Nonce,
        /// The outcome of its request.
        outcome: ClaimOutcome,
    },
}

/// The result of a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    /// The arrival owns the key and may be dispatched once.
    Claimed,
    /// The outcome is recorded.
    Recorded,
    /// Another arrival owns the key.
    Known {
        /// The VM where the owner arrived.
        by: VmId,
        /// Its outcome, once it is recorded.
        outcome: Option<ClaimOutcome>,
    },
    /// The outcome is not recorded because the arrival does not own the key, or no longer does.
    NotOwned,
    /// The key was claimed by a different request.
    KeyReused,
    /// The shard has no room for another key.
    Full,
    /// The object API could not be reached; the arrival must be treated as not owning the key.
    Unreachable,
}

impl ClaimVerdict {
    /// Whether another writer may have changed this result since the shard was read.
    pub fn may_be_outdated(&self) -> bool {
        match self {
            ClaimVerdict::Known { outcome, .. } => outcome.is_none(),
            ClaimVerdict::KeyReused | ClaimVerdict::NotOwned => true,
            _ => false,
        }
    }
}

impl ClaimShard {
    /// Parses a stored shard; empty bytes are an empty shard.
    pub fn from_bytes(value: &[u8]) -> Option<ClaimShard> {
        if value.is_empty() {
            return Some(ClaimShard::default());
        }
        serde_json::from_slice(value).ok()
    }

    /// Serializes the shard for storage.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim shard is serializable")
    }

    /// Removes claims older than `retention`.
    pub fn remove_expired(&mut self, unix_now: UnixMillis, retention: Duration) {
        let retention = retention.as_millis() as u64;
        self.claims.retain(|_, claim| unix_now.saturating_sub(claim.at) < retention);
    }

    /// Applies a request; `bytes` is the size of the shard, to which an estimate of the addition is added.
    pub fn apply(
        &mut self,
        key: &str,
        request: &ClaimRequest,
        unix_now: UnixMillis,
        bytes: &mut usize,
    ) -> ClaimVerdict {
        match request {
            ClaimRequest::Claim { nonce, by, digest } => {
                let claim = Claim {
                    nonce: *nonce,
                    by: by.clone(),
                    digest: digest.clone(),
                    at: unix_now,
                    outcome: None,
                };
                self.claim(key, claim, bytes)
            }
            ClaimRequest::Record { nonce, outcome } => self.record(key, *nonce, outcome, bytes),
        }
    }

    fn claim(&mut self, key: &str, claim: Claim, bytes: &mut usize) -> ClaimVerdict {
        if let Some(existing) = self.claims.get(key) {
            if existing.nonce == claim.nonce {
                return ClaimVerdict::Claimed;
            }
            if existing.digest != claim.digest {
                return ClaimVerdict::KeyReused;
            }
            let released = existing.outcome.as_ref().is_some_and(ClaimOutcome::is_not_run);
            if !released {
                return ClaimVerdict::Known { by: existing.by.clone(), outcome: existing.outcome.clone() };
            }
        }
        let added = key.len() + claim.digest.len() + claim.by.len() + 96;
        if *bytes + added > FULL_SHARD_BYTES {
            return ClaimVerdict::Full;
        }
        *bytes += added;
        self.claims.insert(key.to_owned(), claim);
        ClaimVerdict::Claimed
    }

    /// Records an outcome unless one is already recorded. A body that does not fit is left out, so that the
    /// outcome itself can always be recorded.
    fn record(&mut self, key: &str, nonce: Nonce, outcome: &ClaimOutcome, bytes: &mut usize) -> ClaimVerdict {
        let Some(claim) = self.claims.get_mut(key).filter(|c| c.nonce == nonce) else {
            return ClaimVerdict::NotOwned;
        };
        if claim.outcome.is_some() {
            return ClaimVerdict::Recorded;
        }
        let mut outcome = outcome.clone();
        let added = outcome.body.as_ref().map_or(0, |body| body.len() * 2) + 96;
        let fits = *bytes + added <= FULL_SHARD_BYTES;
        outcome.body = outcome.body.filter(|body| fits && body.len() <= MAX_RECORDED_BODY_BYTES);
        *bytes += added;
        claim.outcome = Some(outcome);
        ClaimVerdict::Recorded
    }
}
