//! Drops incoming packets of some hosts at a socket, as a partitioned network does.
//!
//! A listening socket that drops a host's packets does not answer its connection attempts: they hang, and the
//! host's kernel sees neither a reset nor an acknowledgement.

use std::io;
use std::net::Ipv4Addr;

use socket2::SockFilter;
use socket2::SockRef;
use socket2::Socket;
use tokio::net::TcpListener;

/// `BPF_LD | BPF_W | BPF_ABS`: loads a word of the packet.
const LOAD_WORD: u16 = 0x20;
/// `BPF_JMP | BPF_JEQ | BPF_K`: compares the loaded word with a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// `BPF_RET | BPF_K`: keeps this many bytes of the packet.
const RETURN: u16 = 0x06;
/// Offset of the source address: `SKF_NET_OFF`, the beginning of the IPv4 header, and 12 bytes.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

/// Drops the packets of `hosts` that arrive at a listening socket, and no others.
pub fn drop_from(listener: &TcpListener, hosts: &[Ipv4Addr]) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&program(hosts))
}

/// Drops all packets that arrive at a connection.
pub fn drop_all(connection: &Socket) -> io::Result<()> {
    connection.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)])
}

/// Accepts all packets of a connection again.
pub fn accept_all(connection: &Socket) -> io::Result<()> {
    connection.attach_filter(&program(&[]))
}

fn program(dropped: &[Ipv4Addr]) -> Vec<SockFilter> {
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (n, host) in dropped.iter().enumerate() {
        let to_drop = (dropped.len() - n) as u8;
        program.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, u32::from(*host)));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    program
}
