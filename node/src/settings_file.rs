//! Reads the settings file.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use leadstage_lib::checked_yaml::Problem;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::gateway::settings::GatewaySettings;
use crate::interface::Interface;
use crate::interface::interface_of;
use crate::settings::Settings;

/// How long a start waits for a whole file: the file may be written while the process starts.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Interval between two readings of a file that is not whole yet.
const REREAD_INTERVAL: Duration = Duration::from_millis(20);

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

/// Reads a settings file; calls `on_wait` once if it must wait for the file to be whole. Returns how long it
/// has waited, too.
pub async fn read_when_whole(
    path: &Path,
    on_wait: impl FnOnce(&SettingsError),
) -> Result<(SettingsFile, Duration), SettingsError> {
    let mut on_wait = Some(on_wait);
    let mut waiting_since = None;
    loop {
        let err = match parse(path, read_text(path).await) {
            Ok(file) => {
                return Ok((file, waiting_since.map_or(Duration::ZERO, |since: Instant| since.elapsed())));
            }
            Err(err) => err,
        };
        if waiting_since.get_or_insert_with(Instant::now).elapsed() >= MAX_WAIT {
            return Err(err);
        }
        if let Some(on_wait) = on_wait.take() {
            on_wait(&err);
        }
        tokio::time::sleep(REREAD_INTERVAL).await;
    }
}

/// Reads the text of a file on a thread of its own, so that a file whose reading blocks delays nothing else. Fails
/// if that thread can't be started.
pub async fn read_text(path: &Path) -> io::Result<String> {
    let path = path.to_owned();
    let (tx, rx) = oneshot::channel();
    let thread = std::thread::Builder::new().name("settings".to_owned());
    // Nobody waits for the text any more if a stop came first.
    thread.spawn(move || drop(tx.send(std::fs::read_to_string(path))))?;
    rx.await.map_err(io::Error::other)?
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
    match interface_of(yaml)? {
        Some(Interface::Gateway) => GatewaySettings::from_yaml(yaml).map(Box::new).map(NodeSettings::Gateway),
        Some(Interface::Completions) => Settings::from_yaml(yaml).map(NodeSettings::Completions),
        None => Settings::from_yaml(yaml).map(NodeSettings::Completions).map_err(|mut problems| {
            let message = "is not given: checked as settings of `completions`, not of `gateway`";
            problems.insert(0, Problem::new("interface", message));
            problems
        }),
    }
}
