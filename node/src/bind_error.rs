//! Reasons why a port can't be bound.

use std::io;

use nix::errno::Errno;

/// Whether a port may be bound later although an attempt failed: another process may release the port, an
/// interface may come up, and a lack of resources may end. Other errors remain until the settings or the
/// permissions are changed.
pub fn can_pass(err: &io::Error) -> bool {
    let Some(code) = err.raw_os_error() else {
        return false;
    };
    matches!(
        Errno::from_raw(code),
        Errno::EADDRINUSE
            | Errno::EADDRNOTAVAIL
            | Errno::EAGAIN
            | Errno::EINTR
            | Errno::EMFILE
            | Errno::ENETDOWN
            | Errno::ENETUNREACH
            | Errno::ENFILE
            | Errno::ENOBUFS
            | Errno::ENODEV
            | Errno::ENOMEM
    )
}
