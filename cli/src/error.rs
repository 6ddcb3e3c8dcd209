//! Errors of the command, with their exit codes and hints.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use leadstage_lib::checked_yaml::Problem;
use leadstage_lib::rollout::RolloutError;
use leadstage_lib::signing::EnvelopeError;

use crate::http::HttpError;

/// Exit code of a general failure.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of invalid arguments or an invalid file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a roll-out that was overtaken by another one.
pub const EXIT_OVERTAKEN: u8 = 3;
/// Exit code of a roll-out whose outcome is unknown.
pub const EXIT_UNSETTLED: u8 = 4;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The arguments are invalid.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// An argument, or the content that a report needs, is missing.
    #[display("{_0} is missing")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
    /// A file could not be read or written.
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The bundle is invalid.
    #[display("{} mistakes in the bundle", _0.len())]
    #[from(skip)]
    InvalidBundle(#[error(not(source))] Vec<Problem>),
    /// The envelope is invalid.
    #[display("{_0}")]
    Envelope(EnvelopeError),
    /// The file contains no signing key.
    #[display("{}: not a signing key in base64", path.display())]
    #[from(skip)]
    InvalidKey {
        /// The key file.
        path: PathBuf,
    },
    /// The existing envelope contains a different bundle than the bundle file.
    #[display("{}: holds another bundle", path.display())]
    #[from(skip)]
    EnvelopeMismatch {
        /// The envelope file.
        path: PathBuf,
    },
    /// An HTTP request failed.
    #[display("{_0}")]
    Http(HttpError),
    /// The HTTP response has an unexpected status or body.
    #[display("{what}: unexpected answer: {reason}")]
    #[from(skip)]
    UnexpectedResponse {
        /// What was requested.
        what: String,
        /// What is unexpected about the response.
        reason: String,
    },
    /// The roll-out failed.
    #[display("{_0}")]
    Rollout(RolloutError),
    /// The plot could not be drawn.
    #[display("the plot could not be drawn: {_0}")]
    #[from(skip)]
    Plot(#[error(not(source))] String),
}

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Arguments(_)
            | CliError::Missing(_)
            | CliError::InvalidBundle(_)
            | CliError::InvalidKey { .. } => EXIT_USAGE,
            CliError::Rollout(RolloutError::Overtaken { .. }) => EXIT_OVERTAKEN,
            CliError::Rollout(RolloutError::Unsettled) => EXIT_UNSETTLED,
            _ => EXIT_FAILURE,
        }
    }

    /// Returns a hint for the operator on how to proceed.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            CliError::Arguments(_) | CliError::Missing(_) => Some("see `leadstage --help`"),
            CliError::InvalidBundle(_) => Some("docs/CONFIG.md lists each field with what is allowed"),
            CliError::InvalidKey { .. } => Some("`leadstage keys new --out FILE` makes one"),
            CliError::EnvelopeMismatch { .. } => Some("sign into another file, or remove this one"),
            CliError::Rollout(RolloutError::Overtaken { .. }) => Some(
                "look at it with `leadstage bundle show`, then give yours a higher number and sign it again",
            ),
            CliError::Rollout(RolloutError::Unsettled) => {
                Some("run the same command again: it settles the outcome and never accepts a bundle twice")
            }
            _ => None,
        }
    }
}
