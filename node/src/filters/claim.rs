//! Runs a call that is not repeatable at most once: its `Idempotency-Key` is claimed in the object API
//! before any byte of the call can reach an upstream.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::Nonce;
use leadstage_lib::code::Code;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::signing::sha256_hex;
use rand::RngExt;
use tokio::sync::oneshot;

use crate::control_message::ClaimDecision;
use crate::control_message::ControlMessage;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Timeout of a claim, with all its steps; the call is not run after it.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` of a call whose claim timed out.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Length to which hex hashes of keys and requests are truncated.
const HASH_HEX_DIGITS: usize = 32;

/// An idempotency key that this request has claimed.
pub struct OwnedKey {
    shared: Arc<Shared>,
    key: String,
    nonce: Nonce,
    settled: bool,
}

/// The result of a claim.
pub enum ClaimResult {
    /// This request owns the key and may be dispatched once.
    Owned(OwnedKey),
    /// An earlier request with the key ended with this outcome.
    Recorded(ClaimOutcome),
}

/// Claims a key. The organisation is part of the stored key, so keys of different organisations never
/// collide.
pub async fn claim(
    shared: &Arc<Shared>,
    organisation: &OrganisationId,
    key: &str,
    digest: &str,
) -> Result<ClaimResult, Refusal> {
    let key = truncate_hash(&sha256_hex(format!("{organisation}\n{key}").as_bytes()));
    let nonce = rand::rng().random();
    let mut owned = OwnedKey { shared: shared.clone(), key: key.clone(), nonce, settled: false };
    let (reply, rx) = oneshot::channel();
    let message = ControlMessage::Claim { key, nonce, digest: truncate_hash(digest), reply };
    shared.control.send(message).map_err(|_| Refusal::new(Code::Stopping))?;
    match tokio::time::timeout(CLAIM_TIMEOUT, rx).await {
        Ok(Ok(ClaimDecision::Owned)) => Ok(ClaimResult::Owned(owned)),
        Ok(Ok(ClaimDecision::Outcome(outcome))) => {
            owned.settled = true;
            Ok(ClaimResult::Recorded(outcome))
        }
        Ok(Ok(ClaimDecision::Refused { code, retry_after })) => {
            owned.settled = code != Code::PlatformDown;
            Err(Refusal::with_retry_after(code, retry_after))
        }
        Ok(Err(_)) | Err(_) => Err(Refusal::with_retry_after(Code::PlatformDown, RETRY_AFTER)),
    }
}

fn truncate_hash(hash: &str) -> String {
    hash.chars().take(HASH_HEX_DIGITS).collect()
}

impl OwnedKey {
    /// Records the outcome for later requests with the key.
    pub fn record(mut self, outcome: ClaimOutcome) {
        self.send(outcome);
        self.settled = true;
    }

    fn send(&self, outcome: ClaimOutcome) {
        let message = ControlMessage::Record { key: self.key.clone(), nonce: self.nonce, outcome };
        let _ = self.shared.control.send(message);
    }
}

impl Drop for OwnedKey {
    /// Without an outcome, nothing was or will be dispatched under this claim. The claim may have taken
    /// effect although no confirmation arrived: it is released, so that the caller may retry with its key.
    fn drop(&mut self) {
        if !self.settled {
            self.send(ClaimOutcome::not_run(Code::UpstreamRefused));
        }
    }
}
