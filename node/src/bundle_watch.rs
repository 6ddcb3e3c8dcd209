//! Watches the accepted bundle in the object API.

use std::time::Duration;

use leadstage_lib::retry::Backoff;
use leadstage_lib::rollout;
use leadstage_lib::rollout::BUNDLE_OBJECT;
use log::warn;

use crate::control::ControlRef;
use crate::platform::ReadResult;

/// Least pause after a failed watch.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed watches.
const MOST_PAUSE: Duration = Duration::from_millis(1_500);

/// Watches for ever; each change is considered at once.
pub async fn run(control: ControlRef) {
    let platform = control.borrow().platform.clone();
    let rewatch = control.borrow().rewatch.clone();
    let mut backoff = Backoff::new(LEAST_PAUSE, MOST_PAUSE);
    let mut seen = 0;
    loop {
        let read = tokio::select! {
            read = platform.watch(BUNDLE_OBJECT, seen) => read,
            () = rewatch.notified() => {
                seen = 0;
                continue;
            }
        };
        control.borrow_mut().on_platform_call(read.is_ok());
        match read {
            Ok(ReadResult::Found { version, value }) => {
                seen = version;
                backoff.reset();
                consider(&control, &value, "object API");
            }
            Ok(ReadResult::Absent | ReadResult::Unchanged) => backoff.reset(),
            Err(err) => {
                let pause = backoff.next(&mut rand::rng());
                warn!(event = "bundle_watch_failed", reason:% = err, pause:? = pause; "watching the bundle failed");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Considers an envelope from the object API or a peer.
pub fn consider(control: &ControlRef, bytes: &[u8], from: &str) {
    let mut control = control.borrow_mut();
    let current = control.shared.bundle().map(|b| b.number);
    match rollout::open_if_newer(bytes, current, &control.settings.trust) {
        Ok(Some(new)) => control.put_in_force(new),
        Ok(None) => {}
        Err(err) => warn!(event = "bundle_refused", from = from, reason:% = err; "bundle refused"),
    }
}
