//! Selects the bundle in force on a node, and carries out the roll-out of a bundle by an operator.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use ed25519_dalek::VerifyingKey;

use crate::bundle::Bundle;
use crate::ids::BundleNumber;
use crate::signing::Envelope;
use crate::signing::EnvelopeError;

/// Key of the object that stores the accepted bundle.
pub const BUNDLE_OBJECT: &str = "bundle";

/// The operators that a node trusts, and how many of them must sign a bundle.
#[derive(Clone, Debug)]
pub struct Trust {
    /// Public keys of the operators.
    pub keys: Vec<VerifyingKey>,
    /// Number of sign-offs that a bundle needs.
    pub sign_offs: usize,
}

/// A verified bundle that is in force on this node.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// The bytes of its envelope, to serve to peers.
    pub envelope: Arc<Vec<u8>>,
    /// SHA-256 hash of its text in hex.
    pub hash: String,
}

/// Verifies and opens an offered envelope if its number is above `current`. Returns `Ok(None)` if it is not,
/// so that only a valid bundle with a higher number can replace the one in force.
pub fn open_if_newer(
    bytes: &[u8],
    current: Option<BundleNumber>,
    trust: &Trust,
) -> Result<Option<BundleInForce>, EnvelopeError> {
    let envelope = Envelope::from_bytes(bytes)?;
    if current.is_some_and(|number| envelope.number <= number) {
        return Ok(None);
    }
    let bundle = envelope.open(&trust.keys, trust.sign_offs)?;
    let hash = envelope.hash();
    Ok(Some(BundleInForce { bundle: Arc::new(bundle), envelope: Arc::new(bytes.to_vec()), hash }))
}

/// Why a roll-out failed or its outcome is unknown.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum RolloutError {
    /// Another bundle with the same or a higher number is already accepted.
    #[display("number {accepted} is accepted already, rolled out by {operator}")]
    Overtaken {
        /// Number of the accepted bundle.
        accepted: BundleNumber,
        /// The operator who rolled it out.
        operator: String,
    },
    /// All attempts failed; it is not known whether the roll-out took effect.
    #[display("the object API does not answer; whether the bundle was accepted is not known")]
    Unsettled,
    /// The stored object is not an envelope.
    #[display("the accepted bundle cannot be read: {reason}")]
    Unreadable {
        /// Error of the parser.
        reason: String,
    },
}

/// The next step of the operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutStep {
    /// Read the accepted bundle and report the result to [`Rollout::on_read`].
    Read,
    /// Write the envelope if the version of the object is `expected`, and report the result to
    /// [`Rollout::on_written`], [`Rollout::on_conflict`] or [`Rollout::on_failure`].
    Write {
        /// The version that the object must have; 0 if it must not exist.
        expected: u64,
    },
    /// The bundle is accepted.
    Accepted,
    /// The bundle is not accepted, or its state is unknown.
    Failed(RolloutError),
}

/// Number of failures and conflicts after which the roll-out ends as [`RolloutError::Unsettled`].
const MAX_FAILURES: u32 = 8;

/// Carries out one roll-out as a conditional update. After a lost response the object is read again and the
/// hashes are compared, so that a write is never repeated blindly.
#[derive(Debug)]
pub struct Rollout {
    number: BundleNumber,
    hash: String,
    failures: u32,
}

impl Rollout {
    /// Creates the roll-out of `envelope`; the first step is [`RolloutStep::Read`].
    pub fn new(envelope: &Envelope) -> Self {
        Rollout { number: envelope.number, hash: envelope.hash(), failures: 0 }
    }

    /// Handles a successful read: the version and bytes of the object, or `None` if it does not exist.
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

    /// Handles a write that took effect.
    pub fn on_written(&mut self) -> RolloutStep {
        RolloutStep::Accepted
    }

    /// Handles a version conflict: the object is read again to see which bundle was accepted.
    pub fn on_conflict(&mut self) -> RolloutStep {
        self.on_failure()
    }

    /// Handles a read or a write without a response; a write may have taken effect.
    pub fn on_failure(&mut self) -> RolloutStep {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            return RolloutStep::Failed(RolloutError::Unsettled);
        }
        RolloutStep::Read
    }
}
