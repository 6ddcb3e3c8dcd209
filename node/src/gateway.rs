//! The gateway interface: forwards requests unaltered to the replicas that the platform lists.
//!
//! The control thread watches the store, keeps the state of the replicas and chooses among them; the
//! traffic thread serves callers and connects to replicas. The two threads communicate through
//! [`messages`]; the routing table is published in [`shared`].

mod balancer_port;
mod control;
mod gap_meter;
mod held_bytes;
mod http_port;
mod ingress;
mod messages;
mod observability;
mod peers;
mod reload;
mod replica_dialer;
mod reply;
mod reply_body;
mod request;
mod reset_on_close;
pub mod settings;
mod shared;
mod start;
mod stop;
mod upstream;

pub use observability::logging::flush as flush_logs;
pub use observability::logging::start as start_logging;
pub use start::run;
