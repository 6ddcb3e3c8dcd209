//! Drops the packets of one host at a socket of this process, as a network that is cut does: connection
//! attempts hang, and nothing is reset. It changes nothing of the machine.

use std::ffi::c_int;
use std::ffi::c_void;
use std::io;
use std::net::IpAddr;
use std::os::fd::RawFd;

const SOL_SOCKET: c_int = 1;
const SO_ATTACH_FILTER: c_int = 26;
/// Loads a word of the packet, compares it, returns how many bytes to keep.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// The source address in the IPv4 header.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

#[repr(C)]
struct Instruction {
    code: u16,
    if_true: u8,
    if_false: u8,
    value: u32,
}

#[repr(C)]
struct Program {
    len: u16,
    instructions: *const Instruction,
}

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn shutdown(fd: c_int, how: c_int) -> c_int;
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

fn attach(fd: RawFd, instructions: &[Instruction]) -> io::Result<()> {
    let program = Program { len: instructions.len() as u16, instructions: instructions.as_ptr() };
    let len = size_of::<Program>() as u32;
    // SAFETY: the program and its instructions live until the call returns; the kernel copies them.
    let result =
        unsafe { setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, (&raw const program).cast(), len) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

fn instruction(code: u16, if_true: u8, value: u32) -> Instruction {
    Instruction { code, if_true, if_false: 0, value }
}

/// Drops the packets of `host` that arrive at a socket.
pub fn drop_from(fd: RawFd, host: IpAddr) -> io::Result<()> {
    let IpAddr::V4(host) = host else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let program = [
        instruction(LOAD_WORD, 0, SOURCE_ADDRESS),
        instruction(JUMP_IF_EQUAL, 1, u32::from(host)),
        instruction(RETURN, 0, u32::MAX),
        instruction(RETURN, 0, 0),
    ];
    attach(fd, &program)
}

/// Drops all packets that arrive at a socket.
pub fn drop_all(fd: RawFd) -> io::Result<()> {
    attach(fd, &[instruction(RETURN, 0, 0)])
}

/// Makes a listening socket refuse connections.
pub fn stop_listening(fd: RawFd) {
    // SAFETY: plain system call on an open descriptor.
    unsafe { shutdown(fd, 2) };
}

/// Sends a signal to a process that this one started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: plain system call.
    unsafe { kill(pid as c_int, signal) };
}
