//! The command's errors, each with an exit code and a hint.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use leadstage_lib::checked_yaml::Problem;
use leadstage_lib::rollout::RolloutError;
use leadstage_lib::signing::EnvelopeError;

use crate::http::HttpError;

/// Exit code of a failure.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of wrong arguments or a wrong file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a roll-out that was overtaken.
pub const EXIT_OVERTAKEN: u8 = 3;
/// Exit code of a roll-out whose outcome is not known.
pub const EXIT_UNSETTLED: u8 = 4;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// Wrong arguments.
    #[display("{_0}")]
    Arguments(lexopt::Error),
    /// An argument is missing.
    #[display("{_0} is missing")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
    /// A file could not be read or written.
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The bundle has mistakes.
    #[display("{} mistakes in the bundle", _0.len())]
    #[from(skip)]
    InvalidBundle(#[error(not(source))] Vec<Problem>),
    /// The envelope is wrong.
    #[display("{_0}")]
    Envelope(EnvelopeError),
    /// The key file holds no key.
    #[display("{}: not a signing key in base64", path.display())]
    #[from(skip)]
    InvalidKey {
        /// Which file.
        path: PathBuf,
    },
    /// The envelope holds another bundle than the file.
    #[display("{}: holds another bundle", path.display())]
    #[from(skip)]
    EnvelopeMismatch {
        /// Which file.
        path: PathBuf,
    },
    /// A call failed.
    #[display("{_0}")]
    Http(HttpError),
    /// The answer is none that this version knows.
    #[display("{what}: unexpected answer: {reason}")]
    #[from(skip)]
    UnexpectedResponse {
        /// Whose.
        what: String,
        /// What is wrong with it.
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
    /// The exit code.
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

    /// What to do about it.
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
