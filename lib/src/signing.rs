//! Signed bundles: the envelope that the object API and the peers carry.

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

/// Separates bundle signatures from any other use of the same keys.
const SIGNING_CONTEXT: &[u8] = b"leadstage bundle v1\n";
/// Bytes of an envelope at most; the object API holds values of 1 MB.
pub const MAX_ENVELOPE_BYTES: usize = 1_000_000;

/// A bundle's text with its sign-offs.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The bundle's number, which the text must have too.
    pub number: BundleNumber,
    /// The operator who rolled it out, for the others to see.
    pub operator: String,
    /// The bundle, as written.
    pub yaml: String,
    /// Sign-offs of `yaml`.
    pub signatures: Vec<SignOff>,
}

/// One operator's signature.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignOff {
    /// The operator's public key, base64.
    pub key: String,
    /// The signature, base64.
    pub signature: String,
}

/// Why an envelope was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum EnvelopeError {
    /// It is not an envelope.
    #[display("not an envelope: {reason}")]
    Malformed {
        /// What the reader said.
        reason: String,
    },
    /// It is over the size limit.
    #[display("{bytes} bytes are more than {MAX_ENVELOPE_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// Fewer trusted operators signed than are needed.
    #[display("{found} valid sign-offs of trusted operators, {needed} needed")]
    MissingSignOffs {
        /// Valid ones by different trusted keys.
        found: usize,
        /// Needed.
        needed: usize,
    },
    /// The text has another number than the envelope.
    #[display("the envelope says number {envelope}, the bundle {bundle}")]
    NumberMismatch {
        /// The envelope's.
        envelope: BundleNumber,
        /// The bundle's.
        bundle: BundleNumber,
    },
    /// The bundle itself is wrong.
    #[display("{} mistakes in the bundle, first: {}", problems.len(), problems[0])]
    InvalidBundle {
        /// Every mistake; at least one.
        problems: Vec<Problem>,
    },
}

/// SHA-256 of `bytes` in hex.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A key in base64, as settings and envelopes carry it.
pub fn encode_key(key: &VerifyingKey) -> String {
    BASE64.encode(key.as_bytes())
}

/// Reads a public key from base64.
pub fn decode_key(text: &str) -> Option<VerifyingKey> {
    let bytes = BASE64.decode(text.trim()).ok()?;
    VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()
}

/// A signing key in base64, as `leadstage keys new` writes it.
pub fn encode_signing_key(key: &SigningKey) -> String {
    BASE64.encode(key.as_bytes())
}

/// Reads a signing key from base64.
pub fn decode_signing_key(text: &str) -> Option<SigningKey> {
    let bytes = BASE64.decode(text.trim()).ok()?;
    Some(SigningKey::from_bytes(&bytes.try_into().ok()?))
}

fn signed_bytes(yaml: &str) -> Vec<u8> {
    [SIGNING_CONTEXT, yaml.as_bytes()].concat()
}

/// Signs a bundle's text.
pub fn sign(yaml: &str, key: &SigningKey) -> SignOff {
    let signature = key.sign(&signed_bytes(yaml));
    SignOff { key: encode_key(&key.verifying_key()), signature: BASE64.encode(signature.to_bytes()) }
}

impl Envelope {
    /// Reads an envelope from the bytes that the object API or a peer gave.
    pub fn from_bytes(bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLarge { bytes: bytes.len() });
        }
        serde_json::from_slice(bytes).map_err(|err| EnvelopeError::Malformed { reason: err.to_string() })
    }

    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data serialises")
    }

    /// Hash of the bundle's text, which tells one roll-out from another.
    pub fn hash(&self) -> String {
        sha256_hex(self.yaml.as_bytes())
    }

    /// Checks the sign-offs and the bundle, and returns the bundle.
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

    /// How many different trusted keys signed the text.
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
