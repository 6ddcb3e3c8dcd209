//! Watches the object API for changes of the accepted bundle.

use std::time::Duration;

use leadstage_lib::retry::Backoff;
use leadstage_lib::rollout;
use leadstage_lib::rollout::BUNDLE_OBJECT;
use log::warn;

use crate::control::ControlRef;
use crate::platform::ReadResult;

/// Shortest pause after a failed watch.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after repeated failures of the watch.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Watches without end, and applies each newer bundle as soon as it is read.
pub async fn run(control: ControlRef) {
    let platform = control.borrow().platform.clone();
    let restart_watch = control.borrow().restart_watch.clone();
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    let mut seen_version = 0;
    loop {
        let read = tokio::select! {
            read = platform.watch(BUNDLE_OBJECT, seen_version) => read,
            () = restart_watch.notified() => {
                seen_version = 0;
                continue;
            }
        };
        control.borrow_mut().on_platform_call(read.is_ok());
        match read {
            Ok(ReadResult::Found { version, value }) => {
                seen_version = version;
                backoff.reset();
                apply_if_newer(&control, &value, "object API");
            }
            Ok(ReadResult::Absent | ReadResult::Unchanged) => backoff.reset(),
            Err(err) => {
                let pause = backoff.next(&mut rand::rng());
                warn!(event = "bundle_watch_failed", reason:% = err, pause:? = pause; "failed to watch the bundle object");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Opens an envelope from the object API or a peer, and puts its bundle in force if it is newer and valid.
pub fn apply_if_newer(control: &ControlRef, bytes: &[u8], from: &str) {
    let mut control = control.borrow_mut();
    let current = control.shared.bundle().map(|b| b.number);
    match rollout::open_if_newer(bytes, current, &control.settings.trust) {
        Ok(Some(new)) => control.put_in_force(new),
        Ok(None) => {}
        Err(err) => warn!(event = "bundle_refused", from = from, reason:% = err; "rejected a bundle"),
    }
}
