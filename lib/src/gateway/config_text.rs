//! The text of the active configuration as nodes transfer it: compressed, and as a delta where the receiver
//! has the preceding version.
//!
//! 5,000 routes are 1 MB of text, which takes 0.8 s on a link of 10 Mbit/s. Compressed they are 64 kB and
//! take 51 ms, and a change of the version alone is 113 bytes (`test_encoded_sizes`).

use std::io;
use std::io::Read;
use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use zstd::zstd_safe::CParameter;

use crate::gateway::routing::ConfigVersion;

/// Compression level. At lower levels the delta of a small change to 5,000 routes is 29 to 53 kB instead of
/// 113 bytes; level 5 takes twice the time and saves a few percent.
const COMPRESSION_LEVEL: i32 = 3;
/// The compression window is 2 to the power of this many bytes: it spans the whole previous text and the new
/// one.
const WINDOW_LOG: u32 = 22;
/// The largest accepted text; the platform's largest object is 1 MiB.
const MAX_TEXT_BYTES: u64 = 4 << 20;

/// Identifies an encoding of a configuration: all nodes serve the same bytes for the same edition.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("\"{version}-{base}-{bytes}\"")]
pub struct Edition {
    /// The configuration.
    pub version: ConfigVersion,
    /// The configuration that the delta is based on; 0 for a full text.
    pub base: ConfigVersion,
    /// Length of the encoded bytes.
    pub bytes: usize,
}

/// The text does not parse as an edition.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("not an edition")]
pub struct InvalidEdition;

impl FromStr for Edition {
    type Err = InvalidEdition;

    fn from_str(text: &str) -> Result<Self, InvalidEdition> {
        let mut parts = text.trim_matches('"').split('-');
        let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok()).ok_or(InvalidEdition);
        Ok(Edition { version: next()?, base: next()?, bytes: next()? as usize })
    }
}

/// A partially received edition; the remaining bytes can be fetched from any node that serves it.
#[derive(Debug)]
pub struct PartialConfig {
    /// The edition that is being received.
    pub edition: Edition,
    /// The bytes received so far, from the start of the edition.
    pub buf: BytesMut,
}

impl PartialConfig {
    /// Creates an empty buffer for an edition.
    pub fn new(edition: Edition) -> Self {
        PartialConfig { edition, buf: BytesMut::new() }
    }

    /// Whether all bytes have been received.
    pub fn is_whole(&self) -> bool {
        self.buf.len() == self.edition.bytes
    }

    /// Whether a node with the configuration `own` can decode it to a newer configuration.
    pub fn is_usable_with(&self, own: ConfigVersion) -> bool {
        self.edition.version > own && (self.edition.base == 0 || self.edition.base == own)
    }
}

/// A configuration's text with its cached encodings.
#[derive(Debug)]
pub struct ConfigText {
    /// The configuration's version.
    pub version: ConfigVersion,
    text: Bytes,
    previous: Option<(ConfigVersion, Bytes)>,
    full: OnceLock<Bytes>,
    delta: OnceLock<Bytes>,
}

impl ConfigText {
    /// Creates the text that succeeds `previous`.
    pub fn new(version: ConfigVersion, text: Bytes, previous: Option<&ConfigText>) -> Arc<ConfigText> {
        Arc::new(ConfigText {
            version,
            text,
            previous: previous.map(|previous| (previous.version, previous.text.clone())),
            full: OnceLock::new(),
            delta: OnceLock::new(),
        })
    }

    /// The encoding for a node that has the configuration `known`: a delta if possible, else the full text.
    pub fn encoded_for(&self, known: ConfigVersion) -> io::Result<(Edition, Bytes)> {
        let previous = self.previous.as_ref().filter(|(version, _)| *version == known);
        let (base, encoded, text) = match previous {
            Some((base, text)) => (*base, &self.delta, &text[..]),
            None => (0, &self.full, &[][..]),
        };
        // Compressed lazily, on the first request.
        let bytes = match encoded.get() {
            Some(bytes) => bytes.clone(),
            None => {
                let bytes = Bytes::from(compress(&self.text, text)?);
                encoded.get_or_init(|| bytes).clone()
            }
        };
        Ok((Edition { version: self.version, base, bytes: bytes.len() }, bytes))
    }

    /// Decodes an encoding received from another node.
    pub fn decode(edition: Edition, encoded: &[u8], known: Option<&ConfigText>) -> io::Result<Bytes> {
        let known = known.filter(|known| known.version == edition.base);
        let base = match (edition.base, known) {
            (0, _) => &[],
            (_, Some(known)) => &*known.text,
            (_, None) => return Err(io::Error::other("base configuration of the delta is not available")),
        };
        let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(encoded, base)?;
        decoder.window_log_max(WINDOW_LOG)?;
        let mut text = Vec::new();
        decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
        if text.len() as u64 > MAX_TEXT_BYTES {
            return Err(io::Error::other("the text is too long"));
        }
        Ok(Bytes::from(text))
    }
}

fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    // The checksum rejects a text that was decoded against a wrong base.
    encoder.include_checksum(true)?;
    encoder.write_all(text)?;
    encoder.finish()
}
