//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;

/// Number of connections that may wait to be accepted, if the system allows as many. A connection that finds
/// the queue full is not refused: its client sends the request for it again after a second.
const BACKLOG: u32 = 4_096;

/// Binds a TCP socket and listens for connections.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A process that is started again binds the same address while connections of the earlier one linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Binds a UDP socket.
pub fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
