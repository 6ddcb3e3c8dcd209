//! All tests of the package, in one program. They run leadstaged and the stand-ins as
//! processes; `cargo test --workspace` builds those first.

mod crashing_fleet;
mod environment;
mod gateway_environment;
mod limited_fleet;
mod stream;
mod test_bundles;
mod test_callers;
mod test_calls;
mod test_clocks;
mod test_gateway_calls;
mod test_gateway_closed_halls;
mod test_gateway_config_ways;
mod test_gateway_crash_evidence;
mod test_gateway_crashing_requests;
mod test_gateway_fleet;
mod test_gateway_foreign_entries;
mod test_gateway_inventories;
mod test_gateway_large_config;
mod test_gateway_limits;
mod test_gateway_noise;
mod test_gateway_replica_limits;
mod test_gateway_restarts;
mod test_gateway_resuming;
mod test_gateway_silent;
mod test_gateway_soak;
mod test_gateway_stop;
mod test_gateway_streams;
mod test_module_arrows;
mod test_settings;
mod test_stop;
mod test_streams;
mod test_upstreams;
mod test_vm_list_size;
