//! The clock that the node uses to compute ages.
//!
//! A VM may be suspended for seconds. The monotonic clock, and with it every timer, stops meanwhile: after a
//! suspension of ten seconds, a deadline, a lease or a message from another node would seem ten seconds
//! younger than it is. Ages are therefore computed from the time since boot, which includes suspensions;
//! timers are armed with the time that is left by this clock.

use leadstage_lib::ids::Timestamp;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since the VM booted, including suspensions.
pub fn since_boot() -> Timestamp {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.expect("Linux provides this clock since 2.6.39").into()
}
