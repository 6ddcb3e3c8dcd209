//! The clock by which the node tells how old something is.
//!
//! A VM may be suspended for seconds. The steady clock, and with it every timer, stands still meanwhile:
//! after a suspension of ten seconds a deadline, a lease or what was heard from another node would be taken to be ten
//! seconds younger than it is. Ages are told by the time since the VM's start, which goes on; timers are
//! armed by what is left of it.

use leadstage_lib::ids::Timestamp;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// The time since the VM's start, suspensions included.
pub fn since_boot() -> Timestamp {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.expect("Linux has this clock since 2.6.39").into()
}
