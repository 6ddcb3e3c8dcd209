//! Reloads the settings while the node runs: on SIGHUP, or when the file has changed without a signal.

use std::convert::Infallible;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::gateway::messages::ToControl;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Shared;
use crate::settings_file;
use crate::signals::Signals;

/// Interval between two checks of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed settings until the process ends. `text` is the content that the node started with.
pub async fn watch_file(shared: Arc<Shared>, signals: Signals, path: PathBuf, text: String) -> Infallible {
    let mut text = text;
    loop {
        let signalled = wait(&signals).await;
        match settings_file::read_text(&path).await {
            Ok(new) if new == text => {
                if signalled {
                    info!(event = "reload", changed = false; "settings are unchanged");
                }
            }
            Ok(new) => {
                reload(&shared, &new);
                text = new;
            }
            Err(err) => {
                warn!(event = "reload_failed", path:% = path.display(), reason:% = err; "settings file cannot be read; keeping the current settings")
            }
        }
    }
}

/// Waits for a signal or the next check of the file; returns whether there was a signal.
async fn wait(signals: &Signals) -> bool {
    tokio::select! {
        () = signals.reload_requested() => true,
        () = tokio::time::sleep(POLL_INTERVAL) => false,
    }
}

fn reload(shared: &Shared, text: &str) {
    match GatewaySettings::from_yaml(text) {
        Ok(new) => {
            let restart = !new.has_same_fixed_settings(&shared.settings);
            info!(event = "reload", changed = true, needs_restart = restart; "settings applied");
            shared.set_bounds(new.bounds.clone());
            shared.notify(ToControl::Seeds(new.seeds));
        }
        Err(problems) => {
            for problem in problems {
                warn!(event = "reload_failed", reason:% = problem; "invalid settings; keeping the current ones");
            }
        }
    }
}
