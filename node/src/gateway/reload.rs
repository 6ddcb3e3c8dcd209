//! Settings that change while the node runs: after SIGHUP, or without a signal.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::gateway::messages::ToControl;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Shared;

/// Time between two looks at a file that may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Takes changed settings in until the process ends. `text` is what the node started with.
pub async fn follow(shared: Arc<Shared>, path: PathBuf, text: String) -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut text = text;
    loop {
        let asked = wait(&mut hangups).await;
        match std::fs::read_to_string(&path) {
            Ok(new) if new == text => {
                if asked {
                    info!(event = "reload", changed = false; "the settings are as they were");
                }
            }
            Ok(new) => {
                reload(&shared, &new);
                text = new;
            }
            Err(err) => {
                warn!(event = "reload_failed", path:% = path.display(), reason:% = err; "the settings can't be read; the old ones stay")
            }
        }
    }
}

/// Waits for a signal or the time of a look; returns whether it was a signal.
async fn wait(hangups: &mut Signal) -> bool {
    tokio::select! {
        _ = hangups.recv() => true,
        () = tokio::time::sleep(LOOK) => false,
    }
}

fn reload(shared: &Shared, text: &str) {
    match GatewaySettings::from_yaml(text) {
        Ok(new) => {
            let restart = !new.same_addresses(&shared.settings);
            info!(event = "reload", changed = true, needs_restart = restart; "settings taken in");
            shared.set_bounds(new.bounds.clone());
            shared.notify(ToControl::Seeds(new.seeds));
        }
        Err(problems) => {
            for problem in problems {
                warn!(event = "reload_failed", reason:% = problem; "a mistake in the settings; the old ones stay");
            }
        }
    }
}
