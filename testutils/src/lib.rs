//! Test utilities: stand-ins for the engine, the plain service, the object API, the VM list and the weight
//! store, with fault injection, and a simulation of a fleet of engines. Not part of a release.

pub mod endless_server;
pub mod engine_model;
pub mod engine_server;
pub mod faulty_proxy;
pub mod fleet_model;
pub mod gateway_replica;
pub mod http_client;
pub mod http_server;
pub mod lengths;
pub mod loopback;
pub mod metadata_store;
pub mod object_store;
pub mod packet_filter;
pub mod plain_server;
pub mod platform_server;
pub mod scripted_server;
