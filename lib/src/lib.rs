//! All decision logic of leadstage, sans-I/O: no sockets, threads, clocks or global randomness. Callers pass
//! in events and the current time and get typed actions back; a seed makes a run reproducible. External
//! simulations drive the same interfaces as the node does.

pub mod bind_retry;
pub mod bounded_duration;
pub mod bundle;
pub mod bundle_check;
pub mod burn;
pub mod checked_yaml;
pub mod claim_writer;
pub mod claims;
pub mod code;
pub mod engine_tracker;
pub mod fair_queue;
pub mod fence;
pub mod gateway;
pub mod ids;
pub mod length_model;
pub mod loss_limit;
pub mod membership;
pub mod overflow;
pub mod placement;
pub mod pool;
pub mod pool_event;
pub mod prefix_map;
pub mod rendezvous;
pub mod retry;
pub mod rollout;
pub mod sample_set;
pub mod signing;
pub mod start_rate;
pub mod status;
pub mod stream_cursor;
pub mod survival;
pub mod upstreams;
