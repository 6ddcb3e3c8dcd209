//! Replicas: connections, exchanges, relayed streams and their moves.

pub mod connections;
pub mod copying;
pub mod engine_stream;
pub mod exchange;
pub mod liveness;
pub mod pace;
pub mod relay;
pub mod replica_headers;
pub mod resuming;
pub mod sampling;
pub mod silence;
pub mod stall;
pub mod stopping;
pub mod suspicion;
pub mod traffic;
