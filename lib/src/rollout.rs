//! Which bundle is in force on a node, and how an operator's roll-out is settled.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use ed25519_dalek::VerifyingKey;

use crate::bundle::Bundle;
use crate::ids::BundleNumber;
use crate::signing::Envelope;
use crate::signing::EnvelopeError;

/// The object that holds the accepted bundle.
pub const BUNDLE_OBJECT: &str = "bundle";

/// The keys that a node trusts.
#[derive(Clone, Debug)]
pub struct Trust {
    /// The operators' public keys.
    pub keys: Vec<VerifyingKey>,
    /// Sign-offs that a bundle needs.
    pub sign_offs: usize,
}

/// A bundle that was accepted and is in force here.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Its envelope's bytes, to hand to peers.
    pub envelope: Arc<Vec<u8>>,
    /// Hash of its text.
    pub hash: String,
}

/// Decides whether an offered envelope replaces what is in force: only a valid one
/// with a higher number does. `Ok(None)` means that it is not newer.
pub fn consider(
    bytes: &[u8],
    current: Option<BundleNumber>,
    trust: &Trust,
) -> Result<Option<InForce>, EnvelopeError> {
    let envelope = Envelope::from_bytes(bytes)?;
    if current.is_some_and(|number| envelope.number <= number) {
        return Ok(None);
    }
    let bundle = envelope.open(&trust.keys, trust.sign_offs)?;
    let hash = envelope.hash();
    Ok(Some(InForce { bundle: Arc::new(bundle), envelope: Arc::new(bytes.to_vec()), hash }))
}

/// Why a roll-out did not take place.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum RolloutError {
    /// Another bundle with this or a higher number is accepted.
    #[display("number {accepted} is accepted already, rolled out by {operator}")]
    Overtaken {
        /// The accepted number.
        accepted: BundleNumber,
        /// Who rolled it out.
        operator: String,
    },
    /// The object API failed throughout; whether it took effect is not known.
    #[display("the object API does not answer; whether the bundle was accepted is not known")]
    Unsettled,
    /// What the object API holds is not an envelope.
    #[display("the accepted bundle cannot be read: {reason}")]
    Unreadable {
        /// What the reader said.
        reason: String,
    },
}

/// What the operator's command is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutStep {
    /// Read the accepted bundle and report with [`Rollout::on_read`].
    Read,
    /// Write the envelope if the object still has this version, and report with
    /// [`Rollout::on_written`].
    Write {
        /// The version; 0 for absent.
        expected: u64,
    },
    /// It is accepted.
    Accepted,
    /// It is not, or that is not known.
    Failed(RolloutError),
}

/// Attempts before the outcome is given up as unsettled.
const MAX_FAILURES: u32 = 8;

/// Settles one roll-out: a single conditional update, and after a lost answer a read
/// that compares hashes; never a second blind write.
#[derive(Debug)]
pub struct Rollout {
    number: BundleNumber,
    hash: String,
    failures: u32,
}

impl Rollout {
    /// A roll-out of this envelope; start by reading.
    pub fn new(envelope: &Envelope) -> Self {
        Rollout { number: envelope.number, hash: envelope.hash(), failures: 0 }
    }

    /// The read is over: version and bytes, or `None` when the object is absent.
    pub fn on_read(&mut self, found: Option<(u64, &[u8])>) -> RolloutStep {
        let Some((version, bytes)) = found else {
            return RolloutStep::Write { expected: 0 };
        };
        let accepted = match Envelope::from_bytes(bytes) {
            Ok(accepted) => accepted,
            Err(err) => return RolloutStep::Failed(RolloutError::Unreadable { reason: err.to_string() }),
        };
        if accepted.number == self.number && accepted.hash() == self.hash {
            return RolloutStep::Accepted;
        }
        if accepted.number >= self.number {
            let overtaken =
                RolloutError::Overtaken { accepted: accepted.number, operator: accepted.operator };
            return RolloutStep::Failed(overtaken);
        }
        RolloutStep::Write { expected: version }
    }

    /// The write took effect.
    pub fn on_written(&mut self) -> RolloutStep {
        RolloutStep::Accepted
    }

    /// The object had another version: see whose.
    pub fn on_conflict(&mut self) -> RolloutStep {
        self.on_failure()
    }

    /// A read or a write had no answer; a write may have taken effect.
    pub fn on_failure(&mut self) -> RolloutStep {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            return RolloutStep::Failed(RolloutError::Unsettled);
        }
        RolloutStep::Read
    }
}
