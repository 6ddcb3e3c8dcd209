//! The other nodes: membership, datagrams, what is handed over whole.

pub mod fetching;
pub mod fleet;
pub mod outbox;
pub mod peer_message;
pub mod peer_port;
