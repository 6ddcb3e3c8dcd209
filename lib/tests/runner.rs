//! All tests of the package, in one program.

mod test_bundle;
mod test_burn;
mod test_claims;
mod test_codes;
mod test_fence;
mod test_gateway_config_sources;
mod test_gateway_config_spread;
mod test_gateway_config_text;
mod test_gateway_learned;
mod test_gateway_load;
mod test_gateway_lookout;
mod test_gateway_replica_list;
mod test_gateway_replica_news;
mod test_gateway_replicas;
mod test_gateway_routing;
mod test_gateway_start;
mod test_gateway_waiting;
mod test_gateway_watchers;
mod test_membership;
mod test_pool;
mod test_retry;
mod test_rollout;
mod test_signing;
mod test_stream_cursor;
mod test_survival;
mod test_upstreams;
