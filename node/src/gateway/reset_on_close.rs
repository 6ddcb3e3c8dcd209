//! Connections whose end marks the end of a message. They are reset unless they are closed on purpose, so that
//! a message that was cut off does not look whole.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets whether the kernel resets a connection when its last descriptor is closed, also by the end of the process.
/// Without it the kernel closes in order.
pub fn set(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}
