//! Callers: connections, admitted requests, answers.

pub mod caller_port;
pub mod io_watch;
pub mod plain;
pub mod streams;
