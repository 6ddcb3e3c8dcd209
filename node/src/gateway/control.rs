//! The node's state and decisions, on the control thread.

pub mod canary_cache;
pub mod config_intake;
pub mod config_transfers;
pub mod control_loop;
pub mod crash_intake;
pub mod first_read;
pub mod follow;
pub mod grant_requests;
pub mod hall_intake;
pub mod health_poller;
pub mod inventories;
pub mod judged_services;
pub mod lead_requests;
pub mod lead_scheduler;
pub mod limit_intake;
pub mod path_probes;
pub mod placement_state;
pub mod placing;
pub mod replica_intake;
pub mod start_log;
pub mod store_watcher;
pub mod suspect_store;
pub mod trial;
pub mod upgrade_intake;
pub mod upgrade_store;
