//! Which errors of a port end a start, and which are waited out.

use std::io;

use crate::bind_error;

/// Guards against a start that ends, or waits for ever, for an error of the other kind.
#[test]
fn test_errors_that_can_pass_are_told_from_errors_that_remain() {
    let rows: String = (1..=133)
        .map(io::Error::from_raw_os_error)
        .filter(bind_error::can_pass)
        .map(|err| format!("{err}\n"))
        .collect();
    insta::assert_snapshot!(rows, @r"
    Interrupted system call (os error 4)
    Resource temporarily unavailable (os error 11)
    Cannot allocate memory (os error 12)
    No such device (os error 19)
    Too many open files in system (os error 23)
    Too many open files (os error 24)
    Address already in use (os error 98)
    Cannot assign requested address (os error 99)
    Network is down (os error 100)
    Network is unreachable (os error 101)
    No buffer space available (os error 105)
    ");
    let remaining =
        [io::ErrorKind::PermissionDenied, io::ErrorKind::InvalidInput, io::ErrorKind::Unsupported];
    for kind in remaining {
        assert!(!bind_error::can_pass(&kind.into()), "{kind}");
    }
}
