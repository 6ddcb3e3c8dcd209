//! Logs, metrics and status.

pub mod logging;
pub mod metrics;
pub mod metrics_port;
pub mod peer_traffic;
pub mod status;
