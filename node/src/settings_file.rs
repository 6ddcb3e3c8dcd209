//! Reads the settings file when the process starts.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use leadstage_lib::checked_yaml::Problem;

use crate::gateway::settings::GatewaySettings;
use crate::gateway::settings::Interface;
use crate::gateway::settings::interface_of;
use crate::settings::Settings;

/// Reason why there are no settings.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file has mistakes.
    #[display("{} mistakes in the settings", problems.len())]
    Invalid {
        /// All of them.
        problems: Vec<Problem>,
    },
}

/// The settings of a node, by interface.
pub enum NodeSettings {
    /// Of the completions interface.
    Completions(Settings),
    /// Of the gateway interface.
    Gateway(Box<GatewaySettings>),
}

/// A valid settings file.
pub struct SettingsFile {
    /// Its path.
    pub path: PathBuf,
    /// Its content.
    pub text: String,
    /// The settings in it.
    pub settings: NodeSettings,
}

/// Reads and checks a settings file once.
pub fn read(path: &Path) -> Result<SettingsFile, SettingsError> {
    parse(path, std::fs::read_to_string(path))
}

/// Reads and checks a settings file on another thread, so that a file whose reading blocks does not delay a stop.
pub async fn read_in_background(path: &Path) -> Result<SettingsFile, SettingsError> {
    let owned = path.to_owned();
    let text = tokio::task::spawn_blocking(move || std::fs::read_to_string(owned)).await;
    parse(path, text.map_err(io::Error::from).flatten())
}

fn parse(path: &Path, text: io::Result<String>) -> Result<SettingsFile, SettingsError> {
    let path = path.to_owned();
    match text {
        Ok(text) => {
            let settings = parse_text(&text).map_err(|problems| SettingsError::Invalid { problems })?;
            Ok(SettingsFile { path, text, settings })
        }
        Err(source) => Err(SettingsError::Unreadable { path, source }),
    }
}

fn parse_text(yaml: &str) -> Result<NodeSettings, Vec<Problem>> {
    match interface_of(yaml) {
        Interface::Gateway => GatewaySettings::from_yaml(yaml).map(Box::new).map(NodeSettings::Gateway),
        Interface::Completions => Settings::from_yaml(yaml).map(NodeSettings::Completions),
    }
}
