//! The gateway interface: requests pass unaltered to replicas that the platform lists.
//!
//! The control thread follows the store, keeps what is believed of the replicas and
//! chooses among them; the traffic thread serves callers and replicas. They talk through
//! [`messages`]; the routing table is published in [`shared`].

mod balancer_port;
mod caller_port;
mod connections;
mod control;
mod event_stream;
mod exchange;
mod fleet;
mod follow;
mod io_watch;
mod knowledge;
mod lead_desk;
mod logging;
mod lookout;
mod messages;
mod metrics;
mod metrics_port;
mod outbox;
mod passing;
mod peer_message;
mod peer_port;
mod placing;
mod plain;
mod reload;
mod reply;
pub mod settings;
mod shared;
mod small_port;
mod start;
mod status;
mod stop;
mod streams;
mod watching;

pub use logging::start as start_logging;
pub use start::SettingsFile;
pub use start::run;
