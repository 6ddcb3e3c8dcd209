//! Communication with other nodes: membership, datagrams, and transfers of whole documents.

pub mod fetching;
pub mod fleet;
pub mod outbox;
pub mod peer_message;
pub mod peer_port;
pub mod tunnel_client;
pub mod tunnel_port;
