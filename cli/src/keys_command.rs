//! `leadstage keys new`.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use ed25519_dalek::SigningKey;
use leadstage_lib::signing::encode_key;
use leadstage_lib::signing::encode_signing_key;
use rand::Rng;
use serde_json::json;

use crate::args::Format;
use crate::error::CliError;

/// Only the owner may read and write the key file.
const KEY_FILE_MODE: u32 = 0o600;

/// Writes a new signing key to a file that must not exist yet, and returns the public key.
pub fn create_key(path: &Path, format: Format) -> Result<String, CliError> {
    let mut secret = [0_u8; 32];
    rand::rng().fill_bytes(&mut secret);
    let key = SigningKey::from_bytes(&secret);
    let file_error = |source| CliError::File { path: path.to_owned(), source };
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(KEY_FILE_MODE);
    let mut f = options.open(path).map_err(file_error)?;
    writeln!(f, "{}", encode_signing_key(&key)).map_err(file_error)?;
    let public_key = encode_key(&key.verifying_key());
    Ok(match format {
        Format::Json => format!("{}\n", json!({"public_key": public_key})),
        Format::Text => format!("{public_key}\n"),
    })
}
