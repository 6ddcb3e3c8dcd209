//! The gateway interface: requests pass unaltered to replicas that the platform lists.
//!
//! Everything here is sans-I/O. `node/src/gateway` drives it, and the adapter in
//! `platform/` fills its types from what the platform says.

pub mod answer_counts;
pub mod canary;
pub mod choice;
pub mod closed_halls;
pub mod cold_start;
pub mod config_sources;
pub mod config_text;
pub mod crash_ledger;
pub mod digest;
pub mod evacuation;
pub mod fingerprint;
pub mod handouts;
pub mod inventory;
pub mod lack_of_news;
pub mod lapses;
pub mod lead;
pub mod lead_queue;
pub mod learned;
pub mod limit_asks;
pub mod limit_book;
pub mod limit_grants;
pub mod load;
pub mod lookout;
pub mod peers_by_hall;
pub mod pending_ends;
pub mod policy;
pub mod questions;
pub mod reading;
pub mod rebalance;
pub mod regions;
pub mod replica;
pub mod replica_limits;
pub mod replica_list;
pub mod replica_news;
pub mod replica_record;
pub mod replicas;
pub mod retelling;
pub mod retry_window;
pub mod room_forecast;
pub mod routing;
pub mod run_key;
pub mod said_leaving;
pub mod service_index;
pub mod shortage;
pub mod sound_runs;
pub mod start_reading;
pub mod stored_suspects;
pub mod token_pace;
pub mod upgrade;
pub mod upgrade_judge;
pub mod upgrade_verdict;
pub mod waiting;
pub mod watchers;
