//! Stand-ins for what surrounds leadstage: engine, plain service, object API,
//! VM list and weight store, with switches for their faults; and a model of a fleet of
//! engines. Never shipped.

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
pub mod plain_server;
pub mod platform_server;
