//! Claims of `Idempotency-Key`s in shards of the object API: a key is claimed by
//! conditional update before the request may be dispatched, so it runs at most once
//! whoever else writes the shard. [`crate::claim_writer`] commits them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Ran;
use crate::ids::UnixMillis;
use crate::ids::VmId;
use crate::rendezvous;

/// Bytes of a shard at which no more keys are taken; the object API holds 1 MB.
pub const FULL_SHARD_BYTES: usize = 900_000;
/// Bytes of a recorded answer's body at most; a longer one is not kept.
pub const MAX_RECORDED_BODY_BYTES: usize = 2_048;

/// Names an arrival: the same for its retries, different for any other.
pub type Nonce = u64;
/// Names a question to the writer, to match the answer.
pub type Ticket = u64;

/// The shard of a key.
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (rendezvous::weight("claim", key) % u64::from(shards.max(1))) as u32
}

/// The object that holds a shard.
pub fn object_key(shard: u32) -> String {
    format!("claims/{shard}")
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ClaimOutcome {
    /// Number of the result code.
    pub code: u16,
    /// HTTP status that the caller got.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// The body, if it was short enough to keep and is text.
    pub body: Option<String>,
}

impl ClaimOutcome {
    /// The outcome of a request that did not run.
    pub fn not_run(code: Code) -> Self {
        ClaimOutcome {
            code: code.number(),
            status: code.http_status(),
            content_type: String::new(),
            body: None,
        }
    }

    /// Whether it says that the request did not run, so that the key may be claimed again.
    pub fn is_not_run(&self) -> bool {
        Code::from_number(self.code).is_some_and(|code| code.ran() == Ran::No)
    }
}

/// A claimed key.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Claim {
    /// The arrival that owns it.
    pub nonce: Nonce,
    /// The VM where it arrived.
    pub by: VmId,
    /// Hash of the request, to tell a reused key.
    pub digest: String,
    /// When it was claimed.
    pub at: UnixMillis,
    /// The answer, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<ClaimOutcome>,
}

/// A shard as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ClaimShard {
    /// Claims by hashed key.
    pub claims: BTreeMap<String, Claim>,
}

/// What is wanted of the shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimRequest {
    /// Own this key.
    Claim {
        /// The arrival.
        nonce: Nonce,
        /// Where it arrived.
        by: VmId,
        /// Hash of the request.
        digest: String,
    },
    /// Record the outcome of an owned key.
    Record {
        /// The arrival that owns it.
        nonce: Nonce,
        /// The answer.
        outcome: ClaimOutcome,
    },
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    /// The arrival owns the key: it may dispatch, once.
    Claimed,
    /// The outcome is recorded.
    Recorded,
    /// Another arrival owns the key.
    Known {
        /// Where that one arrived.
        by: VmId,
        /// Its answer, once there is one.
        outcome: Option<ClaimOutcome>,
    },
    /// The outcome is not recorded: the arrival does not own the key (any more).
    NotOwned,
    /// The key was used with another request.
    KeyReused,
    /// The shard holds as many keys as fit.
    Full,
    /// The object API did not take the write; the arrival does not own the key.
    Unreachable,
}

impl ClaimVerdict {
    /// Whether another writer may have changed what this says.
    pub fn may_be_outdated(&self) -> bool {
        match self {
            ClaimVerdict::Known { outcome, .. } => outcome.is_none(),
            ClaimVerdict::KeyReused | ClaimVerdict::NotOwned => true,
            _ => false,
        }
    }
}

impl ClaimShard {
    /// Reads a stored shard; empty bytes are an empty one.
    pub fn from_bytes(value: &[u8]) -> Option<ClaimShard> {
        if value.is_empty() {
            return Some(ClaimShard::default());
        }
        serde_json::from_slice(value).ok()
    }

    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data serialises")
    }

    /// Forgets claims older than `retention`.
    pub fn remove_expired(&mut self, unix_now: UnixMillis, retention: Duration) {
        let retention = retention.as_millis() as u64;
        self.claims.retain(|_, claim| unix_now.saturating_sub(claim.at) < retention);
    }

    /// Applies a request; `bytes` is the shard's size and is kept up to date.
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

    /// Records an outcome; one that is there already stands. A body that does not fit
    /// is left out, so that the outcome itself can always be kept.
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
