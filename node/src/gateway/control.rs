//! The node's state and decisions, on the control thread.

pub mod config_intake;
pub mod config_transfers;
pub mod control_loop;
pub mod crash_intake;
pub mod first_read;
pub mod follow;
pub mod grant_requests;
pub mod hall_intake;
pub mod inventories;
pub mod judged_services;
pub mod lead_requests;
pub mod lead_scheduler;
pub mod limit_intake;
pub mod lookout;
pub mod placement_state;
pub mod placing;
pub mod replica_intake;
pub mod suspect_store;
pub mod trial;
pub mod tried_replicas;
pub mod upgrade_intake;
pub mod upgrade_store;
pub mod watching;
