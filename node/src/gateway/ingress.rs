//! Callers: their connections, requests and responses.

pub mod caller_port;
pub mod io_watch;
pub mod plain;
pub mod responding_body;
pub mod streams;
