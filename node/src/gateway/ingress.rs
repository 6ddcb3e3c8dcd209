//! Callers: their connections, requests and responses.

pub mod caller_port;
pub mod io_watch;
pub mod plain;
pub mod streams;
