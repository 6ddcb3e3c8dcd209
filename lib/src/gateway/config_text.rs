//! The text of the configuration in force, as nodes hand it to each other: compressed, and only
//! what differs where the other node has the one before.
//!
//! 5,000 routes are 1 MB of text; that takes 0.8 s on a link of 10 Mbit/s. Compressed they are 64 kB
//! and take 51 ms, and a change of the version alone is 113 bytes (`test_sizes_on_the_way`).

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

/// Level of compression. Below this one a small change of 5,000 routes is 29 to 53 kB in place of
/// 113 bytes; level 5 takes twice the time for a few percent.
const LEVEL: i32 = 3;
/// Back references reach 2 to this power bytes: over all of the text before and the new one.
const WINDOW_LOG: u32 = 22;
/// Bytes of a text at most; the platform's largest object has 1 MiB.
const MOST_BYTES: u64 = 4 << 20;

/// Names encoded bytes: two nodes that hand out the same edition hand out the same bytes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("\"{version}-{base}-{bytes}\"")]
pub struct Edition {
    /// The configuration.
    pub version: ConfigVersion,
    /// The configuration without which the bytes can't be read; 0 for none.
    pub base: ConfigVersion,
    /// How many bytes.
    pub bytes: usize,
}

/// Not the name of an edition.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("not an edition")]
pub struct NoEdition;

impl FromStr for Edition {
    type Err = NoEdition;

    fn from_str(text: &str) -> Result<Self, NoEdition> {
        let mut parts = text.trim_matches('"').split('-');
        let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok()).ok_or(NoEdition);
        Ok(Edition { version: next()?, base: next()?, bytes: next()? as usize })
    }
}

/// An edition that may not be whole: its rest is fetched, from whoever has it.
#[derive(Debug)]
pub struct PartOfConfig {
    /// Which.
    pub edition: Edition,
    /// What is here of it, from its beginning.
    pub buf: BytesMut,
}

impl PartOfConfig {
    /// Nothing of an edition yet.
    pub fn new(edition: Edition) -> Self {
        PartOfConfig { edition, buf: BytesMut::new() }
    }

    /// Whether all of it is here.
    pub fn is_whole(&self) -> bool {
        self.buf.len() == self.edition.bytes
    }

    /// Whether it would be of use to a node with the configuration `own`.
    pub fn serves(&self, own: ConfigVersion) -> bool {
        self.edition.version > own && (self.edition.base == 0 || self.edition.base == own)
    }
}

/// A configuration's text.
#[derive(Debug)]
pub struct ConfigText {
    /// The configuration.
    pub version: ConfigVersion,
    text: Bytes,
    before: Option<(ConfigVersion, Bytes)>,
    whole: OnceLock<Bytes>,
    difference: OnceLock<Bytes>,
}

impl ConfigText {
    /// The text that follows `before`.
    pub fn new(version: ConfigVersion, text: Bytes, before: Option<&ConfigText>) -> Arc<ConfigText> {
        Arc::new(ConfigText {
            version,
            text,
            before: before.map(|before| (before.version, before.text.clone())),
            whole: OnceLock::new(),
            difference: OnceLock::new(),
        })
    }

    /// What to hand to a node that has the configuration `known`.
    pub fn encoded_for(&self, known: ConfigVersion) -> io::Result<(Edition, Bytes)> {
        let before = self.before.as_ref().filter(|(version, _)| *version == known);
        let (base, encoded, text) = match before {
            Some((base, text)) => (*base, &self.difference, &text[..]),
            None => (0, &self.whole, &[][..]),
        };
        // Compressed once, when first asked for.
        let bytes = match encoded.get() {
            Some(bytes) => bytes.clone(),
            None => {
                let bytes = Bytes::from(compress(&self.text, text)?);
                encoded.get_or_init(|| bytes).clone()
            }
        };
        Ok((Edition { version: self.version, base, bytes: bytes.len() }, bytes))
    }

    /// Decodes what another node handed over.
    pub fn decode(edition: Edition, encoded: &[u8], known: Option<&ConfigText>) -> io::Result<Bytes> {
        let known = known.filter(|known| known.version == edition.base);
        let base = match (edition.base, known) {
            (0, _) => &[],
            (_, Some(known)) => &*known.text,
            (_, None) => return Err(io::Error::other("the configuration that it differs from is gone")),
        };
        let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(encoded, base)?;
        decoder.window_log_max(WINDOW_LOG)?;
        let mut text = Vec::new();
        decoder.take(MOST_BYTES).read_to_end(&mut text)?;
        Ok(Bytes::from(text))
    }
}

fn compress(text: &[u8], before: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), LEVEL, before)?;
    encoder.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    // A text that differs from the one that was meant must not be taken.
    encoder.include_checksum(true)?;
    encoder.write_all(text)?;
    encoder.finish()
}
