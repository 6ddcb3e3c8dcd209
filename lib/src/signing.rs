//! Signed bundles: the envelope in which a bundle is stored in the object API and sent to peers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use derive_more::Display;
use derive_more::Error;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::bundle::Bundle;
use crate::checked_yaml::Problem;
use crate::ids::BundleNumber;

/// Prefix of the signed bytes that separates bundle signatures from any other use of the same keys.
const SIGNING_CONTEXT: &[u8] = b"leadstage bundle v1\n";
/// Maximum size of an envelope; the object API stores values of up to 1 MB.
pub const MAX_ENVELOPE_BYTES: usize = 1_000_000;

/// The text of a bundle with its sign-offs.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Number of the bundle; must equal the number in `yaml`.
    pub number: BundleNumber,
    /// The operator who rolled the bundle out, as shown to other operators.
    pub operator: String,
    /// The text of the bundle as the operator wrote it.
    pub yaml: String,
    /// Sign-offs of `yaml`.
    pub signatures: Vec<SignOff>,
}

/// The signature of one operator.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignOff {
    /// The public key of the operator in base64.
    pub key: String,
    /// The signature in base64.
    pub signature: String,
}

/// Why an envelope was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum EnvelopeError {
    /// The bytes are not an envelope.
    #[display("not an envelope: {reason}")]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
    /// The envelope is larger than [`MAX_ENVELOPE_BYTES`].
    #[display("{bytes} bytes are more than {MAX_ENVELOPE_BYTES}")]
    TooLarge {
        /// Size of the envelope.
        bytes: usize,
    },
    /// Too few trusted operators signed the bundle.
    #[display("{found} valid sign-offs of trusted operators, {needed} needed")]
    MissingSignOffs {
        /// Number of trusted keys with a valid signature.
        found: usize,
        /// Number of sign-offs that are needed.
        needed: usize,
    },
    /// The number in the text differs from the number of the envelope.
    #[display("the envelope says number {envelope}, the bundle {bundle}")]
    NumberMismatch {
        /// Number of the envelope.
        envelope: BundleNumber,
        /// Number in the text of the bundle.
        bundle: BundleNumber,
    },
    /// The bundle has mistakes.
    #[display("{} mistakes in the bundle, first: {}", problems.len(), problems[0])]
    InvalidBundle {
        /// Every mistake; at least one.
        problems: Vec<Problem>,
    },
}

/// Returns the SHA-256 hash of `bytes` in hex.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes a public key in base64, as in settings and envelopes.
pub fn encode_key(key: &VerifyingKey) -> String {
    BASE64.encode(key.as_bytes())
}

/// Decodes a public key from base64.
pub fn decode_key(text: &str) -> Option<VerifyingKey> {
    let bytes = BASE64.decode(text.trim()).ok()?;
    VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()
}

/// Encodes a signing key in base64, as `leadstage keys new` writes it.
pub fn encode_signing_key(key: &SigningKey) -> String {
    BASE64.encode(key.as_bytes())
}

/// Decodes a signing key from base64.
pub fn decode_signing_key(text: &str) -> Option<SigningKey> {
    let bytes = BASE64.decode(text.trim()).ok()?;
    Some(SigningKey::from_bytes(&bytes.try_into().ok()?))
}

fn signed_bytes(yaml: &str) -> Vec<u8> {
    [SIGNING_CONTEXT, yaml.as_bytes()].concat()
}

/// Signs the text of a bundle.
pub fn sign(yaml: &str, key: &SigningKey) -> SignOff {
    let signature = key.sign(&signed_bytes(yaml));
    SignOff { key: encode_key(&key.verifying_key()), signature: BASE64.encode(signature.to_bytes()) }
}

impl Envelope {
    /// Parses an envelope from the object API or a peer.
    pub fn from_bytes(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLarge { bytes: bytes.len() });
        }
        serde_json::from_slice(bytes).map_err(|err| EnvelopeError::Malformed { reason: err.to_string() })
    }

    /// Serializes the envelope for storage.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an envelope is serializable")
    }

    /// Returns the hash of the bundle's text, which distinguishes roll-outs with the same number.
    pub fn hash(&self) -> String {
        sha256_hex(self.yaml.as_bytes())
    }

    /// Verifies the sign-offs, validates the bundle and returns it.
    pub fn open(&self, trusted: &[VerifyingKey], needed: usize) -> Result<Bundle, EnvelopeError> {
        let found = self.valid_sign_offs(trusted);
        if found < needed.max(1) {
            return Err(EnvelopeError::MissingSignOffs { found, needed: needed.max(1) });
        }
        let bundle =
            Bundle::from_yaml(&self.yaml).map_err(|problems| EnvelopeError::InvalidBundle { problems })?;
        if bundle.number != self.number {
            return Err(EnvelopeError::NumberMismatch { envelope: self.number, bundle: bundle.number });
        }
        Ok(bundle)
    }

    /// Returns the number of trusted keys with a valid signature of the text.
    fn valid_sign_offs(&self, trusted: &[VerifyingKey]) -> usize {
        let message = signed_bytes(&self.yaml);
        trusted.iter().filter(|key| self.is_signed_by(key, &message)).count()
    }

    fn is_signed_by(&self, key: &VerifyingKey, message: &[u8]) -> bool {
        let encoded_key = encode_key(key);
        let matching = self.signatures.iter().filter(|s| s.key == encoded_key);
        matching
            .filter_map(|s| BASE64.decode(&s.signature).ok())
            .filter_map(|bytes| Signature::from_slice(&bytes).ok())
            .any(|signature| key.verify_strict(message, &signature).is_ok())
    }
}
